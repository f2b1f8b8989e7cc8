package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"
)

// readBuffer is the first size of a connection's read buffer; a larger head
// makes it grow up to Limits.HeaderBytes.
const readBuffer = 4 << 10

// conn is one connection of a caller. One goroutine reads requests and starts a
// handler for each; the answers are written in the order of the requests.
type conn struct {
	server *Server
	nc     net.Conn
	rd     *deadlineReader
	br     *bufio.Reader // of rd
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{} // requests in progress
	group  sync.WaitGroup

	mu      sync.Mutex
	last    *exchange // the newest request read
	served  bool      // a request was read
	closing bool      // no further request is read
	told    bool      // the caller knows that none is
	waiting bool      // the reader waits for the first byte of a request
	retired bool      // it is closed for want of a request
	aborted bool
	since   time.Time // when it was used last
	// idleFrom is when the last part of the last answer went out, for the list of
	// idle connections.
	idleFrom time.Time
	ended    ConnEnd
}

func newConn(s *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	rd := newDeadlineReader(nc)
	now := time.Now()
	c := &conn{
		server:   s,
		nc:       nc,
		rd:       rd,
		br:       getReader(rd),
		since:    now,
		idleFrom: now,
		cancel:   cancel,
		slots:    make(chan struct{}, s.cfg.MaxPipelined),
	}
	c.ctx = context.WithValue(ctx, connKey{}, c)
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.report()
	defer c.cancel()
	for c.next() {
	}
	c.watchCaller()
	c.group.Wait()
	c.end()
}

// next reads one request and starts its handler. It returns false when the
// connection takes no more.
func (c *conn) next() bool {
	if !c.awaitFirst() {
		return false
	}
	limits := c.server.cfg.Limits()
	c.rd.set(time.Now().Add(limits.HeaderTimeout))
	req, status := c.read(limits)
	if status != 0 {
		c.noteRefusal(status)
		c.refuse(status)
		return false
	}
	if req == nil {
		c.noteEnd(EndCallerDisconnected)
		c.cancel() // the caller has gone
		return false
	}
	c.rd.set(time.Time{})
	return c.start(req)
}

// awaitFirst waits for the first byte of a request.
func (c *conn) awaitFirst() bool {
	for {
		c.startWaiting()
		b, err := c.peek()
		if !c.goOn(err) {
			return false
		}
		if err != nil {
			continue
		}
		// An empty line before a request is passed over.
		if b[0] != '\r' && b[0] != '\n' {
			return true
		}
		_, _ = c.br.Discard(1)
	}
}

// peek waits for the next byte. While there is none, the connection holds no
// buffer, as most connections are idle most of the time.
func (c *conn) peek() ([]byte, error) {
	if c.br.Buffered() == 0 {
		putReader(c.br)
		c.br = nil
		err := c.rd.awaitReadable()
		c.br = getReader(c.rd)
		if err != nil {
			return nil, err
		}
	}
	return c.br.Peek(1)
}

// start runs the handler of a request, and waits until its body is read, as the
// next request follows it.
func (c *conn) start(req *http.Request) bool {
	ctx, cancel := context.WithCancel(c.ctx)
	x := &exchange{c: c, cancel: cancel, done: make(chan struct{}), keep: !req.Close}
	x.body = newServerBody(x, req)
	req.Body = x.body
	req = req.WithContext(ctx)
	req.RemoteAddr = c.nc.RemoteAddr().String()
	x.req = req
	if !c.push(x) {
		cancel()
		return false
	}
	c.slots <- struct{}{}
	c.group.Go(func() { c.run(x) })
	if !x.body.empty {
		select {
		case <-x.body.finished:
		case <-x.done:
		}
	}
	return x.keep
}

// push appends x to the order of answers.
func (c *conn) push(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && c.told || c.aborted {
		c.ended.Unread = true // requests behind the last answer count as such
		return false
	}
	if c.last != nil {
		x.prev = c.last.done
	}
	c.last, c.served = x, true
	if !x.keep {
		c.closing, c.told = true, true
	}
	return true
}

// run calls the handler and ends its answer.
func (c *conn) run(x *exchange) {
	defer func() {
		<-c.slots
		close(x.done)
		x.cancel()
	}()
	w := newResponseWriter(x)
	if !c.call(w, x) || !w.finish() {
		c.noteCut(w.err)
		c.abort()
	}
	x.body.release()
	c.settle(x)
}

// call runs the handler; false means that the answer must not look whole.
func (c *conn) call(w *responseWriter, x *exchange) (whole bool) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		whole = false
		if p != http.ErrAbortHandler {
			debug.PrintStack()
		}
	}()
	c.server.cfg.Handler.ServeHTTP(w, x.req)
	return true
}
