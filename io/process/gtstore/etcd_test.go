package gtstore

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// endlessStore accepts connections, reads a request on each, and then sends head and
// block over and over until the client closes. It returns its URL and the number of
// bytes sent.
func endlessStore(t *testing.T, head, block string) (string, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	sent := &atomic.Int64{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = c.Read(make([]byte, 4096))
				_, err := io.WriteString(c, head)
				for err == nil {
					var n int
					n, err = io.WriteString(c, block)
					sent.Add(int64(n))
				}
			}()
		}
	}()
	return "http://" + ln.Addr().String(), sent
}

// A store in trouble may send bytes without end. A call and a watch must end with an
// error after a bounded number of them.
func TestEndlessResponsesOfTheStore(t *testing.T) {
	block := strings.Repeat("x", 64<<10)
	const ok = "HTTP/1.1 200 OK\r\n\r\n"
	for name, head := range map[string]string{"head": "HTTP/1.1 200 OK\r\nA: ", "string": ok + `{"kvs":[{"key":"`, "no JSON": ok} {
		for call, run := range map[string]func(context.Context, *Store) error{
			"range": func(ctx context.Context, s *Store) error {
				_, err := s.Range(ctx, "a", "")
				return err
			},
			"watch": func(ctx context.Context, s *Store) error {
				return s.Watch(ctx, "a", "b", 0, func([]KV) {})
			},
		} {
			t.Run(fmt.Sprintf("%s of a %s", name, call), func(t *testing.T) {
				g := gomega.NewWithT(t)
				url, sent := endlessStore(t, head, block)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				err := run(ctx, NewEtcd(url, NewClient()))
				g.Expect(err).To(gomega.HaveOccurred())
				g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "it ends by itself")
				g.Expect(sent.Load()).To(gomega.BeNumerically("<", 2*maxResponseSize))
			})
		}
	}
}
