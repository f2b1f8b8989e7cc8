package sidecar

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/discovery"
)

// coldCause says why the own upstream counts as cold.
type coldCause string

// The causes. All but the first rest on what may be, so the upstream is asked.
const (
	coldPublished coldCause = "published"
	coldNodeStart coldCause = "this node has started beside it"
	coldReopened  coldCause = "its data centre was evacuated"
	coldReturned  coldCause = "it takes connections again"
)

// ownCold decides until when the own upstream counts as cold. It is pure: time is
// passed in. An upstream that may be cold counts as such until it is known to be warm:
// it falls over if it gets what a warm one bears.
type ownCold struct {
	from  time.Time // of the last cause
	until time.Time
}

// begin takes a cause over that holds between two times, and reports whether it is a
// new one.
func (c *ownCold) begin(from, until time.Time) bool {
	if !from.After(c.from) {
		return false
	}
	c.from = from
	if until.After(c.until) {
		c.until = until
	}
	return true
}

// told takes over for how long the upstream stays cold by its own word, given at the
// earliest when it was asked. A cause that came later stands.
func (c *ownCold) told(asked, now time.Time, left time.Duration) {
	if !asked.Before(c.from) {
		c.until = now.Add(left)
	}
}

// followCold takes over what is published of how the own upstream starts. The
// follower's lock is held.
func (s *Sidecar) followCold(own discovery.Known) {
	terms := s.follower.Starts(own.Service)
	s.backend.SetColdRate(terms.Rate)
	if terms.Rate <= 0 {
		return
	}
	s.mayBeCold(coldNodeStart, s.began, s.began.Add(terms.Cold))
	if !own.ColdFrom.IsZero() {
		cause := coldPublished
		if own.Cold == 0 {
			cause = coldReopened
		}
		s.mayBeCold(cause, own.ColdFrom, own.ColdUntil)
	}
}

// mayBeCold bounds the work of the own upstream from now on, and asks it whether that
// is needed where it did not say so itself.
func (s *Sidecar) mayBeCold(cause coldCause, from, until time.Time) {
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	if !s.cold.begin(from, until) {
		return
	}
	s.backend.SetCold(s.cold.until)
	s.log.Info("own upstream cold", "cause", string(cause), "left", time.Until(s.cold.until))
	if cause != coldPublished {
		s.asks.Go(s.askCold)
	}
}

// upstreamReached takes over whether a connection to the own upstream could be made.
// One that could not be and then could may be another process, or the same one cold.
func (s *Sidecar) upstreamReached(ok bool) {
	if !ok {
		s.upstreamLost.Store(true)
		return
	}
	terms := s.follower.Starts(*s.service.Load())
	if terms.Rate <= 0 {
		return
	}
	if s.upstreamLost.Load() && s.upstreamLost.Swap(false) {
		now := time.Now()
		s.mayBeCold(coldReturned, now, now.Add(terms.Cold))
	}
	if s.sentUnasked.Add(1) >= int64(terms.Rate) {
		s.askNow()
	}
}

// askNow asks the own upstream, unless it is asked already.
//
// An upstream may turn cold at any moment, and its entry tells one or two seconds late.
// So it is asked after each second's worth of what it bears when cold: then it has got
// that and what is sent until it answers before this node knows, and the pace counts
// these requests. Each question takes a slot for some milliseconds, one for 14 requests
// on a deployment where a cold upstream bears 14 a second.
func (s *Sidecar) askNow() {
	if s.asked.Swap(true) {
		return
	}
	s.asks.Go(func() {
		defer s.asked.Store(false)
		s.sentUnasked.Store(0)
		at := time.Now()
		if left, err := s.fetchCold(); err == nil {
			s.toldCold(at, left)
		}
	})
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

// askCold asks the own upstream for how long it stays cold.
func (s *Sidecar) askCold() {
	for try := 1; ; try++ {
		asked := time.Now()
		left, err := s.fetchCold()
		if err == nil {
			s.toldCold(asked, left)
			return
		}
		if try == askTries || s.asking.Err() != nil {
			s.log.Info("own upstream does not say whether it is cold", "err", err)
			return
		}
		select {
		case <-s.asking.Done():
		case <-time.After(askPause):
		}
	}
}

func (s *Sidecar) toldCold(asked time.Time, left time.Duration) {
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	now := time.Now()
	before := now.Before(s.cold.until)
	s.cold.told(asked, now, left)
	s.backend.SetCold(s.cold.until)
	if cold := now.Before(s.cold.until); cold != before {
		s.log.Info("own upstream told whether it is cold", "cold", cold, "left", left)
	}
}

// errColdNotTold reports an answer that does not say for how long an upstream stays
// cold.
var errColdNotTold = errors.New("the answer does not tell")

func (s *Sidecar) fetchCold() (time.Duration, error) {
	ctx, cancel := context.WithTimeout(s.asking, askTimeout)
	defer cancel()
	path := s.follower.Starts(*s.service.Load()).Health
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, upstreamURL(s.cfg.Upstream).String()+path, nil)
	if err != nil {
		return 0, errors.Wrap(err, "ask the own upstream")
	}
	resp, err := s.upstream.RoundTrip(req)
	if err != nil {
		return 0, errors.Wrap(err, "ask the own upstream")
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // so that its connection can be used again
	left, ok := s.platform.Dialect.ColdLeft(resp.Header)
	if !ok {
		return 0, errors.Wrap(errColdNotTold, resp.Status)
	}
	return left, nil
}
