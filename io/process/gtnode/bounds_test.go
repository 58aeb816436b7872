package gtnode

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"godwittide/core/process/gtbudget"
	"godwittide/io/process/gtsettings"
)

// Guards against a log that a client floods, and against a limit that hides another.
func TestLogOfLimitsIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	log := zerolog.New(&out)
	var r limitReports
	now := time.Now()
	for range 50 {
		r.add(&log, now, limitAddress, listenerHop, "10.0.0.9", 200)
	}
	r.add(&log, now, limitHeadLines, listenerAdmin, "10.0.0.8", maxHeadLines)
	g.Expect(strings.Count(out.String(), "\n")).To(gomega.Equal(2))
	g.Expect(out.String()).To(gomega.ContainSubstring(`"limit":"address","listener":"hop","address":"10.0.0.9","value":200,"suppressed":0,"message":"node: limit reached"`))
	g.Expect(out.String()).To(gomega.ContainSubstring(`"limit":"lines","listener":"admin"`))
	out.Reset()
	r.add(&log, now.Add(limitReportPeriod), limitAddress, listenerHop, "10.0.0.7", 200)
	g.Expect(out.String()).To(gomega.ContainSubstring(`"address":"10.0.0.7","value":200,"suppressed":49`))
	counts := map[string]int64{}
	r.take(func(limit, listener string, count int64) { counts[limit+" "+listener] = count })
	g.Expect(counts).To(gomega.Equal(map[string]int64{"address hop": 51, "lines admin": 1}))
	r.take(func(string, string, int64) { t.Error("counted twice") })
}

// limitsOf serves one connection with the bounds of all listeners, on which send writes, and
// returns the limits that were reported. wrap wraps the listener and the client's connection.
func limitsOf(t *testing.T, headTime time.Duration, wrap func(ln net.Listener) (net.Listener, func(net.Conn) net.Conn), send func(c net.Conn)) map[string]int64 {
	t.Helper()
	g := gomega.NewWithT(t)
	n := &Node{Log: zerolog.Nop()}
	n.Settings.Limit.MaxHeadBytes, n.Settings.Limit.ReadTimeout = 16<<10, gtsettings.Duration(headTime)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	wrapped, wrapClient := wrap(ln)
	server, serve := n.Serve("test", wrapped, 10, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	go func() { _ = serve() }()
	defer server.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	send(wrapClient(c))
	counts := map[string]int64{}
	n.limits.take(func(limit, _ string, count int64) { counts[limit] = count })
	return counts
}

// Guards against limits that act unseen, and against ordinary requests that are counted. A
// limit acts on each head of a connection, not on the first one alone.
func TestLimitsOnHeadsAreReported(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: a\r\n"
	for name, c := range map[string]struct {
		text string
		want map[string]int64
	}{
		"long head":     {get + "X: " + strings.Repeat("a", 30<<10), map[string]int64{limitHeadBytes: 1}},
		"many lines":    {get + strings.Repeat("a:\r\n", maxHeadLines), map[string]int64{limitHeadLines: 1}},
		"empty lines":   {strings.Repeat("\r\n", maxEmptyLines+1), map[string]int64{limitEmptyLines: 1}},
		"slow head":     {get, map[string]int64{limitHeadTime: 1}},
		"silence":       {"", map[string]int64{}},
		"body of lines": {"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("a\n", 2500), map[string]int64{}},
	} {
		for _, before := range []int{0, 1} {
			t.Run(name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				g.Expect(limitsOf(t, 300*time.Millisecond, withoutTLS, func(conn net.Conn) {
					r := bufio.NewReader(conn)
					for range before {
						_, _ = io.WriteString(conn, get+"\r\n")
						resp, err := http.ReadResponse(r, nil)
						g.Expect(err).NotTo(gomega.HaveOccurred())
						resp.Body.Close()
					}
					_, _ = io.WriteString(conn, c.text)
					if c.text == "" {
						time.Sleep(time.Second / 2)
						return
					}
					_, _ = io.Copy(io.Discard, r) // until the server closes
				})).To(gomega.Equal(c.want))
			})
		}
	}
}

// Guards against a limit that turns away what an honest node opens, before and after a restart of
// it, or nodes that share an address; and against one address that takes all of a listener.
func TestLimitsForAddressFollowWhatANodeOpens(t *testing.T) {
	for name, c := range map[string]struct {
		listener  string
		change    func(s *gtsettings.Settings)
		want      int
		sparesOwn bool
	}{
		"callers":          {listenerEdge, nil, 0, false},
		"callers, set":     {listenerEdge, func(s *gtsettings.Settings) { s.Limit.MaxAddressConnections = 7 }, 7, false},
		"nodes":            {listenerHop, nil, 200, true},
		"nodes, more":      {listenerHop, func(s *gtsettings.Settings) { s.Backend.MaxConnections = 500 }, 1000, true},
		"nodes, set":       {listenerHop, func(s *gtsettings.Settings) { s.Limit.MaxHopConnections = 7 }, 7, false},
		"nodes, relay":     {listenerHop, func(s *gtsettings.Settings) { s.Advertise.Hop = "10.0.0.1:1" }, 0, false},
		"nodes, relay set": {listenerHop, func(s *gtsettings.Settings) { s.Advertise.Hop, s.Limit.MaxHopConnections = "10.0.0.1:1", 9 }, 9, false},
		"links":            {listenerPeer, nil, 8, true},
		"links, set":       {listenerPeer, func(s *gtsettings.Settings) { s.Limit.MaxPeerConnections = 7 }, 7, false},
		"links, relay":     {listenerPeer, func(s *gtsettings.Settings) { s.Advertise.Peer = "10.0.0.1:1" }, 0, false},
		"admin":            {listenerAdmin, nil, 128, false},
		"control":          {"control", nil, 128, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := &Node{Settings: gtsettings.Default()}
			if c.change != nil {
				c.change(&n.Settings)
			}
			limit, sparesOwn := n.addressLimit(c.listener, 256)
			g.Expect(limit).To(gomega.Equal(c.want))
			g.Expect(sparesOwn).To(gomega.Equal(c.sparesOwn))
		})
	}
}

// addressConn is a connection between two addresses.
type addressConn struct {
	net.Conn
	local, remote net.TCPAddr
}

func (c addressConn) LocalAddr() net.Addr  { return &c.local }
func (c addressConn) RemoteAddr() net.Addr { return &c.remote }

// Guards against nodes on one machine that turn each other away, and against an exception for
// other machines.
func TestOwnMachineIsExcepted(t *testing.T) {
	for name, c := range map[string]struct {
		local, remote string
		want          int
	}{
		"loopback":        {"127.0.0.1", "127.0.0.1", 3},
		"other loopback":  {"127.0.0.3", "127.0.0.4", 3},
		"own address":     {"10.0.0.1", "10.0.0.1", 3},
		"other machine":   {"10.0.0.1", "10.0.0.2", 1},
		"mapped loopback": {"::ffff:127.0.0.1", "::ffff:127.0.0.1", 3},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := &limitListener{maxConns: fixedLimit(10), maxPerAddress: 1, sparesOwn: true}
			conn := addressConn{local: net.TCPAddr{IP: net.ParseIP(c.local)}, remote: net.TCPAddr{IP: net.ParseIP(c.remote)}}
			accepted := 0
			for range 3 {
				if address, ok := l.add(conn); ok {
					accepted++
					defer l.remove(address)
				}
			}
			g.Expect(accepted).To(gomega.Equal(c.want))
		})
	}
}

func withoutTLS(ln net.Listener) (net.Listener, func(net.Conn) net.Conn) {
	return ln, func(c net.Conn) net.Conn { return c }
}

// Guards against heads on the listener for other nodes that are not bounded where it has TLS.
func TestHeadsAreBoundedAboveTLS(t *testing.T) {
	g := gomega.NewWithT(t)
	withCertificate := httptest.NewTLSServer(http.NotFoundHandler())
	defer withCertificate.Close()
	withTLS := func(ln net.Listener) (net.Listener, func(net.Conn) net.Conn) {
		return tls.NewListener(ln, withCertificate.TLS), func(c net.Conn) net.Conn {
			return tls.Client(c, &tls.Config{InsecureSkipVerify: true})
		}
	}
	g.Expect(limitsOf(t, time.Minute, withTLS, func(c net.Conn) {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", maxHeadLines))
		_, _ = io.Copy(io.Discard, c) // until the server closes
	})).To(gomega.Equal(map[string]int64{limitHeadLines: 1}))
	g.Expect(limitsOf(t, time.Minute, withTLS, func(c net.Conn) {
		r := bufio.NewReader(c)
		for range 3 {
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			resp, err := http.ReadResponse(r, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			resp.Body.Close()
		}
	})).To(gomega.BeEmpty())
}

// Guards against heads of requests that run which come on top of the budget, and against ones that
// stay counted, also when a handler panics.
func TestHeadsAreCountedWhileTheirRequestsRun(t *testing.T) {
	g := gomega.NewWithT(t)
	n := &Node{Log: zerolog.Nop(), budget: &gtbudget.Budget{Bytes: 1 << 20, Now: time.Now}}
	n.Settings.Limit.MaxHeadBytes, n.Settings.Limit.ReadTimeout = 16<<10, gtsettings.Duration(time.Minute)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	used := make(chan int64, 4)
	server, serve := n.Serve("test", ln, 10, n.countHeads(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		used <- n.budget.Used()
		if r.URL.Path == "/panic" {
			panic(http.ErrAbortHandler)
		}
	})))
	go func() { _ = serve() }()
	defer server.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	r := bufio.NewReader(c)
	for _, path := range []string{"/", "/" + strings.Repeat("x", 5000), "/", "/panic"} {
		head := "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n"
		_, _ = io.WriteString(c, head+"abc")
		resp, err := http.ReadResponse(r, nil)
		if path != "/panic" {
			g.Expect(err).NotTo(gomega.HaveOccurred())
			resp.Body.Close()
		}
		// net/http may read the first byte of a head before it tells that the connection is idle.
		g.Expect(<-used).To(gomega.BeNumerically("~", len(head), 1))
	}
	g.Eventually(n.budget.Used).Should(gomega.BeZero())
}
