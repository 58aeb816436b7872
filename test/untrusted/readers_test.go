package untrusted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const (
	// responseBytes is the size of the responses: more than a spool and the buffers of the
	// sockets hold, and the most that the stand-in of a backend server sends.
	responseBytes = 16 << 20
	// readerBudget is limit.memory. Two full spools of a quarter each leave memory that is not
	// short.
	readerBudget = 16 << 20
	// slots is the number of slots of the backend server.
	slots = 2
)

// startReader sends a request with a large response and returns the connection.
func startReader(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", addr, waitTime)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := fmt.Fprintf(conn, "GET /lending/long?size=%d HTTP/1.1\r\nHost: node\r\n\r\n", responseBytes); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against callers that read nothing of their responses and hold all slots of the backend
// server for ever, while memory is not short.
func TestReadersThatStop(t *testing.T) {
	n := startNodeWith(t, bodyBytes, readerBudget, "backend.slots = 2", "backend.fixed = true")
	for range slots {
		_ = startReader(t, n.edge)
	}
	time.Sleep(time.Second)
	client := http.Client{Timeout: waitTime, Transport: &http.Transport{DisableKeepAlives: true}}
	served := false
	for end := time.Now().Add(3 * waitTime); !served && time.Now().Before(end); time.Sleep(time.Second / 2) {
		if resp, err := client.Get("http://" + n.edge + "/lending/x"); err == nil {
			served = resp.StatusCode == http.StatusOK
			resp.Body.Close()
		}
	}
	if !served {
		t.Errorf("no slot was given back in %s", 3*waitTime)
	}
	if lines, _ := n.limitLines("reader", "edge"); lines == 0 {
		t.Errorf("no log line about the readers: %s", tail(n.output()))
	}
	n.check(t)
}

// Guards against a bound on slow readers that disconnects one on a link of 64 kbit/s: it gets its
// whole response.
func TestReaderOnSlowLink(t *testing.T) {
	n := startNodeWith(t, bodyBytes, readerBudget)
	conn := startReader(t, n.edge)
	r := bufio.NewReaderSize(conn, 1<<10)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	const piece = 800 // in 100 ms
	total := int64(0)
	for range 500 {
		k, err := io.CopyN(io.Discard, resp.Body, piece)
		total += k
		if err != nil {
			t.Fatalf("the response ends after %d bytes: %v", total, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	// The rest is what the node has read of the server until the deadline of the request, or all.
	k, err := io.Copy(io.Discard, resp.Body)
	if total += k; err != nil || total < responseBytes {
		t.Errorf("%d of %d bytes, %v", total, responseBytes, err)
	}
	n.check(t)
}
