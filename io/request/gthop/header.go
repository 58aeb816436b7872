// Package gthop sends requests between nodes, and from a node to its local
// backend server.
//
// # Usage
//
//	backend := &gthop.LocalBackend{...} // runs calls on the local backend server
//	mux.Handle("/", &gthop.Handler{LocalBackend: backend, ...})
//	client := &gthop.Client{Pool: pool, ...} // sends calls to peers
//	resp, err := client.Send(ctx, record, call)
//
// A hop uses HTTP/1.1 with one exchange at a time on a connection. The header
// field Gt-Call carries the metadata of a call. The response echoes the request
// ID in Gt-Answer; a response with a different ID is discarded and its
// connection is closed.
package gthop

import (
	"net/http"
	"slices"
	"strings"
)

// The header fields of callers, backend servers and hops.
const (
	// HeaderID holds the request ID, in a request to the backend server.
	HeaderID = "Gt-Id"
	// HeaderRemaining holds the remaining time until the deadline, in milliseconds.
	HeaderRemaining = "Gt-Left"
	// HeaderHops holds the number of calls before this one in the call chain.
	HeaderHops = "Gt-Hops"
	// HeaderIdempotencyKey holds the caller's idempotency key, as in the draft of
	// the IETF HTTPAPI working group.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderResend is "1" if the caller has sent the request before.
	HeaderResend = "Gt-Resend"
	// HeaderRetry is "1" if the request is, or is caused by, a retry that draws on
	// the retry budget.
	HeaderRetry = "Gt-Retry"
	// HeaderCall holds the metadata of a call between nodes; see encodeCall.
	HeaderCall = "Gt-Call"
	// HeaderVersion holds the version of the backend server that the sender of a call
	// picked in a move.
	HeaderVersion = "Gt-Version"
	// HeaderKey holds the key of the caller's client account.
	HeaderKey = "Gt-Key"
	// HeaderAccount holds the name of the client account, between nodes and in a
	// request to the backend server.
	HeaderAccount = "Gt-Account"
	// HeaderTarget holds the time until the target of a call between nodes, in
	// milliseconds; it is negative once the target has passed.
	HeaderTarget = "Gt-Target"
	// HeaderResponse holds the metadata of a response between nodes; see
	// encodeResponseMeta.
	HeaderResponse = "Gt-Answer"
	// HeaderCapacity holds, in a response between nodes, what the node has learned of its
	// backend server; see encodeCapacity.
	HeaderCapacity = "Gt-Capacity"
	// HeaderKind holds the error kind, in error responses that a node made.
	HeaderKind = "Gt-Kind"
	// HeaderCertainty holds what is known about whether the request ran, in the
	// same responses.
	HeaderCertainty = "Gt-Certainty"
)

// nodeFields are the header fields that only a node may set.
var nodeFields = []string{HeaderID, HeaderCall, HeaderVersion, HeaderAccount, HeaderTarget, HeaderResponse, HeaderCapacity, HeaderKind, HeaderCertainty}

// backendFields are computed for each request to the backend server. They are
// removed from requests between nodes.
var backendFields = []string{HeaderRemaining, HeaderHops, HeaderRetry}

// hopByHopFields apply to a single connection and are not forwarded.
var hopByHopFields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// removedFields is the set of canonical field names that ForwardableHeader
// removes.
var removedFields = func() map[string]bool {
	out := map[string]bool{}
	for _, f := range slices.Concat(hopByHopFields, nodeFields) {
		out[f] = true
	}
	return out
}()

// ForwardableHeader returns a copy of a message's header without hop-by-hop
// fields and without those that only a node may set. The values are shared with
// h: a field may be replaced in either header, but not appended to.
func ForwardableHeader(h http.Header) http.Header {
	out := http.Header{}
	for f, values := range h {
		if !removedFields[f] {
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
