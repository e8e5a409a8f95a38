package kernel

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// logBufferBytes is the maximum size of the buffered log lines.
const logBufferBytes = 1 << 20

// AsyncWriter writes log lines from a background goroutine, so that a slow reader
// of the log never blocks the code that logs. Lines that do not fit into the
// buffer are dropped and counted. The count is written before the next line that
// fits.
type AsyncWriter struct {
	out     io.Writer
	mu      sync.Mutex
	waiting bytes.Buffer // guarded by mu
	dropped int          // guarded by mu
	closed  bool         // guarded by mu
	wake    chan struct{}
	done    chan struct{}
	failed  atomic.Int64
}

// NewAsyncWriter starts the background goroutine. Close stops it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return 0, io.ErrClosedPipe
	}
	if w.waiting.Len()+len(line) > logBufferBytes {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		w.waiting.WriteString(`{"level":"WARN","msg":"log lines dropped","lines":` + strconv.Itoa(w.dropped) + "}\n")
		w.dropped = 0
	}
	w.waiting.Write(line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// run writes the buffered lines until the writer is closed.
func (w *AsyncWriter) run() {
	defer close(w.done)
	var batch bytes.Buffer
	for open := true; open; {
		_, open = <-w.wake
		for w.swap(&batch) {
			if _, err := w.out.Write(batch.Bytes()); err != nil {
				w.failed.Add(1)
			}
			batch.Reset()
		}
	}
}

// swap exchanges the buffer of waiting lines with the empty batch, and reports
// whether there were any lines.
func (w *AsyncWriter) swap(batch *bytes.Buffer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting, *batch = *batch, w.waiting
	return batch.Len() > 0
}

// Close writes the buffered lines and stops the writer. It blocks until all are
// written.
func (w *AsyncWriter) Close() error {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	w.mu.Unlock()
	if !closed {
		close(w.wake)
	}
	<-w.done
	return nil
}
