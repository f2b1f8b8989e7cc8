package discovery

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/peerhttp"
)

// Peers asks other nodes for their news.
type Peers interface {
	// Ask returns the news of the node at an address as soon as there are any
	// after ask.After, or it knows anew that there are none. It fails if the node
	// is silent until ctx ends.
	Ask(ctx context.Context, node netip.AddrPort, ask PeerRequest) (PeerUpdate, error)
}

// HeaderPeerUpdate marks a request between nodes as one for news.
const HeaderPeerUpdate = "Walldrift-News"

// PeerClient is a Peers over HTTP.
type PeerClient struct{ Transport http.RoundTripper }

// Ask is described at Peers.
func (p PeerClient) Ask(ctx context.Context, node netip.AddrPort, ask PeerRequest) (PeerUpdate, error) {
	var n PeerUpdate
	err := peerhttp.Ask(ctx, p.Transport, node, HeaderPeerUpdate, ask, &n, maxNews)
	return n, errors.Wrapf(err, "news of %s", node)
}

// PeerUpdateHandler serves the news of a follower to other nodes.
func PeerUpdateHandler(f *Follower) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var ask PeerRequest
		if err := peerhttp.Read(r.Body, &ask, maxNews); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		n, err := f.PeerUpdateAfter(r.Context(), ask)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if err := peerhttp.Answer(w, n); err != nil {
			f.log.Error("news not told", "err", err)
		}
	})
}
