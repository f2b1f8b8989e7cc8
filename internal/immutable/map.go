// Package immutable provides an immutable map whose modified copies are cheap to make.
// A map of n entries is split into about sqrt(n) shards, and a copy shares all unchanged
// shards with the original.
package immutable

import (
	"hash/maphash"
	"iter"
	"maps"
)

// Map is an immutable map. The zero value is empty.
type Map[K comparable, V any] struct {
	shards []map[K]V
	seed   maphash.Seed
	size   int
}

// New returns a map with the given entries.
func New[K comparable, V any](entries map[K]V) *Map[K, V] {
	m := &Map[K, V]{shards: make([]map[K]V, shardCount(len(entries))), seed: maphash.MakeSeed(), size: len(entries)}
	for k, v := range entries {
		i := m.shardIndex(k)
		if m.shards[i] == nil {
			m.shards[i] = make(map[K]V)
		}
		m.shards[i][k] = v
	}
	return m
}

// shardCount returns the number of shards for a number of entries: the smallest power of
// two whose square is at least that number.
func shardCount(entries int) int {
	shards := 1
	for shards*shards < entries {
		shards *= 2
	}
	return shards
}

func (m *Map[K, V]) shardIndex(k K) int {
	return int(maphash.Comparable(m.seed, k) & uint64(len(m.shards)-1))
}

// Get returns the value of a key; false if there is none.
func (m *Map[K, V]) Get(k K) (V, bool) {
	if m == nil || len(m.shards) == 0 {
		var none V
		return none, false
	}
	v, ok := m.shards[m.shardIndex(k)][k]
	return v, ok
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int {
	if m == nil {
		return 0
	}
	return m.size
}

// All returns the entries in no particular order.
func (m *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if m == nil {
			return
		}
		for _, shard := range m.shards {
			for k, v := range shard {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

// Update returns a copy of the map with some entries set and some keys removed. The copy
// gets a new number of shards if the current one differs more than twofold from
// shardCount.
func (m *Map[K, V]) Update(set map[K]V, removed []K) *Map[K, V] {
	if m == nil || len(m.shards) == 0 {
		return New(set)
	}
	next := &Map[K, V]{shards: append([]map[K]V(nil), m.shards...), seed: m.seed, size: m.size}
	copied := make(map[int]bool, len(set)+len(removed))
	copyShard := func(k K) map[K]V {
		i := next.shardIndex(k)
		if !copied[i] {
			copied[i] = true
			shard := make(map[K]V, len(next.shards[i])+1)
			maps.Copy(shard, next.shards[i])
			next.shards[i] = shard
		}
		return next.shards[i]
	}
	for _, k := range removed {
		shard := copyShard(k)
		if _, ok := shard[k]; ok {
			delete(shard, k)
			next.size--
		}
	}
	for k, v := range set {
		shard := copyShard(k)
		if _, ok := shard[k]; !ok {
			next.size++
		}
		shard[k] = v
	}
	if count := shardCount(next.size); count > 2*len(next.shards) || 2*count < len(next.shards) {
		return New(maps.Collect(next.All()))
	}
	return next
}
