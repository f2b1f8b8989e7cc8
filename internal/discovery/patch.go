package discovery

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

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

// splicesSince returns the splices that lead from a version to the table in force; false
// if they are not kept or not short beside it. The lock is held.
func (f *Follower) splicesSince(base version.ID) ([]table.Splice, bool) {
	var all []table.Splice
	steps := f.steps.Since(base)
	for _, s := range steps {
		all = append(all, s.Splices...)
	}
	return all, len(steps) > 0 && table.SpliceBytes(all) <= len(f.document.Raw)/patchShare
}

// patch returns the encoded difference of the table in force against another; nil if
// the whole one has to be sent. The lock is held.
func (f *Follower) patch(base version.ID) ([]byte, error) {
	if p, ok := f.patches[base]; ok {
		return p, nil
	}
	splices, ok := f.splicesSince(base)
	if !ok {
		return nil, nil
	}
	raw, err := cbor.Marshal(splices)
	if err != nil {
		return nil, errors.Wrap(err, "difference of tables")
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
	if err := cbor.Unmarshal(raw, &splices); err != nil {
		return nil, errors.Wrap(err, "difference of tables")
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
