package dispatch

import (
	"sync"
	"time"
)

const (
	// retryShare is how many retries each first attempt pays for.
	retryShare = 0.1
	// retryFloor is how many retries a second are allowed without traffic, so
	// that a quiet data centre can still retry.
	retryFloor = 1.0
	// maxRetryCredit bounds the retries that a quiet time saves up.
	maxRetryCredit = 10.0
)

// retryBudget limits retries towards each data centre to a share of the first
// attempts plus a floor, so that an outage does not multiply load.
type retryBudget struct {
	mu      sync.Mutex
	credits map[string]*retryCredit
}

type retryCredit struct {
	level float64
	at    time.Time
}

func newRetryBudget() *retryBudget { return &retryBudget{credits: map[string]*retryCredit{}} }

func (b *retryBudget) credit(dataCentre string, now time.Time) *retryCredit {
	c := b.credits[dataCentre]
	if c == nil {
		c = &retryCredit{level: maxRetryCredit, at: now}
		b.credits[dataCentre] = c
	}
	if passed := now.Sub(c.at); passed > 0 {
		c.level = min(maxRetryCredit, c.level+retryFloor*passed.Seconds())
		c.at = now
	}
	return c
}

// first pays for a share of a retry.
func (b *retryBudget) first(dataCentre string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.credit(dataCentre, now)
	c.level = min(maxRetryCredit, c.level+retryShare)
}

// take reports whether a retry is allowed, and counts it.
func (b *retryBudget) take(dataCentre string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.credit(dataCentre, now)
	if c.level < 1 {
		return false
	}
	c.level--
	return true
}
