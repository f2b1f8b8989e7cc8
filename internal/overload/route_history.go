package overload

// routeHistory counts the refused requests of a route that were retried by their callers
// and those that were not.
type routeHistory struct {
	retried, notRetried float64
}

const (
	// minHistory is the number of refused requests of a route required to tell whether
	// callers retry.
	minHistory = 8
	// maxHistory is the number of counted requests from which all counts are halved, so
	// that older ones lose weight.
	maxHistory = 100
	// maxRetriedShare is the share of refused requests that may appear to be retried on a
	// route whose callers don't retry: two requests can have the same identity by chance.
	// Where callers do retry, most refused requests are seen again.
	maxRetriedShare = 0.1
	// maxRoutes bounds the routes with a history.
	maxRoutes = 512
)

// record counts a refused request that was retried or not.
func (h *routeHistory) record(retried bool) {
	if retried {
		h.retried++
	} else {
		h.notRetried++
	}
	if h.retried+h.notRetried > maxHistory {
		h.retried /= 2
		h.notRetried /= 2
	}
}

// history returns the history of a route. That of a route beyond maxRoutes isn't kept.
func (r *RefusedRequests) history(route string) *routeHistory {
	h, ok := r.histories[route]
	if !ok {
		h = &routeHistory{}
		if len(r.histories) < maxRoutes {
			r.histories[route] = h
		}
	}
	return h
}

// RefusalIsFinal reports whether callers don't retry the refused requests of a route:
// those that are made by a running request, which fails with their refusal, and those of
// callers with a single attempt. Such a request may wait until its deadline rather than
// only until its objective deadline.
//
// Without this rule, links full of long responses and upstreams that shed load make calls
// miss their objective, and each one that is refused wastes the work of the request that
// made it.
func (r *RefusedRequests) RefusalIsFinal(route string) bool {
	h, ok := r.histories[route]
	return ok && h.retried+h.notRetried >= minHistory && h.retried < maxRetriedShare*(h.retried+h.notRetried)
}
