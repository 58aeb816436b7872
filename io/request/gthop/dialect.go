package gthop

import (
	"net/http"
	"strconv"
	"time"

	"godwittide/core/request/gtcall"
	"godwittide/core/version/gtconfig"
)

// Dialect is how callers and backend servers are spoken to. A function that is
// nil keeps to the project's own header fields. Its fields are set before use.
type Dialect struct {
	// Name returns the caller's id of a request; "" lets the node make one.
	Name func(r *http.Request) string
	// Left returns the time that the caller still waits, and false if it does
	// not say.
	Left func(r *http.Request) (time.Duration, bool)
	// Fresh are the fields that Dress sets anew, so that no hop carries them.
	Fresh []string
	// Dress sets the header fields of a request to the backend server, which has
	// the given time left.
	Dress func(h http.Header, c gtcall.Call, left time.Duration)
	// Check looks at the head of a backend server's answer, and returns an error
	// with a kind for one that is not to be passed on.
	Check func(c gtcall.Call, status int, h http.Header) error
	// Refuse answers a caller with an error.
	Refuse func(w http.ResponseWriter, err error)
}

// ID returns the caller's id of a request, or fallback.
func (d Dialect) ID(r *http.Request, fallback func() string) string {
	if d.Name != nil {
		if id := d.Name(r); id != "" {
			return id
		}
	}
	return fallback()
}

// Limit returns the shorter of limit and the time that the caller still waits.
func (d Dialect) Limit(r *http.Request, limit time.Duration) time.Duration {
	left := ownLeft
	if d.Left != nil {
		left = d.Left
	}
	if v, ok := left(r); ok {
		return min(limit, v)
	}
	return limit
}

// ownLeft reads the project's own field.
func ownLeft(r *http.Request) (time.Duration, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderLeft), 10, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(max(ms, 0), gtconfig.MaxTimeout.Milliseconds())) * time.Millisecond, true
}

// Fail answers a caller with an error.
func (d Dialect) Fail(w http.ResponseWriter, err error) {
	if d.Refuse == nil {
		WriteError(w, err)
		return
	}
	d.Refuse(w, err)
}

// dress sets the header fields of a request to the backend server.
func (d Dialect) dress(h http.Header, c gtcall.Call, left time.Duration) {
	if d.Dress != nil {
		d.Dress(h, c, left)
		return
	}
	h.Set(HeaderID, c.ID())
	h.Set(HeaderLeft, strconv.FormatInt(left.Milliseconds(), 10))
	h.Set(HeaderHops, strconv.Itoa(c.Hops()+1))
	h.Del(HeaderRetry)
	if c.Nested() {
		h.Set(HeaderRetry, "1")
	}
}

func (d Dialect) check(c gtcall.Call, status int, h http.Header) error {
	if d.Check == nil {
		return nil
	}
	return d.Check(c, status, h)
}
