package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/walldrift/walldrift/internal/platform"
)

// Timing of the platform readers.
const (
	readBase = time.Second
	readCap  = 30 * time.Second
	// rankPoll is how often a node that is not a reader looks whether it has
	// become one.
	rankPoll = 500 * time.Millisecond
	// seedPatience is how long a starting node waits for its seeds before it
	// asks the platform.
	seedPatience = 3 * time.Second
)

// readLoop reads one document from the platform while this node is a reader.
// Without a list a node cannot know whether it is one; it then reads the list
// once, at a random time within ReadSpread.
func (s *Service) readLoop(ctx context.Context, doc Doc, key string) {
	rnd := rand.New(rand.NewPCG(s.cfg.Self.Generation, uint64(doc)+1))
	backoff := platform.Backoff{Base: readBase, Cap: readCap}
	if !s.awaitFirst(ctx, doc, rnd) {
		return
	}
	var index uint64
	for ctx.Err() == nil {
		if !s.mayRead(ctx, doc) {
			index = 0
			sleep(ctx, rankPoll)
			continue
		}
		next, err := s.readOnce(ctx, doc, key, index)
		if err != nil {
			s.metrics.Counter("source_failures").Inc(1)
			sleep(ctx, backoff.Next(rnd))
			continue
		}
		backoff.Reset()
		index = next
	}
}

// awaitFirst waits until the first read is due: for the list, the seeds'
// patience and a random part of ReadSpread, unless a list comes from a peer
// sooner; for the table, until there is a list.
func (s *Service) awaitFirst(ctx context.Context, doc Doc, rnd *rand.Rand) bool {
	limit := time.Duration(rnd.Int64N(int64(s.cfg.ReadSpread) + 1))
	if s.hasOtherSeeds() {
		limit += seedPatience
	}
	start := time.Now()
	for ctx.Err() == nil {
		if s.Status().List.Edition != 0 {
			return true
		}
		if doc == DocList && time.Since(start) >= limit {
			return true
		}
		sleep(ctx, tickInterval/2)
	}
	return false
}

func (s *Service) hasOtherSeeds() bool {
	for _, seed := range s.cfg.Seeds {
		if seed.Name == s.cfg.Self.Name {
			return false // a seed itself starts from the platform
		}
	}
	return len(s.cfg.Seeds) > 0
}

// mayRead asks the engine whether this node reads now.
func (s *Service) mayRead(ctx context.Context, doc Doc) bool {
	ok, _ := ask(ctx, s, func(now time.Time) bool {
		first := doc == DocList && s.engine.Held(DocList).IsZero()
		return s.engine.ShouldRead(now) || first
	})
	return ok
}

// readOnce makes one call to the platform and hands the result to the engine.
// It returns the index to watch from.
func (s *Service) readOnce(ctx context.Context, doc Doc, key string, index uint64) (uint64, error) {
	s.metrics.Counter("source_reads").Inc(1)
	var v platform.Value
	var err error
	if index == 0 {
		v, err = s.source.Read(ctx, key)
	} else {
		v, err = s.source.Watch(ctx, key, index, s.cfg.WatchWait)
	}
	if err != nil {
		return 0, err
	}
	changed := v.Index != index
	s.post(func(now time.Time) Actions {
		if !changed {
			s.engine.SourceUnchanged(now)
			return Actions{}
		}
		return s.engine.Publish(now, doc, v.Raw)
	})
	return v.Index, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
