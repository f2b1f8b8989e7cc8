package http1

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

func TestSilentPeer(t *testing.T) {
	const limit = 2 * time.Second
	for _, tc := range []struct {
		name   string
		info   unix.TCPInfo
		silent bool
	}{
		{"nothing sent", unix.TCPInfo{Last_ack_recv: 9000}, false},
		{"sent a short while ago", unix.TCPInfo{Unacked: 3, Last_ack_recv: 1900}, false},
		{"without power", unix.TCPInfo{Unacked: 3, Last_ack_recv: 2100}, true},
		{"full window, probes answered", unix.TCPInfo{Probes: 0, Last_ack_recv: 5000}, false},
		{"full window, a probe on its way", unix.TCPInfo{Probes: 1, Last_ack_recv: 5000}, false},
		{"without power behind a full window", unix.TCPInfo{Probes: 2, Last_ack_recv: 5000}, true},
	} {
		assert.Equal(t, silentBy(&tc.info, limit), tc.silent, tc.name)
	}
}
