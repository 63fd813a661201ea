package gateway

import (
	"context"
	"time"

	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/shares"
)

// reservation is what a request took of its workspace's rate.
type reservation struct {
	bucket *shares.Bucket
	cost   float64
}

// cost is what a request counts against the workspace's rate.
func cost(w *document.Workspace, c Call) float64 {
	switch {
	case w.PerRequest:
		return 1
	case c.Counted:
		return float64(c.Prompt + c.Output)
	}
	return float64(w.UncachedTokens)
}

// reserve takes the cost of a request or refuses it. A short time until the cost is
// there is waited for, because a refusal costs the caller more.
func (g *Gateway) reserve(ctx context.Context, x *exchange) error {
	w := x.workspace
	if w == nil || x.route.Public || w.Rate <= 0 {
		return nil
	}
	for first := true; ; first = false {
		wait, err := g.tryReserve(x, first)
		if err == nil || sinceBoot()-x.started+wait > rateWait {
			return err
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return err
		case <-timer.C:
		}
	}
}

// tryReserve returns a refusal and the time after which the cost is expected.
func (g *Gateway) tryReserve(x *exchange, first bool) (time.Duration, error) {
	now := sinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.bucket(x.workspace)
	c := cost(x.workspace, x.call)
	b.SetSpare(g.Bounds.RateSlack * sparePart / float64(1+g.countHosts(now, "")))
	ok, wait := b.Take(now, c, first)
	if ok {
		x.reserved = &reservation{b, c}
		return 0, nil
	}
	return wait, refusal.New(refusal.RateLimited, refusal.NotRun, "workspace %s is over its rate: %.0f tokens asked, this host holds %.2f of it",
		x.workspace.Name, c, b.Held(now)).WithRetry(max(shortRetry, wait))
}

const (
	// rateWait bounds the wait for a part of the rate.
	rateWait = 100 * time.Millisecond
	// sparePart of the tolerance is divided over hosts; the rest covers hosts that
	// are not known.
	sparePart = 0.7
)

// bucket returns the bucket of a workspace, with g.mu held.
func (g *Gateway) bucket(w *document.Workspace) *shares.Bucket {
	b := g.buckets[w.Name]
	if b == nil {
		b = &shares.Bucket{}
		g.buckets[w.Name] = b
		b.SetLimits(sinceBoot(), w.Rate, w.Burst)
	}
	return b
}

// release gives back what a request took that did not run.
func (g *Gateway) release(r *reservation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.bucket.Return(r.cost)
}

// budget returns the budget of a service, with g.mu held.
func (g *Gateway) budget(service string) *shares.Budget {
	b := g.budgets[service]
	if b == nil {
		b = shares.NewBudget(g.Bounds.RetryWindow, g.Bounds.RetryRatio*retryPart)
		g.budgets[service] = b
	}
	return b
}

const (
	// retryPart of the ratio and retrySlackPart of the slack are used; the rest
	// covers the difference between the windows of hosts and hosts not known.
	retryPart      = 0.8
	retrySlackPart = 0.6
)

// retrySlack is this host's part of the slack, with g.mu held.
func (g *Gateway) retrySlack(now time.Duration) float64 {
	return g.Bounds.RetrySlack * retrySlackPart / float64(1+g.countHosts(now, ""))
}

// countHosts returns the other entry hosts that may be serving, of a region or of
// all, with g.mu held.
func (g *Gateway) countHosts(now time.Duration, region string) int {
	n := 0
	for _, h := range g.hosts {
		if now-h.heard < hostMemory && (region == "" || h.GetRegion() == region) {
			n++
		}
	}
	return n
}

// hostMemory is how long a host that is not heard of counts as possibly serving.
const hostMemory = 30 * time.Second
