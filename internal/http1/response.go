package http1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// exchange is one request with its place in the order of answers.
type exchange struct {
	c      *conn
	req    *http.Request
	body   *serverBody
	cancel context.CancelFunc
	prev   <-chan struct{} // closed when the answer before is written; nil for none
	done   chan struct{}   // closed when this answer is written
	keep   bool            // the caller keeps the connection
	ended  time.Time       // when the last part of the answer went out
}

// awaitTurn waits until the answers before this one are written.
func (x *exchange) awaitTurn() error {
	if x.prev == nil {
		return nil
	}
	select {
	case <-x.prev:
		return nil
	case <-x.c.ctx.Done():
		return x.c.ctx.Err()
	}
}

func (x *exchange) sendContinue() error {
	if err := x.awaitTurn(); err != nil {
		return err
	}
	_, err := io.WriteString(x.c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// writeBuffer is the size of the buffer of one answer.
const writeBuffer = 4 << 10

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}

// errTooLong reports an answer with more bytes than its Content-Length.
var errTooLong = errors.New("answer is longer than its length")

// responseWriter is the http.ResponseWriter of one exchange. It also offers
// what http.ResponseController uses: Flush and SetReadDeadline.
type responseWriter struct {
	x       *exchange
	header  http.Header
	bw      *bufio.Writer
	status  int
	length  int64 // declared; negative means chunks
	written int64
	bodied  bool // the answer may have a body
	err     error
}

func newResponseWriter(x *exchange) *responseWriter {
	return &responseWriter{x: x, header: make(http.Header), length: -1}
}

// Header returns the header to be sent.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader writes the head, after the answers before this one. Informational
// statuses are sent at once and may be followed by others.
func (w *responseWriter) WriteHeader(status int) {
	if w.status != 0 || w.err != nil {
		return
	}
	if w.err = w.x.awaitTurn(); w.err != nil {
		return
	}
	if status < http.StatusOK {
		_, w.err = io.WriteString(w.x.c.nc, "HTTP/1.1 "+statusLine(status)+"\r\n\r\n")
		return
	}
	w.status = status
	w.bw = writers.Get().(*bufio.Writer)
	w.bw.Reset(w.x.c.nc)
	w.frame()
	_, _ = w.bw.WriteString("HTTP/1.1 " + statusLine(status) + "\r\n")
	w.err = w.header.Write(w.bw)
	_, _ = w.bw.WriteString("\r\n")
}

// frame chooses how the end of the body is told.
func (w *responseWriter) frame() {
	w.bodied = w.x.req.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
	w.header.Del("Transfer-Encoding")
	if n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		w.length = n
	} else if w.bodied {
		w.header.Del("Content-Length")
		w.header.Set("Transfer-Encoding", "chunked")
	}
	old := !w.x.req.ProtoAtLeast(1, 1)
	if old {
		w.header.Del("Transfer-Encoding")
	}
	wantClose := !w.x.body.whole() || old && w.length < 0
	if w.x.c.announceClose(w.x, wantClose || w.header.Get("Connection") == "close") {
		w.header.Set("Connection", "close")
	} else {
		w.header.Del("Connection")
		if old {
			w.header.Set("Connection", "keep-alive")
		}
	}
}

func (w *responseWriter) chunked() bool {
	return w.bodied && w.length < 0 && w.x.req.ProtoAtLeast(1, 1)
}

// Write sends a part of the body.
func (w *responseWriter) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.err != nil {
		return 0, w.err
	}
	if !w.bodied || len(p) == 0 {
		return len(p), nil
	}
	w.written += int64(len(p))
	if w.length >= 0 && w.written > w.length {
		w.err = errTooLong
		return 0, w.err
	}
	if !w.chunked() {
		_, w.err = w.bw.Write(p)
		return len(p), w.err
	}
	_, _ = w.bw.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	_, _ = w.bw.Write(p)
	_, w.err = w.bw.WriteString("\r\n")
	return len(p), w.err
}

// Flush sends what is buffered.
func (w *responseWriter) Flush() {
	if w.bw != nil && w.err == nil {
		w.err = w.bw.Flush()
	}
}

// SetReadDeadline bounds the reading of the request's body.
func (w *responseWriter) SetReadDeadline(t time.Time) error {
	if w.x.body.whole() {
		return nil
	}
	w.x.c.rd.set(t)
	return nil
}

// finish ends the answer and reports whether it is whole.
func (w *responseWriter) finish() bool {
	if w.status == 0 && w.err == nil {
		w.header.Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
	}
	if w.bw == nil {
		return false
	}
	if w.chunked() && w.err == nil {
		_, w.err = w.bw.WriteString("0\r\n\r\n")
	}
	w.x.ended = time.Now() // before its caller can use the connection again
	if w.err == nil {
		w.err = w.bw.Flush()
	}
	w.bw.Reset(nil)
	writers.Put(w.bw)
	w.bw = nil
	return w.err == nil && (!w.bodied || w.length < 0 || w.written == w.length)
}

// statusLine returns the status code with its text.
func statusLine(status int) string {
	var b bytes.Buffer
	b.WriteString(strconv.Itoa(status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(status))
	return b.String()
}
