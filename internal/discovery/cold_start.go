package discovery

// How upstreams start, and for how long they are cold.

// coldAfterEvacuation marks an upstream as cold after the evacuation of its data centre
// has ended, for as long as after a start. The upstream may have restarted or lost its
// caches during the evacuation, and its entry may report that late.
func (f *Follower) coldAfterEvacuation(k KnownUpstream) KnownUpstream {
	endedAt := f.registry.evacuationEndedAt(k.DataCentre)
	if endedAt.IsZero() || f.document == nil {
		return k
	}
	until := endedAt.Add(f.document.ColdStarts[k.Service].Duration)
	if until.After(k.ColdUntil) {
		k.ColdFrom, k.ColdUntil = endedAt, until
	}
	return k
}

// coldRateShare is the share of a cold upstream's rate that all nodes use together.
// Requests arrive at random, so at the full rate half of all seconds would exceed it.
const coldRateShare = 0.8

// coldRatePerNode returns the request rate that a cold upstream of a service can take
// from this node, as one of the given number of nodes; 0 for any rate.
func (f *Follower) coldRatePerNode(service string, nodes int) float64 {
	if f.document == nil {
		return 0
	}
	return coldRateShare * f.document.ColdStarts[service].Rate / float64(max(nodes, 1))
}

// ColdStart returns the cold start parameters of a service; the zero value if they are
// not known.
func (f *Follower) ColdStart(service string) ColdStart {
	if t := f.coldStarts.Load(); t != nil {
		return (*t)[service]
	}
	return ColdStart{}
}
