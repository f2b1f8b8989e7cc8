package snapshot

import (
	"maps"
	"slices"
	"strings"

	"github.com/walldrift/walldrift/internal/table"
)

// Upstream is one instance of a service.
type Upstream struct {
	table.Upstream
	// DataCentre is the upstream's data centre, or empty if not known.
	DataCentre string
}

// Service is a service with its upstreams, sorted by name. It must not be changed.
type Service struct {
	table.Service
	Upstreams    []*Upstream
	byDataCentre map[string][]*Upstream // Upstreams by data centre
}

// NewService returns a service with the given upstreams, in any order.
func NewService(row table.Service, upstreams ...*Upstream) *Service {
	return (&Service{Service: row}).WithChanges(upstreams, nil)
}

// TotalWeight returns the sum of the upstreams' weights.
func (s *Service) TotalWeight() float64 {
	sum := 0.0
	for _, u := range s.Upstreams {
		sum += u.Weight
	}
	return sum
}

// InDataCentre returns the upstreams in a data centre, sorted by name.
func (s *Service) InDataCentre(dataCentre string) []*Upstream { return s.byDataCentre[dataCentre] }

// Upstream returns the named upstream of the service, or nil.
func (s *Service) Upstream(name string) *Upstream {
	if position, ok := findByName(s.Upstreams, name); ok {
		return s.Upstreams[position]
	}
	return nil
}

// findByName returns the position of the named upstream and whether it was found. If not,
// the position is where it would be inserted.
func findByName(upstreams []*Upstream, name string) (position int, ok bool) {
	return slices.BinarySearchFunc(upstreams, name, func(u *Upstream, name string) int { return strings.Compare(u.Name, name) })
}

// WithChanges returns a copy of the service in which the upstreams of set are added or
// replaced by name and those named in removed are left out. Names in removed that s does
// not have are ignored. The upstreams that stay are shared with s, which is not modified.
func (s *Service) WithChanges(set []*Upstream, removed []string) *Service {
	setIn, removedIn := make(map[string][]*Upstream), make(map[string][]string)
	removeIfMoved := func(name, dataCentre string) {
		if old := s.Upstream(name); old != nil && old.DataCentre != dataCentre {
			removedIn[old.DataCentre] = append(removedIn[old.DataCentre], name)
		}
	}
	for _, u := range set {
		setIn[u.DataCentre] = append(setIn[u.DataCentre], u)
		removeIfMoved(u.Name, u.DataCentre)
	}
	for _, name := range removed {
		if old := s.Upstream(name); old != nil {
			removedIn[old.DataCentre] = append(removedIn[old.DataCentre], name)
		}
	}
	next := &Service{Service: s.Service, Upstreams: withChanges(s.Upstreams, set, removed), byDataCentre: maps.Clone(s.byDataCentre)}
	if next.byDataCentre == nil {
		next.byDataCentre = make(map[string][]*Upstream)
	}
	for dataCentre, names := range removedIn {
		next.byDataCentre[dataCentre] = withChanges(next.byDataCentre[dataCentre], nil, names)
	}
	for dataCentre, upstreams := range setIn {
		next.byDataCentre[dataCentre] = withChanges(next.byDataCentre[dataCentre], upstreams, nil)
	}
	return next
}

// withChanges returns a copy of upstreams, sorted by name, without those named in removed
// and with those of set added or replaced.
func withChanges(upstreams, set []*Upstream, removed []string) []*Upstream {
	next := make([]*Upstream, len(upstreams), len(upstreams)+len(set))
	copy(next, upstreams)
	for _, name := range removed {
		if position, ok := findByName(next, name); ok {
			next = slices.Delete(next, position, position+1)
		}
	}
	for _, u := range set {
		position, ok := findByName(next, u.Name)
		if ok {
			next[position] = u
		} else {
			next = slices.Insert(next, position, u)
		}
	}
	return next
}
