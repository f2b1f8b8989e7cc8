package discovery

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/peerhttp"
)

// Peers sends peer requests to other nodes.
type Peers interface {
	// Ask returns the peer update of the node at an address as soon as there are changes
	// after req.After, or that node learns that there are none. It fails if there is no
	// response until ctx ends.
	Ask(ctx context.Context, node netip.AddrPort, req PeerRequest) (PeerUpdate, error)
}

// HeaderPeerUpdate marks a request between nodes as a peer request.
const HeaderPeerUpdate = "Walldrift-News"

// PeerClient implements Peers over HTTP.
type PeerClient struct{ Transport http.RoundTripper }

// Ask implements Peers.
func (p PeerClient) Ask(ctx context.Context, node netip.AddrPort, req PeerRequest) (PeerUpdate, error) {
	var update PeerUpdate
	err := peerhttp.Call(ctx, p.Transport, node, HeaderPeerUpdate, req, &update, maxPeerMessageBytes)
	return update, errors.Wrapf(err, "peer update of %s", node)
}

// PeerUpdateHandler serves the peer updates of a follower to other nodes.
func PeerUpdateHandler(f *Follower) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req PeerRequest
		if err := peerhttp.Decode(r.Body, &req, maxPeerMessageBytes); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		update, err := f.PeerUpdateAfter(r.Context(), req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if err := peerhttp.Respond(w, update); err != nil {
			f.log.Error("news not told", "err", err)
		}
	})
}
