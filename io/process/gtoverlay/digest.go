package gtoverlay

import (
	"context"
	"math/rand/v2"
	"strconv"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtshard"
	"godwittide/io/connection/gtwire"
)

// Digest summarizes the facts of a node. Shards holds a hash of the membership
// records of each shard, Moves a hash of the states and halts of all moves.
// Version and Checksum identify the active version.
type Digest struct {
	Shards   []string `json:"d"`
	Moves    string   `json:"s"`
	Version  int64    `json:"v"`
	Checksum string   `json:"vs"`
}

// DigestResponse is the response to a Digest: facts that the sender of the
// digest may lack, and the hashes of the buckets of each shard that differs.
type DigestResponse struct {
	Facts   Facts            `json:"f"`
	Buckets map[int][]string `json:"b,omitempty"`
}

// Swap exchanges the records of the buckets that differ. It holds those of its
// sender; the response holds those of its receiver.
type Swap struct {
	Buckets [][2]int `json:"b"`
	Facts   Facts    `json:"f"`
}

func formatHashes(hashes []uint64) []string {
	out := make([]string, len(hashes))
	for i, h := range hashes {
		out[i] = strconv.FormatUint(h, 36)
	}
	return out
}

func (o *Overlay) newDigest() Digest {
	snapshot := o.Holder.Current().Snapshot()
	return Digest{Shards: formatHashes(o.Table.Digest()), Moves: o.moveHash(), Version: snapshot.Version(), Checksum: snapshot.Checksum()}
}

func (o *Overlay) moveHash() string {
	var hash uint64
	for _, s := range o.Moves.States() {
		hash ^= gtshard.Hash("state", s.ID(), strconv.FormatInt(s.Seq(), 10))
	}
	for _, h := range o.Moves.Halts() {
		hash ^= gtshard.Hash("halt", h.ID())
	}
	return strconv.FormatUint(hash, 36)
}

func (o *Overlay) addMoveFacts(f *Facts) {
	for _, s := range o.Moves.States() {
		f.Moves = append(f.Moves, gtwire.FromMove(s))
	}
	for _, h := range o.Moves.Halts() {
		f.Halts = append(f.Halts, gtwire.FromHalt(h))
	}
}

// syncWithRandomPeer exchanges digests with a random peer, in its own goroutine.
func (o *Overlay) syncWithRandomPeer(ctx context.Context) {
	links := o.listLinks(false)
	if len(links) == 0 {
		return
	}
	pl := links[rand.IntN(len(links))]
	o.spawn(func() { o.syncWith(ctx, pl) })
}

// syncWith exchanges digests with one peer, unless an exchange is in progress:
// a second one at the same time would fetch the same facts again. A link with a
// malformed message is closed.
func (o *Overlay) syncWith(ctx context.Context, pl *peerLink) {
	if !o.syncing.CompareAndSwap(false, true) {
		return
	}
	defer o.syncing.Store(false)
	err := o.exchangeDigests(ctx, pl)
	if err == nil {
		o.synced.Store(true)
	}
	if errorx.IsOfType(err, errorx.IllegalFormat) {
		pl.link.Close()
	}
}

// HasSynced reports whether the node has exchanged digests with a peer since its
// start.
func (o *Overlay) HasSynced() bool { return o.synced.Load() }

func (o *Overlay) exchangeDigests(ctx context.Context, pl *peerLink) error {
	var response DigestResponse
	if err := pl.link.Call(ctx, "digest", o.newDigest(), &response); err != nil {
		return err
	}
	if err := o.mergeFacts(response.Facts, pl); err != nil {
		return err
	}
	swap := Swap{Buckets: o.differingBuckets(response.Buckets)}
	if len(response.Facts.Moves)+len(response.Facts.Halts) > 0 {
		o.addMoveFacts(&swap.Facts)
	}
	if len(swap.Buckets) == 0 && swap.Facts.isEmpty() {
		return nil
	}
	swap.Facts.Members = o.bucketFacts(swap.Buckets).Members
	var peerFacts Facts
	if err := pl.link.Call(ctx, "swap", swap, &peerFacts); err != nil {
		return err
	}
	return o.mergeFacts(peerFacts, pl)
}

// differingBuckets returns the shard and bucket numbers whose hashes differ from
// those of the peer.
func (o *Overlay) differingBuckets(peerHashes map[int][]string) [][2]int {
	var list [][2]int
	for shard, bucketHashes := range peerHashes {
		for k, hash := range formatHashes(o.Table.BucketHashes(shard)) {
			if k < len(bucketHashes) && bucketHashes[k] != hash {
				list = append(list, [2]int{shard, k})
			}
		}
	}
	return list
}

func (o *Overlay) bucketFacts(buckets [][2]int) Facts {
	var f Facts
	for _, b := range buckets {
		f.Members = append(f.Members, wireRecords(o.Table.BucketRecords(b[0], b[1]))...)
	}
	return f
}

// respondToDigest returns what the sender of a digest may lack, and fetches its
// version if that is higher.
func (o *Overlay) respondToDigest(d Digest, pl *peerLink) (DigestResponse, error) {
	own := o.newDigest()
	if len(d.Shards) != len(own.Shards) {
		return DigestResponse{}, errorx.IllegalFormat.New("digest has %d shards, expected %d", len(d.Shards), len(own.Shards))
	}
	out := DigestResponse{Buckets: map[int][]string{}}
	for i := range own.Shards {
		if d.Shards[i] != own.Shards[i] {
			out.Buckets[i] = formatHashes(o.Table.BucketHashes(i))
		}
	}
	if d.Moves != own.Moves {
		o.addMoveFacts(&out.Facts)
	}
	out.Facts.Version, out.Facts.Checksum = own.Version, own.Checksum
	if d.Version > own.Version {
		o.fetchFrom(pl, d.Version)
	}
	return out, nil
}
