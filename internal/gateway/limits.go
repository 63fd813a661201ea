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

// requestCost is what a request counts against the workspace's rate.
func requestCost(w *document.Workspace, c Call) float64 {
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
func (g *Gateway) reserve(ctx context.Context, x *requestState) error {
	w := x.workspace
	if w == nil || x.route.Public || w.Rate <= 0 {
		return nil
	}
	r := &reservation{workspace: w, cost: requestCost(w, x.call)}
	for retry := false; ; retry = true {
		out := g.takeTokens(ctx, r, retry)
		if out.GetOk() {
			x.reservation = r
			return nil
		}
		wait := time.Duration(out.GetWaitMs()) * time.Millisecond
		if sinceBoot()-x.started+wait > maxRateWait || !clock.Sleep(ctx, wait) {
			return refusal.New(refusal.RateLimited, refusal.NotRun, "workspace %s is over its rate: %.0f tokens asked, the host %s holds %.2f of it",
				w.Name, r.cost, r.holderName(), out.GetHeld()).WithRetry(max(minRetryAfter, wait))
		}
	}
}

// reservation is what a request took of its workspace's rate.
type reservation struct {
	workspace *document.Workspace
	cost      float64
	// holder is the host that it was taken from; nil for this one.
	holder *peerHost
}

func (r *reservation) holderName() string {
	if r.holder == nil {
		return "itself"
	}
	return r.holder.GetName()
}

// takeTokens asks the host that holds the region's part of the rate. When that host does
// not answer, this one has only its part of the tolerance.
func (g *Gateway) takeTokens(ctx context.Context, r *reservation, retry bool) *syncpb.TakeResponse {
	g.mu.Lock()
	r.holder = g.rateHolder(sinceBoot(), r.workspace.Name)
	g.mu.Unlock()
	if r.holder != nil {
		ctx, cancel := context.WithTimeout(ctx, takeTimeout)
		defer cancel()
		out, err := g.RateClient.Take(ctx, r.holder.GetPeer(), &syncpb.TakeRequest{Workspace: r.workspace.Name, Tokens: r.cost, Again: retry})
		if err == nil {
			return out
		}
		g.Log.WithFields(logrus.Fields{"workspace": r.workspace.Name, "holder": r.holder.GetName()}).WithError(err).Info("rate not reached")
		r.holder = nil
	}
	return g.takeLocalTokens(r.workspace, r.cost, retry)
}

// takeLocalTokens takes tokens of this host's bucket.
func (g *Gateway) takeLocalTokens(w *document.Workspace, tokens float64, retry bool) *syncpb.TakeResponse {
	now := sinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.bucket(w)
	b.SetSlack(g.Bounds.RateSlack * rateSlackShare / float64(g.countRegions(now)))
	if tokens < 0 {
		b.Refund(-tokens)
		return &syncpb.TakeResponse{Ok: true}
	}
	ok, wait := b.Take(now, tokens, !retry)
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
	return g.takeLocalTokens(w, in.GetTokens(), in.GetAgain()), nil
}

// rateHolder returns the host of this region that holds its part of a workspace's
// rate, or nil for this one. With one holder a region, a large request does not fail
// because the rate is divided into small parts. g.mu is held.
func (g *Gateway) rateHolder(now time.Duration, workspace string) *peerHost {
	var holder *peerHost
	best := uint64(0)
	if !g.Draining() {
		best = rendezvous.Weight(workspace, g.Name)
	}
	for name, h := range g.hosts {
		if h.GetRegion() != g.Region || h.GetPeer() == "" || !h.GetServing() || now-h.lastHeard > hostTimeout {
			continue
		}
		if r := rendezvous.Weight(workspace, name); r > best {
			holder, best = h, r
		}
	}
	return holder
}

// allRegions returns the regions of the settings.
func (g *Gateway) allRegions() map[string]bool {
	out := map[string]bool{g.Region: true}
	for _, region := range g.RegionByDataCentre {
		out[region] = true
	}
	return out
}

// awaitsRateShare reports whether this host holds a region's part of a rate without a
// fraction, with g.mu held.
func (g *Gateway) awaitsRateShare(now time.Duration) bool {
	for name, b := range g.buckets {
		if b.HeldFraction(now) == 0 && g.rateHolder(now, name) == nil {
			return true
		}
	}
	return false
}

// countRegions returns the regions with entry hosts, at least 1, with g.mu held.
func (g *Gateway) countRegions(now time.Duration) int {
	seen := map[string]bool{g.Region: true}
	for _, h := range g.hosts {
		if now-h.lastHeard < hostRetention {
			seen[h.GetRegion()] = true
		}
	}
	return len(seen)
}

const (
	// maxRateWait bounds the wait for a part of the rate.
	maxRateWait = 100 * time.Millisecond
	// rateSlackShare of the tolerance is divided over the holders of the regions; the rest
	// covers a holder that changes.
	rateSlackShare = 0.6
	// takeTimeout bounds a call to the holder, which is in the same region.
	takeTimeout = 150 * time.Millisecond
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

// refund gives back what a request took that did not run.
func (g *Gateway) refund(r *reservation) {
	if r.holder == nil {
		g.takeLocalTokens(r.workspace, -r.cost, true)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
		defer cancel()
		if _, err := g.RateClient.Take(ctx, r.holder.GetPeer(), &syncpb.TakeRequest{Workspace: r.workspace.Name, Tokens: -r.cost, Again: true}); err != nil {
			g.Log.WithField("workspace", r.workspace.Name).WithError(err).Info("tokens not given back")
		}
	}()
}

// retryBudget returns the retryBudget of a service, with g.mu held.
func (g *Gateway) retryBudget(service string) *shares.RetryBudget {
	b := g.retryBudgets[service]
	if b == nil {
		b = shares.NewRetryBudget(g.Bounds.RetryWindow, g.Bounds.RetryRatio*retryRatioShare)
		g.retryBudgets[service] = b
	}
	return b
}

const (
	// retryRatioShare of the ratio and retrySlackPart of the slack are used; the rest
	// covers the difference between the windows of hosts and hosts not known.
	retryRatioShare = 0.8
	retrySlackShare = 0.6
)

// retrySlack is this host's part of the slack, with g.mu held.
func (g *Gateway) retrySlack(now time.Duration) float64 {
	return g.Bounds.RetrySlack * retrySlackShare / float64(max(g.totalHosts, 1+g.countPeers(now)))
}

// countPeers returns the other entry hosts that this one knows and that may be
// serving, with g.mu held.
func (g *Gateway) countPeers(now time.Duration) int {
	n := 0
	for _, h := range g.hosts {
		if now-h.lastHeard < hostRetention {
			n++
		}
	}
	return n
}

// hostRetention is how long a host that is not heard of counts as possibly serving.
const hostRetention = 30 * time.Second
