package untrusted

import (
	"flag"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

// maxPeakBytes is the stated bound on a node with 184 MB (docs/design/hard-load.md).
const maxPeakBytes = 150 << 20

var crowd = flag.Int("crowd", 100, "measure the peak of the resident memory with this number of connections")

// Guards against memory that grows with the number of connections, each with a POST of 1 MB less
// one byte, with the budget of a machine with 184 MB. It measures with others, too:
//
//	go test ./test/untrusted -run TestPeakOfCrowd -v -crowd 400
func TestPeakOfCrowd(t *testing.T) {
	n := startNodeWith(t, 1<<20, 184<<20*35/100)
	var wg sync.WaitGroup
	for range *crowd {
		conn, err := net.DialTimeout("tcp", n.edge, waitTime)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetWriteDeadline(time.Now().Add(crowdTime))
		wg.Go(func() {
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", post, 1<<20)
			_, _ = conn.Write(make([]byte, 1<<20-1))
		})
	}
	wg.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	peak := peakBytes(string(status))
	t.Logf("%d connections: peak %.1f MB, %d descriptors", *crowd, mb(peak), len(entries))
	if peak == 0 || peak > maxPeakBytes {
		t.Errorf("the peak of the resident memory is %.1f MB, the bound %.1f MB", mb(peak), mb(maxPeakBytes))
	}
}
