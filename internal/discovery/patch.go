package discovery

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// Nodes send each other tables as patches against the table that the requesting node
// holds, if that is shorter.

// Bounds on what is kept for nodes that are behind.
const (
	maxPatchSteps = 32
	// maxPatchStepBytes bounds the splices kept over all steps: a fifth of a table of
	// 3,300 routes.
	maxPatchStepBytes = 128 << 10
	// patchSizeDivisor sets the largest patch that is sent: the size of the table divided
	// by it. A full table deflates to a tenth of its size, while the new data of a patch
	// hardly compresses.
	patchSizeDivisor = 4
)

// splicesSince returns the splices that lead from a version to the table in force; false
// if they are not kept or too long for a patch. The lock is held.
func (f *Follower) splicesSince(base version.ID) ([]table.Splice, bool) {
	var all []table.Splice
	steps := f.tableSteps.Since(base)
	for _, s := range steps {
		all = append(all, s.Splices...)
	}
	return all, len(steps) > 0 && table.EncodedSpliceSize(all) <= len(f.document.Raw)/patchSizeDivisor
}

// patch returns the encoded patch from another version to the table in force; nil if the
// full table has to be sent. The lock is held.
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
		return nil, errors.Wrap(err, "table patch")
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

// errPatchMismatch reports a patch that does not result in the announced version.
var errPatchMismatch = errors.New("table patch does not result in the announced version")

// applyPatch returns the bytes of the table that results from a patch to base.
func applyPatch(base *Document, patch []byte, to version.ID) ([]byte, error) {
	raw, err := inflate(patch)
	if err != nil {
		return nil, err
	}
	var splices []table.Splice
	if err := cbor.Unmarshal(raw, &splices); err != nil {
		return nil, errors.Wrap(err, "table patch")
	}
	next, err := table.ApplySplices(base.Raw, splices)
	if err != nil {
		return nil, err
	}
	if version.Of(to.Edition, next) != to {
		return nil, errPatchMismatch
	}
	return next, nil
}
