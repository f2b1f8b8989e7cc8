package http1

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

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
// on the way, as closing with unread bytes would reset it. One that ended for want
// of a request reads it only when its caller has closed.
func (c *conn) end() {
	if c.isAborted() || c.ctx.Err() != nil {
		_ = c.nc.Close()
		return
	}
	c.rd.set(time.Now().Add(lingerTime))
	t, ok := c.nc.(interface{ CloseWrite() error })
	switch {
	case c.retired:
		c.rd.awaitHangup()
		c.rd.interrupt()
		c.ended.BytesAfterClose, _ = io.Copy(io.Discard, c.rd)
	case ok && t.CloseWrite() == nil:
		c.ended.BytesAfterClose, _ = io.Copy(io.Discard, c.rd)
	}
	_ = c.nc.Close()
}

// isTimeout reports whether a deadline of this process passed. The system's own
// time-out, by which it gives a dead peer up, is none: nothing comes after that.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
