package gtlab

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

// Cut cuts a zone off from the other zones: open connections break, new ones
// fail. Within the zone the network goes on.
func (l *Lab) Cut(zone string) {
	l.mu.Lock()
	l.cut[zone] = true
	var broken []net.Conn
	for c, ends := range l.conns {
		if ends[0] != ends[1] && (l.cut[ends[0]] || l.cut[ends[1]]) {
			broken = append(broken, c)
		}
	}
	l.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// CutStore cuts a zone off from the store.
func (l *Lab) CutStore(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away[zone] = true
}

// Silence makes every connection that is open now between nodes go silent for
// good: it takes bytes and delivers none. New connections work.
func (l *Lab) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.(*labConn).silent.Store(true)
	}
}

// Cross makes the network between nodes give answers to the wrong exchanges:
// the given share (0 to 1) of what comes in on a hop is exchanged for what
// comes in on another at about the same time. 0 ends it.
func (l *Lab) Cross(share float64) {
	l.cross.Store(math.Float64bits(share))
}

// Crossed returns how many pieces have been exchanged.
func (l *Lab) Crossed() int64 { return l.crossed.Load() }

// crossWait is how long a piece waits for one to be exchanged for.
const crossWait = 50 * time.Millisecond

// piece is what a connection has read, and where it learns what it gets for it.
type piece struct {
	bytes []byte
	got   chan []byte
}

// exchange returns what another connection has read, if one offers it in time.
func (l *Lab) exchange(b []byte) []byte {
	share := math.Float64frombits(l.cross.Load())
	if share == 0 || rand.Float64() >= share {
		return b
	}
	mine := piece{bytes: slices.Clone(b), got: make(chan []byte, 1)}
	select {
	case l.pieces <- mine:
		return <-mine.got
	case other := <-l.pieces:
		other.got <- mine.bytes
		l.crossed.Add(2)
		return other.bytes
	case <-time.After(crossWait):
		return b
	}
}

// Heal ends all cuts of a zone.
func (l *Lab) Heal(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.cut, zone)
	delete(l.away, zone)
}

func (l *Lab) dial(ctx context.Context, zone, addr string) (net.Conn, error) {
	l.mu.Lock()
	to, hop := l.zones[addr], l.hops[addr]
	cut := to != zone && (l.cut[zone] || l.cut[to])
	l.mu.Unlock()
	if cut {
		return nil, errorx.ExternalError.New("network is cut")
	}
	conn, err := l.Net.Connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := &labConn{Conn: conn, lab: l, hop: hop}
	if l.Delay != nil {
		c.delay(l.Delay(zone, to))
	}
	l.mu.Lock()
	l.conns[c] = [2]string{zone, to}
	l.mu.Unlock()
	return c, nil
}

// labConn is forgotten by its lab when it is closed.
type labConn struct {
	net.Conn
	lab    *Lab
	hop    bool
	rest   []byte
	silent atomic.Bool
	trip   time.Duration
	queue  chan chunk
	closed chan struct{}
	once   sync.Once
}

// chunk is what was written, and when it is to leave.
type chunk struct {
	bytes []byte
	due   time.Time
}

// maxChunks bounds what waits in a delayed connection.
const maxChunks = 4096

// delay makes what is written leave later by a round trip, so that a question
// and its answer take as long as between two distant places.
func (c *labConn) delay(trip time.Duration) {
	if trip <= 0 {
		return
	}
	c.trip, c.queue, c.closed = trip, make(chan chunk, maxChunks), make(chan struct{})
	c.lab.wg.Go(func() {
		for {
			select {
			case <-c.closed:
				return
			case k := <-c.queue:
				select {
				case <-c.closed:
					return
				case <-time.After(time.Until(k.due)):
				}
				if _, err := c.Conn.Write(k.bytes); err != nil {
					_ = c.Conn.Close()
					return
				}
			}
		}
	})
}

// Read reads what comes in, unless the connection is silent. One goroutine at
// a time reads.
func (c *labConn) Read(b []byte) (int, error) {
	if len(c.rest) > 0 {
		n := copy(b, c.rest)
		c.rest = c.rest[n:]
		return n, nil
	}
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			return n, err
		}
		if c.silent.Load() {
			continue
		}
		if !c.hop {
			return n, nil
		}
		got := c.lab.exchange(b[:n])
		n = copy(b, got)
		c.rest = got[n:]
		return n, nil
	}
}

// Write sends, unless the connection is silent.
func (c *labConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	if c.queue == nil {
		return c.Conn.Write(b)
	}
	select {
	case c.queue <- chunk{bytes: slices.Clone(b), due: time.Now().Add(c.trip)}:
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close closes the connection.
func (c *labConn) Close() error {
	c.lab.mu.Lock()
	delete(c.lab.conns, c)
	c.lab.mu.Unlock()
	if c.closed != nil {
		c.once.Do(func() { close(c.closed) })
	}
	return c.Conn.Close()
}

// storeFor returns the store as a zone sees it.
func (l *Lab) storeFor(zone string) *gtstore.Store {
	inner := gtstore.Etcd(l.Endpoint(), gtstore.ClientOver(l.Net.Connect))
	away := func() error {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.away[zone] {
			return errorx.ExternalError.New("store can't be reached")
		}
		return nil
	}
	return &gtstore.Store{
		Range: func(ctx context.Context, key, end string) (gtstore.Answer, error) {
			if err := away(); err != nil {
				return gtstore.Answer{}, err
			}
			return inner.Range(ctx, key, end)
		},
		Txn: func(ctx context.Context, t *gtstore.Txn) (gtstore.Done, error) {
			if err := away(); err != nil {
				return gtstore.Done{}, err
			}
			return inner.Txn(ctx, t)
		},
		Grant: func(ctx context.Context, ttl time.Duration) (int64, error) {
			if err := away(); err != nil {
				return 0, err
			}
			return inner.Grant(ctx, ttl)
		},
		Keep: func(ctx context.Context, lease int64) error {
			if err := away(); err != nil {
				return err
			}
			return inner.Keep(ctx, lease)
		},
		Watch: func(ctx context.Context, key, end string, after int64, fn func([]gtstore.KV)) error {
			if err := away(); err != nil {
				return err
			}
			return inner.Watch(ctx, key, end, after, func(kvs []gtstore.KV) {
				if away() == nil {
					fn(kvs)
				}
			})
		},
	}
}
