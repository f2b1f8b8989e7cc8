package table

import (
	"bytes"
	"encoding/csv"
	"slices"

	"github.com/cockroachdb/errors"
)

// Change is one cell that differs between two tables. A row that stands in
// only one of them gives one Change per filled cell, the other side empty.
type Change struct {
	Row    RowType `json:"row"`
	Name   string  `json:"name"`
	Column Column  `json:"column"`
	Old    string  `json:"old"`
	New    string  `json:"new"`
}

type rowKey struct {
	row  RowType
	name string
}

// Diff lists the cells in which two raw tables differ, in the order of the
// new table, then the rows that only the old one has.
func Diff(from, to []byte) ([]Change, error) {
	oldRows, oldOrder, err := rowsByKey(from)
	if err != nil {
		return nil, errors.Wrap(err, "old table")
	}
	newRows, order, err := rowsByKey(to)
	if err != nil {
		return nil, errors.Wrap(err, "new table")
	}
	for _, k := range oldOrder {
		if _, ok := newRows[k]; !ok {
			order = append(order, k)
		}
	}
	var out []Change
	for _, k := range order {
		for _, col := range slices.Concat(Header[1:], Optional) {
			before, after := oldRows[k][col], newRows[k][col]
			if before != after {
				out = append(out, Change{Row: k.row, Name: k.name, Column: col, Old: before, New: after})
			}
		}
	}
	return out, nil
}

func rowsByKey(raw []byte) (map[rowKey]map[Column]string, []rowKey, error) {
	recs, err := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(raw, byteOrderMark))).ReadAll()
	if err != nil {
		return nil, nil, err
	}
	rows := make(map[rowKey]map[Column]string, len(recs))
	var order []rowKey
	if len(recs) == 0 {
		return rows, order, nil
	}
	for _, rec := range recs[1:] {
		cell := make(map[Column]string, len(rec))
		for i, v := range rec {
			cell[Column(recs[0][i])] = v
		}
		k := rowKey{RowType(cell[ColRow]), cell[ColName]}
		if k.row == RowTable {
			k.name = "edition"
		}
		if _, twice := rows[k]; !twice {
			order = append(order, k)
		}
		rows[k] = cell
	}
	return rows, order, nil
}
