package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/clock"
)

// suspension is how long the machine of a test stands still.
const suspension = 3 * time.Second

// A machine was suspended for 3 s and went on. Its steady clock had not counted that, so
// a reader of the store told others that its news were 0.2 s old when they were 3.2 s
// old: they would have held to them for 1.3 s more.
func TestNewsOfASuspendedNodeAreOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := follow(t, &fakeSource{state: Update{Revision: 1, Document: testDocument(1)}})
		time.Sleep(200 * time.Millisecond)
		before, err := f.PeerUpdateAfter(t.Context(), PeerRequest{})
		assert.NilError(t, err)
		clock.Advance(suspension)
		defer clock.Advance(-suspension)
		after, err := f.PeerUpdateAfter(t.Context(), PeerRequest{})
		assert.NilError(t, err)
		assert.Assert(t, before.Age < time.Second, "%v", before.Age)
		assert.Assert(t, after.Age >= suspension, "news are told to be %v old", after.Age)
	})
}
