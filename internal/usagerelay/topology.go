package usagerelay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"geraniumturn.example/geraniumturn/internal/rendezvous"
)

const (
	// maxDirectPeers is the largest number of other hosts to which a host reports directly.
	maxDirectPeers = 15
	// failureTime is how long a host is not considered a relay after a call to it has
	// failed. It is longer than the time in which a host that is cut off from all relays
	// finds that out, one call after the other.
	failureTime = 8 * time.Second
	// relayKey is the key by which hosts are ranked as relays.
	relayKey = "usage relay"
)

// Host is an entry host of the region.
type Host struct {
	Name, Address string
	// Relays means that the host runs a build that can relay.
	Relays bool
}

// Plan says to whom a host sends its usage reports.
type Plan struct {
	// Direct are the addresses of hosts that get each report from this host.
	Direct []string
	// Relay is the address of the relay that this host calls; "" if it has none.
	Relay string
	// IsRelay means that this host is a relay. Spread are the addresses of the other ones
	// if this host is one or if others regard it as one.
	IsRelay bool
	Spread  []string
}

// Planner makes the plans of one host.
type Planner struct {
	Self        string
	failedUntil map[string]time.Duration // by address
}

// NewPlanner returns the planner of a host.
func NewPlanner(self string) *Planner {
	return &Planner{Self: self, failedUntil: map[string]time.Duration{}}
}

// RecordFailure records that a call to a relay has failed.
func (p *Planner) RecordFailure(now time.Duration, address string) {
	p.failedUntil[address] = now + failureTime
}

// Plan returns the plan for the other hosts of the region that may be alive. serving means
// that other hosts report to this one, whether or not it regards itself as a relay. Hosts
// that cannot relay, because they run an earlier build, get and send reports directly.
func (p *Planner) Plan(now time.Duration, others []Host, serving bool) Plan {
	for address, until := range p.failedUntil {
		if now >= until {
			delete(p.failedUntil, address)
		}
	}
	var plan Plan
	candidates := []Host{{Name: p.Self, Relays: true}}
	members := 1
	for _, h := range others {
		if !h.Relays || len(others) <= maxDirectPeers {
			plan.Direct = append(plan.Direct, h.Address)
			continue
		}
		members++
		if _, failed := p.failedUntil[h.Address]; !failed {
			candidates = append(candidates, h)
		}
	}
	if members == 1 {
		return plan
	}
	rank(relayKey, candidates)
	relays := candidates[:min(len(candidates), relayCount(members))]
	isSelf := func(h Host) bool { return h.Name == p.Self }
	plan.IsRelay = slices.ContainsFunc(relays, isSelf)
	relays = slices.DeleteFunc(slices.Clone(relays), isSelf)
	if plan.IsRelay || serving {
		for _, h := range relays {
			plan.Spread = append(plan.Spread, h.Address)
		}
	}
	if !plan.IsRelay {
		rank(p.Self, relays)
		plan.Relay = relays[0].Address
	}
	return plan
}

// relayCount returns the number of relays of a region. A relay is called by hosts / relays
// hosts and exchanges batches in both directions with the other relays, which is least if
// their number is the square root of half of the hosts.
func relayCount(hosts int) int { return int(math.Ceil(math.Sqrt(float64(hosts) / 2))) }

// rank sorts hosts by their rendezvous weight for a key, the highest first.
func rank(key string, hosts []Host) {
	weights := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		weights[h.Name] = rendezvous.Weight(key, h.Name)
	}
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(weights[b.Name], weights[a.Name]), cmp.Compare(a.Name, b.Name))
	})
}
