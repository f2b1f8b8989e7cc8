package discovery

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/version"
)

// jsonTable is a table in the form of a published document: one line of JSON.
func jsonTable(edition uint64, routes []string) *Document {
	raw := fmt.Appendf(nil, `{"Version":"%08x","Routes":[%s],"Limits":{"body":100}}`, edition, joinRoutes(routes))
	return &Document{ID: version.Of(edition, raw), Raw: raw}
}

func joinRoutes(routes []string) string {
	var b bytes.Buffer
	for i, r := range routes {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(r)
	}
	return b.String()
}

func routesOf(n, timeout int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = routeOf(i, timeout, i%60)
	}
	return out
}

func routeOf(i, timeout, service int) string {
	name := (i + 1) * 7919 % 1_000_003
	return fmt.Sprintf(`{"Name":"r-%06x","Host":"shop%d.example","Prefix":"/p%x/of%d/","Kind":"safe","timeout":%d,"objective":800,"Priority":1,"Service":"s-%d","tries":2}`,
		name, i%40, name*31, i%100, timeout, service)
}

// tableChanges are changes of a table that operators make.
var tableChanges = map[string]func([]string) []string{
	"a route moved":        func(r []string) []string { r[len(r)/2] = routeOf(len(r)/2, 1500, 59); return r },
	"40 routes added":      func(r []string) []string { return append(r, routesOf(len(r)+40, 1500)[len(r):]...) },
	"a route removed":      func(r []string) []string { return append(r[:7], r[8:]...) },
	"all timeouts changed": func(r []string) []string { return routesOf(len(r), 1800) },
}

// followerAfter returns a follower that got a peer request and then tables one after
// another, for testing patches only.
func followerAfter(first *Document, later ...*Document) *Follower {
	f := NewFollower(DefaultConfig(), nil, nil, nil, nil, nil)
	f.lastPeerRequest, f.document = time.Now(), first
	for _, d := range later {
		f.advance(d)
	}
	return f
}

func (f *Follower) advance(d *Document) {
	f.recordTableStep(d)
	f.document, f.patches = d, nil
}

// A patch must be much smaller than the table: with a link of 7 Mbit/s a reader sends it
// to 24 followers for each version in a series of edits.
func TestPatchIsSmall(t *testing.T) {
	for _, n := range []int{1120, 3300} {
		for name, change := range tableChanges {
			from := jsonTable(1, routesOf(n, 1500))
			to := jsonTable(2, change(routesOf(n, 1500)))
			f := followerAfter(from, to)
			patch, err := f.patch(from.ID)
			assert.NilError(t, err)
			full, err := deflate(to.Raw)
			assert.NilError(t, err)
			t.Logf("%d routes, %s: patch of %d bytes, full table of %d", n, name, len(patch), len(full))
			limit := len(full) / 10
			if name == "all timeouts changed" {
				limit = len(full) / 2
			}
			assert.Assert(t, patch != nil && len(patch) < limit, "%d routes, %s: %d of %d bytes", n, name, len(patch), len(full))
			raw, err := applyPatch(from, patch, to.ID)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(raw, to.Raw))
		}
	}
}

// TestPatchesAgainstOracle publishes versions at random. Oracle: the published bytes.
// From each version that is kept the patch must lead to the last one, byte for byte; a
// patch with another result is rejected.
func TestPatchesAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		routes := routesOf(rapid.IntRange(1, 60).Draw(t, "routes"), 1500)
		held := jsonTable(1, routes)
		f := followerAfter(held)
		past := []*Document{held}
		for edition := uint64(2); edition < uint64(rapid.IntRange(3, 50).Draw(t, "versions")); edition++ {
			for range rnd.IntN(4) {
				at := rnd.IntN(len(routes) + 1)
				switch {
				case rnd.IntN(2) == 0 || len(routes) < 2 || at == len(routes):
					routes = append(routes[:at:at], append([]string{routeOf(rnd.IntN(1000), rnd.IntN(9), 1)}, routes[at:]...)...)
				case rnd.IntN(2) == 0:
					routes[at] = routeOf(rnd.IntN(1000), 7, 3)
				default:
					routes = append(routes[:at:at], routes[at+1:]...)
				}
			}
			next := jsonTable(edition, routes)
			f.advance(next)
			past = append(past, next)
		}
		for _, base := range past[:len(past)-1] {
			patch, err := f.patch(base.ID)
			assert.NilError(t, err)
			if patch == nil {
				continue // the full table is sent
			}
			raw, err := applyPatch(base, patch, f.document.ID)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(raw, f.document.Raw))
			_, err = applyPatch(past[0], patch, base.ID)
			assert.Assert(t, err != nil, "a patch was accepted for a version that it was not made for")
		}
		assert.Assert(t, f.tableSteps.Len() <= maxPatchSteps && f.tableSteps.Bytes() <= maxPatchStepBytes)
	})
}

// No patch, whatever its bytes, may result in a table other than the announced one.
func FuzzDifference(f *testing.F) {
	from, to := jsonTable(1, routesOf(20, 1500)), jsonTable(2, routesOf(20, 1800))
	patch, err := followerAfter(from, to).patch(from.ID)
	assert.NilError(f, err)
	f.Add(patch)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, patch []byte) {
		raw, err := applyPatch(from, patch, to.ID)
		assert.Assert(t, err != nil || bytes.Equal(raw, to.Raw))
	})
}

// jsonSource decodes tables of jsonTable.
type jsonSource struct{ fakeSource }

func (s *jsonSource) Decode(_ context.Context, raw []byte) (*Document, error) {
	var edition uint64
	if _, err := fmt.Sscanf(string(raw), `{"Version":"%x"`, &edition); err != nil {
		return nil, err
	}
	d := testDocument(edition)
	d.ID, d.Raw = version.Of(edition, raw), raw
	return d, nil
}

// directPeer is a Peers with a single node, whose updates a test may change.
type directPeer struct {
	to       *Follower
	tamper   func(*PeerUpdate)
	requests []PeerRequest
}

func (p *directPeer) Ask(ctx context.Context, _ netip.AddrPort, req PeerRequest) (PeerUpdate, error) {
	p.requests = append(p.requests, req)
	update, err := p.to.PeerUpdateAfter(ctx, req)
	if p.tamper != nil {
		p.tamper(&update)
	}
	return update, err
}

// followerWith returns a follower that holds a table.
func followerWith(t *testing.T, peers Peers, d *Document) *Follower {
	t.Helper()
	f := NewFollower(DefaultConfig(), &jsonSource{}, peers, &snapshot.Holder{}, log.New(io.Discard), func(*Directory) {})
	f.takeTable(t, d)
	return f
}

func (f *Follower) takeTable(t *testing.T, d *Document) {
	t.Helper()
	decoded, err := f.source.Decode(t.Context(), d.Raw)
	assert.NilError(t, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setDocument(decoded, SourceStore)
	f.markSynced(time.Now())
}

// A node gets patches, also one over several versions. A patch that does not fit its
// table changes nothing and makes the node request a full table; after that it gets
// patches again.
func TestMismatchedPatchIsReplacedByFullTable(t *testing.T) {
	routes := routesOf(200, 1500)
	table := func(edition int) *Document {
		return jsonTable(uint64(edition), append(routes, routesOf(200+edition, 900)[200:]...))
	}
	peer := &directPeer{to: followerWith(t, nil, table(1))}
	f := followerWith(t, peer, table(1))
	var state sourceState
	poll := func() error {
		_, err := f.pollSource(t.Context(), 0, &state)
		return err
	}
	assert.NilError(t, poll())
	peer.to.takeTable(t, table(2))
	peer.to.takeTable(t, table(3))
	var got PeerUpdate
	peer.tamper = func(n *PeerUpdate) { got = *n }
	assert.NilError(t, poll())
	assert.Equal(t, f.tableVersion(), table(3).ID)
	assert.Assert(t, len(got.Document) == 0 && len(got.Patch) < 300, "%d bytes", len(got.Patch))

	peer.to.takeTable(t, table(4))
	malformed, err := deflate([]byte("no splices"))
	assert.NilError(t, err)
	peer.tamper = func(n *PeerUpdate) { n.Patch = malformed }
	assert.Assert(t, poll() != nil)
	assert.Equal(t, f.tableVersion(), table(3).ID)
	peer.tamper = nil
	assert.NilError(t, poll())
	assert.Assert(t, !peer.requests[len(peer.requests)-1].AcceptPatch)
	assert.Equal(t, f.tableVersion(), table(4).ID)

	peer.to.takeTable(t, table(5))
	assert.NilError(t, poll())
	assert.Assert(t, peer.requests[len(peer.requests)-1].AcceptPatch)
	assert.Equal(t, f.tableVersion(), table(5).ID)
}

// A node of an earlier build, which does not accept patches, gets full tables.
func TestEarlierBuildGetsFullTables(t *testing.T) {
	reader := followerWith(t, nil, jsonTable(1, routesOf(50, 1500)))
	req := PeerRequest{IncludeTable: true, Table: reader.tableVersion(), After: Cursor{Epoch: 1}}
	_, err := reader.PeerUpdateAfter(t.Context(), req)
	assert.NilError(t, err)
	reader.takeTable(t, jsonTable(2, routesOf(51, 1500)))
	n, err := reader.PeerUpdateAfter(t.Context(), req)
	assert.NilError(t, err)
	assert.Assert(t, len(n.Patch) == 0 && len(n.Document) > 0)
	req.AcceptPatch = true
	n, err = reader.PeerUpdateAfter(t.Context(), req)
	assert.NilError(t, err)
	assert.Assert(t, len(n.Patch) > 0 && len(n.Document) == 0)
}
