package gtoverlay

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gttimer"
	"godwittide/core/request/gtdedup"
	"godwittide/core/version/gtdelta"
	"godwittide/core/version/gtmove"
	"godwittide/io/connection/gtpeer"
	"godwittide/io/connection/gtpipe"
)

func newOverlay(ctx context.Context, name string) *Overlay {
	timer := &gttimer.Service{}
	table := &gtmember.Table{Now: timer.Time}
	table.SetSelf(gtmember.NewRecord(name, "z1", name+":1", name+":2").WithIncarnation(1))
	o := &Overlay{
		Timer: timer, Log: zerolog.Nop(), Cluster: "c", Table: table,
		Dial:   func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed },
		Holder: &gtdelta.Holder{Now: timer.Time}, Moves: &gtmove.Table{Now: timer.Time}, Crashes: &gtdedup.Crashes{Now: timer.Time},
	}
	o.Open(ctx)
	return o
}

// connectPeer sends a hello message as a peer does and runs the link until it is
// closed.
func connectPeer(ctx context.Context, conn net.Conn, o *Overlay, h Hello) {
	l := &gtpeer.Link{
		Conn: conn, Timer: o.Timer, OnBytes: func(int, int) {},
		Serve: func(*gtpeer.Link, string, json.RawMessage) (any, error) { return struct{}{}, nil },
	}
	l.Open(ctx)
	var response Hello
	_ = l.Call(ctx, "hello", h, &response)
	l.Run(ctx)
}

// Run must wait for every goroutine that the overlay starts. Peers that connect,
// and links that close, while the overlay shuts down must not start one after
// Run has begun to wait.
func TestPeersConnectDuringShutdown(t *testing.T) {
	const rounds, peers = 200, 16
	for range rounds {
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			o := newOverlay(ctx, "a")
			hello := newOverlay(ctx, "b").newHello(false)
			var wg sync.WaitGroup
			wg.Go(func() { o.Timer.Run(ctx) })
			wg.Go(o.Run)
			synctest.Wait()
			wg.Go(cancel)
			for range peers {
				peerEnd, overlayEnd := gtpipe.Pair(nil, nil)
				wg.Go(func() { o.Accept(ctx, overlayEnd) })
				wg.Go(func() { connectPeer(ctx, peerEnd, o, hello) })
			}
			wg.Wait()
		})
	}
}
