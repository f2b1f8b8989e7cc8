package proxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
)

// formatWaitBound formats a bound for headerWorthwhileWait as "worthwhile wait/round
// trip", in microseconds; empty if there is no bound.
func formatWaitBound(w admission.WaitBound) string {
	if w.Worthwhile <= 0 {
		return ""
	}
	return strconv.FormatInt(w.Worthwhile.Microseconds(), 10) + "/" + strconv.FormatInt(w.RoundTrip.Microseconds(), 10)
}

// maxWaitBoundUs is the largest figure that is read from headerWorthwhileWait, in
// microseconds: an hour, which no request waits.
const maxWaitBoundUs = 3600 * 1000 * 1000

// parseWaitBound reads the value of headerWorthwhileWait; the zero value if it is empty
// or can't be read, so that the request queues. Unknown further parts are ignored.
func parseWaitBound(v string) admission.WaitBound {
	if v == "" {
		return admission.WaitBound{}
	}
	wait, rest, _ := strings.Cut(v, "/")
	roundTrip, _, _ := strings.Cut(rest, "/")
	worthwhile, ok := parseMicroseconds(wait)
	if !ok {
		return admission.WaitBound{}
	}
	// A bound of 0 is a bound.
	bound := admission.WaitBound{Worthwhile: max(worthwhile, time.Microsecond)}
	bound.RoundTrip, _ = parseMicroseconds(roundTrip)
	return bound
}

// parseMicroseconds parses a number of microseconds up to maxWaitBoundUs.
func parseMicroseconds(v string) (time.Duration, bool) {
	us, err := strconv.ParseInt(v, 10, 64)
	if err != nil || us < 0 || us > maxWaitBoundUs {
		return 0, false
	}
	return time.Duration(us) * time.Microsecond, true
}

// waitBound returns the bound of the request's wait for a slot. A body that has been
// received is not sent again to another upstream.
func (c *backendCall) waitBound() admission.WaitBound {
	if !c.receivedAt.IsZero() || c.env.AwaitsAdmission || c.keyed {
		return admission.WaitBound{}
	}
	return c.env.WaitBound
}

// Causes for which a backend returns a request to its sender.
const (
	causeArrival = "arrival" // the forecast was beyond the bound when the request arrived
	causeWaiting = "waiting" // the forecast rose while the request waited
)

// returned counts a verdict by which a request goes back to its sender, by cause.
func (m *Metrics) returned(v admission.Verdict) {
	if v.Reason != admission.ReasonMoved {
		return
	}
	cause := causeArrival
	if v.Queued {
		cause = causeWaiting
	}
	m.scope.Tagged(map[string]string{"cause": cause}).Counter("requests_returned").Inc(1)
}
