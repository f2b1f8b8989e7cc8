// Package cowmap holds an immutable map of which a changed copy costs little: it is kept in
// parts, about as many as each has entries, and a copy shares all parts that stay.
package immutable

import (
	"hash/maphash"
	"iter"
	"maps"
)

// Map is an immutable map. The zero value is empty.
type Map[K comparable, V any] struct {
	parts []map[K]V
	seed  maphash.Seed
	size  int
}

// New returns a map of the given entries.
func New[K comparable, V any](entries map[K]V) *Map[K, V] {
	m := &Map[K, V]{parts: make([]map[K]V, partsFor(len(entries))), seed: maphash.MakeSeed(), size: len(entries)}
	for k, v := range entries {
		at := m.part(k)
		if m.parts[at] == nil {
			m.parts[at] = make(map[K]V)
		}
		m.parts[at][k] = v
	}
	return m
}

// partsFor is the number of parts for so many entries: the power of two whose square is at
// least as much.
func partsFor(entries int) int {
	parts := 1
	for parts*parts < entries {
		parts *= 2
	}
	return parts
}

func (m *Map[K, V]) part(k K) int {
	return int(maphash.Comparable(m.seed, k) & uint64(len(m.parts)-1))
}

// Get returns the entry of a key; false if there is none.
func (m *Map[K, V]) Get(k K) (V, bool) {
	if m == nil || len(m.parts) == 0 {
		var none V
		return none, false
	}
	v, ok := m.parts[m.part(k)][k]
	return v, ok
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int {
	if m == nil {
		return 0
	}
	return m.size
}

// All returns the entries in any order.
func (m *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if m == nil {
			return
		}
		for _, p := range m.parts {
			for k, v := range p {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

// Update returns the map with some entries set and some keys taken out. One that has grown
// or shrunk far beyond its parts is parted anew.
func (m *Map[K, V]) Update(set map[K]V, gone []K) *Map[K, V] {
	if m == nil || len(m.parts) == 0 {
		return New(set)
	}
	next := &Map[K, V]{parts: append([]map[K]V(nil), m.parts...), seed: m.seed, size: m.size}
	owned := make(map[int]bool, len(set)+len(gone))
	own := func(k K) map[K]V {
		at := next.part(k)
		if !owned[at] {
			owned[at] = true
			p := make(map[K]V, len(next.parts[at])+1)
			maps.Copy(p, next.parts[at])
			next.parts[at] = p
		}
		return next.parts[at]
	}
	for _, k := range gone {
		p := own(k)
		if _, ok := p[k]; ok {
			delete(p, k)
			next.size--
		}
	}
	for k, v := range set {
		p := own(k)
		if _, ok := p[k]; !ok {
			next.size++
		}
		p[k] = v
	}
	if want := partsFor(next.size); want > 2*len(next.parts) || 2*want < len(next.parts) {
		return New(maps.Collect(next.All()))
	}
	return next
}
