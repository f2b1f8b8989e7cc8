package bench

import (
	"net/http"
	"time"

	"github.com/walldrift/walldrift/internal/standin"
)

// Stream describes the requests of one kind in a load.
type Stream struct {
	Kind     string
	Weight   float64 // value of one good response
	Method   string
	Path     string
	Share    float64       // fraction of the load's rate, 0 to 1
	SendsKey bool          // sends a UUIDv7 as Idempotency-Key
	Body     int           // request body in bytes
	Work     time.Duration // time the upstream takes for a request; 0 leaves its default
}

// StreamsOfLayout returns one stream for each service of a layout, with shares in proportion
// to their targets.
func StreamsOfLayout(l standin.Layout) []Stream {
	total := 0
	for _, g := range l.Groups {
		total += g.Upstreams
	}
	var out []Stream
	for _, g := range l.Groups {
		s := Stream{Kind: g.Kind, Weight: g.KindWeight, Method: http.MethodGet, Path: g.Prefix + "/x", Share: float64(g.Upstreams) / float64(total)}
		if !g.Idempotent {
			s.Method, s.SendsKey, s.Body = http.MethodPost, true, 512
		}
		out = append(out, s)
	}
	return out
}
