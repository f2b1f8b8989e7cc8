package table

import (
	"bytes"
	"encoding/csv"
	"slices"

	"github.com/cockroachdb/errors"
)

// Change is one cell that differs between two tables. For a row that only one of the
// tables has, there is a Change for each cell with a value, and Old or New is empty.
type Change struct {
	Row    RowType `json:"row"`
	Name   string  `json:"name"`
	Column Column  `json:"column"`
	Old    string  `json:"old"`
	New    string  `json:"new"`
}

// rowKey identifies the same row in two versions of a table.
type rowKey struct {
	row  RowType
	name string
}

// Diff returns the cells in which two raw tables differ: first those of the new table, in
// its order, then those of the rows that only the old table has.
func Diff(from, to []byte) ([]Change, error) {
	oldRows, oldOrder, err := rowsByKey(from)
	if err != nil {
		return nil, errors.Wrap(err, "old table")
	}
	newRows, order, err := rowsByKey(to)
	if err != nil {
		return nil, errors.Wrap(err, "new table")
	}
	for _, key := range oldOrder {
		if _, ok := newRows[key]; !ok {
			order = append(order, key)
		}
	}
	var out []Change
	for _, key := range order {
		for _, col := range slices.Concat(Header[1:], Optional) {
			before, after := oldRows[key][col], newRows[key][col]
			if before != after {
				out = append(out, Change{Row: key.row, Name: key.name, Column: col, Old: before, New: after})
			}
		}
	}
	return out, nil
}

// rowsByKey returns the cells of each row, and the keys in the order of the table. Since
// the name of a RowTable row is the edition, which changes with every version, such a row
// always has the name "edition" in its key.
func rowsByKey(raw []byte) (map[rowKey]map[Column]string, []rowKey, error) {
	records, err := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(raw, byteOrderMark))).ReadAll()
	if err != nil {
		return nil, nil, err
	}
	rows := make(map[rowKey]map[Column]string, len(records))
	var order []rowKey
	if len(records) == 0 {
		return rows, order, nil
	}
	for _, record := range records[1:] {
		cells := make(map[Column]string, len(record))
		for i, v := range record {
			cells[Column(records[0][i])] = v
		}
		key := rowKey{RowType(cells[ColRow]), cells[ColName]}
		if key.row == RowTable {
			key.name = "edition"
		}
		if _, duplicate := rows[key]; !duplicate {
			order = append(order, key)
		}
		rows[key] = cells
	}
	return rows, order, nil
}
