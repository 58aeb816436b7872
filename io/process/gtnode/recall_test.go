package gtnode

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// A departure that is written before an instance asks must be in its response: sharing a
// read that has begun before would lose it, and requests would go to a server that has left.
func TestRecallSharesOnlyReadsThatBeginLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var mu sync.Mutex
		written, reads := map[string][]string{}, 0
		fail := false
		readAll := func(context.Context) (map[string][]string, error) {
			mu.Lock()
			reads++
			seen := map[string][]string{}
			for k, v := range written {
				seen[k] = v
			}
			failed := fail
			mu.Unlock()
			time.Sleep(30 * time.Millisecond)
			if failed {
				return nil, errors.New("store is away")
			}
			return seen, nil
		}
		r := &recallReads{
			readAll: readAll,
			readOne: func(ctx context.Context, instance string) ([]string, error) {
				all, err := readAll(ctx)
				return all[instance], err
			},
			sleep: func(_ context.Context, d time.Duration) error {
				time.Sleep(d)
				return nil
			},
		}
		const instances = 1000
		var wg sync.WaitGroup
		missed := 0
		for i := range instances {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 1500 * time.Microsecond) // over 1.5 s
				name := fmt.Sprint("i-", i)
				mu.Lock()
				written[name] = []string{name}
				mu.Unlock()
				texts, err := r.read(t.Context(), t.Context(), name)
				mu.Lock()
				defer mu.Unlock()
				if err != nil || len(texts) != 1 || texts[0] != name {
					missed++
				}
			})
		}
		start := time.Now()
		wg.Wait()
		g.Expect(missed).To(gomega.BeZero())
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 2*time.Second))
		g.Expect(reads).To(gomega.BeNumerically("<=", 20), "reads for %d instances in 1.5 s: 200 a second are for 15 zones", instances)

		mu.Lock()
		fail = true
		mu.Unlock()
		_, err := r.read(t.Context(), t.Context(), "i-1")
		g.Expect(err).To(gomega.HaveOccurred(), "the instance then reads by itself")
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = r.read(ended, t.Context(), "i-1")
		g.Expect(err).To(gomega.MatchError(context.Canceled))
		time.Sleep(time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		g.Expect(r.running).To(gomega.BeFalse(), "the reads end when nobody asks")
	})
}
