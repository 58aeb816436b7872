package gthop

import (
	"context"
	"net/http"
	"sync"
	"time"

	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtstream"
	"godwittide/io/connection/gtpool"
)

// slotCheckPeriod is the period at which a body that makes no progress is noticed.
const slotCheckPeriod = 100 * time.Millisecond

// do sends the request for a call through a pool.
func do(ctx context.Context, pool *gtpool.Pool, addr string, req *http.Request, c gtcall.Call) (*http.Response, error) {
	if c.Stream() == nil {
		return pool.Do(ctx, addr, c.Class().PoolName(), req, c.Idempotent())
	}
	return pool.DoStream(ctx, addr, c.Class().PoolName(), req, c.Stream())
}

// MayStream reports whether a body for this backend server would get a permit now.
func (b *LocalBackend) MayStream(route string) bool {
	return b.permits.HasFree(b.Gate.Load(route).Limit())
}

// permit takes a permit to forward the body of a call in windows, which ends with the body. The
// returned function ends it in any case. Without a permit the body is read whole, as one whose
// request may be sent elsewhere if it is refused.
func (b *LocalBackend) permit(c gtcall.Call) (release func(), err error) {
	if c.Stream().IsKept() {
		return func() {}, nil
	}
	if !b.permits.TryAcquire(b.Gate.Load(c.Route()).Limit()) {
		return func() {}, c.Stream().Keep()
	}
	release = sync.OnceFunc(b.permits.Release)
	c.Stream().NotifyEnd(release)
	return release, nil
}

// send sends the request for a call to the backend server. While a body is forwarded in
// windows, its slot is taken from it if no other is free and it makes no progress.
func (b *LocalBackend) send(ctx context.Context, c gtcall.Call, req *http.Request) (*http.Response, error) {
	if c.Stream() != nil && !c.Stream().IsKept() {
		sent := make(chan struct{})
		defer close(sent)
		go b.guardSlot(c, sent)
	}
	return do(ctx, b.Pool, b.Address, req, c)
}

// guardSlot drops the body of a call that stalls while the backend server has no free slot,
// until sent is closed.
func (b *LocalBackend) guardSlot(c gtcall.Call, sent <-chan struct{}) {
	ticker := time.NewTicker(slotCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-sent:
			return
		case <-ticker.C:
			if l := b.Gate.Load(c.Route()); l.Busy() >= l.Limit() && c.Stream().IsStalled() {
				c.Stream().Drop(gtstream.DroppedForSlot)
				return
			}
		}
	}
}

// askForBody sends the interim response by which the sender of a call learns that its body is
// taken: in windows, as the call has its slot, or whole. net/http doesn't send its own then.
func (ka *keepAlive) askForBody(inWindows bool) {
	ka.mu.Lock()
	defer ka.mu.Unlock()
	if ka.ended {
		return
	}
	if inWindows {
		ka.w.Header().Set(gtpool.WindowsField, "1")
	}
	ka.w.WriteHeader(http.StatusContinue)
	ka.w.Header().Del(gtpool.WindowsField)
}
