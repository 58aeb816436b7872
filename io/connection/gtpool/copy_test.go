package gtpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// response returns a response to the request with the given ID, in one of several forms.
func response(form, id string) string {
	body := "body of " + id
	switch form {
	case "chunked":
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
	case "after an interim response":
		return "HTTP/1.1 103 Early Hints\r\n\r\n" + response("with a length", id)
	default:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
}

// serveCopies accepts connections. Each response is followed by a second copy of it:
// the first bytes of that soon after the response, the others when the next request
// has been read.
func serveCopies(t *testing.T, form string, first func(copied string) int) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				rest := ""
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					answer := response(form, req.Header.Get("Id"))
					_, _ = io.WriteString(c, rest+answer)
					time.Sleep(2 * time.Millisecond)
					n := first(answer)
					_, _ = io.WriteString(c, answer[:n])
					rest = answer[n:]
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// A server sends a second copy of a response, late, on a connection that is in use
// again. Nobody but the caller of that request may get it, in whatever form it comes
// and wherever it is split.
func TestLateSecondCopyReachesNobody(t *testing.T) {
	splits := map[string]func(copied string) int{
		"whole, while the connection is idle":   func(copied string) int { return len(copied) },
		"whole, after the next request":         func(string) int { return 0 },
		"split in the head":                     func(string) int { return 20 },
		"split in the body":                     func(copied string) int { return len(copied) - 4 },
		"one byte while the connection is idle": func(string) int { return 1 },
	}
	for _, form := range []string{"with a length", "chunked", "after an interim response"} {
		for split, first := range splits {
			t.Run(form+", "+split, func(t *testing.T) {
				g := gomega.NewWithT(t)
				addr := serveCopies(t, form, first)
				p := &Pool{
					Dial: func(ctx context.Context, addr string) (net.Conn, error) {
						return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
					},
					Now: time.Now, MaxConns: 4, MaxReuseIdle: time.Minute,
					IsMismatched: func(req *http.Request, resp *http.Response) bool {
						return resp.Header.Get("Id") != req.Header.Get("Id")
					},
				}
				defer p.Close()
				for i := range 6 {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/x", nil)
					id := fmt.Sprintf("request-%d", i)
					req.Header.Set("Id", id)
					resp, err := p.Do(ctx, addr, "normal", req, i%2 == 0)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					body, err := io.ReadAll(resp.Body)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(string(body)).To(gomega.Equal("body of " + id))
					resp.Body.Close()
					cancel()
					if i%3 == 0 {
						time.Sleep(5 * time.Millisecond)
					}
				}
			})
		}
	}
}
