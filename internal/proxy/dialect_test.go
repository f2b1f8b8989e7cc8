package proxy

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestColdRemaining(t *testing.T) {
	d := Dialect{Instance: "Who", Cold: "Cold-Left"}
	for _, tc := range []struct {
		who, cold string
		left      time.Duration
		ok        bool
	}{
		{"i-1", "", 0, true},
		{"i-1", "1500", 1500 * time.Millisecond, true},
		{"i-1", "0", 0, true},
		{"i-1", "1e99", maxCallerWait, true},
		{"i-1", "-1", 0, false},
		{"i-1", "soon", 0, false},
		{"i-1", "NaN", 0, false},
		{"", "", 0, false},
		{"", "1500", 0, false},
	} {
		h := http.Header{}
		h.Set("Who", tc.who)
		h.Set("Cold-Left", tc.cold)
		left, ok := d.ColdRemaining(h)
		assert.Equal(t, ok, tc.ok, "%q %q", tc.who, tc.cold)
		assert.Equal(t, left, tc.left, "%q %q", tc.who, tc.cold)
	}
}
