package gtrepository

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
	"godwittide/io/process/gtfake"
	"godwittide/io/process/gtstore"
)

func newRepository(t *testing.T) (*Repository, *gtfake.Store) {
	t.Helper()
	store := &gtfake.Store{}
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	return &Repository{Store: gtstore.NewEtcd(server.URL, gtstore.NewClient()), Prefix: "t/"}, store
}

// pushInput is the sequence number that an operator's push is based on.
type pushInput struct{ base int64 }

// pushOutput is the result of that push.
type pushOutput struct {
	seq int64
	ok  bool
}

// pushModel models the folder as a register that a push either advances from its
// base to the next sequence number or leaves unchanged.
var pushModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(int64), input.(pushInput), output.(pushOutput)
		if out.ok {
			return current == in.base && out.seq == in.base+1, out.seq
		}
		return current != in.base, current
	},
	Equal: func(a, b any) bool { return a == b },
}

// Operators push concurrently while responses get lost after the write took
// effect. Exactly one push from each base may succeed, and must report success.
func TestRacingPushesAreLinearizable(t *testing.T) {
	g := gomega.NewWithT(t)
	repo, store := newRepository(t)
	store.SetFaults(gtfake.StoreFaults{LoseResponseShare: 0.3})
	ctx := context.Background()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for client := range 4 {
		wg.Go(func() {
			for i := range 25 {
				base, err := repo.Read(ctx)
				if err != nil {
					continue
				}
				called := time.Now().UnixNano()
				seq, err := repo.Push(ctx, base, "op", map[string]string{"a.toml": fmt.Sprint(client, i)}, nil)
				returned := time.Now().UnixNano()
				if err != nil && !errors.Is(err, ErrConflict) {
					t.Errorf("push failed without a known outcome: %v", err)
					continue
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: pushInput{base.View().Head().Seq()}, Call: called,
					Output: pushOutput{seq, err == nil}, Return: returned,
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	succeeded := int64(0)
	for _, op := range history {
		if op.Output.(pushOutput).ok {
			succeeded++
		}
	}
	state, err := repo.Read(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(state.View().Head().Seq()).To(gomega.Equal(succeeded), "each applied push reported success")
	g.Expect(succeeded).To(gomega.BeNumerically("<", len(history)), "some pushes conflicted")
	g.Expect(porcupine.CheckOperations(pushModel, history)).To(gomega.BeTrue())
}

// accept acts on the stored state once, as a node that watches the store does,
// and returns the version that the node then holds.
func accept(ctx context.Context, r *Repository, current gtdelta.Snapshot, by string) (gtdelta.Snapshot, error) {
	s, err := r.Read(ctx)
	if err != nil {
		return current, err
	}
	switch gtaccept.Decide(s.View(), current) {
	case gtaccept.Load:
		return r.Load(ctx, s.View().Record(), current)
	case gtaccept.Accept:
		files, err := r.Files(ctx)
		if err != nil {
			return current, err
		}
		next := gtdelta.NewSnapshot(current.Version()+1, s.View().Head().Seq(), files)
		if err := r.AcceptVersion(ctx, s, current, next, by); err != nil {
			return current, err
		}
		return next, nil
	default:
		return current, nil
	}
}

// Several acceptors act on every push concurrently, one of them after pauses,
// and responses get lost. Each version must have one content, and loading the
// accepted version from any earlier one must give that content.
func TestAcceptorsAgree(t *testing.T) {
	g := gomega.NewWithT(t)
	repo, store := newRepository(t)
	store.SetFaults(gtfake.StoreFaults{LoseResponseShare: 0.2})
	ctx := context.Background()
	var mu sync.Mutex
	checksums := map[int64]string{}
	current := make([]gtdelta.Snapshot, 3)
	for i := range current {
		current[i] = gtdelta.NewSnapshot(0, 0, nil)
	}
	for push := range 2*gtaccept.CheckpointInterval + 6 {
		base, err := repo.Read(ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = repo.Push(ctx, base, "op", map[string]string{fmt.Sprintf("%d.toml", push%5): fmt.Sprint(push)}, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var wg sync.WaitGroup
		for i := range current {
			if i == 2 && push%7 != 0 {
				continue // simulates a process pause
			}
			wg.Go(func() {
				for range 20 {
					next, err := accept(ctx, repo, current[i], fmt.Sprint(i))
					if err != nil {
						continue
					}
					mu.Lock()
					if previous, ok := checksums[next.Version()]; ok && previous != next.Checksum() {
						t.Errorf("version %d has two checksums", next.Version())
					}
					checksums[next.Version()] = next.Checksum()
					if next.Version() < current[i].Version() {
						t.Errorf("acceptor %d returned to an older version", i)
					}
					current[i] = next
					mu.Unlock()
				}
			})
		}
		wg.Wait()
	}
	g.Expect(current[0].Version()).To(gomega.Equal(int64(2*gtaccept.CheckpointInterval+6)), "each push is accepted once")
	s, err := repo.Read(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	fresh, err := repo.Load(ctx, s.View().Record(), gtdelta.NewSnapshot(0, 0, nil))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(fresh.Checksum()).To(gomega.Equal(current[0].Checksum()))
	g.Expect(store.CountKeys("t/delta/")).To(gomega.BeNumerically("<=", 2*gtaccept.CheckpointInterval+1), "old deltas are deleted")
	g.Expect(store.CountKeys("t/snap/")).To(gomega.BeNumerically("<=", 2), "old snapshots are deleted")
}

// The store loses its latest versions. They are written back with the folder and
// the head, and a push that was based on the older state does not replace them.
func TestRestoreAfterLostData(t *testing.T) {
	g := gomega.NewWithT(t)
	repo, store := newRepository(t)
	ctx := context.Background()
	current := gtdelta.NewSnapshot(0, 0, nil)
	var old gtfake.StoreSnapshot
	for i := range 5 {
		if i == 2 {
			old = store.Snapshot()
		}
		base, _ := repo.Read(ctx)
		_, err := repo.Push(ctx, base, "op", map[string]string{"a.toml": fmt.Sprint(i)}, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		current, err = accept(ctx, repo, current, "a")
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	store.Restore(old)
	s, _ := repo.Read(ctx)
	_, err := repo.Push(ctx, s, "late", map[string]string{"a.toml": "based on the old state"}, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s, _ = repo.Read(ctx)
	g.Expect(gtaccept.Decide(s.View(), current)).To(gomega.Equal(gtaccept.Restore))
	g.Expect(repo.Restore(ctx, s, current, "a")).To(gomega.Succeed())
	s, _ = repo.Read(ctx)
	g.Expect(gtaccept.Decide(s.View(), current)).To(gomega.Equal(gtaccept.Nothing))
	files, _ := repo.Files(ctx)
	g.Expect(files).To(gomega.Equal(map[string]string{"a.toml": "4"}))
	loaded, err := repo.Load(ctx, s.View().Record(), gtdelta.NewSnapshot(0, 0, nil))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(loaded.Version()).To(gomega.Equal(int64(5)))
	_, err = repo.Push(ctx, s, "op", map[string]string{"a.toml": "next"}, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	current, err = accept(ctx, repo, current, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(current.Version()).To(gomega.Equal(int64(6)))
}

// Two nodes write the state of a move concurrently. One write must succeed, and
// the other node must get the state of the successful one.
func TestConcurrentMoveWritesHaveOneWinner(t *testing.T) {
	g := gomega.NewWithT(t)
	repo, store := newRepository(t)
	store.SetFaults(gtfake.StoreFaults{LoseResponseShare: 0.3})
	ctx := context.Background()
	state := gtmove.NewState("m.s.1.2", 1, gtmove.Running, 0.05, "", time.Time{}, time.Time{}, time.Time{})
	for range 20 {
		var wg sync.WaitGroup
		results := make([]gtmove.State, 2)
		errs := make([]error, 2)
		for i := range results {
			wg.Go(func() {
				next := gtmove.NewState(state.ID(), state.Seq()+1, gtmove.Running, 0.1*float64(i+1), fmt.Sprint(i), time.Time{}, time.Time{}, time.Time{})
				results[i], errs[i] = repo.PutMove(ctx, next.WithRev(state.Rev()))
			})
		}
		wg.Wait()
		g.Expect(errs).To(gomega.HaveEach(gomega.BeNil()))
		g.Expect(results[0].Reason()).To(gomega.Equal(results[1].Reason()), "both hold the stored state")
		g.Expect(results[0].Rev()).To(gomega.Equal(results[1].Rev()))
		state = results[0]
	}
}

// A snapshot larger than one value is stored in chunks, and a push that does
// not fit into one transaction is refused.
func TestLargeFolder(t *testing.T) {
	g := gomega.NewWithT(t)
	repo, store := newRepository(t)
	ctx := context.Background()
	current := gtdelta.NewSnapshot(0, 0, nil)
	text := "# " + strings.Repeat("x", 200<<10)
	for half := range 2 {
		files := map[string]string{}
		for i := range 5 {
			files[fmt.Sprintf("%d-%d.toml", half, i)] = text
		}
		base, _ := repo.Read(ctx)
		_, err := repo.Push(ctx, base, "op", files, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		current, err = accept(ctx, repo, current, "a")
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(store.CountKeys("t/snap/")).To(gomega.BeNumerically(">", 2))
	s, _ := repo.Read(ctx)
	got, err := repo.Load(ctx, s.View().Record(), gtdelta.NewSnapshot(0, 0, nil))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.Checksum()).To(gomega.Equal(current.Checksum()))

	many := map[string]string{}
	for i := range maxTxnOps + 1 {
		many[fmt.Sprintf("%d.toml", i)] = "x"
	}
	_, err = repo.Push(ctx, s, "op", many, nil)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("too large for one transaction")))

	store.Restore(gtfake.StoreSnapshot{})
	s, _ = repo.Read(ctx)
	g.Expect(repo.Restore(ctx, s, current, "a")).To(gomega.Succeed())
	files, _ := repo.Files(ctx)
	g.Expect(files).To(gomega.Equal(current.Files()))
}

// The response to a push is lost, and another push follows before the first
// operator reads back. Both pushes were applied, and both must report success.
func TestUnconfirmedPushIsFoundAfterALaterOne(t *testing.T) {
	g := gomega.NewWithT(t)
	repo, _ := newRepository(t)
	ctx := context.Background()
	lossy := &Repository{Prefix: repo.Prefix, Store: &gtstore.Store{
		Range: repo.Store.Range,
		Txn: func(ctx context.Context, txn *gtstore.Txn) (gtstore.TxnResult, error) {
			_, err := repo.Store.Txn(ctx, txn)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			base, err := repo.Read(ctx)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = repo.Push(ctx, base, "other", map[string]string{"b.toml": "2"}, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			return gtstore.TxnResult{}, errors.New("response lost")
		},
	}}
	base, _ := repo.Read(ctx)
	seq, err := lossy.Push(ctx, base, "op", map[string]string{"a.toml": "1"}, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(seq).To(gomega.Equal(int64(1)))
	latest, _ := repo.Read(ctx)
	g.Expect(latest.View().Head().Seq()).To(gomega.Equal(int64(2)))
}
