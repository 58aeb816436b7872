// Package gtpeer implements a control link between two nodes: JSON-RPC 2.0 over
// a TCP connection, with length-prefixed messages, compression of all but small
// messages, and heartbeats in both directions.
//
// # Usage
//
//	link := &gtpeer.Link{Conn: conn, Timer: timer, Serve: serve, OnBytes: countBytes}
//	link.Open(ctx)
//	go link.Run(ctx)
//	link.Notify("facts", facts) // queued, never blocks
//	err := link.Call(ctx, "fetch", in, &out)
//
// A message that can't be decoded or is too large closes the link and has no
// other effect. A link whose send queue is full is closed as well; the next
// exchange of digests repairs what is lost.
package gtpeer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"

	"godwittide/core/connection/gtlink"
	"godwittide/core/process/gttimer"
	"godwittide/io/connection/gtsocket"
)

const (
	// MaxMessageBytes is the size limit of a message, before and after compression.
	MaxMessageBytes = 16 << 20
	// maxFirstMessageBytes is the same for the first message, by which the peer names
	// itself.
	maxFirstMessageBytes = 64 << 10
	// limitMessageBytes names these limits in reports, like the size of a head on other listeners.
	limitMessageBytes = "head"
	// sendQueueLength is the capacity of the send queue, in messages.
	sendQueueLength = 512
	// writeTimeout is the timeout for writing one message.
	writeTimeout = 3 * time.Second
	// callTimeout is the timeout of one call.
	callTimeout = 3 * time.Second
)

// discardLogger drops the library's log lines, which only report closed links.
var discardLogger = log.New(io.Discard, "", 0)

// ServeFunc handles one message of a peer and returns the result of a call; the
// result of a notification is ignored. An error of the type errorx.IllegalFormat
// closes the link. ServeFunc must not block for long, since the messages of a
// link are handled in order.
//
// The result of a call that takes long is a Deferred.
type ServeFunc func(l *Link, method string, params json.RawMessage) (any, error)

// Deferred returns the result of a call. It is called in a goroutine of its own, while further
// messages of the link are handled, and must end by itself.
type Deferred func() (any, error)

// Link is one end of a control link. Its exported fields are set before Open.
type Link struct {
	// Conn is the connection.
	Conn net.Conn
	// Timer provides the time and the heartbeat ticks.
	Timer *gttimer.Service
	// Serve handles the messages of the peer, except heartbeats.
	Serve ServeFunc
	// OnBytes is called with the size in bytes of each message sent or received.
	OnBytes func(sent, received int)

	rpc          *jsonrpc2.Conn
	stream       *frameStream
	sendQueue    chan notification
	ready        chan struct{}
	closeOnce    sync.Once
	lastReceived gttimer.Moment
}

// notification is a queued message that gets no response.
type notification struct {
	method string
	params any
}

// Open starts reading from the connection. It is called once, before any other
// method. Calls are possible after it; notifications are sent by Run.
func (l *Link) Open(ctx context.Context) {
	l.sendQueue = make(chan notification, sendQueueLength)
	l.ready = make(chan struct{})
	l.lastReceived.Set(l.Timer.Time())
	l.stream = &frameStream{link: l, r: bufio.NewReader(l.Conn), writing: make(chan struct{}, 1)}
	l.rpc = jsonrpc2.NewConn(ctx, l.stream, handler{l}, jsonrpc2.SetLogger(discardLogger))
	close(l.ready)
}

// Run sends queued notifications and heartbeats until the link or ctx ends. It
// closes the link when the peer has sent nothing for gtlink.HeartbeatTimeout.
func (l *Link) Run(ctx context.Context) {
	defer l.Close()
	ticker := l.Timer.Every(gtlink.HeartbeatPeriod, 0.1)
	defer ticker.Stop()
	for {
		var m notification
		select {
		case <-ctx.Done():
			return
		case <-l.rpc.DisconnectNotify():
			return
		case now := <-ticker.C():
			if now.Sub(l.LastReceived()) > gtlink.HeartbeatTimeout {
				return
			}
			if l.stream.writeFrame(beatMessage, false) != nil {
				return
			}
			continue
		case m = <-l.sendQueue:
		}
		if err := l.rpc.Notify(ctx, m.method, m.params); err != nil {
			return
		}
	}
}

// LastReceived returns the time at which the last message was received.
func (l *Link) LastReceived() time.Time { return l.lastReceived.Time() }

// Notify queues a notification without blocking. If the queue is full, it closes
// the link.
func (l *Link) Notify(method string, params any) {
	select {
	case l.sendQueue <- notification{method, params}:
	default:
		l.Close()
	}
}

// Call calls a method of the peer and decodes the result into out. It waits for the
// response until ctx ends, and no longer than callTimeout. An error of the type
// errorx.RejectedOperation means that the peer responded with an error.
func (l *Link) Call(ctx context.Context, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := l.rpc.Call(ctx, method, in, out)
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return errorx.RejectedOperation.Wrap(err, "call %s", method)
	}
	if err != nil {
		return errorx.Decorate(err, "call %s", method)
	}
	return nil
}

// Close closes the link and its connection.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		_ = l.Conn.Close()
		_ = l.rpc.Close()
	})
}

// Done returns a channel that is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.rpc.DisconnectNotify() }

// handler passes the messages of a connection to its link, in order.
type handler struct{ link *Link }

// Handle handles one message. It waits until Open has finished, since the connection
// may deliver messages before Open has stored it in the link.
func (h handler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	<-h.link.ready
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	if r.Method == "beat" {
		return
	}
	result, err := h.link.Serve(h.link, r.Method, params)
	if err != nil && errorx.IsOfType(err, errorx.IllegalFormat) {
		h.link.Close()
		return
	}
	if r.Notif {
		return
	}
	if later, ok := result.(Deferred); ok && err == nil {
		go func() {
			result, err := later()
			reply(ctx, conn, r.ID, result, err)
		}()
		return
	}
	reply(ctx, conn, r.ID, result, err)
}

// reply sends the result of a call, or the error.
func reply(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, result any, err error) {
	if err != nil {
		_ = conn.ReplyWithError(ctx, id, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
		return
	}
	_ = conn.Reply(ctx, id, result)
}

// frameStream reads and writes length-prefixed messages of at most MaxMessageBytes.
type frameStream struct {
	link     *Link
	r        *bufio.Reader
	received bool // a message has been received
	// writing is full while a message is written, so that no other mixes with it. It is a
	// channel, as a lock must not be held over a wait under the test clock.
	writing chan struct{}
}

// beatMessage is the heartbeat. At rest most messages are heartbeats, so they are neither
// encoded nor decoded each time.
var beatMessage = []byte(`{"jsonrpc":"2.0","method":"beat"}`)

// ReadObject reads the next message other than a heartbeat and decodes it into v.
func (s *frameStream) ReadObject(v any) error {
	b, err := s.readMessage()
	for err == nil && bytes.Equal(b, beatMessage) {
		b, err = s.readMessage()
	}
	if err != nil {
		return err
	}
	if u, ok := v.(json.Unmarshaler); ok {
		return u.UnmarshalJSON(b) // avoids two extra scans of the message by json.Unmarshal
	}
	return json.Unmarshal(b, v)
}

// readMessage reads one message.
func (s *frameStream) readMessage() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(s.r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	n := length &^ compressedFlag
	limit := uint32(MaxMessageBytes)
	if !s.received {
		limit = maxFirstMessageBytes
	}
	if n > limit {
		gtsocket.ReportLimit(s.link.Conn, limitMessageBytes, int64(limit))
		return nil, errorx.IllegalFormat.New("received message of %d bytes exceeds the limit of %d bytes", n, limit)
	}
	b, err := readBytes(s.r, int(n))
	if err != nil {
		return nil, err
	}
	s.received = true
	s.link.lastReceived.Set(s.link.Timer.Time())
	s.link.OnBytes(0, len(b)+len(header))
	if length&compressedFlag != 0 {
		return decompress(b)
	}
	return b, nil
}

// readBytes reads n bytes. It allocates memory in steps as data arrives, so that
// a false length alone can't make it allocate much.
func readBytes(r io.Reader, n int) ([]byte, error) {
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

// WriteObject encodes v and writes it as one message.
func (s *frameStream) WriteObject(v any) error {
	b, compressed, err := encode(v)
	if err != nil {
		return err
	}
	return s.writeFrame(b, compressed)
}

// encoding is locked while a message is encoded and compressed, but not while it is written.
// A node that many joined at once encoded the whole configuration for each of them at the
// same time, in several copies: 30 MB with 2,000 routes.
var encoding sync.Mutex

// encode returns the message for v, and whether it is compressed.
func encode(v any) (b []byte, compressed bool, err error) {
	encoding.Lock()
	defer encoding.Unlock()
	if b, err = json.Marshal(v); err != nil {
		return nil, false, err
	}
	if len(b) > MaxMessageBytes {
		return nil, false, errorx.IllegalArgument.New("message to send has %d bytes and exceeds the limit of %d bytes", len(b), MaxMessageBytes)
	}
	b, compressed = compress(b)
	return b, compressed, nil
}

// writeFrame writes one encoded message. Any thread may call it.
func (s *frameStream) writeFrame(b []byte, compressed bool) error {
	length := uint32(len(b))
	if compressed {
		length |= compressedFlag
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, len(b)+4), length)
	frame = append(frame, b...)
	s.writing <- struct{}{}
	defer func() { <-s.writing }()
	_ = s.link.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := s.link.Conn.Write(frame)
	s.link.OnBytes(n, 0)
	return err
}

// Close closes the connection.
func (s *frameStream) Close() error { return s.link.Conn.Close() }
