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

// run tells other sidecars what changes, and compares with one now and then, until ctx
// ends.
func (h *heldRequests) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { h.learn(ctx) })
	group.Go(func() { h.tellChanges(ctx) })
	group.Go(func() { h.compareNowAndThen(ctx) })
	group.Wait()
}

// tellChanges tells what changes until ctx ends. It waits for no other sidecar.
func (h *heldRequests) tellChanges(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	var cleared <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.soon:
			if cleared == nil {
				cleared = time.After(clearedPause)
			}
			continue
		case <-h.urgent:
		case <-cleared:
			cleared = nil
		}
		wake(h.told)
		group.Go(func() { h.tellSiblings(ctx) })
	}
}

// compareNowAndThen compares with another sidecar until ctx ends: soon after something was
// told, and less often as long as both remember the same.
func (h *heldRequests) compareNowAndThen(ctx context.Context) {
	pause := compareEvery
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.told:
			if pause == compareEvery {
				continue
			}
			pause = compareEvery
		case <-timer.C:
			pause = min(2*pause, compareMost)
			if !h.compareWithOne(ctx) {
				pause = compareEvery
			}
		}
		timer.Reset(pause)
	}
}

// tellSiblings tells the sidecars beside the other upstreams of the service, which would
// run such a request next. Others hear of it by comparison. News go on from reader to
// reader and take up to 1.3 s, in which such a request ends a whole service.
func (h *heldRequests) tellSiblings(ctx context.Context) {
	siblings, _ := h.others.siblings()
	h.tell(ctx, siblings)
}

// tell sends what has changed to several sidecars. A comparison makes up for a message
// that is lost.
func (h *heldRequests) tell(ctx context.Context, to []netip.AddrPort) {
	h.mu.Lock()
	m := heldMessage{Records: h.book.Changes(clock.Now())}
	h.mu.Unlock()
	if len(m.Records) == 0 {
		return
	}
	askAll(relays(to), func(_ int, group []netip.AddrPort) { h.relay(ctx, group, m.Records) })
}

// directly is the number of sidecars up to which a message goes to each of them.
const directly = 32

// relays parts sidecars into groups of which one passes a message on to the others: of many,
// as many groups as each has members, so that no sidecar sends more than the root of their
// number: the one beside an upstream that fell has a small part of a core.
func relays(to []netip.AddrPort) [][]netip.AddrPort {
	size := 1
	if len(to) > directly {
		for size*size < len(to) {
			size++
		}
	}
	return slices.Collect(slices.Chunk(to, size))
}

// relay sends records to a group: to one that passes them on or, where that does not
// answer, to each of the others.
func (h *heldRequests) relay(ctx context.Context, group []netip.AddrPort, records []quarantine.Record) {
	_, err := h.others.send(ctx, group[0], heldMessage{Records: records, Pass: group[1:]})
	if err == nil {
		return // a comparison makes up for what the relay does not pass on
	}
	h.pass(ctx, group[1:], records)
}

// pass sends records to several sidecars, which pass them no further.
func (h *heldRequests) pass(ctx context.Context, to []netip.AddrPort, records []quarantine.Record) {
	askAll(to, func(_ int, one netip.AddrPort) { _, _ = h.others.send(ctx, one, heldMessage{Records: records}) })
}

// learn asks a few others what they remember, as soon as it knows any: a process that
// starts knows nothing, and there is no other place where it could be kept.
func (h *heldRequests) learn(ctx context.Context) {
	for range int(startWait / startPoll) {
		siblings, rest := h.others.siblings()
		if len(siblings)+len(rest) > 0 {
			ask := slices.Concat(siblings[:min(len(siblings), startSiblings)], rest[:min(len(rest), 1)])
			askAll(ask, func(_ int, to netip.AddrPort) { _ = h.compare(ctx, to) })
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(startPoll):
		}
	}
}

// compareWithOne compares with one other sidecar, if anything is remembered, and reports
// whether both remembered the same.
func (h *heldRequests) compareWithOne(ctx context.Context) bool {
	h.mu.Lock()
	empty := h.book.Empty()
	h.mu.Unlock()
	if empty {
		return true
	}
	siblings, rest := h.others.siblings()
	if len(siblings) == 0 || len(rest) > 0 && rand.IntN(2) == 0 {
		siblings = rest
	}
	return len(siblings) == 0 || h.compare(ctx, siblings[0])
}

// compare makes this sidecar and another one remember the same. It reports whether they
// did before.
func (h *heldRequests) compare(ctx context.Context, with netip.AddrPort) bool {
	h.mu.Lock()
	own := h.book.Digest()
	h.mu.Unlock()
	reply, err := h.others.send(ctx, with, heldMessage{Compare: true, Digest: own})
	if err != nil || reply.Digest == own {
		return err == nil
	}
	now := clock.Now()
	h.mu.Lock()
	h.merge(now, reply.Records)
	m := heldMessage{}
	if h.book.Digest() != reply.Digest {
		m.Records = h.book.Records(now)
	}
	h.mu.Unlock()
	if len(m.Records) > 0 {
		_, _ = h.others.send(ctx, with, m) // the next comparison makes up for it
	}
	return false
}

// merge takes over records of another sidecar. What this one can clear is told soon. The
// lock is held.
func (h *heldRequests) merge(now time.Time, told []quarantine.Record) {
	h.book.Merge(now, told)
	if h.book.Changed() {
		wake(h.soon)
	}
}

// answer serves the messages of other sidecars.
func (h *heldRequests) answer(w http.ResponseWriter, r *http.Request) {
	var m heldMessage
	if err := peerhttp.Read(r.Body, &m, maxHeldMessage); err != nil {
		h.log.Warn("message about held requests not read", "err", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(m.Pass) > 0 {
		go h.pass(context.WithoutCancel(r.Context()), m.Pass, m.Records)
	}
	if err := peerhttp.Answer(w, h.take(clock.Now(), m)); err != nil {
		h.log.Error("held requests not told", "err", err)
	}
}

// take takes over a message and returns the answer.
func (h *heldRequests) take(now time.Time, m heldMessage) (reply heldMessage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.merge(now, m.Records)
	if !m.Compare {
		return reply
	}
	reply.Digest = h.book.Digest()
	if reply.Digest != m.Digest {
		reply.Records = h.book.Records(now)
	}
	return reply
}
