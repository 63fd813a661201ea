package gateway

import (
	"context"
	"errors"
	"time"

	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/rendezvous"
	"geraniumturn.example/geraniumturn/internal/usagerelay"
)

// CrossRegionPeers returns the addresses of one host in each other region, which relays
// the reports of this host there.
func (g *Gateway) CrossRegionPeers() []string {
	now := sinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	best := map[string]*peerHost{} // by region
	for _, h := range g.hosts {
		if h.GetPeer() == "" || now-h.lastHeard > hostTimeout || h.GetRegion() == g.Region {
			continue
		}
		if old := best[h.GetRegion()]; old == nil || rendezvous.Weight(g.Name, h.GetName()) > rendezvous.Weight(g.Name, old.GetName()) {
			best[h.GetRegion()] = h
		}
	}
	var out []string
	for _, h := range best {
		out = append(out, h.GetPeer())
	}
	return out
}

// UsagePlan returns to which hosts of this region, which send to the same targets, the
// usage reports of this host go.
func (g *Gateway) UsagePlan() usagerelay.Plan {
	now := sinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	var others []usagerelay.Host
	for _, h := range g.hosts {
		if h.GetPeer() != "" && h.GetRegion() == g.Region && now-h.lastHeard <= hostTimeout {
			others = append(others, usagerelay.Host{Name: h.GetName(), Address: h.GetPeer(), Relays: h.GetUsageRelay()})
		}
	}
	g.usagePlan = g.usagePlanner.Plan(now, others, g.usageHub.Serving(now, g.Name))
	return g.usagePlan
}

// UsageFailed records that a relay did not take a report.
func (g *Gateway) UsageFailed(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usagePlanner.RecordFailure(sinceBoot(), address)
}

// RegionReport returns this host's requests in flight at each target, and the prompts that
// it sent to targets since the last such report.
func (g *Gateway) RegionReport() *syncpb.UsageReport { return g.UsageReport(placement.SameRegion) }

// CrossRegionReport returns what other regions should know of this host.
func (g *Gateway) CrossRegionReport() *syncpb.UsageReport {
	return g.UsageReport(placement.OtherRegions)
}

// UsageReport returns the report of this host for the hosts of a scope.
func (g *Gateway) UsageReport(scope placement.Scope) *syncpb.UsageReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := &syncpb.UsageReport{Host: g.Name, Relay: scope == placement.OtherRegions, Detached: g.path.Detached()}
	g.addSuspects(sinceBoot(), out)
	if scope == placement.SameRegion {
		g.addAvailability(sinceBoot(), out)
		g.addLimits(sinceBoot(), out)
		out.Shortages = encodeShortages(g.shortages.Report(sinceBoot()))
		for id, u := range g.placer.OwnUsage() {
			arriving, pace := g.placer.EngineUsage(sinceBoot(), id)
			out.Targets = append(out.Targets, &syncpb.TargetUsage{Target: id, Running: int32(u.Running), Memory: u.MemoryTokens, Unread: int64(u.PrefillTokens),
				Arriving: int64(arriving), PacePercent: uint32(100 * pace)})
		}
		g.addEngineReports(sinceBoot(), out)
	}
	prompts := g.placer.TakePlacedPrompts(scope)
	if scope == placement.OtherRegions && g.usagePlan.Relay != "" {
		prompts = nil // the relay reports them
	}
	for _, p := range prompts {
		out.Prompts = append(out.Prompts, &syncpb.PlacedPrompt{Target: p.Target, Keys: p.Keys, Tokens: p.Tokens, CrossRegion: p.CrossRegion})
	}
	return out
}

// Share implements the drpc service. It applies the usage report of another host.
func (g *Gateway) Share(_ context.Context, in *syncpb.UsageReport) (*syncpb.Empty, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := sinceBoot()
	g.applyUsage(now, in)
	for _, p := range in.GetPrompts() {
		placed := g.recordPrompt(now, p)
		if in.GetRelay() {
			g.placer.RelayPlacedPrompt(placement.SameRegion, placed)
		}
	}
	return &syncpb.Empty{}, nil
}

// Collect implements the drpc service for the hosts of the region to which this host is a
// relay.
func (g *Gateway) Collect(_ context.Context, in *syncpb.CollectRequest) (*syncpb.UsageBatch, error) {
	report := in.GetReport()
	host := report.GetHost()
	if host == "" {
		return nil, errors.New("gateway: usage report without a host")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := sinceBoot()
	g.applyUsage(now, report)
	for _, p := range report.GetPrompts() {
		if placed := g.recordPrompt(now, p); p.GetCrossRegion() {
			g.placer.RelayPlacedPrompt(placement.OtherRegions, placed)
		}
	}
	g.usageHub.Record(now, now, report, true)
	return g.usageHub.For(now, host, in.GetRelay(), in.GetAfter()), nil
}

// Spread implements the drpc service for the other relays of the region.
func (g *Gateway) Spread(_ context.Context, in *syncpb.UsageBatch) (*syncpb.Empty, error) {
	g.ApplyUsage(in)
	return &syncpb.Empty{}, nil
}

// RecordOwnUsage records this host's own report as one of those that it relays.
func (g *Gateway) RecordOwnUsage(report *syncpb.UsageReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := sinceBoot()
	g.usageHub.Record(now, now, report, true)
}

// CollectedUsage returns what this host has collected as a relay after a position.
func (g *Gateway) CollectedUsage(after uint64) *syncpb.UsageBatch {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usageHub.Collected(sinceBoot(), after)
}

// ApplyUsage applies the reports of other hosts that a relay has passed on.
func (g *Gateway) ApplyUsage(in *syncpb.UsageBatch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := sinceBoot()
	reports, prompts, err := usagerelay.Decode(now, in)
	if err != nil {
		g.Log.WithError(err).Warn("invalid usage reports")
	}
	for _, r := range reports {
		if r.GetHost() == g.Name || r.GetHost() == "" {
			continue // the own one comes over a relay that this host has called before
		}
		g.applyUsage(r.At, r.UsageReport)
		g.usageHub.Record(now, r.At, r.UsageReport, false)
	}
	for _, p := range prompts {
		g.recordPrompt(now, p)
	}
	g.usageHub.RecordPrompts(now, prompts)
}

// applyUsage applies the usage report that another host made at a time, unless a newer one
// was applied. g.mu must be held.
func (g *Gateway) applyUsage(at time.Duration, in *syncpb.UsageReport) {
	if at < g.usageAt[in.GetHost()] {
		return
	}
	g.usageAt[in.GetHost()] = at
	usage := make(map[string]placement.Usage, len(in.GetTargets()))
	for _, t := range in.GetTargets() {
		usage[t.GetTarget()] = placement.Usage{Running: int(t.GetRunning()), MemoryTokens: t.GetMemory(), PrefillTokens: float64(t.GetUnread()),
			Arriving: float64(t.GetArriving()), Pace: float64(t.GetPacePercent()) / 100}
	}
	g.placer.SetHostUsage(at, in.GetHost(), usage)
	g.mergeEngines(at, in)
	g.mergeSuspects(at, in)
	g.mergeAvailability(at, in)
	g.mergeLimits(at, in)
	g.shortages.Merge(in.GetHost(), at, decodeShortages(in.GetShortages()))
	if h := g.hosts[in.GetHost()]; h != nil {
		g.recordDetached(h, at, in.GetDetached())
	}
}

// recordPrompt records a prompt that another host sent to a target. g.mu must be held.
func (g *Gateway) recordPrompt(now time.Duration, p *syncpb.PlacedPrompt) placement.PlacedPrompt {
	placed := placement.PlacedPrompt{Target: p.GetTarget(), Keys: p.GetKeys(), Tokens: p.GetTokens()}
	g.placer.RecordPlacedPrompt(now, placed)
	return placed
}
