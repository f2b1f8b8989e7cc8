// Package distribution propagates the table and the instance list from the nodes that
// read the platform to all other nodes.
//
// Its core is a set of state machines without I/O, goroutines or clocks: replica orders
// the versions of one document and repairs gaps, queryTracker answers status queries over
// the overlay, and Engine combines them with the membership view. Engine takes events and
// returns the messages to send; Service owns the sockets and executes them. Invariants: a
// replica's held version never goes back, and a document is applied only in full and only
// if its check accepts it.
package distribution

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// ProtocolVersion is sent in every message. A receiver ignores fields it does not know,
// so that a fleet can be upgraded node by node.
const ProtocolVersion = 1

// MaxMessage is the maximum size of an encoded message in bytes: a full, incompressible
// table plus the envelope.
const MaxMessage = table.MaxBytes + 64<<10

// Doc identifies a distributed document.
type Doc uint8

// Distributed documents.
const (
	DocTable Doc = iota
	DocList
	docCount
)

// String returns the lower-case name of the document.
func (d Doc) String() string { return [...]string{"table", "list", "unknown"}[min(d, docCount)] }

// Message is the envelope of everything sent on a control link. Any combination of its
// parts may be set.
type Message struct {
	Protocol    uint8              `cbor:"0,keyasint"`
	Digest      *Digest            `cbor:"1,keyasint,omitempty"`
	Updates     []Update           `cbor:"2,keyasint,omitempty"`
	Wants       []Want             `cbor:"3,keyasint,omitempty"`
	Rumors      []membership.Rumor `cbor:"4,keyasint,omitempty"`
	StatusQuery *StatusQuery       `cbor:"5,keyasint,omitempty"`
	StatusReply *StatusReply       `cbor:"6,keyasint,omitempty"`
}

// Digest lists the versions that the sender holds. It is sent periodically and on each
// new link, and serves as the link's heartbeat.
type Digest struct {
	Held [docCount]version.ID `cbor:"1,keyasint"`
	// SourceAge is the time since the platform last responded to any node, as far as the
	// sender knows, in milliseconds.
	SourceAge uint64 `cbor:"2,keyasint"`
	// RequestDigest requests the receiver's digest at once.
	RequestDigest bool `cbor:"3,keyasint,omitempty"`
}

// Update is a newer version of a document: splices relative to From or, if From is zero,
// the full document in compressed form.
type Update struct {
	Doc     Doc            `cbor:"1,keyasint"`
	From    version.ID     `cbor:"2,keyasint"`
	To      version.ID     `cbor:"3,keyasint"`
	Splices []table.Splice `cbor:"4,keyasint,omitempty"`
	Full    []byte         `cbor:"5,keyasint,omitempty"` // zstd
}

// Want requests a version of a document newer than Have.
type Want struct {
	Doc  Doc        `cbor:"1,keyasint"`
	Have version.ID `cbor:"2,keyasint"`
}

// StatusQuery requests the status of every node. It is forwarded over the overlay; the
// replies are merged on the way back.
type StatusQuery struct {
	ID uint64 `cbor:"1,keyasint"`
	// TimeoutMs is how long the receiver may wait for its own neighbours, in
	// milliseconds.
	TimeoutMs uint32 `cbor:"2,keyasint"`
}

// StatusReply replies to a StatusQuery for the sender and the nodes that the sender
// forwarded it to.
type StatusReply struct {
	ID    uint64       `cbor:"1,keyasint"`
	Nodes []NodeStatus `cbor:"2,keyasint,omitempty"`
}

// NodeStatus is the status of one node as shown to operators.
type NodeStatus struct {
	Name       string     `cbor:"1,keyasint" json:"name"`
	DataCentre string     `cbor:"2,keyasint" json:"dc"`
	Table      version.ID `cbor:"3,keyasint" json:"table"`
	// HeldFor is the time since the version came into force, in milliseconds.
	HeldFor uint64 `cbor:"4,keyasint" json:"held_ms"`
	// From is the peer that sent the version, or SourcePlatform.
	From      string     `cbor:"5,keyasint" json:"from"`
	List      version.ID `cbor:"6,keyasint" json:"list"`
	Reader    bool       `cbor:"7,keyasint" json:"reader"`
	SourceAge uint64     `cbor:"8,keyasint" json:"source_age_ms"`
	Refused   string     `cbor:"9,keyasint,omitempty" json:"refused,omitempty"`
	Waiting   string     `cbor:"10,keyasint,omitempty" json:"waiting,omitempty"`
	Bytes     Traffic    `cbor:"11,keyasint" json:"bytes"`
	Links     int        `cbor:"12,keyasint" json:"links"`
	// Upstream is the reason why the upstream beside the node gets no requests or fewer;
	// empty if it is not restricted.
	Upstream string `cbor:"13,keyasint,omitempty" json:"upstream,omitempty"`
	// Evacuated lists the data centres whose upstreams get no requests, as far as the
	// node knows.
	Evacuated []EvacuatedCentre `cbor:"14,keyasint,omitempty" json:"evacuated,omitempty"`
	// Quarantined is the number of requests that the node quarantines because upstreams
	// crashed under them.
	Quarantined int `cbor:"15,keyasint,omitempty" json:"held_back,omitempty"`
}

// EvacuatedCentre is a data centre whose upstreams get no requests.
type EvacuatedCentre struct {
	DataCentre string `cbor:"1,keyasint" json:"dc"`
	// Since is the time since the node learned of the evacuation, in milliseconds.
	Since uint64 `cbor:"2,keyasint" json:"since_ms"`
}

// SourcePlatform is the From value of a version read from the platform.
const SourcePlatform = "platform"

// Traffic counts the control bytes sent, by cause.
type Traffic struct {
	Push       uint64 `cbor:"1,keyasint" json:"push"`
	Heal       uint64 `cbor:"2,keyasint" json:"heal"`
	Digest     uint64 `cbor:"3,keyasint" json:"digest"`
	Membership uint64 `cbor:"4,keyasint" json:"membership"`
	Census     uint64 `cbor:"5,keyasint" json:"census"`
}

// Total returns the sum over all causes.
func (t Traffic) Total() uint64 { return t.Push + t.Heal + t.Digest + t.Membership + t.Census }

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the wire form of a message and sets its protocol version.
func Encode(m *Message) ([]byte, error) {
	m.Protocol = ProtocolVersion
	return encMode.Marshal(m)
}

// Decode decodes a message. It never panics, and its memory use is bounded by the size of
// the input.
func Decode(b []byte) (*Message, error) {
	if len(b) > MaxMessage {
		return nil, errors.Newf("message of %d bytes", len(b))
	}
	var m Message
	if err := decMode.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	return &m, nil
}
