package sidecar

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/peerhttp"
	"github.com/walldrift/walldrift/internal/quarantine"
)

// headerQuarantine marks a request between sidecars as one about requests that end
// upstreams.
const headerQuarantine = "Walldrift-Quarantine"

const (
	// clearedPause gathers requests that are cleared one after the other into one
	// message: some twenty after each fall.
	clearedPause = 20 * time.Millisecond
	// compareEvery and compareMost bound the pause between two comparisons with another
	// sidecar. It doubles while both remember the same.
	compareEvery = time.Second
	compareMost  = 16 * time.Second
	// startSiblings is the number of sidecars beside upstreams of the own service that
	// one which starts compares with: most of a small service, so that what is known
	// outlives the loss of half of it.
	startSiblings = 4
	// startPoll is how often one which starts looks for others, startWait for how long.
	startPoll = 20 * time.Millisecond
	startWait = 10 * time.Second
	// heldTimeout bounds a message and its answer.
	heldTimeout = time.Second
	// maxHeldMessage bounds an encoded message: all records of a full book.
	maxHeldMessage = 1 << 20
)

// heldMessage is what sidecars tell each other of requests that end upstreams.
type heldMessage struct {
	Records []quarantine.Record `cbor:"1,keyasint,omitempty"`
	// Compare asks for all records where the digests differ; Digest is of all that the
	// sender remembers.
	Compare bool   `cbor:"2,keyasint,omitempty"`
	Digest  uint64 `cbor:"3,keyasint,omitempty"`
	// Pass are sidecars to which the receiver passes the records on.
	Pass []netip.AddrPort `cbor:"4,keyasint,omitempty"`
}

// heldPeers finds the other sidecars and sends them messages.
type heldPeers struct {
	client  http.RoundTripper
	members func() []membership.Member
	self    netip.Addr
	service func() string
}

// siblings returns the sidecars beside the other upstreams of the own service, and the
// rest, each in random order.
func (p *heldPeers) siblings() (siblings, rest []netip.AddrPort) {
	service := p.service()
	for _, m := range p.members() {
		switch {
		case m.Peer.Addr() == p.self || m.Status == membership.Gone:
		case m.Service == service:
			siblings = append(siblings, m.Peer)
		default:
			rest = append(rest, m.Peer)
		}
	}
	shuffle(siblings)
	shuffle(rest)
	return siblings, rest
}

func shuffle(all []netip.AddrPort) {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
}

// send sends a message and returns the answer.
func (p *heldPeers) send(ctx context.Context, to netip.AddrPort, m heldMessage) (reply heldMessage, err error) {
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	err = peerhttp.Ask(ctx, p.client, to, headerQuarantine, m, &reply, maxHeldMessage)
	return reply, errors.Wrapf(err, "held requests to %s", to)
}
