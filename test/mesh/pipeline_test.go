package mesh

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtsettings"
)

// slowLending are sites whose requests take a fifth of a second, and whose concurrency limit
// doesn't rise first.
var slowLending = gtcluster.SiteSpec{
	Service: "lending", Version: "1", ServiceTime: 200 * time.Millisecond,
	EditSettings: func(s *gtsettings.Settings) { s.Backend.FixedLimit = true },
}

// aheadAnswer is the response to a request that was sent ahead.
type aheadAnswer struct {
	status  int
	matched bool
	closes  bool
	after   time.Duration
}

// sendAhead sends requests ("GET", "POST") to a site on one connection without waiting for
// their responses, calls during, and returns the responses that come.
func sendAhead(s *gtcluster.Site, methods []string, during func()) []aheadAnswer {
	conn, err := network.Connect(context.Background(), strings.TrimPrefix(s.EdgeURL(), "http://"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	start := time.Now()
	for i, method := range methods {
		text := fmt.Sprintf("GET /lending/x?ahead%d. HTTP/1.1\r\nHost: a\r\n\r\n", i)
		if method == http.MethodPost {
			text = fmt.Sprintf("POST /lending/x HTTP/1.1\r\nHost: a\r\nContent-Length: 7\r\n\r\nahead%d.", i)
		}
		_, err := io.WriteString(conn, text)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	}
	during()
	var answers []aheadAnswer
	for r := bufio.NewReader(conn); len(answers) < len(methods); {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			break
		}
		b, err := io.ReadAll(resp.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		matched := strings.Contains(string(b), fmt.Sprintf("ahead%d.", len(answers)))
		answers = append(answers, aheadAnswer{resp.StatusCode, matched, resp.Close, time.Since(start)})
	}
	return answers
}

var _ = ginkgo.Describe("requests that are sent ahead on a connection", func() {
	it("run beside each other if they are idempotent, and one by one if not", func() {
		cluster := newCluster()
		sites := addSites(cluster, 2, slowLending, "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		answers := sendAhead(sites[0], []string{"GET", "GET", "GET", "GET", "POST", "POST", "GET", "GET"}, func() {})
		gomega.Expect(answers).To(gomega.HaveLen(8))
		for i, a := range answers {
			gomega.Expect(a.status).To(gomega.Equal(http.StatusOK))
			gomega.Expect(a.matched).To(gomega.BeTrue(), "response %d belongs to another request", i)
			gomega.Expect(a.closes).To(gomega.BeFalse())
		}
		gomega.Expect(answers[3].after).To(gomega.BeNumerically("<", 300*time.Millisecond), "four at once")
		gomega.Expect(answers[4].after).To(gomega.BeNumerically(">=", 400*time.Millisecond))
		gomega.Expect(answers[5].after).To(gomega.BeNumerically(">=", 600*time.Millisecond))
		gomega.Expect(answers[7].after).To(gomega.BeNumerically("<", 900*time.Millisecond))
	})

	it("are answered at a stop if they have started, and haven't run if they are unread and non-idempotent", func() {
		cluster := newCluster()
		sites := addSites(cluster, 2, slowLending, "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		answers := sendAhead(sites[0], []string{"GET", "GET", "GET", "GET", "GET", "POST", "GET"}, func() {
			sleep(100 * time.Millisecond)
			sites[0].Node().Drain()
		})
		gomega.Expect(answers).To(gomega.HaveLen(5))
		for i, a := range answers {
			gomega.Expect(a.status).To(gomega.Equal(http.StatusOK))
			gomega.Expect(a.matched).To(gomega.BeTrue())
			gomega.Expect(a.closes).To(gomega.Equal(i == 4))
		}
		sleep(time.Second)
		for _, s := range sites {
			for _, e := range s.Backend().Executions() {
				gomega.Expect(e.Method).To(gomega.Equal("GET"))
			}
		}
	})

	it("are refused in their turn and with their own reason", func() {
		cluster := newCluster()
		sites := addSites(cluster, 1, slowLending, "z1")
		answers := sendAhead(sites[0], []string{"GET", "POST", "GET"}, func() {})
		gomega.Expect(answers).To(gomega.HaveLen(3))
		for _, a := range answers {
			gomega.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable), "there is no configuration yet")
		}
	})
})
