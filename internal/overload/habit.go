package overload

// habit counts what became of the refused requests of a route.
type habit struct {
	back, stayed float64
}

const (
	// habitMin is the number of refused requests of a route from which on it is
	// known whether they come back.
	habitMin = 8
	// habitMemory is the number after which earlier ones count for half.
	habitMemory = 100
	// oneShotShare is the share that may come back on a route whose requests are
	// taken for ones that do not: an identity met by chance. Where callers do come
	// back, most refused requests are seen again.
	oneShotShare = 0.1
	// maxHabits bounds the routes remembered.
	maxHabits = 512
)

// note counts a refused request that came back or did not.
func (h *habit) note(back bool) {
	if back {
		h.back++
	} else {
		h.stayed++
	}
	if h.back+h.stayed > habitMemory {
		h.back /= 2
		h.stayed /= 2
	}
}

// habit returns the counts of a route; those of routes beyond the bound are not
// kept.
func (r *RefusedRequests) habit(route string) *habit {
	h, ok := r.habits[route]
	if !ok {
		h = &habit{}
		if len(r.habits) < maxHabits {
			r.habits[route] = h
		}
	}
	return h
}

// RefusalIsFinal reports whether the refused requests of a route do not come back: those
// that a running request makes, whose refusal fails that request, and those of
// callers with one attempt. A refusal of such a one is final, so it may wait as
// long as it has, in place of as long as its objective.
//
// The load pattern: links full of long answers, and upstreams that shed, make
// calls miss their objective, and each that is refused wastes the run of its
// parent.
func (r *RefusedRequests) RefusalIsFinal(route string) bool {
	h, ok := r.habits[route]
	return ok && h.back+h.stayed >= habitMin && h.back < oneShotShare*(h.back+h.stayed)
}
