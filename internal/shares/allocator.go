package shares

import (
	"time"
)

const (
	// LeaseTime is how long a host may use a fraction after it reported its
	// demand. Without contact for this long its keys are not valid either.
	LeaseDuration = 5 * time.Second
	// leaseMargin covers the drift of two clocks over a lease.
	leaseMargin = 200 * time.Millisecond
	// settleTime is how long a new allocator only renews what hosts report; every
	// host in contact has reported by then.
	settleTime = 600 * time.Millisecond
	// freshProcess is the age up to which the process of a host counts as started
	// together with this allocator.
	freshProcess = 8 * time.Second
	// unknownPart stays reserved for hosts that may still hold a fraction of an
	// earlier allocator, until their leases have ended. It is above the part of
	// one region of three.
	unknownPart = 0.35
	// startTime is how long after a start of the whole system the holders of all
	// regions are expected to report for the first time.
	startTime = 2 * time.Second
	// evenPart of a rate is divided evenly, so that a host without demand can
	// serve the first requests of a workspace.
	evenPart = 0.25
)

// Demand is what callers ask of a host for one workspace.
type Demand struct {
	Workspace string
	// PerSecond is in the unit of the workspace's rate.
	PerSecond float64
	// Held is the fraction that the host may use now.
	HeldFraction float64
	// Released means that the host holds nothing and asks for nothing more.
	Released bool
}

// Grant is the fraction of a workspace's rate and burst that a host may use.
type Grant struct {
	Workspace string
	Fraction  float64
}

type holding struct {
	demand float64
	// reserved is the largest fraction that the host may still use.
	reserved float64
	granted  float64
	heard    time.Duration
}

// Allocator divides rates over hosts. Invariant: for each workspace the reserved
// fractions of all hosts add up to at most 1.
type Allocator struct {
	since time.Duration
	// regions is the number of regions, each of which has one holder.
	regions int
	// settled is set once a host has reported that does not come from a start of
	// the whole system.
	settled bool
	hosts   map[string]map[string]*holding // by workspace and host
}

// NewAllocator starts with nothing granted. For one lease it
// keeps a part back, because hosts that it has not heard of may hold a fraction
// of an earlier allocator.
func NewAllocator(now time.Duration, regions int) *Allocator {
	return &Allocator{since: now, regions: regions, hosts: map[string]map[string]*holding{}}
}

// Report takes a host's demands and returns its grants. uptime is how long the
// host's process runs.
func (a *Allocator) Report(now time.Duration, host string, uptime time.Duration, demands []Demand) []Grant {
	if uptime > freshProcess {
		a.settled = true
	}
	out := make([]Grant, 0, len(demands))
	for _, d := range demands {
		out = append(out, Grant{Workspace: d.Workspace, Fraction: a.grant(now, host, d)})
	}
	return out
}

func (a *Allocator) grant(now time.Duration, host string, d Demand) float64 {
	holders := a.hosts[d.Workspace]
	if holders == nil {
		holders = map[string]*holding{}
		a.hosts[d.Workspace] = holders
	}
	if d.Released {
		delete(holders, host)
		return 0
	}
	h := holders[host]
	if h == nil {
		h = &holding{}
		holders[host] = h
	}
	h.demand, h.heard = max(0, d.PerSecond), now
	h.reserved = max(h.granted, d.HeldFraction)
	free, total := 1.0, 0.0
	for name, other := range holders {
		if now-other.heard > LeaseDuration+leaseMargin {
			delete(holders, name)
			continue
		}
		total += other.demand
		if name != host {
			free -= other.reserved
		}
	}
	even := 1 / float64(len(holders))
	target := even
	if total > 0 {
		target = evenPart*even + (1-evenPart)*h.demand/total
	}
	switch age := now - a.since; {
	case !a.settled:
		// Every host has just started and holds nothing of an earlier allocator. What
		// the first one to report gets beyond its part would be missing to the others
		// until it has reported twice more.
		if age < startTime && len(holders) < a.regions {
			target = 1 / float64(a.regions)
		}
	case age < settleTime:
		free = min(free, d.HeldFraction)
	case age < LeaseDuration+leaseMargin:
		free = min(free, max(d.HeldFraction, free-unknownPart))
	}
	h.granted = max(0, min(target, free))
	h.reserved = max(h.granted, d.HeldFraction)
	return h.granted
}
