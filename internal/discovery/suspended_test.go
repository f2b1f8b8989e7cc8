package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/clock"
)

// suspendedFor is how long the machine is suspended.
const suspendedFor = 3 * time.Second

// Guards against a node that understates its staleness after a suspension of the machine,
// which the monotonic clock does not count. After 3 s a reader reported 0.2 s in place of
// 3.2 s, and its followers would have relied on its state for 1.3 s more.
func TestSuspensionAddsToStaleness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := follow(t, &fakeSource{state: Update{Revision: 1, Document: testDocument(1)}})
		time.Sleep(200 * time.Millisecond)
		before, err := f.PeerUpdateAfter(t.Context(), PeerRequest{})
		assert.NilError(t, err)
		clock.SimulateSuspension(suspendedFor)
		defer clock.SimulateSuspension(-suspendedFor)
		after, err := f.PeerUpdateAfter(t.Context(), PeerRequest{})
		assert.NilError(t, err)
		assert.Assert(t, before.Age < time.Second, "%v", before.Age)
		assert.Assert(t, after.Age >= suspendedFor, "staleness %v", after.Age)
	})
}
