package table

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Format returns the CSV form of a table, with all columns, the optional ones included.
// Customers are not written. If the table is valid, Parse of the result gives the same
// table except for row numbers.
func Format(t *Table) ([]byte, error) {
	columns := slices.Concat(Header, Optional)
	records := [][]string{columnNames(columns)}
	addRow := func(cells map[Column]string) {
		record := make([]string, len(columns))
		for i, c := range columns {
			record[i] = cells[c]
		}
		records = append(records, record)
	}
	addRow(map[Column]string{ColRow: string(RowTable), ColName: strconv.FormatUint(t.Edition, 10)})
	for _, s := range t.Services {
		addRow(map[Column]string{ColRow: string(RowService), ColName: s.Name, ColRate: formatNumber(s.Rate), ColConcurrency: formatInt(s.Concurrency)})
	}
	for _, u := range t.Upstreams {
		addRow(map[Column]string{ColRow: string(RowUpstream), ColName: u.Name, ColService: u.Service,
			ColWeight: strconv.FormatFloat(u.Weight, 'f', -1, 64), ColRate: formatNumber(u.Rate), ColConcurrency: formatInt(u.Concurrency)})
	}
	for _, r := range t.Routes {
		addRow(routeCells(r))
	}
	return encodeCSV(records)
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
		ColTimeout:    formatMilliseconds(r.Timeout),
		ColRetries:    strconv.Itoa(r.Retries),
		ColIdempotent: "no",
		ColHost:       r.Host,
		ColObjective:  formatMilliseconds(r.Objective),
		ColPriority:   formatInt(r.Priority),
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

func columnNames(columns []Column) []string {
	out := make([]string, len(columns))
	for i, c := range columns {
		out[i] = string(c)
	}
	return out
}

// formatNumber returns "" for 0. It is for columns in which an empty cell is read as 0.
func formatNumber(v float64) string {
	if v == 0 {
		return ""
	}
	return strconv.FormatFloat(v, 'f', -1, 64)
}

func formatInt(v int) string { return formatNumber(float64(v)) }

func formatMilliseconds(d time.Duration) string { return formatNumber(float64(d.Milliseconds())) }
