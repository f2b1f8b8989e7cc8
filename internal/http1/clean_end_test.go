package http1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// partHead is the head of a response that ends with its connection, and part its body so
// far.
const (
	partHead = "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n\r\n"
	part     = "part"
)

// gatedBody is a request body whose blocks are sent when the test asks for them.
type gatedBody chan []byte

func (g gatedBody) Read(p []byte) (int, error) {
	block, ok := <-g
	if !ok {
		return 0, io.EOF
	}
	return copy(p, block), nil
}

// bodyEnd is how a server ends the body that ends with its connection.
type bodyEnd func(nc *net.TCPConn)

func reset(nc *net.TCPConn) { _ = nc.SetLinger(0); _ = nc.Close() }

func closeConn(nc *net.TCPConn) { _ = nc.Close() }

// readPartAmidBody sends a request with a long body and reads the start of its response.
// Then the server ends the response by end, and writes of the request's body are made until
// one fails, before the rest of the response is read. It returns the error of that read. With
// unread, the server has not read all of the body when it ends the response.
func readPartAmidBody(t *testing.T, end bodyEnd, unread bool) error {
	t.Helper()
	read, ended := make(chan struct{}), make(chan struct{})
	addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
		defer close(ended)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(nc, partHead+part)
		<-read
		if unread {
			awaitUnread(nc)
		} else {
			_, _ = io.CopyN(io.Discard, br, int64(len("1\r\nb\r\n")))
		}
		end(nc.(*net.TCPConn))
	})
	body := make(gatedBody)
	resp, err := newTestClient().RoundTrip(newRequest(t, addr, "POST", "a", body))
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body <- []byte("b")
	got := make([]byte, len(part))
	_, err = io.ReadFull(resp.Body, got)
	assert.NilError(t, err)
	close(read)
	<-ended
	ex := resp.Body.(*responseBody).ex
	for failed := false; !failed; {
		select {
		case body <- []byte("more"):
		case err := <-ex.bodyResult:
			ex.bodyResult <- err
			failed = true
			assert.Assert(t, err != nil)
		}
	}
	_, err = resp.Body.Read(got)
	return err
}

// awaitUnread waits until the kernel holds bytes of a connection that are not read yet.
func awaitUnread(nc net.Conn) {
	for r := newDeadlineReader(nc); r.pending() == 0; {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a part of a response told as a whole one: the write of the body takes the
// error of the reset from the socket, so that the read finds an ordinary end.
func TestResponseResetAmidBodyIsNotWhole(t *testing.T) {
	for range 20 {
		err := readPartAmidBody(t, reset, false)
		assert.Assert(t, err != nil && err != io.EOF, "%v", err)
	}
}

// As an ordinary close with unread bytes resets the connection, and no end precedes that,
// the response may lack its rest.
func TestResponseClosedBeforeUnreadBodyIsNotWhole(t *testing.T) {
	for range 20 {
		err := readPartAmidBody(t, closeConn, true)
		assert.Assert(t, err != nil && err != io.EOF, "%v", err)
	}
}

// Guards against the refusal of a whole response whose connection is reset after its end,
// as the server gets more of the body than it reads.
func TestResponseEndedBeforeTheResetIsWhole(t *testing.T) {
	for range 20 {
		assert.Equal(t, readPartAmidBody(t, closeConn, false), io.EOF)
	}
}

// awaitStuckSender waits until no more unread bytes of a connection arrive.
func awaitStuckSender(nc net.Conn) {
	r := newDeadlineReader(nc)
	for before := 0; before == 0 || r.pending() > before; {
		before = r.pending()
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a response that is not told as whole until the body of its request is
// sent: the server ends its side, and reads no more.
func TestResponseEndsWhileTheBodyIsStuck(t *testing.T) {
	addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(nc, partHead+part)
		awaitStuckSender(nc)
		_ = nc.(*net.TCPConn).CloseWrite()
		<-t.Context().Done()
	})
	const stuck = 64 << 20 // more than sockets buffer
	body, err := roundTrip(newTestClient(), newRequest(t, addr, "POST", "a", io.NopCloser(bytes.NewReader(make([]byte, stuck)))))
	assert.NilError(t, err)
	assert.Equal(t, body, part)
}

// Guards against an end found by a read after the deadline, where an earlier one has taken
// the error of a reset from the socket.
func TestResetFoundAfterTheDeadlineIsNoEnd(t *testing.T) {
	sent := make(chan struct{})
	addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			reset(nc.(*net.TCPConn))
			close(sent)
		}
	})
	nc, err := dialCleanEnd(context.Background(), &net.Dialer{}, addr)
	assert.NilError(t, err)
	defer func() { _ = nc.Close() }()
	_, err = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	<-sent
	r := newDeadlineReader(nc)
	r.setDeadline(time.Now().Add(-time.Second))
	for range 3 {
		_, err := r.Read(make([]byte, 1))
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
	}
}
