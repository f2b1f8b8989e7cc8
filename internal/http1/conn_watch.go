package http1

import "time"

// watchInterval is how often the kernel is asked whether the caller has left while nobody
// reads its connection.
const watchInterval = 100 * time.Millisecond

// acquireHandlerSlot waits until a further request of the connection may run.
func (c *conn) acquireHandlerSlot() {
	select {
	case c.handlerSlots <- struct{}{}:
		return
	default:
	}
	c.watchUntil(func(tick <-chan time.Time) bool {
		select {
		case c.handlerSlots <- struct{}{}:
			return true
		case <-tick:
			return false
		}
	})
}

// awaitBody waits until the request's body has been read, or the request been answered.
func (c *conn) awaitBody(ex *exchange) {
	c.watchUntil(func(tick <-chan time.Time) bool {
		select {
		case <-ex.body.finished:
			return true
		case <-ex.done:
			return true
		case <-tick:
			return false
		}
	})
}

// watchUntil calls wait until it returns true, and cancels the requests in progress if the
// caller leaves meanwhile. Reads detect that otherwise, but the end of the connection may
// stand behind bytes that are not read until a request has got its turn.
func (c *conn) watchUntil(wait func(tick <-chan time.Time) bool) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for !wait(ticker.C) {
		if c.ctx.Err() == nil && c.rd.peerClosed() {
			c.recordEnd(EndCallerDisconnected)
			c.cancel()
		}
	}
}
