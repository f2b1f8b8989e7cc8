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
	br     *bufio.Reader
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
	aborted bool
	// deadline is what the reader waits until; zero for none, or if the wait was
	// ended before it.
	deadline time.Time
	ended    ConnEnd
}

func newConn(s *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{
		server: s,
		nc:     nc,
		br:     getReader(nc),
		ctx:    ctx,
		cancel: cancel,
		slots:  make(chan struct{}, s.cfg.Pipelined),
	}
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.report()
	defer c.cancel()
	for c.next() {
	}
	c.group.Wait()
	c.end()
}

// next reads one request and starts its handler. It returns false when the
// connection takes no more.
func (c *conn) next() bool {
	limits := c.server.cfg.Limits()
	if !c.awaitFirst(limits.IdleTimeout) {
		return false
	}
	c.mu.Lock()
	c.wait(time.Now().Add(limits.HeaderTimeout))
	c.mu.Unlock()
	req, status := c.read(limits)
	if status != 0 {
		c.noteRefusal(status)
		c.refuse(status)
		return false
	}
	if req == nil {
		c.noteEnd(EndCallerGone)
		c.cancel() // the caller has gone
		return false
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	return c.start(req)
}

// awaitFirst waits for the first byte of a request.
func (c *conn) awaitFirst(idle time.Duration) bool {
	for {
		if !c.setWaiting(idle) {
			if c.reopen() {
				continue
			}
			return false
		}
		b, err := c.peek()
		if !c.doneWaiting() && err != nil {
			if c.reopen() {
				continue
			}
			c.noteWait(err)
			return false
		}
		if err == nil {
			// An empty line before a request is passed over.
			if b[0] != '\r' && b[0] != '\n' {
				return true
			}
			_, _ = c.br.Discard(1)
			continue
		}
		if isTimeout(err) && c.busy() && !c.isClosing() {
			continue // the idle time counts from the last answer
		}
		c.noteWait(err)
		if !isTimeout(err) {
			c.cancel()
		}
		return false
	}
}

// peek waits for the next byte. While there is none, the connection holds no
// buffer, as most connections are idle most of the time.
func (c *conn) peek() ([]byte, error) {
	if c.br.Buffered() == 0 {
		putReader(c.br)
		c.br = nil
		err := awaitReadable(c.nc)
		c.br = getReader(c.nc)
		if err != nil {
			return nil, err
		}
	}
	return c.br.Peek(1)
}

// freshWait is how long a draining server waits for the first request of a
// connection: callers send at once, so that it comes a round trip and the delay of
// a slow machine after the connection.
const freshWait = 500 * time.Millisecond

// setWaiting marks the connection as idle unless it is to be closed.
func (c *conn) setWaiting(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	if c.server.draining.Load() && c.last == nil {
		if c.served && c.br.Buffered() == 0 && quiet(c.nc) {
			c.noteEndLocked(EndDrained)
			return false
		}
		idle = min(idle, freshWait)
	}
	c.waiting = true
	c.wait(time.Now().Add(idle))
	if c.last == nil {
		c.server.idle.add(c)
	}
	return true
}

// doneWaiting reports whether the connection may go on.
func (c *conn) doneWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	c.server.idle.remove(c)
	return !c.closing
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// busy reports whether a request is in progress.
func (c *conn) busy() bool { return len(c.slots) > 0 }

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
		c.ended.Unanswered++
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
