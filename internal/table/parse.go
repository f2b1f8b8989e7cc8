package table

import (
	"bytes"
	"encoding/csv"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/agnivade/levenshtein"
	"github.com/cockroachdb/errors"
)

// maxNumber limits weights, rates and counts. Larger values are assumed to be typing
// errors.
const maxNumber = 1e9

// Parse decodes and checks a raw table. If it finds defects, it returns a nil table and
// all the defects found.
func Parse(raw []byte) (*Table, Findings) {
	var findings Findings
	if len(raw) > MaxBytes {
		addFinding(&findings, 0, "", RuleSize, "%d bytes, the limit is %d", len(raw), MaxBytes)
		return nil, findings
	}
	if !utf8.Valid(raw) || bytes.IndexByte(raw, 0) >= 0 {
		addFinding(&findings, 0, "", RuleEncoding, "the file is not UTF-8 text")
		return nil, findings
	}
	t, findings := decode(raw)
	if t == nil {
		return nil, findings
	}
	findings = append(findings, check(t)...)
	if len(findings) > 0 {
		return nil, findings
	}
	return t, nil
}

// byteOrderMark is written by spreadsheet programs at the start of CSV files in UTF-8.
var byteOrderMark = []byte("\xef\xbb\xbf")

// decode turns CSV into typed rows and reports the defects of single cells. The table is
// nil if the file is not CSV or its header is wrong.
func decode(raw []byte) (*Table, Findings) {
	var findings Findings
	reader := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(raw, byteOrderMark)))
	reader.FieldsPerRecord = -1
	reader.ReuseRecord = true
	header, err := reader.Read()
	if err != nil {
		addFinding(&findings, 1, "", RuleHeader, "no header: %v", err)
		return nil, findings
	}
	index, ok := headerIndex(header, &findings)
	if !ok {
		return nil, findings
	}
	t := &Table{}
	tableRows := 0
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		line, _ := reader.FieldPos(0)
		if err != nil {
			addFinding(&findings, line, "", RuleEncoding, "not CSV: %v", err)
			return nil, findings
		}
		cells := &cellReader{row: line, record: record, index: index, findings: &findings}
		if cells.rowType() == RowTable {
			tableRows++
		}
		cells.appendTo(t)
	}
	if tableRows != 1 {
		addFinding(&findings, 0, ColRow, RuleEdition, "want exactly one %q row, found %d", RowTable, tableRows)
	}
	return t, findings
}

// headerIndex returns the position of each column, and whether the header is free of
// defects.
func headerIndex(header []string, findings *Findings) (map[Column]int, bool) {
	index := make(map[Column]int, len(header))
	var unknown []Column
	countBefore := len(*findings)
	for i, name := range header {
		col := Column(strings.TrimSpace(name))
		if _, duplicate := index[col]; duplicate {
			addFinding(findings, 1, col, RuleHeader, "duplicate column")
		}
		if !slices.Contains(Header, col) && !slices.Contains(Optional, col) {
			unknown = append(unknown, col)
		}
		index[col] = i
	}
	var missing []Column
	for _, col := range Header {
		if _, ok := index[col]; !ok {
			missing = append(missing, col)
		}
	}
	for _, col := range unknown {
		missing = reportUnknownColumn(findings, col, missing)
	}
	for _, col := range missing {
		addFinding(findings, 1, col, RuleHeader, "column is missing")
	}
	return index, len(*findings) == countBefore
}

// maxTypoDistance is the largest edit distance at which an unknown column is taken for a
// mistyped name of a missing one.
const maxTypoDistance = 2

// reportUnknownColumn reports an unknown column. If its name is similar to that of a
// missing column, the finding suggests this one, and it is removed from the missing
// columns. The columns that are still missing are returned.
func reportUnknownColumn(findings *Findings, col Column, missing []Column) []Column {
	nearest, minDistance := -1, maxTypoDistance+1
	for i, m := range missing {
		if distance := levenshtein.ComputeDistance(string(col), string(m)); distance < minDistance {
			nearest, minDistance = i, distance
		}
	}
	if nearest < 0 {
		addFinding(findings, 1, col, RuleHeader, "unknown column")
		return missing
	}
	addFinding(findings, 1, col, RuleHeader, "unknown column, did you mean %q?", missing[nearest])
	return slices.Delete(missing, nearest, nearest+1)
}

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

// EditionOf returns the edition of a raw table, even if the table is invalid, so that a
// rejected version can be identified. It returns 0 if no edition can be read.
func EditionOf(raw []byte) uint64 {
	t, _ := decode(raw[:min(len(raw), MaxBytes)])
	if t == nil {
		return 0
	}
	return t.Edition
}
