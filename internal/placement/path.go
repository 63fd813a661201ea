package placement

import (
	"slices"
	"time"
)

// peerRTT is the assumed round-trip time to another host of this region.
const peerRTT = 4 * time.Millisecond

// LocalAddresses returns the addresses of the targets in this region, sorted, those with
// recent heartbeats first.
func (p *Placer) LocalAddresses() []string {
	var heard, silent []string
	for _, list := range p.byService {
		for _, t := range list {
			if t.Suspect {
				silent = append(silent, t.Address)
			} else {
				heard = append(heard, t.Address)
			}
		}
	}
	slices.Sort(heard)
	slices.Sort(silent)
	return append(heard, silent...)
}

// unreachable reports whether the target is ejected because this host opened no
// connection to it. Other hosts may reach it.
func (t *Target) unreachable(now time.Duration) bool { return t.connectFailed && now < t.ejectedUntil }

// ResetConnectFailures ends the ejections of targets to which no connection was opened.
// The host calls it when it has regained the path to its targets.
func (p *Placer) ResetConnectFailures() {
	for _, t := range p.targets {
		if t.connectFailed {
			t.connectFailed, t.ejection, t.ejectedUntil = false, 0, 0
		}
	}
}

// EstimatePeer returns the choice that another host of this region is expected to make
// for the request, and false if there is no target. Whether this host reaches the target
// does not matter.
func (p *Placer) EstimatePeer(now time.Duration, r *Request) (Choice, bool) {
	c, ok := p.Choose(now, r, nil)
	c.TTFB, c.Total, c.IdleTTFB = c.TTFB+peerRTT, c.Total+peerRTT, c.IdleTTFB+peerRTT
	return c, ok
}

// DetachedLimits returns the limit on the TTFB at other hosts for a request of a host
// without a path to its targets, and the expected TTFB up to which it is sent there. Its
// callers compete with those of the other hosts on equal terms: the limit includes the way,
// and the other host decides, because its estimate is better than one from here.
func DetachedLimits(limit, objective time.Duration) (hostLimit, accepted time.Duration) {
	hostLimit = limit + regionRTT
	return hostLimit, hostLimit + scale(queueFraction, objective)
}
