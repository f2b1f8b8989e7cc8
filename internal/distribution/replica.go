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
	maxSteps    = 64       // steps kept for neighbours that are behind
	maxStepSize = 64 << 10 // bytes of splices kept over all steps
	maxRefused  = 16       // refused versions remembered
	maxDeltaLen = 8 << 10  // longest delta pushed unasked; beyond it a digest offers the version
	wantTimeout = 2 * time.Second
)

// Checked is a document that passed its check. Commit puts it in force.
type Checked struct {
	ID     version.ID
	Commit func()
}

// Check decides about a whole document. An error means that it is refused. It
// must be deterministic, so that all nodes decide alike; the ID is valid even
// then if the document could be identified.
type Check func(raw []byte) (Checked, error)

// Refusal is a version that the check refused.
type Refusal struct {
	ID   version.ID
	From string
	Err  error
}

// replica holds one document and decides what to take, ask for and send.
type replica struct {
	doc     Doc
	check   Check
	held    version.ID
	raw     []byte
	whole   []byte // compressed raw, made when first needed
	since   time.Time
	from    string
	steps   table.Steps           // for neighbours that are behind
	known   map[string]version.ID // what each neighbour is known to hold
	refused []Refusal
	wanted  time.Time // when the last Want went out
	asked   string    // whom it went to
}

func newReplica(doc Doc, check Check) *replica {
	return &replica{
		doc:   doc,
		check: check,
		steps: table.Steps{MaxSteps: maxSteps, MaxBytes: maxStepSize},
		known: make(map[string]version.ID),
	}
}

// offer takes a whole document. It reports the document's ID and whether the
// replica advanced; err is the reason for a refusal.
func (r *replica) offer(now time.Time, from string, raw []byte) (version.ID, bool, error) {
	doc, err := r.check(raw)
	if err != nil {
		r.refuse(Refusal{ID: doc.ID, From: from, Err: err})
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
		r.steps.Add(table.Step{From: r.held, To: id, Splices: table.Between(r.raw, raw)})
	}
	r.held, r.raw, r.whole = id, raw, nil
	r.since, r.from = now, from
	r.wanted = time.Time{}
}

func (r *replica) refusal(id version.ID) *Refusal {
	for i := range r.refused {
		if r.refused[i].ID == id {
			return &r.refused[i]
		}
	}
	return nil
}

func (r *replica) refuse(f Refusal) {
	if r.refusal(f.ID) != nil {
		return
	}
	r.refused = append(r.refused, f)
	if len(r.refused) > maxRefused {
		r.refused = slices.Delete(r.refused, 0, 1)
	}
}

// lastRefusal returns the newest refusal of a version that would be newer
// than the held one, or nil.
func (r *replica) lastRefusal() *Refusal {
	for i := len(r.refused) - 1; i >= 0; i-- {
		if r.refused[i].ID.Newer(r.held) {
			return &r.refused[i]
		}
	}
	return nil
}

// update handles an Update from a neighbour. It reports whether the replica
// advanced, and the want to send back if the update cannot be used.
func (r *replica) update(now time.Time, from string, u Update) (bool, *Want, error) {
	r.learn(from, u.To)
	if !u.To.Newer(r.held) || r.refusal(u.To) != nil {
		return false, nil, nil
	}
	raw, err := r.restore(u)
	if err != nil {
		return false, r.want(now, from), err
	}
	if raw == nil {
		return false, r.want(now, from), nil
	}
	if err := r.matches(u.To, raw); err != nil {
		return false, r.want(now, from), err
	}
	_, advanced, err := r.offer(now, from, raw)
	return advanced, nil, err
}

// restore returns the bytes of an update, nil if it starts from a version
// that is not held.
func (r *replica) restore(u Update) ([]byte, error) {
	if u.From.IsZero() {
		return decompress(u.Full)
	}
	if u.From != r.held {
		return nil, nil
	}
	return table.Apply(r.raw, u.Splices)
}

// matches tests restored bytes against the announced digest before they are
// parsed.
func (r *replica) matches(id version.ID, raw []byte) error {
	if got := version.Of(id.Edition, raw); got != id {
		return errors.Newf("%s: content is %v, announced as %v", r.doc, got, id)
	}
	return nil
}

// learn notes that a neighbour holds at least id.
func (r *replica) learn(peer string, id version.ID) {
	if id.Newer(r.known[peer]) {
		r.known[peer] = id
	}
}

// want returns a Want for the neighbour, unless one is under way already.
func (r *replica) want(now time.Time, from string) *Want {
	if !r.wanted.IsZero() && now.Sub(r.wanted) < wantTimeout {
		return nil
	}
	r.wanted, r.asked = now, from
	return &Want{Doc: r.doc, Have: r.held}
}

// digest handles what a neighbour says it holds and returns a Want if that is
// newer.
func (r *replica) digest(now time.Time, from string, id version.ID) *Want {
	// Unlike learn this may lower the known version: the neighbour may have
	// restarted empty.
	r.known[from] = id
	if !id.Newer(r.held) || r.refusal(id) != nil {
		return nil
	}
	return r.want(now, from)
}

// answer returns the updates that bring a neighbour from have to the held
// version: the steps if all are kept, else the whole document.
func (r *replica) answer(have version.ID) []Update {
	if !r.held.Newer(have) {
		return nil
	}
	if chain := r.chain(have); chain != nil {
		return chain
	}
	if r.whole == nil {
		r.whole = compress(r.raw)
	}
	return []Update{{Doc: r.doc, To: r.held, Full: r.whole}}
}

// chain returns the kept steps from have to the held version, or nil.
func (r *replica) chain(have version.ID) []Update {
	if have.IsZero() {
		return nil
	}
	var out []Update
	for _, s := range r.steps.Since(have) {
		out = append(out, Update{Doc: r.doc, From: s.From, To: s.To, Splices: s.Splices})
	}
	return out
}

// push returns the updates to send unasked to a neighbour after an advance,
// nil if it holds the version already, and whether a digest is to be sent
// instead because the delta is long or not kept.
func (r *replica) push(peer string) (updates []Update, offer bool) {
	have := r.known[peer]
	if !r.held.Newer(have) {
		return nil, false
	}
	chain := r.chain(have)
	if chain == nil {
		return nil, true
	}
	size := 0
	for _, u := range chain {
		size += table.SpliceBytes(u.Splices)
	}
	if size > maxDeltaLen {
		return nil, true
	}
	r.known[peer] = r.held
	return chain, false
}

func (r *replica) forget(peer string) {
	delete(r.known, peer)
	if r.asked == peer {
		r.wanted = time.Time{}
	}
}

// zstd coders are stateless for whole buffers and safe for concurrent use.
// Concurrency 1 keeps their memory small.
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
