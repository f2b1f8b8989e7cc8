package sidecar

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/uber-go/tally/v4"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/quota"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// lenders are sidecars that lend each other tokens, over ways that can be cut.
type lenders struct {
	all   map[netip.AddrPort]*customerQuotas
	cut   sync.Map // addresses that nobody reaches: true, or hangs for no answer at all
	asked atomic.Int64
	hung  atomic.Int64 // questions that nobody answered
}

func (l *lenders) RoundTrip(r *http.Request) (*http.Response, error) {
	l.asked.Add(1)
	to := netip.MustParseAddrPort(r.URL.Host)
	if how, ok := l.cut.Load(to); ok {
		if how == hangs {
			l.hung.Add(1)
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		return nil, io.ErrUnexpectedEOF
	}
	w := httptest.NewRecorder()
	l.all[to].answer(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err // the asking node has given up
	}
	return w.Result(), nil
}

// hangs is the state of a sidecar without power.
const hangs = "hangs"

func peerAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 81)
}

func newLenders(t *testing.T, n int, customer table.Customer) *lenders {
	t.Helper()
	customers, findings := table.NewCustomers([]table.Customer{customer})
	assert.Equal(t, len(findings), 0)
	snap, err := snapshot.FromTable(&table.Table{Customers: customers}, version.ID{Edition: 1}, nil)
	assert.NilError(t, err)
	holder := &snapshot.Holder{}
	holder.Advance(snap)
	l := &lenders{all: make(map[netip.AddrPort]*customerQuotas)}
	members := func() []membership.Member {
		var out []membership.Member
		for i := range n {
			out = append(out, membership.Member{Instance: membership.Instance{Name: fmt.Sprint(i), Peer: peerAt(i)}})
		}
		return out
	}
	none := tally.NoopScope.Counter("none")
	for i := range n {
		l.all[peerAt(i)] = &customerQuotas{
			client:   l,
			holder:   holder,
			homes:    newCustomerHomes(members, peerAt(i).Addr(), clock.Now().Add(-time.Minute)),
			counts:   quotaCounts{none, none, none},
			borrower: quota.NewBorrower(rand.New(rand.NewPCG(uint64(i), 1))),
			lender:   quota.NewLender(),
			asking:   make(map[string]chan struct{}),
			silent:   make(map[netip.AddrPort]time.Time),
		}
	}
	return l
}

var hauliers = table.Customer{Name: "hauliers", Keys: []string{"k"}, Rate: 1, Burst: 40}

// take sends so many requests at once to each of the sidecars and returns how many were let
// through.
func (l *lenders) take(each int) int64 {
	var let atomic.Int64
	var group sync.WaitGroup
	for _, q := range l.all {
		for range each {
			group.Go(func() {
				if ok, _ := q.Take(context.Background(), &hauliers); ok {
					let.Add(1)
				}
			})
		}
	}
	group.Wait()
	return let.Load()
}

// Requests that come at all sidecars at once get what the customer may send, and no more.
func TestSidecarsShareALimit(t *testing.T) {
	l := newLenders(t, 8, hauliers)
	let := l.take(20)
	assert.Assert(t, let >= 30 && let <= 42, "%d of 160 were let through", let)
}

// A single sidecar gets all that the customer may send.
func TestOneSidecarGetsTheWholeLimit(t *testing.T) {
	l := newLenders(t, 8, hauliers)
	let := 0
	for range 30 {
		if ok, _ := l.all[peerAt(3)].Take(context.Background(), &hauliers); ok {
			let++
		}
	}
	assert.Equal(t, let, 30)
	assert.Assert(t, l.asked.Load() <= 30)
}

// Where the home is silent its deputy lends, from a bucket that begins empty; where that is
// silent too, each sidecar has an even part.
func TestSilentHomeAndDeputy(t *testing.T) {
	l := newLenders(t, 8, table.Customer{Name: "hauliers", Rate: 1, Burst: 40})
	home := l.all[peerAt(0)].homes.of("hauliers")
	l.cut.Store(home.peer, true)
	asker := l.all[peerAt(0)]
	for i := range 8 { // one that is neither
		if p := peerAt(i); p != home.peer && p != home.deputy {
			asker = l.all[p]
		}
	}
	ok, after := asker.Take(context.Background(), &hauliers)
	assert.Assert(t, !ok && after > 0 && after <= quota.Lease, "%v", after)

	l.cut.Store(home.deputy, true)
	other := l.all[peerAt(0)]
	for i := range 8 {
		if p := peerAt(i); p != home.peer && p != home.deputy && l.all[p] != asker {
			other = l.all[p]
		}
	}
	let := 0
	for range 20 {
		if ok, _ := other.Take(context.Background(), &hauliers); ok {
			let++
		}
	}
	assert.Assert(t, let == 5 || let == 6, "%d let through, an eighth of the burst is 5", let)
}

// A data centre lost its power, and for the seconds until its nodes were known to be gone
// their customers were refused by all others, though deputies could lend: a deputy first
// asked the home, for as long as the asking node waited for it. Now it has the time for
// that, and a home that does not answer is not asked again at once.
func TestDeputyLendsForAHomeWithoutPower(t *testing.T) {
	l := newLenders(t, 8, table.Customer{Name: "hauliers", Rate: 1000, Burst: 1000})
	fast := table.Customer{Name: "hauliers", Rate: 1000, Burst: 1000}
	home := l.all[peerAt(0)].homes.of("hauliers")
	l.cut.Store(home.peer, hangs)
	var let atomic.Int64
	var group sync.WaitGroup
	for at, q := range l.all {
		if at == home.peer {
			continue
		}
		group.Go(func() {
			for range 50 {
				time.Sleep(30 * time.Millisecond) // a quarter of the limit, by all together
				if ok, _ := q.Take(context.Background(), &fast); ok {
					let.Add(1)
				}
			}
		})
	}
	group.Wait()
	const sent = 7 * 50
	assert.Assert(t, let.Load() >= sent*9/10, "%d of %d let through", let.Load(), sent)
	waited := l.hung.Load()
	assert.Assert(t, waited < sent/5, "%d questions for %d requests waited for the home", waited, sent)
}

// A deputy that first asks a home without power is waited for, and not taken for silent.
func TestDeputyIsWaitedForWhileItAsksTheHome(t *testing.T) {
	l := newLenders(t, 8, hauliers)
	home := l.all[peerAt(0)].homes.of("hauliers")
	l.cut.Store(home.peer, hangs)
	for at, q := range l.all {
		if at != home.peer && at != home.deputy {
			_, _ = q.Take(context.Background(), &hauliers)
			assert.Assert(t, q.isSilent(home.peer))
			assert.Assert(t, !q.isSilent(home.deputy))
			return
		}
	}
}

// Operators see limits and counts, and no key.
func TestQuotasAreListed(t *testing.T) {
	l := newLenders(t, 3, hauliers)
	q := l.all[peerAt(1)]
	_, _ = q.Take(context.Background(), &hauliers)
	rows := q.list(clock.Now())
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Customer, "hauliers")
	assert.Equal(t, rows[0].Keys, 1)
	assert.Equal(t, rows[0].Taken, int64(1))
	assert.Assert(t, rows[0].Home != "")
}
