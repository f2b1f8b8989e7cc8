package immutable

import (
	"maps"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// An updated copy has the same entries as a plain map, and the original is unchanged.
func TestUpdateAgainstPlainMap(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	m, plain := New(map[int]int{}), map[int]int{}
	for step := range 2000 {
		set, removed := map[int]int{}, []int{}
		for range rnd.IntN(4) {
			k := rnd.IntN(400)
			if rnd.IntN(3) == 0 {
				removed = append(removed, k)
			} else {
				set[k] = step
			}
		}
		before := maps.Clone(plain)
		next := m.Update(set, removed)
		assert.DeepEqual(t, maps.Collect(m.All()), before)
		for _, k := range removed {
			delete(plain, k)
		}
		maps.Copy(plain, set)
		m = next
		assert.Equal(t, m.Len(), len(plain))
		for k := range 400 {
			v, ok := m.Get(k)
			want, present := plain[k]
			assert.Assert(t, ok == present && v == want)
		}
	}
}

func TestEmpty(t *testing.T) {
	var m *Map[string, int]
	_, ok := m.Get("a")
	assert.Assert(t, !ok)
	assert.Equal(t, m.Len(), 0)
	assert.Equal(t, m.Update(map[string]int{"a": 1}, nil).Len(), 1)
}
