package gtwire

import (
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtsummary"
	"godwittide/core/version/gtconfig"
)

// The units of the numbers in summaries, and their bounds.
const (
	requestsUnit  = 0.1
	percentUnit   = 0.01
	timeUnit      = 100 * time.Microsecond
	maxNumber     = 1 << 31
	maxServices   = 4096
	summaryFields = 3
)

// EncodeInstance returns the text of the summary of an instance:
// name sequence busy/limit/speed/concurrency/slow-down and /route/time for each route. The
// units are 0.1 requests, 0.01 and 0.1 ms.
func EncodeInstance(i gtsummary.Instance) string {
	b := append([]byte(url.PathEscape(i.Name())), ' ')
	b = strconv.AppendUint(b, i.Seq(), 10)
	numbers := []float64{i.Busy() / requestsUnit, float64(i.Limit()), i.Speed() / percentUnit, i.Concurrency() / requestsUnit, i.Slowdown() / percentUnit}
	for n, v := range numbers {
		b = appendNumber(b, separator(n), v)
	}
	for _, r := range i.Times() {
		b = appendNumber(b, '/', float64(r.Route()))
		b = appendNumber(b, '/', float64(r.Time()/timeUnit))
	}
	return string(b)
}

// separator returns the byte before the number with the given index.
func separator(index int) byte {
	if index == 0 {
		return ' '
	}
	return '/'
}

func appendNumber(b []byte, separator byte, v float64) []byte {
	return strconv.AppendInt(append(b, separator), int64(math.Round(min(max(v, 0), maxNumber))), 10)
}

// DecodeInstance returns the summary of an instance in text.
func DecodeInstance(text string) (gtsummary.Instance, error) {
	fields := strings.Split(text, " ")
	if len(fields) != summaryFields {
		return gtsummary.Instance{}, errorx.IllegalFormat.New("summary of an instance has %d fields", len(fields))
	}
	name, err := decodeName(fields[0])
	if err != nil {
		return gtsummary.Instance{}, err
	}
	seq, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return gtsummary.Instance{}, errorx.IllegalFormat.Wrap(err, "sequence number of the summary of instance %q", name)
	}
	n, err := decodeNumbers(strings.Split(fields[2], "/"))
	if err != nil {
		return gtsummary.Instance{}, err
	}
	const fixed = 5
	if len(n) < fixed || len(n)%2 != fixed%2 || len(n) > fixed+2*gtsummary.MaxRoutes || n[1] < 1 || n[2] < 1 {
		return gtsummary.Instance{}, errorx.IllegalFormat.New("summary of instance %q has invalid numbers", name)
	}
	var times []gtsummary.RouteTime
	for k := fixed; k < len(n); k += 2 {
		r, err := decodeTime(n[k], n[k+1], 1)
		if err != nil {
			return gtsummary.Instance{}, err
		}
		times = append(times, r)
	}
	return gtsummary.NewInstance(name, seq, float64(n[0])*requestsUnit, int(n[1])).
		WithLearned(float64(n[2])*percentUnit, float64(n[3])*requestsUnit, float64(n[4])*percentUnit).WithTimes(times), nil
}

// EncodeZone returns the text of the summary of a zone: name sender/sequence, and for each
// service name/spare/capacity, or name/spare/capacity/route/time/instances. The units are
// 0.1 requests and 0.1 ms.
func EncodeZone(z gtsummary.Zone) string {
	b := append([]byte(url.PathEscape(z.Name())), ' ')
	b = strconv.AppendUint(b, uint64(z.Sender()), 36)
	b = strconv.AppendUint(append(b, '/'), z.Seq(), 36)
	for _, s := range z.Services() {
		b = append(append(b, ' '), url.PathEscape(s.Name())...)
		b = appendNumber(b, '/', s.Spare()/requestsUnit)
		b = appendNumber(b, '/', s.Capacity()/requestsUnit)
		if r, ok := s.Time(); ok {
			b = appendNumber(b, '/', float64(r.Route()))
			b = appendNumber(b, '/', float64(r.Time()/timeUnit))
			b = appendNumber(b, '/', float64(r.Instances()))
		}
	}
	return string(b)
}

// DecodeZone returns the summary of a zone in text.
func DecodeZone(text string) (gtsummary.Zone, error) {
	fields := strings.Split(text, " ")
	if len(fields) < 2 || len(fields) > 2+maxServices {
		return gtsummary.Zone{}, errorx.IllegalFormat.New("summary of a zone has %d fields", len(fields))
	}
	name, err := decodeName(fields[0])
	if err != nil {
		return gtsummary.Zone{}, err
	}
	senderText, seqText, _ := strings.Cut(fields[1], "/")
	sender, err := strconv.ParseUint(senderText, 36, 32)
	if err != nil {
		return gtsummary.Zone{}, errorx.IllegalFormat.Wrap(err, "sender of the summary of zone %q", name)
	}
	seq, err := strconv.ParseUint(seqText, 36, 64)
	if err != nil {
		return gtsummary.Zone{}, errorx.IllegalFormat.Wrap(err, "sequence number of the summary of zone %q", name)
	}
	var services []gtsummary.Service
	for _, f := range fields[2:] {
		s, err := decodeService(f)
		if err != nil {
			return gtsummary.Zone{}, err
		}
		services = append(services, s)
	}
	return gtsummary.NewZone(name, uint32(sender), seq, services), nil
}

func decodeService(text string) (gtsummary.Service, error) {
	parts := strings.Split(text, "/")
	name, err := decodeName(parts[0])
	if err != nil {
		return gtsummary.Service{}, err
	}
	n, err := decodeNumbers(parts[1:])
	if err != nil {
		return gtsummary.Service{}, err
	}
	if len(n) != 2 && len(n) != 5 || n[0] > n[1] {
		return gtsummary.Service{}, errorx.IllegalFormat.New("summary of service %q has invalid numbers", name)
	}
	s := gtsummary.NewService(name, float64(n[0])*requestsUnit, float64(n[1])*requestsUnit)
	if len(n) == 2 {
		return s, nil
	}
	r, err := decodeTime(n[2], n[3], n[4])
	return s.WithTime(r), err
}

func decodeName(text string) (string, error) {
	name, err := url.PathUnescape(text)
	if err != nil {
		return "", errorx.IllegalFormat.Wrap(err, "name in a summary")
	}
	if name == "" || len(name) > MaxNameBytes {
		return "", errorx.IllegalFormat.New("summary has a name of %d bytes", len(name))
	}
	return name, nil
}

func decodeNumbers(parts []string) ([]int64, error) {
	out := make([]int64, len(parts))
	for i, p := range parts {
		v, err := strconv.ParseInt(p, 10, 64)
		if err != nil || v < 0 || v > maxNumber {
			return nil, errorx.IllegalFormat.New("summary has the invalid number %.20q", p)
		}
		out[i] = v
	}
	return out, nil
}

func decodeTime(route, tenths, instances int64) (gtsummary.RouteTime, error) {
	d := time.Duration(tenths) * timeUnit
	if route > math.MaxUint32 || d <= 0 || d > gtconfig.MaxTimeout || instances < 1 {
		return gtsummary.RouteTime{}, errorx.IllegalFormat.New("summary has an invalid service time")
	}
	return gtsummary.NewRouteTime(uint32(route), d, int(instances)), nil
}
