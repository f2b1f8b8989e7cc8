// Package logs reads the JSON log lines of any number of sidecars, selects those about
// requests, and counts requests by how they ended.
//
// Lines are read one by one in bounded memory. Text before the JSON, as log collectors add
// it, is skipped. Lines that are not JSON log lines are counted and skipped.
package logs

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is the log line that a sidecar writes about a finished request; docs/LOGS.md
// explains the fields.
type Line struct {
	Time       time.Time `json:"time"`
	Message    string    `json:"msg"`
	Instance   string    `json:"instance"`
	ID         string    `json:"id"`
	Kind       string    `json:"kind"`
	Service    string    `json:"service"`
	Route      string    `json:"route"`
	Version    string    `json:"version"`
	Status     int       `json:"status"`
	Outcome    string    `json:"outcome"`
	Reason     string    `json:"reason"`
	NotRetried string    `json:"not_retried"`
	TookMs     float64   `json:"took_ms"`
	AllowedMs  float64   `json:"allowed_ms"`
	Tries      string    `json:"tries"`
	Suppressed int64     `json:"left_out"`
}

// requestMessage is the log message of lines about requests.
const requestMessage = "request"

// minFailedStatus is the lowest HTTP status of a failed request.
const minFailedStatus = 500

// Filter selects lines about requests. The zero value matches all.
type Filter struct {
	ID     string
	Failed bool
	Slow   time.Duration // minimum duration of the request; 0 for any
	Since  time.Time
}

func (f Filter) matches(l *Line) bool {
	return (f.ID == "" || f.ID == l.ID) &&
		(!f.Failed || l.Status >= minFailedStatus) &&
		l.TookMs >= float64(f.Slow.Milliseconds()) &&
		!l.Time.Before(f.Since)
}

// Stats counts the lines read.
type Stats struct {
	Requests   int64 // lines about requests
	Others     int64 // log lines about something else
	Invalid    int64 // lines that are not JSON log lines, or are too long
	Suppressed int64 // request lines that the sidecars' log rate limiters suppressed
}

// maxLineBytes bounds the length of a line; longer lines count as invalid.
const maxLineBytes = 64 << 10

// Read calls handle for each line about a request that the filter matches, and adds to
// stats. Invalid lines are not an error.
func Read(r io.Reader, f Filter, stats *Stats, handle func(*Line)) error {
	br := bufio.NewReaderSize(r, maxLineBytes)
	for {
		raw, err := br.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			stats.Invalid++
			err = skipLine(br)
			raw = nil
		}
		if len(bytes.TrimSpace(raw)) > 0 {
			decodeLine(raw, f, stats, handle)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read logs")
		}
	}
}

// skipLine discards the rest of a line.
func skipLine(br *bufio.Reader) error {
	for {
		_, err := br.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func decodeLine(raw []byte, f Filter, stats *Stats, handle func(*Line)) {
	start := bytes.IndexByte(raw, '{')
	var l Line
	if start < 0 || json.Unmarshal(raw[start:], &l) != nil || l.Message == "" {
		stats.Invalid++
		return
	}
	if l.Message != requestMessage {
		stats.Others++
		return
	}
	stats.Requests++
	stats.Suppressed += l.Suppressed
	if f.matches(&l) {
		handle(&l)
	}
}

// Cause describes how a request ended; it groups requests with the same end.
type Cause struct {
	Kind, Outcome, Reason, NotRetried string
	Status                            int
	// TryResults is the class and reason of each try, in order.
	TryResults string
}

// Count is a cause with the number of its requests and an example.
type Count struct {
	Cause
	Requests int64
	Example  string // request id
}

// Summary counts requests by cause, for at most maxCauses causes.
type Summary struct {
	counts map[Cause]*Count
	// OverflowRequests counts the requests whose causes are beyond maxCauses.
	OverflowRequests int64
}

// maxCauses bounds the number of causes that are counted separately.
const maxCauses = 10_000

// NewSummary returns an empty summary.
func NewSummary() *Summary { return &Summary{counts: make(map[Cause]*Count)} }

// Add counts a request.
func (s *Summary) Add(l *Line) {
	c := Cause{Kind: l.Kind, Outcome: l.Outcome, Reason: l.Reason, NotRetried: l.NotRetried, Status: l.Status, TryResults: tryResults(l.Tries)}
	n, ok := s.counts[c]
	if !ok {
		if len(s.counts) >= maxCauses {
			s.OverflowRequests++
			return
		}
		n = &Count{Cause: c, Example: l.ID}
		s.counts[c] = n
	}
	n.Requests++
}

// Counts returns the causes in descending order of their requests.
func (s *Summary) Counts() []Count {
	out := make([]Count, 0, len(s.counts))
	for _, c := range s.counts {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), strings.Compare(a.Example, b.Example))
	})
	return out
}

// Try is one try of a request, as the tries field of its line has it.
type Try struct {
	Upstream string
	Timing   string // start after the request's arrival, and duration: "1.2ms+30.0ms"
	Class    string
	Status   string
	Reason   string
	Load     string // load report of the upstream: in use/slots/waiting/service µs/wait µs
}

// Tries parses the tries field of a line. Parts in another format are skipped.
func Tries(text string) []Try {
	var out []Try
	for _, part := range strings.Fields(text) {
		name, rest, ok := strings.Cut(part, "@")
		fields := strings.SplitN(rest, ":", 5)
		if !ok || len(fields) != 5 {
			continue
		}
		out = append(out, Try{Upstream: name, Timing: fields[0], Class: fields[1], Status: fields[2], Reason: fields[3], Load: fields[4]})
	}
	return out
}

// tryResults returns the class and reason of each try, in order.
func tryResults(tries string) string {
	var parts []string
	for _, t := range Tries(tries) {
		result := t.Class
		if t.Reason != "" {
			result += " (" + t.Reason + ")"
		}
		parts = append(parts, result)
	}
	return strings.Join(parts, ", then ")
}
