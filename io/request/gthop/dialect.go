package gthop

import (
	"cmp"
	"net/http"
	"strconv"
	"time"

	"godwittide/core/request/gtcall"
	"godwittide/core/version/gtconfig"
)

// Dialect adapts nodes to the header fields and error responses that callers and
// backend servers use. A nil function selects this package's own header fields
// and error responses; a nil CheckResponse accepts every response. Its fields are
// set before use.
type Dialect struct {
	// RequestID returns the ID that the caller gave to a request, or "" to let the
	// node generate one.
	RequestID func(r *http.Request) string
	// RemainingTime returns the remaining time until the caller's deadline, and
	// false if the request doesn't state it.
	RemainingTime func(r *http.Request) (time.Duration, bool)
	// CallerService returns the service that a request to the edge comes from, as this node
	// knows it.
	CallerService func(r *http.Request) string
	// IsNested reports whether a request comes from a backend server that runs another, by
	// the number in HeaderHops and by whether its route is exempt from the keys that the
	// configuration asks for. Nil means that such a request has hops.
	IsNested func(hops int, exempt bool) bool
	// BackendHeaderFields are the header fields that SetBackendHeader sets for each
	// request to the backend server. They are removed from requests between nodes.
	BackendHeaderFields []string
	// SetBackendHeader sets the header fields of a request to the backend server,
	// with the given remaining time.
	SetBackendHeader func(h http.Header, c gtcall.Call, remaining time.Duration)
	// Credential returns the key of a client account that a request of a caller carries,
	// or "" if it carries none.
	Credential func(r *http.Request) string
	// CredentialField is the header field that holds the key, and AccountField the one
	// that holds the account's name in a request to the backend server. They are
	// removed from callers' requests if the configuration has accounts. Empty names
	// stand for HeaderKey and HeaderAccount.
	CredentialField, AccountField string
	// CheckResponse validates the status and header of a backend server's response,
	// and returns an error with a kind for one that must not be forwarded.
	CheckResponse func(c gtcall.Call, status int, h http.Header) error
	// ErrorWriter writes the error response to a caller.
	ErrorWriter func(w http.ResponseWriter, err error)
}

// RequestIDOr returns the ID that the caller gave to a request, or the result
// of fallback.
func (d Dialect) RequestIDOr(r *http.Request, fallback func() string) string {
	if d.RequestID != nil {
		if id := d.RequestID(r); id != "" {
			return id
		}
	}
	return fallback()
}

// MarkCaller returns the call with what this node knows of the sender of its request: its
// service, and whether a backend server makes the call while it runs another. self is the
// service of this node's backend server; exempt tells whether the route is exempt from the
// keys that the configuration asks for.
func (d Dialect) MarkCaller(c gtcall.Call, r *http.Request, self string, exempt bool) gtcall.Call {
	nested := c.Hops() > 0
	if d.IsNested != nil {
		nested = d.IsNested(c.Hops(), exempt)
	}
	switch {
	case d.CallerService != nil:
		c = c.WithCaller(d.CallerService(r))
	case nested:
		c = c.WithCaller(self)
	}
	return c.WithNested(nested)
}

// CredentialOf returns the key of a client account that a request of a caller
// carries, or "" if it carries none or more than one.
func (d Dialect) CredentialOf(r *http.Request) string {
	if d.Credential != nil {
		return d.Credential(r)
	}
	if values := r.Header.Values(d.credentialField()); len(values) == 1 {
		return values[0]
	}
	return ""
}

func (d Dialect) credentialField() string { return cmp.Or(d.CredentialField, HeaderKey) }

func (d Dialect) accountField() string { return cmp.Or(d.AccountField, HeaderAccount) }

// RemoveAccountFields removes the key of a client account, and the name of an
// account that only a node may set, from the header of a caller's request.
func (d Dialect) RemoveAccountFields(h http.Header) {
	h.Del(d.credentialField())
	h.Del(d.accountField())
}

// setAccount sets the header field of a request to the backend server with the
// account's name. It removes one that the caller has set, if accounts are in use.
func (d Dialect) setAccount(h http.Header, c gtcall.Call, inUse bool) {
	if c.Account() != "" {
		h.Set(d.accountField(), c.Account())
	} else if inUse {
		h.Del(d.accountField())
	}
}

// ShortenTimeout returns the shorter of timeout and the remaining time until the
// caller's deadline, if the request states it.
func (d Dialect) ShortenTimeout(r *http.Request, timeout time.Duration) time.Duration {
	remaining := remainingTime
	if d.RemainingTime != nil {
		remaining = d.RemainingTime
	}
	if v, ok := remaining(r); ok {
		return min(timeout, v)
	}
	return timeout
}

// remainingTime returns the remaining time in HeaderRemaining, between 0 and
// gtconfig.MaxTimeout, and false if the field is missing or invalid.
func remainingTime(r *http.Request) (time.Duration, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderRemaining), 10, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(max(ms, 0), gtconfig.MaxTimeout.Milliseconds())) * time.Millisecond, true
}

// WriteError writes the error response to a caller.
func (d Dialect) WriteError(w http.ResponseWriter, err error) {
	if d.ErrorWriter == nil {
		WriteError(w, err)
		return
	}
	d.ErrorWriter(w, err)
}

// setBackendHeader sets the header fields of a request to the backend server.
func (d Dialect) setBackendHeader(h http.Header, c gtcall.Call, remaining time.Duration) {
	if d.SetBackendHeader != nil {
		d.SetBackendHeader(h, c, remaining)
		return
	}
	h.Set(HeaderID, c.ID())
	h.Set(HeaderRemaining, strconv.FormatInt(remaining.Milliseconds(), 10))
	h.Set(HeaderHops, strconv.Itoa(c.Hops()+1))
	h.Del(HeaderRetry)
	if c.IsRetry() {
		h.Set(HeaderRetry, "1")
	}
}

func (d Dialect) checkResponse(c gtcall.Call, status int, h http.Header) error {
	if d.CheckResponse == nil {
		return nil
	}
	return d.CheckResponse(c, status, h)
}
