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

// Cursor marks how much of a node's known state another node has received.
type Cursor struct {
	// Epoch identifies one run of the node.
	Epoch    uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// PeerRequest requests a peer update.
type PeerRequest struct {
	After Cursor     `cbor:"1,keyasint"`
	Table version.ID `cbor:"2,keyasint"` // held by the requesting node
	// IncludeTable asks for the newer table itself, not only for its ID.
	IncludeTable bool `cbor:"3,keyasint,omitempty"`
	// AcceptPatch says that the requesting node accepts a patch in place of a full table;
	// nodes of earlier builds do not.
	AcceptPatch bool `cbor:"5,keyasint,omitempty"`
	// Link is the link rate of the requesting node. LinksHash is the hash of the link
	// rates of reader candidates that it knows, and Links are these rates if the other
	// node's last hash differed.
	Link      NodeLink   `cbor:"6,keyasint,omitempty"`
	LinksHash uint64     `cbor:"7,keyasint,omitempty"`
	Links     []NodeLink `cbor:"8,keyasint,omitempty"`
	// LinksOnly asks for link rates only, without waiting.
	LinksOnly bool `cbor:"9,keyasint,omitempty"`
	// Revision is the store's revision up to which the requesting node knows everything,
	// from whatever source. On its first request to a node it gets only the changes after
	// it.
	Revision uint64 `cbor:"10,keyasint,omitempty"`
	// Age is the staleness of the requesting node when it sent the request.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// PeerUpdate is the known state that the requesting node lacks. Decoders ignore unknown
// fields, so that a fleet can be upgraded node by node.
type PeerUpdate struct {
	Cursor Cursor `cbor:"1,keyasint"`
	// Revision is the store's revision up to which the sender knows everything.
	Revision uint64 `cbor:"2,keyasint"`
	// Age is the sender's staleness when it responded.
	Age   time.Duration `cbor:"3,keyasint"`
	Table version.ID    `cbor:"4,keyasint"` // held by the sender
	// Document is the sender's table, deflated; empty if not requested or not known.
	Document []byte `cbor:"5,keyasint,omitempty"`
	// Full says that Upstreams has all upstreams that the sender knows.
	Full      bool       `cbor:"6,keyasint,omitempty"`
	Upstreams []Upstream `cbor:"7,keyasint,omitempty"`
	Removed   []Removal  `cbor:"8,keyasint,omitempty"`
	// HoldTime is how long the sender held the request open. From it the requesting node
	// computes the earliest time at which the sender can have responded, whatever the
	// network time was.
	HoldTime time.Duration `cbor:"9,keyasint,omitempty"`
	// Outage says that the store was unreachable for the sender recently.
	Outage bool `cbor:"10,keyasint,omitempty"`
	// Evacuations are the evacuations of data centres. HasEvacuations says that the
	// sender reports them at all; nodes of earlier builds do not.
	Evacuations    []Evacuation `cbor:"11,keyasint,omitempty"`
	HasEvacuations bool         `cbor:"12,keyasint,omitempty"`
	// Patch is the patch from the table version Base to the sender's table, in place of
	// Document: splices, encoded and deflated.
	Patch []byte     `cbor:"13,keyasint,omitempty"`
	Base  version.ID `cbor:"14,keyasint,omitempty"`
	// Links are the link rates of reader candidates that the sender knows, if the
	// requesting node's differ; LinksHash is their hash.
	Links     []NodeLink `cbor:"15,keyasint,omitempty"`
	LinksHash uint64     `cbor:"16,keyasint,omitempty"`
}

// unknownStaleness is the staleness of a node that does not know the store's state yet.
const unknownStaleness = time.Duration(math.MaxInt64)

// maxPeerMessageBytes bounds the encoded peer messages that are read: a table that does
// not compress and some thousand upstreams.
const maxPeerMessageBytes = table.MaxBytes + 1<<20

// deflate compresses a table. The stateless encoder keeps no memory between tables, which
// change rarely.
func deflate(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	err := kflate.StatelessDeflate(&out, raw, true, nil)
	return out.Bytes(), errors.Wrap(err, "deflate table")
}

// inflate decompresses what deflate returned.
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
