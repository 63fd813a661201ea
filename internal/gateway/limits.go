package gateway

import (
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

// reserve takes the cost of a request or refuses it.
func (g *Gateway) reserve(x *exchange) error {
	w := x.workspace
	if w == nil || x.route.Public || w.Rate <= 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.bucket(w)
	c := cost(w, x.call)
	ok, wait := b.Take(x.started, c)
	if !ok {
		return refusal.New(refusal.RateLimited, refusal.NotRun, "workspace %s is over its rate: %.0f tokens asked, this host holds %.2f of it",
			w.Name, c, b.Held(x.started)).WithRetry(max(shortRetry, wait))
	}
	x.reserved = &reservation{b, c}
	return nil
}

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
