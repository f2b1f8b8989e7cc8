package discovery

import (
	"net/netip"
	"time"
)

// Config holds the settings of a Follower.
type Config struct {
	// WatchWait is the longest wait of one watch. Longer costs fewer calls; those
	// who follow a reader know only by the end of a watch that nothing has
	// changed, so with the way of the news it must stay under NewsMaxAge.
	// Default 700 ms.
	WatchWait time.Duration
	// MinGap is the least time between the starts of two calls. Changes that come
	// in series are fetched together: longer costs fewer calls, shorter has them
	// in force sooner. Default 500 ms, a quarter of what the platform allows.
	MinGap time.Duration
	// CallTimeout bounds a call beyond its wait. Default 800 ms.
	CallTimeout time.Duration
	// BackoffMin and BackoffMax bound the wait after a failed call, drawn at
	// random between half and the whole of a value that doubles. The longest
	// keeps a change within a second of the store's return. Default 60 ms and
	// 400 ms.
	BackoffMin, BackoffMax time.Duration
	// FollowerBackoffMax is BackoffMax for a node that is not a reader: it hears
	// of the store's return from readers, and spares calls meanwhile. Default
	// 1.5 s.
	FollowerBackoffMax time.Duration

	// NodesPerReader is the number of nodes of a data centre for which one of
	// them reads the store. More costs fewer calls, fewer spreads the news over
	// more machines. Default 24: a change of a table of 150 KB, 15 KB deflated,
	// is then sent in 0.3 s over a link of 10 Mbit/s.
	NodesPerReader int
	// NewsMaxAge is the age of the newest news at which a node that is not a
	// reader turns to the store itself. Longer forgives slower readers, shorter
	// leaves cut ones sooner; a change must be in force two seconds after it was
	// published. Default 1.3 s.
	NewsMaxAge time.Duration
	// NewsWait is how long a node that is asked for news may wait for some.
	// Default 1 s.
	NewsWait time.Duration
	// NewsTimeout bounds a question for news. Default 1.8 s.
	NewsTimeout time.Duration
	// NewsRetry is the wait after a failed question, and drawn up to twice that.
	// Default 200 ms.
	NewsRetry time.Duration
	// TableGrace is how long a node waits for a newer table from its first source
	// before it fetches it from the second: both have it, one copy is enough.
	// Default 250 ms.
	TableGrace time.Duration

	// ChangeBound is the time in which the platform wants a change in force at
	// every node that can reach the store. Default 2 s.
	ChangeBound time.Duration

	// Self is the address of the upstream beside this node, by which it finds its
	// own entry, and DataCentre its data centre.
	Self       netip.AddrPort
	DataCentre string
	// PeerPort is the port of the nodes beside the upstreams.
	PeerPort uint16
}

// DefaultConfig returns the defaults given at the fields.
func DefaultConfig() Config {
	return Config{
		WatchWait:          700 * time.Millisecond,
		MinGap:             500 * time.Millisecond,
		CallTimeout:        800 * time.Millisecond,
		BackoffMin:         60 * time.Millisecond,
		BackoffMax:         400 * time.Millisecond,
		FollowerBackoffMax: 1500 * time.Millisecond,
		NodesPerReader:     24,
		NewsMaxAge:         1300 * time.Millisecond,
		NewsWait:           time.Second,
		NewsTimeout:        1800 * time.Millisecond,
		NewsRetry:          200 * time.Millisecond,
		TableGrace:         250 * time.Millisecond,
		ChangeBound:        2 * time.Second,
	}
}
