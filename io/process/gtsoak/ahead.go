package gtsoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"godwittide/core/process/gttimer"
	"godwittide/core/request/gtkind"
	"godwittide/io/connection/gtsocket"
	"godwittide/io/process/gtcluster"
	"godwittide/io/request/gthop"
)

const (
	// maxAhead is the largest number of requests that a caller sends at once.
	maxAhead = 6
	// aheadInterval is the mean time between two such groups, in intervals of other callers.
	aheadInterval = 4
	// aheadStream is the first stream of random numbers of these callers.
	aheadStream = 1 << 33
	// unread is the kind of a request that was sent behind a response that closed the
	// connection: the node has not read it.
	unread = "unread"
)

// aheadCaller sends requests to one site without waiting for the responses, on a connection
// that it keeps.
type aheadCaller struct {
	site int
	url  string // of the site
	conn net.Conn
	br   *bufio.Reader
}

// runAhead is a caller of site i. Until ctx ends it sends groups of requests at random
// intervals, a third of them POST. Each request is recorded as a call.
func (c *callers) runAhead(ctx context.Context, i int, edgeURL string, rnd *rand.Rand, interval time.Duration) {
	caller := &aheadCaller{site: i, url: edgeURL}
	defer caller.close()
	for n := 0; gttimer.Sleep(ctx, time.Duration(rnd.ExpFloat64()*aheadInterval*float64(interval))) == nil; n++ {
		route := c.routes[n%len(c.routes)]
		group := make([]call, 1+rnd.IntN(maxAhead))
		for k := range group {
			group[k] = call{method: http.MethodGet, timeout: route.timeout}
			if rnd.IntN(3) == 0 {
				group[k].method = http.MethodPost
			}
			group[k].attempts = []attempt{{site: i, Result: gtcluster.Result{Body: fmt.Sprintf("a%d.%d.%d.", i, n, k)}}}
		}
		caller.send(group, route.path+"/x", rnd.IntN(2) == 0)
		for _, sent := range group {
			if err := sent.attempts[0].Err; c.onError != nil && err != nil {
				c.onError(err)
			}
			c.addFinished(sent)
		}
	}
}

func (a *aheadCaller) close() {
	if a.conn != nil {
		_ = a.conn.Close()
		a.conn = nil
	}
}

// send sends a group of requests, in one write or in one for each, and reads the responses.
func (a *aheadCaller) send(group []call, path string, together bool) {
	err := a.connect()
	if err == nil {
		_ = a.conn.SetDeadline(time.Now().Add(time.Duration(len(group)) * callTimeout))
		err = a.write(group, path, together)
	}
	if a.conn == nil {
		for k := range group {
			group[k].attempts[0].SentAt, group[k].attempts[0].Err = time.Now(), err
		}
		return
	}
	// After a failed write the response that tells why may still be there.
	for k := range group {
		result := &group[k].attempts[0].Result
		closes := a.read(result, group[k].method)
		result.Duration = time.Since(result.SentAt)
		if closes {
			a.close()
			markUnread(group[k+1:])
			return
		}
	}
}

// markUnread records that requests were sent behind the last response of their connection. A
// non-idempotent one of them must not have run.
func markUnread(group []call) {
	for k := range group {
		result := &group[k].attempts[0].Result
		result.Duration = time.Since(result.SentAt)
		result.Status, result.Kind, result.Certainty = http.StatusRequestTimeout, unread, gtkind.NotRun.String()
	}
}

// connect opens a connection, unless the one that was kept is still open.
func (a *aheadCaller) connect() error {
	if a.conn != nil && gtsocket.Peek(a.conn) == gtsocket.Quiet {
		return nil
	}
	a.close()
	conn, err := net.DialTimeout("tcp", strings.TrimPrefix(a.url, "http://"), callTimeout)
	if err != nil {
		return err
	}
	a.conn, a.br = conn, bufio.NewReader(conn)
	return nil
}

// write writes the requests.
func (a *aheadCaller) write(group []call, path string, together bool) error {
	var text strings.Builder
	for k := range group {
		result := &group[k].attempts[0].Result
		result.SentAt = time.Now()
		if group[k].method == http.MethodGet {
			fmt.Fprintf(&text, "GET %s?size=0&%s HTTP/1.1\r\nHost: soak\r\n\r\n", path, result.Body)
		} else {
			fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: soak\r\nContent-Length: %d\r\n\r\n%s", path, len(result.Body), result.Body)
		}
		if together && k < len(group)-1 {
			continue
		}
		if _, err := io.WriteString(a.conn, text.String()); err != nil {
			for rest := k; rest < len(group); rest++ {
				group[rest].attempts[0].SentAt = time.Now()
			}
			return err
		}
		text.Reset()
	}
	return nil
}

// read reads the response to a request, and reports whether the connection ends with it.
func (a *aheadCaller) read(result *gtcluster.Result, method string) bool {
	resp, err := http.ReadResponse(a.br, &http.Request{Method: method})
	if err != nil {
		result.Err = err
		return true
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		result.Err = err
		return true
	}
	result.Status, result.Backend = resp.StatusCode, resp.Header.Get("Backend")
	result.Kind, result.Certainty = resp.Header.Get(gthop.HeaderKind), resp.Header.Get(gthop.HeaderCertainty)
	result.Matched = strings.Contains(string(b), result.Body)
	return resp.Close
}
