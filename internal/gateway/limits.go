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

// requestCost returns the tokens that a request takes from its workspace's rate.
func requestCost(w *document.Workspace, c Call) float64 {
	switch {
	case w.PerRequest:
		return 1
	case c.TokensKnown:
		return float64(c.PromptTokens + c.MaxOutputTokens)
	}
	return float64(w.DefaultTokens)
}

// RateClient takes tokens from the token buckets of other hosts.
type RateClient interface {
	Take(ctx context.Context, peer string, in *syncpb.TakeRequest) (*syncpb.TakeResponse, error)
}

// reserve takes the cost of a request from its workspace's rate or refuses the request.
// If enough tokens are available soon, it waits for them, because a refusal costs the
// caller more time.
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
		wait, maxWait := time.Duration(out.GetWaitMs())*time.Millisecond, maxRateWait
		if r.holder == nil && !r.holderSilent && out.GetHeld() == 0 && sinceBoot()-g.startedAt < firstGrantPeriod {
			wait, maxWait = firstGrantPoll, maxFirstGrantWait
		}
		if sinceBoot()-x.started+wait > maxWait || !clock.Sleep(ctx, wait) {
			return refusal.New(refusal.RateLimited, refusal.NotRun, "workspace %s exceeds its rate: request costs %.0f tokens, fraction of the rate held by %s is %.2f",
				w.Name, r.cost, r.holderName(), out.GetHeld()).WithRetry(max(minRetryAfter, wait))
		}
	}
}

// reservation is the tokens that a request took from its workspace's rate.
type reservation struct {
	workspace *document.Workspace
	cost      float64
	// holder is the host that the tokens were taken from; nil for this host.
	holder *peerHost
	// holderSilent means that the holder is another host, which did not respond.
	holderSilent bool
}

func (r *reservation) holderName() string {
	if r.holder == nil {
		return "this host"
	}
	return r.holder.GetName()
}

// takeTokens takes the tokens from the host that holds the region's share of the rate.
// If that host does not respond, it takes them from this host's bucket, which holds only
// its share of the rate slack because it has no fraction of the rate.
func (g *Gateway) takeTokens(ctx context.Context, r *reservation, retry bool) *syncpb.TakeResponse {
	g.mu.Lock()
	r.holder, r.holderSilent = g.rateHolder(sinceBoot(), r.workspace.Name), false
	g.mu.Unlock()
	if r.holder != nil {
		ctx, cancel := context.WithTimeout(ctx, takeTimeout)
		defer cancel()
		out, err := g.RateClient.Take(ctx, r.holder.GetPeer(), &syncpb.TakeRequest{Workspace: r.workspace.Name, Tokens: r.cost, Again: retry})
		if err == nil {
			return out
		}
		g.Log.WithFields(logrus.Fields{"workspace": r.workspace.Name, "holder": r.holder.GetName()}).WithError(err).Info("rate not reached")
		r.holder, r.holderSilent = nil, true
	}
	return g.takeLocalTokens(r.workspace, r.cost, retry)
}

// takeLocalTokens takes tokens from this host's bucket, or refunds them if tokens is
// negative.
func (g *Gateway) takeLocalTokens(w *document.Workspace, tokens float64, retry bool) *syncpb.TakeResponse {
	now := sinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.bucket(w)
	b.SetSlack(g.rateSlack(now, w.Name))
	if tokens < 0 {
		b.Refund(-tokens)
		return &syncpb.TakeResponse{Ok: true}
	}
	ok, wait := b.Take(now, tokens, !retry)
	return &syncpb.TakeResponse{Ok: ok, WaitMs: int64(wait/time.Millisecond) + 1, Held: b.HeldFraction(now)}
}

// rateSlack returns this host's share of the tolerance of a rate. The hosts of a region that
// do not hold its share of the rate divide a part of their own: all of them may use it at
// once while the holder does not respond. g.mu must be held.
func (g *Gateway) rateSlack(now time.Duration, workspace string) float64 {
	ofRegion := g.Bounds.RateSlack / float64(g.countRegions(now))
	if g.rateHolder(now, workspace) == nil {
		return ofRegion * holderSlackShare
	}
	others := 0
	for _, h := range g.hosts {
		if h.GetRegion() == g.Region && now-h.lastHeard < hostRetention {
			others++
		}
	}
	return ofRegion * otherSlackShare / float64(max(1, others))
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

// rateHolder returns the host that holds this region's share of a workspace's rate, or
// nil if it is this host. One holder per region ensures that a large request does not
// fail because the rate is split into small shares. g.mu must be held.
func (g *Gateway) rateHolder(now time.Duration, workspace string) *peerHost {
	var holder *peerHost
	maxWeight := uint64(0)
	if !g.Draining() {
		maxWeight = rendezvous.Weight(workspace, g.Name)
	}
	for name, h := range g.hosts {
		if h.GetRegion() != g.Region || h.GetPeer() == "" || !h.GetServing() || now-h.lastHeard > hostTimeout {
			continue
		}
		if weight := rendezvous.Weight(workspace, name); weight > maxWeight {
			holder, maxWeight = h, weight
		}
	}
	return holder
}

// allRegions returns the set of regions in the settings.
func (g *Gateway) allRegions() map[string]bool {
	out := map[string]bool{g.Region: true}
	for _, region := range g.RegionByDataCentre {
		out[region] = true
	}
	return out
}

// awaitsRateShare reports whether this host is the holder of a rate of which it has not
// been granted a fraction yet. g.mu must be held.
func (g *Gateway) awaitsRateShare(now time.Duration) bool {
	for name, b := range g.buckets {
		if b.HeldFraction(now) == 0 && g.rateHolder(now, name) == nil {
			return true
		}
	}
	return false
}

// countRegions returns the number of regions with entry hosts, at least 1. g.mu must be
// held.
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
	// maxRateWait bounds the time that a request waits for tokens.
	maxRateWait = 100 * time.Millisecond
	// A host that has just started gets its first fractions of rates within a few exchanges
	// with control hosts. Until firstGrantPeriod after its start requests wait for that for up
	// to maxFirstGrantWait, and look every firstGrantPoll.
	firstGrantPeriod  = 2 * time.Second
	maxFirstGrantWait = 400 * time.Millisecond
	firstGrantPoll    = 20 * time.Millisecond
	// holderSlackShare is the part of a region's share of Bounds.RateSlack that the holder of
	// a rate may use, and otherSlackShare the part that the other hosts of the region divide.
	// The remainder covers a change of the holder.
	holderSlackShare = 0.6
	otherSlackShare  = 0.2
	// takeTimeout bounds an RPC to the holder, which is in the same region.
	takeTimeout = 150 * time.Millisecond
)

// bucket returns the token bucket of a workspace and creates it if it is missing. g.mu
// must be held.
func (g *Gateway) bucket(w *document.Workspace) *shares.Bucket {
	b := g.buckets[w.Name]
	if b == nil {
		b = &shares.Bucket{}
		g.buckets[w.Name] = b
		b.SetLimits(sinceBoot(), w.Rate, w.Burst)
	}
	return b
}

// refund returns the tokens of a request that did not run.
func (g *Gateway) refund(r *reservation) {
	if r.holder == nil {
		g.takeLocalTokens(r.workspace, -r.cost, true)
		return
	}
	go g.guarded("refund", func() {
		ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
		defer cancel()
		if _, err := g.RateClient.Take(ctx, r.holder.GetPeer(), &syncpb.TakeRequest{Workspace: r.workspace.Name, Tokens: -r.cost, Again: true}); err != nil {
			g.Log.WithField("workspace", r.workspace.Name).WithError(err).Info("tokens not given back")
		}
	})
}

// retryBudget returns the retry budget of a service and creates it if it is missing.
// g.mu must be held.
func (g *Gateway) retryBudget(service string) *shares.RetryBudget {
	b := g.retryBudgets[service]
	if b == nil {
		b = shares.NewRetryBudget(g.startedAt, g.Bounds.RetryWindow, g.Bounds.RetryRatio, g.Bounds.RetrySlack)
		g.retryBudgets[service] = b
	}
	return b
}

// countHosts returns the number of entry hosts that may be serving, including this one,
// or 0 if it is unknown. g.mu must be held.
func (g *Gateway) countHosts(now time.Duration) int {
	if g.totalHosts == 0 {
		return 0
	}
	return max(g.totalHosts, 1+g.countPeers(now))
}

// countPeers returns the number of other known entry hosts that may be serving. g.mu
// must be held.
func (g *Gateway) countPeers(now time.Duration) int {
	n := 0
	for _, h := range g.hosts {
		if now-h.lastHeard < hostRetention {
			n++
		}
	}
	return n
}

// hostRetention is how long after the last report of a host it may still be serving.
const hostRetention = 30 * time.Second
