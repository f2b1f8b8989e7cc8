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
	// Default 700 ms, or 35% of ChangeBound if that is less.
	WatchWait time.Duration
	// MinGap is the least time between the starts of two calls. Changes that come
	// in series are fetched together: longer costs fewer calls, shorter has them
	// in force sooner. Default 500 ms, or 25% of ChangeBound if that is less.
	MinGap time.Duration
	// HedgeDelay is how long after its time the answer of a call is waited for
	// before another call is made beside it. Longer costs fewer calls, shorter
	// makes up sooner for one that is lost. Default 300 ms: many times what a
	// healthy store takes, and a seventh of the bound.
	HedgeDelay time.Duration
	// UnreachableAfter is how long after its time an answer is waited for before the
	// store counts as lost. Default 800 ms.
	UnreachableAfter time.Duration
	// CallTimeout bounds a call beyond its time. Longer still takes what comes
	// over a full link, shorter frees its connection sooner. Default 2 s.
	CallTimeout time.Duration
	// ListTime is the time that a listing may take as a rule. Default 1 s: some
	// 400 KB over a link of 10 Mbit/s with others on it.
	ListTime time.Duration
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
	// PeerMaxStaleness is the age of the newest news at which a node that is not a
	// reader turns to the store itself. Longer forgives slower readers, shorter
	// leaves cut ones sooner; see WorstAge. Default 1.3 s, or 65% of ChangeBound if
	// that is less.
	PeerMaxStaleness time.Duration
	// PeerHoldTime is how long a node that is asked for news may wait for some.
	// Default 1 s.
	PeerHoldTime time.Duration
	// PeerTimeout bounds a question for news. Default 1.8 s.
	PeerTimeout time.Duration
	// PeerRetryDelay is the wait after a failed question, and drawn up to twice that.
	// Default 200 ms.
	PeerRetryDelay time.Duration
	// SecondSourceDelay is how long a node waits for a newer table from its first source
	// before it fetches it from the second: both have it, one copy is enough.
	// Default 250 ms.
	SecondSourceDelay time.Duration

	// LinkMbps is the rate of this machine's link in Mbit/s, by which readers are chosen;
	// 0 if it is not known.
	LinkMbps uint32

	// ChangeBound is the time in which the platform wants a change in force at
	// every node that can reach the store. It must be more than WorstAge and what
	// an answer takes. Default 2 s.
	ChangeBound time.Duration

	// Self is the address of the upstream beside this node, by which it finds its
	// own entry, and DataCentre its data centre.
	Self       netip.AddrPort
	DataCentre string
	// PeerPort is the port of the nodes beside the upstreams.
	PeerPort uint16
}

// DefaultConfig returns the defaults given at the fields.
func DefaultConfig() Config { return ConfigFor(2 * time.Second) }

// Shares of Config.ChangeBound that the defaults take at the most.
const (
	watchShare   = 0.35
	gapShare     = 0.25
	newsShare    = 0.65
	overdueShare = 0.15
)

// ConfigFor returns the defaults for a platform that wants changes in force within
// a bound.
func ConfigFor(bound time.Duration) Config {
	c := defaults()
	share := func(s float64) time.Duration { return time.Duration(s * float64(bound)) }
	c.ChangeBound = bound
	c.WatchWait = min(c.WatchWait, share(watchShare))
	c.MinGap = min(c.MinGap, share(gapShare))
	c.PeerMaxStaleness = min(c.PeerMaxStaleness, share(newsShare))
	c.HedgeDelay = min(c.HedgeDelay, share(overdueShare))
	return c
}

// MaxStaleness returns the greatest age of the news of a node whose calls of the store
// are answered at once but for so many in a row that are not answered at all,
// whatever befalls all other nodes. The node asks when its news are as old as
// NewsMaxAge, and again after each call that is overdue.
func (c Config) MaxStaleness(unanswered int) time.Duration {
	age := c.PeerMaxStaleness
	for i := range unanswered {
		age += doubled(c.HedgeDelay, i, max(c.HedgeDelay, c.FollowerBackoffMax))
	}
	return age
}

// ResponseAllowance is what is left of Config.ChangeBound for an answer of the store and
// for a request under way: 50 times what a healthy store takes.
const ResponseAllowance = 200 * time.Millisecond

// WithinChangeBound reports whether a change is in force within ChangeBound though one call
// of the store is not answered.
func (c Config) WithinChangeBound() bool { return c.MaxStaleness(1)+ResponseAllowance <= c.ChangeBound }

func defaults() Config {
	return Config{
		WatchWait:          700 * time.Millisecond,
		MinGap:             500 * time.Millisecond,
		HedgeDelay:         300 * time.Millisecond,
		UnreachableAfter:   800 * time.Millisecond,
		CallTimeout:        2 * time.Second,
		ListTime:           time.Second,
		BackoffMin:         60 * time.Millisecond,
		BackoffMax:         400 * time.Millisecond,
		FollowerBackoffMax: 1500 * time.Millisecond,
		NodesPerReader:     24,
		PeerMaxStaleness:   1300 * time.Millisecond,
		PeerHoldTime:       time.Second,
		PeerTimeout:        1800 * time.Millisecond,
		PeerRetryDelay:     200 * time.Millisecond,
		SecondSourceDelay:  250 * time.Millisecond,
	}
}
