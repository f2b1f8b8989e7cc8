package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
)

// loadSlowdownPrefix starts the part of a load report that holds the upstream's slowdown, as
// "percent:age", the age in milliseconds.
const loadSlowdownPrefix = "slowdown:"

const (
	// maxSlowdownPercent is the highest slowdown that has a meaning. An upstream that is a
	// hundred times slower than usual responds to no request before its timeout.
	maxSlowdownPercent = 100 * 100
	// maxLoadLength bounds the load in an upstream's response, in bytes: four figures of 15
	// digits.
	maxLoadLength = 64
	// loadFigures is the number of figures that every load has. A slowdown is a further one.
	loadFigures = 3
)

// observeLoad applies the slowdown in a response's load. It ignores responses that the
// expected instance did not make itself.
func (c *backendCall) observeLoad(resp *http.Response) {
	d := c.b.cfg.Dialect
	if d.Load == "" || !d.signed(resp) {
		return
	}
	text := resp.Header.Get(d.Load)
	percent, slowdown, ok := parseUpstreamLoad(text)
	switch {
	case ok && slowdown:
		c.b.invalidLoad.Store(false)
		c.b.gate.SetSlowdown(admission.Slowdown{Percent: percent, At: clock.Now()})
	case !ok && text != "" || c.b.gate.Slowdown().Reported():
		if !c.b.invalidLoad.Swap(true) {
			c.b.cfg.OnInvalidLoad(text)
		}
	}
}

// parseUpstreamLoad reads Dialect.Load. slowdown says that it has a fourth figure, percent;
// ok that all figures are in range.
func parseUpstreamLoad(text string) (percent float64, slowdown, ok bool) {
	if text == "" || len(text) > maxLoadLength {
		return 0, false, false
	}
	figures := strings.Split(text, ",")
	if len(figures) < loadFigures {
		return 0, false, false
	}
	for _, figure := range figures[:loadFigures] {
		if _, err := strconv.ParseUint(strings.TrimSpace(figure), 10, 31); err != nil {
			return 0, false, false
		}
	}
	if len(figures) == loadFigures {
		return 0, false, true
	}
	percent, ok = parseSlowdownPercent(strings.TrimSpace(figures[loadFigures]))
	return percent, ok, ok
}

// parseSlowdownPercent reads a percentage from 1 to maxSlowdownPercent.
func parseSlowdownPercent(text string) (float64, bool) {
	percent, err := strconv.ParseFloat(text, 64)
	if err != nil || !(percent >= 1 && percent <= maxSlowdownPercent) {
		return 0, false
	}
	return percent, true
}

// appendSlowdown appends the upstream's slowdown to a load report, if it has reported one.
func (b *Backend) appendSlowdown(report []byte) []byte {
	s := b.gate.Slowdown()
	if !s.Reported() {
		return report
	}
	return appendSlowdown(append(report, "/"+loadSlowdownPrefix...), clock.Now(), s, ':')
}

// appendSlowdown appends the percentage and the age in milliseconds of a slowdown; zeros if
// there is none.
func appendSlowdown(to []byte, now time.Time, s admission.Slowdown, separator byte) []byte {
	if !s.Reported() {
		return append(to, '0', separator, '0')
	}
	to = strconv.AppendInt(to, int64(max(s.Percent, 1)), 10)
	return strconv.AppendInt(append(to, separator), max(now.Sub(s.At), 0).Milliseconds(), 10)
}

// parseSlowdown reads the part of a load report that appendSlowdown wrote; zero if it can't
// be read.
func parseSlowdown(now time.Time, text string) admission.Slowdown {
	figure, age, _ := strings.Cut(text, ":")
	percent, ok := parseSlowdownPercent(figure)
	ms, err := strconv.ParseUint(age, 10, 31)
	if !ok || err != nil {
		return admission.Slowdown{}
	}
	return admission.Slowdown{Percent: percent, At: now.Add(-time.Duration(ms) * time.Millisecond)}
}
