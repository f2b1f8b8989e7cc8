package http1

import (
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// errBodyClosed reports a read after the answer has ended.
var errBodyClosed = errors.New("request body is closed")

// serverBody is the body of a request that is being served. Reading its first
// bytes tells a caller that waits for it to send them.
type serverBody struct {
	x        *exchange
	inner    io.ReadCloser
	empty    bool
	expects  bool          // the caller waits for 100 Continue
	finished chan struct{} // closed when the body was read to its end

	mu     sync.Mutex
	closed bool
	ended  bool
}

func newServerBody(x *exchange, req *http.Request) *serverBody {
	b := &serverBody{x: x, inner: req.Body, finished: make(chan struct{})}
	b.empty = req.Body == nil || req.Body == http.NoBody || req.ContentLength == 0
	b.ended = b.empty
	b.expects = !b.empty && equalFold([]byte(req.Header.Get("Expect")), "100-continue")
	req.Header.Del("Expect")
	return b
}

func (b *serverBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.ended:
		return 0, io.EOF
	case b.closed:
		return 0, errBodyClosed
	}
	if b.expects {
		b.expects = false
		if err := b.x.sendContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.inner.Read(p)
	if err == io.EOF {
		b.ended = true
		close(b.finished)
	}
	return n, err
}

// Close leaves the rest unread; release ends the body.
func (b *serverBody) Close() error { return nil }

// whole reports whether the body was read to its end.
func (b *serverBody) whole() bool {
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

// release makes sure that nobody reads the body any more.
func (b *serverBody) release() {
	if b.whole() {
		return
	}
	b.x.c.rd.interrupt()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}
