package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/ledger"
)

// beginKey looks up a keyed request in the ledger. A non-nil response or problem
// answers the request; otherwise it may run.
func (c *backendCall) beginKey(ctx context.Context) (*http.Response, *Problem) {
	b := c.b
	c.key = ledger.Key{Service: c.env.Service, Tenant: c.env.Tenant, Value: c.env.Key}
	snap := b.holder.Current()
	if snap == nil || snap.Service(c.env.Service) == nil || ledger.Owner(snap.Service(c.env.Service), c.key) != b.cfg.Name {
		return nil, keyProblem(ledger.Moved)
	}
	now := clock.Now()
	b.mu.Lock()
	v := b.ledger.Begin(now, c.key, keyFingerprint(c.req), snap.ID)
	var owners []string
	if v.Decision == ledger.Run {
		owners = b.ownerHistory.OwnersToClaimFrom(now, c.key, b.cfg.Name)
		if v.AlsoClaimFrom != "" {
			owners = append(owners, v.AlsoClaimFrom)
		}
	}
	b.mu.Unlock()
	if len(owners) > 0 {
		fence := ledger.Fence{Owner: b.cfg.Name, Version: snap.ID}
		v = ledger.ClaimFromOthers(b.cfg.Name, owners, func(owner string) (ledger.Verdict, error) {
			return b.claims.Claim(ctx, owner, c.key, fence)
		})
		if v.Decision != ledger.Run {
			c.finishKey(ledger.NotRun, nil)
		}
	}
	return c.resolveVerdict(v)
}

func (c *backendCall) resolveVerdict(v ledger.Verdict) (*http.Response, *Problem) {
	if v.Decision == ledger.Run {
		return nil, nil
	}
	c.b.metrics.keyDecision(v.Decision)
	if v.Decision == ledger.Replay && v.Response != nil && v.Response.Kept {
		return c.replay(v.Response), nil
	}
	return nil, keyProblem(v.Decision)
}

// headerReplayed marks a response that was stored for an earlier attempt.
const headerReplayed = "Walldrift-Replayed"

func (c *backendCall) replay(a *ledger.Response) *http.Response {
	h := http.Header(a.Header).Clone()
	c.b.setReportHeaders(h, c.env, false)
	h.Set(headerReplayed, "true")
	return &http.Response{
		StatusCode:    a.Status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        h,
		Body:          io.NopCloser(bytes.NewReader(a.Body)),
		ContentLength: int64(len(a.Body)),
		Request:       c.req,
	}
}

func (c *backendCall) finishKey(o ledger.Outcome, a *ledger.Response) {
	if !c.keyed {
		return
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.b.ledger.Finish(clock.Now(), c.key, o, a)
}

// Claim handles a claim of a later owner of a key.
func (b *Backend) Claim(k ledger.Key, f ledger.Fence) ledger.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Claim(clock.Now(), k, f)
}
