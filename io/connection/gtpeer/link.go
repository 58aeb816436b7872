// Package gtpeer is one control link between two nodes: JSON-RPC 2.0 over a
// TCP connection, each message behind its length, compressed unless it is
// small, with heartbeats both ways.
//
// # Usage
//
//	link := &gtpeer.Link{Conn: conn, Timer: timer, Serve: serve, Counted: counted}
//	link.Open(ctx)
//	go link.Run(ctx)
//	link.Tell("facts", facts)              // queued, never blocks
//	err := link.Ask(ctx, "fetch", in, &out)
//
// A message that can't be decoded or is too large ends the link, and nothing
// else. A link whose queue is full is closed: the digest repairs what is lost.
package gtpeer

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"

	"godwittide/core/connection/gtlink"
	"godwittide/core/process/gttimer"
)

const (
	// MaxMessage is the largest message in bytes.
	MaxMessage = 16 << 20
	// queueLength bounds the messages that wait to be sent.
	queueLength = 512
	// writeLimit bounds the time to send one message.
	writeLimit = 3 * time.Second
	// askLimit bounds the time of one question.
	askLimit = 3 * time.Second
)

// quiet takes what the library says of links that end, which is no news.
var quiet = log.New(io.Discard, "", 0)

// Serve handles one message of a peer. The answer of a notification is not
// used. It must not block for long: messages of a link are handled in order.
type Serve func(l *Link, method string, params json.RawMessage) (any, error)

// Link is one control link. Its exported fields are set before Run.
type Link struct {
	// Conn is the connection.
	Conn net.Conn
	// Timer gives the clock and the rhythm of heartbeats.
	Timer *gttimer.Service
	// Serve handles messages.
	Serve Serve
	// Counted is told the bytes of each message that was sent or received.
	Counted func(sent, received int)

	rpc   *jsonrpc2.Conn
	queue chan message
	ready chan struct{}
	once  sync.Once
	heard atomic.Int64
}

type message struct {
	method string
	params any
}

// Open makes the link ready for use. It is called once, before any other
// method.
func (l *Link) Open(ctx context.Context) {
	l.queue = make(chan message, queueLength)
	l.ready = make(chan struct{})
	l.heard.Store(l.Timer.Time().UnixNano())
	l.rpc = jsonrpc2.NewConn(ctx, &stream{link: l, r: bufio.NewReader(l.Conn)}, handler{l}, jsonrpc2.SetLogger(quiet))
	close(l.ready)
}

// Run sends queued messages and heartbeats until the link ends or ctx does.
func (l *Link) Run(ctx context.Context) {
	defer l.Close()
	beat := l.Timer.Every(gtlink.Beat, 0.1)
	defer beat.Stop()
	for {
		var m message
		select {
		case <-ctx.Done():
			return
		case <-l.rpc.DisconnectNotify():
			return
		case now := <-beat.C():
			if now.Sub(l.Heard()) > gtlink.Silence {
				return
			}
			m = message{method: "beat"}
		case m = <-l.queue:
		}
		if err := l.rpc.Notify(ctx, m.method, m.params); err != nil {
			return
		}
	}
}

// Heard returns when the last message came in.
func (l *Link) Heard() time.Time { return time.Unix(0, l.heard.Load()) }

// Tell queues a notification. If the queue is full the link is closed.
func (l *Link) Tell(method string, params any) {
	select {
	case l.queue <- message{method, params}:
	default:
		l.Close()
	}
}

// Ask sends a question and waits for its answer. An error of the type
// errorx.RejectedOperation means that the peer answered, and refused.
func (l *Link) Ask(ctx context.Context, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	err := l.rpc.Call(ctx, method, in, out)
	var refused *jsonrpc2.Error
	if errors.As(err, &refused) {
		return errorx.RejectedOperation.Wrap(err, "ask %s", method)
	}
	if err != nil {
		return errorx.Decorate(err, "ask %s", method)
	}
	return nil
}

// Close ends the link.
func (l *Link) Close() {
	l.once.Do(func() {
		_ = l.Conn.Close()
		_ = l.rpc.Close()
	})
}

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.rpc.DisconnectNotify() }

// handler gives the messages of a connection to its link, in order.
type handler struct{ link *Link }

// Handle serves one message.
func (h handler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	<-h.link.ready
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	if r.Method == "beat" {
		return
	}
	answer, err := h.link.Serve(h.link, r.Method, params)
	if err != nil && errorx.IsOfType(err, errorx.IllegalFormat) {
		h.link.Close()
		return
	}
	if r.Notif {
		return
	}
	if err != nil {
		_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
		return
	}
	_ = conn.Reply(ctx, r.ID, answer)
}

// stream frames messages by their length and keeps them within MaxMessage.
type stream struct {
	link *Link
	r    *bufio.Reader
}

// ReadObject reads one message.
func (s *stream) ReadObject(v any) error {
	var head [4]byte
	if _, err := io.ReadFull(s.r, head[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(head[:])
	n := length &^ packed
	if n > MaxMessage {
		return errorx.IllegalFormat.New("message of %d bytes is larger than %d", n, MaxMessage)
	}
	b, err := readN(s.r, int(n))
	if err != nil {
		return err
	}
	s.link.heard.Store(s.link.Timer.Time().UnixNano())
	s.link.Counted(0, len(b)+len(head))
	if length&packed != 0 {
		if b, err = unpack(b); err != nil {
			return err
		}
	}
	if direct, ok := v.(json.Unmarshaler); ok {
		return direct.UnmarshalJSON(b) // spares two scans of the message
	}
	return json.Unmarshal(b, v)
}

// readN reads n bytes, and takes memory only as they come in.
func readN(r io.Reader, n int) ([]byte, error) {
	const step = 64 << 10
	b := make([]byte, 0, min(n, step))
	for len(b) < n {
		k := min(n-len(b), step)
		b = append(b, make([]byte, k)...)
		if _, err := io.ReadFull(r, b[len(b)-k:]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// WriteObject writes one message.
func (s *stream) WriteObject(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(b) > MaxMessage {
		return errorx.IllegalArgument.New("message of %d bytes is larger than %d", len(b), MaxMessage)
	}
	b, small := pack(b)
	length := uint32(len(b))
	if small {
		length |= packed
	}
	out := binary.BigEndian.AppendUint32(make([]byte, 0, len(b)+4), length)
	_ = s.link.Conn.SetWriteDeadline(time.Now().Add(writeLimit))
	n, err := s.link.Conn.Write(append(out, b...))
	s.link.Counted(n, 0)
	return err
}

// Close closes the connection.
func (s *stream) Close() error { return s.link.Conn.Close() }
