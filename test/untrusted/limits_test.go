package untrusted

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// limitLines returns the log lines about a limit on a listener, and the number of lines that they
// say were suppressed.
func (n node) limitLines(limit, listener string) (lines, suppressed int) {
	for line := range strings.Lines(n.output()) {
		var l struct {
			Message, Limit, Listener, Address string
			Suppressed                        int
		}
		if json.Unmarshal([]byte(line), &l) != nil || l.Message != "node: limit reached" || l.Limit != limit || l.Listener != listener {
			continue
		}
		if l.Address == "127.0.0.1" {
			lines++
			suppressed += l.Suppressed
		}
	}
	return lines, suppressed
}

// metrics returns the text of /metrics.
func (n node) metrics(t *testing.T) string {
	t.Helper()
	resp, err := http.Get("http://" + n.admin + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Guards against limits that act unseen, and against a client that floods the log by exceeding
// them. The metric tells how often a limit acted, also where lines were suppressed.
func TestLimitsAreLogged(t *testing.T) {
	for name, c := range map[string]struct {
		text      string
		listeners []string
	}{
		"head":  {"GET /lending/x HTTP/1.1\r\nHost: node\r\nX-Long: " + strings.Repeat("a", 1<<20), []string{"edge", "hop", "peer", "admin"}},
		"lines": {"GET /lending/x HTTP/1.1\r\nHost: node\r\n" + strings.Repeat("a:\r\n", 1001), []string{"edge", "hop", "admin"}},
		"slow":  {"", []string{"peer"}}, // elsewhere a head that has begun has limit.slow
		"empty": {strings.Repeat("\r\n", 20), []string{"edge", "hop", "admin"}},
	} {
		for _, listener := range c.listeners {
			t.Run(name+" "+listener, func(t *testing.T) {
				n := startNode(t)
				start := time.Now()
				runCrowd(t, listeners[listener](n), func(_ int, w io.Writer) error {
					_, err := io.WriteString(w, c.text)
					return err
				})
				sample := `godwittide_limited{limit="` + name + `",listener="` + listener + `"} 60`
				eventually(t, "metric "+sample, func() bool { return strings.Contains(n.metrics(t), sample) })
				lines, _ := n.limitLines(name, listener)
				if most := 1 + int(time.Since(start)/time.Second); lines == 0 || lines > most {
					t.Errorf("%d log lines, expected 1 to %d", lines, most)
				}
				n.check(t)
			})
		}
	}
}

// openConns returns how many of the connections are still open. A connection that is not has been
// closed when it was accepted.
func openConns(conns []net.Conn) int {
	n := 0
	for _, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			n++
		}
	}
	return n
}

// Guards against one address that takes all connections of a listener without sending a byte, so
// that others get none. Descriptors are bounded by the limit for the address.
func TestSilentConnectionsOfOneAddress(t *testing.T) {
	const limit = 10
	for listener, target := range map[string]string{"edge": "/lending/x", "hop": "/gt/ping", "peer": "", "admin": "/status"} {
		t.Run(listener, func(t *testing.T) {
			n := startNodeWith(t, bodyBytes, budgetBytes, "address = 10", "hop = 10", "peer = 10", "admin = 20")
			addr := listeners[listener](n)
			var conns []net.Conn
			for range connections {
				conn, err := net.DialTimeout("tcp", addr, waitTime)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				conns = append(conns, conn)
			}
			if open := openConns(conns); open > limit {
				t.Errorf("%d connections of one address are open, the limit is %d", open, limit)
			}
			dialer := net.Dialer{Timeout: waitTime, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
			if target == "" {
				conn, err := dialer.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				if openConns([]net.Conn{conn}) != 1 {
					t.Error("a connection of another address was closed")
				}
			} else {
				client := http.Client{Timeout: waitTime, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
				resp, err := client.Get("http://" + addr + target)
				if err != nil {
					t.Fatalf("a request of another address failed: %v", err)
				}
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					t.Errorf("a request of another address got status %d", resp.StatusCode)
				}
			}
			for _, c := range conns {
				_ = c.Close()
			}
			eventually(t, "log line about the limit", func() bool {
				lines, _ := n.limitLines("address", listener)
				return lines > 0
			})
			// The node counts a connection until it has read of its end.
			eventually(t, "connection of the address once the others are closed", func() bool {
				conn, err := net.DialTimeout("tcp", addr, waitTime)
				if err != nil {
					return false
				}
				defer conn.Close()
				return openConns([]net.Conn{conn}) == 1
			})
			n.check(t)
		})
	}
}
