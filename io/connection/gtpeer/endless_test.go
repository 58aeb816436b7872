package gtpeer

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gttimer"
)

// A stranger that connects to the control port may send bytes without end. Before it
// has named itself, the link is closed after few of them, whatever length it claims.
func TestEndlessFirstMessageClosesTheLink(t *testing.T) {
	for _, length := range []uint32{maxFirstMessageBytes + 1, MaxMessageBytes, 1<<31 - 1, compressedFlag | MaxMessageBytes} {
		g := gomega.NewWithT(t)
		stranger, conn := net.Pipe()
		served := atomic.Int64{}
		l := &Link{
			Conn: conn, Timer: &gttimer.Service{}, OnBytes: func(int, int) {},
			Serve: func(*Link, string, json.RawMessage) (any, error) { served.Add(1); return nil, nil },
		}
		l.Open(context.Background())
		_ = stranger.SetWriteDeadline(time.Now().Add(5 * time.Second))
		_, err := stranger.Write(binary.BigEndian.AppendUint32(nil, length))
		sent := 0
		for err == nil {
			var n int
			n, err = stranger.Write(make([]byte, 4096))
			sent += n
		}
		g.Expect(sent).To(gomega.BeNumerically("<=", maxFirstMessageBytes))
		g.Eventually(l.Done()).Should(gomega.BeClosed())
		g.Expect(served.Load()).To(gomega.BeZero())
		l.Close()
	}
}
