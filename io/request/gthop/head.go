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
// A hop is HTTP/1.1, one exchange at a time on a connection. What the other
// node needs to know of a call travels in the field Gt-Call; the answer echoes
// the id in Gt-Answer, and one with another id closes the connection and
// reaches nobody.
package gthop

import (
	"net/http"
	"slices"
	"strings"
)

// The header fields of callers, backend servers and hops.
const (
	// HeaderID holds the call's id, in a request to the backend server.
	HeaderID = "Gt-Id"
	// HeaderLeft holds the time left until the deadline, in milliseconds.
	HeaderLeft = "Gt-Left"
	// HeaderHops holds the number of calls before this one.
	HeaderHops = "Gt-Hops"
	// HeaderKey holds the caller's key, as in the draft of the IETF's HTTP API
	// working group.
	HeaderKey = "Idempotency-Key"
	// HeaderResend is "1" if the caller has sent the request before.
	HeaderResend = "Gt-Resend"
	// HeaderRetry is "1" if the request is part of a retry of an earlier hop.
	HeaderRetry = "Gt-Retry"
	// HeaderCall holds what a node needs to know of a call; see encodeCall.
	HeaderCall = "Gt-Call"
	// HeaderAnswer holds what a node needs to know of an answer; see
	// encodeReply.
	HeaderAnswer = "Gt-Answer"
	// HeaderKind holds the error kind, in answers that the system itself made.
	HeaderKind = "Gt-Kind"
	// HeaderCertainty holds what is certain about the run of the request.
	HeaderCertainty = "Gt-Certainty"
)

// hopFields are the fields that a node sets itself.
var hopFields = []string{HeaderID, HeaderCall, HeaderAnswer, HeaderKind, HeaderCertainty}

// freshFields are set anew for the backend server, and not carried by a hop.
var freshFields = []string{HeaderLeft, HeaderHops, HeaderRetry}

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
