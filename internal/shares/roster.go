package shares

import (
	"maps"
	"slices"
	"time"

	"geraniumturn.example/geraniumturn/internal/rendezvous"
)

const (
	// rosterMemory is how long a host that is not heard of counts as possibly at
	// work: one that lost its contact goes on with what it knows.
	rosterMemory = 30 * time.Second
	// rosterSettle is how long a host that has just started may not know all others.
	// Hosts that lost power together start within 1.5 s of each other, and a report
	// takes up to 1.4 s to the last of them.
	rosterSettle = 3 * time.Second
)

// Roster is what a host knows of the hosts that share a limit with it. Invariant:
// while each host knows every other one that runs, the parts of a limit add up to at
// most the limit.
type PeerSet struct {
	self  string
	begun time.Duration
	heard map[string]time.Duration
}

// NewRoster returns the roster of a host that started at a time.
func NewPeerSet(self string, begun time.Duration) *PeerSet {
	return &PeerSet{self: self, begun: begun, heard: map[string]time.Duration{}}
}

// Note records when another host was last heard of.
func (r *PeerSet) RecordHeard(host string, heard time.Duration) {
	if host != r.self {
		r.heard[host] = max(r.heard[host], heard)
	}
}

// Hosts returns the hosts that may be at work, in order, with this one. It returns
// none while there may be others that this host has not heard of.
func (r *PeerSet) ActiveHosts(now time.Duration) []string {
	maps.DeleteFunc(r.heard, func(_ string, heard time.Duration) bool { return now-heard > rosterMemory })
	if now-r.begun < rosterSettle {
		return nil
	}
	out := append(slices.Collect(maps.Keys(r.heard)), r.self)
	slices.Sort(out)
	return out
}

// Part is this host's part of a limit that the hosts share. When there are more
// hosts than the limit has units, the first ones of an order that differs for each
// key have one each. It is 0 for the others, and without hosts.
func (r *PeerSet) LimitShare(key string, limit int, hosts []string) int {
	if len(hosts) == 0 {
		return 0
	}
	ahead, own := 0, rendezvous.Weight(key, r.self)
	for _, h := range hosts {
		if h != r.self && rendezvous.Weight(key, h) > own {
			ahead++
		}
	}
	part := limit / len(hosts)
	if ahead < limit%len(hosts) {
		part++
	}
	return part
}
