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

// writtenTable is a table in the form of a published document: one line of JSON.
func writtenTable(edition uint64, routes []string) *Document {
	raw := fmt.Appendf(nil, `{"Version":"%08x","Routes":[%s],"Limits":{"body":100}}`, edition, joined(routes))
	return &Document{ID: version.Of(edition, raw), Raw: raw}
}

func joined(routes []string) string {
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

// changes of a table that operators make.
var tableChanges = map[string]func([]string) []string{
	"a route moved":           func(r []string) []string { r[len(r)/2] = routeOf(len(r)/2, 1500, 59); return r },
	"40 routes added":         func(r []string) []string { return append(r, routesOf(len(r)+40, 1500)[len(r):]...) },
	"a route removed":         func(r []string) []string { return append(r[:7], r[8:]...) },
	"all time limits changed": func(r []string) []string { return routesOf(len(r), 1800) },
}

// advanced returns a follower that was asked for news and took tables one after the
// other, for differences alone.
func advanced(first *Document, later ...*Document) *Follower {
	f := NewFollower(DefaultConfig(), nil, nil, nil, nil, nil)
	f.asked, f.document = time.Now(), first
	for _, d := range later {
		f.advance(d)
	}
	return f
}

func (f *Follower) advance(d *Document) {
	f.remember(d)
	f.document, f.patches = d, nil
}

// A difference takes a small part of the bytes of a table: what a reader with a link of
// 7 Mbit/s sends to 24 followers at each version of a storm.
func TestDifferenceOfATableIsSmall(t *testing.T) {
	for _, n := range []int{1120, 3300} {
		for name, change := range tableChanges {
			from := writtenTable(1, routesOf(n, 1500))
			to := writtenTable(2, change(routesOf(n, 1500)))
			f := advanced(from, to)
			patch, err := f.patch(from.ID)
			assert.NilError(t, err)
			whole, err := deflate(to.Raw)
			assert.NilError(t, err)
			t.Logf("%d routes, %s: %d bytes in place of %d", n, name, len(patch), len(whole))
			limit := len(whole) / 10
			if name == "all time limits changed" {
				limit = len(whole) / 2
			}
			assert.Assert(t, patch != nil && len(patch) < limit, "%d routes, %s: %d of %d bytes", n, name, len(patch), len(whole))
			raw, err := applyPatch(from, patch, to.ID)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(raw, to.Raw))
		}
	}
}

// TestDifferencesAgainstOracle publishes versions at random. Oracle: the published
// bytes. From each version that is remembered the difference leads to the last one, byte
// for byte; one that leads elsewhere is refused.
func TestDifferencesAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		routes := routesOf(rapid.IntRange(1, 60).Draw(t, "routes"), 1500)
		held := writtenTable(1, routes)
		f := advanced(held)
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
			next := writtenTable(edition, routes)
			f.advance(next)
			past = append(past, next)
		}
		for _, base := range past[:len(past)-1] {
			patch, err := f.patch(base.ID)
			assert.NilError(t, err)
			if patch == nil {
				continue // the whole is sent
			}
			raw, err := applyPatch(base, patch, f.document.ID)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(raw, f.document.Raw))
			_, err = applyPatch(past[0], patch, base.ID)
			assert.Assert(t, err != nil, "a difference leads to a version that it was not made for")
		}
		assert.Assert(t, f.steps.Len() <= maxSteps && f.steps.Bytes() <= maxStepBytes)
	})
}

// Whatever comes as a difference, no table but the announced one results.
func FuzzDifference(f *testing.F) {
	from, to := writtenTable(1, routesOf(20, 1500)), writtenTable(2, routesOf(20, 1800))
	patch, err := advanced(from, to).patch(from.ID)
	assert.NilError(f, err)
	f.Add(patch)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, patch []byte) {
		raw, err := applyPatch(from, patch, to.ID)
		assert.Assert(t, err != nil || bytes.Equal(raw, to.Raw))
	})
}

// writtenSource decodes written tables.
type writtenSource struct{ fakeSource }

func (s *writtenSource) Decode(_ context.Context, raw []byte) (*Document, error) {
	var edition uint64
	if _, err := fmt.Sscanf(string(raw), `{"Version":"%x"`, &edition); err != nil {
		return nil, err
	}
	d := testDocument(edition)
	d.ID, d.Raw = version.Of(edition, raw), raw
	return d, nil
}

// link is a Peers to one node, whose news may be spoiled on the way.
type link struct {
	to    *Follower
	spoil func(*PeerUpdate)
	asks  []PeerRequest
}

func (l *link) Ask(ctx context.Context, _ netip.AddrPort, ask PeerRequest) (PeerUpdate, error) {
	l.asks = append(l.asks, ask)
	n, err := l.to.PeerUpdateAfter(ctx, ask)
	if l.spoil != nil {
		l.spoil(&n)
	}
	return n, err
}

// holding returns a follower that holds a table.
func holding(t *testing.T, peers Peers, d *Document) *Follower {
	t.Helper()
	f := NewFollower(DefaultConfig(), &writtenSource{}, peers, &snapshot.Holder{}, log.New(io.Discard), func(*Directory) {})
	f.take(t, d)
	return f
}

func (f *Follower) take(t *testing.T, d *Document) {
	t.Helper()
	decoded, err := f.source.Decode(t.Context(), d.Raw)
	assert.NilError(t, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.takeDocument(decoded, SourceStore)
	f.know(time.Now())
}

// A node that asks gets differences, over several versions in one; one that does not fit
// its table changes nothing, and the whole is asked for; then differences come again.
func TestDifferenceThatDoesNotFitIsHealedByTheWhole(t *testing.T) {
	routes := routesOf(200, 1500)
	table := func(edition int) *Document {
		return writtenTable(uint64(edition), append(routes, routesOf(200+edition, 900)[200:]...))
	}
	way := &link{to: holding(t, nil, table(1))}
	f := holding(t, way, table(1))
	var slot peerLink
	ask := func() error {
		_, err := f.askOnce(t.Context(), 0, &slot)
		return err
	}
	assert.NilError(t, ask())
	way.to.take(t, table(2))
	way.to.take(t, table(3))
	var got PeerUpdate
	way.spoil = func(n *PeerUpdate) { got = *n }
	assert.NilError(t, ask())
	assert.Equal(t, f.holds(), table(3).ID)
	assert.Assert(t, len(got.Document) == 0 && len(got.Patch) < 300, "%d bytes", len(got.Patch))

	way.to.take(t, table(4))
	other, err := deflate([]byte("no splices"))
	assert.NilError(t, err)
	way.spoil = func(n *PeerUpdate) { n.Patch = other }
	assert.Assert(t, ask() != nil)
	assert.Equal(t, f.holds(), table(3).ID)
	way.spoil = nil
	assert.NilError(t, ask())
	assert.Assert(t, !way.asks[len(way.asks)-1].AcceptPatch)
	assert.Equal(t, f.holds(), table(4).ID)

	way.to.take(t, table(5))
	assert.NilError(t, ask())
	assert.Assert(t, way.asks[len(way.asks)-1].AcceptPatch)
	assert.Equal(t, f.holds(), table(5).ID)
}

// A node of an earlier build, which does not ask for differences, gets whole tables.
func TestEarlierBuildGetsWholeTables(t *testing.T) {
	reader := holding(t, nil, writtenTable(1, routesOf(50, 1500)))
	ask := PeerRequest{IncludeTable: true, Table: reader.holds(), After: Cursor{Epoch: 1}}
	_, err := reader.PeerUpdateAfter(t.Context(), ask)
	assert.NilError(t, err)
	reader.take(t, writtenTable(2, routesOf(51, 1500)))
	n, err := reader.PeerUpdateAfter(t.Context(), ask)
	assert.NilError(t, err)
	assert.Assert(t, len(n.Patch) == 0 && len(n.Document) > 0)
	ask.AcceptPatch = true
	n, err = reader.PeerUpdateAfter(t.Context(), ask)
	assert.NilError(t, err)
	assert.Assert(t, len(n.Patch) > 0 && len(n.Document) == 0)
}
