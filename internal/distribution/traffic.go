package distribution

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// WireTraffic is the control traffic of a node on the wire in bytes, including protocol
// overhead.
type WireTraffic struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
}

// causeNames are the metric tags of the causes.
var causeNames = [...]string{"push", "heal", "digest", "membership", "census"}

// countSent counts sent bytes. The writer goroutines of the links call it.
func (s *Service) countSent(c Cause, n int) {
	s.bytes[c].Inc(int64(n))
	s.post(func(time.Time) Actions {
		s.engine.CountSent(c, n)
		return Actions{}
	})
}

// WireBytes returns the bytes sent and received on all links so far.
func (s *Service) WireBytes(ctx context.Context) WireTraffic {
	w, _ := callInLoop(ctx, s, func(time.Time) WireTraffic { return s.links.wireBytes() })
	return w
}

// IsPeerTimeout reports whether an error means that the peer became unresponsive, as
// opposed to closing the link.
func IsPeerTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// acceptLoop accepts the links that other nodes open.
func (s *Service) acceptLoop(ctx context.Context) {
	for {
		l, err := s.transport.Accept(ctx)
		if err != nil {
			return
		}
		s.post(func(now time.Time) Actions {
			s.links.add(now, l)
			return Actions{}
		})
	}
}
