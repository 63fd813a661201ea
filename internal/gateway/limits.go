package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rendezvous"
	"geraniumturn.example/geraniumturn/internal/shares"
)

// cost is what a request counts against the workspace's rate.
func cost(w *document.Workspace, c Call) float64 {
	switch {
	case w.PerRequest:
		return 1
	case c.TokensKnown:
		return float64(c.PromptTokens + c.MaxOutputTokens)
	}
	return float64(w.DefaultTokens)
}

// RateClient takes tokens from another host.
type RateClient interface {
	Take(ctx context.Context, peer string, in *syncpb.TakeRequest) (*syncpb.TakeResponse, error)
}

// reserve takes the cost of a request or refuses it. A short time until the cost is
// there is waited for, because a refusal costs the caller more.
func (g *Gateway) reserve(ctx context.Context, x *exchange) error {
	w := x.workspace
	if w == nil || x.route.Public || w.Rate <= 0 {
		return nil
	}
	r := &reservation{workspace: w, cost: cost(w, x.call)}
	for again := false; ; again = true {
		out := g.take(ctx, r, again)
		if out.GetOk() {
			x.reserved = r
			return nil
		}
		wait := time.Duration(out.GetWaitMs()) * time.Millisecond
		if sinceBoot()-x.started+wait > rateWait || !clock.Sleep(ctx, wait) {
			return refusal.New(refusal.RateLimited, refusal.NotRun, "workspace %s is over its rate: %.0f tokens asked, the host %s holds %.2f of it",
				w.Name, r.cost, r.holder(), out.GetHeld()).WithRetry(max(shortRetry, wait))
		}
	}
}

// reservation is what a request took of its workspace's rate.
type reservation struct {
	workspace *document.Workspace
	cost      float64
	// owner is the host that it was taken from; nil for this one.
	owner *peerHost
}

func (r *reservation) holder() string {
	if r.owner == nil {
		return "itself"
	}
	return r.owner.GetName()
}

// take asks the host that holds the region's part of the rate. When that host does
// not answer, this one has only its part of the tolerance.
func (g *Gateway) take(ctx context.Context, r *reservation, again bool) *syncpb.TakeResponse {
	g.mu.Lock()
	r.owner = g.rateOwner(sinceBoot(), r.workspace.Name)
	g.mu.Unlock()
	if r.owner != nil {
		ctx, cancel := context.WithTimeout(ctx, lendTimeout)
		defer cancel()
		out, err := g.RateClient.Take(ctx, r.owner.GetPeer(), &syncpb.TakeRequest{Workspace: r.workspace.Name, Tokens: r.cost, Again: again})
		if err == nil {
			return out
		}
		g.Log.WithFields(logrus.Fields{"workspace": r.workspace.Name, "holder": r.owner.GetName()}).WithError(err).Info("rate not reached")
		r.owner = nil
	}
	return g.takeHere(r.workspace, r.cost, again)
}

// takeHere takes tokens of this host's bucket.
func (g *Gateway) takeHere(w *document.Workspace, tokens float64, again bool) *syncpb.TakeResponse {
	now := sinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.bucket(w)
	b.SetSlack(g.Bounds.RateSlack * sparePart / float64(g.countRegions(now)))
	if tokens < 0 {
		b.Refund(-tokens)
		return &syncpb.TakeResponse{Ok: true}
	}
	ok, wait := b.Take(now, tokens, !again)
	return &syncpb.TakeResponse{Ok: ok, WaitMs: int64(wait/time.Millisecond) + 1, Held: b.HeldFraction(now)}
}

// Take implements the drpc service for the other hosts of the region.
func (g *Gateway) Take(_ context.Context, in *syncpb.TakeRequest) (*syncpb.TakeResponse, error) {
	v := g.Views.Current()
	if v == nil || v.Config == nil {
		return nil, fmt.Errorf("gateway: no configuration")
	}
	w := v.Config.WorkspaceByName(in.GetWorkspace())
	if w == nil {
		return nil, fmt.Errorf("gateway: unknown workspace %q", in.GetWorkspace())
	}
	return g.takeHere(w, in.GetTokens(), in.GetAgain()), nil
}

// rateOwner returns the host of this region that holds its part of a workspace's
// rate, or nil for this one. With one holder a region, a large request does not fail
// because the rate is divided into small parts. g.mu is held.
func (g *Gateway) rateOwner(now time.Duration, workspace string) *peerHost {
	var owner *peerHost
	best := uint64(0)
	if !g.Draining() {
		best = rendezvous.Weight(workspace, g.Name)
	}
	for name, h := range g.hosts {
		if h.GetRegion() != g.Region || h.GetPeer() == "" || !h.GetServing() || now-h.heard > loadAge {
			continue
		}
		if r := rendezvous.Weight(workspace, name); r > best {
			owner, best = h, r
		}
	}
	return owner
}

// allRegions returns the regions of the settings.
func (g *Gateway) allRegions() map[string]bool {
	out := map[string]bool{g.Region: true}
	for _, region := range g.RegionByDataCentre {
		out[region] = true
	}
	return out
}

// wantsShares reports whether this host holds a region's part of a rate without a
// fraction, with g.mu held.
func (g *Gateway) wantsShares(now time.Duration) bool {
	for name, b := range g.buckets {
		if b.HeldFraction(now) == 0 && g.rateOwner(now, name) == nil {
			return true
		}
	}
	return false
}

// countRegions returns the regions with entry hosts, at least 1, with g.mu held.
func (g *Gateway) countRegions(now time.Duration) int {
	seen := map[string]bool{g.Region: true}
	for _, h := range g.hosts {
		if now-h.heard < hostMemory {
			seen[h.GetRegion()] = true
		}
	}
	return len(seen)
}

const (
	// rateWait bounds the wait for a part of the rate.
	rateWait = 100 * time.Millisecond
	// sparePart of the tolerance is divided over the holders of the regions; the rest
	// covers a holder that changes.
	sparePart = 0.6
	// lendTimeout bounds a call to the holder, which is in the same region.
	lendTimeout = 150 * time.Millisecond
)

// bucket returns the bucket of a workspace, with g.mu held.
func (g *Gateway) bucket(w *document.Workspace) *shares.Bucket {
	b := g.buckets[w.Name]
	if b == nil {
		b = &shares.Bucket{}
		g.buckets[w.Name] = b
		b.SetLimits(sinceBoot(), w.Rate, w.Burst)
		b.SetInitialTokens(w.Burst / float64(len(g.allRegions())))
	}
	return b
}

// release gives back what a request took that did not run.
func (g *Gateway) release(r *reservation) {
	if r.owner == nil {
		g.takeHere(r.workspace, -r.cost, true)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lendTimeout)
		defer cancel()
		if _, err := g.RateClient.Take(ctx, r.owner.GetPeer(), &syncpb.TakeRequest{Workspace: r.workspace.Name, Tokens: -r.cost, Again: true}); err != nil {
			g.Log.WithField("workspace", r.workspace.Name).WithError(err).Info("tokens not given back")
		}
	}()
}

// budget returns the budget of a service, with g.mu held.
func (g *Gateway) budget(service string) *shares.RetryBudget {
	b := g.budgets[service]
	if b == nil {
		b = shares.NewRetryBudget(g.Bounds.RetryWindow, g.Bounds.RetryRatio*retryPart)
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
	return g.Bounds.RetrySlack * retrySlackPart / float64(max(g.totalHosts, 1+g.countHosts(now)))
}

// countHosts returns the other entry hosts that this one knows and that may be
// serving, with g.mu held.
func (g *Gateway) countHosts(now time.Duration) int {
	n := 0
	for _, h := range g.hosts {
		if now-h.heard < hostMemory {
			n++
		}
	}
	return n
}

// hostMemory is how long a host that is not heard of counts as possibly serving.
const hostMemory = 30 * time.Second
