package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/routing"
	"github.com/walldrift/walldrift/internal/version"
)

// headerClaim marks a request between nodes as a claim on an idempotency key.
const headerClaim = "Walldrift-Claim"

// maxClaim bounds an encoded claim and its response, in bytes.
const maxClaim = 64 << 10

type claimRequest struct {
	Service string     `cbor:"1,keyasint"`
	Tenant  string     `cbor:"2,keyasint"`
	Key     string     `cbor:"3,keyasint"`
	Owner   string     `cbor:"4,keyasint"`
	Version version.ID `cbor:"5,keyasint"`
}

type claimReply struct {
	Decision  ledger.Decision     `cbor:"1,keyasint"`
	ClaimFrom string              `cbor:"2,keyasint,omitempty"`
	Status    int                 `cbor:"3,keyasint,omitempty"`
	Header    map[string][]string `cbor:"4,keyasint,omitempty"`
	Body      []byte              `cbor:"5,keyasint,omitempty"`
	Kept      bool                `cbor:"6,keyasint,omitempty"`
}

// claimHandler answers claims of other nodes.
type claimHandler struct{ b *Backend }

func (c claimHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxClaim))
	if err != nil {
		http.Error(w, "claim", http.StatusBadRequest)
		return
	}
	var request claimRequest
	if err := cbor.Unmarshal(raw, &request); err != nil {
		http.Error(w, "claim", http.StatusBadRequest)
		return
	}
	v := c.b.Claim(ledger.Key{Service: request.Service, Tenant: request.Tenant, Value: request.Key}, ledger.Fence{Owner: request.Owner, Version: request.Version})
	out := claimReply{Decision: v.Decision, ClaimFrom: v.AlsoClaimFrom}
	if v.Response != nil {
		out.Status, out.Header, out.Body, out.Kept = v.Response.Status, v.Response.Header, v.Response.Body, v.Response.Kept
	}
	b, err := cbor.Marshal(out)
	if err != nil {
		http.Error(w, "claim", http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(b)
}

// PeerClaimer sends claims to earlier owners over the request connections.
type PeerClaimer struct {
	Dispatch Dispatcher
	Members  routing.Members
}

// Claim sends a claim to the node beside owner. An error means that the verdict is
// unknown.
func (p *PeerClaimer) Claim(ctx context.Context, owner string, k ledger.Key, f ledger.Fence) (ledger.Verdict, error) {
	m, ok := p.Members(owner)
	if !ok || m.Status == membership.Gone {
		return ledger.Verdict{}, errors.Newf("earlier owner %s is gone", owner)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	transport, err := p.Dispatch.TransportTo(ctx, m.Instance)
	if err != nil {
		return ledger.Verdict{}, err
	}
	raw, err := cbor.Marshal(claimRequest{Service: k.Service, Tenant: k.Tenant, Key: k.Value, Owner: f.Owner, Version: f.Version})
	if err != nil {
		return ledger.Verdict{}, err
	}
	resp, err := transport.RoundTrip(newClaim(ctx, owner, raw))
	if err != nil {
		return ledger.Verdict{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readClaim(resp)
}

func newClaim(ctx context.Context, owner string, raw []byte) *http.Request {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+owner+"/", bytes.NewReader(raw))
	req.ContentLength = int64(len(raw))
	req.Header.Set(headerClaim, "true")
	return req
}

func readClaim(resp *http.Response) (ledger.Verdict, error) {
	if resp.StatusCode != http.StatusOK {
		return ledger.Verdict{}, errors.Newf("claim: unexpected status %s", resp.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxClaim))
	if err != nil {
		return ledger.Verdict{}, err
	}
	var r claimReply
	if err := cbor.Unmarshal(raw, &r); err != nil {
		return ledger.Verdict{}, err
	}
	v := ledger.Verdict{Decision: r.Decision, AlsoClaimFrom: r.ClaimFrom}
	if r.Status != 0 {
		v.Response = &ledger.Response{Status: r.Status, Header: r.Header, Body: r.Body, Kept: r.Kept}
	}
	return v, nil
}
