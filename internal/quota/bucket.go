package quota

import "time"

// bucket is a token bucket whose limit may change at any time.
type bucket struct {
	limit     Limit
	tokens    float64
	updatedAt time.Time // last refill
}

// refill adds the tokens earned since the last refill and sets the limit. If the new
// limit is lower, surplus tokens are dropped.
func (b *bucket) refill(now time.Time, limit Limit) {
	b.tokens += b.limit.Rate * max(now.Sub(b.updatedAt).Seconds(), 0)
	b.limit = limit
	b.tokens = min(b.tokens, max(limit.Burst, 1))
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
}

// take takes up to n whole tokens and returns their number.
func (b *bucket) take(n int) int {
	n = max(min(n, int(b.tokens)), 0)
	b.tokens -= float64(n)
	return n
}

// wait returns the time until there is a whole token.
func (b *bucket) wait() time.Duration {
	if b.tokens >= 1 || b.limit.Rate <= 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.limit.Rate * float64(time.Second))
}
