package table

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Format returns the CSV form of a table, with all columns. Parse reads it back
// to the same table but for the row numbers, if the table is an accepted one.
func Format(t *Table) ([]byte, error) {
	columns := slices.Concat(Header, Optional)
	recs := [][]string{texts(columns)}
	add := func(cells map[Column]string) {
		rec := make([]string, len(columns))
		for i, c := range columns {
			rec[i] = cells[c]
		}
		recs = append(recs, rec)
	}
	add(map[Column]string{ColRow: string(RowTable), ColName: strconv.FormatUint(t.Edition, 10)})
	for _, s := range t.Services {
		add(map[Column]string{ColRow: string(RowService), ColName: s.Name, ColRate: number(s.Rate), ColConcurrency: whole(s.Concurrency)})
	}
	for _, u := range t.Upstreams {
		add(map[Column]string{ColRow: string(RowUpstream), ColName: u.Name, ColService: u.Service,
			ColWeight: strconv.FormatFloat(u.Weight, 'f', -1, 64), ColRate: number(u.Rate), ColConcurrency: whole(u.Concurrency)})
	}
	for _, r := range t.Routes {
		add(routeCells(r))
	}
	return encode(recs)
}

func routeCells(r Route) map[Column]string {
	cells := map[Column]string{
		ColRow:        string(RowRoute),
		ColName:       r.Name,
		ColService:    r.Service,
		ColUpstream:   r.Upstream,
		ColPrefix:     r.Prefix,
		ColMethods:    strings.Join(r.Methods, " "),
		ColKind:       r.Kind,
		ColKindWeight: strconv.FormatFloat(r.KindWeight, 'f', -1, 64),
		ColTimeout:    milliseconds(r.Timeout),
		ColRetries:    strconv.Itoa(r.Retries),
		ColIdempotent: "no",
		ColHost:       r.Host,
		ColObjective:  milliseconds(r.Objective),
		ColPriority:   whole(r.Priority),
	}
	if r.Idempotent {
		cells[ColIdempotent] = "yes"
	}
	if len(r.Split) == 0 {
		return cells
	}
	var shares []string
	for _, s := range r.Split {
		shares = append(shares, s.Service+"="+strconv.FormatFloat(s.Weight, 'f', -1, 64))
	}
	cells[ColService], cells[ColSplit] = "", strings.Join(shares, " ")
	return cells
}

func texts(columns []Column) []string {
	out := make([]string, len(columns))
	for i, c := range columns {
		out[i] = string(c)
	}
	return out
}

// number and whole write 0, which stands for "no limit", as an empty cell.
func number(v float64) string {
	if v == 0 {
		return ""
	}
	return strconv.FormatFloat(v, 'f', -1, 64)
}

func whole(v int) string { return number(float64(v)) }

func milliseconds(d time.Duration) string { return number(float64(d.Milliseconds())) }
