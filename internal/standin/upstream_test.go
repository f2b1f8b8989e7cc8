package standin

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// A repeated run must be counted also when no more IDs are, or a duplicate goes unseen.
func TestRepeatedRunIsCountedWithAFullTable(t *testing.T) {
	u := NewUpstream(UpstreamConfig{Slots: 1})
	for i := range maxCountedIDs {
		u.countRun(strconv.Itoa(i))
	}
	u.countRun("0")
	u.countRun("new")
	runs := u.Runs()
	assert.Equal(t, runs["0"], 2)
	assert.Equal(t, runs["new"], 0)
}
