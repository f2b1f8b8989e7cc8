package admission

import "slices"

// minWeight replaces a weight of zero, so that such a kind is served last but doesn't
// starve.
const minWeight = 1e-3

// maxIdleKinds bounds the kinds that are kept without waiting requests.
const maxIdleKinds = 64

// kindQueue holds the waiting requests of one kind, by tenant.
type kindQueue struct {
	name    string
	weight  float64
	pass    float64 // position of the kind in stride scheduling
	waiting int
	tenants []*tenantQueue // served round-robin
}

type tenantQueue struct {
	name    string
	tickets []*Ticket
}

func (q *Queue) kindFor(t *Ticket) *kindQueue {
	weight := max(t.Weight, minWeight)
	for _, k := range q.kinds {
		if k.name == t.Kind {
			k.weight = weight
			if k.waiting == 0 {
				k.pass = max(k.pass, q.pass)
			}
			return k
		}
	}
	if len(q.kinds) >= maxIdleKinds {
		q.kinds = slices.DeleteFunc(q.kinds, func(k *kindQueue) bool { return k.waiting == 0 })
	}
	k := &kindQueue{name: t.Kind, weight: weight, pass: q.pass}
	q.kinds = append(q.kinds, k)
	return k
}

// nextPass returns the pass after the next request of the kind. Kinds are served by the
// smallest nextPass rather than by the smallest pass, so that a heavy kind that starts to
// wait is served before light ones that were waiting already.
func (k *kindQueue) nextPass() float64 { return k.pass + 1/k.weight }

func (k *kindQueue) push(t *Ticket) {
	k.waiting++
	for _, tn := range k.tenants {
		if tn.name == t.Tenant {
			tn.tickets = append(tn.tickets, t)
			return
		}
	}
	k.tenants = append(k.tenants, &tenantQueue{name: t.Tenant, tickets: []*Ticket{t}})
}

// pop removes and returns the oldest request of the tenant whose turn it is.
func (k *kindQueue) pop() *Ticket {
	tn := k.tenants[0]
	t := tn.tickets[0]
	tn.tickets = tn.tickets[1:]
	k.tenants = k.tenants[1:]
	if len(tn.tickets) > 0 {
		k.tenants = append(k.tenants, tn)
	}
	k.waiting--
	return t
}

// dropNewest removes and returns the newest request of the tenant with the most waiting
// requests.
func (k *kindQueue) dropNewest() *Ticket {
	most := slices.MaxFunc(k.tenants, func(a, b *tenantQueue) int { return len(a.tickets) - len(b.tickets) })
	t := most.tickets[len(most.tickets)-1]
	k.remove(t)
	return t
}

func (k *kindQueue) remove(t *Ticket) bool {
	for i, tn := range k.tenants {
		at := slices.Index(tn.tickets, t)
		if at < 0 {
			continue
		}
		tn.tickets = slices.Delete(tn.tickets, at, at+1)
		if len(tn.tickets) == 0 {
			k.tenants = slices.Delete(k.tenants, i, i+1)
		}
		k.waiting--
		return true
	}
	return false
}

// popNext removes and returns the next request to be served. The queue must not be empty.
func (q *Queue) popNext() *Ticket {
	var next *kindQueue
	for _, k := range q.kinds {
		if k.waiting > 0 && (next == nil || k.nextPass() < next.nextPass()) {
			next = k
		}
	}
	q.pass = next.pass
	next.pass = next.nextPass()
	q.waiting--
	return next.pop()
}

// countAhead estimates how many waiting requests would be started before t, including t
// itself.
func (q *Queue) countAhead(t *Ticket) int {
	own := 1
	for _, k := range q.kinds {
		if k.name == t.Kind {
			own += k.waiting
		}
	}
	return q.countAheadAt(t.Kind, t.Weight, own)
}

// countAheadAt is countAhead for the request of a kind that is served as the given one of
// its kind.
func (q *Queue) countAheadAt(kind string, weight float64, own int) int {
	weight = max(weight, minWeight)
	n := own
	for _, k := range q.kinds {
		if k.name != kind {
			n += min(k.waiting, int(float64(own)*k.weight/weight))
		}
	}
	return n
}

// displace makes room for t by dropping a request of the kind with the most waiting
// requests relative to its weight. If that is t's own kind, a request of another tenant
// of the kind is dropped, or nil is returned if none may be.
func (q *Queue) displace(t *Ticket) *Ticket {
	own := q.kindFor(t)
	worst, excess := own, float64(own.waiting+1)/own.weight
	for _, k := range q.kinds {
		if over := float64(k.waiting) / k.weight; k != own && over > excess {
			worst, excess = k, over
		}
	}
	if worst == own {
		return q.displaceTenant(own, t)
	}
	q.waiting--
	return worst.dropNewest()
}

// displaceTenant makes room within a kind: it drops the newest request of the tenant with
// the most waiting requests, if that has at least two more waiting than t's tenant.
// Otherwise it returns nil.
func (q *Queue) displaceTenant(k *kindQueue, t *Ticket) *Ticket {
	own, most := 0, 0
	for _, tn := range k.tenants {
		if tn.name == t.Tenant {
			own = len(tn.tickets)
		}
		most = max(most, len(tn.tickets))
	}
	if most < own+2 {
		return nil
	}
	q.waiting--
	return k.dropNewest()
}
