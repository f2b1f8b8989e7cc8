package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/routing"
)

// headerPeerLoads carries the loads of further upstreams of the service with a response
// between nodes. Entries are separated by commas, and the figures of an entry by slashes:
// upstream, process generation (base 36), age in milliseconds, slots in use, slots, waiting
// requests, service time in microseconds at usual speed, slowdown in percent and its age in
// milliseconds. Further figures are ignored.
const headerPeerLoads = "Walldrift-Peer-Loads"

const (
	// maxPeerLoadsLength bounds headerPeerLoads, in bytes.
	maxPeerLoadsLength = 256
	// peerLoadFigures is the number of figures of an entry.
	peerLoadFigures = 9
	// maxPeerLoadCount bounds the requests and slots in an entry, far above those of any
	// upstream.
	maxPeerLoadCount = 1 << 16
	// maxPeerServiceTime bounds the service time in an entry.
	maxPeerServiceTime = maxCallerWait
)

// PeerLoads returns the value of headerPeerLoads for a response of the named upstream of a
// service; empty if nothing is known that other nodes can use.
func (f *Frontend) PeerLoads(service, upstream string) string {
	now := clock.Now()
	var buffer [routing.MaxPeerLoads]routing.PeerLoad
	f.mu.Lock()
	loads := f.router.PeerLoads(now, f.rnd, buffer[:0], service, upstream)
	f.mu.Unlock()
	return formatPeerLoads(now, loads)
}

// acceptPeerLoads takes the peer load reports of a response into account. inTransit is how
// long it may have been on its way.
func (f *Frontend) acceptPeerLoads(service string, inTransit time.Duration, h http.Header) {
	text := h.Get(headerPeerLoads)
	if text == "" {
		return
	}
	now := clock.Now()
	loads, malformed := parsePeerLoads(now, text)
	f.mu.Lock()
	accepted := f.router.AcceptPeerLoads(now, service, inTransit, loads, f.members)
	f.mu.Unlock()
	f.metrics.peerLoadsReceived(accepted, len(loads)-accepted, malformed)
}

// setPeerLoads adds the peer load reports to a response to another node.
func (b *Backend) setPeerLoads(h http.Header, env Envelope) {
	if b.cfg.PeerLoads != nil {
		setIf(h, headerPeerLoads, b.cfg.PeerLoads(env.Service, env.Target))
	}
}

// formatPeerLoads writes the entries that fit into maxPeerLoadsLength.
func formatPeerLoads(now time.Time, loads []routing.PeerLoad) string {
	text := make([]byte, 0, maxPeerLoadsLength)
	for i := range loads {
		before := len(text)
		if before > 0 {
			text = append(text, ',')
		}
		text = appendPeerLoad(text, now, &loads[i])
		if len(text) > maxPeerLoadsLength || strings.ContainsAny(loads[i].Upstream, "/,") {
			text = text[:before]
		}
	}
	return string(text)
}

func appendPeerLoad(to []byte, now time.Time, l *routing.PeerLoad) []byte {
	to = append(append(to, l.Upstream...), '/')
	to = strconv.AppendUint(to, l.Generation, 36)
	for _, n := range [...]int64{l.Age.Milliseconds(), int64(l.InUse), int64(l.Slots), int64(l.Waiting), l.Service.Microseconds()} {
		to = strconv.AppendInt(append(to, '/'), n, 10)
	}
	return appendSlowdown(append(to, '/'), now, l.Slowdown, '/')
}

// parsePeerLoads reads at most routing.MaxPeerLoads entries of headerPeerLoads and returns
// how many others it skipped because they can't be read.
func parsePeerLoads(now time.Time, text string) (loads []routing.PeerLoad, malformed int) {
	if len(text) > maxPeerLoadsLength {
		return nil, 1
	}
	for _, entry := range strings.SplitN(text, ",", routing.MaxPeerLoads+1) {
		if len(loads)+malformed == routing.MaxPeerLoads {
			break
		}
		if l, ok := parsePeerLoad(now, entry); ok {
			loads = append(loads, l)
		} else {
			malformed++
		}
	}
	return loads, malformed
}

func parsePeerLoad(now time.Time, entry string) (routing.PeerLoad, bool) {
	figures := strings.Split(entry, "/")
	if len(figures) < peerLoadFigures || figures[0] == "" {
		return routing.PeerLoad{}, false
	}
	generation, err := strconv.ParseUint(figures[1], 36, 64)
	if err != nil {
		return routing.PeerLoad{}, false
	}
	var numbers [peerLoadFigures - 2]int64
	for i, limit := range [...]int64{
		maxCallerWait.Milliseconds(), maxPeerLoadCount, maxPeerLoadCount, maxPeerLoadCount,
		maxPeerServiceTime.Microseconds(), maxSlowdownPercent, maxCallerWait.Milliseconds(),
	} {
		n, err := strconv.ParseInt(figures[i+2], 10, 64)
		if err != nil || n < 0 || n > limit {
			return routing.PeerLoad{}, false
		}
		numbers[i] = n
	}
	if numbers[2] == 0 {
		return routing.PeerLoad{}, false
	}
	l := routing.PeerLoad{
		Upstream:   figures[0],
		Generation: generation,
		Age:        time.Duration(numbers[0]) * time.Millisecond,
		InUse:      int(numbers[1]),
		Slots:      int(numbers[2]),
		Waiting:    int(numbers[3]),
		Service:    time.Duration(numbers[4]) * time.Microsecond,
	}
	if numbers[5] > 0 {
		l.Slowdown = admission.Slowdown{Percent: float64(numbers[5]), At: now.Add(-time.Duration(numbers[6]) * time.Millisecond)}
	}
	return l, true
}

// formatReport formats the load report that a choice went by; see TryRecord.Load.
func formatReport(by routing.ReportUsed) string {
	age := strconv.FormatInt(by.Age.Milliseconds(), 10)
	switch {
	case by.Age == 0:
		return ""
	case by.Peer:
		return "/chosen:peer:" + age
	}
	return "/chosen:own:" + age
}
