package http1

import "time"

// firstRequestTimeout is how long a draining server waits for the first request of a
// connection. Callers send at once, so it arrives within a round trip and the delay of a
// slow machine.
const firstRequestTimeout = 500 * time.Millisecond

// startAwaitingRequest begins the wait for a request. A connection that is to be closed
// only checks whether one has arrived, unless a request is in progress: then it keeps
// waiting to detect that the caller disconnects.
func (c *conn) startAwaitingRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest = true
	if c.server.draining.Load() && c.lastExchange == nil && c.receivedRequest {
		c.closing = true
	}
	if c.closing && c.lastExchange == nil {
		c.rd.interrupt()
		return
	}
	c.rd.setDeadline(c.lastUsed.Add(c.idleTimeout()))
	if c.lastExchange == nil {
		c.server.idle.add(c, c.idleSince)
	}
}

// idleTimeout returns how long the connection may wait after its last use.
func (c *conn) idleTimeout() time.Duration {
	idle := c.server.cfg.Limits().IdleTimeout
	if c.server.draining.Load() && c.lastExchange == nil {
		return min(idle, firstRequestTimeout)
	}
	return idle
}

// continueAfterWait decides after a wait whether the connection stays open; err is what
// ended the wait. It is the only place where a connection is closed for lack of a
// request:
//
//   - bytes that have arrived begin a request, whatever ended the wait, unless the last
//     response announced the close;
//   - an expired timeout is checked again against the current limits and the last use, as
//     both may have changed during the wait;
//   - the write side is closed together with a final check for unread bytes, so that a
//     process pause before it closes no connection on which a request has arrived.
//
// Bytes that arrive after that check race with the close: it was not announced to the
// caller, and their request can't be answered any more. They stay unread until the caller
// has closed its side or lingerTimeout has passed, so that the caller can safely send the
// request again.
func (c *conn) continueAfterWait(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest = false
	c.server.idle.remove(c)
	now := time.Now()
	switch {
	case c.closeAnnounced || c.aborted:
		c.recordEndLocked(EndAnnounced)
		return false
	case err == nil:
		c.closing, c.lastUsed = false, now
		return true
	case !isTimeout(err):
		c.recordEndLocked(EndCallerDisconnected)
		c.cancel()
		return false
	case c.lastExchange != nil:
		c.lastUsed = now // idle time counts from the last response
		return true
	case !c.closing && now.Before(c.lastUsed.Add(c.idleTimeout())):
		return true
	case !c.rd.closeWriteIfNoData():
		return true
	}
	c.closedIdle = true
	c.recordEndLocked(c.closeCause())
	c.endInfo.DetectionDelay = c.rd.overdue(now)
	return false
}

// cancelOnDisconnect cancels the requests in progress on a connection from which no
// further request is read, if its caller disconnects. Without it the last requests would
// run to completion for nobody.
func (c *conn) cancelOnDisconnect() {
	c.mu.Lock()
	done := c.lastExchange == nil || c.ctx.Err() != nil
	c.mu.Unlock()
	if done {
		return
	}
	c.rd.setDeadline(time.Time{})
	go func() {
		c.handlers.Wait()
		c.rd.interrupt()
	}()
	if c.rd.awaitPeerClose() {
		c.cancel()
	}
}

// closeIdle closes the connection if it is idle: all responses are written, though the
// handler goroutine of the last one may not have returned yet.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingRequest && c.lastExchange == nil {
		c.closing = true
		c.rd.interrupt()
	}
}

// drain is closeIdle for a draining server: a connection that has not received any
// request has firstRequestTimeout for the first one.
func (c *conn) drain() {
	c.mu.Lock()
	noRequestYet := c.awaitingRequest && !c.receivedRequest
	if noRequestYet {
		c.lastUsed = time.Now()
		c.rd.setDeadline(c.lastUsed.Add(firstRequestTimeout))
	}
	c.mu.Unlock()
	if !noRequestYet {
		c.closeIdle()
	}
}

// finishExchange restarts the idle time when the last request has been answered, and
// closes the connection if it is draining.
func (c *conn) finishExchange(ex *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastExchange != ex {
		return
	}
	c.lastExchange, c.lastUsed, c.idleSince = nil, time.Now(), ex.lastWrite
	if c.closing || c.server.draining.Load() {
		c.closing = true
		if c.awaitingRequest { // a request being read continues
			c.rd.interrupt()
		}
		return
	}
	if c.awaitingRequest {
		c.rd.setDeadline(c.lastUsed.Add(c.idleTimeout()))
		c.server.idle.add(c, c.idleSince)
	}
}
