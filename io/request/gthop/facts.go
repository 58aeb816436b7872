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

// The facts of a call, in their order in HeaderCall.
const (
	factID = iota
	factTo
	factLeft
	factFlags
	factClass
	factService
	factRoute
	factHops
	factCrashes
	facts
)

// The flags of a call.
const (
	flagOnce   = "o"
	flagNested = "n"
	flagResend = "r"
	flagAgain  = "a"
	flagFind   = "f"
)

// encodeCall writes a call to an instance as
// id/to/left/flags/class/service/route/hops/crashes, each part escaped, the
// time left in milliseconds. The id is left out where it is the caller's own,
// which travels in the caller's field.
func (d Dialect) encodeCall(r *http.Request, c gtcall.Call, to string, now time.Time) {
	for _, f := range freshFields {
		delete(r.Header, f)
	}
	for _, f := range d.Fresh {
		delete(r.Header, f)
	}
	var f [facts]string
	if d.ID(r, none) != c.ID() {
		f[factID] = c.ID()
	}
	f[factTo] = to
	f[factLeft] = strconv.FormatInt(c.Deadline().Sub(now).Milliseconds(), 10)
	f[factFlags] = flag(flagOnce, !c.Idempotent()) + flag(flagNested, c.Nested()) + flag(flagResend, c.Resend()) +
		flag(flagAgain, c.Again()) + flag(flagFind, c.Find())
	f[factClass] = c.Class().String()
	f[factService], f[factRoute] = c.Service(), c.Route()
	f[factHops], f[factCrashes] = strconv.Itoa(c.Hops()), strconv.Itoa(c.Crashes())
	for i := range f {
		f[i] = url.PathEscape(f[i])
	}
	r.Header.Set(HeaderCall, strings.Join(f[:], "/"))
}

func none() string { return "" }

func flag(name string, yes bool) string {
	if yes {
		return name
	}
	return ""
}

// readFacts returns the parts of HeaderCall, with the call's id in its place.
func (d Dialect) readFacts(r *http.Request) ([facts]string, error) {
	var f [facts]string
	parts := strings.Split(r.Header.Get(HeaderCall), "/")
	if len(parts) != facts {
		return f, gtkind.New(gtkind.BadRequest, "%s of a request from a node has %d parts, not %d", HeaderCall, len(parts), facts)
	}
	for i, p := range parts {
		v, err := url.PathUnescape(p)
		if err != nil {
			return f, gtkind.Wrap(err, gtkind.BadRequest, "read %s of a request from a node", HeaderCall)
		}
		f[i] = v
	}
	if f[factID] == "" {
		f[factID] = d.ID(r, none)
	}
	if f[factID] == "" || f[factService] == "" {
		return f, gtkind.New(gtkind.BadRequest, "%s of a request from a node lacks its id or service", HeaderCall)
	}
	return f, nil
}

// decodeCall returns the call that a request from a node carries.
func decodeCall(r *http.Request, f [facts]string, body []byte, now time.Time) (gtcall.Call, error) {
	c := gtcall.New(f[factID], r.Method, r.URL.RequestURI())
	left, err := strconv.ParseInt(f[factLeft], 10, 64)
	if err != nil || left > gtconfig.MaxTimeout.Milliseconds() {
		return c, gtkind.New(gtkind.BadRequest, "time left is %.20q", f[factLeft])
	}
	hops, err := strconv.Atoi(f[factHops])
	if err != nil {
		return c, gtkind.New(gtkind.BadRequest, "number of hops is %.20q", f[factHops])
	}
	crashes, err := strconv.Atoi(f[factCrashes])
	if err != nil {
		return c, gtkind.New(gtkind.BadRequest, "number of crashes is %.20q", f[factCrashes])
	}
	has := func(name string) bool { return strings.Contains(f[factFlags], name) }
	if has(flagFind) {
		c = c.WithFind()
	}
	return c.WithBody(body).
		WithRoute(f[factService], f[factRoute], gtconfig.ParseClass(f[factClass])).
		WithIdempotent(!has(flagOnce)).
		WithKey(r.Header.Get(HeaderKey), has(flagResend), has(flagAgain)).
		WithNested(has(flagNested)).
		WithHops(hops).
		WithCrashes(crashes).
		WithDeadline(now.Add(time.Duration(left) * time.Millisecond)).
		WithHeader(Clean(r.Header)), nil
}

// reply is what an answer from a node tells beside the backend server's answer.
type reply struct {
	id   string
	load gtroute.Load
	kind gtkind.Kind
}

// encodeReply writes a reply as id/busy/limit/pace/fault/kind, the pace in
// milliseconds, the fault in percent, and the kind only with an error.
func encodeReply(r reply) string {
	name := ""
	if r.kind != gtkind.None {
		name = r.kind.Row().Name()
	}
	l := r.load
	return fmt.Sprintf("%s/%d/%d/%d/%d/%s", url.PathEscape(r.id), l.Busy(), l.Limit(), l.Pace().Milliseconds(), int(100*l.Fault()), name)
}

// decodeReply reads a reply. One that can't be read has no id, and what is
// wrong with its load leaves the load unknown.
func decodeReply(s string) reply {
	parts := strings.Split(s, "/")
	if len(parts) != 6 {
		return reply{}
	}
	id, err := url.PathUnescape(parts[0])
	if err != nil {
		return reply{}
	}
	r := reply{id: id, load: decodeLoad(parts[1:5])}
	if parts[5] != "" {
		r.kind = gtkind.Parse(parts[5])
	}
	return r
}

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
	return gtroute.NewLoad(n[0], n[1]).WithPace(time.Duration(n[2]) * time.Millisecond).WithFault(float64(n[3]) / 100)
}
