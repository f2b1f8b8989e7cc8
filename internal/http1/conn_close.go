package http1

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// announceClose reports whether the response to ex is the last on the connection; if so,
// no further request is read.
func (c *conn) announceClose(ex *exchange, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastExchange != ex {
		return false
	}
	if wanted || !ex.keepAlive || c.closing || c.server.announcing.Load() {
		c.closing, c.closeAnnounced = true, true
		return true
	}
	return false
}

// rejectHead answers a request whose head could not be read, after the responses before
// it, and ends the connection.
func (c *conn) rejectHead(status int) {
	c.handlers.Wait()
	if c.isAborted() {
		return
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.WriteString(c.nc, "HTTP/1.1 "+statusLine(status)+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

func (c *conn) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// abort resets the connection, so that an incomplete response does not appear complete.
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

// closeGracefully closes the write side and then drains the read side, as closing a
// socket with unread bytes would reset it. A connection that was closed for lack of a
// request is drained only once its caller has closed its side.
func (c *conn) closeGracefully() {
	if c.isAborted() || c.ctx.Err() != nil {
		_ = c.nc.Close()
		return
	}
	c.rd.setDeadline(time.Now().Add(c.linger()))
	t, ok := c.nc.(interface{ CloseWrite() error })
	switch {
	case c.closedIdle:
		c.rd.awaitPeerClose()
		c.rd.interrupt()
		c.endInfo.BytesAfterClose, _ = io.Copy(io.Discard, c.rd)
	case ok && t.CloseWrite() == nil:
		c.endInfo.BytesAfterClose, _ = io.Copy(io.Discard, c.rd)
	}
	_ = c.nc.Close()
}

// linger returns how long the connection is still read after its write side was closed.
func (c *conn) linger() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return evictedLinger
	}
	return lingerTimeout
}

// isTimeout reports whether an error is a deadline set by this process. A TCP timeout of
// the kernel, which means that the peer is dead, is not: no data follows it.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
