package proxy

import (
	"net/http"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
)

const (
	// nodeWriteStall is how long a response to another node may make no progress after the
	// deadline of its request. A lost packet is retransmitted after one second, and again
	// after two more.
	nodeWriteStall = 3 * time.Second
	// callerWriteStall is the same for a caller, who may read slowly.
	callerWriteStall = 10 * time.Second
	// unboundedWrite is the length of the beginning of a response, in bytes, that is written
	// without a deadline. It fits into the send buffer of a connection.
	unboundedWrite = 16 << 10
)

// progressingWriter writes a response whose reader may stop reading, or whose connection
// may fall silent without an error. A write fails if it makes no progress for a time after
// the deadline of the request; until then the reader may take its time.
type progressingWriter struct {
	http.ResponseWriter
	deadline time.Time // of the request
	stall    time.Duration
	written  int
}

// Write implements io.Writer.
func (w *progressingWriter) Write(p []byte) (int, error) {
	w.written += len(p)
	if w.written <= unboundedWrite {
		return w.ResponseWriter.Write(p)
	}
	end := laterOf(clock.Now(), w.deadline).Add(w.stall)
	// Without support for deadlines the end of the connection ends the write.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(clock.ToMonotonic(end))
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *progressingWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }
