package http1

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// wake closes an idle connection: one whose last answer is written, though the
// goroutine that wrote it may still have to give its place back.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && c.last == nil {
		c.closing = true
		c.interrupt()
	}
}

// drain is wake for a server that drains: a connection without any request so far
// has freshWait for the first.
func (c *conn) drain() {
	c.mu.Lock()
	fresh := c.waiting && !c.served
	if fresh {
		c.wait(time.Now().Add(freshWait))
	}
	c.mu.Unlock()
	if !fresh {
		c.wake()
	}
}

// reopen goes on with a connection that was about to be closed if a request has
// come on it before its caller could know. It was taken for idle, closed and read
// to the end without an answer.
func (c *conn) reopen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.told || c.aborted {
		return false
	}
	// The deadline that woke the reader would also keep it from looking.
	_ = c.nc.SetReadDeadline(time.Now().Add(freshWait))
	if c.br.Buffered() == 0 && quiet(c.nc) {
		return false
	}
	c.closing = false
	return true
}

// settle starts the idle time anew when the last request has been answered, and
// closes a connection that drains.
func (c *conn) settle(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last != x {
		return
	}
	c.last = nil
	if c.closing || c.server.draining.Load() {
		c.closing = true
		if c.waiting { // one that reads a request goes on
			c.interrupt()
		}
		return
	}
	if c.waiting {
		c.wait(time.Now().Add(c.server.cfg.Limits().IdleTimeout))
		c.server.idle.add(c)
	}
}

// announceClose reports whether the answer to x is the last on the connection,
// and keeps further requests from being read if it is.
func (c *conn) announceClose(x *exchange, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last != x {
		return false
	}
	if wanted || !x.keep || c.closing || c.server.announced.Load() {
		c.closing, c.told = true, true
		return true
	}
	return false
}

// refuse answers a request that could not be read, behind the answers before
// it, and ends the connection.
func (c *conn) refuse(status int) {
	c.group.Wait()
	if c.isAborted() {
		return
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = io.WriteString(c.nc, "HTTP/1.1 "+statusLine(status)+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

func (c *conn) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// abort resets the connection, so that no answer looks whole that is not.
func (c *conn) abort() {
	c.mu.Lock()
	c.closing, c.aborted = true, true
	c.mu.Unlock()
	c.cancel()
	if t, ok := c.nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.nc.Close()
}

// end closes the connection: its write side first, then it reads what is still
// on the way, as closing with unread bytes would reset it.
func (c *conn) end() {
	if c.isAborted() || c.ctx.Err() != nil {
		_ = c.nc.Close()
		return
	}
	if t, ok := c.nc.(*net.TCPConn); ok && t.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
		c.ended.Crossed, _ = io.Copy(io.Discard, c.nc)
	}
	_ = c.nc.Close()
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
