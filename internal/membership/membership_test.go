package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testAddr = netip.MustParseAddrPort("127.0.0.1:1")

func instance(name string, generation uint64) Instance {
	return Instance{Name: name, DataCentre: "dc", Region: "r", Peer: testAddr, State: ListedLive, Generation: generation}
}

// fleet returns n members spread over data centres and regions.
func fleet(n, centres, regions int) []Member {
	out := make([]Member, n)
	for i := range out {
		dc := i % centres
		out[i] = Member{Instance: Instance{
			Name: fmt.Sprintf("n%04d", i), DataCentre: fmt.Sprintf("dc%02d", dc), Region: fmt.Sprintf("r%d", dc%regions), Peer: testAddr, State: ListedLive,
		}}
	}
	return out
}

// linkGraph returns the links of all members, each to its first candidate.
func linkGraph(members []Member) map[string]map[string]bool {
	g := make(map[string]map[string]bool)
	add := func(a, b string) {
		if g[a] == nil {
			g[a] = make(map[string]bool)
		}
		g[a][b] = true
	}
	for _, m := range members {
		if m.Status == Gone {
			continue
		}
		for _, s := range Overlay(m.Instance, members) {
			add(m.Name, s.Candidates[0])
			add(s.Candidates[0], m.Name)
		}
	}
	return g
}

// maxDistance returns the greatest distance in hops from a node and the number of nodes
// that are reachable from it.
func maxDistance(g map[string]map[string]bool, from string) (far, reached int) {
	dist := map[string]int{from: 0}
	queue := []string{from}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		far = max(far, dist[at])
		for next := range g[at] {
			if _, ok := dist[next]; !ok {
				dist[next] = dist[at] + 1
				queue = append(queue, next)
			}
		}
	}
	return far, len(dist)
}

func TestOverlayAtTargetSize(t *testing.T) {
	members := fleet(2300, 26, 7)
	g := linkGraph(members)
	most, sum := 0, 0
	for _, links := range g {
		most, sum = max(most, len(links)), sum+len(links)
	}
	far, reached := maxDistance(g, "n0000")
	t.Logf("links per node: mean %.2f, most %d; hops from n0000: at most %d", float64(sum)/float64(len(g)), most, far)
	assert.Equal(t, reached, 2300)
	assert.Assert(t, most <= 16, "%d links", most)
	// Up to four hops inside each of three data centres, and two hops between them.
	assert.Assert(t, far <= 14, "%d hops", far)
}

// The overlay connects all live members, whichever others are gone.
func TestOverlayConnectsLiveMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		centres := rapid.IntRange(1, 6).Draw(t, "centres")
		members := fleet(rapid.IntRange(1, 60).Draw(t, "nodes"), centres, rapid.IntRange(1, centres).Draw(t, "regions"))
		alive, first := 0, ""
		for i := range members {
			if rapid.IntRange(0, 3).Draw(t, "gone if 0") == 0 {
				members[i].Status = Gone
				continue
			}
			alive++
			first = members[i].Name
		}
		if alive == 0 {
			t.Skip("no live member")
		}
		_, reached := maxDistance(linkGraph(members), first)
		assert.Equal(t, reached, alive)
	})
}

// An instance that goes away changes few links between the others.
func TestOverlayIsStable(t *testing.T) {
	members := fleet(260, 13, 4)
	before := linkGraph(members)
	gone := members[100].Name
	members[100].Status = Gone
	after := linkGraph(members)
	changed := 0
	for name, links := range before {
		for to := range links {
			if name != gone && to != gone && !after[name][to] {
				changed++
			}
		}
	}
	assert.Assert(t, changed <= 8, "%d links were dropped", changed)
}

// readersPerCentre is the number of readers of each data centre in the test below.
const readersPerCentre = 2

func TestReaderIsReplacedWhenGone(t *testing.T) {
	members := fleet(100, 4, 2)
	var readers []int
	for i, m := range members {
		if ReaderRank(m.Instance, members) < readersPerCentre {
			readers = append(readers, i)
		}
	}
	assert.Equal(t, len(readers), 4*readersPerCentre)
	members[readers[0]].Status = Gone
	count := 0
	for _, m := range members {
		if m.Status != Gone && ReaderRank(m.Instance, members) < readersPerCentre {
			count++
		}
	}
	assert.Equal(t, count, 4*readersPerCentre, "another node must become reader")
}

// TestViewsAgree delivers rumors to views in any order, duplicated and delayed, while
// instances suspect each other, leave and restart. Invariant: once all rumors are
// delivered, each view has the same status for each instance, and no running instance that
// is not suspected counts as gone.
func TestViewsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		names := []string{"a", "b", "c", "d"}
		list := &List{Revision: 1}
		for _, n := range names {
			list.Instances = append(list.Instances, instance(n, 0))
		}
		views := make(map[string]*View)
		generation := uint64(1)
		start := func(n string) Rumor {
			generation += 10
			views[n] = NewView(DefaultConfig(), instance(n, generation))
			views[n].SetList(list, now)
			return views[n].SelfRumor()
		}
		var sent []Rumor
		for _, n := range names {
			sent = append(sent, start(n))
		}
		hear := func(n string, r Rumor) {
			if _, refute := views[n].Apply(r, now); refute != nil {
				sent = append(sent, *refute)
			}
		}
		name := rapid.SampledFrom(names)
		t.Repeat(map[string]func(*rapid.T){
			"hear": func(t *rapid.T) { hear(name.Draw(t, "who"), rapid.SampledFrom(sent).Draw(t, "rumor")) },
			"declare suspect": func(t *rapid.T) {
				if r, ok := views[name.Draw(t, "who")].Suspect(name.Draw(t, "whom"), now); ok {
					sent = append(sent, r)
				}
			},
			"restart": func(t *rapid.T) { sent = append(sent, start(name.Draw(t, "who"))) },
			"leave": func(t *rapid.T) {
				sent = append(sent, views[name.Draw(t, "who")].SetLeaving(rapid.Bool().Draw(t, "on")))
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		for before, rounds := -1, 0; before != len(sent); rounds++ {
			assert.Assert(t, rounds < 20, "rumors do not converge")
			before = len(sent)
			for _, r := range sent {
				for _, n := range names {
					hear(n, r)
				}
			}
		}
		now = now.Add(time.Minute)
		for _, subject := range names {
			for _, n := range names {
				assert.Equal(t, views[n].Status(subject, now), views[subject].SelfRumor().Status, "view of %s about %s", n, subject)
			}
		}
	})
}

func TestSuspectIsGoneAfterTimeoutUnlessItRefutes(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := NewView(DefaultConfig(), instance("a", 5)), NewView(DefaultConfig(), instance("b", 6))
	a.SetList(&List{Revision: 1, Instances: []Instance{instance("b", 0)}}, now)
	a.Apply(b.SelfRumor(), now)
	r, ok := a.Suspect("b", now)
	assert.Assert(t, ok)
	assert.Equal(t, a.Status("b", now), Suspect)
	assert.Equal(t, a.Status("b", now.Add(DefaultConfig().SuspicionTimeout)), Gone)
	_, refute := b.Apply(r, now)
	assert.Assert(t, refute != nil)
	changed, _ := a.Apply(*refute, now)
	assert.Assert(t, changed)
	assert.Equal(t, a.Status("b", now.Add(time.Hour)), Alive)
}

// An address that changed between two lists replaces that of an earlier announcement, also
// if the announcement of the moved instance is lost.
func TestListMovesInstance(t *testing.T) {
	now := time.Unix(1000, 0)
	v := NewView(DefaultConfig(), instance("a", 1))
	at := instance("b", 0)
	v.SetList(&List{Revision: 1, Instances: []Instance{at}}, now)
	joined := instance("b", 9)
	v.Apply(Rumor{Name: "b", Incarnation: 9, Instance: &joined}, now)
	at.Peer = netip.MustParseAddrPort("127.0.0.2:2")
	v.SetList(&List{Revision: 2, Instances: []Instance{at}}, now)
	assert.Equal(t, v.Members(now)[1].Peer, at.Peer)
}

func TestJoinWithoutListEntryEndsAfterGrace(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := NewView(DefaultConfig(), instance("a", 5)), NewView(DefaultConfig(), instance("b", 6))
	a.Apply(b.SelfRumor(), now)
	assert.Equal(t, a.Status("b", now.Add(DefaultConfig().JoinGrace)), Alive)
	assert.Equal(t, a.Status("b", now.Add(DefaultConfig().JoinGrace+1)), Gone)
}

func TestJoinOvertakesLaggingList(t *testing.T) {
	now := time.Unix(1000, 0)
	v := NewView(DefaultConfig(), instance("a", 1))
	old := instance("b", 5)
	old.State = ListedLeaving
	v.SetList(&List{Revision: 1, Instances: []Instance{old}}, now)
	assert.Equal(t, v.Status("b", now), Leaving)
	fresh := instance("b", 9)
	v.Apply(Rumor{Name: "b", Incarnation: 9, Instance: &fresh}, now)
	assert.Equal(t, v.Status("b", now), Alive)
	v.SetList(&List{Revision: 2, Instances: []Instance{old}}, now)
	assert.Equal(t, v.Status("b", now), Alive, "the list still shows the earlier process")
}

// oddInstances are instances that another program may add to a list.
var oddInstances = []string{
	strings.Repeat(`{"name":`, 20000) + "1" + strings.Repeat("}", 20000),
	`{"name":"x","dc":"d","state":"live","peer":"127.0.0.1:5","more":` + strings.Repeat("[", 400000) + strings.Repeat("]", 400000) + `,"generation":-1}`,
	`{"name":"x","dc":"d","state":"live","peer":"127.0.0.1:99999"}`,
	`{"name":"x","dc":"d","state":"live","peer":"127.0.0.1:-1"}`,
	`{"name":"x","dc":"d","state":"live","peer":"127.0.0.1:0"}`,
	`{"name":"x","dc":"d","state":"live","peer":"127.0.0.1"}`,
	`{"name":"x","dc":"d","state":"live","peer":7}`,
	`{"name":"x","dc":"d","state":"live","peer":"127.0.0.1:5","generation":1e400}`,
	`{"name":"x","dc":"d","state":"live","peer":"127.0.0.1:5","generation":99999999999999999999999}`,
	`{"name":"x","dc":"d","state":"warming","peer":"127.0.0.1:5"}`,
	`{"name":"a","dc":"d","state":"live","peer":"127.0.0.1:5"}`,
	`{"name":"x\"[{","dc":null}`,
	`null`, `[]`, `7`, `"{["`,
}

// Guards against nodes that stop following the list because of one instance that another
// program has added.
func TestOddInstancesAreLeftOut(t *testing.T) {
	const first, last = `{"name":"a","dc":"d","peer":"127.0.0.1:1","state":"live"}`, `{"name":"b","dc":"d","peer":"127.0.0.1:2","state":"live"}`
	for _, odd := range append(oddInstances, strings.Join(oddInstances, ",")) {
		raw := []byte(`{"revision":1,"instances":[` + first + "," + odd + "," + last + "]}")
		l, id, err := ParseList(raw)
		assert.NilError(t, err, "%.80s", odd)
		assert.Equal(t, id.Edition, uint64(1))
		assert.Equal(t, len(l.Instances), 2, "%.80s", odd)
		assert.Equal(t, l.Instances[0].Peer.Port(), uint16(1))
		assert.Equal(t, l.Instances[1].Name, "b")
		assert.Assert(t, len(l.Defects) > 0)
		assert.Equal(t, l.Defects[0].Index, 1)
	}
}

func FuzzParseList(f *testing.F) {
	f.Add([]byte(`{"revision":1,"instances":[{"name":"a","dc":"d","peer":"127.0.0.1:1","state":"live"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		l, _, err := ParseList(raw)
		assert.Equal(t, l == nil, err != nil)
	})
}

// A few nodes read the platform for all data centres, and stay the same while other nodes
// join and leave. The readers of each data centre follow them; the other nodes follow one
// reader of their own and one of another data centre.
func TestStoreReadersAreFewAndStable(t *testing.T) {
	const perReader = 4
	var members []Member
	add := func(centre string, i int) {
		members = append(members, Member{Instance: Instance{Name: fmt.Sprintf("%s-%d", centre, i), DataCentre: centre}, Status: Alive})
	}
	for c := range 8 {
		for i := range 10 {
			add(fmt.Sprintf("dc%d", c), i)
		}
	}
	roster := NewRoster(perReader, members)
	few := roster.StoreReaders()
	assert.Equal(t, len(few), storeReaderCount)
	centres := make(map[string]bool)
	for _, m := range members {
		relays := roster.Readers(m.DataCentre)
		sources := roster.UpdateSources(m.Instance)
		assert.Equal(t, len(sources), MaxUpdateSources)
		for _, s := range sources {
			assert.Assert(t, s != m.Name)
			if slices.Contains(relays, m.Name) {
				assert.Assert(t, slices.Contains(few, s), "%s follows %s", m.Name, s)
			}
		}
		if slices.Contains(few, m.Name) {
			centres[m.DataCentre] = true
			assert.Assert(t, slices.Contains(relays, m.Name))
		}
	}
	assert.Equal(t, len(centres), storeReaderCount, "each in a different data centre")
	kept := slices.DeleteFunc(slices.Clone(members), func(m Member) bool {
		return !slices.Contains(few, m.Name) && strings.HasSuffix(m.Name, "3")
	})
	assert.DeepEqual(t, NewRoster(perReader, kept).StoreReaders(), few)
	assert.Equal(t, len(NewRoster(perReader, members[:1]).StoreReaders()), 1)
}

// A roster that was changed incrementally equals one built from the final nodes.
func TestRosterMatchesRebuiltRoster(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 4))
	known := make(map[string]Member)
	r := NewRoster(4, nil)
	for range 3000 {
		name := fmt.Sprintf("n%d", rnd.IntN(60))
		m := Member{Instance: Instance{Name: name, DataCentre: fmt.Sprintf("dc%d", rnd.IntN(4))}, Status: Status(rnd.IntN(4)), LinkMbps: uint32(rnd.IntN(3))}
		if rnd.IntN(5) == 0 {
			delete(known, name)
			r.Remove(name)
		} else {
			known[name] = m
			r.Set(m)
		}
		anew := NewRoster(4, slices.Collect(maps.Values(known)))
		assert.DeepEqual(t, r.StoreReaders(), anew.StoreReaders())
		assert.DeepEqual(t, r.ReaderCandidates(), anew.ReaderCandidates())
		assert.DeepEqual(t, r.UpdateSources(m.Instance), anew.UpdateSources(m.Instance))
		assert.Equal(t, r.Len(), anew.Len())
	}
}
