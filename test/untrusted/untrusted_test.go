package untrusted

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// crowdTime bounds how long a connection of the crowd goes on sending. The node is checked
// after that, while all connections stay open as far as the node leaves them.
const crowdTime = 4 * time.Second

// runCrowd opens the connections of the crowd, on each of which send writes until it is done,
// fails or crowdTime has passed. They stay open until the end of the test.
func runCrowd(t *testing.T, addr string, send func(i int, w io.Writer) error) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range connections {
		conn, err := net.DialTimeout("tcp", addr, waitTime)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetWriteDeadline(time.Now().Add(crowdTime))
		wg.Go(func() { _ = send(i, conn) })
	}
	wg.Wait()
}

// repeat writes b up to the given number of times.
func repeat(w io.Writer, b []byte, times int) error {
	for range times {
		if _, err := w.Write(b); err != nil {
			return err
		}
	}
	return nil
}

const post = "POST /lending/x HTTP/1.1\r\nHost: node\r\n"

// listeners are the listeners for which a crowd sends heads, by name. Each gets a node of its
// own, so that no connection of an earlier crowd counts, which net/http keeps for 500 ms after
// it has refused a head.
var listeners = map[string]func(n node) string{
	"edge":  func(n node) string { return n.edge },
	"hop":   func(n node) string { return n.hop },
	"peer":  func(n node) string { return n.peer },
	"admin": func(n node) string { return n.admin },
}

// Guards against heads that take memory without a bound, on each listener.
func TestHeads(t *testing.T) {
	for name, addr := range listeners {
		t.Run(name+" over the limit", func(t *testing.T) {
			n := startNode(t)
			runCrowd(t, addr(n), func(_ int, w io.Writer) error {
				_, err := io.WriteString(w, "GET /lending/x HTTP/1.1\r\nHost: node\r\nX-Long: "+strings.Repeat("a", 1<<20)+"\r\n\r\n")
				return err
			})
			n.check(t)
		})
		t.Run(name+" without end", func(t *testing.T) {
			n := startNode(t)
			line := []byte(strings.Repeat("X-Line: a\r\n", 400))
			runCrowd(t, addr(n), func(_ int, w io.Writer) error {
				if _, err := io.WriteString(w, "GET /lending/x HTTP/1.1\r\nHost: node\r\n"); err != nil {
					return err
				}
				return repeat(w, line, 2000)
			})
			n.check(t)
		})
	}
}

// Guards against empty lines that keep a connection busy without a bound, on each listener.
func TestEmptyLines(t *testing.T) {
	for name, addr := range listeners {
		t.Run(name, func(t *testing.T) {
			n := startNode(t)
			lines := bytes.Repeat([]byte("\r\n"), 2000)
			runCrowd(t, addr(n), func(_ int, w io.Writer) error { return repeat(w, lines, 2000) })
			n.check(t)
		})
	}
}

// sendBody sends a body of the limit's size in writes of the given size, each framed by
// frame. All but each tenth connection stop one byte short of the end.
func sendBody(i int, w io.Writer, size int, frame func([]byte) []byte, end string) error {
	left := bodyBytes
	if i%10 != 0 {
		left, end = left-1, ""
	}
	for ; left > 0; left -= size {
		if _, err := w.Write(frame(make([]byte, min(size, left)))); err != nil {
			return err
		}
	}
	_, err := io.WriteString(w, end)
	return err
}

func plain(b []byte) []byte { return b }

func chunk(b []byte) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(b), b) }

// Guards against bodies of legal size with a length that take memory for each connection.
func TestBodiesWithLength(t *testing.T) {
	for name, size := range map[string]int{"whole": bodyBytes, "piece by piece": 8 << 10} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t)
			runCrowd(t, n.edge, func(i int, w io.Writer) error {
				if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", post, bodyBytes); err != nil {
					return err
				}
				return sendBody(i, w, size, plain, "")
			})
			n.check(t)
		})
	}
}

// Guards against chunked bodies of legal size that take memory for each connection.
func TestChunkedBodies(t *testing.T) {
	for name, size := range map[string]int{"large chunks": 1 << 20, "tiny chunks": 1} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t)
			runCrowd(t, n.edge, func(i int, w io.Writer) error {
				if _, err := io.WriteString(w, post+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
					return err
				}
				return sendBody(i, w, size, chunk, "0\r\n\r\n")
			})
			n.check(t)
		})
	}
}

// Guards against a budget that refuses, or copies, a single request inside the limits: a body of
// 64 MB on a machine with 134 MB, of which the budget is 35% as on the platform.
func TestSingleLargeBodyIsServed(t *testing.T) {
	const size, machine = 64 << 20, 134 << 20
	for name, reader := range map[string]func() io.Reader{
		"length":  func() io.Reader { return bytes.NewReader(make([]byte, size)) },
		"chunked": func() io.Reader { return io.MultiReader(bytes.NewReader(make([]byte, size))) },
	} {
		t.Run(name, func(t *testing.T) {
			n := startNodeWith(t, size, machine*35/100)
			resp, err := http.Post("http://"+n.edge+"/lending/x", "", reader())
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			b, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != http.StatusOK || len(b) < size {
				t.Errorf("status %d, %d bytes, %v", resp.StatusCode, len(b), err)
			}
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
			if err != nil {
				t.Fatal(err)
			}
			peak := peakBytes(string(status))
			t.Logf("peak of the resident memory %.1f MB (bound %.1f)", mb(peak), mb(machine))
			if peak > machine {
				t.Errorf("the peak of the resident memory is %.1f MB, the bound %.1f MB", mb(peak), mb(machine))
			}
		})
	}
}
