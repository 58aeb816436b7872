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
		Holder: &gtdelta.Holder{Now: timer.Time}, Board: &gtmove.Table{Now: timer.Time}, Crashes: &gtdedup.Crashes{Now: timer.Time},
	}
	o.Open(ctx)
	return o
}

// greet opens a link as a peer does, and keeps it until it ends.
func greet(ctx context.Context, conn net.Conn, o *Overlay, h Hello) {
	l := &gtpeer.Link{
		Conn: conn, Timer: o.Timer, CountBytes: func(int, int) {},
		Serve: func(*gtpeer.Link, string, json.RawMessage) (any, error) { return struct{}{}, nil },
	}
	l.Open(ctx)
	var answer Hello
	_ = l.Call(ctx, "hello", h, &answer)
	l.Run(ctx)
}

// Peers may connect, and their links end, at the moment when the overlay ends.
// Nobody may start a thread that Run no longer waits for.
func TestPeersComeWhileTheOverlayEnds(t *testing.T) {
	const rounds, peers = 200, 16
	for range rounds {
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			o := newOverlay(ctx, "a")
			hello := newOverlay(ctx, "b").hello(false)
			var wg sync.WaitGroup
			wg.Go(func() { o.Timer.Run(ctx) })
			wg.Go(o.Run)
			synctest.Wait()
			wg.Go(cancel)
			for range peers {
				near, far := gtpipe.Pair(nil, nil)
				wg.Go(func() { o.Accept(ctx, far) })
				wg.Go(func() { greet(ctx, near, o, hello) })
			}
			wg.Wait()
		})
	}
}
