package gthop

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtroute"
	"godwittide/core/version/gtconfig"
)

// The parts of a call's metadata, in their order in HeaderCall.
const (
	metaID = iota
	metaInstance
	metaRemaining
	metaFlags
	metaClass
	metaService
	metaRoute
	metaHops
	metaCrashes
	metaCount
)

// The flags of a call, in part metaFlags.
const (
	flagNonIdempotent = "o"
	flagRetry         = "n"
	flagResend        = "r"
	flagReleasedByAll = "a"
	flagLookupOnly    = "f"
	flagLastAttempt   = "l"
	flagWindows       = "w" // the body is sent in windows, once the receiver asks for it
)

// encodeCall sets HeaderCall to the metadata of a call to the given instance, as
// id/instance/remaining/flags/class/service/route/hops/crashes. Each part is
// percent-encoded, and the remaining time is in milliseconds. The ID is empty if
// the caller chose it, as the caller's own header field carries it already. The
// version goes into HeaderVersion and the account's name into HeaderAccount, which
// nodes without them ignore. The fields that are set for each request to the backend
// server are removed.
func (d Dialect) encodeCall(r *http.Request, c gtcall.Call, instance string, now time.Time) {
	for _, f := range backendFields {
		delete(r.Header, f)
	}
	for _, f := range d.BackendHeaderFields {
		delete(r.Header, f)
	}
	var meta [metaCount]string
	if d.RequestIDOr(r, noID) != c.ID() {
		meta[metaID] = c.ID()
	}
	meta[metaInstance] = instance
	meta[metaRemaining] = strconv.FormatInt(c.Deadline().Sub(now).Milliseconds(), 10)
	meta[metaFlags] = flagIf(flagNonIdempotent, !c.Idempotent()) + flagIf(flagRetry, c.IsRetry()) + flagIf(flagResend, c.IsResend()) +
		flagIf(flagReleasedByAll, c.ReleasedByAll()) + flagIf(flagLookupOnly, c.LookupOnly()) + flagIf(flagLastAttempt, c.IsLastAttempt()) +
		flagIf(flagWindows, c.Stream() != nil)
	meta[metaClass] = c.Class().String()
	meta[metaService], meta[metaRoute] = c.Service(), c.Route()
	meta[metaHops], meta[metaCrashes] = strconv.Itoa(c.Hops()), strconv.Itoa(c.Crashes())
	for i := range meta {
		meta[i] = url.PathEscape(meta[i])
	}
	r.Header.Set(HeaderCall, strings.Join(meta[:], "/"))
	if c.Version() != "" {
		r.Header.Set(HeaderVersion, url.PathEscape(c.Version()))
	}
	if c.Account() != "" {
		r.Header.Set(HeaderAccount, url.PathEscape(c.Account()))
	}
}

func noID() string { return "" }

func flagIf(flag string, set bool) string {
	if set {
		return flag
	}
	return ""
}

// decodeMeta returns the decoded parts of HeaderCall. An empty ID is replaced by
// the one that the caller chose. It fails with BadRequest if the metadata is malformed.
func (d Dialect) decodeMeta(r *http.Request) ([metaCount]string, error) {
	var meta [metaCount]string
	parts := strings.Split(r.Header.Get(HeaderCall), "/")
	if len(parts) != metaCount {
		return meta, gtkind.New(gtkind.BadRequest, "header %s of a request from a peer has %d parts, expected %d", HeaderCall, len(parts), metaCount)
	}
	for i, p := range parts {
		v, err := url.PathUnescape(p)
		if err != nil {
			return meta, gtkind.Wrap(err, gtkind.BadRequest, "unescape header %s of a request from a peer", HeaderCall)
		}
		meta[i] = v
	}
	if meta[metaID] == "" {
		meta[metaID] = d.RequestIDOr(r, noID)
	}
	if meta[metaID] == "" || meta[metaService] == "" {
		return meta, gtkind.New(gtkind.BadRequest, "header %s of a request from a peer lacks the request ID or the service", HeaderCall)
	}
	return meta, nil
}

// decodeCall returns the call in a request from a peer, with the metadata meta.
// It fails with BadRequest if a number in the metadata is invalid.
func decodeCall(r *http.Request, meta [metaCount]string, body [][]byte, now time.Time) (gtcall.Call, error) {
	c := gtcall.New(meta[metaID], r.Method, r.URL.RequestURI())
	remaining, err := strconv.ParseInt(meta[metaRemaining], 10, 64)
	if err != nil || remaining > gtconfig.MaxTimeout.Milliseconds() {
		return c, gtkind.New(gtkind.BadRequest, "invalid remaining time %.20q in a request from a peer", meta[metaRemaining])
	}
	hops, err := strconv.Atoi(meta[metaHops])
	if err != nil {
		return c, gtkind.New(gtkind.BadRequest, "invalid number of hops %.20q in a request from a peer", meta[metaHops])
	}
	crashes, err := strconv.Atoi(meta[metaCrashes])
	if err != nil {
		return c, gtkind.New(gtkind.BadRequest, "invalid number of crashes %.20q in a request from a peer", meta[metaCrashes])
	}
	version, err := url.PathUnescape(r.Header.Get(HeaderVersion))
	if err != nil {
		return c, gtkind.Wrap(err, gtkind.BadRequest, "unescape header %s of a request from a peer", HeaderVersion)
	}
	account, err := url.PathUnescape(r.Header.Get(HeaderAccount))
	if err != nil {
		return c, gtkind.Wrap(err, gtkind.BadRequest, "unescape header %s of a request from a peer", HeaderAccount)
	}
	has := func(flag string) bool { return strings.Contains(meta[metaFlags], flag) }
	if has(flagLookupOnly) {
		c = c.WithLookupOnly()
	}
	return c.WithBodySegments(body).
		WithRoute(meta[metaService], meta[metaRoute], gtconfig.ParseClass(meta[metaClass])).
		WithVersion(version).
		WithAccount(account).
		WithIdempotent(!has(flagNonIdempotent)).
		WithKey(r.Header.Get(HeaderIdempotencyKey), has(flagResend), has(flagReleasedByAll)).
		WithRetry(has(flagRetry)).
		WithLastAttempt(has(flagLastAttempt)).
		WithHops(hops).
		WithCrashes(crashes).
		WithDeadline(now.Add(time.Duration(remaining) * time.Millisecond)).
		WithHeader(ForwardableHeader(r.Header)), nil
}

// responseMeta is the metadata that a peer adds to a response: the request ID,
// the load of its backend server, and the error kind, or None.
type responseMeta struct {
	id   string
	load gtroute.Load
	kind gtkind.Kind
}

// encodeResponseMeta returns the metadata as
// id/busy/limit/service time/error rate/kind. The service time is in
// milliseconds, the error rate in percent, and the kind is empty without an
// error.
func encodeResponseMeta(r responseMeta) string {
	name := ""
	if r.kind != gtkind.None {
		name = r.kind.Row().Name()
	}
	l := r.load
	return fmt.Sprintf("%s/%d/%d/%d/%d/%s", url.PathEscape(r.id), l.Busy(), l.Limit(), l.ServiceTime().Milliseconds(), int(100*l.ErrorRate()), name)
}

// decodeResponseMeta returns the metadata in s. Malformed metadata yields an
// empty ID, and an invalid load yields an unknown load.
func decodeResponseMeta(s string) responseMeta {
	parts := strings.Split(s, "/")
	if len(parts) != 6 {
		return responseMeta{}
	}
	id, err := url.PathUnescape(parts[0])
	if err != nil {
		return responseMeta{}
	}
	r := responseMeta{id: id, load: decodeLoad(parts[1:5])}
	if parts[5] != "" {
		r.kind = gtkind.Parse(parts[5])
	}
	return r
}

// decodeLoad returns the load in the parts busy, limit, service time and error
// rate, or an unknown load if one of them is invalid.
func decodeLoad(parts []string) gtroute.Load {
	var n [4]int
	for i, p := range parts {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return gtroute.Load{}
		}
		n[i] = v
	}
	if n[1] < 1 || n[3] > 100 || time.Duration(n[2]) > gtconfig.MaxTimeout/time.Millisecond {
		return gtroute.Load{}
	}
	return gtroute.NewLoad(n[0], n[1]).WithServiceTime(time.Duration(n[2]) * time.Millisecond).WithErrorRate(float64(n[3]) / 100)
}
