package sidecar

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/peerhttp"
	"github.com/walldrift/walldrift/internal/periodic"
	"github.com/walldrift/walldrift/internal/quota"
)

// maxConfirmed bounds the customers of one request for confirmation, so that it and its
// response stay below maxBorrowMessage.
const maxConfirmed = 32

// confirmPeriodically asks the standbys of this node's customers what they have lent, until
// ctx ends. Without their word this node lends less, as they may be lending in its place.
func (q *customerQuotas) confirmPeriodically(ctx context.Context) {
	periodic.Run(ctx, quota.ConfirmInterval, func(time.Time) { q.confirmAll() })
}

// confirmAll asks all standbys at once and waits for their responses.
func (q *customerQuotas) confirmAll() {
	q.mu.Lock()
	unconfirmed := q.lender.Unconfirmed(clock.Now())
	q.mu.Unlock()
	byStandby := make(map[netip.AddrPort][]string)
	for _, customer := range unconfirmed {
		if owner := q.owners.ownerOf(customer); owner.self && owner.standby.IsValid() {
			byStandby[owner.standby] = append(byStandby[owner.standby], customer)
		}
	}
	var group sync.WaitGroup
	for standby, customers := range byStandby {
		for part := range slices.Chunk(customers, maxConfirmed) {
			group.Go(func() { q.confirm(standby, part) })
		}
	}
	group.Wait()
}

// confirm asks one standby. One that did not respond to borrow requests a short while ago
// is asked all the same: only its word shows that it can be reached again.
func (q *customerQuotas) confirm(standby netip.AddrPort, customers []string) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	sent := clock.Now()
	var totals []quota.LentAsStandby
	err := peerhttp.Call(ctx, q.client, standby, headerQuota, borrowRequest{Confirm: customers}, &totals, maxBorrowMessage)
	if err != nil || len(totals) != len(customers) {
		q.counts.unconfirmed.Inc(1)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, customer := range customers {
		q.lender.Confirm(sent, customer, totals[i])
	}
}

// lentAsStandby returns how much this process has lent of customers as the standby, in
// their order.
func (q *customerQuotas) lentAsStandby(customers []string) []quota.LentAsStandby {
	q.mu.Lock()
	defer q.mu.Unlock()
	totals := make([]quota.LentAsStandby, 0, len(customers))
	for _, customer := range customers {
		totals = append(totals, quota.LentAsStandby{Process: q.process, Tokens: q.lender.LentAsStandby(customer)})
	}
	return totals
}
