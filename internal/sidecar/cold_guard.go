package sidecar

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/discovery"
	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/proxy"
)

// coldGuard keeps the backend from sending the own upstream more than it bears while it
// is cold: it follows what is published of it, whether it can be reached, and its own
// word.
type coldGuard struct {
	address  string // of the upstream, with the scheme
	dialect  proxy.Dialect
	upstream *http1.Client
	follower *discovery.Follower
	backend  *proxy.Backend
	service  func() string
	log      *log.Logger
	began    time.Time // when this process started

	unasked atomic.Int64 // requests sent since the upstream was asked last
	asked   atomic.Bool  // it is asked now
	lost    atomic.Bool  // no connection to it could be made last

	ctx  context.Context // of the questions
	stop context.CancelFunc

	mu   sync.Mutex // guards what follows
	cold ownCold
}

// newColdGuard returns the guard of a sidecar whose other parts are built.
func newColdGuard(s *Sidecar) *coldGuard {
	g := &coldGuard{
		address:  upstreamURL(s.cfg.Upstream).String(),
		dialect:  s.platform.Dialect,
		upstream: s.upstream,
		follower: s.follower,
		backend:  s.backend,
		service:  func() string { return *s.service.Load() },
		log:      s.log,
		began:    clock.Now(),
	}
	g.ctx, g.stop = context.WithCancel(context.Background())
	return g
}

// follow takes over what is published of the own upstream. The follower's lock is held.
func (g *coldGuard) follow(own discovery.KnownUpstream) {
	terms := g.follower.ColdStart(own.Service)
	g.backend.SetColdRate(terms.Rate)
	if terms.Rate <= 0 {
		return
	}
	g.begin(coldNodeStart, g.began, g.began.Add(terms.Duration))
	if own.ColdFrom.IsZero() {
		return
	}
	cause := coldPublished
	if own.ColdFor == 0 {
		cause = coldReopened
	}
	g.begin(cause, own.ColdFrom, own.ColdUntil)
}

// begin bounds the work of the own upstream from now on, and asks it whether that is
// needed where it did not say so itself.
func (g *coldGuard) begin(cause coldCause, from, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.cold.begin(from, until) {
		return
	}
	g.backend.SetCold(g.cold.until)
	g.log.Info("own upstream cold", "cause", string(cause), "left", clock.Until(g.cold.until))
	if cause != coldPublished {
		go g.askUntilTold()
	}
}

// reached takes over whether a connection to the own upstream could be made for a
// request. One that could not be and then could may be another process, or the same one
// cold.
func (g *coldGuard) reached(ok bool) {
	if !ok {
		g.lost.Store(true)
		return
	}
	terms := g.follower.ColdStart(g.service())
	if terms.Rate <= 0 {
		return
	}
	if g.lost.Load() && g.lost.Swap(false) {
		now := clock.Now()
		g.begin(coldReturned, now, now.Add(terms.Duration))
	}
	if g.unasked.Add(1) >= int64(terms.Rate) {
		g.askNow()
	}
}

// askNow asks the own upstream, unless it is asked already.
//
// An upstream may turn cold at any moment, and its entry tells one or two seconds late.
// So it is asked after each second's worth of what it bears when cold: then it has got
// that and what is sent until it answers before this node knows, and the pace counts
// these requests. Without it 61 to 75 requests in a second reached upstreams that turned
// cold unseen and bore 10, with it at most 10 in three seeds of the soak. Each question
// takes a slot for some milliseconds.
func (g *coldGuard) askNow() {
	if g.asked.Swap(true) {
		return
	}
	go func() {
		defer g.asked.Store(false)
		g.unasked.Store(0)
		_ = g.ask() // where it does not say, it is asked again soon
	}()
}

// Bounds of a question to the own upstream.
const (
	// askTimeout is how long an answer is waited for: it takes a slot as any request
	// does, so up to a few run times under load.
	askTimeout = 500 * time.Millisecond
	// askPause lies between two questions where the first was not answered.
	askPause = 300 * time.Millisecond
	// askTries bounds them: each takes a slot for some milliseconds, and the time for
	// which it can be cold is soon over.
	askTries = 3
)

// askUntilTold asks the own upstream for how long it stays cold, a few times if it does
// not say.
func (g *coldGuard) askUntilTold() {
	for try := 1; ; try++ {
		err := g.ask()
		if err == nil {
			return
		}
		if try == askTries || g.ctx.Err() != nil {
			g.log.Info("own upstream does not say whether it is cold", "err", err)
			return
		}
		select {
		case <-g.ctx.Done():
		case <-time.After(askPause):
		}
	}
}

// ask asks the own upstream once, and takes over what it says.
func (g *coldGuard) ask() error {
	asked := clock.Now()
	left, err := g.fetch()
	if err == nil {
		g.told(asked, left)
	}
	return err
}

func (g *coldGuard) told(asked time.Time, left time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	before := now.Before(g.cold.until)
	g.cold.told(asked, now, left)
	g.backend.SetCold(g.cold.until)
	if cold := now.Before(g.cold.until); cold != before {
		g.log.Info("own upstream told whether it is cold", "cold", cold, "left", left)
	}
}

// errColdNotTold reports an answer that does not say for how long an upstream stays
// cold.
var errColdNotTold = errors.New("the answer does not tell")

func (g *coldGuard) fetch() (time.Duration, error) {
	ctx, cancel := context.WithTimeout(g.ctx, askTimeout)
	defer cancel()
	path := g.follower.ColdStart(g.service()).HealthPath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, g.address+path, nil)
	if err != nil {
		return 0, errors.Wrap(err, "ask the own upstream")
	}
	resp, err := g.upstream.RoundTrip(req)
	if err != nil {
		return 0, errors.Wrap(err, "ask the own upstream")
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // so that its connection can be used again
	left, ok := g.dialect.ColdRemaining(resp.Header)
	if !ok {
		return 0, errors.Wrap(errColdNotTold, resp.Status)
	}
	return left, nil
}
