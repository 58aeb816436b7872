package gtaccount

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// naiveFind compares a key with all configured ones.
func naiveFind(accounts []Account, configured map[string]int, key string) (Account, bool) {
	for k, i := range configured {
		if k == key {
			return accounts[i], true
		}
	}
	return Account{}, false
}

func TestFindAgreesWithLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var accounts []Account
		for i := range rapid.IntRange(1, 5).Draw(t, "accounts") {
			accounts = append(accounts, NewAccount(fmt.Sprint("a", i)))
		}
		configured := map[string]int{}
		var keys []Key
		for _, k := range rapid.SliceOfDistinct(rapid.StringN(1, 4, -1), rapid.ID[string]).Draw(t, "keys") {
			i := rapid.IntRange(0, len(accounts)-1).Draw(t, "account")
			configured[k] = i
			keys = append(keys, NewKey(DigestOf(k), i))
		}
		x := NewIndex(accounts, keys)
		asked := rapid.StringN(0, 4, -1).Draw(t, "asked")
		for _, key := range append([]string{asked}, configuredKeys(configured)...) {
			got, ok := x.Find(key)
			want, wantOK := naiveFind(accounts, configured, key)
			if got != want || ok != wantOK {
				t.Fatalf("key %q: got %q %v, want %q %v", key, got.Name(), ok, want.Name(), wantOK)
			}
		}
	})
}

func configuredKeys(configured map[string]int) []string {
	var keys []string
	for k := range configured {
		keys = append(keys, k)
	}
	return keys
}

// Guards against a look-up that takes two digests with the same beginning for one.
func TestDigestsWithTheSameBeginningAreToldApart(t *testing.T) {
	g := gomega.NewWithT(t)
	wrong, right := DigestOf("key"), DigestOf("key")
	wrong[31]++
	x := NewIndex([]Account{NewAccount("wrong"), NewAccount("right")}, []Key{NewKey(wrong, 0), NewKey(right, 1)})
	a, ok := x.Find("key")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(a.Name()).To(gomega.Equal("right"))
	_, ok = NewIndex(nil, nil).Find("key")
	g.Expect(ok).To(gomega.BeFalse(), "no account")
	_, ok = NewIndex([]Account{NewAccount("wrong")}, []Key{NewKey(wrong, 0)}).Find("key")
	g.Expect(ok).To(gomega.BeFalse())
}

func TestKeysAreParsed(t *testing.T) {
	g := gomega.NewWithT(t)
	plain, err := ParseKey("secret")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	digest, err := ParseKey(plain.String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(digest).To(gomega.Equal(plain))
	upper, err := ParseKey("sha256:" + strings.ToUpper(strings.TrimPrefix(plain.String(), "sha256:")))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(upper).To(gomega.Equal(plain))
	for _, text := range []string{"", "sha256:", "sha256:12", "sha256:" + strings.Repeat("x", 64), plain.String() + "00"} {
		_, err := ParseKey(text)
		g.Expect(err).To(gomega.MatchError(ErrMalformed), text)
	}
	_, ok := NewIndex([]Account{NewAccount("a")}, []Key{NewKey(DigestOf(""), 0)}).Find("")
	g.Expect(ok).To(gomega.BeFalse(), "an empty key is no key")
}

// A name that can't be a header field would end each request of its account.
func TestNamesFitIntoHeaderFields(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, name := range []string{"pulo780", "a b", "größe"} {
		g.Expect(IsValidName(name)).To(gomega.BeTrue(), name)
	}
	for _, name := range []string{"", " a", "a ", "a\nb", "a\x00", "a\x7f", strings.Repeat("a", MaxNameBytes+1)} {
		g.Expect(IsValidName(name)).To(gomega.BeFalse(), "%q", name)
	}
}

// BenchmarkFind looks keys up among 50,000 keys of 10,000 accounts. The bound of
// docs/design/hard-load.md is 200 ns.
func BenchmarkFind(b *testing.B) {
	var accounts []Account
	var keys []Key
	var texts []string
	for i := range 10_000 {
		accounts = append(accounts, NewAccount(fmt.Sprint("account", i)))
		for j := range 5 {
			text := fmt.Sprintf("key-%05d-%d-0123456789abcdef", i, j)
			texts = append(texts, text)
			keys = append(keys, NewKey(DigestOf(text), i))
		}
	}
	x := NewIndex(accounts, keys)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		if _, ok := x.Find(texts[n]); !ok { // their digests are in random order
			b.Fatal("a configured key is unknown")
		}
		n = (n + 1) % len(texts)
	}
}
