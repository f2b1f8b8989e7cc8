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

// refuses reports whether nobody listens at an address of this machine.
func refuses(addr string) bool {
	nc, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err == nil {
		_ = nc.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// fell takes over a fall of the own upstream under requests: others have to know before
// the next of them gets one that may be the cause.
func (s *Sidecar) fell(f proxy.Crash) {
	if f.FirstReport {
		s.metrics.Scope.Counter("upstream_falls").Inc(1)
	}
	s.held.fell(f)
	load := s.backend.Load()
	s.log.Warn("own upstream fell",
		"upstream", f.Upstream,
		"first", f.FirstReport,
		"requests", len(f.Requests),
		"fingerprints", formatFingerprints(f.Requests),
		"slots_in_use", load.InUse,
		"slots", load.Slots,
		"waiting", load.Waiting,
	)
}

// fingerprintsTold bounds the fingerprints of one line: those of a usual upstream's
// slots.
const fingerprintsTold = 32

func formatFingerprints(all []quarantine.Fingerprint) string {
	told := make([]string, 0, fingerprintsTold)
	for _, f := range all[:min(len(all), fingerprintsTold)] {
		told = append(told, f.String())
	}
	slices.Sort(told)
	return strings.Join(slices.Compact(told), " ")
}
