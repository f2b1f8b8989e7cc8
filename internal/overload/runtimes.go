package overload

import (
	"math"
	"time"
)

// Bounds of the buckets of run times: 120 of them, each 1.1 times as wide as the
// one before, from 1 ms to about 90 s. Quantiles are exact to 10%, far less
// than one request differs from the next.
const (
	runBuckets  = 120
	runBucketBy = 1.1
	leastRun    = time.Millisecond
)

const (
	// runMemory is the number of requests after which an older one counts for a
	// third: enough for a quantile of 0.75, few enough to notice within a second
	// or two that an upstream has turned slow.
	runMemory = 60
	// leastRuns is the number of requests, by weight, from which on quantiles are
	// told.
	leastRuns = 8
	// maxKinds bounds the kinds whose run times or sizes are remembered.
	maxKinds = 64
)

// RunTimes remembers how long requests of each kind held a slot lately. It is
// not safe for concurrent use.
type RunTimes struct {
	kinds map[string]*runTimes
}

// runTimes is a histogram in which each further sample weighs more than the one
// before, so that older ones fade.
type runTimes struct {
	counts [runBuckets]float64
	total  float64
	weight float64 // of the next sample
}

// NewRunTimes returns an empty memory.
func NewRunTimes() *RunTimes { return &RunTimes{kinds: make(map[string]*runTimes)} }

// Observe takes in the time that one request of the kind held a slot.
func (r *RunTimes) Observe(kind string, took time.Duration) {
	k, ok := r.kinds[kind]
	if !ok {
		if len(r.kinds) >= maxKinds {
			return
		}
		k = &runTimes{weight: 1}
		r.kinds[kind] = k
	}
	k.counts[bucketOf(took)] += k.weight
	k.total += k.weight
	k.weight *= 1 + 1.0/runMemory
	if k.weight > rescaleAt {
		k.rescale()
	}
}

// rescaleAt is the weight at which a histogram is brought back to weight 1.
const rescaleAt = 1e9

func (k *runTimes) rescale() {
	for i := range k.counts {
		k.counts[i] /= k.weight
	}
	k.total /= k.weight
	k.weight = 1
}

// Quantile returns the time within which the share q of the requests of the
// kind ended lately; 0 if too few are known.
func (r *RunTimes) Quantile(kind string, q float64) time.Duration {
	k, ok := r.kinds[kind]
	if !ok || k.total < leastRuns*k.weight {
		return 0
	}
	sum := 0.0
	for i, n := range k.counts {
		sum += n
		if sum >= q*k.total {
			return bucketEnd(i)
		}
	}
	return bucketEnd(runBuckets - 1)
}

// Samples returns how many requests of the kind its quantiles rest on, as older
// ones count for less.
func (r *RunTimes) Samples(kind string) float64 {
	k, ok := r.kinds[kind]
	if !ok {
		return 0
	}
	return k.total / k.weight
}

func bucketOf(took time.Duration) int {
	if took <= leastRun {
		return 0
	}
	steps := math.Log(float64(took)/float64(leastRun)) / math.Log(runBucketBy)
	return min(int(math.Ceil(steps)), runBuckets-1)
}

func bucketEnd(i int) time.Duration {
	return time.Duration(float64(leastRun) * math.Pow(runBucketBy, float64(i)))
}
