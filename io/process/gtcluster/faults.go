package gtcluster

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/io/process/gtstore"
)

// PartitionZone partitions a zone from the other zones: it closes the open
// connections between them and makes new ones fail, until HealZone. Connections
// within the zone aren't affected.
func (c *Cluster) PartitionZone(zone string) {
	c.mu.Lock()
	c.partitioned[zone] = true
	var severed []net.Conn
	for conn, zones := range c.connZones {
		if zones[0] != zones[1] && (c.partitioned[zones[0]] || c.partitioned[zones[1]]) {
			severed = append(severed, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range severed {
		_ = conn.Close()
	}
}

// PartitionStore makes the store unreachable for the nodes of a zone, until
// HealZone.
func (c *Cluster) PartitionStore(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeUnreachable[zone] = true
}

// BlackholeConnections blackholes all connections between nodes that are open
// now: they stay open and discard the bytes in both directions. New connections
// aren't affected.
func (c *Cluster) BlackholeConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.connZones {
		conn.(*faultConn).blackholed.Store(true)
	}
}

// SwapResponses makes the network deliver mismatched responses on hops: the given
// share (0 to 1) of the reads is swapped with reads of other hop connections at
// about the same time. 0 ends the fault.
func (c *Cluster) SwapResponses(share float64) {
	c.swapShare.Store(math.Float64bits(share))
}

// SwappedReads returns the number of reads that have been swapped.
func (c *Cluster) SwappedReads() int64 { return c.swapCount.Load() }

// swapTimeout bounds the wait for another read to swap with.
const swapTimeout = 50 * time.Millisecond

// swapOffer offers the bytes of a read for a swap. The taker of the offer sends
// the bytes of its own read to received.
type swapOffer struct {
	bytes    []byte
	received chan []byte
}

// swapRead swaps the bytes b of a read with those of a read on another connection.
// It returns the other bytes, or b itself if b isn't selected for a swap or no
// other read comes within swapTimeout.
func (c *Cluster) swapRead(b []byte) []byte {
	share := math.Float64frombits(c.swapShare.Load())
	if share == 0 || rand.Float64() >= share {
		return b
	}
	offer := swapOffer{bytes: slices.Clone(b), received: make(chan []byte, 1)}
	select {
	case c.swapOffers <- offer:
		return <-offer.received
	case other := <-c.swapOffers:
		other.received <- offer.bytes
		c.swapCount.Add(2)
		return other.bytes
	case <-time.After(swapTimeout):
		return b
	}
}

// HealZone ends the effects of PartitionZone and PartitionStore on a zone.
func (c *Cluster) HealZone(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.partitioned, zone)
	delete(c.storeUnreachable, zone)
}

// dial opens a connection from a node in zone to a node's address. It fails if a
// partition separates the zones.
func (c *Cluster) dial(ctx context.Context, zone, addr string) (net.Conn, error) {
	c.mu.Lock()
	peerZone, isHop := c.zoneByAddr[addr], c.hopAddrs[addr]
	partitioned := peerZone != zone && (c.partitioned[zone] || c.partitioned[peerZone])
	c.mu.Unlock()
	if partitioned {
		return nil, errorx.ExternalError.New("dial a peer: its zone is partitioned from this one")
	}
	conn, err := c.Net.Connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	fc := &faultConn{Conn: conn, cluster: c, isHop: isHop}
	if c.Delay != nil {
		fc.startDelay(c.Delay(zone, peerZone))
	}
	c.mu.Lock()
	c.connZones[fc] = [2]string{zone, peerZone}
	c.mu.Unlock()
	return fc, nil
}

// faultConn is the dialing side of a connection from a node to a peer, into which
// the cluster injects faults.
type faultConn struct {
	net.Conn
	cluster       *Cluster
	isHop         bool
	unread        []byte // rest of a swapped read that didn't fit the reader's buffer
	blackholed    atomic.Bool
	roundTrip     time.Duration
	delayedWrites chan delayedWrite // nil without a delay
	closed        chan struct{}     // nil without a delay
	closeOnce     sync.Once
}

// delayedWrite holds the bytes of a write until they are sent at sendAt.
type delayedWrite struct {
	bytes  []byte
	sendAt time.Time
}

// maxDelayedWrites bounds the writes that wait in one delayed connection; further
// ones block.
const maxDelayedWrites = 4096

// startDelay delays all writes of the dialing side by a whole round trip, so that
// a request and its response take as long as between distant zones. The reverse
// direction needs no delay.
func (c *faultConn) startDelay(roundTrip time.Duration) {
	if roundTrip <= 0 {
		return
	}
	c.roundTrip, c.delayedWrites, c.closed = roundTrip, make(chan delayedWrite, maxDelayedWrites), make(chan struct{})
	c.cluster.wg.Go(func() {
		for {
			select {
			case <-c.closed:
				return
			case w := <-c.delayedWrites:
				select {
				case <-c.closed:
					return
				case <-time.After(time.Until(w.sendAt)):
				}
				if _, err := c.Conn.Write(w.bytes); err != nil {
					_ = c.Conn.Close()
					return
				}
			}
		}
	})
}

// Read reads from the connection. It discards the bytes if the connection is
// blackholed, and on a hop it may swap them, see Cluster.SwapResponses. It isn't
// safe for concurrent use.
func (c *faultConn) Read(b []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(b, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			return n, err
		}
		if c.blackholed.Load() {
			continue
		}
		if !c.isHop {
			return n, nil
		}
		data := c.cluster.swapRead(b[:n])
		n = copy(b, data)
		c.unread = data[n:]
		return n, nil
	}
}

// Write writes to the connection, after the delay if there is one, or discards
// the bytes if it is blackholed.
func (c *faultConn) Write(b []byte) (int, error) {
	if c.blackholed.Load() {
		return len(b), nil
	}
	if c.delayedWrites == nil {
		return c.Conn.Write(b)
	}
	select {
	case c.delayedWrites <- delayedWrite{bytes: slices.Clone(b), sendAt: time.Now().Add(c.roundTrip)}:
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close closes the connection and removes it from the cluster.
func (c *faultConn) Close() error {
	c.cluster.mu.Lock()
	delete(c.cluster.connZones, c)
	c.cluster.mu.Unlock()
	if c.closed != nil {
		c.closeOnce.Do(func() { close(c.closed) })
	}
	return c.Conn.Close()
}

// storeFor returns a store client for the nodes of a zone. Its calls fail while
// the store is unreachable from the zone, and its watches deliver nothing.
func (c *Cluster) storeFor(zone string) *gtstore.Store {
	client := gtstore.NewEtcd(c.StoreURL(), gtstore.NewClientWithDial(c.Net.Connect))
	checkReachable := func() error {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.storeUnreachable[zone] {
			return errorx.ExternalError.New("call the store: it is unreachable from this zone")
		}
		return nil
	}
	return &gtstore.Store{
		Range: func(ctx context.Context, key, end string) (gtstore.RangeResponse, error) {
			if err := checkReachable(); err != nil {
				return gtstore.RangeResponse{}, err
			}
			return client.Range(ctx, key, end)
		},
		Txn: func(ctx context.Context, t *gtstore.Txn) (gtstore.TxnResult, error) {
			if err := checkReachable(); err != nil {
				return gtstore.TxnResult{}, err
			}
			return client.Txn(ctx, t)
		},
		Grant: func(ctx context.Context, ttl time.Duration) (int64, error) {
			if err := checkReachable(); err != nil {
				return 0, err
			}
			return client.Grant(ctx, ttl)
		},
		KeepAlive: func(ctx context.Context, lease int64) error {
			if err := checkReachable(); err != nil {
				return err
			}
			return client.KeepAlive(ctx, lease)
		},
		Watch: func(ctx context.Context, key, end string, after int64, fn func([]gtstore.KV)) error {
			if err := checkReachable(); err != nil {
				return err
			}
			return client.Watch(ctx, key, end, after, func(kvs []gtstore.KV) {
				if checkReachable() == nil {
					fn(kvs)
				}
			})
		},
	}
}
