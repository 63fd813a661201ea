package shares

import (
	"maps"
	"slices"
	"time"

	"geraniumturn.example/geraniumturn/internal/rendezvous"
)

const (
	// hostTTL is how long a silent host is assumed to be running: a host that loses
	// contact continues with its last known state.
	hostTTL = 30 * time.Second
	// DiscoveryPeriod is the time after its start in which a host may not know all
	// others. Hosts that lost power together start within 1.5 s of each other, and a
	// report takes up to 1.4 s to reach all of them.
	DiscoveryPeriod = 3 * time.Second
)

// PeerSet tracks the hosts that share a limit with this one. Invariant: while each host
// knows every other running one, their shares of a limit add up to at most the limit.
type PeerSet struct {
	self      string
	startedAt time.Duration
	lastHeard map[string]time.Duration
}

// NewPeerSet returns the peer set of a host that started at a time.
func NewPeerSet(self string, startedAt time.Duration) *PeerSet {
	return &PeerSet{self: self, startedAt: startedAt, lastHeard: map[string]time.Duration{}}
}

// RecordHeard records when another host was last heard from.
func (p *PeerSet) RecordHeard(host string, heard time.Duration) {
	if host != p.self {
		p.lastHeard[host] = max(p.lastHeard[host], heard)
	}
}

// ActiveHosts returns the hosts that may be running, including this one, sorted. It
// returns none during the discovery period.
func (p *PeerSet) ActiveHosts(now time.Duration) []string {
	maps.DeleteFunc(p.lastHeard, func(_ string, heard time.Duration) bool { return now-heard > hostTTL })
	if now-p.startedAt < DiscoveryPeriod {
		return nil
	}
	hosts := append(slices.Collect(maps.Keys(p.lastHeard)), p.self)
	slices.Sort(hosts)
	return hosts
}

// LimitShare returns this host's share of a limit that the hosts divide evenly. The
// remainder goes to the hosts with the highest rendezvous weights for the key, one unit
// each. The share is 0 without hosts.
func (p *PeerSet) LimitShare(key string, limit int, hosts []string) int {
	if len(hosts) == 0 {
		return 0
	}
	higher, ownWeight := 0, rendezvous.Weight(key, p.self)
	for _, h := range hosts {
		if h != p.self && rendezvous.Weight(key, h) > ownWeight {
			higher++
		}
	}
	share := limit / len(hosts)
	if higher < limit%len(hosts) {
		share++
	}
	return share
}
