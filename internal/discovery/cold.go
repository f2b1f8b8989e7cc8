package discovery

// What a follower knows of how upstreams start, and for how long they are cold.

// mayBeCold takes an upstream of a data centre whose evacuation has ended for cold, as
// long as it would be after a start: it may have started again or lost what it kept
// meanwhile, and its entry tells late.
func (f *Follower) mayBeCold(k KnownUpstream) KnownUpstream {
	reopened := f.registry.reopened(k.DataCentre)
	if reopened.IsZero() || f.document == nil {
		return k
	}
	until := reopened.Add(f.document.ColdStarts[k.Service].Duration)
	if until.After(k.ColdUntil) {
		k.ColdFrom, k.ColdUntil = reopened, until
	}
	return k
}

// callersShare is the part of the rate of a cold upstream that the nodes send together:
// they come by chance, so at the whole rate half of all seconds would have too many.
const callersShare = 0.8

// coldShare is the rate of requests that a cold upstream of a service bears from this
// node, as one of so many; 0 for any rate.
func (f *Follower) coldShare(service string, nodes int) float64 {
	if f.document == nil {
		return 0
	}
	return callersShare * f.document.ColdStarts[service].Rate / float64(max(nodes, 1))
}

// ColdStart tells how the upstreams of a service start; the zero value if nothing is known.
func (f *Follower) ColdStart(service string) ColdStart {
	if t := f.starts.Load(); t != nil {
		return (*t)[service]
	}
	return ColdStart{}
}
