package telemetry

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// AsyncWriter writes in the background, so that an output that nobody reads
// never blocks a request. What does not fit into its buffer is dropped and
// counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    sync.Once
	done    chan struct{}
}

// NewAsyncWriter returns a writer to out that holds up to the given number of
// lines.
func NewAsyncWriter(out io.Writer, lines int) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a copy of a line and never blocks.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that did not fit.
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

// Flush writes what is held and stops, within the given time. Later lines are
// dropped once the buffer is full.
func (w *AsyncWriter) Flush(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	w.stop.Do(func() {
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
