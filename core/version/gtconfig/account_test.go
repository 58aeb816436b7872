package gtconfig

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"godwittide/core/version/gtaccount"
)

// accountEntry returns an entry of section account at the given line of file f.
func accountEntry(line int, name, key string, v Value) Entry {
	return NewEntry("f", line, "account", name, key, v)
}

func TestAccountsAreMerged(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg, problems := Merge([]File{NewFile("f", []Entry{
		accountEntry(1, "pulo780", "keys", ListValue([]string{"k1", gtaccount.DigestOf("k2").String(), "k1"})),
		accountEntry(2, "pulo780", "rank", NumberValue(3)),
		accountEntry(3, "kabo51", "keys", ListValue(nil)),
	})})
	g.Expect(problems).To(gomega.BeEmpty())
	g.Expect(cfg.Accounts().Len()).To(gomega.Equal(2))
	for _, key := range []string{"k1", "k2"} {
		a, ok := cfg.Accounts().Find(key)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(a.Name()).To(gomega.Equal("pulo780"))
		g.Expect(a.Rank()).To(gomega.Equal(3.0))
	}
	kabo, ok := cfg.Accounts().Account("kabo51")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(kabo.HasRank()).To(gomega.BeFalse())
	g.Expect(Empty().Accounts().Len()).To(gomega.BeZero())
}

// A problem tells file, line and key path, and never an account's key.
func TestAccountProblemsNeverHoldKeys(t *testing.T) {
	secret, digest := "secret-of-pulo", gtaccount.DigestOf("secret-of-pulo").String()
	for name, c := range map[string]struct {
		entries []Entry
		want    string
	}{
		"key of two accounts": {
			[]Entry{accountEntry(4, "pulo780", "keys", ListValue([]string{secret})), accountEntry(9, "kabo51", "keys", ListValue([]string{"own", digest}))},
			`f:4: account.pulo780.keys: key 1 is also one of account "kabo51" (f:9)`,
		},
		"malformed digest":  {[]Entry{accountEntry(2, "a", "keys", ListValue([]string{"x", digest + "0"}))}, "f:2: account.a.keys: key 2: "},
		"empty key":         {[]Entry{accountEntry(2, "a", "keys", ListValue([]string{""}))}, "f:2: account.a.keys: key 1: "},
		"key as text":       {[]Entry{accountEntry(2, "a", "keys", StringValue(secret))}, "f:2: account.a.keys: expected a list of strings"},
		"no keys":           {[]Entry{accountEntry(2, "a", "rank", NumberValue(1))}, "f:2: account.a.keys: an account needs keys"},
		"name of two lines": {[]Entry{accountEntry(2, "a\nb", "keys", ListValue([]string{secret}))}, "an account's name"},
		"rank out of range": {[]Entry{accountEntry(2, "a", "keys", ListValue(nil)), accountEntry(3, "a", "rank", NumberValue(8))}, "f:3: account.a.rank: must be from 0 to 7"},
		"rank and priority": {
			[]Entry{accountEntry(2, "a", "keys", ListValue(nil)), accountEntry(3, "a", "rank", NumberValue(1)), accountEntry(4, "a", "priority", NumberValue(1))},
			"f:4: account.a.priority: an account takes either",
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			cfg, problems := Merge([]File{NewFile("f", c.entries)})
			g.Expect(cfg).To(gomega.BeNil())
			g.Expect(problems).NotTo(gomega.BeEmpty())
			g.Expect(problems[0].String()).To(gomega.ContainSubstring(c.want))
			text := fmt.Sprint(problems)
			g.Expect(text).NotTo(gomega.ContainSubstring(secret))
			g.Expect(text).NotTo(gomega.ContainSubstring(strings.TrimPrefix(digest, "sha256:")))
		})
	}
}

func TestAccountRankTakesPrecedence(t *testing.T) {
	g := gomega.NewWithT(t)
	route := func(extra ...Entry) Route {
		entries := append([]Entry{
			NewEntry("f", 1, "service", "s", "timeout", StringValue("1s")),
			NewEntry("f", 2, "route", "r", "service", StringValue("s")),
			NewEntry("f", 3, "route", "r", "path", StringValue("/")),
		}, extra...)
		cfg, problems := Merge([]File{NewFile("f", entries)})
		g.Expect(problems).To(gomega.BeEmpty())
		return cfg.Routes()[0]
	}
	entry := func(key string, v Value) Entry { return NewEntry("f", 4, "route", "r", key, v) }
	account := gtaccount.NewAccount("a")
	ranked := route(entry("rank", NumberValue(2)))
	g.Expect(ranked.IsOpen()).To(gomega.BeFalse())
	g.Expect(ranked.ClassFor(account)).To(gomega.Equal(Normal+2), "an account without a rank")
	g.Expect(ranked.ClassFor(account.WithRank(0))).To(gomega.Equal(Normal))
	g.Expect(ranked.ClassFor(account.WithRank(1e9))).To(gomega.Equal(Normal+MaxRank), "ranks beyond the last share it")
	g.Expect(ranked.ClassFor(account.WithRank(-1))).To(gomega.Equal(Normal))
	fast := route(entry("class", StringValue("fast")), entry("open", BoolValue(true)))
	g.Expect(fast.IsOpen()).To(gomega.BeTrue())
	g.Expect(fast.ClassFor(account.WithRank(4))).To(gomega.Equal(Fast))
	steps := route(entry("ranks", ListValue([]string{">0", ">=1", ">2.5"})))
	for rank, want := range map[float64]Class{-1: 0, 0: 0, 0.5: 1, 1: 2, 2.5: 2, 3: 3} {
		g.Expect(steps.ClassFor(account.WithRank(rank))).To(gomega.Equal(Normal+want), "%g", rank)
	}
	for _, list := range [][]string{{"1"}, {">x"}, {""}, {">1", ">1", ">1", ">1", ">1", ">1", ">1", ">1"}} {
		_, problems := Merge([]File{NewFile("f", []Entry{entry("ranks", ListValue(list))})})
		g.Expect(fmt.Sprint(problems)).To(gomega.ContainSubstring("expected at most 7 conditions"))
	}
}

// BenchmarkMergeAccounts merges 10,000 accounts with 50,000 keys; the results stand in
// docs/CAPACITY.md.
func BenchmarkMergeAccounts(b *testing.B) {
	var entries []Entry
	for i := range 10_000 {
		var keys []string
		for j := range 5 {
			keys = append(keys, fmt.Sprintf("key-%05d-%d-0123456789abcdef", i, j))
		}
		entries = append(entries, accountEntry(i+1, fmt.Sprint("account", i), "keys", ListValue(keys)))
	}
	files := []File{NewFile("f", entries)}
	b.ReportAllocs()
	for b.Loop() {
		if _, problems := Merge(files); len(problems) > 0 {
			b.Fatal(problems[0])
		}
	}
}
