package gtoverlay

import (
	"context"
	"math/rand/v2"
	"strconv"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtshard"
	"godwittide/io/connection/gtwire"
)

// Digest is what a node has, in short. Shards holds a hash of the membership
// records of each shard; Moves one of all states of moves.
type Digest struct {
	Shards  []string `json:"d"`
	Moves   string   `json:"s"`
	Version int64    `json:"v"`
	Sum     string   `json:"vs"`
}

// Repair is the answer to a digest: moves that the other may lack, and for
// each shard that differs the hashes of its buckets.
type Repair struct {
	Facts   Facts            `json:"f"`
	Buckets map[int][]string `json:"b,omitempty"`
}

// Swap exchanges the records of buckets that differ: it holds those of the
// sender, and is answered with those of the receiver.
type Swap struct {
	Buckets [][2]int `json:"b"`
	Facts   Facts    `json:"f"`
}

func hashes(sums []uint64) []string {
	out := make([]string, len(sums))
	for i, s := range sums {
		out[i] = strconv.FormatUint(s, 36)
	}
	return out
}

func (o *Overlay) digest() Digest {
	set := o.Holder.Current().Snapshot()
	return Digest{Shards: hashes(o.Table.Digest()), Moves: o.moveSum(), Version: set.Version(), Sum: set.Checksum()}
}

func (o *Overlay) moveSum() string {
	var sum uint64
	for _, s := range o.Board.States() {
		sum ^= gtshard.Hash("state", s.ID(), strconv.FormatInt(s.Seq(), 10))
	}
	for _, h := range o.Board.Halts() {
		sum ^= gtshard.Hash("halt", h.ID())
	}
	return strconv.FormatUint(sum, 36)
}

func (o *Overlay) moveFacts(f *Facts) {
	for _, s := range o.Board.States() {
		f.Moves = append(f.Moves, gtwire.FromMove(s))
	}
	for _, h := range o.Board.Halts() {
		f.Halts = append(f.Halts, gtwire.FromHalt(h))
	}
}

// exchange compares digests with one peer that is picked at random.
func (o *Overlay) exchange(ctx context.Context) {
	links := o.list(false)
	if len(links) == 0 {
		return
	}
	e := links[rand.IntN(len(links))]
	o.spawn(func() { o.digestWith(ctx, e) })
}

// digestWith compares digests with one peer; one comparison at a time, so that
// what the first brings is not fetched again by the next.
func (o *Overlay) digestWith(ctx context.Context, e *entry) {
	if !o.comparing.CompareAndSwap(false, true) {
		return
	}
	defer o.comparing.Store(false)
	err := o.compare(ctx, e)
	if err == nil {
		o.compared.Store(true)
	}
	if errorx.IsOfType(err, errorx.IllegalFormat) {
		e.link.Close()
	}
}

// Compared says whether the node has compared what it knows with a peer since
// its start.
func (o *Overlay) Compared() bool { return o.compared.Load() }

func (o *Overlay) compare(ctx context.Context, e *entry) error {
	var answer Repair
	if err := e.link.Call(ctx, "digest", o.digest(), &answer); err != nil {
		return err
	}
	if err := o.take(answer.Facts, e); err != nil {
		return err
	}
	swap := Swap{Buckets: o.differing(answer.Buckets)}
	if len(answer.Facts.Moves)+len(answer.Facts.Halts) > 0 {
		o.moveFacts(&swap.Facts)
	}
	if len(swap.Buckets) == 0 && swap.Facts.empty() {
		return nil
	}
	swap.Facts.Members = o.bucketFacts(swap.Buckets).Members
	var theirs Facts
	if err := e.link.Call(ctx, "swap", swap, &theirs); err != nil {
		return err
	}
	return o.take(theirs, e)
}

// differing returns the buckets whose hashes are not those given.
func (o *Overlay) differing(theirs map[int][]string) [][2]int {
	var list [][2]int
	for shard, sums := range theirs {
		for k, sum := range hashes(o.Table.BucketHashes(shard)) {
			if k < len(sums) && sums[k] != sum {
				list = append(list, [2]int{shard, k})
			}
		}
	}
	return list
}

func (o *Overlay) bucketFacts(buckets [][2]int) Facts {
	var f Facts
	for _, b := range buckets {
		f.Members = append(f.Members, records(o.Table.BucketRecords(b[0], b[1]))...)
	}
	return f
}

// repairFor returns what the sender of a digest may lack.
func (o *Overlay) repairFor(d Digest, e *entry) (Repair, error) {
	mine := o.digest()
	if len(d.Shards) != len(mine.Shards) {
		return Repair{}, errorx.IllegalFormat.New("digest has %d shards, expected %d", len(d.Shards), len(mine.Shards))
	}
	out := Repair{Buckets: map[int][]string{}}
	for i := range mine.Shards {
		if d.Shards[i] != mine.Shards[i] {
			out.Buckets[i] = hashes(o.Table.BucketHashes(i))
		}
	}
	if d.Moves != mine.Moves {
		o.moveFacts(&out.Facts)
	}
	out.Facts.Version, out.Facts.Sum = mine.Version, mine.Sum
	if d.Version > mine.Version {
		o.fetchFrom(e, d.Version)
	}
	return out, nil
}
