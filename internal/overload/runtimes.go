package overload

import (
	"math"
	"time"
)

// Buckets of the run time histogram: 120 of them, each 1.1 times as wide as the one
// before, from 1 ms to about 90 s. Quantiles are accurate to 10%, which is much less than
// run times of one kind vary.
const (
	runBuckets     = 120
	runBucketRatio = 1.1
	minRunBucket   = time.Millisecond
)

const (
	// runTimesDecay is the number of requests after which a sample's weight has fallen to
	// about a third. That is enough samples for a 0.75 quantile and few enough to notice
	// within a second or two that an upstream has become slow.
	runTimesDecay = 60
	// minRuns is the total weight of samples, in requests, required for a quantile.
	minRuns = 8
	// maxKinds bounds the kinds whose run times or response sizes are kept.
	maxKinds = 64
)

// RunTimes keeps statistics of how long recent requests of each kind held a slot. It is
// not safe for concurrent use.
type RunTimes struct {
	kinds map[string]*runTimes
}

// runTimes is a histogram in which each sample has more weight than the one before, so
// that older ones lose influence.
type runTimes struct {
	counts [runBuckets]float64
	total  float64
	weight float64 // of the next sample
}

// NewRunTimes returns run times without samples.
func NewRunTimes() *RunTimes { return &RunTimes{kinds: make(map[string]*runTimes)} }

// Observe adds the time that one request of the kind held a slot.
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
	k.weight *= 1 + 1.0/runTimesDecay
	if k.weight > rescaleAt {
		k.rescale()
	}
}

// rescaleAt is the sample weight at which a histogram is scaled back to weight 1.
const rescaleAt = 1e9

func (k *runTimes) rescale() {
	for i := range k.counts {
		k.counts[i] /= k.weight
	}
	k.total /= k.weight
	k.weight = 1
}

// Quantile returns the q-quantile of the recent run times of the kind; 0 if there are too
// few samples.
func (r *RunTimes) Quantile(kind string, q float64) time.Duration {
	k, ok := r.kinds[kind]
	if !ok || k.total < minRuns*k.weight {
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

// Samples returns the number of requests that the quantiles of a kind are based on, with
// older requests counting for less than one.
func (r *RunTimes) Samples(kind string) float64 {
	k, ok := r.kinds[kind]
	if !ok {
		return 0
	}
	return k.total / k.weight
}

func bucketOf(took time.Duration) int {
	if took <= minRunBucket {
		return 0
	}
	steps := math.Log(float64(took)/float64(minRunBucket)) / math.Log(runBucketRatio)
	return min(int(math.Ceil(steps)), runBuckets-1)
}

func bucketEnd(i int) time.Duration {
	return time.Duration(float64(minRunBucket) * math.Pow(runBucketRatio, float64(i)))
}
