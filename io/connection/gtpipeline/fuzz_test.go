package gtpipeline_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"godwittide/core/connection/gtsequence"
	"godwittide/io/connection/gtpipe"
	"godwittide/io/connection/gtpipeline"
	"godwittide/test/gtclock"
)

// firstRequest is sent in front of what is fuzzed, so that the connection is taken over.
const firstRequest = "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"

// exchange serves text, sent in parts of the given size, and returns the requests that the
// handler saw and all that the server wrote. takeOver says which requests are idempotent; nil
// leaves the connection to net/http.
func exchange(t *testing.T, text string, size int, idempotent func(r *http.Request) bool) (seen []string, wrote string) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		var mu sync.Mutex
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, err := io.ReadAll(r.Body)
			var fields bytes.Buffer
			_ = r.Header.Write(&fields)
			entry := fmt.Sprintf("%s %q %q %d %q %v %q", r.Method, r.RequestURI, r.Host, r.ContentLength, fields.String(), err != nil, b)
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, entry)
			_, _ = io.WriteString(w, entry)
		})
		server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second, ReadTimeout: time.Second, IdleTimeout: time.Second, MaxHeaderBytes: 4 << 10}
		ln, err := network.Listen("a:1")
		if err != nil {
			t.Fatal(err)
		}
		if idempotent != nil {
			p := &gtpipeline.Server{
				Handler: h, Idempotent: idempotent, MaxHeadBytes: 4 << 10, ReadTimeout: time.Second, IdleTimeout: time.Second,
				Limits: gtsequence.Limits{Requests: 16, RequestBytes: 1 << 10, ResponseBytes: 64 << 10},
			}
			server.Handler, server.ConnContext, server.ConnState = p, p.ConnContext, p.ConnState
			ln = p.Listener(ln)
		}
		go func() { _ = server.Serve(ln) }()
		defer server.Close()
		c, err := network.Dial(context.Background(), "a:1")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		go writeParts(c, text, size)
		b, _ := io.ReadAll(c)
		wrote = string(b)
	})
	return seen, wrote
}

// writeParts writes text in parts.
func writeParts(c net.Conn, text string, size int) {
	for text != "" {
		n := min(size, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(time.Microsecond)
	}
}

// FuzzFraming compares what is served on a connection that was taken over with what net/http
// serves: the same requests must reach the handler, and the same bytes the caller. A request
// that one takes for another could be answered for, or charged to, another caller.
func FuzzFraming(f *testing.F) {
	for _, text := range []string{
		request("GET", "a") + request("POST", "b") + request("GET", "c"),
		chunked("POST", "a") + chunked("PUT", "b") + request("GET", "c"),
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\n" + request("GET", "c"),
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n" + request("GET", "c"),
		"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd" + request("GET", "c"),
		"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc\r\n" + request("GET", "c"),
		"GET /a HTTP/1.1\nHost: a\n\nGET /b HTTP/1.1\nHost: a\n\n",
		"\r\n" + request("GET", "a"),
		"GET http://b/a HTTP/1.1\r\nHost: c\r\n\r\nGET http://b/a HTTP/1.1\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "GET /a HTTP/1.1\r\nHost: a b\r\n\r\n", "GET /a HTTP/1.1\r\nHost : a\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: a\r\nX: \x01\r\n\r\n", "GET /a HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n", "GET /a HTTP/1.1\r\nHost: a\r\nX Y: z\r\n\r\n",
		"GET /a HTTP/1.0\r\n\r\n", "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + request("GET", "b"), "GET /a HTTP/2.0\r\nHost: a\r\n\r\n", "GET /a HTTP/0.9\r\n\r\n",
		"HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n" + request("GET", "b"), "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n" + request("GET", "b"),
		"PUT /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx" + request("GET", "b"),
		"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + request("GET", "b"),
		"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc", "GET /a HT", "CONNECT a:1 HTTP/1.1\r\n\r\n",
	} {
		f.Add(text, uint16(1<<15))
		f.Add(text, uint16(1+len(text)/3))
	}
	f.Fuzz(func(t *testing.T, text string, size uint16) {
		if len(text) > 4<<10 || strings.Contains(text, "PRI *") {
			// net/http's limit on a head counts what it reads while it parses, and requests
			// of HTTP/2 are refused here.
			return
		}
		text = firstRequest + text
		parts := max(int(size), len(firstRequest)+1, len(text)/200)
		wantSeen, want := exchange(t, text, parts, nil)
		seen, got := exchange(t, text, parts, func(r *http.Request) bool { return r.RequestURI == "/first" })
		if !slices.Equal(seen, wantSeen) || got != want {
			t.Fatalf("seen %q\nnet/http %q\nwrote %q\nnet/http %q", seen, wantSeen, got, want)
		}
		seen, got = exchange(t, text, parts, func(r *http.Request) bool { return r.Method != http.MethodPost })
		slices.Sort(seen)
		slices.Sort(wantSeen)
		if !slices.Equal(seen, wantSeen) || got != want {
			t.Fatalf("concurrently: seen %q\nnet/http %q\nwrote %q\nnet/http %q", seen, wantSeen, got, want)
		}
	})
}
