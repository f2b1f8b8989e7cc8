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
	maxLinks       = 64  // links of one node; more are refused
	sendQueueLen   = 256 // messages waiting on one link; a full queue closes it
	dialTimeout    = 4 * time.Second
	dialBase       = 250 * time.Millisecond
	dialCap        = 10 * time.Second
	failuresDoubt  = 2 // failed dials in a row before a same-centre peer is suspected
	surplusGrace   = 10 * time.Second
	overlayRefresh = 5 * time.Second
)

// activeLink is a link with its writer.
type activeLink struct {
	Link
	queue      chan OutboundMessage
	nextDigest time.Time
	surplus    time.Time // since when no slot wants this link; zero if one does
}

// slotState is one slot of the overlay with its dialling.
type slotState struct {
	slot    membership.DesiredLink
	dialing bool
	next    time.Time
	backoff platform.Backoff
	turn    int // candidate to dial next
	fails   int
}

// linkSet keeps the links that the overlay asks for. Its methods run in the
// service loop.
type linkSet struct {
	s            *Service
	active       map[string]*activeLink
	slots        map[string]*slotState // by the slot's first candidate
	overlayStale bool
	computed     time.Time
	retired      WireTraffic // bytes of links that have ended
}

func newLinkSet(s *Service) *linkSet {
	return &linkSet{s: s, active: make(map[string]*activeLink), slots: make(map[string]*slotState), overlayStale: true}
}

// send queues a message; a link whose queue is full is closed, and healed by
// the digest of the next one.
func (ls *linkSet) send(m OutboundMessage) {
	l, ok := ls.active[m.To]
	if !ok {
		return
	}
	select {
	case l.queue <- m:
	default:
		ls.s.metrics.Counter("link_overflows").Inc(1)
		l.Close("send queue is full")
	}
}

// maintain sends digests that are due, computes the overlay anew and dials
// what is missing.
func (ls *linkSet) maintain(now time.Time) {
	for peer, l := range ls.active {
		if !now.Before(l.nextDigest) {
			l.nextDigest = now.Add(ls.jittered(ls.s.cfg.Engine.DigestInterval))
			ls.s.carryOut(ls.s.engine.DigestTo(now, peer))
		}
	}
	if ls.overlayStale || now.Sub(ls.computed) > overlayRefresh {
		ls.recompute(now)
	}
	for _, st := range ls.slots {
		if !st.dialing && !now.Before(st.next) && !ls.satisfied(st.slot) {
			ls.dialSlot(st)
		}
	}
	ls.closeSurplus(now)
}

// jittered spreads an interval from three to five quarters of itself.
func (ls *linkSet) jittered(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(ls.s.rnd.Int64N(int64(d)/2+1))
}

func (ls *linkSet) recompute(now time.Time) {
	ls.overlayStale, ls.computed = false, now
	members := ls.s.engine.View.Members(now)
	ls.s.engine.UpdateReaderRank(members)
	wanted := membership.Overlay(ls.s.cfg.Self, members)
	next := make(map[string]*slotState, len(wanted))
	for _, slot := range wanted {
		key := slot.Candidates[0]
		st, ok := ls.slots[key]
		if !ok {
			st = &slotState{backoff: platform.Backoff{Base: dialBase, Cap: dialCap}}
			// Nodes that start together spread their first handshakes.
			st.next = now.Add(time.Duration(ls.s.rnd.Int64N(int64(dialBase))))
		}
		st.slot = slot
		next[key] = st
	}
	ls.slots = next
}

// alone reports whether the list shows nobody else.
func (ls *linkSet) alone() bool {
	return len(ls.slots) == 0 && len(ls.active) == 0 && ls.s.engine.View.Len() == 1 && !ls.s.engine.Held(DocList).IsZero()
}

func (ls *linkSet) satisfied(slot membership.DesiredLink) bool {
	return slices.ContainsFunc(slot.Candidates, func(name string) bool { return ls.active[name] != nil })
}

// closeSurplus ends dialled links that no slot has wanted for a while.
func (ls *linkSet) closeSurplus(now time.Time) {
	for peer, l := range ls.active {
		if !l.Dialled() || ls.wants(peer) {
			l.surplus = time.Time{}
			continue
		}
		if l.surplus.IsZero() {
			l.surplus = now
		}
		if now.Sub(l.surplus) > surplusGrace {
			l.Close("not in the overlay")
		}
	}
}

func (ls *linkSet) wants(peer string) bool {
	for _, st := range ls.slots {
		if slices.Contains(st.slot.Candidates, peer) {
			return true
		}
	}
	return false
}

func (ls *linkSet) dialSlot(st *slotState) {
	name := st.slot.Candidates[st.turn%len(st.slot.Candidates)]
	addr, ok := ls.address(name)
	if !ok {
		st.turn++
		return
	}
	st.dialing = true
	ls.dial(name, addr, func(now time.Time, err error) Actions {
		st.dialing = false
		if err == nil {
			st.fails = 0
			st.backoff.Reset()
			return Actions{}
		}
		ls.s.metrics.Counter("dial_failures").Inc(1)
		st.next = now.Add(st.backoff.Next(ls.s.rnd))
		st.turn++
		st.fails++
		if st.slot.Local && st.fails >= failuresDoubt {
			return ls.s.engine.LinkDown(now, name, true)
		}
		return Actions{}
	})
}

func (ls *linkSet) address(name string) (netip.AddrPort, bool) {
	for _, m := range ls.s.Members() {
		if m.Name == name {
			return m.Peer, true
		}
	}
	return netip.AddrPort{}, false
}

// dialSeeds opens a link to each seed once.
func (ls *linkSet) dialSeeds() {
	for _, seed := range ls.s.cfg.Seeds {
		if seed.Name != ls.s.cfg.Self.Name {
			ls.dial(seed.Name, seed.Addr, func(time.Time, error) Actions { return Actions{} })
		}
	}
}

// dial opens a link in the background and reports in the loop.
func (ls *linkSet) dial(name string, addr netip.AddrPort, done func(time.Time, error) Actions) {
	s := ls.s
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

// add takes a new link into use. Of two links to one peer both sides keep the
// same: the one that the lesser name dialled, or the newer of two in the same
// direction.
func (ls *linkSet) add(now time.Time, l Link) {
	peer := l.Peer()
	if old := ls.active[peer]; old != nil {
		lesser := ls.s.cfg.Self.Name < peer
		if old.Dialled() != l.Dialled() && old.Dialled() == lesser {
			l.Close("second link")
			return
		}
		ls.remove(now, old, "replaced", false)
	}
	if len(ls.active) >= maxLinks || peer == ls.s.cfg.Self.Name {
		l.Close("no room")
		return
	}
	al := &activeLink{Link: l, queue: make(chan OutboundMessage, sendQueueLen)}
	al.nextDigest = now.Add(ls.jittered(ls.s.cfg.Engine.DigestInterval))
	ls.active[peer] = al
	ls.s.group.Go(func() { ls.write(al) })
	ls.s.group.Go(func() { ls.read(al) })
	ls.s.carryOut(ls.s.engine.LinkUp(now, peer))
}

// remove takes a link out of use, if it still is the one in use.
func (ls *linkSet) remove(now time.Time, l *activeLink, reason string, doubt bool) {
	if ls.active[l.Peer()] != l {
		return
	}
	delete(ls.active, l.Peer())
	sent, received := l.WireBytes()
	ls.retired.Sent += sent
	ls.retired.Received += received
	close(l.queue)
	l.Close(reason)
	ls.s.carryOut(ls.s.engine.LinkDown(now, l.Peer(), doubt && ls.sameCentre(l.Peer())))
}

func (ls *linkSet) sameCentre(peer string) bool {
	for _, m := range ls.s.Members() {
		if m.Name == peer {
			return m.DataCentre == ls.s.cfg.Self.DataCentre
		}
	}
	return false
}

func (ls *linkSet) write(l *activeLink) {
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
		ls.s.countSent(m.Cause, len(b))
	}
}

func (ls *linkSet) read(l *activeLink) {
	for {
		b, err := l.Receive()
		if err != nil {
			ls.s.post(func(now time.Time) Actions {
				ls.remove(now, l, "lost", IsPeerTimeout(err))
				return Actions{}
			})
			return
		}
		m, err := Decode(b)
		ls.s.post(func(now time.Time) Actions {
			if err != nil {
				var fx Actions
				fx.fail(err)
				return fx
			}
			return ls.s.engine.Receive(now, l.Peer(), m)
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
	w := ls.retired
	for _, l := range ls.active {
		sent, received := l.WireBytes()
		w.Sent += sent
		w.Received += received
	}
	return w
}
