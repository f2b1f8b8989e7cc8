package immutable

import (
	"maps"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// A changed copy has what a plain map would have, and the map before stays as it was.
func TestAgainstPlainMap(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	m, plain := New(map[int]int{}), map[int]int{}
	for step := range 2000 {
		set, gone := map[int]int{}, []int{}
		for range rnd.IntN(4) {
			k := rnd.IntN(400)
			if rnd.IntN(3) == 0 {
				gone = append(gone, k)
			} else {
				set[k] = step
			}
		}
		before := maps.Clone(plain)
		next := m.Update(set, gone)
		assert.DeepEqual(t, maps.Collect(m.All()), before)
		for _, k := range gone {
			delete(plain, k)
		}
		maps.Copy(plain, set)
		m = next
		assert.Equal(t, m.Len(), len(plain))
		for k := range 400 {
			v, ok := m.Get(k)
			want, there := plain[k]
			assert.Assert(t, ok == there && v == want)
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
