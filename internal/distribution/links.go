package distribution

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/platform"
)

// Bounds and timing of links.
const (
	maxLinks        = 64  // links of one node; further ones are refused
	sendQueueLength = 256 // messages queued on one link; a full queue closes the link
	dialTimeout     = 4 * time.Second
	dialBackoffBase = 250 * time.Millisecond
	dialBackoffMax  = 10 * time.Second
	// failuresBeforeSuspicion is the number of consecutive failed dials after which a
	// peer in the same data centre is suspected.
	failuresBeforeSuspicion = 2
	surplusGrace            = 10 * time.Second
	overlayRefresh          = 5 * time.Second
)

// activeLink is an open link with its send queue.
type activeLink struct {
	Link
	queue        chan OutboundMessage
	nextDigest   time.Time
	surplusSince time.Time // since when no slot needs this link; zero if one does
}

// slotState is the dial state of one desired link of the overlay.
type slotState struct {
	slot          membership.DesiredLink
	dialing       bool
	nextDial      time.Time
	backoff       platform.Backoff
	nextCandidate int // index of the candidate to dial next
	failures      int
}

// linkSet maintains the links that the overlay requires. Its methods run in the service
// loop.
type linkSet struct {
	service         *Service
	active          map[string]*activeLink
	slots           map[string]*slotState // keyed by the slot's first candidate
	overlayStale    bool
	overlayComputed time.Time
	closedBytes     WireTraffic // bytes of links that have ended
}

func newLinkSet(s *Service) *linkSet {
	return &linkSet{service: s, active: make(map[string]*activeLink), slots: make(map[string]*slotState), overlayStale: true}
}

// send queues a message. A link whose queue is full is closed; the digest on its
// successor repairs the loss.
func (ls *linkSet) send(m OutboundMessage) {
	l, ok := ls.active[m.To]
	if !ok {
		return
	}
	select {
	case l.queue <- m:
	default:
		ls.service.metrics.Counter("link_overflows").Inc(1)
		l.Close("send queue is full")
	}
}

// maintain sends due digests, recomputes the overlay and dials missing links.
func (ls *linkSet) maintain(now time.Time) {
	for peer, l := range ls.active {
		if !now.Before(l.nextDigest) {
			l.nextDigest = now.Add(ls.jittered(ls.service.cfg.Engine.DigestInterval))
			ls.service.execute(ls.service.engine.DigestTo(now, peer))
		}
	}
	if ls.overlayStale || now.Sub(ls.overlayComputed) > overlayRefresh {
		ls.recomputeOverlay(now)
	}
	for _, st := range ls.slots {
		if !st.dialing && !now.Before(st.nextDial) && !ls.hasLink(st.slot) {
			ls.dialSlot(st)
		}
	}
	ls.closeSurplus(now)
}

// jittered returns a random duration between 3/4 and 5/4 of d.
func (ls *linkSet) jittered(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(ls.service.rnd.Int64N(int64(d)/2+1))
}

func (ls *linkSet) recomputeOverlay(now time.Time) {
	ls.overlayStale, ls.overlayComputed = false, now
	members := ls.service.engine.View.Members(now)
	ls.service.engine.UpdateReaderRank(members)
	wanted := membership.Overlay(ls.service.cfg.Self, members)
	next := make(map[string]*slotState, len(wanted))
	for _, slot := range wanted {
		key := slot.Candidates[0]
		st, ok := ls.slots[key]
		if !ok {
			st = &slotState{backoff: platform.Backoff{Base: dialBackoffBase, Max: dialBackoffMax}}
			// Nodes that start together spread their first handshakes.
			st.nextDial = now.Add(time.Duration(ls.service.rnd.Int64N(int64(dialBackoffBase))))
		}
		st.slot = slot
		next[key] = st
	}
	ls.slots = next
}

// isOnlyMember reports whether the instance list holds no other node.
func (ls *linkSet) isOnlyMember() bool {
	return len(ls.slots) == 0 && len(ls.active) == 0 && ls.service.engine.View.Len() == 1 && !ls.service.engine.Held(DocList).IsZero()
}

func (ls *linkSet) hasLink(slot membership.DesiredLink) bool {
	return slices.ContainsFunc(slot.Candidates, func(name string) bool { return ls.active[name] != nil })
}

// closeSurplus closes the links dialled by this node that no slot has needed for
// surplusGrace.
func (ls *linkSet) closeSurplus(now time.Time) {
	for peer, l := range ls.active {
		if !l.Dialled() || ls.isWanted(peer) {
			l.surplusSince = time.Time{}
			continue
		}
		if l.surplusSince.IsZero() {
			l.surplusSince = now
		}
		if now.Sub(l.surplusSince) > surplusGrace {
			l.Close("not in the overlay")
		}
	}
}

func (ls *linkSet) isWanted(peer string) bool {
	for _, st := range ls.slots {
		if slices.Contains(st.slot.Candidates, peer) {
			return true
		}
	}
	return false
}

func (ls *linkSet) dialSlot(st *slotState) {
	name := st.slot.Candidates[st.nextCandidate%len(st.slot.Candidates)]
	addr, ok := ls.address(name)
	if !ok {
		st.nextCandidate++
		return
	}
	st.dialing = true
	ls.dial(name, addr, func(now time.Time, err error) Actions {
		st.dialing = false
		if err == nil {
			st.failures = 0
			st.backoff.Reset()
			return Actions{}
		}
		ls.service.metrics.Counter("dial_failures").Inc(1)
		st.nextDial = now.Add(st.backoff.Next(ls.service.rnd))
		st.nextCandidate++
		st.failures++
		if st.slot.Local && st.failures >= failuresBeforeSuspicion {
			return ls.service.engine.LinkDown(now, name, true)
		}
		return Actions{}
	})
}

func (ls *linkSet) address(name string) (netip.AddrPort, bool) {
	for _, m := range ls.service.Members() {
		if m.Name == name {
			return m.Peer, true
		}
	}
	return netip.AddrPort{}, false
}

// dialSeeds dials each seed once.
func (ls *linkSet) dialSeeds() {
	for _, seed := range ls.service.cfg.Seeds {
		if seed.Name != ls.service.cfg.Self.Name {
			ls.dial(seed.Name, seed.Addr, func(time.Time, error) Actions { return Actions{} })
		}
	}
}

// dial opens a link in the background and reports the result in the service loop.
func (ls *linkSet) dial(name string, addr netip.AddrPort, done func(time.Time, error) Actions) {
	s := ls.service
	s.group.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, dialTimeout)
		defer cancel()
		l, err := s.transport.Dial(ctx, name, addr)
		s.post(func(now time.Time) Actions {
			if err == nil {
				ls.add(now, l)
			}
			return done(now, err)
		})
	})
}

// add puts a new link into use. Of two links between the same peers, both sides keep the
// same one: the one dialled by the lesser name, or the newer of two in the same
// direction.
func (ls *linkSet) add(now time.Time, l Link) {
	peer := l.Peer()
	if old := ls.active[peer]; old != nil {
		lesser := ls.service.cfg.Self.Name < peer
		if old.Dialled() != l.Dialled() && old.Dialled() == lesser {
			l.Close("second link")
			return
		}
		ls.remove(now, old, "replaced", false)
	}
	if len(ls.active) >= maxLinks || peer == ls.service.cfg.Self.Name {
		l.Close("no room")
		return
	}
	al := &activeLink{Link: l, queue: make(chan OutboundMessage, sendQueueLength)}
	al.nextDigest = now.Add(ls.jittered(ls.service.cfg.Engine.DigestInterval))
	ls.active[peer] = al
	ls.service.group.Go(func() { ls.writeLoop(al) })
	ls.service.group.Go(func() { ls.readLoop(al) })
	ls.service.execute(ls.service.engine.LinkUp(now, peer))
}

// remove removes a link, unless it has been replaced already.
func (ls *linkSet) remove(now time.Time, l *activeLink, reason string, suspect bool) {
	if ls.active[l.Peer()] != l {
		return
	}
	delete(ls.active, l.Peer())
	sent, received := l.WireBytes()
	ls.closedBytes.Sent += sent
	ls.closedBytes.Received += received
	close(l.queue)
	l.Close(reason)
	ls.service.execute(ls.service.engine.LinkDown(now, l.Peer(), suspect && ls.sameCentre(l.Peer())))
}

func (ls *linkSet) sameCentre(peer string) bool {
	for _, m := range ls.service.Members() {
		if m.Name == peer {
			return m.DataCentre == ls.service.cfg.Self.DataCentre
		}
	}
	return false
}

func (ls *linkSet) writeLoop(l *activeLink) {
	failed := false
	for m := range l.queue {
		if failed {
			continue
		}
		b, err := Encode(m.Msg)
		if err == nil {
			err = l.Send(b)
		}
		if err != nil {
			failed = true
			l.Close("cannot send")
			continue
		}
		ls.service.countSent(m.Cause, len(b))
	}
}

func (ls *linkSet) readLoop(l *activeLink) {
	for {
		b, err := l.Receive()
		if err != nil {
			ls.service.post(func(now time.Time) Actions {
				ls.remove(now, l, "lost", IsPeerTimeout(err))
				return Actions{}
			})
			return
		}
		m, err := Decode(b)
		ls.service.post(func(now time.Time) Actions {
			if err != nil {
				var actions Actions
				actions.addError(err)
				return actions
			}
			return ls.service.engine.Receive(now, l.Peer(), m)
		})
	}
}

func (ls *linkSet) closeAll(reason string) {
	for _, l := range ls.active {
		close(l.queue)
		l.Close(reason)
	}
	clear(ls.active)
}

// wireBytes returns the bytes sent and received on all links so far.
func (ls *linkSet) wireBytes() WireTraffic {
	w := ls.closedBytes
	for _, l := range ls.active {
		sent, received := l.WireBytes()
		w.Sent += sent
		w.Received += received
	}
	return w
}
