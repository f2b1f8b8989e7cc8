package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

var testConfig = Config{Window: 10 * time.Second, Skew: time.Second, Settle: 8 * time.Second, MaxEntries: 64, MaxResponse: 8, MaxResponses: 64}

// timedKey returns a version 7 UUID with the given creation time.
func timedKey(at time.Time, n int) Key {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6], id[8], id[15] = 0x70, 0x80, byte(n)
	return Key{Service: "s", Value: id.String()}
}

func TestCreationTimeOfKey(t *testing.T) {
	at := time.UnixMilli(1_700_000_000_123)
	created, ok := timedKey(at, 1).CreatedAt()
	assert.Assert(t, ok)
	assert.Equal(t, created.UnixMilli(), at.UnixMilli())
	_, ok = Key{Value: "order-77"}.CreatedAt()
	assert.Assert(t, !ok)
}

// testOwner is a node that may own keys.
type testOwner struct {
	name    string
	ledger  *Ledger
	history *OwnerHistory
	snap    *snapshot.Snapshot
}

// weightsTable builds the table of one service with the given upstream weights.
func weightsTable(edition int, weights []int) *snapshot.Snapshot {
	raw := ""
	for i, c := range table.Header {
		if i > 0 {
			raw += ","
		}
		raw += string(c)
	}
	raw += fmt.Sprintf("\ntable,%d,,,,,,,,,,,,\nservice,s,,,,,,,,,,,,\n", edition)
	for i, w := range weights {
		raw += fmt.Sprintf("upstream,h%d,s,,%d,,,,,,,,,\n", i, w)
	}
	s, err := snapshot.Build([]byte(raw))
	if err != nil {
		panic(err)
	}
	return s
}

// begin does what the proxy does: it asks the ledger, then the earlier owners, and those
// that they name. cut reports whether an owner is unreachable.
func (h *testOwner) begin(now time.Time, k Key, owners map[string]*testOwner, cut func(string) bool) Decision {
	v := h.ledger.Begin(now, k, 1, h.snap.ID)
	if v.Decision != Run {
		return v.Decision
	}
	ask := h.history.OwnersToClaimFrom(now, k, h.name)
	if v.AlsoClaimFrom != "" {
		ask = append(ask, v.AlsoClaimFrom)
	}
	fence := Fence{Owner: h.name, Version: h.snap.ID}
	v = ClaimFromOthers(h.name, ask, func(name string) (Verdict, error) {
		if cut(name) {
			return Verdict{}, errors.New("unreachable")
		}
		return owners[name].ledger.Claim(now, k, fence), nil
	})
	if v.Decision != Run {
		h.ledger.Finish(now, k, NotRun, nil)
	}
	return v.Decision
}

// TestAtMostOnceAcrossOwners repeats keys through any node while owners restart, table
// versions with other owners come into force node by node, and nodes can't reach each
// other. The oracle is the number of runs of each key, which is never above one.
//
// The model respects two limits of the design: a node is never behind by more than the
// window, and keys without a creation time are only repeated within the window after
// their use.
func TestAtMostOnceAcrossOwners(t *testing.T) {
	runs, refusals, faults := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(10_000, 0)
		versions := []*snapshot.Snapshot{weightsTable(1, []int{1, 1, 1})}
		owners := make(map[string]*testOwner)
		var names []string
		start := func(name string, snap *snapshot.Snapshot) {
			h := &testOwner{name: name, ledger: New(testConfig, now), history: NewOwnerHistory(testConfig), snap: snap}
			h.history.Add(now, snap)
			owners[name] = h
		}
		for i := range 3 {
			names = append(names, fmt.Sprintf("h%d", i))
			start(names[i], versions[0])
		}
		now = now.Add(testConfig.Window + testConfig.Skew)
		quiet := now
		serial := 0
		count := make(map[Key]int)
		running := make(map[Key][]string)
		keys := []Key{timedKey(now, 100), timedKey(now, 101), {Service: "s", Value: "opaque-first"}}
		name := rapid.SampledFrom(names)
		catchUp := func(h *testOwner, to *snapshot.Snapshot) {
			if to.ID.Newer(h.snap.ID) {
				h.snap = to
				h.history.Add(now, to)
			}
		}
		request := func(t *rapid.T) {
			if len(keys) == 0 {
				t.Skip("no keys")
			}
			k := rapid.SampledFrom(keys).Draw(t, "key")
			// The caller's node may have an older or newer version than the owner.
			view := versions[rapid.IntRange(0, len(versions)-1).Draw(t, "view")]
			h := owners[Owner(view.Service("s"), k)]
			if Owner(h.snap.Service("s"), k) != h.name {
				return // refused as moved before the ledger is asked
			}
			cutOff := name.Draw(t, "unreachable")
			isCut := rapid.IntRange(0, 3).Draw(t, "cut") == 0
			d := h.begin(now, k, owners, func(n string) bool { return isCut && n == cutOff })
			if d != Run {
				refusals++
				return
			}
			count[k]++
			runs++
			running[k] = append(running[k], h.name)
			assert.Assert(t, count[k] <= 1, "%v ran %d times", k, count[k])
		}
		t.Repeat(map[string]func(*rapid.T){
			"new key": func(t *rapid.T) {
				serial++
				n := serial
				if rapid.Bool().Draw(t, "timed") {
					skew := time.Duration(rapid.IntRange(-900, 900).Draw(t, "skew ms")) * time.Millisecond
					keys = append(keys, timedKey(now.Add(skew), n))
				} else {
					keys = append(keys, Key{Service: "s", Value: fmt.Sprintf("opaque-%d", n)})
				}
			},
			"request": request,
			"repeat":  request,
			"again":   request,
			"end": func(t *rapid.T) {
				for _, k := range keys {
					for _, n := range running[k] {
						o := rapid.SampledFrom([]Outcome{Done, OutcomeUnknown, NotRun}).Draw(t, "outcome")
						if o == NotRun {
							count[k]--
						}
						owners[n].ledger.Finish(now, k, o, &Response{Status: 200, Kept: true})
					}
					delete(running, k)
				}
			},
			"restart": func(t *rapid.T) {
				faults++
				n := name.Draw(t, "owner")
				for _, k := range keys {
					running[k] = remove(running[k], n)
				}
				// A started node gets the newest table that a peer holds.
				start(n, versions[len(versions)-1])
			},
			"edit": func(t *rapid.T) {
				faults++
				w := rapid.SliceOfN(rapid.IntRange(0, 3), 3, 3).Draw(t, "weights")
				if w[0]+w[1]+w[2] == 0 {
					w[0] = 1
				}
				versions = append(versions, weightsTable(len(versions)+1, w))
			},
			"follow": func(t *rapid.T) {
				catchUp(owners[name.Draw(t, "owner")], versions[rapid.IntRange(0, len(versions)-1).Draw(t, "version")])
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
				if now.Sub(quiet) > testConfig.Window/2 {
					// Opaque keys are not repeated after the window, and all nodes get
					// every version within seconds.
					keys = onlyTimed(keys)
					quiet = now
					for _, n := range names {
						catchUp(owners[n], versions[len(versions)-1])
					}
				}
			},
			"long time": func(t *rapid.T) {
				now = now.Add(testConfig.Window + time.Second)
				keys = onlyTimed(keys)
				for _, n := range names {
					catchUp(owners[n], versions[len(versions)-1])
				}
			},
		})
	})
	t.Logf("%d runs, %d refusals, %d faults", runs, refusals, faults)
}

func onlyTimed(keys []Key) []Key {
	var out []Key
	for _, k := range keys {
		if _, timed := k.CreatedAt(); timed {
			out = append(out, k)
		}
	}
	return out
}

func remove(names []string, name string) []string {
	var out []string
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

// A node that starts with the newest version has never seen the earlier owners, one of
// which may still be in force elsewhere. It must send claims to all the others.
func TestStartedOwnerClaimsFromUnseenOwners(t *testing.T) {
	now := time.Unix(10_000, 0)
	old, next := weightsTable(1, []int{1, 0, 0}), weightsTable(2, []int{0, 1, 0})
	behind, started := New(testConfig, now.Add(-time.Hour)), NewOwnerHistory(testConfig)
	k := timedKey(now.Add(2*time.Second), 1)
	assert.Equal(t, behind.Begin(now.Add(2*time.Second), k, 1, old.ID).Decision, Run)
	started.Add(now, next)
	assert.DeepEqual(t, started.OwnersToClaimFrom(now.Add(3*time.Second), k, "h1"), []string{"h0", "h2"})
	later := timedKey(now.Add(testConfig.Settle+2*time.Second), 2)
	assert.Equal(t, len(started.OwnersToClaimFrom(now.Add(testConfig.Settle+3*time.Second), later, "h1")), 0)
}

// An owner that is unreachable or has run the key prevents the run, even if only another
// owner names it.
func TestClaimFromOthers(t *testing.T) {
	claim := func(owner string) (Verdict, error) {
		switch owner {
		case "unreachable":
			return Verdict{}, errors.New("unreachable")
		case "ran":
			return Verdict{Decision: Replay}, nil
		case "fenced":
			return Verdict{Decision: Moved, AlsoClaimFrom: "ran"}, nil
		}
		return Verdict{Decision: Moved}, nil
	}
	for _, c := range []struct {
		owners []string
		want   Decision
	}{
		{nil, Run},
		{[]string{"self", "b", "c"}, Run},
		{[]string{"b", "unreachable"}, PriorUnknown},
		{[]string{"b", "ran"}, Replay},
		{[]string{"fenced", "b"}, Replay},
	} {
		assert.Equal(t, ClaimFromOthers("self", c.owners, claim).Decision, c.want, "%v", c.owners)
	}
}

func TestRepeatGetsKeptAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(testConfig, now)
	now = now.Add(testConfig.Window)
	k := Key{Service: "s", Value: "opaque"}
	assert.Equal(t, l.Begin(now, k, 7, version.ID{}).Decision, Run)
	assert.Equal(t, l.Begin(now, k, 7, version.ID{}).Decision, InProgress)
	l.Finish(now, k, Done, &Response{Status: 201, Body: []byte("ok"), Kept: true})
	v := l.Begin(now, k, 7, version.ID{})
	assert.Equal(t, v.Decision, Replay)
	assert.Equal(t, string(v.Response.Body), "ok")
	assert.Equal(t, l.Begin(now, k, 8, version.ID{}).Decision, Conflict)
}

func TestStartedNodeRefusesWhatItCannotKnow(t *testing.T) {
	start := time.Unix(1000, 0)
	l := New(testConfig, start)
	opaque := Key{Service: "s", Value: "opaque"}
	assert.Equal(t, l.Begin(start.Add(time.Second), opaque, 1, version.ID{}).Decision, PriorUnknown)
	assert.Equal(t, l.Begin(start.Add(testConfig.Window), opaque, 1, version.ID{}).Decision, Run)
	assert.Equal(t, l.Begin(start.Add(2*time.Second), timedKey(start.Add(-time.Second), 1), 1, version.ID{}).Decision, PriorUnknown)
	assert.Equal(t, l.Begin(start.Add(3*time.Second), timedKey(start.Add(2*time.Second), 2), 1, version.ID{}).Decision, Run)
	assert.Equal(t, l.Begin(start.Add(3*time.Second), timedKey(start.Add(time.Hour), 3), 1, version.ID{}).Decision, Future)
}

func TestLedgerIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(testConfig, now.Add(-time.Hour))
	for i := range testConfig.MaxEntries {
		k := Key{Value: fmt.Sprint(i)}
		assert.Equal(t, l.Begin(now, k, 1, version.ID{}).Decision, Run)
		l.Finish(now, k, Done, &Response{Status: 200, Body: []byte("12345678"), Kept: true})
	}
	assert.Equal(t, l.Begin(now, Key{Value: "more"}, 1, version.ID{}).Decision, Full)
	assert.Assert(t, l.answerBytes <= testConfig.MaxResponses)
	now = now.Add(testConfig.Window + 1)
	assert.Equal(t, l.Begin(now, Key{Value: "more"}, 1, version.ID{}).Decision, Run)
	assert.Equal(t, l.Len(), 1)
	assert.Equal(t, l.answerBytes, 0)
}

func TestOwnerMovesOnlyTheChangedShare(t *testing.T) {
	before := weightsTable(1, []int{4, 4, 4}).Service("s")
	after := weightsTable(2, []int{4, 4, 5}).Service("s")
	moved, to := 0, 0
	const n = 10_000
	for i := range n {
		k := Key{Service: "s", Value: fmt.Sprint(i)}
		if Owner(before, k) != Owner(after, k) {
			moved++
			if Owner(after, k) == "h2" {
				to++
			}
		}
	}
	assert.Equal(t, moved, to, "keys move only to the upstream whose weight grew")
	// h2 goes from 4/12 to 5/13 of the keys: 5.1 in a hundred.
	assert.Assert(t, moved > n*4/100 && moved < n*6/100, "%d", moved)
}
