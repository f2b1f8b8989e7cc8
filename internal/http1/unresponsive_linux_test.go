package http1

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

func TestUnresponsivePeer(t *testing.T) {
	const limit = 2 * time.Second
	for _, tc := range []struct {
		name         string
		info         unix.TCPInfo
		unresponsive bool
	}{
		{"nothing sent", unix.TCPInfo{Last_ack_recv: 9000}, false},
		{"unacknowledged within the limit", unix.TCPInfo{Unacked: 3, Last_ack_recv: 1900}, false},
		{"peer lost power", unix.TCPInfo{Unacked: 3, Last_ack_recv: 2100}, true},
		{"full window, probes answered", unix.TCPInfo{Probes: 0, Last_ack_recv: 5000}, false},
		{"full window, one probe in flight", unix.TCPInfo{Probes: 1, Last_ack_recv: 5000}, false},
		{"peer lost power with a full window", unix.TCPInfo{Probes: 2, Last_ack_recv: 5000}, true},
	} {
		assert.Equal(t, unresponsiveBy(&tc.info, limit), tc.unresponsive, tc.name)
	}
}
