package sidecar

import (
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/discovery"
	"github.com/walldrift/walldrift/internal/http1"
)

// countHolding counts the sidecars that have an edition, or a later one, in force.
func (f *fleet) countHolding(edition uint64) int {
	n := 0
	for _, s := range f.sidecars {
		if s.holder.ID().Edition >= edition {
			n++
		}
	}
	return n
}

func (f *fleet) publish(edition uint64) {
	f.store.change(func(u *discovery.Update) { u.Document = document(edition) })
}

// One sidecar reads the store, and the others get table and upstreams from it as peer
// updates. When it stops, another one becomes reader.
func TestPeerUpdatesBetweenSidecars(t *testing.T) {
	f := startFleet(t, 5, 0)
	for f.store.watches() != 1 {
		time.Sleep(time.Millisecond) // until roles are settled
	}
	f.publish(2)
	for f.countHolding(2) < len(f.sidecars) {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, f.store.watches() <= 1)
	reader := -1
	for i, s := range f.sidecars {
		if s.follower.Status(time.Now()).Reader {
			assert.Equal(t, reader, -1, "one reader")
			reader = i
		}
	}
	assert.Assert(t, reader >= 0)
	f.stops[reader]()
	assert.NilError(t, <-f.done[reader])
	f.publish(3)
	for f.countHolding(3) < len(f.sidecars)-1 {
		time.Sleep(time.Millisecond)
	}
	for i := range f.sidecars {
		if i != reader {
			status, _, body := f.send(f.request(i, "GET", "/read/x", ""))
			assert.Equal(t, status, http.StatusOK, body)
		}
	}
}

// A peer request succeeds although the first packet to the update source is lost, as on a
// saturated link. A forwarded request goes elsewhere after 0.3 s.
func TestPeerUpdateSurvivesALostPacket(t *testing.T) {
	addr := listenWithFullQueue(t)
	ask := func(c *http1.Client) error {
		defer c.Close()
		_, err := discovery.PeerClient{Transport: c}.Ask(t.Context(), addr, discovery.PeerRequest{})
		return err
	}
	requests := http1.DefaultClientConfig()
	requests.DialTimeout = dialTimeout
	assert.ErrorContains(t, ask(http1.NewClient(requests)), "timeout")
	assert.ErrorContains(t, ask(http1.NewClient(peerUpdateClientConfig())), "EOF", "connected, and closed by the other side")
}

// readAndClose closes a connection after reading its first bytes, as a close with unread
// bytes would reset it.
func readAndClose(conn int) {
	_, _ = syscall.Read(conn, make([]byte, 4<<10))
	_ = syscall.Close(conn)
}

// listenWithFullQueue returns an address that drops the first packet of new connections,
// as its accept queue is full, until half a second has passed.
func listenWithFullQueue(t *testing.T) netip.AddrPort {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(bound.(*syscall.SockaddrInet4).Port))
	first, err := net.Dial("tcp", addr.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = first.Close() })
	time.AfterFunc(500*time.Millisecond, func() {
		for range 2 {
			if conn, _, err := syscall.Accept(fd); err == nil {
				go readAndClose(conn)
			}
		}
	})
	return addr
}
