package sidecar

import (
	"net"
	"slices"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/proxy"
	"github.com/walldrift/walldrift/internal/quarantine"
)

// connectionRefused reports whether nothing listens at an address of this machine.
func connectionRefused(addr string) bool {
	nc, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err == nil {
		_ = nc.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// upstreamCrashed handles a crash of the own upstream with requests in flight. Other
// sidecars have to know before their upstreams run one of these requests, as it may be the
// cause.
func (s *Sidecar) upstreamCrashed(c proxy.Crash) {
	if c.FirstReport {
		s.metrics.Scope.Counter("upstream_falls").Inc(1)
	}
	s.quarantined.upstreamCrashed(c)
	load := s.backend.Load()
	s.log.Warn("own upstream fell",
		"upstream", c.Upstream,
		"first", c.FirstReport,
		"requests", len(c.Requests),
		"fingerprints", formatFingerprints(c.Requests),
		"slots_in_use", load.InUse,
		"slots", load.Slots,
		"waiting", load.Waiting,
	)
}

// maxLoggedFingerprints bounds the fingerprints in one log line: a usual upstream has that
// many slots.
const maxLoggedFingerprints = 32

func formatFingerprints(all []quarantine.Fingerprint) string {
	listed := make([]string, 0, maxLoggedFingerprints)
	for _, f := range all[:min(len(all), maxLoggedFingerprints)] {
		listed = append(listed, f.String())
	}
	slices.Sort(listed)
	return strings.Join(slices.Compact(listed), " ")
}
