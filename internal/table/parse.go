package table

import (
	"bytes"
	"encoding/csv"
	"io"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/agnivade/levenshtein"
	"github.com/cockroachdb/errors"
)

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

// EditionOf returns the edition of a raw table, even if the table is invalid, so that a
// rejected version can be identified. It returns 0 if no edition can be read.
func EditionOf(raw []byte) uint64 {
	t, _ := decode(raw[:min(len(raw), MaxBytes)])
	if t == nil {
		return 0
	}
	return t.Edition
}
