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

// Compressors are pooled, since each takes some 600 KB of memory.
var (
	compressors   = sync.Pool{New: func() any { w, _ := flate.NewWriter(io.Discard, flate.BestSpeed); return w }}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// compress returns the compressed message and true, or the message itself and false
// if it is smaller than compressThreshold.
func compress(b []byte) ([]byte, bool) {
	if len(b) < compressThreshold {
		return b, false
	}
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	_, _ = w.Write(b)
	_ = w.Close()
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
