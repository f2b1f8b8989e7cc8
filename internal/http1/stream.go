package http1

import (
	"io"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// countingWriter counts the bytes written.
type countingWriter struct {
	w io.Writer
	n int
}

func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += n
	return n, err
}

// onlyWriter hides ReadFrom, as splice is not available everywhere.
type onlyWriter struct{ io.Writer }

// chunkSize is the size of the chunks in which a body of unknown length is sent, in
// bytes.
const chunkSize = 16 << 10

func writeChunks(w io.Writer, body io.Reader) error {
	buf := make([]byte, chunkSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			part := append([]byte(strconv.FormatInt(int64(n), 16)+"\r\n"), buf[:n]...)
			if _, werr := w.Write(append(part, '\r', '\n')); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			_, werr := io.WriteString(w, "0\r\n\r\n")
			return werr
		}
		if err != nil {
			return err
		}
	}
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// setUnackedTimeout is best effort: without it a dead peer is detected later.
func setUnackedTimeout(fd uintptr, d time.Duration) {
	_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
}

// openWithoutData reports whether an idle connection is open and has no unread bytes.
func openWithoutData(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}
