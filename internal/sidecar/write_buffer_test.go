package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A wide link, or one of unknown rate, keeps the send buffer that it has without the
// setting; a narrow one must not queue more than its pacing does.
func TestWriteBufferFollowsTheLink(t *testing.T) {
	for mbps, want := range map[float64]int{0: peerWriteBuffer, 1000: peerWriteBuffer, 16: 20_000, 2: minPeerWriteBuffer} {
		assert.Equal(t, writeBufferFor(mbps), want, "%v Mbit/s", mbps)
	}
}
