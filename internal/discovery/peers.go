package discovery

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Peers asks other nodes for their news.
type Peers interface {
	// Ask returns the news of the node at an address as soon as there are any
	// after ask.After, or it knows anew that there are none. It fails if the node
	// is silent until ctx ends.
	Ask(ctx context.Context, node netip.AddrPort, ask Ask) (News, error)
}

// HeaderNews marks a request between nodes as one for news.
const HeaderNews = "Walldrift-News"

// PeerClient is a Peers over HTTP.
type PeerClient struct{ Transport http.RoundTripper }

// Ask is described at Peers.
func (p PeerClient) Ask(ctx context.Context, node netip.AddrPort, ask Ask) (News, error) {
	raw, err := encode("ask for news", ask)
	if err != nil {
		return News{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.String()+"/", bytes.NewReader(raw))
	if err != nil {
		return News{}, errors.Wrap(err, "ask for news")
	}
	req.Header.Set(HeaderNews, "1")
	resp, err := p.Transport.RoundTrip(req)
	if err != nil {
		return News{}, errors.Wrapf(err, "news of %s", node)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return News{}, errors.Newf("news of %s: %s", node, resp.Status)
	}
	var n News
	return n, decode("news", resp.Body, &n)
}

// NewsHandler serves the news of a follower to other nodes.
func NewsHandler(f *Follower) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var ask Ask
		if err := decode("ask for news", r.Body, &ask); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		n, err := f.NewsAfter(r.Context(), ask)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		raw, err := encode("news", n)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(raw) // a reader that has left asks again
	})
}
