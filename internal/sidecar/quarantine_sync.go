package sidecar

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/peerhttp"
	"github.com/walldrift/walldrift/internal/quarantine"
)

// run pushes changed records to other sidecars, and periodically syncs with one of them,
// until ctx is cancelled.
func (q *sharedQuarantine) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { q.syncAtStart(ctx) })
	group.Go(func() { q.pushChanges(ctx) })
	group.Go(func() { q.syncPeriodically(ctx) })
	group.Wait()
}

// pushChanges pushes changed records until ctx is cancelled. It does not wait for the
// responses of other sidecars.
func (q *sharedQuarantine) pushChanges(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	var cleared <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.pushSoon:
			if cleared == nil {
				cleared = time.After(clearedBatchDelay)
			}
			continue
		case <-q.pushNow:
		case <-cleared:
			cleared = nil
		}
		notify(q.pushed)
		group.Go(func() { q.pushToSiblings(ctx) })
	}
}

// syncPeriodically syncs with one other sidecar at a time until ctx is cancelled: soon
// after a push, and less often while both sides have the same records.
func (q *sharedQuarantine) syncPeriodically(ctx context.Context) {
	interval := minSyncInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.pushed:
			if interval == minSyncInterval {
				continue
			}
			interval = minSyncInterval
		case <-timer.C:
			interval = min(2*interval, maxSyncInterval)
			if !q.syncWithRandomPeer(ctx) {
				interval = minSyncInterval
			}
		}
		timer.Reset(interval)
	}
}

// pushToSiblings pushes changed records to the sidecars beside the other upstreams of the
// service, which would run such a request next. Other sidecars get the records by
// anti-entropy sync. Peer updates are too slow: they are relayed from reader to reader and
// take up to 1.3 s, in which such a request crashes a whole service.
func (q *sharedQuarantine) pushToSiblings(ctx context.Context) {
	siblings, _ := q.peers.siblings()
	q.push(ctx, siblings)
}

// push sends changed records to several sidecars. A later sync makes up for a lost
// message.
func (q *sharedQuarantine) push(ctx context.Context, to []netip.AddrPort) {
	q.mu.Lock()
	m := quarantineMessage{Records: q.tracker.Changes(clock.Now())}
	q.mu.Unlock()
	if len(m.Records) == 0 {
		return
	}
	forEachConcurrently(relayGroups(to), func(_ int, group []netip.AddrPort) { q.pushToGroup(ctx, group, m.Records) })
}

// maxDirectPushes is the number of sidecars up to which a message is sent to each of them.
const maxDirectPushes = 32

// relayGroups splits sidecars into groups, each of which has one member that relays a
// message to the others. With many sidecars there are as many groups as members of a
// group, so that no sidecar sends more messages than the square root of their number: the
// one beside a crashed upstream has only a small part of a core.
func relayGroups(to []netip.AddrPort) [][]netip.AddrPort {
	size := 1
	if len(to) > maxDirectPushes {
		for size*size < len(to) {
			size++
		}
	}
	return slices.Collect(slices.Chunk(to, size))
}

// pushToGroup sends records to the first member of a group, which relays them, or to each
// of the others if the first one does not respond.
func (q *sharedQuarantine) pushToGroup(ctx context.Context, group []netip.AddrPort, records []quarantine.Record) {
	_, err := q.peers.send(ctx, group[0], quarantineMessage{Records: records, ForwardTo: group[1:]})
	if err == nil {
		return // a later sync makes up for what the relay does not forward
	}
	q.forward(ctx, group[1:], records)
}

// forward sends records to several sidecars, which do not forward them any further.
func (q *sharedQuarantine) forward(ctx context.Context, to []netip.AddrPort, records []quarantine.Record) {
	forEachConcurrently(to, func(_ int, peer netip.AddrPort) {
		_, _ = q.peers.send(ctx, peer, quarantineMessage{Records: records})
	})
}

// syncAtStart syncs with a few other sidecars as soon as any are known. A process that
// starts has no records, and they are stored nowhere but in the memory of other sidecars.
func (q *sharedQuarantine) syncAtStart(ctx context.Context) {
	for range int(startupSyncTimeout / startupPollInterval) {
		siblings, rest := q.peers.siblings()
		if len(siblings)+len(rest) > 0 {
			targets := slices.Concat(siblings[:min(len(siblings), startupSyncPeers)], rest[:min(len(rest), 1)])
			forEachConcurrently(targets, func(_ int, to netip.AddrPort) { _ = q.syncWith(ctx, to) })
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(startupPollInterval):
		}
	}
}

// syncWithRandomPeer syncs with one other sidecar, also without records of its own: the sync
// at the start may have failed. It reports whether both sides had the same records.
func (q *sharedQuarantine) syncWithRandomPeer(ctx context.Context) bool {
	siblings, rest := q.peers.siblings()
	if len(siblings) == 0 || len(rest) > 0 && rand.IntN(2) == 0 {
		siblings = rest
	}
	return len(siblings) == 0 || q.syncWith(ctx, siblings[0])
}

// syncWith exchanges records with another sidecar, so that both have the same. It reports
// whether they had before.
func (q *sharedQuarantine) syncWith(ctx context.Context, with netip.AddrPort) bool {
	q.mu.Lock()
	ownDigest := q.tracker.Digest()
	q.mu.Unlock()
	reply, err := q.peers.send(ctx, with, quarantineMessage{Sync: true, Digest: ownDigest})
	if err != nil || reply.Digest == ownDigest {
		return err == nil
	}
	now := clock.Now()
	q.mu.Lock()
	q.merge(now, reply.Records)
	m := quarantineMessage{}
	if q.tracker.Digest() != reply.Digest {
		m.Records = q.tracker.Records(now)
	}
	q.mu.Unlock()
	if len(m.Records) > 0 {
		_, _ = q.peers.send(ctx, with, m) // the next sync makes up for a lost message
	}
	return false
}

// merge adds the records of another sidecar. If that changes a record, for example because
// this sidecar can clear it, the change is pushed soon. The caller holds the lock.
func (q *sharedQuarantine) merge(now time.Time, records []quarantine.Record) {
	q.tracker.Merge(now, records)
	if q.tracker.Changed() {
		notify(q.pushSoon)
	}
}

// serve handles the messages of other sidecars.
func (q *sharedQuarantine) serve(w http.ResponseWriter, r *http.Request) {
	var m quarantineMessage
	if err := peerhttp.Decode(r.Body, &m, maxQuarantineMessage); err != nil {
		q.log.Warn("message about held requests not read", "err", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(m.ForwardTo) > 0 {
		go q.forward(context.WithoutCancel(r.Context()), m.ForwardTo, m.Records)
	}
	if err := peerhttp.Respond(w, q.handle(clock.Now(), m)); err != nil {
		q.log.Error("held requests not told", "err", err)
	}
}

// handle applies a message and returns the response.
func (q *sharedQuarantine) handle(now time.Time, m quarantineMessage) (reply quarantineMessage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.merge(now, m.Records)
	if !m.Sync {
		return reply
	}
	reply.Digest = q.tracker.Digest()
	if reply.Digest != m.Digest {
		reply.Records = q.tracker.Records(now)
	}
	return reply
}
