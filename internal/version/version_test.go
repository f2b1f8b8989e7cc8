package version

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawID draws an ID from only a few values, so that equal editions and equal IDs are
// common.
func drawID(t *rapid.T, label string) ID {
	id := ID{Edition: rapid.Uint64Range(0, 3).Draw(t, label+" edition")}
	id.Digest[0] = rapid.ByteRange(0, 2).Draw(t, label+" digest")
	return id
}

func TestCompareIsATotalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawID(t, "a"), drawID(t, "b"), drawID(t, "c")
		assert.Equal(t, Compare(a, b), -Compare(b, a))
		assert.Equal(t, Compare(a, b) == 0, a == b)
		if Compare(a, b) <= 0 && Compare(b, c) <= 0 {
			assert.Assert(t, Compare(a, c) <= 0)
		}
	})
}

func TestEditionTakesPrecedenceOverDigest(t *testing.T) {
	assert.Assert(t, Of(2, []byte("a")).Newer(Of(1, []byte("b"))))
	assert.Assert(t, Of(2, []byte("b")).Newer(Of(1, []byte("a"))))
	assert.Assert(t, Of(1, nil).Newer(ID{}))
}
