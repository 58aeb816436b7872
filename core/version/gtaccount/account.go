// Package gtaccount holds the client accounts of a configuration, and finds the
// account that a caller's key belongs to.
//
// # Usage
//
//	index := gtaccount.NewIndex(accounts, digests)
//	account, ok := index.Find(key)
//
// Keys are held as SHA-256 digests only. An Index is built with the
// configuration and is immutable.
package gtaccount

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"math/bits"
	"slices"
	"strings"
)

// digestPrefix marks a key that is configured as its digest.
const digestPrefix = "sha256:"

// MaxNameBytes is the maximum length of an account's name, in bytes. The name is
// a header field in each request to a backend server.
const MaxNameBytes = 128

// ErrMalformed means that a configured key is neither text nor a valid digest. It
// never holds the key.
var ErrMalformed = errors.New("a key is either a text that is not empty, or " + digestPrefix + " and 64 hexadecimal digits")

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns the digest in the form that ParseKey reads.
func (d Digest) String() string { return digestPrefix + hex.EncodeToString(d[:]) }

// ParseKey returns the digest of a configured key: plain text, or the prefix
// "sha256:" and the digest in hexadecimal.
func ParseKey(text string) (Digest, error) {
	digits, ok := strings.CutPrefix(text, digestPrefix)
	if !ok {
		if text == "" {
			return Digest{}, ErrMalformed
		}
		return DigestOf(text), nil
	}
	b, err := hex.DecodeString(digits)
	if err != nil || len(b) != sha256.Size {
		return Digest{}, ErrMalformed
	}
	return Digest(b), nil
}

// IsValidName reports whether a name can be the value of a header field: it is
// not empty or too long, has no control characters, and no space at either end.
func IsValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes || name != strings.TrimSpace(name) {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f })
}

// Account is a client account, on whose behalf callers send requests.
type Account struct {
	name    string
	rank    float64
	hasRank bool
}

// NewAccount returns an account without a rank.
func NewAccount(name string) Account { return Account{name: name} }

// WithRank returns a copy with the given rank.
func (a Account) WithRank(rank float64) Account {
	a.rank, a.hasRank = rank, true
	return a
}

// Name returns the account's name.
func (a Account) Name() string { return a.name }

// Rank returns the account's rank, or on a platform its priority, which each route
// translates into the rank of a request. A lower one is more urgent.
func (a Account) Rank() float64 { return a.rank }

// HasRank reports whether the account has a rank. If not, that of the route
// applies.
func (a Account) HasRank() bool { return a.hasRank }

// Key is a key's digest with the position of its account in the list of accounts.
type Key struct {
	digest  Digest
	account int32
}

// NewKey returns a key of the account at the given position.
func NewKey(digest Digest, account int) Key { return Key{digest: digest, account: int32(account)} }

// Index finds accounts by key. It is immutable.
type Index struct {
	accounts []Account
	names    map[string]int
	// keys is sorted by digest. The keys whose digest begins with the bits b are those
	// from position first[b] up to first[b+1]. As many bits are taken as give about one
	// key each, which costs fewer cache misses than a map.
	keys  []Key
	first []int32
	shift int
}

// NewIndex returns the index of accounts and their keys. Accounts are listed in the
// given order.
func NewIndex(accounts []Account, keys []Key) *Index {
	x := &Index{accounts: accounts, names: make(map[string]int, len(accounts)), keys: slices.Clone(keys), shift: 64 - bits.Len(uint(len(keys)))}
	for i, a := range accounts {
		x.names[a.name] = i
	}
	slices.SortFunc(x.keys, func(a, b Key) int { return bytes.Compare(a.digest[:], b.digest[:]) })
	x.first = make([]int32, 1<<(64-x.shift)+1)
	for _, k := range x.keys {
		x.first[x.bucket(k.digest)+1]++
	}
	for b := range len(x.first) - 1 {
		x.first[b+1] += x.first[b]
	}
	return x
}

// bucket returns the first bits of a digest, by which it is looked up.
func (x *Index) bucket(d Digest) uint64 { return binary.BigEndian.Uint64(d[:]) >> x.shift }

// Len returns the number of accounts.
func (x *Index) Len() int { return len(x.accounts) }

// KeyCount returns the number of keys.
func (x *Index) KeyCount() int { return len(x.keys) }

// All returns all accounts. The slice is shared and must not be changed.
func (x *Index) All() []Account { return x.accounts }

// Account returns the account with the given name, and false if there is none.
func (x *Index) Account(name string) (Account, bool) {
	i, ok := x.names[name]
	if !ok {
		return Account{}, false
	}
	return x.accounts[i], true
}

// Find returns the account that a key belongs to, and false if the key is unknown
// or empty. The time that it takes says nothing about how much of a key is right:
// the look-up is by the key's digest, which a caller can't choose, and digests are
// compared in constant time.
func (x *Index) Find(key string) (Account, bool) {
	if key == "" {
		return Account{}, false
	}
	d := DigestOf(key)
	b := x.bucket(d)
	for i := x.first[b]; i < x.first[b+1]; i++ {
		if x.keys[i].digest.equal(d) {
			return x.accounts[x.keys[i].account], true
		}
	}
	return Account{}, false
}

// equal compares two digests in constant time. It takes eight bytes at a time, where
// subtle.ConstantTimeCompare takes one.
func (d *Digest) equal(o Digest) bool {
	var difference uint64
	for i := 0; i < len(d); i += 8 {
		difference |= binary.LittleEndian.Uint64(d[i:]) ^ binary.LittleEndian.Uint64(o[i:])
	}
	return difference == 0
}
