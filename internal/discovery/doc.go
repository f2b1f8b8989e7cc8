// Package discovery follows a store that publishes the table in force and the
// upstreams that are alive, and builds from both the snapshot that routing
// reads.
//
// Registry decides what is believed and is pure: time is passed in. Follower,
// the edge, calls the Source. The invariants: an older version of an entry never
// replaces a newer one, and an upstream that vanished while the store could not
// be reached is given LapseGrace to appear again.
package discovery

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// Upstream is one published process of a service.
type Upstream struct {
	ID         string // one process; a restarted one has another
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int // requests it works on at once
	Leaving    bool
	// Cold is how long it stays slow after its start, from the time of Revision.
	Cold time.Duration
	// Revision orders the versions of the entry.
	Revision uint64
}

// Document is one published version of the table.
type Document struct {
	ID    version.ID
	Table *table.Table // without upstreams
	// Limits bound what callers may send.
	Limits CallerLimits
	Raw    []byte
}

// CallerLimits bound what callers may send; 0 means the default.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Removal says that an upstream is no longer published.
type Removal struct {
	ID       string
	Revision uint64
}

// Update is what a call of the Source brought.
type Update struct {
	Revision  uint64    // of the store, to continue from
	Document  *Document // nil if it is not part of the update
	Upstreams []Upstream
	Removed   []Removal
	// Findings are defects of single entries, which were left out.
	Findings []error
}

// ErrHistoryGone reports that the store no longer has the changes asked for;
// List has to be called again.
var ErrHistoryGone = errors.New("the store's history does not reach back so far")

// Source reads the store. Every call is priced, waiting ones included.
type Source interface {
	// List returns all that is published.
	List(ctx context.Context) (Update, error)
	// Watch waits until something has changed since the revision, or for the
	// given time, and returns the changes.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Update, error)
}
