// Package body keeps the bodies of messages in blocks of memory. Blocks are used again, so that
// a body takes what is counted for it and leaves nothing to the garbage collector, which lags
// behind callers that send much.
package body

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/membudget"
)

const (
	// smallBlockBytes is the size of the first block, largeBlockBytes that of all others.
	smallBlockBytes = 4 << 10
	largeBlockBytes = 16 << 10
	// progressBytes is the part of a body that counts as progress when it arrives.
	progressBytes = 1 << 10
)

// ErrTooLarge means that a body exceeds its limit.
var ErrTooLarge = errors.New("the body is too large")

var (
	smallBlocks = sync.Pool{New: func() any { return new([smallBlockBytes]byte) }}
	largeBlocks = sync.Pool{New: func() any { return new([largeBlockBytes]byte) }}
)

// Body is a body of a message. Free must be called.
type Body struct {
	blocks [][]byte
	size   int
	// users counts those who use the blocks.
	users atomic.Int32
	// freed is called once the blocks are free.
	freed func()
}

// New returns an empty body.
func New() *Body {
	b := &Body{}
	b.users.Store(1)
	return b
}

// Counted returns the memory that was counted for the body.
func (b *Body) Counted() int64 {
	var counted int64
	for _, block := range b.blocks {
		counted += int64(cap(block))
	}
	return counted
}

// Size returns the number of bytes.
func (b *Body) Size() int { return b.size }

// Fill reads up to the end of a source into memory that hold counts. A length of at least 0
// is that of the body, after which nothing is read. The error is io.EOF at the end.
func (b *Body) Fill(source io.Reader, hold *membudget.Hold, length, limit int64) error {
	progress := 0
	for length < 0 || int64(b.size) < length {
		last := len(b.blocks) - 1
		if last < 0 || len(b.blocks[last]) == cap(b.blocks[last]) {
			if err := b.add(hold, length); err != nil {
				return err
			}
			last++
		}
		block := b.blocks[last]
		n, err := source.Read(block[len(block):cap(block)])
		b.blocks[last] = block[:len(block)+n]
		b.size += n
		if b.size-progress >= progressBytes {
			progress = b.size
			hold.Progress()
		}
		switch {
		case int64(b.size) > limit:
			return ErrTooLarge
		case err == io.EOF && length >= 0 && int64(b.size) < length:
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			return err
		case hold.Ended():
			return membudget.ErrNoMemory
		case err != nil:
			return err
		}
	}
	return io.EOF
}

// add adds an empty block. If the rest of the body is smaller than any block, it has the size
// of the rest.
func (b *Body) add(hold *membudget.Hold, length int64) error {
	size := smallBlockBytes
	if len(b.blocks) > 0 {
		size = largeBlockBytes
	}
	rest := length - int64(b.size)
	if length >= 0 && rest <= smallBlockBytes {
		size = int(rest)
	}
	if err := hold.Grow(int64(size)); err != nil {
		return err
	}
	var block []byte
	switch size {
	case smallBlockBytes:
		block = smallBlocks.Get().(*[smallBlockBytes]byte)[:0]
	case largeBlockBytes:
		block = largeBlocks.Get().(*[largeBlockBytes]byte)[:0]
	default:
		block = make([]byte, 0, size)
	}
	b.blocks = append(b.blocks, block)
	return nil
}

// WriteTo implements io.WriterTo.
func (b *Body) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, block := range b.blocks {
		n, err := w.Write(block)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Join returns the body in one piece, which is memory of its own.
func (b *Body) Join() []byte {
	data := make([]byte, 0, b.size)
	for _, block := range b.blocks {
		data = append(data, block...)
	}
	return data
}

// Keep keeps the blocks until release is called, also after Free.
func (b *Body) Keep() (release func()) {
	b.users.Add(1)
	return b.release
}

// Free ends the use of the body. freed is called once nobody else uses its blocks, unless it is
// nil.
func (b *Body) Free(freed func()) {
	b.freed = freed
	b.release()
}

// release ends one use of the blocks, and makes them available to other bodies with the last.
func (b *Body) release() {
	if b.users.Add(-1) > 0 {
		return
	}
	for _, block := range b.blocks {
		switch cap(block) {
		case smallBlockBytes:
			smallBlocks.Put((*[smallBlockBytes]byte)(block[:smallBlockBytes]))
		case largeBlockBytes:
			largeBlocks.Put((*[largeBlockBytes]byte)(block[:largeBlockBytes]))
		}
	}
	b.blocks, b.size = nil, 0
	if b.freed != nil {
		b.freed()
	}
}
