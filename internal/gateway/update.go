package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/doctransfer"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/registry"
	"geraniumturn.example/geraniumturn/internal/shares"
)

// maxColdLimit bounds the limit that follows from an extreme configuration.
const maxColdLimit = 1e6

// ExchangeRequest builds the request of the periodic exchange with a control host. If
// full is false, the request has no report of this host and only fetches changes. While
// this host waits for its share of a rate, every request is full, because each control
// host may be the leader, which grants the shares. A full request has the origins of
// streams after originCursor.
func (g *Gateway) ExchangeRequest(now time.Duration, full bool, originCursor uint64) *syncpb.ExchangeRequest {
	index, version := g.Views.position()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logPolledChanges(now)
	if !full && !g.awaitsRateShare(now) {
		return &syncpb.ExchangeRequest{Index: index, Version: version, OriginCursor: originCursor}
	}
	began, originCursor := g.origins.Since(now, originCursor)
	out := &syncpb.ExchangeRequest{Index: index, Version: version, WantHosts: g.wantsHosts(now), UptimeMs: (now - g.startedAt).Milliseconds(), Partitions: uint64(g.paceLease.Held(now)),
		Host: &syncpb.EntryHost{Name: g.Name, DataCentre: g.DataCentre, Region: g.Region, Front: g.Front, Forward: g.Forward, Peer: g.Peer,
			Started: g.Started, Serving: g.Ready(), Detached: g.path.Detached(), UsageRelay: true, PaceLease: true, Documents: true},
		Origins: fleetsync.EncodeOrigins(began), OriginCursor: originCursor}
	for _, name := range slices.Sorted(maps.Keys(g.buckets)) {
		b := g.buckets[name]
		if g.rateHolder(now, name) != nil {
			b.Release(now)
			out.Demands = append(out.Demands, &syncpb.Demand{Workspace: name, Released: true})
			continue
		}
		out.Demands = append(out.Demands, &syncpb.Demand{Workspace: name, PerSecond: b.Demand(now), Held: b.HeldFraction(now)})
	}
	for _, name := range g.placer.Services() {
		if g.path.Detached() {
			break // the load of targets that this host does not reach is unknown
		}
		if l, ok := g.placer.RegionLoad(now, name); ok {
			out.Host.Loads = append(out.Host.Loads, g.encodeLoad(now, name, l))
		}
	}
	return out
}

// hostsInterval is the minimum interval between requests for the list of hosts, which
// is the largest part of an exchange.
const hostsInterval = 500 * time.Millisecond

const (
	// confirmInterval is the time in contact with control hosts between confirmations of the
	// targets that they have not told to be silent.
	confirmInterval = time.Second
	// maxContactGap is the time between two responses of control hosts that counts as contact.
	maxContactGap = 500 * time.Millisecond
)

// forgetInterval is the time between removals of old departures from the table.
const forgetInterval = 10 * time.Second

// wantsHosts reports whether the list of hosts should be requested now and, if so,
// records the request. g.mu must be held.
func (g *Gateway) wantsHosts(now time.Duration) bool {
	if len(g.hosts) > 0 && now-g.hostsRequestedAt < hostsInterval {
		return false
	}
	g.hostsRequestedAt = now
	return true
}

// Apply applies the response of a control host. Calls must be serialised.
func (g *Gateway) Apply(now time.Duration, u fleetsync.Update) {
	changed, err := g.Views.apply(u)
	if err != nil {
		g.Log.WithError(err).WithField("control", u.ControlAddress).Error("configuration refused")
		return
	}
	for _, r := range u.Records {
		if g.Table.Merge(now, r) {
			g.Log.WithFields(logrus.Fields{"target": r.ID, "service": r.Service, "address": r.Address, "software": r.Software, "state": r.State.String(),
				"sequence": r.Sequence, "cold_ms": max(0, r.ColdUntil-now).Milliseconds(), "silent": r.Silent, "control": u.ControlAddress}).Info("target changed")
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.confirmTargets(now)
	if now-g.departuresForgottenAt > forgetInterval {
		g.departuresForgottenAt = now
		g.Table.ForgetDepartures(now)
	}
	g.regionLastHeard[u.Region] = now
	if changed {
		g.applyView(now, u.ControlAddress)
	}
	for _, h := range u.GetHosts() {
		g.recordHost(now, h)
	}
	if n := int(u.GetTotalHosts()); n > 0 {
		g.totalHosts = n
	}
	g.applyGrants(now, u)
	hosts := g.peerSet.ActiveHosts(now)
	if revision := g.Table.Revision(); changed || revision != g.placedRevision || !slices.Equal(hosts, g.sharingHosts) {
		g.placedRevision, g.sharingHosts = revision, hosts
		g.shareTargets(hosts)
		g.placer.SetTargets(g.targetSpecs(now))
	}
}

// confirmTargets adds the time since the last response of a control host to the time in contact.
// g.mu must be held.
func (g *Gateway) confirmTargets(now time.Duration) {
	g.contact += min(now-g.appliedAt, maxContactGap)
	g.appliedAt = now
	if g.contact >= confirmInterval {
		g.Table.Confirm(now, g.contact)
		g.contact = 0
	}
}

// applyView applies the rate limits and ended evacuations of a new view. g.mu must be held.
func (g *Gateway) applyView(now time.Duration, control string) {
	v := g.Views.Current()
	if v.Config != nil {
		seen := map[string]bool{}
		for i := range v.Config.Workspaces {
			w := &v.Config.Workspaces[i]
			seen[w.Name] = true
			g.bucket(w).SetLimits(now, w.Rate, w.Burst)
		}
		for name := range g.buckets {
			if !seen[name] {
				delete(g.buckets, name)
			}
		}
	}
	for dc, index := range v.Restored {
		if g.endedEvacuations[dc].index != index {
			g.endedEvacuations[dc] = endedEvacuation{index, now}
		}
	}
	version := uint64(0)
	if v.Config != nil {
		version = v.Config.Version
	}
	g.Log.WithFields(logrus.Fields{"version": version, "index": v.Index, "evacuated": slices.Sorted(maps.Keys(v.Evacuated)), "control": control}).Info("configuration in force")
}

// DocumentPeers returns the entry hosts from which this host may fetch a configuration.
func (g *Gateway) DocumentPeers(now time.Duration) []doctransfer.Candidate {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []doctransfer.Candidate
	for _, h := range g.hosts {
		if h.GetDocuments() && h.GetPeer() != "" && now-h.lastHeard <= hostTimeout {
			out = append(out, doctransfer.Candidate{Address: h.GetPeer(), DataCentre: h.GetDataCentre(), Region: h.GetRegion()})
		}
	}
	return out
}

func (g *Gateway) recordHost(now time.Duration, h *syncpb.EntryHost) {
	if h.GetName() == g.Name {
		return
	}
	heard := now - time.Duration(h.GetHeardMs())*time.Millisecond
	if h.GetRegion() == g.Region {
		g.peerSet.RecordHeard(h.GetName(), heard)
	}
	for _, l := range h.GetLoads() {
		g.remoteRegion(h.GetRegion()).UpdateLoad(l.GetService(), placement.Load{TTFB: clock.Millis(float64(l.GetWaitMs())),
			TimePerToken: time.Duration(l.GetTokenUs()) * time.Microsecond, Short: clock.Millis(float64(l.GetShortWaitMs())), Long: clock.Millis(float64(l.GetLongWaitMs())), MeasuredAt: heard})
		if h.GetRegion() != g.Region && tellsRoom(l) {
			g.offers.Tell(h.GetRegion(), l.GetService(), heard, float64(l.GetRoom()), float64(l.GetPressure()))
		}
	}
	old := g.hosts[h.GetName()]
	switch {
	case old == nil:
		old = &peerHost{EntryHost: h, lastHeard: heard}
		g.hosts[h.GetName()] = old
	case heard > old.lastHeard:
		old.EntryHost, old.lastHeard = h, heard
	}
	g.recordDetached(old, heard, h.GetDetached())
}

func (g *Gateway) applyGrants(now time.Duration, u fleetsync.Update) {
	asOf := u.SentAt - time.Duration(u.GetGrantsAgeMs())*time.Millisecond
	if u.GetGranted() {
		held := g.paceLease.Held(now)
		g.paceLease.Grant(shares.PartitionSet(u.GetPartitions()), asOf)
		g.placer.ForgetPermits(g.paceLease.Held(now) &^ held)
	}
	for _, grant := range u.GetGrants() {
		if b := g.buckets[grant.GetWorkspace()]; b != nil && g.rateHolder(now, grant.GetWorkspace()) == nil {
			if grant.GetUnspent() {
				b.SetFirstFraction(now, grant.GetFraction(), asOf+shares.LeaseDuration)
				continue
			}
			b.SetFraction(now, grant.GetFraction(), asOf+shares.LeaseDuration)
		}
	}
}

// targetSpecs returns the specifications of the targets that may get requests: they are
// ready and not in an evacuated data centre. g.mu must be held.
func (g *Gateway) targetSpecs(now time.Duration) []placement.Spec {
	v := g.Views.Current()
	if v == nil || v.Config == nil {
		return nil
	}
	var out []placement.Spec
	for _, r := range g.Table.InUse(v.hasService) {
		if r.State != registry.Ready {
			continue
		}
		if _, evacuated := v.Evacuated[r.DataCentre]; evacuated {
			continue
		}
		spec := g.targetSpec(r, v.Config.Service(r.Service))
		spec.Region = g.RegionByDataCentre[r.DataCentre]
		spec.Remote = spec.Region != g.Region
		out = append(out, spec)
	}
	return out
}

func (g *Gateway) targetSpec(r registry.Record, s *document.Service) placement.Spec {
	spec := placement.Spec{ID: r.ID, Address: r.Address, Service: r.Service, DataCentre: r.DataCentre, Software: r.Software, StartMillis: r.StartMillis, Slots: r.Slots,
		ColdUntil: r.ColdUntil, Suspect: r.Silent}
	if s.Engine != nil {
		spec.CacheTokens = s.Engine.CacheTokens
	}
	if s.ColdRate > 0 {
		// The bound is reduced by one for the request of a host that stands still, for
		// longer than its lease, after it was allowed to write it.
		spec.Paced, spec.Warmup = true, s.Warmup
		spec.ColdLimit = int(min(maxColdLimit, max(1, s.ColdRate*g.Bounds.ColdOverrun+g.Bounds.ColdSlack-1)))
		if at := g.endedEvacuations[r.DataCentre].at; at > 0 && s.Warmup > 0 {
			// Heartbeats that say so may not have arrived yet.
			spec.ColdUntil = max(spec.ColdUntil, at+s.Warmup)
		}
	}
	return spec
}
