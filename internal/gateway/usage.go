package gateway

import (
	"context"

	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/rendezvous"
)

// UsagePeers returns the addresses to send usage reports to: the other entry hosts of
// this region, which send to the same targets, or one host in each other region.
func (g *Gateway) UsagePeers(scope placement.Scope) []string {
	now := sinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	remoteHosts := map[string]*peerHost{} // by region
	for _, h := range g.hosts {
		if h.GetPeer() == "" || now-h.lastHeard > hostTimeout {
			continue
		}
		if h.GetRegion() == g.Region {
			if scope == placement.SameRegion {
				out = append(out, h.GetPeer())
			}
			continue
		}
		best := remoteHosts[h.GetRegion()]
		if scope == placement.OtherRegions && (best == nil || rendezvous.Weight(g.Name, h.GetName()) > rendezvous.Weight(g.Name, best.GetName())) {
			remoteHosts[h.GetRegion()] = h
		}
	}
	for _, h := range remoteHosts {
		out = append(out, h.GetPeer())
	}
	return out
}

// UsageReport returns the prompts that this host sent to targets since the last report
// and, for hosts of the same region, its requests in flight at each target.
func (g *Gateway) UsageReport(scope placement.Scope) *syncpb.UsageReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := &syncpb.UsageReport{Host: g.Name, Relay: scope == placement.OtherRegions, Detached: g.path.Detached()}
	g.addSuspects(sinceBoot(), out)
	if scope == placement.SameRegion {
		g.addAvailability(sinceBoot(), out)
		for id, u := range g.placer.OwnUsage() {
			out.Targets = append(out.Targets, &syncpb.TargetUsage{Target: id, Running: int32(u.Running), Memory: u.MemoryTokens, Unread: int64(u.PrefillTokens)})
		}
	}
	for _, p := range g.placer.TakePlacedPrompts(scope) {
		out.Prompts = append(out.Prompts, &syncpb.PlacedPrompt{Target: p.Target, Keys: p.Keys, Tokens: p.Tokens})
	}
	return out
}

// Share implements the drpc service. It applies the usage report of another host.
func (g *Gateway) Share(_ context.Context, in *syncpb.UsageReport) (*syncpb.Empty, error) {
	usage := make(map[string]placement.Usage, len(in.GetTargets()))
	for _, t := range in.GetTargets() {
		usage[t.GetTarget()] = placement.Usage{Running: int(t.GetRunning()), MemoryTokens: t.GetMemory(), PrefillTokens: float64(t.GetUnread())}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := sinceBoot()
	g.placer.SetHostUsage(now, in.GetHost(), usage)
	g.mergeSuspects(now, in)
	g.mergeAvailability(now, in)
	if h := g.hosts[in.GetHost()]; h != nil {
		g.recordDetached(h, now, in.GetDetached())
	}
	for _, p := range in.GetPrompts() {
		placed := placement.PlacedPrompt{Target: p.GetTarget(), Keys: p.GetKeys(), Tokens: p.GetTokens()}
		g.placer.RecordPlacedPrompt(now, placed)
		if in.GetRelay() {
			g.placer.RelayPlacedPrompt(placed)
		}
	}
	return &syncpb.Empty{}, nil
}
