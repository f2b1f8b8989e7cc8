package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Line is a least-squares fit y = Base + Slope*x.
type Line struct {
	Base, Slope float64
	// Spread is the standard deviation of the points from the line.
	Spread float64
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Fit returns the least-squares line through the points. Points with fewer than two
// different x are an error.
func Fit(xs, ys []float64) (Line, error) {
	n := float64(len(xs))
	if len(xs) < 2 || len(xs) != len(ys) {
		return Line{}, errors.New("a line needs two points")
	}
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx, sy, sxx, sxy = sx+x, sy+ys[i], sxx+x*x, sxy+x*ys[i]
	}
	det := n*sxx - sx*sx
	if det == 0 {
		return Line{}, errors.New("a line needs two different x")
	}
	l := Line{Slope: (n*sxy - sx*sy) / det}
	l.Base = (sy - l.Slope*sx) / n
	for i, x := range xs {
		d := ys[i] - l.At(x)
		l.Spread += d * d
	}
	l.Spread = math.Sqrt(l.Spread / n)
	return l, nil
}

// projectedNodes is the fleet size to which the lines are extrapolated.
const projectedNodes = 2300

// resultColumn is a value of ControlResult that gets a row in the slopes table.
type resultColumn struct {
	name  string
	value func(ControlResult) float64
}

var resultColumns = []resultColumn{
	{"in force everywhere p50, ms", func(r ControlResult) float64 { return r.AllNodesP50Ms }},
	{"in force everywhere p99, ms", func(r ControlResult) float64 { return r.AllNodesP99Ms }},
	{"sent, B/s", func(r ControlResult) float64 { return r.WireBytesPerSecond }},
	{"sent by the busiest, B/s", func(r ControlResult) float64 { return r.WireMax }},
	{"CPU, % of a core", func(r ControlResult) float64 { return r.CPUPct }},
	{"CPU of the busiest, %", func(r ControlResult) float64 { return r.CPUMax }},
	{"RSS, MB", func(r ControlResult) float64 { return r.RSSMB }},
	{"RSS of the largest, MB", func(r ControlResult) float64 { return r.RSSMax }},
	{"links", func(r ControlResult) float64 { return r.Links }},
	{"platform calls/s, whole fleet", func(r ControlResult) float64 { return r.PlatformReadsPerSecond }},
	{"platform calls in the busiest second", func(r ControlResult) float64 { return float64(r.PlatformPeakReads) }},
}

// WriteSlopes reads the results of scripts/scale of one kind (edits, rest or herd) from
// dir. For each value it writes a row with the value at each fleet size, the slope and
// spread of the fitted line, and the line's value at projectedNodes.
func WriteSlopes(w io.Writer, dir, kind string) error {
	results, err := readResults(dir, kind)
	if err != nil {
		return err
	}
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintf(tw, "| %s, nodes:\t", kind)
	for _, r := range results {
		_, _ = fmt.Fprintf(tw, "| %d\t", r.Nodes)
	}
	_, _ = fmt.Fprintf(tw, "| slope per node\t| spread\t| line at %d\t|\n", projectedNodes)
	for _, f := range resultColumns {
		var xs, ys []float64
		_, _ = fmt.Fprintf(tw, "| %s\t", f.name)
		for _, r := range results {
			xs, ys = append(xs, float64(r.Nodes)), append(ys, f.value(r))
			_, _ = fmt.Fprintf(tw, "| %.4g\t", f.value(r))
		}
		line, err := Fit(xs, ys)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(tw, "| %.3g\t| %.2g\t| %.4g\t|\n", line.Slope, line.Spread, line.At(projectedNodes))
	}
	return tw.Flush()
}

func readResults(dir, kind string) ([]ControlResult, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*-"+kind+".json"))
	if err != nil || len(files) == 0 {
		return nil, errors.Newf("no results of kind %q in %s", kind, dir)
	}
	var out []ControlResult
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		if strings.TrimSpace(string(raw)) == "" {
			continue // its measurement is still running
		}
		var r ControlResult
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, errors.Wrap(err, file)
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b ControlResult) int { return a.Nodes - b.Nodes })
	return out, nil
}
