package gtpool

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtstream"
	"godwittide/io/connection/gtpipe"
	"godwittide/test/gtclock"
)

// Guards against a status line without a valid status, such as 000, that is passed over as
// an interim response: the caller waited for its deadline, or got the bytes of the body as
// its response. The exchange fails at once, may have run, and its connection is closed.
func TestInvalidStatusEndsTheExchange(t *testing.T) {
	smuggled := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
	for name, response := range map[string]string{
		"000":                      "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n",
		"000 without a length":     "HTTP/1.1 000 \r\n\r\n",
		"000 with a response":      "HTTP/1.1 000 \r\nContent-Length: 40\r\n\r\n" + smuggled,
		"099":                      "HTTP/1.1 099 Low\r\nContent-Length: 0\r\n\r\n",
		"signed":                   "HTTP/1.1 +20 Signed\r\nContent-Length: 0\r\n\r\n",
		"101 without a request":    "HTTP/1.1 101 Switching Protocols\r\n\r\n" + smuggled,
		"interim with a length":    "HTTP/1.1 103 Early Hints\r\nContent-Length: 40\r\n\r\n" + smuggled,
		"interim with chunks":      "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + smuggled,
		"600":                      "HTTP/1.1 600 High\r\nContent-Length: 0\r\n\r\n",
		"999":                      "HTTP/1.1 999 High\r\nContent-Length: 0\r\n\r\n",
		"000 after a true interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 \r\nContent-Length: 40\r\n\r\n" + smuggled,
	} {
		for _, isStreamed := range []bool{false, true} {
			t.Run(name+map[bool]string{false: "", true: ", streamed"}[isStreamed], func(t *testing.T) {
				gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
					g := gomega.NewWithT(t)
					addr, conns := servePeer(t, network, func(_ int, w io.Writer, _ *http.Request) bool {
						_, err := io.WriteString(w, response)
						return err == nil
					})
					p := &Pool{Dial: network.Dial, Now: time.Now, MaxConns: 4}
					defer p.Close()
					ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
					defer cancel()
					start := time.Now()
					exchange := get
					if isStreamed {
						exchange = getStreamed
					}
					body, err := exchange(ctx, p, addr, false)
					g.Expect(err).To(gomega.HaveOccurred(), "%.20q", body)
					g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.ConnectionLost), "%v", err)
					g.Expect(gtkind.Of(err).Row().Certainty()).To(gomega.Equal(gtkind.Unknown))
					g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second))
					g.Expect(p.OpenConns(addr)).To(gomega.BeZero(), "the connection is closed")
					g.Expect(conns.Load()).To(gomega.BeEquivalentTo(1))
					time.Sleep(time.Second) // the server notices
				})
			})
		}
	}
}

// getStreamed does the same as get with a body that is forwarded in windows.
func getStreamed(ctx context.Context, p *Pool, addr string, _ bool) (string, error) {
	windows := []string{"body"}
	b := gtstream.NewBody(int64(len(windows[0])), time.Now)
	b.Interrupt = func() {}
	b.Read = func() ([]byte, gtstream.Cause, error) {
		if len(windows) == 0 {
			return nil, gtstream.None, io.EOF
		}
		window := windows[0]
		windows = windows[1:]
		return []byte(window), gtstream.None, nil
	}
	req, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/x", nil)
	resp, err := p.DoStream(ctx, addr, "normal", req, b)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	received, err := io.ReadAll(resp.Body)
	return string(received), err
}
