package logs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const refused = `{"time":"2026-09-17T17:40:27.6Z","level":"info","msg":"request","instance":"n1","id":"a1","kind":"pay","service":"s","route":"r","version":"3-ab","status":503,"outcome":"not-run","reason":"too-late","not_retried":"no-time","took_ms":61.5,"allowed_ms":1000,"tries":"u1@0.1ms+1.0ms:limited:503:busy:12/12/0/99/0 u2@1.2ms+60.0ms:limited:503:too-late:12/12/5/99/80","left_out":7}`

func readAll(t *testing.T, text string, f Filter) ([]Line, Stats) {
	t.Helper()
	var lines []Line
	var stats Stats
	assert.NilError(t, Read(strings.NewReader(text), f, &stats, func(l *Line) { lines = append(lines, *l) }))
	return lines, stats
}

// Bad lines, text before the JSON, lines of other things and too long ones are
// counted, never fatal; the last line needs no end.
func TestReadingIsLenient(t *testing.T) {
	text := "garbage\n\n  12.3 node {broken\n" + strings.Repeat("x", 3*maxLine) + "\n" +
		`{"msg":"started"}` + "\n  27.6 n1 " + refused
	lines, stats := readAll(t, text, Filter{})
	assert.Equal(t, len(lines), 1)
	assert.DeepEqual(t, stats, Stats{Lines: 1, Others: 1, Bad: 3, LeftOut: 7})
	assert.Equal(t, lines[0].ID, "a1")
	assert.Equal(t, lines[0].AllowedMs, 1000.0)
}

func TestFilter(t *testing.T) {
	served := strings.Replace(strings.Replace(refused, `"status":503`, `"status":200`, 1), `"a1"`, `"a2"`, 1)
	text := refused + "\n" + served + "\n"
	at := time.Date(2026, 9, 17, 17, 40, 28, 0, time.UTC)
	for _, c := range []struct {
		filter Filter
		want   int
	}{
		{Filter{}, 2}, {Filter{ID: "a2"}, 1}, {Filter{ID: "a"}, 0}, {Filter{Failed: true}, 1},
		{Filter{Slow: 61 * time.Millisecond}, 2}, {Filter{Slow: 62 * time.Millisecond}, 0}, {Filter{Since: at}, 0},
	} {
		lines, _ := readAll(t, text, c.filter)
		assert.Equal(t, len(lines), c.want, "%+v", c.filter)
	}
}

func TestSummary(t *testing.T) {
	lines, _ := readAll(t, refused+"\n"+strings.Replace(refused, `"a1"`, `"a3"`, 1)+"\n", Filter{})
	s := NewSummary()
	for i := range lines {
		s.Add(&lines[i])
	}
	counts := s.Counts()
	assert.Equal(t, len(counts), 1)
	assert.Equal(t, counts[0].Requests, int64(2))
	assert.Equal(t, counts[0].Ways, "limited (busy), then limited (too-late)")
	assert.Equal(t, counts[0].Example, "a1")
}

// The causes told apart are bounded.
func TestSummaryIsBounded(t *testing.T) {
	s := NewSummary()
	for i := range maxCauses + 5 {
		s.Add(&Line{Kind: fmt.Sprint(i)})
	}
	assert.Equal(t, len(s.Counts()), maxCauses)
	assert.Equal(t, s.Other, int64(5))
}

func TestTries(t *testing.T) {
	tries := Tries("u1@0.1ms+1.0ms:limited:503:busy:12/12/0/99/0 nonsense u2@3ms+4ms:ambiguous:502:connection-lost:")
	assert.DeepEqual(t, tries, []Try{
		{Upstream: "u1", Timing: "0.1ms+1.0ms", Class: "limited", Status: "503", Reason: "busy", Load: "12/12/0/99/0"},
		{Upstream: "u2", Timing: "3ms+4ms", Class: "ambiguous", Status: "502", Reason: "connection-lost"},
	})
}

func FuzzRead(f *testing.F) {
	f.Add(refused)
	f.Add("{")
	f.Fuzz(func(t *testing.T, text string) {
		var stats Stats
		s := NewSummary()
		assert.NilError(t, Read(strings.NewReader(text), Filter{}, &stats, s.Add))
	})
}
