package sidecar

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admin"
	"github.com/walldrift/walldrift/internal/discovery"
	"github.com/walldrift/walldrift/internal/table"
)

// get returns the response body of a path at the admin address of sidecar i.
func (f *fleet) get(i int, path string) []byte {
	f.t.Helper()
	l := f.sidecars[i].servers.listeners
	resp, err := http.Get("http://" + l[len(l)-1].Addr().String() + path)
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(f.t, resp.StatusCode, http.StatusOK)
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	return raw
}

// Any sidecar shows operators the fleet, the table and the routing state.
func TestAdminAddress(t *testing.T) {
	f := startFleet(t, 3, 0)
	f.publish(2)
	for f.countHolding(2) < 3 {
		f.get(0, admin.PathReady)
	}
	var rows []struct{ Name, Table, Waiting string }
	assert.NilError(t, json.Unmarshal(f.get(0, admin.PathFleet), &rows))
	assert.Equal(t, len(rows), 3)
	for _, r := range rows {
		assert.Equal(t, r.Table, f.sidecars[0].holder.ID().String(), "%s: %s", r.Name, r.Waiting)
	}
	tbl, findings := table.Parse(f.get(1, admin.PathTable))
	assert.Equal(t, len(findings), 0, "%v", findings)
	assert.Equal(t, tbl.Edition, uint64(2))
	assert.Equal(t, len(tbl.Upstreams), 3)
	var all []admin.Explanation
	assert.NilError(t, json.Unmarshal(f.get(2, admin.PathExplain+"shop"), &all))
	assert.Equal(t, len(all), 3)
	f.stops[1]()
	assert.NilError(t, <-f.done[1])
	assert.NilError(t, json.Unmarshal(f.get(0, admin.PathFleet), &rows))
	unresponsive := 0
	for _, r := range rows {
		if r.Waiting != "" {
			unresponsive++
		}
	}
	assert.Equal(t, unresponsive, 1, "one sidecar is gone")
}

// Any sidecar shows operators the published entries from which no upstream can be read,
// with the reasons.
func TestStatusShowsInvalidEntries(t *testing.T) {
	f := startFleet(t, 2, 0)
	f.store.change(func(u *discovery.Update) {
		u.Removed = append(u.Removed, discovery.Removal{ID: "i-x", Revision: u.Revision, InvalidReason: "Slots: of another type"})
	})
	for shown := 0; shown < 2; {
		var rows []struct{ Refused string }
		assert.NilError(t, json.Unmarshal(f.get(0, admin.PathFleet), &rows))
		shown = 0
		for _, r := range rows {
			if r.Refused == "1 entries: i-x (Slots: of another type)" {
				shown++
			}
		}
	}
}
