package http1

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// tcpConn is what a Client uses of a connection.
type tcpConn interface {
	net.Conn
	syscall.Conn
	SetLinger(seconds int) error
}

// cleanEndConn is a connection whose reads return io.EOF only if the server has ended its
// side in the ordinary way. The end may be all that marks a response as complete, and a
// socket tells an error once: if a write gets that of a reset, reads find an end.
type cleanEndConn struct {
	tcpConn
	writing  sync.Mutex // held during a write
	writeErr error      // of the first write that failed; guarded by writing
}

// dialCleanEnd connects to a server.
func dialCleanEnd(ctx context.Context, dialer *net.Dialer, addr string) (*cleanEndConn, error) {
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &cleanEndConn{tcpConn: nc.(*net.TCPConn)}, nil
}

// Write implements io.Writer.
func (c *cleanEndConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.tcpConn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements io.Reader.
func (c *cleanEndConn) Read(p []byte) (int, error) {
	n, err := c.tcpConn.Read(p)
	if err == io.EOF {
		err = c.endOfInput()
	}
	return n, err
}

// endOfInput returns io.EOF, or the error of a write that shows that the end which a read
// has found was not a clean one. A write in progress may hold that error, so it is awaited;
// it is interrupted first, as the server answers nothing more.
func (c *cleanEndConn) endOfInput() error {
	_ = c.SetWriteDeadline(longPast)
	c.writing.Lock()
	defer c.writing.Unlock()
	if possibleAfterCleanEnd(c.writeErr) {
		return io.EOF
	}
	return errors.Wrap(c.writeErr, "connection broke off")
}

// possibleAfterCleanEnd reports whether a write may have this result although the server has
// ended its side in the ordinary way: success, a deadline of this process, or EPIPE, the
// error of a reset that follows such an end.
func possibleAfterCleanEnd(err error) bool {
	return err == nil || isTimeout(err) || errors.Is(err, syscall.EPIPE)
}
