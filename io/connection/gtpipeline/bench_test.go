package gtpipeline_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"godwittide/core/connection/gtsequence"
	"godwittide/io/connection/gtpipe"
	"godwittide/io/connection/gtpipeline"
)

// BenchmarkOneAtATime measures a request of a caller that does not send ahead, with net/http
// alone (depth 1) and with its connections watched.
func BenchmarkOneAtATime(b *testing.B) {
	for _, depth := range []int{1, 16} {
		b.Run(fmt.Sprint("depth", depth), func(b *testing.B) {
			network := &gtpipe.Network{}
			h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "2")
				_, _ = io.WriteString(w, "ok")
			})
			server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
			ln, err := network.Listen("a:1")
			if err != nil {
				b.Fatal(err)
			}
			if depth > 1 {
				p := &gtpipeline.Server{
					Handler: h, Idempotent: func(*http.Request) bool { return true }, MaxHeadBytes: 8 << 10, ReadTimeout: time.Second, IdleTimeout: time.Minute,
					Limits: gtsequence.Limits{Requests: depth, RequestBytes: 1 << 16, ResponseBytes: 1 << 16},
				}
				server.Handler, server.ConnContext, server.ConnState = p, p.ConnContext, p.ConnState
				ln = p.Listener(ln)
			}
			go func() { _ = server.Serve(ln) }()
			defer server.Close()
			c, err := network.Dial(context.Background(), "a:1")
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			br := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = io.WriteString(c, "GET /lending/holds?size=100 HTTP/1.1\r\nHost: 127.0.0.1:7400\r\nUser-Agent: caller\r\nGt-Left: 800\r\n\r\n")
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		})
	}
}
