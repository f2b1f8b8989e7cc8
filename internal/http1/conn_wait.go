package http1

import "time"

// freshWait is how long a draining server waits for the first request of a
// connection: callers send at once, so that it comes a round trip and the delay of
// a slow machine after the connection.
const freshWait = 500 * time.Millisecond

// startWaiting begins a wait for a request. A connection that is to be closed only
// looks whether one has come, but for one with a request in progress, whose caller
// may leave.
func (c *conn) startWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
	if c.server.draining.Load() && c.last == nil && c.served {
		c.closing = true
	}
	if c.closing && c.last == nil {
		c.rd.interrupt()
		return
	}
	c.rd.set(c.since.Add(c.idleTime()))
	if c.last == nil {
		c.server.idle.add(c, c.idleFrom)
	}
}

// idleTime is how long the connection may wait from its last use.
func (c *conn) idleTime() time.Duration {
	idle := c.server.cfg.Limits().IdleTimeout
	if c.server.draining.Load() && c.last == nil {
		return min(idle, freshWait)
	}
	return idle
}

// goOn decides after a wait whether the connection goes on; err is what ended the
// wait. It is the one place where a connection ends for want of a request:
//
//   - bytes that had come by then begin a request, whatever ended the wait, unless
//     the last answer said that none is read;
//   - a time that is over is compared with the limits of now and the last use, which
//     both may have changed during the wait;
//   - the write side is closed in the moment of a last look, so a process that
//     stands still before it closes nothing that came meanwhile.
//
// What comes after that look met the close on its way: its caller has not been told,
// and nobody can answer it. It stays unread, so that the caller may send it again,
// until the caller has closed its side or lingerTime is over.
func (c *conn) goOn(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	c.server.idle.remove(c)
	now := time.Now()
	switch {
	case c.told || c.aborted:
		c.noteEndLocked(EndAnnounced)
		return false
	case err == nil:
		c.closing, c.since = false, now
		return true
	case !isTimeout(err):
		c.noteEndLocked(EndCallerDisconnected)
		c.cancel()
		return false
	case c.last != nil:
		c.since = now // the idle time counts from the last answer
		return true
	case !c.closing && now.Before(c.since.Add(c.idleTime())):
		return true
	case !c.rd.closeIfQuiet():
		return true
	}
	c.retired = true
	c.noteEndLocked(c.decided())
	c.ended.DetectionDelay = c.rd.late(now)
	return false
}

// watchCaller cancels what is in progress on a connection of which no further request
// is read, if its caller leaves: the last requests ran to their end for nobody.
func (c *conn) watchCaller() {
	c.mu.Lock()
	over := c.last == nil || c.ctx.Err() != nil
	c.mu.Unlock()
	if over {
		return
	}
	c.rd.set(time.Time{})
	go func() {
		c.group.Wait()
		c.rd.interrupt()
	}()
	if c.rd.awaitHangup() {
		c.cancel()
	}
}

// wake closes an idle connection: one whose last answer is written, though the
// goroutine that wrote it may still have to give its place back.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && c.last == nil {
		c.closing = true
		c.rd.interrupt()
	}
}

// drain is wake for a server that drains: a connection without any request so far
// has freshWait for the first.
func (c *conn) drain() {
	c.mu.Lock()
	fresh := c.waiting && !c.served
	if fresh {
		c.since = time.Now()
		c.rd.set(c.since.Add(freshWait))
	}
	c.mu.Unlock()
	if !fresh {
		c.wake()
	}
}

// settle starts the idle time anew when the last request has been answered, and
// closes a connection that drains.
func (c *conn) settle(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last != x {
		return
	}
	c.last, c.since, c.idleFrom = nil, time.Now(), x.ended
	if c.closing || c.server.draining.Load() {
		c.closing = true
		if c.waiting { // one that reads a request goes on
			c.rd.interrupt()
		}
		return
	}
	if c.waiting {
		c.rd.set(c.since.Add(c.idleTime()))
		c.server.idle.add(c, c.idleFrom)
	}
}
