package discovery

import (
	"net/netip"
	"time"
)

// Config holds the settings of a Follower.
type Config struct {
	// WatchWait is the longest wait of one watch. A longer wait costs fewer calls. Nodes
	// that follow a reader learn only at the end of a watch that nothing has changed, so
	// together with the network time of peer updates it must stay under PeerMaxStaleness.
	// Default 700 ms, or 35% of ChangeBound if that is less.
	WatchWait time.Duration
	// MinGap is the minimum time between the starts of two calls, so that changes in
	// quick succession are fetched together. A longer gap costs fewer calls, a shorter
	// one has changes in force sooner. Default 500 ms, or 25% of ChangeBound if that is
	// less.
	MinGap time.Duration
	// HedgeDelay is how long a call may be overdue before a hedged call is sent beside
	// it. A longer delay costs fewer calls, a shorter one recovers sooner from a lost
	// call. Default 300 ms: many times the response time of a healthy store, and a
	// seventh of ChangeBound. At most 15% of ChangeBound.
	HedgeDelay time.Duration
	// UnreachableAfter is how long a call may be overdue before the store counts as
	// unreachable. Default 800 ms.
	UnreachableAfter time.Duration
	// CallTimeout is the timeout of a call beyond its expected time. A longer timeout
	// still accepts responses over a saturated link, a shorter one frees the connection
	// sooner. Default 2 s.
	CallTimeout time.Duration
	// ListTime is the expected time of a listing. Default 1 s: some 400 KB over a link of
	// 10 Mbit/s with other traffic on it.
	ListTime time.Duration
	// BackoffMin and BackoffMax bound the delay after a failed call. The delay doubles
	// with each failure and is drawn at random between half and the whole of that value.
	// BackoffMax keeps a change within a second of the store's recovery. Default 60 ms
	// and 400 ms.
	BackoffMin, BackoffMax time.Duration
	// FollowerBackoffMax is BackoffMax for a node that is not a reader. It learns of the
	// store's recovery from readers, so it can save calls during an outage. Default 1.5
	// s.
	FollowerBackoffMax time.Duration

	// NodesPerReader is the number of nodes of a data centre for each reader. More nodes
	// per reader cost fewer calls of the store, fewer spread the peer updates over more
	// machines. Default 24: a change of a table of 150 KB, 15 KB deflated, is then sent
	// in 0.3 s over a link of 10 Mbit/s.
	NodesPerReader int
	// PeerMaxStaleness is the staleness at which a node that is not a reader calls the
	// store itself. A higher value tolerates slower readers, a lower one gives up sooner
	// on readers that are cut off; see MaxStaleness. Default 1.3 s, or 65% of ChangeBound
	// if that is less.
	PeerMaxStaleness time.Duration
	// PeerHoldTime is the longest time for which a peer request is held open until there
	// is something to send. Default 1 s.
	PeerHoldTime time.Duration
	// PeerTimeout is the timeout of a peer request. Default 1.8 s.
	PeerTimeout time.Duration
	// PeerRetryDelay is the minimum delay after a failed peer request; the delay is drawn
	// at random up to twice that. Default 200 ms.
	PeerRetryDelay time.Duration
	// SecondSourceDelay is how long a node waits for a newer table from its first update
	// source before it fetches it from the second. Both have it, and one copy is enough.
	// Default 250 ms.
	SecondSourceDelay time.Duration

	// LinkMbps is the link rate of this machine in Mbit/s, by which readers are chosen; 0
	// if it is not known.
	LinkMbps uint32

	// ChangeBound is the time within which the platform requires a change to be in force
	// at every node that can reach the store. It must be more than MaxStaleness and the
	// time of a response. Default 2 s.
	ChangeBound time.Duration

	// Self is the address of the upstream beside this node, by which the node finds its
	// own entry. DataCentre is its data centre.
	Self       netip.AddrPort
	DataCentre string
	// Regions maps data centres to their regions. The region of the upstreams of a data
	// centre without an entry is unknown, which is no region of any node.
	Regions map[string]string
	// PeerPort is the port of the nodes beside the upstreams.
	PeerPort uint16
}

// DefaultConfig returns the default settings; see the fields.
func DefaultConfig() Config { return ConfigFor(2 * time.Second) }

// Maximum values of the defaults as shares of Config.ChangeBound.
const (
	watchShare         = 0.35
	gapShare           = 0.25
	peerStalenessShare = 0.65
	hedgeDelayShare    = 0.15
)

// ConfigFor returns the defaults for a platform that requires changes in force within the
// given bound.
func ConfigFor(bound time.Duration) Config {
	c := defaults()
	share := func(s float64) time.Duration { return time.Duration(s * float64(bound)) }
	c.ChangeBound = bound
	c.WatchWait = min(c.WatchWait, share(watchShare))
	c.MinGap = min(c.MinGap, share(gapShare))
	c.PeerMaxStaleness = min(c.PeerMaxStaleness, share(peerStalenessShare))
	c.HedgeDelay = min(c.HedgeDelay, share(hedgeDelayShare))
	return c
}

// MaxStaleness returns the greatest staleness of a node that loses the given number of
// consecutive calls and gets the response to every other call at once, whatever fails at
// other nodes. The node calls the store when its staleness reaches PeerMaxStaleness, and
// again whenever a call is overdue.
func (c Config) MaxStaleness(unanswered int) time.Duration {
	age := c.PeerMaxStaleness
	for i := range unanswered {
		age += backoff(c.HedgeDelay, i, max(c.HedgeDelay, c.FollowerBackoffMax))
	}
	return age
}

// ResponseAllowance is the part of Config.ChangeBound left for a response of the store
// and for a request in progress: 50 times the response time of a healthy store.
const ResponseAllowance = 200 * time.Millisecond

// WithinChangeBound reports whether a change is in force within ChangeBound even if one
// call of the store gets no response.
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
