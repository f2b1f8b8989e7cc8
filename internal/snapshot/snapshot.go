// Package snapshot builds the immutable, indexed form of one table version
// that all readers hold.
//
// A snapshot is closed: every service and upstream that a route names is in
// it. Build checks that anew, so that a defect in the acceptance check cannot
// put a dangling route into a proxy. Holder swaps snapshots with one pointer
// store and never moves back.
package snapshot

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// ErrNotClosed reports a route to a service or upstream that is not in the
// table.
var ErrNotClosed = errors.New("table is not closed")

// Upstream is one target with its share of its service.
type Upstream struct {
	table.Upstream
	// Share is the upstream's weight over the sum of its service's weights, 0 to 1.
	Share float64
}

// Service is a service with its upstreams, sorted by name.
type Service struct {
	table.Service
	Upstreams []*Upstream
}

// Route is a route with the service and, where pinned, the upstream it names.
type Route struct {
	table.Route
	Service *Service
	Pinned  *Upstream // nil means any upstream of the service
	// Shares are the services that the requests are split over; empty sends all
	// to Service.
	Shares []Share
}

// Share is one service's part of a route.
type Share struct {
	Service *Service
	Weight  float64 // relative to the other shares
}

// Snapshot is one version of the table, indexed. It must not be changed.
type Snapshot struct {
	ID version.ID
	// Directory orders snapshots of one table whose upstreams are discovered
	// and not named by the table; 0 otherwise.
	Directory uint64
	Raw       []byte
	Table     *table.Table
	services  map[string]*Service
	upstreams map[string]*Upstream
	routes    []*Route            // longest prefix first
	hosts     map[string][]*Route // the same by host
}

// Build checks the raw table and returns its snapshot. A refused table gives
// table.Findings as the error.
func Build(raw []byte) (*Snapshot, error) {
	t, findings := table.Parse(raw)
	if len(findings) > 0 {
		return nil, findings
	}
	return FromTable(t, version.Of(t.Edition, raw), raw)
}

// FromTable returns the snapshot of a table that is known to be acceptable.
// Services without an upstream are allowed: theirs may be discovered later. A
// table that is not closed gives ErrNotClosed.
func FromTable(t *table.Table, id version.ID, raw []byte) (*Snapshot, error) {
	s := &Snapshot{
		ID:        id,
		Raw:       raw,
		Table:     t,
		services:  make(map[string]*Service, len(t.Services)),
		upstreams: make(map[string]*Upstream, len(t.Upstreams)),
	}
	for _, svc := range t.Services {
		s.services[svc.Name] = &Service{Service: svc}
	}
	if err := s.addUpstreams(t.Upstreams); err != nil {
		return nil, err
	}
	if err := s.addRoutes(t.Routes); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Snapshot) addUpstreams(rows []table.Upstream) error {
	sums := make(map[string]float64, len(s.services))
	for _, row := range rows {
		sums[row.Service] += row.Weight
	}
	for _, row := range rows {
		svc, ok := s.services[row.Service]
		if !ok {
			return errors.Wrapf(ErrNotClosed, "upstream %q names service %q", row.Name, row.Service)
		}
		u := &Upstream{Upstream: row, Share: row.Weight / sums[row.Service]}
		s.upstreams[row.Name] = u
		svc.Upstreams = append(svc.Upstreams, u)
	}
	for _, svc := range s.services {
		slices.SortFunc(svc.Upstreams, func(a, b *Upstream) int { return strings.Compare(a.Name, b.Name) })
	}
	return nil
}

// addRoutes adds the routes, in one piece of memory: the table is built anew with
// each change of an upstream, and a piece for each of 3,300 routes took half of that
// time.
func (s *Snapshot) addRoutes(rows []table.Route) error {
	built := make([]Route, len(rows))
	s.routes = make([]*Route, 0, len(rows))
	for i, row := range rows {
		svc, ok := s.services[row.Service]
		if !ok {
			return errors.Wrapf(ErrNotClosed, "route %q names service %q", row.Name, row.Service)
		}
		r := &built[i]
		r.Route, r.Service = row, svc
		for _, share := range row.Split {
			part, ok := s.services[share.Service]
			if !ok {
				return errors.Wrapf(ErrNotClosed, "route %q names service %q", row.Name, share.Service)
			}
			r.Shares = append(r.Shares, Share{Service: part, Weight: share.Weight})
		}
		if row.Upstream != "" {
			if r.Pinned, ok = s.upstreams[row.Upstream]; !ok {
				return errors.Wrapf(ErrNotClosed, "route %q names upstream %q", row.Name, row.Upstream)
			}
		}
		s.routes = append(s.routes, r)
	}
	slices.SortStableFunc(s.routes, func(a, b *Route) int {
		if d := len(b.Prefix) - len(a.Prefix); d != 0 {
			return d
		}
		// A route that names its methods is more specific than one for all.
		return len(b.Methods) - len(a.Methods)
	})
	s.hosts = make(map[string][]*Route)
	for _, r := range s.routes {
		s.hosts[r.Host] = append(s.hosts[r.Host], r)
	}
	return nil
}

// Service returns the named service, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Upstream returns the named upstream, or nil.
func (s *Snapshot) Upstream(name string) *Upstream { return s.upstreams[name] }

// Customers returns the customers of the table.
func (s *Snapshot) Customers() *table.Customers { return s.Table.Customers }

// Routes returns all routes, longest prefix first.
func (s *Snapshot) Routes() []*Route { return s.routes }

// Match returns the route for a request, or nil. Routes of the request's host
// precede those of any host. The host may bear a port.
func (s *Snapshot) Match(host, method, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	if r := match(s.hosts[strings.ToLower(host)], method, path); r != nil {
		return r
	}
	return match(s.hosts[""], method, path)
}

// Route is Match for a request of no particular host.
func (s *Snapshot) Route(method, path string) *Route { return match(s.hosts[""], method, path) }

// match returns the first of the routes, longest prefix first, that takes the
// request. A prefix matches whole path segments only.
func match(routes []*Route, method, path string) *Route {
	for _, r := range routes {
		if !matchPrefix(r.Prefix, path) {
			continue
		}
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return r
		}
	}
	return nil
}

func matchPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// Holder keeps the snapshot in force. Reads are one atomic load.
type Holder struct {
	mu  sync.Mutex // serialises Advance
	cur atomic.Pointer[Snapshot]
}

// Current returns the snapshot in force, or nil before the first one.
func (h *Holder) Current() *Snapshot { return h.cur.Load() }

// ID returns the version in force; the zero ID before the first one.
func (h *Holder) ID() version.ID {
	if s := h.cur.Load(); s != nil {
		return s.ID
	}
	return version.ID{}
}

// Advance puts s in force if it is newer than the held one and reports
// whether it did. The held version never goes back.
func (h *Holder) Advance(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	cur := h.cur.Load()
	if cur != nil && !s.ID.Newer(cur.ID) && (s.ID != cur.ID || s.Directory <= cur.Directory) {
		return false
	}
	h.cur.Store(s)
	return true
}
