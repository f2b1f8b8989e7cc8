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

// headerQuarantine marks a request between sidecars as a quarantine message.
const headerQuarantine = "Walldrift-Quarantine"

const (
	// clearedBatchDelay collects requests that are cleared one after the other into one
	// message: some twenty after each crash.
	clearedBatchDelay = 20 * time.Millisecond
	// minSyncInterval and maxSyncInterval bound the interval between two anti-entropy
	// syncs. It doubles while both sides have the same records.
	minSyncInterval = time.Second
	maxSyncInterval = 16 * time.Second
	// startupSyncPeers is the number of siblings with which a sidecar syncs when it
	// starts: most of a small service, so that records survive the loss of half of the
	// service.
	startupSyncPeers = 4
	// startupPollInterval is how often a sidecar that starts looks for peers, and
	// startupSyncTimeout for how long.
	startupPollInterval = 20 * time.Millisecond
	startupSyncTimeout  = 10 * time.Second
	// quarantineTimeout bounds a message and its response.
	quarantineTimeout = time.Second
	// maxQuarantineMessage bounds an encoded message, in bytes: all records of a full
	// tracker fit.
	maxQuarantineMessage = 1 << 20
)

// quarantineMessage is a message between sidecars about requests under which upstreams
// crashed. Its response is of the same type.
type quarantineMessage struct {
	Records []quarantine.Record `cbor:"1,keyasint,omitempty"`
	// Sync asks for all records if the digests differ. Digest covers all records of the
	// sender.
	Sync   bool   `cbor:"2,keyasint,omitempty"`
	Digest uint64 `cbor:"3,keyasint,omitempty"`
	// ForwardTo are the sidecars to which the receiver forwards the records.
	ForwardTo []netip.AddrPort `cbor:"4,keyasint,omitempty"`
}

// quarantinePeers finds the other sidecars and sends them messages.
type quarantinePeers struct {
	client  http.RoundTripper
	members func() []membership.Member
	self    netip.Addr
	service func() string
}

// siblings returns the sidecars beside the other upstreams of the own service, and the
// sidecars of other services, each in random order.
func (p *quarantinePeers) siblings() (siblings, rest []netip.AddrPort) {
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

// send sends a message and returns the response.
func (p *quarantinePeers) send(ctx context.Context, to netip.AddrPort, m quarantineMessage) (reply quarantineMessage, err error) {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	err = peerhttp.Call(ctx, p.client, to, headerQuarantine, m, &reply, maxQuarantineMessage)
	return reply, errors.Wrapf(err, "quarantine message to %s", to)
}
