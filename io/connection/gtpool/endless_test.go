package gtpool

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/request/gtkind"
	"godwittide/io/connection/gtpipe"
	"godwittide/test/gtclock"
)

// maxEndlessBytes bounds what a server in trouble can make a node read before the node
// closes the connection.
const maxEndlessBytes = 1 << 20

// A server may send bytes without end where a response is due, in its head or as a
// response to another request. The node must give up long before the deadline, with
// bounded memory, and the error must not say that the request has not run.
func TestEndlessBytesEndTheExchange(t *testing.T) {
	block := strings.Repeat("x", 1024)
	for name, bytes := range map[string]struct{ first, repeated string }{
		"status line":                   {"HTTP/1.1 200 ", block},
		"no response at all":            {"", block},
		"header value":                  {"HTTP/1.1 200 OK\r\nA: ", block},
		"header fields":                 {"HTTP/1.1 200 OK\r\n", "A: " + block + "\r\n"},
		"empty lines":                   {"", strings.Repeat("\r\n", 512)},
		"interim responses":             {"", "HTTP/1.1 103 Early Hints\r\nA: " + block + "\r\n\r\n"},
		"keep-alives":                   {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 40)},
		"response to another request":   {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", block},
		"responses to other requests":   {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1024\r\n\r\n" + block},
		"chunk extension of another":    {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n1;", block},
		"trailer of another's response": {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", block},
	} {
		t.Run(name, func(t *testing.T) {
			gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
				g := gomega.NewWithT(t)
				var sent atomic.Int64
				addr, _ := servePeer(t, network, func(_ int, w io.Writer, _ *http.Request) bool {
					_, err := io.WriteString(w, bytes.first)
					for err == nil && sent.Load() < 8*maxEndlessBytes {
						_, err = io.WriteString(w, bytes.repeated)
						sent.Add(int64(len(bytes.repeated)))
						time.Sleep(time.Microsecond)
					}
					return false
				})
				p := &Pool{
					Dial: network.Dial, Now: time.Now, MaxConns: 4,
					IsMismatched: func(_ *http.Request, resp *http.Response) bool { return resp.Header.Get("Id") == "other" },
				}
				defer p.Close()
				start := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				body, err := get(ctx, p, addr, false)
				g.Expect(err).To(gomega.HaveOccurred(), "%.20q", body)
				g.Expect(gtkind.Of(err).Row().Certainty()).To(gomega.Equal(gtkind.Unknown), "%v", err)
				g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 5*time.Second))
				g.Expect(sent.Load()).To(gomega.BeNumerically("<", maxEndlessBytes))
				g.Expect(p.OpenConns(addr)).To(gomega.BeZero(), "the connection is closed")
				time.Sleep(time.Second) // the server notices
			})
		})
	}
}

// A body without end is passed on as it comes, and nothing of it is kept. It ends with
// the request's time.
func TestEndlessBodyIsNotKept(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		addr, _ := servePeer(t, network, func(_ int, w io.Writer, _ *http.Request) bool {
			_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\n\r\n")
			for err == nil {
				_, err = io.WriteString(w, strings.Repeat("x", 1024))
				time.Sleep(time.Millisecond)
			}
			return false
		})
		p := &Pool{Dial: network.Dial, Now: time.Now, MaxConns: 4}
		defer p.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/x", nil)
		resp, err := p.Do(ctx, addr, "normal", req, true)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		start := time.Now()
		n, err := io.Copy(io.Discard, resp.Body)
		g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Deadline), "%v", err)
		g.Expect(n).To(gomega.BeNumerically(">", 100<<10))
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<=", 2*time.Second+50*time.Millisecond))
		resp.Body.Close()
		g.Expect(p.OpenConns(addr)).To(gomega.BeZero())
		time.Sleep(time.Second) // the server notices
	})
}
