package discovery

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// Tables travel between nodes as the difference against the one that the asking node
// holds, where that is shorter.

// Bounds of what is kept for nodes that are behind.
const (
	maxSteps = 32
	// maxStepBytes bounds the splices kept over all steps: a fifth of a table of
	// 3,300 routes.
	maxStepBytes = 128 << 10
	// patchShare is the part of a table from which on its difference is sent no more,
	// as a divisor: deflated, a whole table takes a tenth of its length, and what is
	// new of one hardly less than itself.
	patchShare = 4
)

// step is one advance of the table in force.
type step struct {
	from, to version.ID
	splices  []table.Splice
	size     int // bytes
}

// steps are the last advances, each from where the one before led.
type steps []step

// spliceOverhead approximates the encoded size of a splice without its bytes.
const spliceOverhead = 12

// add appends an advance and forgets what is too much.
func (s *steps) add(from, to *Document) {
	next := step{from: from.ID, to: to.ID, splices: table.Between(from.Raw, to.Raw)}
	for _, splice := range next.splices {
		next.size += len(splice.Insert) + spliceOverhead
	}
	*s = append(*s, next)
	for len(*s) > maxSteps || s.size(0) > maxStepBytes {
		*s = (*s)[1:]
	}
}

// size is that of the steps from a place on.
func (s *steps) size(from int) int {
	total := 0
	for _, one := range (*s)[from:] {
		total += one.size
	}
	return total
}

// since returns the splices that lead from a version to the last one, a table of a
// length, and whether they are known and short beside it.
func (s *steps) since(base version.ID, length int) ([]table.Splice, bool) {
	for i, one := range *s {
		if one.from != base {
			continue
		}
		if s.size(i) > length/patchShare {
			return nil, false
		}
		var all []table.Splice
		for _, later := range (*s)[i:] {
			all = append(all, later.splices...)
		}
		return all, true
	}
	return nil, false
}

// patch returns the encoded difference of the table in force against another; nil if
// the whole one has to be sent. The lock is held.
func (f *Follower) patch(base version.ID) ([]byte, error) {
	if p, ok := f.patches[base]; ok {
		return p, nil
	}
	splices, ok := f.steps.since(base, len(f.document.Raw))
	if !ok {
		return nil, nil
	}
	raw, err := encode("difference of tables", splices)
	if err != nil {
		return nil, err
	}
	if raw, err = deflate(raw); err != nil {
		return nil, err
	}
	if f.patches == nil {
		f.patches = make(map[version.ID][]byte)
	}
	f.patches[base] = raw
	return raw, nil
}

// errPatch reports a difference that does not lead to the version that it should.
var errPatch = errors.New("difference of tables does not fit")

// applyPatch returns the bytes of the table to which a difference leads from a base.
func applyPatch(base *Document, patch []byte, to version.ID) ([]byte, error) {
	raw, err := inflate(patch)
	if err != nil {
		return nil, err
	}
	var splices []table.Splice
	if err := decode("difference of tables", bytes.NewReader(raw), &splices); err != nil {
		return nil, err
	}
	next, err := table.Apply(base.Raw, splices)
	if err != nil {
		return nil, err
	}
	if version.Of(to.Edition, next) != to {
		return nil, errPatch
	}
	return next, nil
}
