package routing

import (
	"math/rand/v2"
	"time"
)

// drawUneven draws candidates at random from a service whose upstreams report slowdowns,
// and appends them to out, which must be empty, until enough of them are usable. An
// upstream is drawn in proportion to its slow-start and locality factors. If a request
// would miss its objective deadline at all of them, all upstreams are compared. Those that
// returned the request are always among the candidates: their reports are the latest.
//
// Many nodes have the same recent reports of these upstreams. If they compared all, they
// would choose the same upstream until a later report shows that it is full.
func (r *Router) drawUneven(out []Candidate, now time.Time, rnd *rand.Rand, req Request, members Members) []Candidate {
	all := req.Service.Upstreams
	usable, wanted := 0, req.uneven.sample()
	for draws := 0; draws < wanted*drawsPerSample && usable < wanted; draws++ {
		u := all[rnd.IntN(len(all))]
		if alreadyDrawn(out, u) {
			continue
		}
		out = append(out, Candidate{Upstream: u})
		c := &out[len(out)-1]
		r.evaluate(c, now, req, members)
		switch {
		case !c.usable():
		case rnd.Float64()*u.Weight < c.Weight:
			usable++
		default:
			out = out[:len(out)-1]
		}
	}
	out = r.addNamed(out, now, req, members, req.MovedFrom)
	r.applyPanicThreshold(out)
	if !anyInTime(out) {
		return r.appendCandidates(out[:0], now, req, members)
	}
	return out
}

// drawsUneven reports whether the candidates of a choice are drawn by drawUneven.
func (r *Router) drawsUneven(req Request) bool {
	n := len(req.Service.Upstreams)
	return req.uneven != nil && r.cfg.ByExpectedTime && req.Pinned == "" && n > sampleSize && n <= maxCompareAll
}

// maxUnevenSample bounds the number of upstreams that are compared, so that a choice takes
// at most a few microseconds.
const maxUnevenSample = 2 * sampleSize

// sample returns the number of usable upstreams to compare. An upstream that looks best to
// every node gets as many times the mean load. With all slots in use that is sampleSize,
// which its slots and its queue can hold; with fewer in use, more are compared.
func (u *unevenService) sample() int {
	if u.inUse*maxUnevenSample <= sampleSize {
		return maxUnevenSample
	}
	return max(int(sampleSize/u.inUse), sampleSize)
}
