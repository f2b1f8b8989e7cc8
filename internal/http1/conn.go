package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

// readBufferSize is the initial size of a connection's read buffer, in bytes; it grows up
// to Limits.HeaderBytes for a larger head.
const readBufferSize = 4 << 10

// conn is one connection of a caller. One goroutine reads requests and starts a handler
// for each; responses are written in the order of the requests.
type conn struct {
	server       *Server
	nc           net.Conn
	rd           *deadlineReader
	br           *bufio.Reader // reads from rd; nil while the connection is idle
	ctx          context.Context
	cancel       context.CancelFunc
	handlerSlots chan struct{} // bounds the requests in progress
	handlers     sync.WaitGroup
	smallBuffer  atomic.Bool // it has the receive buffer of a crowd

	mu              sync.Mutex
	lastExchange    *exchange // the newest request; nil once all are answered
	receivedRequest bool      // at least one request has been read
	closing         bool      // no further request will be read
	closeAnnounced  bool      // Connection: close was sent or received
	awaitingRequest bool      // waiting for the first byte of a request
	closedIdle      bool      // closed for lack of a request
	evicted         bool      // ended in favour of a new connection
	aborted         bool
	lastUsed        time.Time // time of the last request or response
	// idleSince is when the last byte of the last response was written, for the list of
	// idle connections.
	idleSince time.Time
	endInfo   ConnEnd
}

func newConn(s *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	rd := newDeadlineReader(nc)
	rd.tracksWaits = s.cfg.MaxConns > 0
	now := time.Now()
	c := &conn{
		server:       s,
		nc:           nc,
		rd:           rd,
		br:           getReader(rd),
		lastUsed:     now,
		idleSince:    now,
		cancel:       cancel,
		handlerSlots: make(chan struct{}, s.cfg.MaxPipelined),
	}
	c.ctx = context.WithValue(ctx, connKey{}, c)
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.reportEnd()
	defer c.cancel()
	for c.serveNext() {
	}
	c.cancelOnDisconnect()
	c.handlers.Wait()
	c.closeGracefully()
}

// serveNext reads one request and starts its handler. It returns false if no further
// request will be read.
func (c *conn) serveNext() bool {
	if !c.awaitRequest() {
		return false
	}
	limits := c.server.cfg.Limits()
	c.rd.setDeadline(time.Now().Add(limits.HeaderTimeout))
	req, status := c.readRequest(limits)
	if status != 0 {
		c.recordHeadRejection(status)
		c.rejectHead(status)
		return false
	}
	if req == nil {
		c.recordEnd(EndCallerDisconnected)
		c.cancel() // the caller has disconnected
		return false
	}
	c.rd.setDeadline(time.Time{})
	return c.startHandler(req)
}

// awaitRequest waits for the first byte of a request and reports whether one arrived.
func (c *conn) awaitRequest() bool {
	for {
		c.startAwaitingRequest()
		b, err := c.peek()
		if !c.continueAfterWait(err) {
			return false
		}
		if err != nil {
			continue
		}
		// Empty lines before a request are skipped (RFC 9112 section 2.2).
		if b[0] != '\r' && b[0] != '\n' {
			return true
		}
		_, _ = c.br.Discard(1)
	}
}

// peek waits for the next byte. Meanwhile the connection holds no buffer, as most
// connections are idle most of the time.
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

// startHandler starts the handler of a request and waits until the body has been read, as
// the next request follows it. It returns whether the caller keeps the connection open.
func (c *conn) startHandler(req *http.Request) bool {
	ctx, cancel := context.WithCancel(c.ctx)
	ex := &exchange{conn: c, cancel: cancel, done: make(chan struct{}), keepAlive: !req.Close}
	ex.body = newServerBody(ex, req)
	req.Body = ex.body
	req = req.WithContext(ctx)
	req.RemoteAddr = c.nc.RemoteAddr().String()
	ex.req = req
	if !c.enqueue(ex) {
		cancel()
		return false
	}
	c.acquireHandlerSlot()
	c.handlers.Go(func() { c.runHandler(ex) })
	if !ex.body.empty {
		c.restoreBuffer()
		c.awaitBody(ex)
	}
	return ex.keepAlive && c.ctx.Err() == nil
}

// enqueue appends an exchange to the response order. It returns false if no further
// request is accepted.
func (c *conn) enqueue(ex *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && c.closeAnnounced || c.aborted {
		c.endInfo.Unread = true // the request follows the last response and stays unanswered
		return false
	}
	if c.lastExchange != nil {
		ex.previous = c.lastExchange.done
	}
	c.lastExchange, c.receivedRequest = ex, true
	if !ex.keepAlive {
		c.closing, c.closeAnnounced = true, true
	}
	return true
}

// runHandler calls the handler and completes its response.
func (c *conn) runHandler(ex *exchange) {
	defer func() {
		<-c.handlerSlots
		close(ex.done)
		ex.cancel()
	}()
	w := newResponseWriter(ex)
	if !c.callHandler(w, ex) || !w.finish() {
		c.recordAbortedResponse(w.err)
		c.abort()
	}
	ex.body.stopReading()
	c.finishExchange(ex)
}

// callHandler calls the handler. It returns false if the handler panicked, so that the
// response must not appear complete.
func (c *conn) callHandler(w *responseWriter, ex *exchange) (complete bool) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		complete = false
		if p != http.ErrAbortHandler {
			debug.PrintStack()
		}
	}()
	c.server.cfg.Handler.ServeHTTP(w, ex.req)
	return true
}
