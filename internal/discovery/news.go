package discovery

import (
	"bytes"
	"compress/flate"
	"io"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	kflate "github.com/klauspost/compress/flate"

	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// Cursor marks how much of a node's news another one has.
type Cursor struct {
	// Epoch tells one run of the node from another.
	Epoch    uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// PeerRequest asks a node for its news.
type PeerRequest struct {
	After Cursor     `cbor:"1,keyasint"`
	Table version.ID `cbor:"2,keyasint"` // held by the asking node
	// IncludeTable asks for the newer table itself, not only for its ID.
	IncludeTable bool `cbor:"3,keyasint,omitempty"`
	// AcceptPatch says that the asking node takes the difference of a table in place of a
	// whole one; one of an earlier build does not.
	AcceptPatch bool `cbor:"5,keyasint,omitempty"`
	// Link is that of the asking node. LinksHash is that of the links that it knows of
	// candidates for readers, and Links are these, where the asked node knew others.
	Link      NodeLink   `cbor:"6,keyasint,omitempty"`
	LinksHash uint64     `cbor:"7,keyasint,omitempty"`
	Links     []NodeLink `cbor:"8,keyasint,omitempty"`
	// LinksOnly asks for nothing else, at once.
	LinksOnly bool `cbor:"9,keyasint,omitempty"`
	// Revision is that of the store up to which the asking node knows all, whoever told it:
	// one that asks for the first time is told what came after it.
	Revision uint64 `cbor:"10,keyasint,omitempty"`
	// Age is how old what the asking node knows was when it asked.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// PeerUpdate is what a node believes and the asking one does not know yet. Fields that
// are not known are passed over, so that a fleet is upgraded node by node.
type PeerUpdate struct {
	Cursor Cursor `cbor:"1,keyasint"`
	// Revision is that of the store, up to which the sender knows all.
	Revision uint64 `cbor:"2,keyasint"`
	// Age is how long ago, when the sender answered, that was certainly all that
	// there was.
	Age   time.Duration `cbor:"3,keyasint"`
	Table version.ID    `cbor:"4,keyasint"` // held by the sender
	// Document is the sender's table, deflated; empty if not asked for or known.
	Document []byte `cbor:"5,keyasint,omitempty"`
	// Full says that Upstreams has all that the sender believes.
	Full      bool       `cbor:"6,keyasint,omitempty"`
	Upstreams []Upstream `cbor:"7,keyasint,omitempty"`
	Removed   []Removal  `cbor:"8,keyasint,omitempty"`
	// HoldTime is how long the sender kept the question, so that the asking node knows
	// when it was answered at the earliest, whatever the way took.
	HoldTime time.Duration `cbor:"9,keyasint,omitempty"`
	// Outage says that the store was away for the sender a short while ago.
	Outage bool `cbor:"10,keyasint,omitempty"`
	// Evacuations are orders of operators. Orders says that they are told at all,
	// which nodes of earlier builds do not.
	Evacuations    []Evacuation `cbor:"11,keyasint,omitempty"`
	HasEvacuations bool         `cbor:"12,keyasint,omitempty"`
	// Patch is the difference of the sender's table against Base, in place of
	// Document: splices, encoded and deflated.
	Patch []byte     `cbor:"13,keyasint,omitempty"`
	Base  version.ID `cbor:"14,keyasint,omitempty"`
	// Links are the links that the sender knows of candidates for readers, where the
	// asking node knows others, and LinksHash is theirs.
	Links     []NodeLink `cbor:"15,keyasint,omitempty"`
	LinksHash uint64     `cbor:"16,keyasint,omitempty"`
}

// unknownAge is News.Age of a node that does not know yet what there is.
const unknownAge = time.Duration(math.MaxInt64)

// maxNews bounds the encoded news that is read: a table that does not compress
// and some thousand upstreams.
const maxNews = table.MaxBytes + 1<<20

// deflate compresses a table. The stateless coder keeps no memory between
// tables, which come seldom.
func deflate(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	err := kflate.StatelessDeflate(&out, raw, true, nil)
	return out.Bytes(), errors.Wrap(err, "deflate table")
}

// inflate undoes deflate.
func inflate(b []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), table.MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "inflate table")
	}
	if len(raw) > table.MaxBytes {
		return nil, errors.Newf("table of more than %d bytes", table.MaxBytes)
	}
	return raw, nil
}
