package http1

import (
	"time"

	"golang.org/x/sys/unix"
)

// minLostProbes is the number of consecutive unanswered zero-window probes from which a
// peer counts as unresponsive. One may still be in flight.
const minLostProbes = 2

// peerUnresponsive reports whether sent bytes or window probes are unacknowledged and the
// peer has sent nothing for longer than limit. A peer that reads slowly answers each
// probe of its full window. known is false if the system does not report this.
func peerUnresponsive(fd uintptr, limit time.Duration) (unresponsive, known bool) {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false, false
	}
	return unresponsiveBy(info, limit), true
}

func unresponsiveBy(info *unix.TCPInfo, limit time.Duration) bool {
	unacked := info.Unacked > 0 || info.Probes >= minLostProbes
	sinceLastAck := time.Duration(info.Last_ack_recv) * time.Millisecond
	return unacked && sinceLastAck > limit
}
