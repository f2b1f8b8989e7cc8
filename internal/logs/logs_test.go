package logs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const refusedLine = `{"time":"2026-09-17T17:40:27.6Z","level":"info","msg":"request","instance":"n1","id":"a1","kind":"pay","service":"s","route":"r","version":"3-ab","status":503,"outcome":"not-run","reason":"too-late","not_retried":"no-time","took_ms":61.5,"allowed_ms":1000,"tries":"u1@0.1ms+1.0ms:limited:503:busy:12/12/0/99/0 u2@1.2ms+60.0ms:limited:503:too-late:12/12/5/99/80","left_out":7}`

func readAll(t *testing.T, text string, f Filter) ([]Line, Stats) {
	t.Helper()
	var lines []Line
	var stats Stats
	assert.NilError(t, Read(strings.NewReader(text), f, &stats, func(l *Line) { lines = append(lines, *l) }))
	return lines, stats
}

// Invalid and overlong lines and lines about other things are counted and do not end
// the reading. Text before the JSON is skipped, and the last line needs no newline.
func TestReadSkipsInvalidLines(t *testing.T) {
	text := "garbage\n\n  12.3 node {broken\n" + strings.Repeat("x", 3*maxLineBytes) + "\n" +
		`{"msg":"started"}` + "\n  27.6 n1 " + refusedLine
	lines, stats := readAll(t, text, Filter{})
	assert.Equal(t, len(lines), 1)
	assert.DeepEqual(t, stats, Stats{Requests: 1, Others: 1, Invalid: 3, Suppressed: 7})
	assert.Equal(t, lines[0].ID, "a1")
	assert.Equal(t, lines[0].AllowedMs, 1000.0)
}

func TestFilter(t *testing.T) {
	succeeded := strings.Replace(strings.Replace(refusedLine, `"status":503`, `"status":200`, 1), `"a1"`, `"a2"`, 1)
	text := refusedLine + "\n" + succeeded + "\n"
	afterAll := time.Date(2026, 9, 17, 17, 40, 28, 0, time.UTC)
	for _, c := range []struct {
		filter Filter
		want   int
	}{
		{Filter{}, 2}, {Filter{ID: "a2"}, 1}, {Filter{ID: "a"}, 0}, {Filter{Failed: true}, 1},
		{Filter{Slow: 61 * time.Millisecond}, 2}, {Filter{Slow: 62 * time.Millisecond}, 0}, {Filter{Since: afterAll}, 0},
	} {
		lines, _ := readAll(t, text, c.filter)
		assert.Equal(t, len(lines), c.want, "%+v", c.filter)
	}
}

func TestSummary(t *testing.T) {
	lines, _ := readAll(t, refusedLine+"\n"+strings.Replace(refusedLine, `"a1"`, `"a3"`, 1)+"\n", Filter{})
	s := NewSummary()
	for i := range lines {
		s.Add(&lines[i])
	}
	counts := s.Counts()
	assert.Equal(t, len(counts), 1)
	assert.Equal(t, counts[0].Requests, int64(2))
	assert.Equal(t, counts[0].TryResults, "limited (busy), then limited (too-late)")
	assert.Equal(t, counts[0].Example, "a1")
}

// Requests whose causes are beyond maxCauses are only counted together, so that the summary's
// memory stays bounded.
func TestSummaryIsBounded(t *testing.T) {
	s := NewSummary()
	for i := range maxCauses + 5 {
		s.Add(&Line{Kind: fmt.Sprint(i)})
	}
	assert.Equal(t, len(s.Counts()), maxCauses)
	assert.Equal(t, s.OverflowRequests, int64(5))
}

func TestTries(t *testing.T) {
	tries := Tries("u1@0.1ms+1.0ms:limited:503:busy:12/12/0/99/0 nonsense u2@3ms+4ms:ambiguous:502:connection-lost:")
	assert.DeepEqual(t, tries, []Try{
		{Upstream: "u1", Timing: "0.1ms+1.0ms", Class: "limited", Status: "503", Reason: "busy", Load: "12/12/0/99/0"},
		{Upstream: "u2", Timing: "3ms+4ms", Class: "ambiguous", Status: "502", Reason: "connection-lost"},
	})
}

func FuzzRead(f *testing.F) {
	f.Add(refusedLine)
	f.Add("{")
	f.Fuzz(func(t *testing.T, text string) {
		var stats Stats
		s := NewSummary()
		assert.NilError(t, Read(strings.NewReader(text), Filter{}, &stats, s.Add))
	})
}
