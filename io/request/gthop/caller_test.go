package gthop

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtadmission"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtdedup"
	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtcanary"
	"godwittide/io/connection/gtpipe"
	"godwittide/io/connection/gtsocket"
	"godwittide/io/process/gttrace"
	"godwittide/test/gtclock"
)

// leftCaller returns the context of a request whose caller has closed the connection,
// which the HTTP server has not noticed yet.
func leftCaller(t *testing.T) context.Context {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	_ = client.Close()
	for gtsocket.Peek(server) != gtsocket.Closed {
		time.Sleep(time.Millisecond)
	}
	return gtsocket.WithConn(context.Background(), server)
}

// A request is not sent on, neither to a peer nor to the backend server, once its
// caller has closed the connection or its deadline has passed: the work would be for
// nobody. The node may have been paused since it read the request.
func TestRequestOfLeftCallerIsNotSentOn(t *testing.T) {
	left := leftCaller(t)
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		var runs atomic.Int64
		addr := serve(t, network, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		backend := &LocalBackend{
			Now: time.Now, Self: func() gtmember.Record { return gtmember.NewRecord("i", "z", "", "") }, ReadyAt: time.Now,
			Address: addr, MaxBufferBytes: 1000, Pool: newPool(t, network, false),
			Gate: &gtadmission.Gate{Now: time.Now, Slots: 1}, Crashes: &gtdedup.Crashes{Now: time.Now}, Outcomes: &gtcanary.OutcomeCounter{},
			Trace: (&gttrace.Tracer{}).Start,
		}
		client := &Client{Now: time.Now, Pool: newPool(t, network, true), MaxBufferBytes: 1000, Trace: (&gttrace.Tracer{}).Start}
		call := gtcall.New("mine", "GET", "/x").WithIdempotent(true)
		for name, send := range map[string]func(context.Context, gtcall.Call) error{
			"peer": func(ctx context.Context, c gtcall.Call) error {
				_, err := client.Send(ctx, gtmember.NewRecord("i", "z", addr, addr), c)
				return err
			},
			"backend server": func(ctx context.Context, c gtcall.Call) error {
				_, err := backend.Run(ctx, c)
				return err
			},
		} {
			now := time.Now()
			err := send(left, call.WithDeadline(now.Add(time.Second)))
			g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Expired), "%s, caller left: %v", name, err)
			err = send(context.Background(), call.WithDeadline(now.Add(-time.Millisecond)))
			g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Expired), "%s, deadline passed: %v", name, err)
			g.Expect(runs.Load()).To(gomega.BeZero(), "%s", name)
		}
		g.Expect(backend.Gate.Load("").Busy()).To(gomega.BeZero(), "the place in the gate is free again")
		_, err := backend.Run(context.Background(), call.WithDeadline(time.Now().Add(time.Second)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(runs.Load()).To(gomega.Equal(int64(1)))
	})
}
