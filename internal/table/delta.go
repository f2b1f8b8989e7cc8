package table

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// Splice turns one raw table into another: keep Prefix bytes, skip Delete
// bytes, insert Insert, keep the rest. Nodes send it in place of a whole
// table; the receiver checks the digest of the result.
type Splice struct {
	Prefix uint32 `cbor:"1,keyasint"`
	Delete uint32 `cbor:"2,keyasint"`
	Insert []byte `cbor:"3,keyasint"`
}

// ErrSplice reports a splice that does not fit the table it is applied to.
var ErrSplice = errors.New("splice does not fit the table")

// Between returns one splice for each separate run of changed lines, in
// order, so that applying them one after another turns from into to. Tables
// with equal line counts are compared line by line; otherwise one splice spans
// everything between the common first and last lines.
func Between(from, to []byte) []Splice {
	a, b := bytes.SplitAfter(from, []byte("\n")), bytes.SplitAfter(to, []byte("\n"))
	if len(a) != len(b) {
		return []Splice{trimmed(from, to)}
	}
	var out []Splice
	at := 0
	for i := 0; i < len(a); {
		if bytes.Equal(a[i], b[i]) {
			at += len(b[i])
			i++
			continue
		}
		s := Splice{Prefix: uint32(at)}
		for i < len(a) && !bytes.Equal(a[i], b[i]) {
			s.Delete += uint32(len(a[i]))
			s.Insert = append(s.Insert, b[i]...)
			i++
		}
		at += len(s.Insert)
		out = append(out, s)
	}
	return out
}

func trimmed(from, to []byte) Splice {
	limit := min(len(from), len(to))
	pre := 0
	for pre < limit && from[pre] == to[pre] {
		pre++
	}
	post := 0
	for post < limit-pre && from[len(from)-1-post] == to[len(to)-1-post] {
		post++
	}
	return Splice{
		Prefix: uint32(pre),
		Delete: uint32(len(from) - pre - post),
		Insert: bytes.Clone(to[pre : len(to)-post]),
	}
}

// Apply returns raw with the splices carried out one after another. The result
// never exceeds MaxBytes.
func Apply(raw []byte, splices []Splice) ([]byte, error) {
	for _, s := range splices {
		end := uint64(s.Prefix) + uint64(s.Delete)
		if end > uint64(len(raw)) {
			return nil, errors.Wrapf(ErrSplice, "bytes %d to %d of %d", s.Prefix, end, len(raw))
		}
		size := len(raw) - int(s.Delete) + len(s.Insert)
		if size > MaxBytes {
			return nil, errors.Wrapf(ErrSplice, "result of %d bytes", size)
		}
		next := make([]byte, 0, size)
		next = append(next, raw[:s.Prefix]...)
		next = append(next, s.Insert...)
		raw = append(next, raw[end:]...)
	}
	return raw, nil
}
