// Package discovery follows a store that publishes the table in force and the
// upstreams that are alive, and builds from both the snapshot that routing
// reads.
//
// Calls of the store are priced and limited, so a few readers in each data
// centre watch it and all other nodes get News from two of them. News tells how
// old it is. A node that has none fresh enough reads the store itself.
//
// Registry decides what is believed and is pure: time is passed in. Follower,
// the edge, calls the Source and the Peers. The invariants: an earlier life of a
// process never replaces a later one, nor an older version of an entry a newer one
// of the same life, an upstream that vanished while the store
// could not be reached is given LapseGrace to appear again, the age of what a node
// knows is never told as less than it is, and at a node that can reach the store
// it stays under Config.WorstAge, also if a call is not answered.
package discovery

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// Upstream is one published process of a service.
type Upstream struct {
	ID         string         `cbor:"1,keyasint"`
	Service    string         `cbor:"2,keyasint"`
	Address    netip.AddrPort `cbor:"3,keyasint"`
	DataCentre string         `cbor:"4,keyasint"`
	Slots      int            `cbor:"5,keyasint"` // requests it works on at once
	Leaving    bool           `cbor:"6,keyasint,omitempty"`
	// ColdFor is how long it stays slow after its start, from the time of Revision; 0
	// if it is warm.
	ColdFor time.Duration `cbor:"7,keyasint,omitempty"`
	// Revision orders the versions of the entry.
	Revision uint64 `cbor:"8,keyasint"`
	// ExpiresIn is set in news only: the entry has vanished with an outage of the
	// store and is believed for this time still.
	ExpiresIn time.Duration `cbor:"9,keyasint,omitempty"`
	// StartedAtMs is when the process started, in milliseconds since 1970 by its own
	// clock; 0 if it is not told. A process may start again under its ID: of two
	// with one ID that with the later start is the one that lives.
	StartedAtMs uint64 `cbor:"10,keyasint,omitempty"`
}

// Document is one published version of the table.
type Document struct {
	ID    version.ID
	Table *table.Table // without upstreams
	// Limits bound what callers may send.
	Limits CallerLimits
	// ColdStarts tells how the upstreams of a service start, by its name.
	ColdStarts map[string]ColdStart
	Raw        []byte
	// Findings are defects of the table, which is in force but for them.
	Findings table.Findings
}

// ColdStart tell how the upstreams of a service start, and how to ask one.
type ColdStart struct {
	// Duration is how long one is cold after its start, and Rate the requests a second
	// that it bears then; 0 for any.
	Duration time.Duration
	Rate     float64
	// HealthPath is the path at which an upstream tells of itself; empty if none does.
	HealthPath string
}

// CallerLimits bound what callers may send; 0 means the default.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Removal says that an upstream is no longer published, or that something else is
// published in its place.
type Removal struct {
	ID       string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// InvalidReason says what is wrong with what is published; empty if nothing is.
	InvalidReason string `cbor:"3,keyasint,omitempty"`
}

// Finding is a defect of a published entry, which is left out.
type Finding struct {
	Entry    string // its key
	Revision uint64
	Err      error
}

// longestEntry bounds the part of a key that stands in a finding, in bytes.
const longestEntry = 64

// Error tells the defect and its place.
func (f Finding) Error() string {
	return fmt.Sprintf("entry %.*q, revision %d: %v", longestEntry, f.Entry, f.Revision, f.Err)
}

// Update is what a call of the Source brought.
type Update struct {
	Revision  uint64    // of the store, to continue from
	Document  *Document // nil if it is not part of the update
	Upstreams []Upstream
	Removed   []Removal
	Findings  []Finding
	// Evacuations are orders that the upstreams of a data centre get nothing, and
	// ends of such orders.
	Evacuations []Evacuation
	// HasEvacuations says that Evacuations has all that are in force, if the update is whole.
	HasEvacuations bool
}

// empty reports whether the call brought nothing but a revision.
func (u *Update) empty() bool {
	return u.Document == nil && len(u.Upstreams) == 0 && len(u.Removed) == 0 && len(u.Findings) == 0 && len(u.Evacuations) == 0
}

// ErrHistoryGone reports that the store no longer has the changes asked for;
// List has to be called again.
var ErrHistoryGone = errors.New("the store's history does not reach back so far")

// Source reads the store. Every call is priced, waiting ones included. It tells
// Arrived of each part of an answer, and Working of its work on one.
type Source interface {
	// List returns all that is published.
	List(ctx context.Context) (Update, error)
	// ListStale returns all that was published lately, for a tenth of the price of
	// List. It may be seconds old.
	ListStale(ctx context.Context) (Update, error)
	// Watch waits until something has changed since the revision, or for the
	// given time, and returns the changes.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Update, error)
	// Check costs little and fails if the store does not answer this node. It
	// tells nothing else.
	Check(ctx context.Context) error
	// Decode reads a document from its published bytes.
	Decode(ctx context.Context, raw []byte) (*Document, error)
}
