package bench

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a division by zero: without targets there is nothing to send to in turn.
func TestLatencyOfAnUnknownService(t *testing.T) {
	dir := t.TempDir()
	plan := `{"nodes": [{"name": "n1", "service": "pay", "slots": 2, "work": 1000000}]}`
	assert.NilError(t, os.WriteFile(filepath.Join(dir, planFile), []byte(plan), 0o600))
	_, err := MeasureLatency(t.Context(), LatencyConfig{Dir: dir, Service: "tariff", Rounds: 1})
	assert.ErrorContains(t, err, `no upstream of the service "tariff"`)
}
