package http1

import (
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// errBodyClosed is returned by reads of a request body after its response has ended.
var errBodyClosed = errors.New("request body is closed")

// serverBody is the body of a request being served. The first read sends 100 Continue to
// a caller that expects it.
type serverBody struct {
	ex              *exchange
	source          io.ReadCloser
	empty           bool
	expectsContinue bool          // the caller waits for 100 Continue
	finished        chan struct{} // closed once the body has been read to its end

	mu     sync.Mutex
	closed bool
	atEOF  bool
}

func newServerBody(ex *exchange, req *http.Request) *serverBody {
	b := &serverBody{ex: ex, source: req.Body, finished: make(chan struct{})}
	b.empty = req.Body == nil || req.Body == http.NoBody || req.ContentLength == 0
	b.atEOF = b.empty
	b.expectsContinue = !b.empty && equalFold([]byte(req.Header.Get("Expect")), "100-continue")
	req.Header.Del("Expect")
	return b
}

func (b *serverBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.atEOF:
		return 0, io.EOF
	case b.closed:
		return 0, errBodyClosed
	}
	if b.expectsContinue {
		b.expectsContinue = false
		if err := b.ex.sendContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.source.Read(p)
	if err == io.EOF {
		b.atEOF = true
		close(b.finished)
	}
	return n, err
}

// Close does nothing: the rest stays unread until stopReading.
func (b *serverBody) Close() error { return nil }

// complete reports whether the body has been read to its end.
func (b *serverBody) complete() bool {
	if b.empty {
		return true
	}
	select {
	case <-b.finished:
		return true
	default:
		return false
	}
}

// stopReading interrupts a read in progress and makes later ones fail.
func (b *serverBody) stopReading() {
	if b.complete() {
		return
	}
	b.ex.conn.rd.interrupt()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}
