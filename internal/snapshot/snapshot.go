// Package snapshot provides the immutable, indexed form of one version of the table, which
// all readers share.
//
// Every service and upstream that a route names is in the snapshot; a table with this
// property is called closed. The package verifies it although the check of the table
// does, too, so that a fault in that check cannot give a proxy a route that leads
// nowhere. Holder replaces the snapshot in force atomically, and only by a newer one.
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

// ErrNotClosed reports a route or an upstream that names a service or an upstream that is
// not in the table.
var ErrNotClosed = errors.New("table is not closed")

// Route is a route of the table. The services that it names, and the upstream that it may
// be pinned to, are in every snapshot that has the route.
type Route struct{ table.Route }

// IndexedTable is one version of the table, indexed, without upstreams. Upstreams that
// come from the store change while the version of the table stays the same. An
// IndexedTable must not be changed.
type IndexedTable struct {
	ID     version.ID
	Raw    []byte
	Table  *table.Table
	routes []*Route            // longest prefix first
	hosts  map[string][]*Route // routes by host
}

// Snapshot is one version of the table with the upstreams, indexed. It must not be
// changed.
type Snapshot struct {
	*IndexedTable
	// UpstreamsRevision increases with every change of the upstreams if these come from the
	// store. It orders the snapshots of one version of the table. It is 0 if the table
	// lists the upstreams.
	UpstreamsRevision uint64
	services          map[string]*Service
}

// Build checks a raw table and returns its snapshot. If the table has defects, the error
// is table.Findings.
func Build(raw []byte) (*Snapshot, error) {
	t, findings := table.Parse(raw)
	if len(findings) > 0 {
		return nil, findings
	}
	return FromTable(t, version.Of(t.Edition, raw), raw)
}

// FromTable returns the snapshot of a table that has passed the check, with the upstreams
// that the table lists. If the table is not closed, the error is ErrNotClosed.
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
		return nil, errors.Wrapf(ErrNotClosed, "an upstream names unknown service %q", name)
	}
	for _, r := range t.Routes {
		svc, ok := services[r.Service]
		if ok && r.Upstream != "" && svc.Upstream(r.Upstream) == nil {
			return nil, errors.Wrapf(ErrNotClosed, "route %q names unknown upstream %q", r.Name, r.Upstream)
		}
	}
	layout, err := NewIndexedTable(t, id, raw)
	if err != nil {
		return nil, err
	}
	return layout.Snapshot(0, services), nil
}

// NewIndexedTable indexes a table that has passed the check. If a route names a service
// that is not in the table, the error is ErrNotClosed.
func NewIndexedTable(t *table.Table, id version.ID, raw []byte) (*IndexedTable, error) {
	l := &IndexedTable{ID: id, Raw: raw, Table: t}
	return l, l.addRoutes(t)
}

// Snapshot returns the snapshot of this version with the given services, by name. A
// service may be without upstreams: they may be discovered later.
func (l *IndexedTable) Snapshot(directory uint64, services map[string]*Service) *Snapshot {
	return &Snapshot{IndexedTable: l, UpstreamsRevision: directory, services: services}
}

// addRoutes indexes the routes. It allocates them together instead of one by one.
func (l *IndexedTable) addRoutes(t *table.Table) error {
	services := make(map[string]bool, len(t.Services))
	for _, svc := range t.Services {
		services[svc.Name] = true
	}
	backing := make([]Route, len(t.Routes))
	l.routes = make([]*Route, 0, len(t.Routes))
	for i, row := range t.Routes {
		if !services[row.Service] {
			return errors.Wrapf(ErrNotClosed, "route %q names unknown service %q", row.Name, row.Service)
		}
		for _, share := range row.Split {
			if !services[share.Service] {
				return errors.Wrapf(ErrNotClosed, "route %q names unknown service %q", row.Name, share.Service)
			}
		}
		backing[i].Route = row
		l.routes = append(l.routes, &backing[i])
	}
	slices.SortStableFunc(l.routes, func(a, b *Route) int {
		if d := len(b.Prefix) - len(a.Prefix); d != 0 {
			return d
		}
		// Of routes with prefixes of the same length, those limited to methods precede
		// those for all methods.
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

// WithUpstreams returns a copy of the table with the snapshot's upstreams as its rows, in
// the order of the services and then by name.
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
func (l *IndexedTable) Customers() *table.Customers { return l.Table.Customers }

// Routes returns all routes, longest prefix first.
func (l *IndexedTable) Routes() []*Route { return l.routes }

// Match returns the route for a request, or nil. A route for the request's host takes
// precedence over one for any host. The host may include a port.
func (l *IndexedTable) Match(host, method, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	if r := match(l.hosts[strings.ToLower(host)], method, path); r != nil {
		return r
	}
	return match(l.hosts[""], method, path)
}

// Route is like Match, but considers only the routes for any host.
func (l *IndexedTable) Route(method, path string) *Route { return match(l.hosts[""], method, path) }

// match returns the first of the routes that matches the method and path. The routes must
// be in order, longest prefix first.
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

// matchPrefix reports whether the path begins with the prefix. Only complete path segments
// match: /a does not match /ab.
func matchPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// Holder holds the snapshot in force. Reading it takes one atomic load.
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

// Advance puts s in force if it is newer than the current snapshot: by its version or, if
// that is the same, by UpstreamsRevision. It reports whether it did.
func (h *Holder) Advance(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	cur := h.cur.Load()
	if cur != nil && !s.ID.Newer(cur.ID) && (s.ID != cur.ID || s.UpstreamsRevision <= cur.UpstreamsRevision) {
		return false
	}
	h.cur.Store(s)
	return true
}
