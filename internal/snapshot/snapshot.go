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

// Route is a route of the table. Its services, and the upstream that it may name, are in
// every snapshot that has it.
type Route struct{ table.Route }

// Layout is what a version of the table says, indexed, but for the upstreams: they change
// while the version stays. It must not be changed.
type Layout struct {
	ID     version.ID
	Raw    []byte
	Table  *table.Table
	routes []*Route            // longest prefix first
	hosts  map[string][]*Route // the same by host
}

// Snapshot is one version of the table with its upstreams, indexed. It must not be
// changed.
type Snapshot struct {
	*Layout
	// Directory orders snapshots of one table whose upstreams are discovered
	// and not named by the table; 0 otherwise.
	Directory uint64
	services  map[string]*Service
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

// FromTable returns the snapshot of a table that is known to be acceptable, with the
// upstreams that it names. A table that is not closed gives ErrNotClosed.
func FromTable(t *table.Table, id version.ID, raw []byte) (*Snapshot, error) {
	upstreams := make(map[string][]*Upstream, len(t.Services))
	for _, row := range t.Upstreams {
		upstreams[row.Service] = append(upstreams[row.Service], &Upstream{Upstream: row})
	}
	services := make(map[string]*Service, len(t.Services))
	for _, row := range t.Services {
		services[row.Name] = NewService(row, upstreams[row.Name]...)
		delete(upstreams, row.Name)
	}
	for name := range upstreams {
		return nil, errors.Wrapf(ErrNotClosed, "an upstream names service %q", name)
	}
	for _, r := range t.Routes {
		svc, ok := services[r.Service]
		if ok && r.Upstream != "" && svc.Upstream(r.Upstream) == nil {
			return nil, errors.Wrapf(ErrNotClosed, "route %q names upstream %q", r.Name, r.Upstream)
		}
	}
	layout, err := NewLayout(t, id, raw)
	if err != nil {
		return nil, err
	}
	return layout.Snapshot(0, services), nil
}

// NewLayout indexes a table that is known to be acceptable. One that is not closed gives
// ErrNotClosed.
func NewLayout(t *table.Table, id version.ID, raw []byte) (*Layout, error) {
	l := &Layout{ID: id, Raw: raw, Table: t}
	return l, l.addRoutes(t)
}

// Snapshot returns the layout with the upstreams of its services. A service without any is
// allowed: its may be discovered later.
func (l *Layout) Snapshot(directory uint64, services map[string]*Service) *Snapshot {
	return &Snapshot{Layout: l, Directory: directory, services: services}
}

// addRoutes adds the routes, in one piece of memory.
func (l *Layout) addRoutes(t *table.Table) error {
	services := make(map[string]bool, len(t.Services))
	for _, svc := range t.Services {
		services[svc.Name] = true
	}
	built := make([]Route, len(t.Routes))
	l.routes = make([]*Route, 0, len(t.Routes))
	for i, row := range t.Routes {
		if !services[row.Service] {
			return errors.Wrapf(ErrNotClosed, "route %q names service %q", row.Name, row.Service)
		}
		for _, share := range row.Split {
			if !services[share.Service] {
				return errors.Wrapf(ErrNotClosed, "route %q names service %q", row.Name, share.Service)
			}
		}
		built[i].Route = row
		l.routes = append(l.routes, &built[i])
	}
	slices.SortStableFunc(l.routes, func(a, b *Route) int {
		if d := len(b.Prefix) - len(a.Prefix); d != 0 {
			return d
		}
		// A route that names its methods is more specific than one for all.
		return len(b.Methods) - len(a.Methods)
	})
	l.hosts = make(map[string][]*Route)
	for _, r := range l.routes {
		l.hosts[r.Host] = append(l.hosts[r.Host], r)
	}
	return nil
}

// Service returns the named service, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Upstream returns the named upstream of any service, or nil.
func (s *Snapshot) Upstream(name string) *Upstream {
	for _, svc := range s.services {
		if u := svc.Upstream(name); u != nil {
			return u
		}
	}
	return nil
}

// WithUpstreams returns the table with the upstreams of the snapshot as rows, by service
// and name.
func (s *Snapshot) WithUpstreams() *table.Table {
	t := *s.Table
	t.Upstreams = nil
	for _, row := range t.Services {
		for _, u := range s.services[row.Name].Upstreams {
			t.Upstreams = append(t.Upstreams, u.Upstream)
		}
	}
	return &t
}

// Customers returns the customers of the table.
func (l *Layout) Customers() *table.Customers { return l.Table.Customers }

// Routes returns all routes, longest prefix first.
func (l *Layout) Routes() []*Route { return l.routes }

// Match returns the route for a request, or nil. Routes of the request's host
// precede those of any host. The host may bear a port.
func (l *Layout) Match(host, method, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	if r := match(l.hosts[strings.ToLower(host)], method, path); r != nil {
		return r
	}
	return match(l.hosts[""], method, path)
}

// Route is Match for a request of no particular host.
func (l *Layout) Route(method, path string) *Route { return match(l.hosts[""], method, path) }

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
