package snapshot

import (
	"maps"
	"slices"
	"strings"

	"github.com/walldrift/walldrift/internal/table"
)

// Upstream is one target of a service.
type Upstream struct {
	table.Upstream
	// DataCentre is where it stands, if that is known with its name.
	DataCentre string
}

// Service is a service with its upstreams, sorted by name. It must not be changed.
type Service struct {
	table.Service
	Upstreams []*Upstream
	centres   map[string][]*Upstream // the same by data centre
}

// NewService returns a service with upstreams.
func NewService(row table.Service, upstreams ...*Upstream) *Service {
	return (&Service{Service: row}).Change(upstreams, nil)
}

// TotalWeight is the sum of the weights of its upstreams.
func (s *Service) TotalWeight() float64 {
	sum := 0.0
	for _, u := range s.Upstreams {
		sum += u.Weight
	}
	return sum
}

// In returns the upstreams of a data centre, sorted by name.
func (s *Service) In(centre string) []*Upstream { return s.centres[centre] }

// Upstream returns the named upstream of the service, or nil.
func (s *Service) Upstream(name string) *Upstream {
	if at, ok := find(s.Upstreams, name); ok {
		return s.Upstreams[at]
	}
	return nil
}

func find(upstreams []*Upstream, name string) (at int, ok bool) {
	return slices.BinarySearchFunc(upstreams, name, func(u *Upstream, name string) int { return strings.Compare(u.Name, name) })
}

// Change returns the service with upstreams set and others taken out. It shares with s all
// that stays.
func (s *Service) Change(set []*Upstream, gone []string) *Service {
	setIn, goneIn := make(map[string][]*Upstream), make(map[string][]string)
	leave := func(name, centre string) {
		if old := s.Upstream(name); old != nil && old.DataCentre != centre {
			goneIn[old.DataCentre] = append(goneIn[old.DataCentre], name)
		}
	}
	for _, u := range set {
		setIn[u.DataCentre] = append(setIn[u.DataCentre], u)
		leave(u.Name, u.DataCentre)
	}
	for _, name := range gone {
		if old := s.Upstream(name); old != nil {
			goneIn[old.DataCentre] = append(goneIn[old.DataCentre], name)
		}
	}
	next := &Service{Service: s.Service, Upstreams: changed(s.Upstreams, set, gone), centres: maps.Clone(s.centres)}
	if next.centres == nil {
		next.centres = make(map[string][]*Upstream)
	}
	for centre, names := range goneIn {
		next.centres[centre] = changed(next.centres[centre], nil, names)
	}
	for centre, some := range setIn {
		next.centres[centre] = changed(next.centres[centre], some, nil)
	}
	return next
}

// changed returns a copy of upstreams with some set and others taken out.
func changed(upstreams, set []*Upstream, gone []string) []*Upstream {
	next := make([]*Upstream, len(upstreams), len(upstreams)+len(set))
	copy(next, upstreams)
	for _, name := range gone {
		if at, ok := find(next, name); ok {
			next = slices.Delete(next, at, at+1)
		}
	}
	for _, u := range set {
		at, ok := find(next, u.Name)
		if ok {
			next[at] = u
		} else {
			next = slices.Insert(next, at, u)
		}
	}
	return next
}
