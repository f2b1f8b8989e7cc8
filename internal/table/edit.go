package table

import (
	"bytes"
	"encoding/csv"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Edit sets one cell, identified by row type, row name and column, to a new value.
type Edit struct {
	Row    RowType
	Name   string
	Column Column
	Value  string
}

// ErrNoCell reports an edit of a cell that the table does not have.
var ErrNoCell = errors.New("no such cell")

// ApplyEdits returns the raw table with the edits made and the edition incremented. All
// other cells keep their values. The result is not checked: call Parse on it. If a cell
// does not exist, the error is ErrNoCell.
func ApplyEdits(raw []byte, edits ...Edit) ([]byte, error) {
	records, err := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(raw, byteOrderMark))).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "read table")
	}
	if len(records) == 0 {
		return nil, errors.Wrap(ErrNoCell, "empty table")
	}
	var findings Findings
	index, ok := headerIndex(records[0], &findings)
	if !ok {
		return nil, findings
	}
	for _, e := range edits {
		if err := setCell(records, index, e); err != nil {
			return nil, err
		}
	}
	if err := incrementEdition(records, index); err != nil {
		return nil, err
	}
	return encodeCSV(records)
}

func setCell(records [][]string, index map[Column]int, e Edit) error {
	col, ok := index[e.Column]
	if !ok {
		return errors.Wrapf(ErrNoCell, "column %q", e.Column)
	}
	for _, record := range records[1:] {
		if record[index[ColRow]] == string(e.Row) && record[index[ColName]] == e.Name {
			record[col] = e.Value
			return nil
		}
	}
	return errors.Wrapf(ErrNoCell, "row %s %q", e.Row, e.Name)
}

func incrementEdition(records [][]string, index map[Column]int) error {
	for _, record := range records[1:] {
		if record[index[ColRow]] != string(RowTable) {
			continue
		}
		edition, err := strconv.ParseUint(record[index[ColName]], 10, 64)
		if err != nil {
			return errors.Wrap(err, "edition")
		}
		record[index[ColName]] = strconv.FormatUint(edition+1, 10)
		return nil
	}
	return errors.Wrapf(ErrNoCell, "row %s", RowTable)
}

func encodeCSV(records [][]string) ([]byte, error) {
	var buf bytes.Buffer
	w := csv.NewWriter(&buf)
	if err := w.WriteAll(records); err != nil {
		return nil, errors.Wrap(err, "write table")
	}
	return buf.Bytes(), nil
}
