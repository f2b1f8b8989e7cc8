package table

import (
	"bytes"
	"encoding/csv"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Edit names one cell and its new value.
type Edit struct {
	Row    RowType
	Name   string
	Column Column
	Value  string
}

// ErrNoCell reports an edit of a cell that the table does not have.
var ErrNoCell = errors.New("no such cell")

// Set returns the raw table with the cell changed and the edition raised by
// one. It leaves all other lines as they are. The result is not checked: call
// Parse on it.
func Set(raw []byte, edits ...Edit) ([]byte, error) {
	recs, err := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(raw, byteOrderMark))).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "read table")
	}
	if len(recs) == 0 {
		return nil, errors.Wrap(ErrNoCell, "empty table")
	}
	var fs Findings
	index, ok := headerIndex(recs[0], &fs)
	if !ok {
		return nil, fs
	}
	for _, e := range edits {
		if err := setCell(recs, index, e); err != nil {
			return nil, err
		}
	}
	if err := raiseEdition(recs, index); err != nil {
		return nil, err
	}
	return encode(recs)
}

func setCell(recs [][]string, index map[Column]int, e Edit) error {
	col, ok := index[e.Column]
	if !ok {
		return errors.Wrapf(ErrNoCell, "column %q", e.Column)
	}
	for _, rec := range recs[1:] {
		if rec[index[ColRow]] == string(e.Row) && rec[index[ColName]] == e.Name {
			rec[col] = e.Value
			return nil
		}
	}
	return errors.Wrapf(ErrNoCell, "row %s %q", e.Row, e.Name)
}

func raiseEdition(recs [][]string, index map[Column]int) error {
	for _, rec := range recs[1:] {
		if rec[index[ColRow]] != string(RowTable) {
			continue
		}
		n, err := strconv.ParseUint(rec[index[ColName]], 10, 64)
		if err != nil {
			return errors.Wrap(err, "edition")
		}
		rec[index[ColName]] = strconv.FormatUint(n+1, 10)
		return nil
	}
	return errors.Wrapf(ErrNoCell, "row %s", RowTable)
}

func encode(recs [][]string) ([]byte, error) {
	var buf bytes.Buffer
	w := csv.NewWriter(&buf)
	if err := w.WriteAll(recs); err != nil {
		return nil, errors.Wrap(err, "write table")
	}
	return buf.Bytes(), nil
}
