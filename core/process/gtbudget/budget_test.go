package gtbudget

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const mib = 1 << 20

// world is a budget under a clock that the test sets.
type world struct {
	*Budget
	now time.Time
}

func newWorld(bytes int64) *world {
	w := &world{now: time.Unix(1000, 0)}
	w.Budget = &Budget{Bytes: bytes, Now: func() time.Time { return w.now }}
	return w
}

func (w *world) pass(d time.Duration) { w.now = w.now.Add(d) }

func (w *world) join() *Holder { return w.Join(func() {}) }

// fill reserves pieces for a holder until there is no room, and moves them.
func fill(h *Holder, piece, limit int64) int64 {
	var sum int64
	for sum < limit && h.Reserve(piece) == Granted {
		h.Moved(int(piece))
		sum += piece
	}
	return sum
}

// Guards against a budget that refuses a single request inside the limits.
func TestHolderThatIsAloneAlwaysGetsItsReservation(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(4 * mib)
	for range 100 { // beside small ones
		g.Expect(w.join().Reserve(1 << 10)).To(gomega.Equal(Granted))
	}
	g.Expect(fill(w.join(), 64<<10, 64*mib)).To(gomega.Equal(int64(64 * mib)))
	g.Expect(w.join().Reserve(16 << 10)).To(gomega.Equal(Short))
}

// Guards against a crowd that stops short of its end and keeps the budget for ever: with the
// naive rule, first come first served, the honest request never gets room.
func TestCrowdThatStopsShortOfItsEndIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(32 * mib)
	dropped := 0
	var crowd []*Holder
	for range 60 {
		h := w.Join(func() { dropped++ })
		fill(h, 64<<10, 4*mib)
		crowd = append(crowd, h)
	}
	g.Expect(w.Used()).To(gomega.BeNumerically("<=", 32*mib))
	w.pass(StallTime)
	honest := w.join()
	got := int64(0)
	for range 200 {
		got += fill(honest, 64<<10, 4*mib-got)
		for _, h := range crowd {
			if h.IsDropped() {
				h.Leave()
			}
		}
		w.pass(scanPeriod)
	}
	g.Expect(got).To(gomega.Equal(int64(4 * mib)))
	g.Expect(dropped).To(gomega.BeNumerically("<", 10), "no more are dropped than room is needed for")
	g.Expect(w.Used()).To(gomega.BeNumerically("<=", 32*mib))
}

// Guards against a crowd that moves a byte now and then in order not to count as stalled.
func TestHolderThatDribblesIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(8 * mib)
	dribbler, steady, wants := w.join(), w.join(), w.join()
	fill(dribbler, 64<<10, 3*mib)
	fill(steady, 64<<10, 4*mib)
	for range 20 {
		w.pass(StallTime / 10)
		dribbler.Moved(1)
		steady.Moved(4 << 10)
	}
	g.Expect(wants.Reserve(mib)).To(gomega.Equal(Short))
	g.Expect(dribbler.IsDropped()).To(gomega.BeTrue())
	g.Expect(steady.IsDropped()).To(gomega.BeFalse())
	dribbler.Leave()
	g.Expect(wants.Freed()).To(gomega.Receive())
	g.Expect(wants.Reserve(mib)).To(gomega.Equal(Granted))
}

// Guards against a deadlock of holders that all wait for each other.
func TestHoldersThatAllWaitDoNotBlockEachOther(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(8 * mib)
	var all []*Holder
	for range 20 {
		all = append(all, w.join())
	}
	got := make([]int64, len(all))
	served, refused := 0, 0
	for range 2000 {
		for i, h := range all {
			if h == nil {
				continue
			}
			if got[i] < 4*mib && h.Reserve(64<<10) == Granted {
				h.Moved(64 << 10)
				got[i] += 64 << 10
			}
			switch {
			case h.IsDropped():
				refused++
			case got[i] == 4*mib:
				served++
			default:
				continue
			}
			h.Leave()
			all[i] = nil
		}
		w.pass(10 * time.Millisecond)
	}
	g.Expect(served + refused).To(gomega.Equal(20))
	g.Expect(served).To(gomega.BeNumerically(">", 0))
	g.Expect(w.Used()).To(gomega.BeZero())
}

// Guards against small requests that find no room beside large ones.
func TestSmallHoldersHaveRoomBesideLargeOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(8 * mib)
	for range 4 {
		fill(w.join(), 64<<10, 4*mib)
	}
	g.Expect(w.join().Reserve(mib)).To(gomega.Equal(Short))
	g.Expect(w.join().Reserve(16 << 10)).To(gomega.Equal(Granted))
}

// Guards against a request that is dropped after its body has arrived: it may be at work.
func TestCompleteHolderIsNotDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(8 * mib)
	h, other := w.join(), w.join()
	fill(h, 64<<10, 7*mib)
	h.Complete()
	w.pass(time.Minute)
	g.Expect(other.Reserve(4 * mib)).To(gomega.Equal(Short))
	g.Expect(h.IsDropped()).To(gomega.BeFalse())
}

// Guards against bytes that stay reserved.
func TestEverythingIsGivenBack(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(8 * mib)
	h := w.join()
	g.Expect(h.Reserve(mib)).To(gomega.Equal(Granted))
	h.Release(mib / 2)
	h.Leave()
	h.Leave()
	g.Expect(w.TryReserve(9 * mib)).To(gomega.BeFalse())
	g.Expect(w.TryReserve(8 * mib)).To(gomega.BeTrue())
	w.Release(8 * mib)
	g.Expect(w.Used()).To(gomega.BeZero())
}

// Guards against a body that is dropped because its receiver takes it slowly: only the time in
// which its sender is waited for counts.
func TestPausedHolderIsNotDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(4 * mib)
	dropped := 0
	h := w.Join(func() { dropped++ })
	g.Expect(h.Reserve(2 * mib)).To(gomega.Equal(Granted))
	h.Complete()
	w.pass(time.Minute)
	other := w.join()
	g.Expect(other.Reserve(2 * mib)).To(gomega.Equal(Short))
	g.Expect(dropped).To(gomega.BeZero())
	h.Resume()
	w.pass(StallTime - 1)
	g.Expect(other.Reserve(2 * mib)).To(gomega.Equal(Short))
	g.Expect(dropped).To(gomega.BeZero(), "the pause doesn't count")
	w.pass(scanPeriod)
	g.Expect(other.Reserve(2 * mib)).To(gomega.Equal(Short))
	g.Expect(dropped).To(gomega.Equal(1), "a stall after the pause does")
}

// Guards against memory for heads and the buffers of connections that comes on top of the budget,
// and against so much of it that no body is read any more.
func TestHeldBytesTakeFromBodiesWithinBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	free := func(held int64) int64 {
		w := newWorld(16 * mib)
		other := w.join()
		g.Expect(fill(other, 64<<10, 3*mib)).To(gomega.Equal(int64(3 * mib)))
		w.Hold(held)
		g.Expect(w.Used()).To(gomega.Equal(3*mib + held))
		got := fill(w.join(), 64<<10, 64*mib)
		w.Hold(-held)
		return got
	}
	g.Expect(free(0) - free(2*mib)).To(gomega.Equal(int64(2 * mib)))
	g.Expect(free(1000 * mib)).To(gomega.Equal(free(6 * mib)))
	g.Expect(free(1000 * mib)).To(gomega.BeNumerically(">=", mib))
	w := newWorld(16 * mib)
	w.Hold(1000 * mib)
	g.Expect(fill(w.join(), 64<<10, 64*mib)).To(gomega.Equal(int64(64*mib)), "a holder that is alone")
	(*Budget)(nil).Hold(1)
}
