package telemetry

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// AsyncWriter writes lines in the background, so that an output that nobody reads never
// blocks a request. Lines that do not fit into its buffer are dropped and counted.
type AsyncWriter struct {
	out      io.Writer
	lines    chan []byte // a nil line ends run
	dropped  atomic.Int64
	stopOnce sync.Once
	done     chan struct{} // closed when run has ended
}

// NewAsyncWriter returns a writer to out that buffers up to capacity lines. Flush ends its
// goroutine.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, capacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a copy of p, which is one line. It never blocks and returns no error.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that did not fit into the buffer or could not be
// written.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}

// Flush writes the buffered lines and stops the writer, waiting at most timeout. Lines of
// later calls to Write stay in the buffer, and are dropped once it is full.
func (w *AsyncWriter) Flush(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	w.stopOnce.Do(func() {
		select {
		case w.lines <- nil:
		case <-ctx.Done():
		}
	})
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}
