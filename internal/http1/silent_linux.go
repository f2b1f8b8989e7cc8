package http1

import (
	"time"

	"golang.org/x/sys/unix"
)

// lostProbes is the number of probes of a full window in a row without an answer
// from which a peer counts as silent: one may be on its way.
const lostProbes = 2

// peerSilent reports whether bytes or probes sent to a peer are not acknowledged and
// nothing of it has come for a time. A peer that reads late answers each probe of its
// full window. known is false if the system does not tell.
func peerSilent(fd uintptr, limit time.Duration) (silent, known bool) {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false, false
	}
	return silentBy(info, limit), true
}

func silentBy(info *unix.TCPInfo, limit time.Duration) bool {
	waits := info.Unacked > 0 || info.Probes >= lostProbes
	heard := time.Duration(info.Last_ack_recv) * time.Millisecond
	return waits && heard > limit
}
