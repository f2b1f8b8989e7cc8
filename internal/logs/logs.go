// Package logs reads the JSON lines of any number of sidecars and tells what
// became of a request, or what the failures had in common.
//
// Lines are read one by one in bounded memory. What is no line of the project
// is counted and passed over, also text before the JSON, as log collectors put
// it there.
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

// Line is one decision about a request, as a sidecar wrote it; docs/LOGS.md
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
	LeftOut    int64     `json:"left_out"`
}

// requestMessage is the message of lines about requests.
const requestMessage = "request"

// failedFrom is the least status of a failed request.
const failedFrom = 500

// Filter chooses lines about requests. The zero value takes all.
type Filter struct {
	ID     string
	Failed bool
	Slow   time.Duration // took at least so long; 0 for any
	Since  time.Time
}

func (f Filter) takes(l *Line) bool {
	return (f.ID == "" || f.ID == l.ID) &&
		(!f.Failed || l.Status >= failedFrom) &&
		l.TookMs >= float64(f.Slow.Milliseconds()) &&
		!l.Time.Before(f.Since)
}

// Stats counts what was read.
type Stats struct {
	Lines   int64 // lines about requests
	Others  int64 // lines of the project about something else
	Bad     int64 // lines that are none of the project's, or too long
	LeftOut int64 // requests that the sidecars' budgets left out
}

// maxLine bounds a line that is read; longer ones are bad.
const maxLine = 64 << 10

// Read calls take for each line about a request that the filter takes.
func Read(r io.Reader, f Filter, stats *Stats, take func(*Line)) error {
	br := bufio.NewReaderSize(r, maxLine)
	for {
		raw, err := br.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			stats.Bad++
			err = skipLine(br)
			raw = nil
		}
		if len(bytes.TrimSpace(raw)) > 0 {
			decode(raw, f, stats, take)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read logs")
		}
	}
}

func skipLine(br *bufio.Reader) error {
	for {
		_, err := br.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func decode(raw []byte, f Filter, stats *Stats, take func(*Line)) {
	at := bytes.IndexByte(raw, '{')
	var l Line
	if at < 0 || json.Unmarshal(raw[at:], &l) != nil || l.Message == "" {
		stats.Bad++
		return
	}
	if l.Message != requestMessage {
		stats.Others++
		return
	}
	stats.Lines++
	stats.LeftOut += l.LeftOut
	if f.takes(&l) {
		take(&l)
	}
}

// Cause groups requests that ended alike.
type Cause struct {
	Kind, Outcome, Reason, NotRetried string
	Status                            int
	// Ways is how the tries ended, one after another.
	Ways string
}

// Count is a cause with its number of requests and one of them.
type Count struct {
	Cause
	Requests int64
	Example  string // a request's id
}

// Summary counts requests by cause. Its memory is bounded by maxCauses.
type Summary struct {
	counts map[Cause]*Count
	// Other counts the requests of causes beyond the bound.
	Other int64
}

// maxCauses bounds the causes that are told apart.
const maxCauses = 10_000

// NewSummary returns an empty summary.
func NewSummary() *Summary { return &Summary{counts: make(map[Cause]*Count)} }

// Add counts a request.
func (s *Summary) Add(l *Line) {
	c := Cause{Kind: l.Kind, Outcome: l.Outcome, Reason: l.Reason, NotRetried: l.NotRetried, Status: l.Status, Ways: ways(l.Tries)}
	n, ok := s.counts[c]
	if !ok {
		if len(s.counts) >= maxCauses {
			s.Other++
			return
		}
		n = &Count{Cause: c, Example: l.ID}
		s.counts[c] = n
	}
	n.Requests++
}

// Counts returns the causes, the most frequent first.
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

// Try is one try of a request as its line tells it.
type Try struct {
	Upstream string
	Timing   string // when it began and how long it took: "1.2ms+30.0ms"
	Class    string
	Status   string
	Reason   string
	Load     string // of the upstream: in use/slots/waiting/service µs/wait µs
}

// Tries splits the tries of a line. What does not have their form is left out.
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

func ways(tries string) string {
	var parts []string
	for _, t := range Tries(tries) {
		way := t.Class
		if t.Reason != "" {
			way += " (" + t.Reason + ")"
		}
		parts = append(parts, way)
	}
	return strings.Join(parts, ", then ")
}
