package gtsnapshot

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/onsi/gomega"

	"godwittide/core/process/gtaccept"
	"godwittide/core/version/gtdelta"
	"godwittide/core/version/gtmove"
	"godwittide/io/process/gtstand"
	"godwittide/io/process/gtstore"
)

func newVault(t *testing.T) (*Vault, *gtstand.Store) {
	t.Helper()
	store := &gtstand.Store{}
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	return &Vault{Store: gtstore.Etcd(server.URL, gtstore.Client()), Prefix: "t/"}, store
}

// pushInput and pushOutput are one call of an operator: read, then push from
// what was read.
type pushInput struct{ base int64 }

type pushOutput struct {
	seq int64
	ok  bool
}

// The folder is a register that a push moves from its base to the next number,
// or not at all.
var folder = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(int64), input.(pushInput), output.(pushOutput)
		if out.ok {
			return now == in.base && out.seq == in.base+1, out.seq
		}
		return now != in.base, now
	},
	Equal: func(a, b any) bool { return a == b },
}

// Operators race each other while answers get lost after the write took
// effect. Exactly one push of each base may win, and must know that it did.
func TestRacingPushesAreLinearizable(t *testing.T) {
	g := gomega.NewWithT(t)
	vault, store := newVault(t)
	store.Fail(gtstand.StoreFaults{Lose: 0.3})
	ctx := context.Background()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for client := range 4 {
		wg.Go(func() {
			for i := range 25 {
				base, err := vault.Read(ctx)
				if err != nil {
					continue
				}
				start := time.Now().UnixNano()
				seq, err := vault.Push(ctx, base, "op", map[string]string{"a.toml": fmt.Sprint(client, i)}, nil)
				end := time.Now().UnixNano()
				if err != nil && !errors.Is(err, ErrConflict) {
					t.Errorf("push ended with no outcome: %v", err)
					continue
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: pushInput{base.View().Head().Seq()}, Call: start,
					Output: pushOutput{seq, err == nil}, Return: end,
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	won := int64(0)
	for _, op := range history {
		if op.Output.(pushOutput).ok {
			won++
		}
	}
	state, err := vault.Read(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(state.View().Head().Seq()).To(gomega.Equal(won), "each push that landed knows it")
	g.Expect(won).To(gomega.BeNumerically("<", len(history)), "there was a race at all")
	g.Expect(porcupine.CheckOperations(folder, history)).To(gomega.BeTrue())
}

func accept(ctx context.Context, v *Vault, own gtdelta.Set, by string) (gtdelta.Set, error) {
	s, err := v.Read(ctx)
	if err != nil {
		return own, err
	}
	switch gtaccept.Decide(s.View(), own) {
	case gtaccept.Load:
		return v.Load(ctx, s.View().Record(), own)
	case gtaccept.Accept:
		files, err := v.Files(ctx)
		if err != nil {
			return own, err
		}
		next := gtdelta.NewSet(own.Version()+1, s.View().Head().Seq(), files)
		if err := v.Accept(ctx, s, own, next, by); err != nil {
			return own, err
		}
		return next, nil
	default:
		return own, nil
	}
}

// Several acceptors act on every push at once, some of them after a pause, and
// answers get lost. Each version must have one content, and whoever loads the
// accepted version from any earlier one must get that content.
func TestAcceptorsAgree(t *testing.T) {
	g := gomega.NewWithT(t)
	vault, store := newVault(t)
	store.Fail(gtstand.StoreFaults{Lose: 0.2})
	ctx := context.Background()
	var mu sync.Mutex
	sums := map[int64]string{}
	own := make([]gtdelta.Set, 3)
	for i := range own {
		own[i] = gtdelta.NewSet(0, 0, nil)
	}
	for push := range 2*gtaccept.CheckpointEvery + 6 {
		base, err := vault.Read(ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = vault.Push(ctx, base, "op", map[string]string{fmt.Sprintf("%d.toml", push%5): fmt.Sprint(push)}, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var wg sync.WaitGroup
		for i := range own {
			if i == 2 && push%7 != 0 {
				continue // paused for a while
			}
			wg.Go(func() {
				for range 20 {
					next, err := accept(ctx, vault, own[i], fmt.Sprint(i))
					if err != nil {
						continue
					}
					mu.Lock()
					if was, ok := sums[next.Version()]; ok && was != next.Sum() {
						t.Errorf("version %d has two contents", next.Version())
					}
					sums[next.Version()] = next.Sum()
					if next.Version() < own[i].Version() {
						t.Errorf("acceptor %d went back", i)
					}
					own[i] = next
					mu.Unlock()
				}
			})
		}
		wg.Wait()
	}
	g.Expect(own[0].Version()).To(gomega.Equal(int64(2*gtaccept.CheckpointEvery+6)), "each push is accepted once")
	s, err := vault.Read(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	fresh, err := vault.Load(ctx, s.View().Record(), gtdelta.NewSet(0, 0, nil))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(fresh.Sum()).To(gomega.Equal(own[0].Sum()))
	g.Expect(store.Len("t/delta/")).To(gomega.BeNumerically("<=", 2*gtaccept.CheckpointEvery+1), "old deltas are deleted")
	g.Expect(store.Len("t/snap/")).To(gomega.BeNumerically("<=", 2), "old snapshots are deleted")
}

// A store that has lost the last versions gets them back, with the folder and
// the head, and a push from the lost past does not replace them.
func TestRestoreAfterLostData(t *testing.T) {
	g := gomega.NewWithT(t)
	vault, store := newVault(t)
	ctx := context.Background()
	own := gtdelta.NewSet(0, 0, nil)
	var old gtstand.StoreImage
	for i := range 5 {
		if i == 2 {
			old = store.Image()
		}
		base, _ := vault.Read(ctx)
		_, err := vault.Push(ctx, base, "op", map[string]string{"a.toml": fmt.Sprint(i)}, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		own, err = accept(ctx, vault, own, "a")
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	store.Restore(old)
	s, _ := vault.Read(ctx)
	_, err := vault.Push(ctx, s, "late", map[string]string{"a.toml": "lost past"}, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s, _ = vault.Read(ctx)
	g.Expect(gtaccept.Decide(s.View(), own)).To(gomega.Equal(gtaccept.Restore))
	g.Expect(vault.Restore(ctx, s, own, "a")).To(gomega.Succeed())
	s, _ = vault.Read(ctx)
	g.Expect(gtaccept.Decide(s.View(), own)).To(gomega.Equal(gtaccept.Nothing))
	files, _ := vault.Files(ctx)
	g.Expect(files).To(gomega.Equal(map[string]string{"a.toml": "4"}))
	loaded, err := vault.Load(ctx, s.View().Record(), gtdelta.NewSet(0, 0, nil))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(loaded.Version()).To(gomega.Equal(int64(5)))
	_, err = vault.Push(ctx, s, "op", map[string]string{"a.toml": "next"}, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	own, err = accept(ctx, vault, own, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(own.Version()).To(gomega.Equal(int64(6)))
}

// Two drivers of a move write at once; one must win and the other must learn
// of it.
func TestMoveRecordHasOneWinner(t *testing.T) {
	g := gomega.NewWithT(t)
	vault, store := newVault(t)
	store.Fail(gtstand.StoreFaults{Lose: 0.3})
	ctx := context.Background()
	state := gtmove.NewState("m.s.1.2", 1, gtmove.Running, 0.05, "", time.Time{}, time.Time{}, time.Time{})
	for range 20 {
		var wg sync.WaitGroup
		got := make([]gtmove.State, 2)
		errs := make([]error, 2)
		for i := range got {
			wg.Go(func() {
				next := gtmove.NewState(state.ID(), state.Seq()+1, gtmove.Running, 0.1*float64(i+1), fmt.Sprint(i), time.Time{}, time.Time{}, time.Time{})
				got[i], errs[i] = vault.PutMove(ctx, next.WithRev(state.Rev()))
			})
		}
		wg.Wait()
		g.Expect(errs).To(gomega.HaveEach(gomega.BeNil()))
		g.Expect(got[0].Reason()).To(gomega.Equal(got[1].Reason()), "both hold the winner's state")
		g.Expect(got[0].Rev()).To(gomega.Equal(got[1].Rev()))
		state = got[0]
	}
}

// Folders larger than one value are cut into chunks, and a push that does not
// fit into one step is refused.
func TestLargeFolder(t *testing.T) {
	g := gomega.NewWithT(t)
	vault, store := newVault(t)
	ctx := context.Background()
	own := gtdelta.NewSet(0, 0, nil)
	text := "# " + strings.Repeat("x", 200<<10)
	for half := range 2 {
		files := map[string]string{}
		for i := range 5 {
			files[fmt.Sprintf("%d-%d.toml", half, i)] = text
		}
		base, _ := vault.Read(ctx)
		_, err := vault.Push(ctx, base, "op", files, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		own, err = accept(ctx, vault, own, "a")
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(store.Len("t/snap/")).To(gomega.BeNumerically(">", 2))
	s, _ := vault.Read(ctx)
	got, err := vault.Load(ctx, s.View().Record(), gtdelta.NewSet(0, 0, nil))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.Sum()).To(gomega.Equal(own.Sum()))

	many := map[string]string{}
	for i := range maxOps + 1 {
		many[fmt.Sprintf("%d.toml", i)] = "x"
	}
	_, err = vault.Push(ctx, s, "op", many, nil)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("too large for one step")))

	store.Restore(gtstand.StoreImage{})
	s, _ = vault.Read(ctx)
	g.Expect(vault.Restore(ctx, s, own, "a")).To(gomega.Succeed())
	files, _ := vault.Files(ctx)
	g.Expect(files).To(gomega.Equal(own.Files()))
}

// The answer of a push is lost, and another operator pushes on top before the
// first reads back. Both have landed, and both must know.
func TestPushKnowsThatItLandedBelowAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	vault, _ := newVault(t)
	ctx := context.Background()
	lossy := &Vault{Prefix: vault.Prefix, Store: &gtstore.Store{
		Range: vault.Store.Range,
		Txn: func(ctx context.Context, txn *gtstore.Txn) (gtstore.Done, error) {
			_, err := vault.Store.Txn(ctx, txn)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			base, err := vault.Read(ctx)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = vault.Push(ctx, base, "other", map[string]string{"b.toml": "2"}, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			return gtstore.Done{}, errors.New("answer lost")
		},
	}}
	base, _ := vault.Read(ctx)
	seq, err := lossy.Push(ctx, base, "op", map[string]string{"a.toml": "1"}, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(seq).To(gomega.Equal(int64(1)))
	now, _ := vault.Read(ctx)
	g.Expect(now.View().Head().Seq()).To(gomega.Equal(int64(2)))
}
