package gtadmission

import (
	"strconv"
	"testing"
	"time"

	"godwittide/core/version/gtconfig"
)

// BenchmarkEnter measures a request that is granted at once, one that is refused, and one
// that waits among 500 of 78 accounts.
func BenchmarkEnter(b *testing.B) {
	now := time.Unix(1000, 0)
	newGate := func() *Gate {
		g := &Gate{Now: func() time.Time { return now }, Slots: 8, Fixed: true}
		t, _ := g.Enter(NewRequest(gtconfig.Normal, now.Add(time.Second)).WithRoute("r"))
		now = now.Add(10 * time.Millisecond)
		t.Done("r", 10*time.Millisecond, Succeeded)
		return g
	}
	request := func(i int) Request {
		return NewRequest(gtconfig.Normal, now.Add(time.Minute)).WithRoute("r").WithTarget(now.Add(time.Minute)).WithAccount("account-" + strconv.Itoa(i%78))
	}
	b.Run("granted", func(b *testing.B) {
		g := newGate()
		for i := range b.N {
			now = now.Add(time.Millisecond)
			t, err := g.Enter(request(i))
			if err != nil {
				b.Fatal(err)
			}
			t.Done("r", 10*time.Millisecond, Succeeded)
		}
	})
	b.Run("refused", func(b *testing.B) {
		g := newGate()
		for i := range 8 {
			_, _ = g.Enter(request(i))
		}
		r := NewRequest(gtconfig.Normal, now.Add(9*time.Millisecond)).WithRoute("r")
		for range b.N {
			if _, err := g.Enter(r); err == nil {
				b.Fatal("not refused")
			}
		}
	})
	b.Run("queued", func(b *testing.B) {
		g := newGate()
		running := make(chan *Ticket, 1024)
		for i := range 508 {
			t, err := g.Enter(request(i))
			if err != nil {
				b.Fatal(err)
			}
			running <- t
		}
		for i := range b.N {
			now = now.Add(time.Microsecond)
			t, err := g.Enter(request(i))
			if err != nil {
				b.Fatal(err)
			}
			running <- t
			for done := false; !done; {
				old := <-running
				if done = isClosed(old.Granted()); done {
					old.Done("r", 10*time.Millisecond, Succeeded)
				} else {
					running <- old
				}
			}
		}
	})
}
