package table

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// maxNumber limits weights, rates and counts. Larger values are assumed to be typing
// errors.
const maxNumber = 1e9

// cellReader reads the cells of one row as typed values and collects findings.
type cellReader struct {
	row      int
	record   []string
	index    map[Column]int
	findings *Findings
}

func (r *cellReader) rowType() RowType { return RowType(r.text(ColRow)) }

func (r *cellReader) text(col Column) string {
	i, ok := r.index[col]
	if !ok || i >= len(r.record) {
		return ""
	}
	return strings.TrimSpace(r.record[i])
}

func (r *cellReader) required(col Column) string {
	s := r.text(col)
	if s == "" {
		addFinding(r.findings, r.row, col, RuleMissing, "a value is needed")
	}
	return strings.Clone(s)
}

// name reads the name of a row. It rejects names that a spreadsheet program would run as a
// formula, and control characters, which corrupt terminals and logs.
func (r *cellReader) name() string {
	s := r.required(ColName)
	if strings.ContainsAny(s[:min(len(s), 1)], "=+-@") {
		addFinding(r.findings, r.row, ColName, RuleName, "%q begins like a formula", s)
	}
	if strings.ContainsFunc(s, unicode.IsControl) {
		addFinding(r.findings, r.row, ColName, RuleName, "%q holds a control character", s)
	}
	return s
}

// number reads a finite value from 0 to maxNumber. It returns def for an empty or invalid
// cell.
func (r *cellReader) number(col Column, def float64) float64 {
	s := r.text(col)
	if s == "" {
		return def
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		addFinding(r.findings, r.row, col, RuleNumber, "%q is not a number", s)
		return def
	}
	if v < 0 || v > maxNumber {
		addFinding(r.findings, r.row, col, RuleRange, "%s is outside 0 to %g", s, maxNumber)
		return def
	}
	return v
}

func (r *cellReader) integer(col Column, def int) int {
	v := r.number(col, float64(def))
	if v != math.Trunc(v) {
		addFinding(r.findings, r.row, col, RuleNumber, "%v is not a whole number", v)
		return def
	}
	return int(v)
}

func (r *cellReader) yesNo(col Column) bool {
	switch s := r.text(col); s {
	case "yes":
		return true
	case "no":
		return false
	default:
		addFinding(r.findings, r.row, col, RuleIdempotency, "%q is neither yes nor no", s)
		return false
	}
}

// appendTo decodes the row according to its type and adds it to the table.
func (r *cellReader) appendTo(t *Table) {
	typ := r.rowType()
	allowed, ok := allowedColumns[typ]
	if !ok {
		addFinding(r.findings, r.row, ColRow, RuleRowType, "%q is none of table, service, upstream, route", typ)
		return
	}
	if len(r.record) > len(r.index) {
		addFinding(r.findings, r.row, "", RuleHeader, "%d cells but %d columns", len(r.record), len(r.index))
	}
	for col := range r.index {
		if !slices.Contains(allowed, col) && r.text(col) != "" {
			addFinding(r.findings, r.row, col, RuleUnused, "has no meaning in a %s row", typ)
		}
	}
	switch typ {
	case RowTable:
		t.Edition = r.edition()
	case RowService:
		t.Services = append(t.Services, r.service())
	case RowUpstream:
		t.Upstreams = append(t.Upstreams, r.upstream())
	case RowRoute:
		t.Routes = append(t.Routes, r.route())
	}
}

func (r *cellReader) edition() uint64 {
	s := r.required(ColName)
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil || v == 0 || v > MaxEdition {
		addFinding(r.findings, r.row, ColName, RuleEdition, "%q is not an edition from 1 to %d", s, uint64(MaxEdition))
		return 0
	}
	return v
}

func (r *cellReader) service() Service {
	return Service{
		Row:         r.row,
		Name:        r.name(),
		Rate:        r.number(ColRate, 0),
		Concurrency: r.integer(ColConcurrency, 0),
	}
}

func (r *cellReader) upstream() Upstream {
	return Upstream{
		Row:         r.row,
		Name:        r.name(),
		Service:     r.required(ColService),
		Weight:      r.number(ColWeight, 1),
		Rate:        r.number(ColRate, 0),
		Concurrency: r.integer(ColConcurrency, 0),
	}
}

func (r *cellReader) route() Route {
	service, split := r.serviceAndSplit()
	return Route{
		Row:        r.row,
		Name:       r.name(),
		Service:    service,
		Upstream:   strings.Clone(r.text(ColUpstream)),
		Prefix:     r.required(ColPrefix),
		Methods:    strings.Fields(strings.ToUpper(r.text(ColMethods))),
		Kind:       r.required(ColKind),
		KindWeight: r.number(ColKindWeight, 1),
		Timeout:    time.Duration(r.integer(ColTimeout, int(DefaultTimeout/time.Millisecond))) * time.Millisecond,
		Retries:    r.integer(ColRetries, 0),
		Idempotent: r.yesNo(ColIdempotent),
		Host:       strings.ToLower(r.text(ColHost)),
		Objective:  time.Duration(r.integer(ColObjective, 0)) * time.Millisecond,
		Priority:   r.integer(ColPriority, 0),
		Split:      split,
	}
}

// serviceAndSplit reads the service column of a route, or its split column, as in
// "blue=90 green=10". With a split, the service returned is that of the first share.
func (r *cellReader) serviceAndSplit() (string, []Share) {
	text := r.text(ColSplit)
	if text == "" {
		return r.required(ColService), nil
	}
	if r.text(ColService) != "" {
		addFinding(r.findings, r.row, ColSplit, RuleUnused, "the route already names a service")
	}
	var shares []Share
	for _, part := range strings.Fields(text) {
		name, value, ok := strings.Cut(part, "=")
		weight, err := strconv.ParseFloat(value, 64)
		if !ok || name == "" || err != nil || !(weight >= 0 && weight <= maxNumber) {
			addFinding(r.findings, r.row, ColSplit, RuleNumber, "%q is not service=weight", part)
			return "", nil
		}
		shares = append(shares, Share{Service: strings.Clone(name), Weight: weight})
	}
	return shares[0].Service, shares
}
