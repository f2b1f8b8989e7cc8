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

// quotaNodes are sidecars that grant each other tokens over connections that can fail.
type quotaNodes struct {
	all             map[netip.AddrPort]*customerQuotas
	unreachable     sync.Map // by address: true for a failing connection, or unresponsive
	requests        atomic.Int64
	unansweredCount atomic.Int64 // borrow requests without a response
}

func (l *quotaNodes) RoundTrip(r *http.Request) (*http.Response, error) {
	l.requests.Add(1)
	to := netip.MustParseAddrPort(r.URL.Host)
	if how, ok := l.unreachable.Load(to); ok {
		if how == unresponsive {
			l.unansweredCount.Add(1)
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		return nil, io.ErrUnexpectedEOF
	}
	w := httptest.NewRecorder()
	l.all[to].serve(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err // the borrower has given up
	}
	return w.Result(), nil
}

// unresponsive is the state of a sidecar that never responds, as one without power.
const unresponsive = "hangs"

func peerAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 81)
}

func newQuotaNodes(t *testing.T, n int, customer table.Customer) *quotaNodes {
	t.Helper()
	customers, findings := table.NewCustomers([]table.Customer{customer})
	assert.Equal(t, len(findings), 0)
	snap, err := snapshot.FromTable(&table.Table{Customers: customers}, version.ID{Edition: 1}, nil)
	assert.NilError(t, err)
	holder := &snapshot.Holder{}
	holder.Advance(snap)
	l := &quotaNodes{all: make(map[netip.AddrPort]*customerQuotas)}
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
			client:       l,
			holder:       holder,
			owners:       newQuotaOwners(members, peerAt(i).Addr(), clock.Now().Add(-time.Minute)),
			counts:       quotaCounters{none, none, none, none},
			process:      uint64(i) + 1,
			borrower:     quota.NewBorrower(rand.New(rand.NewPCG(uint64(i), 1))),
			lender:       quota.NewLender(),
			pending:      make(map[string]chan struct{}),
			unresponsive: make(map[netip.AddrPort]time.Time),
		}
	}
	return l
}

var hauliers = table.Customer{Name: "hauliers", Keys: []string{"k"}, Rate: 1, Burst: 40}

// take sends so many requests at once to each of the sidecars, and returns how many were
// admitted.
func (l *quotaNodes) take(each int) int64 {
	var admitted atomic.Int64
	var group sync.WaitGroup
	for _, q := range l.all {
		for range each {
			group.Go(func() {
				if ok, _ := q.Take(context.Background(), &hauliers); ok {
					admitted.Add(1)
				}
			})
		}
	}
	group.Wait()
	return admitted.Load()
}

// Requests that arrive at all sidecars at once get the limit of the customer together, and
// no more.
func TestSidecarsShareALimit(t *testing.T) {
	l := newQuotaNodes(t, 8, hauliers)
	admitted := l.take(20)
	assert.Assert(t, admitted >= 30 && admitted <= 42, "%d of 160 were admitted", admitted)
}

// A single sidecar can use the whole limit of a customer.
func TestOneSidecarGetsTheWholeLimit(t *testing.T) {
	l := newQuotaNodes(t, 8, hauliers)
	admitted := 0
	for range 30 {
		if ok, _ := l.all[peerAt(3)].Take(context.Background(), &hauliers); ok {
			admitted++
		}
	}
	assert.Equal(t, admitted, 30)
	assert.Assert(t, l.requests.Load() <= 30)
}

// If the owner is unreachable its standby grants tokens, from a bucket that starts empty.
// If the standby is unreachable too, each sidecar uses its local reserve, an equal share
// of the limit.
func TestUnreachableOwnerAndStandby(t *testing.T) {
	l := newQuotaNodes(t, 8, table.Customer{Name: "hauliers", Rate: 1, Burst: 40})
	owner := l.all[peerAt(0)].owners.ownerOf("hauliers")
	l.unreachable.Store(owner.peer, true)
	borrower := l.all[peerAt(0)]
	for i := range 8 { // find a node that is neither owner nor standby
		if p := peerAt(i); p != owner.peer && p != owner.standby {
			borrower = l.all[p]
		}
	}
	ok, after := borrower.Take(context.Background(), &hauliers)
	assert.Assert(t, !ok && after > 0 && after <= quota.Lease, "%v", after)

	l.unreachable.Store(owner.standby, true)
	other := l.all[peerAt(0)]
	for i := range 8 {
		if p := peerAt(i); p != owner.peer && p != owner.standby && l.all[p] != borrower {
			other = l.all[p]
		}
	}
	admitted := 0
	for range 20 {
		if ok, _ := other.Take(context.Background(), &hauliers); ok {
			admitted++
		}
	}
	assert.Assert(t, admitted == 5 || admitted == 6, "%d admitted, an eighth of the burst is 5", admitted)
}

// When a data centre lost its power, the customers of its nodes were refused everywhere
// for the seconds until these nodes were known to be gone, although standbys could grant
// tokens: a standby first asked the owner, for as long as the borrower waited for the
// standby. The standby now has the time for that, and an owner that does not respond is
// not asked again at once.
func TestStandbyLendsForAnUnresponsiveOwner(t *testing.T) {
	l := newQuotaNodes(t, 8, table.Customer{Name: "hauliers", Rate: 1000, Burst: 1000})
	fast := table.Customer{Name: "hauliers", Rate: 1000, Burst: 1000}
	owner := l.all[peerAt(0)].owners.ownerOf("hauliers")
	l.unreachable.Store(owner.peer, unresponsive)
	var admitted atomic.Int64
	var group sync.WaitGroup
	for at, q := range l.all {
		if at == owner.peer {
			continue
		}
		group.Go(func() {
			for range 50 {
				time.Sleep(30 * time.Millisecond) // a quarter of the limit, by all together
				if ok, _ := q.Take(context.Background(), &fast); ok {
					admitted.Add(1)
				}
			}
		})
	}
	group.Wait()
	const sent = 7 * 50
	assert.Assert(t, admitted.Load() >= sent*9/10, "%d of %d admitted", admitted.Load(), sent)
	waited := l.unansweredCount.Load()
	assert.Assert(t, waited < sent/5, "%d borrow requests for %d requests waited for the owner", waited, sent)
}

// A borrower waits for a standby that first asks an unresponsive owner, and does not count
// the standby as unresponsive.
func TestStandbyMayAskTheOwnerFirst(t *testing.T) {
	l := newQuotaNodes(t, 8, hauliers)
	owner := l.all[peerAt(0)].owners.ownerOf("hauliers")
	l.unreachable.Store(owner.peer, unresponsive)
	for at, q := range l.all {
		if at != owner.peer && at != owner.standby {
			_, _ = q.Take(context.Background(), &hauliers)
			assert.Assert(t, q.isUnresponsive(owner.peer))
			assert.Assert(t, !q.isUnresponsive(owner.standby))
			return
		}
	}
}

// An owner that others do not reach learns from its standby what that has lent in its place,
// and takes it off: otherwise both lend the rate.
func TestOwnerLearnsWhatItsStandbyLends(t *testing.T) {
	customer := table.Customer{Name: "hauliers", Rate: 100, Burst: 20}
	l := newQuotaNodes(t, 4, customer)
	at := l.all[peerAt(0)].owners.ownerOf("hauliers")
	owner, standby := l.all[at.peer], l.all[at.standby]
	l.unreachable.Store(at.peer, true)
	take := func(q *customerQuotas, n int) {
		for range n {
			_, _ = q.Take(context.Background(), &customer)
			time.Sleep(time.Millisecond)
		}
	}
	take(owner, 20)
	for peer, q := range l.all {
		if peer != at.peer && peer != at.standby {
			take(q, 100)
		}
	}
	lent := standby.lender.LentAsStandby("hauliers")
	assert.Assert(t, lent >= 10, "%d", lent)
	take(owner, 20) // so that it needs the word of its standby
	before := owner.lender.Tokens(clock.Now(), "hauliers")
	owner.confirmAll()
	after := owner.lender.Tokens(clock.Now(), "hauliers")
	assert.Assert(t, after < before-float64(lent)/2, "%v tokens, %v before, %d were lent", after, before, lent)
	owner.confirmAll()
	assert.Assert(t, owner.lender.Tokens(clock.Now(), "hauliers") >= after, "taken off once")
}

// Operators see the limits and counts of customers, but not their keys.
func TestQuotasAreListed(t *testing.T) {
	l := newQuotaNodes(t, 3, hauliers)
	q := l.all[peerAt(1)]
	_, _ = q.Take(context.Background(), &hauliers)
	rows := q.report(clock.Now())
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Customer, "hauliers")
	assert.Equal(t, rows[0].Keys, 1)
	assert.Equal(t, rows[0].Admitted, int64(1))
	assert.Assert(t, rows[0].Owner != "")
}
