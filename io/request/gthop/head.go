// Package gthop carries requests between nodes, and from a node to the backend
// server beside it.
//
// # Usage
//
//	beside := &gthop.Beside{...}            // runs calls on the own backend server
//	mux.Handle("/", &gthop.Handler{Beside: beside, ...})
//	client := &gthop.Client{Pool: pool, ...} // sends calls to other nodes
//	answer, err := client.Send(ctx, record, call)
//
// A hop is HTTP/1.1, one exchange at a time on a connection. The request's
// facts travel in Gt- header fields; the answer echoes the id, and one with
// another id closes the connection and reaches nobody.
package gthop

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtroute"
	"godwittide/core/version/gtconfig"
)

// The header fields of a hop.
const (
	// HeaderID holds the call's id, in the request and in its answer.
	HeaderID = "Gt-Id"
	// HeaderTo holds the instance that the request is meant for.
	HeaderTo = "Gt-To"
	// HeaderLeft holds the time left until the deadline, in milliseconds.
	HeaderLeft = "Gt-Left"
	// HeaderOnce is "1" if the request may not be repeated.
	HeaderOnce = "Gt-Once"
	// HeaderHops holds the number of calls before this one.
	HeaderHops = "Gt-Hops"
	// HeaderKey holds the caller's key, as in the draft of the IETF's HTTP API
	// working group.
	HeaderKey = "Idempotency-Key"
	// HeaderResend is "1" if the caller has sent the request before.
	HeaderResend = "Gt-Resend"
	// HeaderAgain is "1" if every node in rank has passed the request on.
	HeaderAgain = "Gt-Again"
	// HeaderFind is "1" if the request only looks for the outcome of an earlier
	// send.
	HeaderFind = "Gt-Find"
	// HeaderRetry is "1" if the request is part of a retry of an earlier hop.
	HeaderRetry = "Gt-Retry"
	// HeaderService and HeaderRoute hold what the request was routed by.
	HeaderService = "Gt-Service"
	// HeaderRoute holds the route's name.
	HeaderRoute = "Gt-Route"
	// HeaderClass holds the class at admission.
	HeaderClass = "Gt-Class"
	// HeaderCrashes holds the number of backend servers that are known to have
	// crashed with the request in flight.
	HeaderCrashes = "Gt-Crashes"
	// HeaderLoad holds busy/limit/pace/fault of the answering node's backend server.
	HeaderLoad = "Gt-Load"
	// HeaderKind holds the error kind, in answers that the system itself made.
	HeaderKind = "Gt-Kind"
	// HeaderCertainty holds what is certain about the run of the request.
	HeaderCertainty = "Gt-Certainty"
)

// hopFields are the fields that a node sets itself.
var hopFields = []string{
	HeaderID, HeaderTo, HeaderOnce, HeaderAgain, HeaderFind, HeaderService, HeaderRoute, HeaderClass, HeaderCrashes,
	HeaderLoad, HeaderKind, HeaderCertainty,
}

// connectionFields belong to one connection and are not passed on.
var connectionFields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// dropped holds the canonical names of the fields that Clean leaves out.
var dropped = func() map[string]bool {
	out := map[string]bool{}
	for _, f := range slices.Concat(connectionFields, hopFields) {
		out[f] = true
	}
	return out
}()

// Clean returns a copy of a message's header without the fields that belong to
// one connection, and without those that only a node may set. The values are
// shared with h: a field may be replaced in either, and not appended to.
func Clean(h http.Header) http.Header {
	out := http.Header{}
	for f, values := range h {
		if !dropped[f] {
			out[f] = values
		}
	}
	for _, list := range h["Connection"] {
		for _, f := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(f))
		}
	}
	return out
}

// encodeCall writes the call's facts into the header of its request.
func encodeCall(h http.Header, c gtcall.Call, to string, now time.Time) {
	h.Set(HeaderID, c.ID())
	h.Set(HeaderTo, to)
	h.Set(HeaderLeft, strconv.FormatInt(c.Deadline().Sub(now).Milliseconds(), 10))
	h.Set(HeaderHops, strconv.Itoa(c.Hops()))
	h.Set(HeaderService, c.Service())
	h.Set(HeaderRoute, c.Route())
	h.Set(HeaderClass, c.Class().String())
	setFlag(h, HeaderOnce, !c.Idempotent())
	setFlag(h, HeaderRetry, c.Nested())
	setFlag(h, HeaderResend, c.Resend())
	setFlag(h, HeaderAgain, c.Again())
	setFlag(h, HeaderFind, c.Find())
	if c.Key() != "" {
		h.Set(HeaderKey, c.Key())
	}
	if c.Crashes() > 0 {
		h.Set(HeaderCrashes, strconv.Itoa(c.Crashes()))
	}
}

func setFlag(h http.Header, field string, yes bool) {
	if yes {
		h.Set(field, "1")
	} else {
		h.Del(field)
	}
}

// decodeCall reads the facts of a call from the header of its request.
func decodeCall(r *http.Request, body []byte, now time.Time) (gtcall.Call, error) {
	h := r.Header
	c := gtcall.New(h.Get(HeaderID), r.Method, r.URL.RequestURI())
	if c.ID() == "" || h.Get(HeaderService) == "" {
		return c, gtkind.New(gtkind.BadRequest, "request from a node lacks %s or %s", HeaderID, HeaderService)
	}
	left, err := strconv.ParseInt(h.Get(HeaderLeft), 10, 64)
	if err != nil || left > gtconfig.MaxTimeout.Milliseconds() {
		return c, gtkind.New(gtkind.BadRequest, "%s is %.20q", HeaderLeft, h.Get(HeaderLeft))
	}
	hops, _ := strconv.Atoi(h.Get(HeaderHops))
	crashes, _ := strconv.Atoi(h.Get(HeaderCrashes))
	class := gtconfig.ParseClass(h.Get(HeaderClass))
	if h.Get(HeaderFind) == "1" {
		c = c.WithFind()
	}
	return c.WithBody(body).
		WithRoute(h.Get(HeaderService), h.Get(HeaderRoute), class).
		WithIdempotent(h.Get(HeaderOnce) != "1").
		WithKey(h.Get(HeaderKey), h.Get(HeaderResend) == "1", h.Get(HeaderAgain) == "1").
		WithNested(h.Get(HeaderRetry) == "1").
		WithHops(hops).
		WithCrashes(crashes).
		WithDeadline(now.Add(time.Duration(left) * time.Millisecond)).
		WithHeader(Clean(h)), nil
}

// encodeLoad writes a load as busy/limit/pace/fault, the pace in milliseconds and
// the fault in percent.
func encodeLoad(l gtroute.Load) string {
	return fmt.Sprintf("%d/%d/%d/%d", l.Busy(), l.Limit(), l.Pace().Milliseconds(), int(100*l.Fault()))
}

func decodeLoad(s string) gtroute.Load {
	parts := strings.Split(s, "/")
	if len(parts) != 4 {
		return gtroute.Load{}
	}
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
