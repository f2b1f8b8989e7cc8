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

// maxNumber bounds weights, rates and counts; larger values are typing errors.
const maxNumber = 1e9

// Parse reads and checks a table. On success findings is empty; otherwise the
// table must not be used and findings holds every defect found.
func Parse(raw []byte) (*Table, Findings) {
	var fs Findings
	if len(raw) > MaxBytes {
		add(&fs, 0, "", RuleSize, "%d bytes, the limit is %d", len(raw), MaxBytes)
		return nil, fs
	}
	if !utf8.Valid(raw) || bytes.IndexByte(raw, 0) >= 0 {
		add(&fs, 0, "", RuleEncoding, "the file is not UTF-8 text")
		return nil, fs
	}
	t, fs := decode(raw)
	if t == nil {
		return nil, fs
	}
	fs = append(fs, check(t)...)
	if len(fs) > 0 {
		return nil, fs
	}
	return t, nil
}

// byteOrderMark is what spreadsheets put before CSV in UTF-8.
var byteOrderMark = []byte("\xef\xbb\xbf")

// decode turns CSV into typed rows and collects the defects of single cells.
func decode(raw []byte) (*Table, Findings) {
	var fs Findings
	r := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(raw, byteOrderMark)))
	r.FieldsPerRecord = -1
	r.ReuseRecord = true
	head, err := r.Read()
	if err != nil {
		add(&fs, 1, "", RuleHeader, "no header: %v", err)
		return nil, fs
	}
	index, ok := headerIndex(head, &fs)
	if !ok {
		return nil, fs
	}
	t := &Table{}
	editions := 0
	for {
		rec, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		line, _ := r.FieldPos(0)
		if err != nil {
			add(&fs, line, "", RuleEncoding, "not CSV: %v", err)
			return nil, fs
		}
		c := &cells{row: line, rec: rec, index: index, fs: &fs}
		if c.rowType() == RowTable {
			editions++
		}
		c.appendTo(t)
	}
	if editions != 1 {
		add(&fs, 0, ColRow, RuleEdition, "want exactly one %q row, found %d", RowTable, editions)
	}
	return t, fs
}

// headerIndex returns the place of each column, and whether the header is good.
func headerIndex(head []string, fs *Findings) (map[Column]int, bool) {
	index := make(map[Column]int, len(head))
	var unknown []Column
	before := len(*fs)
	for i, h := range head {
		col := Column(strings.TrimSpace(h))
		if _, twice := index[col]; twice {
			add(fs, 1, col, RuleHeader, "column stands twice")
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
		missing = addUnknown(fs, col, missing)
	}
	for _, col := range missing {
		add(fs, 1, col, RuleHeader, "column is missing")
	}
	return index, len(*fs) == before
}

// mistyped is the largest edit distance at which an unknown column is taken for
// a missing one.
const mistyped = 2

// addUnknown reports an unknown column, as one finding with the missing one that
// it most likely means, and returns the columns still missing.
func addUnknown(fs *Findings, col Column, missing []Column) []Column {
	nearest, least := -1, mistyped+1
	for i, m := range missing {
		if d := levenshtein.ComputeDistance(string(col), string(m)); d < least {
			nearest, least = i, d
		}
	}
	if nearest < 0 {
		add(fs, 1, col, RuleHeader, "unknown column")
		return missing
	}
	add(fs, 1, col, RuleHeader, "unknown column, did you mean %q?", missing[nearest])
	return slices.Delete(missing, nearest, nearest+1)
}

// cells reads the typed cells of one record and collects findings.
type cells struct {
	row   int
	rec   []string
	index map[Column]int
	fs    *Findings
}

func (c *cells) rowType() RowType { return RowType(c.text(ColRow)) }

func (c *cells) text(col Column) string {
	i, ok := c.index[col]
	if !ok || i >= len(c.rec) {
		return ""
	}
	return strings.TrimSpace(c.rec[i])
}

func (c *cells) required(col Column) string {
	s := c.text(col)
	if s == "" {
		add(c.fs, c.row, col, RuleMissing, "a value is needed")
	}
	return strings.Clone(s)
}

// name reads the name of a row. Spreadsheets take names that begin like a
// formula for one, and control characters spoil terminals and logs.
func (c *cells) name() string {
	s := c.required(ColName)
	if strings.ContainsAny(s[:min(len(s), 1)], "=+-@") {
		add(c.fs, c.row, ColName, RuleName, "%q begins like a formula", s)
	}
	if strings.ContainsFunc(s, unicode.IsControl) {
		add(c.fs, c.row, ColName, RuleName, "%q holds a control character", s)
	}
	return s
}

// number reads a finite value from 0 to maxNumber; an empty cell gives def.
func (c *cells) number(col Column, def float64) float64 {
	s := c.text(col)
	if s == "" {
		return def
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		add(c.fs, c.row, col, RuleNumber, "%q is not a number", s)
		return def
	}
	if v < 0 || v > maxNumber {
		add(c.fs, c.row, col, RuleRange, "%s is outside 0 to %g", s, maxNumber)
		return def
	}
	return v
}

func (c *cells) integer(col Column, def int) int {
	v := c.number(col, float64(def))
	if v != math.Trunc(v) {
		add(c.fs, c.row, col, RuleNumber, "%v is not a whole number", v)
		return def
	}
	return int(v)
}

func (c *cells) yesNo(col Column) bool {
	switch s := c.text(col); s {
	case "yes":
		return true
	case "no":
		return false
	default:
		add(c.fs, c.row, col, RuleIdempotency, "%q is neither yes nor no", s)
		return false
	}
}

// appendTo adds the record to the table as its row type says.
func (c *cells) appendTo(t *Table) {
	kind := c.rowType()
	allowed, ok := columnsOf[kind]
	if !ok {
		add(c.fs, c.row, ColRow, RuleRowType, "%q is none of table, service, upstream, route", kind)
		return
	}
	if len(c.rec) > len(c.index) {
		add(c.fs, c.row, "", RuleHeader, "%d cells under %d columns", len(c.rec), len(c.index))
	}
	for col := range c.index {
		if !slices.Contains(allowed, col) && c.text(col) != "" {
			add(c.fs, c.row, col, RuleUnused, "has no meaning in a %s row", kind)
		}
	}
	switch kind {
	case RowTable:
		t.Edition = c.edition()
	case RowService:
		t.Services = append(t.Services, c.service())
	case RowUpstream:
		t.Upstreams = append(t.Upstreams, c.upstream())
	case RowRoute:
		t.Routes = append(t.Routes, c.route())
	}
}

func (c *cells) edition() uint64 {
	s := c.required(ColName)
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil || v == 0 || v > MaxEdition {
		add(c.fs, c.row, ColName, RuleEdition, "%q is not an edition from 1 to %d", s, uint64(MaxEdition))
		return 0
	}
	return v
}

func (c *cells) service() Service {
	return Service{
		Row:         c.row,
		Name:        c.name(),
		Rate:        c.number(ColRate, 0),
		Concurrency: c.integer(ColConcurrency, 0),
	}
}

func (c *cells) upstream() Upstream {
	return Upstream{
		Row:         c.row,
		Name:        c.name(),
		Service:     c.required(ColService),
		Weight:      c.number(ColWeight, 1),
		Rate:        c.number(ColRate, 0),
		Concurrency: c.integer(ColConcurrency, 0),
	}
}

func (c *cells) route() Route {
	service, split := c.shares()
	return Route{
		Row:        c.row,
		Name:       c.name(),
		Service:    service,
		Upstream:   strings.Clone(c.text(ColUpstream)),
		Prefix:     c.required(ColPrefix),
		Methods:    strings.Fields(strings.ToUpper(c.text(ColMethods))),
		Kind:       c.required(ColKind),
		KindWeight: c.number(ColKindWeight, 1),
		Timeout:    time.Duration(c.integer(ColTimeout, int(DefaultTimeout/time.Millisecond))) * time.Millisecond,
		Retries:    c.integer(ColRetries, 0),
		Idempotent: c.yesNo(ColIdempotent),
		Host:       strings.ToLower(c.text(ColHost)),
		Objective:  time.Duration(c.integer(ColObjective, 0)) * time.Millisecond,
		Priority:   c.integer(ColPriority, 0),
		Split:      split,
	}
}

// shares reads the service of a route, or its split such as "blue=90 green=10".
func (c *cells) shares() (string, []Share) {
	text := c.text(ColSplit)
	if text == "" {
		return c.required(ColService), nil
	}
	if c.text(ColService) != "" {
		add(c.fs, c.row, ColSplit, RuleUnused, "the route names a service already")
	}
	var shares []Share
	for _, part := range strings.Fields(text) {
		name, value, ok := strings.Cut(part, "=")
		weight, err := strconv.ParseFloat(value, 64)
		if !ok || name == "" || err != nil || !(weight >= 0 && weight <= maxNumber) {
			add(c.fs, c.row, ColSplit, RuleNumber, "%q is not service=weight", part)
			return "", nil
		}
		shares = append(shares, Share{Service: strings.Clone(name), Weight: weight})
	}
	return shares[0].Service, shares
}

// EditionOf returns the edition of a raw table that need not be acceptable, so
// that a refused version can be named; 0 if it shows none.
func EditionOf(raw []byte) uint64 {
	t, _ := decode(raw[:min(len(raw), MaxBytes)])
	if t == nil {
		return 0
	}
	return t.Edition
}
