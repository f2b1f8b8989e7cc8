package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/walldrift/walldrift/internal/platform"
)

// Timing of the platform readers.
const (
	readBackoffBase = time.Second
	readBackoffMax  = 30 * time.Second
	// readerCheckInterval is how often a node that is not a reader checks whether it has
	// become one.
	readerCheckInterval = 500 * time.Millisecond
	// seedTimeout is how long a starting node waits for its seeds before it reads the
	// platform.
	seedTimeout = 3 * time.Second
)

// readPlatform reads one document from the platform while this node is a reader. Without
// an instance list a node can't know whether it is one; it then reads the list once, at a
// random time within ReadSpread.
func (s *Service) readPlatform(ctx context.Context, doc Doc, key string) {
	rnd := rand.New(rand.NewPCG(s.cfg.Self.Generation, uint64(doc)+1))
	backoff := platform.Backoff{Base: readBackoffBase, Max: readBackoffMax}
	if !s.awaitFirstRead(ctx, doc, rnd) {
		return
	}
	var index uint64
	for ctx.Err() == nil {
		if !s.mayRead(ctx, doc) {
			index = 0
			sleep(ctx, readerCheckInterval)
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

// awaitFirstRead waits until the first read is due. The list is read after seedTimeout,
// if there are seeds, and a random part of ReadSpread, unless a peer sends one sooner;
// the table is read once there is a list.
func (s *Service) awaitFirstRead(ctx context.Context, doc Doc, rnd *rand.Rand) bool {
	limit := time.Duration(rnd.Int64N(int64(s.cfg.ReadSpread) + 1))
	if s.hasOtherSeeds() {
		limit += seedTimeout
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
			return false // a seed does not wait for other seeds
		}
	}
	return len(s.cfg.Seeds) > 0
}

// mayRead reports whether this node may read the document now.
func (s *Service) mayRead(ctx context.Context, doc Doc) bool {
	ok, _ := callInLoop(ctx, s, func(now time.Time) bool {
		firstRead := doc == DocList && s.engine.Held(DocList).IsZero()
		return s.engine.ShouldRead(now) || firstRead
	})
	return ok
}

// readOnce makes one call to the platform and passes the result to the engine. It returns
// the index for the next watch.
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
