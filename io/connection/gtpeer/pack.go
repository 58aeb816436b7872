package gtpeer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/joomcode/errorx"
)

const (
	// packFrom is the size in bytes from which a message is compressed.
	packFrom = 512
	// packed is set in the length of a message that is compressed.
	packed = 1 << 31
)

// The compressors of a process are used again: each takes some 600 KB.
var (
	packers   = sync.Pool{New: func() any { w, _ := flate.NewWriter(io.Discard, flate.BestSpeed); return w }}
	unpackers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// pack compresses a message. It says whether that was worth it.
func pack(b []byte) ([]byte, bool) {
	if len(b) < packFrom {
		return b, false
	}
	var out bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&out)
	_, _ = w.Write(b)
	_ = w.Close()
	return out.Bytes(), true
}

// unpack returns the message that was compressed, of at most MaxMessage bytes.
func unpack(b []byte) ([]byte, error) {
	r := unpackers.Get().(io.ReadCloser)
	defer unpackers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(b), nil); err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "unpack a message")
	}
	out, err := io.ReadAll(io.LimitReader(r, MaxMessage+1))
	if err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "unpack a message")
	}
	if len(out) > MaxMessage {
		return nil, errorx.IllegalFormat.New("message is larger than %d bytes when unpacked", MaxMessage)
	}
	return out, nil
}
