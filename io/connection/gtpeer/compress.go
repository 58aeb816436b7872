package gtpeer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/joomcode/errorx"
)

const (
	// compressThreshold is the size in bytes from which messages are compressed.
	compressThreshold = 512
	// compressedFlag is the bit that marks the length of a compressed message.
	compressedFlag = 1 << 31
)

// compressor is shared by all links, since it takes 1.1 MB. With one for each message in
// progress a node beside many that started at once held up to 30 MB. Its lock is held
// while a message is compressed, but never over a wait.
var compressor struct {
	mu sync.Mutex
	w  *flate.Writer
}

var decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// compress returns the compressed message and true, or the message itself and false
// if it is smaller than compressThreshold.
func compress(b []byte) ([]byte, bool) {
	if len(b) < compressThreshold {
		return b, false
	}
	var out bytes.Buffer
	c := &compressor
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.w == nil {
		c.w, _ = flate.NewWriter(&out, flate.BestSpeed)
	}
	c.w.Reset(&out)
	_, _ = c.w.Write(b)
	_ = c.w.Close()
	c.w.Reset(io.Discard) // so that it doesn't keep the message
	return out.Bytes(), true
}

// decompress returns the decompressed message. It fails if the message can't be
// decompressed or the result is larger than MaxMessageBytes.
func decompress(b []byte) ([]byte, error) {
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(b), nil); err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "decompress a message")
	}
	out, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "decompress a message")
	}
	if len(out) > MaxMessageBytes {
		return nil, errorx.IllegalFormat.New("decompressed message exceeds the limit of %d bytes", MaxMessageBytes)
	}
	return out, nil
}
