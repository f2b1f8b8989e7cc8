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

// exchange is one request with its position in the response order.
type exchange struct {
	conn      *conn
	req       *http.Request
	body      *serverBody
	cancel    context.CancelFunc
	previous  <-chan struct{} // closed when the previous response is written; nil if there is none
	done      chan struct{}   // closed when this response is written
	keepAlive bool            // the caller keeps the connection open
	lastWrite time.Time       // when the last byte of the response was written
}

// awaitPrevious waits until the previous responses are written.
func (ex *exchange) awaitPrevious() error {
	if ex.previous == nil {
		return nil
	}
	select {
	case <-ex.previous:
		return nil
	case <-ex.conn.ctx.Done():
		return ex.conn.ctx.Err()
	}
}

func (ex *exchange) sendContinue() error {
	if err := ex.awaitPrevious(); err != nil {
		return err
	}
	_, err := io.WriteString(ex.conn.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// writeBufferSize is the size of the write buffer of one response or request head, in
// bytes.
const writeBufferSize = 4 << 10

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}

// errResponseTooLong reports a response with more bytes than its Content-Length.
var errResponseTooLong = errors.New("response is longer than its Content-Length")

// responseWriter is the http.ResponseWriter of one exchange. It also offers what
// http.ResponseController uses: Flush and the deadlines.
type responseWriter struct {
	ex          *exchange
	header      http.Header
	bw          *bufio.Writer
	status      int
	length      int64 // declared Content-Length; negative means chunked
	written     int64
	bodyAllowed bool // the response may have a body
	hasDeadline bool // SetWriteDeadline was called
	err         error
}

func newResponseWriter(ex *exchange) *responseWriter {
	return &responseWriter{ex: ex, header: make(http.Header), length: -1}
}

// Header returns the header that will be sent.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader writes the head, after the previous responses. Informational statuses are
// sent at once and may be followed by others.
func (w *responseWriter) WriteHeader(status int) {
	if w.status != 0 || w.err != nil {
		return
	}
	if w.err = w.ex.awaitPrevious(); w.err != nil {
		return
	}
	if status < http.StatusOK {
		_, w.err = io.WriteString(w.ex.conn.nc, "HTTP/1.1 "+statusLine(status)+"\r\n\r\n")
		return
	}
	w.status = status
	w.bw = writerPool.Get().(*bufio.Writer)
	w.bw.Reset(w.ex.conn.nc)
	w.setFraming()
	_, _ = w.bw.WriteString("HTTP/1.1 " + statusLine(status) + "\r\n")
	w.err = w.header.Write(w.bw)
	_, _ = w.bw.WriteString("\r\n")
}

// setFraming chooses how the end of the body is marked, and whether the connection is
// closed after the response.
func (w *responseWriter) setFraming() {
	w.bodyAllowed = w.ex.req.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
	w.header.Del("Transfer-Encoding")
	if n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		w.length = n
	} else if w.bodyAllowed {
		w.header.Del("Content-Length")
		w.header.Set("Transfer-Encoding", "chunked")
	}
	http10 := !w.ex.req.ProtoAtLeast(1, 1)
	if http10 {
		w.header.Del("Transfer-Encoding")
	}
	wantClose := !w.ex.body.complete() || http10 && w.length < 0
	if w.ex.conn.announceClose(w.ex, wantClose || w.header.Get("Connection") == "close") {
		w.header.Set("Connection", "close")
	} else {
		w.header.Del("Connection")
		if http10 {
			w.header.Set("Connection", "keep-alive")
		}
	}
}

func (w *responseWriter) chunked() bool {
	return w.bodyAllowed && w.length < 0 && w.ex.req.ProtoAtLeast(1, 1)
}

// Write writes a part of the body.
func (w *responseWriter) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.err != nil {
		return 0, w.err
	}
	if !w.bodyAllowed || len(p) == 0 {
		return len(p), nil
	}
	w.written += int64(len(p))
	if w.length >= 0 && w.written > w.length {
		w.err = errResponseTooLong
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

// Flush sends the buffered bytes.
func (w *responseWriter) Flush() {
	if w.bw != nil && w.err == nil {
		w.err = w.bw.Flush()
	}
}

// SetReadDeadline sets the deadline for reading the request body.
func (w *responseWriter) SetReadDeadline(t time.Time) error {
	if w.ex.body.complete() {
		return nil
	}
	w.ex.conn.rd.setDeadline(t)
	return nil
}

// SetWriteDeadline sets the deadline of writes until the response is complete. It must not
// be called before WriteHeader, as an earlier response may still be written.
func (w *responseWriter) SetWriteDeadline(t time.Time) error {
	w.hasDeadline = true
	return w.ex.conn.nc.SetWriteDeadline(t)
}

// finish completes the response and reports whether it is complete.
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
	w.ex.lastWrite = time.Now() // taken before the caller can use the connection again
	if w.err == nil {
		w.err = w.bw.Flush()
	}
	if w.hasDeadline {
		_ = w.ex.conn.nc.SetWriteDeadline(time.Time{}) // an error shows in the next write
	}
	w.bw.Reset(nil)
	writerPool.Put(w.bw)
	w.bw = nil
	return w.err == nil && (!w.bodyAllowed || w.length < 0 || w.written == w.length)
}

// statusLine returns the status code followed by its reason phrase.
func statusLine(status int) string {
	var b bytes.Buffer
	b.WriteString(strconv.Itoa(status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(status))
	return b.String()
}
