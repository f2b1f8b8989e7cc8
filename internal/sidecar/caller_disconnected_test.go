package sidecar

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// sendAndClose sends a request and closes the connection in one packet, so that the node
// finds both at once, as it does after a process pause.
func sendAndClose(t *testing.T, addr, request string) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	raw, err := nc.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1)
	}))
	assert.NilError(t, err)
	_, err = nc.Write([]byte(request))
	assert.NilError(t, err)
	assert.NilError(t, nc.Close())
}

// A request whose caller had disconnected before it was read reaches no upstream, neither
// that of the node that read it nor another one.
func TestRequestOfADisconnectedCallerIsNotForwarded(t *testing.T) {
	const requests = 200
	f := startFleet(t, 2, 0)
	var ids []string
	for i := range requests {
		id := fmt.Sprintf("left-%d", i)
		ids = append(ids, id)
		sendAndClose(t, f.callers(0), strings.Join([]string{
			"POST /write/x HTTP/1.1", "Host: shop.example", "Content-Length: 4",
			testDialect.RequestID + ": " + id, testDialect.Deadline + ": 1000", "", "body",
		}, "\r\n"))
	}
	time.Sleep(300 * time.Millisecond)
	ran := 0
	for _, id := range ids {
		ran += f.upstreams[0].runs(id) + f.upstreams[1].runs(id)
	}
	assert.Equal(t, ran, 0, "of %d requests", requests)
}
