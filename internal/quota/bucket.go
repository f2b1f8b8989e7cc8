package quota

import "time"

// bucket is a token bucket. A limit that changes holds from then on.
type bucket struct {
	limit  Limit
	tokens float64
	at     time.Time // when tokens was worked out
}

// refill works out the tokens of a time. A bucket that is lowered keeps no more than the
// new limit allows.
func (b *bucket) refill(now time.Time, limit Limit) {
	b.tokens += b.limit.Rate * max(now.Sub(b.at).Seconds(), 0)
	b.limit = limit
	b.tokens = min(b.tokens, max(limit.Burst, 1))
	if now.After(b.at) {
		b.at = now
	}
}

// take takes up to n whole tokens.
func (b *bucket) take(n int) int {
	n = max(min(n, int(b.tokens)), 0)
	b.tokens -= float64(n)
	return n
}

// wait is the time until there is a whole token.
func (b *bucket) wait() time.Duration {
	if b.tokens >= 1 || b.limit.Rate <= 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.limit.Rate * float64(time.Second))
}
