package gateway

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/recovery"
	"geraniumturn.example/geraniumturn/internal/rendezvous"
)

// headerDetached marks the refusal of a forwarded request by a host that reaches no target
// of its region.
const headerDetached = "Geraniumturn-Detached"

// recordPath records what a connection shows about the path to the targets of this region.
func (g *Gateway) recordPath(address string, openedAt time.Time, err error) {
	now := sinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		if outage, ended := g.path.Reached(now, now-time.Since(openedAt)); ended {
			g.placer.ResetConnectFailures()
			g.Log.WithFields(logrus.Fields{"address": address, "outage_ms": outage.Milliseconds()}).Info("path to targets regained")
		}
		return
	}
	targets := g.placer.LocalAddresses()
	if g.path.Failed(now, address, targets) {
		g.requestMetrics.detached.Inc(1)
		g.Log.WithFields(logrus.Fields{"address": address, "targets": len(targets)}).WithError(err).Warn("path to targets lost")
	}
	if g.path.Active() && !g.probing {
		g.probing = true
		go func() {
			if !g.guarded("probes", g.probeTargets) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.probing = false // the next failure starts them again
			}
		}()
	}
}

// probeTargets connects to targets until the latest failure is explained or, if this host
// has lost the path to all of them, until one of them is reached.
func (g *Gateway) probeTargets() {
	for g.ctx.Err() == nil {
		addresses, active := g.nextProbes()
		if !active {
			return
		}
		for _, a := range addresses {
			go g.probe(a)
		}
		clock.Sleep(g.ctx, g.path.ProbeInterval())
	}
}

// nextProbes returns the targets to connect to now, or that no more probes are needed.
func (g *Gateway) nextProbes() (addresses []string, active bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	addresses = g.path.Probes(sinceBoot(), g.placer.LocalAddresses())
	g.probing = g.path.Active()
	return addresses, g.probing
}

// Detached reports whether this host reaches no target of its region. It still serves its
// callers through other hosts.
func (g *Gateway) Detached() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.path.Detached()
}

// detachment is what another host last said about its path to the targets of its region.
type detachment struct {
	detached bool
	at       time.Duration
}

// recordDetached records what another host said at a time. Usage reports, responses and
// the list of hosts arrive in any order. g.mu must be held.
func (g *Gateway) recordDetached(h *peerHost, at time.Duration, detached bool) {
	if at < h.detachment.at {
		return
	}
	if detached != h.detachment.detached {
		g.Log.WithFields(logrus.Fields{"host": h.GetName(), "detached": detached}).Info("path of another host changed")
	}
	h.detachment = detachment{detached, at}
}

// peerOverloadCost is added to the cost of a request at the hosts of this region if they
// have their share already, as a fraction of the credit of the request.
const peerOverloadCost = 0.6

// estimatePeer returns the estimate of a request at another host of this region, or nil if
// the request may not be sent there. g.mu must be held.
func (g *Gateway) estimatePeer(now time.Duration, x *requestState) *remoteEstimate {
	c, ok := g.placer.EstimatePeer(now, &x.placementRequest)
	if !ok {
		return nil
	}
	e := &remoteEstimate{c.Estimate, c.Cost}
	if g.path.Detached() && !g.peersHaveRoom(now, x.call.ID) {
		e.cost += peerOverloadCost
	}
	return e
}

// peersHaveRoom reports whether a request of this detached host is one of those that the
// attached hosts of the region should take: as many requests as come to them directly.
// Estimates know the load of targets, but not that of the processors and links of hosts.
// g.mu must be held.
func (g *Gateway) peersHaveRoom(now time.Duration, id string) bool {
	attached, detached := 0, 1
	for _, h := range g.hosts {
		switch {
		case h.GetRegion() != g.Region || now-h.lastHeard > hostTimeout:
		case h.detachment.detached:
			detached++
		default:
			attached++
		}
	}
	return int(rendezvous.Weight(id, g.Region)%uint64(detached)) < attached
}

// controlConnections bounds the other targets to which a connection is tried before a
// refused connection counts as the crash of a target.
const controlConnections = 8

// targetsAnswer reports whether another target than the one at an address accepts a
// connection. If none does, this host may have lost its path, and a refused connection does
// not prove that the target has crashed.
func (g *Gateway) targetsAnswer(address string) bool {
	g.mu.Lock()
	checked := map[string]bool{address: true}
	for _, check := range g.crashChecks {
		checked[check.address] = true
	}
	var others, suspected []string // suspected targets may have crashed too
	for _, a := range g.placer.LocalAddresses() {
		switch {
		case !checked[a]:
			others = append(others, a)
		case a != address:
			suspected = append(suspected, a)
		}
	}
	g.mu.Unlock()
	others = append(others, suspected...)
	others = others[:min(len(others), controlConnections)]
	outcomes := make(chan error, len(others))
	for _, a := range others {
		go func() { outcomes <- recovery.Do(func() error { return g.localPool.Connect(g.ctx, a) }) }()
	}
	for range others {
		if <-outcomes == nil {
			return true
		}
	}
	return len(others) == 0
}

// remoteLimits returns the limit on the TTFB that another host applies to a request, and the
// expected TTFB up to which the request is sent there. g.mu must be held.
func (g *Gateway) remoteLimits(now time.Duration, region string, limit, objective time.Duration) (hostLimit, accepted time.Duration) {
	if !g.path.Detached() {
		return limit, limit
	}
	hostLimit, accepted = placement.DetachedLimits(limit, objective)
	if !g.remoteRegion(region).SentWithin(now, askInterval) {
		accepted = math.MaxInt64
	}
	return hostLimit, accepted
}

// askInterval is how often a detached host sends a request to a full region all the same.
// The last report of the region may be outdated, and each response brings a new one.
const askInterval = 20 * time.Millisecond

// recordDetachedHost records the refusal of another host that reaches no target. If it is
// in this region, another one may still serve the request.
func (g *Gateway) recordDetachedHost(x *requestState, s *sendAttempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(x.triedRegions, s.region)
	if h := g.hosts[s.target]; h != nil {
		g.recordDetached(h, sinceBoot(), true)
	}
}

// recordUnreachablePeer excludes a host of this region, to which no connection was opened,
// from further attempts of the request. Other hosts of the region may still serve it. In
// another region they are not tried, because the way there has probably failed.
func (g *Gateway) recordUnreachablePeer(x *requestState, s *sendAttempt) {
	if s.region != g.Region {
		return
	}
	if x.unreachablePeers == nil {
		x.unreachablePeers = map[string]bool{}
	}
	x.unreachablePeers[s.target] = true
}
