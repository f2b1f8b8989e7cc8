package bench

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/fleet"
	"github.com/walldrift/walldrift/internal/standin"
)

// The scenario must make the upstream report no load while it runs a request.
func TestLyingScenarioReportsNoLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		layout := standin.Kerbline()
		u := standin.NewUpstream(standin.UpstreamConfig{Slots: 1, ServiceTime: 2 * warmUpTime})
		run := &goodputRun{
			cfg:    GoodputConfig{Scenario: ScenarioLying},
			layout: layout,
			fleet:  &fleet.Fleet{Upstreams: map[string]*standin.Upstream{layout.Placements()[0].Name: u}},
		}
		get := func(path string) string {
			w := httptest.NewRecorder()
			u.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil))
			return w.Body.String()
		}
		go get("/request")
		synctest.Wait()
		assert.Equal(t, get("/load"), "1\n")
		assert.NilError(t, run.injectFaults(t.Context()))
		assert.Equal(t, get("/load"), "0\n")
	})
}
