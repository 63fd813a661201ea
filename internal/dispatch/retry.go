package dispatch

import (
	"sync"
	"time"
)

const (
	// retryRatio is the number of retry tokens that each first attempt adds.
	retryRatio = 0.1
	// minRetriesPerSecond is the refill rate without traffic, so that requests to a
	// data centre with little traffic can still be retried.
	minRetriesPerSecond = 1.0
	// maxRetryTokens is the capacity of the bucket, which limits retry bursts.
	maxRetryTokens = 10.0
)

// retryBudget is a token bucket for each data centre. It limits retries to a
// fraction of the first attempts plus a fixed rate, so that an outage does not
// multiply the load.
type retryBudget struct {
	mu      sync.Mutex
	buckets map[string]*retryBucket
}

type retryBucket struct {
	tokens     float64
	refilledAt time.Time
}

func newRetryBudget() *retryBudget { return &retryBudget{buckets: map[string]*retryBucket{}} }

func (b *retryBudget) bucket(dataCentre string, now time.Time) *retryBucket {
	c := b.buckets[dataCentre]
	if c == nil {
		c = &retryBucket{tokens: maxRetryTokens, refilledAt: now}
		b.buckets[dataCentre] = c
	}
	if elapsed := now.Sub(c.refilledAt); elapsed > 0 {
		c.tokens = min(maxRetryTokens, c.tokens+minRetriesPerSecond*elapsed.Seconds())
		c.refilledAt = now
	}
	return c
}

// recordFirstAttempt adds retryRatio tokens for a first attempt.
func (b *retryBudget) recordFirstAttempt(dataCentre string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.bucket(dataCentre, now)
	c.tokens = min(maxRetryTokens, c.tokens+retryRatio)
}

// takeRetry reports whether a retry is allowed. If it is, it takes a token.
func (b *retryBudget) takeRetry(dataCentre string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.bucket(dataCentre, now)
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}
