package gtpipeline

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	get   = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	post  = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
	chunk = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
)

// lengths are the lengths of the bodies, as net/http tells them to a handler.
var lengths = map[string]int64{get: 0, post: 3, chunk: -1}

// Requests that arrive one at a time, in whatever parts and with whatever bodies, must never
// be taken for pipelined ones: such connections are to stay with net/http.
func TestBoundaryOfRequestsThatComeOneAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b boundary
		for range rapid.IntRange(1, 8).Draw(t, "requests") {
			text := rapid.SampledFrom([]string{get, post, chunk, strings.ReplaceAll(get, "\r", "")}).Draw(t, "text")
			length, begun := lengths[text], false
			headEnd := strings.Index(text, "\n\r\n") + 3
			if headEnd < 3 {
				headEnd = strings.Index(text, "\n\n") + 2
			}
			for read := 0; read < len(text); {
				n := rapid.IntRange(1, len(text)-read).Draw(t, "part")
				b.received([]byte(text[read : read+n]))
				if read += n; read >= headEnd && !begun {
					begun = true
					if b.begin(length) {
						t.Fatal("taken for pipelined as its handler began")
					}
				}
			}
			if length != 0 {
				b.endBody()
			}
			if b.ahead() {
				t.Fatal("taken for pipelined while it was served")
			}
			b.becomeIdle()
		}
	})
}

// Bytes of a further request must be seen, or the caller waits for its responses one by one.
func TestBoundarySeesFurtherRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	var b boundary
	b.received([]byte(get + get[:1]))
	g.Expect(b.begin(0)).To(gomega.BeTrue(), "in the same read")
	b = boundary{}
	b.received([]byte(post + get))
	g.Expect(b.begin(3)).To(gomega.BeTrue(), "behind a body in the same read")
	b = boundary{}
	b.received([]byte(get))
	g.Expect(b.begin(0)).To(gomega.BeFalse())
	b.received([]byte("G"))
	g.Expect(b.ahead()).To(gomega.BeTrue(), "while the request is served")
	b.becomeIdle()
	b.received([]byte(get[1:] + get))
	g.Expect(b.begin(0)).To(gomega.BeTrue(), "behind a request whose first byte came early")
	b = boundary{}
	b.received([]byte(chunk + get + get))
	g.Expect(b.begin(-1)).To(gomega.BeFalse(), "the end of a chunked body isn't known")
	b.endBody()
	g.Expect(b.ahead()).To(gomega.BeFalse())
	b.becomeIdle()
	g.Expect(b.begin(0)).To(gomega.BeTrue(), "net/http had the request in its buffer")
	b = boundary{}
	b.received([]byte(post[:len(post)-2]))
	g.Expect(b.begin(3)).To(gomega.BeFalse())
	b.received([]byte(post[len(post)-2:] + "G"))
	g.Expect(b.ahead()).To(gomega.BeFalse(), "the handler still reads the body")
	b.endBody()
	g.Expect(b.ahead()).To(gomega.BeTrue())
}

// BenchmarkReceived measures what the watch adds to each read of a connection that does not
// pipeline.
func BenchmarkReceived(b *testing.B) {
	text := []byte("GET /lending/holds?size=100 HTTP/1.1\r\nHost: 127.0.0.1:7400\r\nUser-Agent: caller\r\nAccept: */*\r\nGt-Id: 0123456789abcdef\r\nGt-Left: 800\r\nAccept-Encoding: gzip\r\n\r\n")
	var w boundary
	for b.Loop() {
		w.received(text)
		w.begin(0)
		w.becomeIdle()
	}
}
