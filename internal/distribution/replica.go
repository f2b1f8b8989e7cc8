package distribution

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// Bounds of one replica.
const (
	maxDeltas     = 64       // deltas kept for neighbours that are behind
	maxDeltaBytes = 64 << 10 // bytes of splices kept over all deltas
	maxRefusals   = 16       // rejected versions remembered
	// maxPushedDelta is the maximum size in bytes of splices that are pushed unrequested;
	// a longer delta is only announced by a digest.
	maxPushedDelta = 8 << 10
	wantTimeout    = 2 * time.Second
)

// Checked is a document that passed its check. Commit puts it in force.
type Checked struct {
	ID     version.ID
	Commit func()
}

// Check validates a full document. An error means that the document is rejected. It must
// be deterministic, so that all nodes decide alike; the ID is valid even with an error if
// the document could be identified.
type Check func(raw []byte) (Checked, error)

// Refusal is a version that failed its check.
type Refusal struct {
	ID   version.ID
	From string
	Err  error
}

// replica holds one document and decides which versions to apply, request and send.
type replica struct {
	doc          Doc
	check        Check
	held         version.ID
	raw          []byte
	compressed   []byte // raw compressed, created when first needed
	since        time.Time
	from         string
	deltas       table.RecentSteps     // kept for neighbours that are behind
	peerVersions map[string]version.ID // the version each neighbour is known to hold
	refusals     []Refusal
	wantSent     time.Time // when the last Want was sent; zero if none is outstanding
	wantSentTo   string    // the neighbour it was sent to
}

func newReplica(doc Doc, check Check) *replica {
	return &replica{
		doc:          doc,
		check:        check,
		deltas:       table.RecentSteps{MaxSteps: maxDeltas, MaxBytes: maxDeltaBytes},
		peerVersions: make(map[string]version.ID),
	}
}

// apply checks a full document and puts it in force if it is newer. It returns the
// document's ID and whether the held version advanced; err is the reason for a rejection.
func (r *replica) apply(now time.Time, from string, raw []byte) (version.ID, bool, error) {
	doc, err := r.check(raw)
	if err != nil {
		r.recordRefusal(Refusal{ID: doc.ID, From: from, Err: err})
		return doc.ID, false, err
	}
	if !doc.ID.Newer(r.held) {
		return doc.ID, false, nil
	}
	doc.Commit()
	r.advance(now, from, doc.ID, raw)
	return doc.ID, true, nil
}

func (r *replica) advance(now time.Time, from string, id version.ID, raw []byte) {
	if !r.held.IsZero() {
		r.deltas.Add(table.Step{From: r.held, To: id, Splices: table.ComputeSplices(r.raw, raw)})
	}
	r.held, r.raw, r.compressed = id, raw, nil
	r.since, r.from = now, from
	r.wantSent = time.Time{}
}

func (r *replica) refusalOf(id version.ID) *Refusal {
	for i := range r.refusals {
		if r.refusals[i].ID == id {
			return &r.refusals[i]
		}
	}
	return nil
}

func (r *replica) recordRefusal(f Refusal) {
	if r.refusalOf(f.ID) != nil {
		return
	}
	r.refusals = append(r.refusals, f)
	if len(r.refusals) > maxRefusals {
		r.refusals = slices.Delete(r.refusals, 0, 1)
	}
}

// lastRefusal returns the latest rejection of a version newer than the held one, or nil.
func (r *replica) lastRefusal() *Refusal {
	for i := len(r.refusals) - 1; i >= 0; i-- {
		if r.refusals[i].ID.Newer(r.held) {
			return &r.refusals[i]
		}
	}
	return nil
}

// handleUpdate handles an Update from a neighbour. It reports whether the held version
// advanced, and returns the Want to send back if the update can't be used.
func (r *replica) handleUpdate(now time.Time, from string, u Update) (bool, *Want, error) {
	r.notePeerVersion(from, u.To)
	if !u.To.Newer(r.held) || r.refusalOf(u.To) != nil {
		return false, nil, nil
	}
	raw, err := r.decodeUpdate(u)
	if err != nil {
		return false, r.makeWant(now, from), err
	}
	if raw == nil {
		return false, r.makeWant(now, from), nil
	}
	if err := r.verifyDigest(u.To, raw); err != nil {
		return false, r.makeWant(now, from), err
	}
	_, advanced, err := r.apply(now, from, raw)
	return advanced, nil, err
}

// decodeUpdate returns the document that results from an update, or nil if the update
// starts from a version that is not held.
func (r *replica) decodeUpdate(u Update) ([]byte, error) {
	if u.From.IsZero() {
		return decompress(u.Full)
	}
	if u.From != r.held {
		return nil, nil
	}
	return table.ApplySplices(r.raw, u.Splices)
}

// verifyDigest compares a decoded document with its announced version before it is
// parsed.
func (r *replica) verifyDigest(id version.ID, raw []byte) error {
	if got := version.Of(id.Edition, raw); got != id {
		return errors.Newf("%s: content is %v, announced as %v", r.doc, got, id)
	}
	return nil
}

// notePeerVersion records that a neighbour holds at least the version id.
func (r *replica) notePeerVersion(peer string, id version.ID) {
	if id.Newer(r.peerVersions[peer]) {
		r.peerVersions[peer] = id
	}
}

// makeWant returns a Want for the neighbour, or nil if one is outstanding.
func (r *replica) makeWant(now time.Time, from string) *Want {
	if !r.wantSent.IsZero() && now.Sub(r.wantSent) < wantTimeout {
		return nil
	}
	r.wantSent, r.wantSentTo = now, from
	return &Want{Doc: r.doc, Have: r.held}
}

// handleDigest records the version that a neighbour holds, and returns a Want if it is
// newer.
func (r *replica) handleDigest(now time.Time, from string, id version.ID) *Want {
	// Unlike notePeerVersion this may lower the known version: the neighbour may have
	// restarted without data.
	r.peerVersions[from] = id
	if !id.Newer(r.held) || r.refusalOf(id) != nil {
		return nil
	}
	return r.makeWant(now, from)
}

// updatesSince returns the updates that bring a neighbour from have to the held version:
// the deltas if all are kept, else the full document.
func (r *replica) updatesSince(have version.ID) []Update {
	if !r.held.Newer(have) {
		return nil
	}
	if deltas := r.deltasSince(have); deltas != nil {
		return deltas
	}
	if r.compressed == nil {
		r.compressed = compress(r.raw)
	}
	return []Update{{Doc: r.doc, To: r.held, Full: r.compressed}}
}

// deltasSince returns the kept deltas from have to the held version, or nil.
func (r *replica) deltasSince(have version.ID) []Update {
	if have.IsZero() {
		return nil
	}
	var out []Update
	for _, s := range r.deltas.Since(have) {
		out = append(out, Update{Doc: r.doc, From: s.From, To: s.To, Splices: s.Splices})
	}
	return out
}

// pushUpdates returns the updates to push to a neighbour after an advance, or nil if it
// holds the version already. offer means that a digest is to be sent instead, because the
// delta is too long or not kept.
func (r *replica) pushUpdates(peer string) (updates []Update, offer bool) {
	have := r.peerVersions[peer]
	if !r.held.Newer(have) {
		return nil, false
	}
	deltas := r.deltasSince(have)
	if deltas == nil {
		return nil, true
	}
	size := 0
	for _, u := range deltas {
		size += table.EncodedSpliceSize(u.Splices)
	}
	if size > maxPushedDelta {
		return nil, true
	}
	r.peerVersions[peer] = r.held
	return deltas, false
}

func (r *replica) forgetPeer(peer string) {
	delete(r.peerVersions, peer)
	if r.wantSentTo == peer {
		r.wantSent = time.Time{}
	}
}

// zstd coders are stateless for complete buffers and safe for concurrent use. Concurrency
// 1 limits their memory.
var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(1<<20))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(table.MaxBytes), zstd.WithDecoderLowmem(true))
)

func compress(raw []byte) []byte { return encoder.EncodeAll(raw, nil) }

func decompress(b []byte) ([]byte, error) {
	raw, err := decoder.DecodeAll(b, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(raw) > table.MaxBytes {
		return nil, errors.Newf("document of %d bytes", len(raw))
	}
	return raw, nil
}
