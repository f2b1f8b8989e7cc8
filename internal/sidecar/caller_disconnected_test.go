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

// maxLateness is how long after its caller has left a request may still reach an upstream.
const maxLateness = 500 * time.Millisecond

// Requests that wait while all slots are taken reach no upstream once their callers have
// left, also where nobody reads the connections of the callers meanwhile.
func TestWaitingRequestsOfCallersThatLeftAreNotSent(t *testing.T) {
	const (
		requests = 10
		busy     = 56 // twice what both upstreams run at once
	)
	head := func(method, id, more string) string {
		return method + " /read/x HTTP/1.1\r\nHost: shop.example\r\n" + testDialect.RequestID + ": " + id + "\r\n" + testDialect.Deadline + ": 5000\r\n" + more + "\r\n"
	}
	for name, build := range map[string]func(id string) string{
		"read":           func(id string) string { return head("GET", id, "") },
		"short body":     func(id string) string { return head("POST", id, "Content-Length: 4\r\n") + "body" },
		"part of chunks": func(id string) string { return head("POST", id, "Transfer-Encoding: chunked\r\n") + chunks(10) },
		"part of a body": func(id string) string { return head("POST", id, "Content-Length: 4000000\r\n") + chunks(10) },
		"pipeline": func(id string) string {
			var b strings.Builder
			for i := range 12 {
				b.WriteString(head("GET", fmt.Sprintf("%s-%d", id, i), ""))
			}
			return b.String()
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 2, 1200*time.Millisecond)
			f.publishTimeouts(20*time.Second, 10*time.Second)
			results := f.sendReads(0, busy)
			time.Sleep(100 * time.Millisecond)
			var ids []string
			var conns []net.Conn
			for i := range requests {
				id := fmt.Sprintf("left-%d", i)
				nc, err := net.Dial("tcp", f.callers(0))
				assert.NilError(t, err)
				_, err = nc.Write([]byte(build(id)))
				assert.NilError(t, err)
				conns = append(conns, nc)
				ids = append(ids, id)
				for j := range 12 {
					ids = append(ids, fmt.Sprintf("%s-%d", id, j))
				}
			}
			time.Sleep(150 * time.Millisecond)
			for _, nc := range conns {
				assert.NilError(t, nc.Close())
			}
			latest := time.Now().Add(maxLateness)
			for range busy {
				<-results
			}
			time.Sleep(maxLateness)
			late := 0
			for _, id := range ids {
				for _, u := range f.upstreams {
					if u.arrivedAfter(id, latest) {
						late++
					}
				}
			}
			assert.Equal(t, late, 0, "of %d callers", requests)
		})
	}
}

// chunks returns n chunks of 10 KB of a body that goes on.
func chunks(n int) string {
	const size = 10 << 10
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("b", size)), n)
}
