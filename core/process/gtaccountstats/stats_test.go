package gtaccountstats

import (
	"fmt"
	"sync"
	"testing"

	"github.com/onsi/gomega"
)

func TestRequestsAreCountedByAccount(t *testing.T) {
	g := gomega.NewWithT(t)
	var s Stats
	s.Record("a", Served)
	s.Record("a", Served)
	s.Record("a", Refused)
	s.Record("b", Refused)
	g.Expect(s.Counts("a")).To(gomega.Equal(Counts{served: 2, refused: 1}))
	g.Expect(s.Counts("b").Refused()).To(gomega.Equal(uint64(1)))
	s.Prune(func(account string) bool { return account == "b" })
	g.Expect(s.Counts("a")).To(gomega.Equal(Counts{}))
	g.Expect(s.Counts("b").Refused()).To(gomega.Equal(uint64(1)))
}

// Each label is a series that stays for the life of the process: their number must
// not grow with that of the accounts, also when many threads ask at once.
func TestLabelsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var s Stats
	var mu sync.Mutex
	seen := map[string]bool{}
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			for i := range 1000 {
				label := s.Label(fmt.Sprint("account", (i*7+worker*131)%1000))
				mu.Lock()
				seen[label] = true
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	g.Expect(seen).To(gomega.HaveKey(OtherLabel))
	g.Expect(len(seen)).To(gomega.BeNumerically("<=", MaxLabels+1))
	for label := range seen {
		g.Expect(s.Label(label)).To(gomega.Equal(label))
	}
}
