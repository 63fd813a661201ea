package shares

import (
	"time"
)

const (
	// LeaseDuration is how long a host may use a fraction after it reported its demand. A
	// host without contact for this long may not accept API keys either.
	LeaseDuration = 5 * time.Second
	// leaseMargin covers the drift of two clocks over a lease.
	leaseMargin = 200 * time.Millisecond
	// renewOnlyPeriod is how long a new allocator only renews the fractions that hosts
	// report; every host in contact has reported by then.
	renewOnlyPeriod = 600 * time.Millisecond
	// maxFreshUptime is the uptime up to which the process of a host is assumed to have
	// started together with this allocator.
	maxFreshUptime = 8 * time.Second
	// unreportedReserve is the fraction that stays reserved for hosts that may still hold
	// a fraction from an earlier allocator, until their leases have expired. It is above
	// the share of one region of three.
	unreportedReserve = 0.35
	// systemStartPeriod is the time after a start of the whole system within which the
	// holders of all regions are expected to report for the first time.
	systemStartPeriod = 2 * time.Second
	// evenFraction of a rate is divided evenly, so that a host without demand can serve
	// the first requests of a workspace.
	evenFraction = 0.25
)

// Demand is the demand of a host for one workspace.
type Demand struct {
	Workspace string
	// PerSecond is in the unit of the workspace's rate.
	PerSecond float64
	// HeldFraction is the fraction that the host may use now.
	HeldFraction float64
	// Released means that the host holds no fraction and requests none.
	Released bool
}

// Grant is the fraction of a workspace's rate and burst that a host may use.
type Grant struct {
	Workspace string
	Fraction  float64
	// Unspent means that nobody can have spent the same fraction of the burst before, as the
	// whole system has just started.
	Unspent bool
}

type holderState struct {
	demand float64
	// reserved is the largest fraction that the host may still use.
	reserved   float64
	granted    float64
	reportedAt time.Duration
	// unspent is the fraction of the burst that the host was told is unspent, and
	// acknowledged whether it has reported a fraction since.
	unspent      float64
	acknowledged bool
}

// hostProcess is the newest process of a host that has reported.
type hostProcess struct {
	startMillis int64
	startedAt   time.Duration // on the allocator's clock
	reportedAt  time.Duration
	// isRestart means that an earlier process of the host has reported as well.
	isRestart bool
}

// Allocator divides the rates of workspaces among hosts. Invariant: for each workspace
// the reserved fractions of all hosts add up to at most 1.
type Allocator struct {
	startedAt time.Duration
	// regions is the number of regions, each of which has one holder.
	regions int
	// systemWasRunning is set once a host reports an uptime above maxFreshUptime: the
	// allocator was not started together with the whole system, so hosts may hold
	// fractions from an earlier allocator.
	systemWasRunning bool
	processes        map[string]*hostProcess            // by host
	holders          map[string]map[string]*holderState // by workspace, then host
	// unspent is the sum of the fractions of the burst that hosts were told are unspent.
	unspent map[string]float64
}

// NewAllocator returns an allocator without grants. For the duration of one lease it
// keeps a reserve, because hosts that have not reported yet may hold a fraction from an
// earlier allocator.
func NewAllocator(now time.Duration, regions int) *Allocator {
	return &Allocator{startedAt: now, regions: regions, processes: map[string]*hostProcess{},
		holders: map[string]map[string]*holderState{}, unspent: map[string]float64{}}
}

// Report processes the demands of a process that has run for uptime, and returns its grants.
// Reports of a process that the host has replaced get none.
func (a *Allocator) Report(now time.Duration, h Holder, uptime time.Duration, demands []Demand) []Grant {
	if uptime > maxFreshUptime {
		a.systemWasRunning = true
	}
	if !a.observeProcess(now, h, now-uptime) {
		return nil
	}
	grants := make([]Grant, 0, len(demands))
	for _, d := range demands {
		fraction := a.grant(now, h.Host, d)
		grants = append(grants, Grant{Workspace: d.Workspace, Fraction: fraction, Unspent: a.markUnspent(h.Host, d, fraction)})
	}
	return grants
}

// observeProcess reports whether the process is the newest one of its host. What an earlier
// one held is free at once, without waiting for the end of its lease. The order of processes
// follows from their uptimes, because the clock of their start times may have been set. A
// report that was delayed for longer than its process ran seems to be of a later one, so a
// process that has been silent for a lease does not keep others out.
func (a *Allocator) observeProcess(now time.Duration, h Holder, startedAt time.Duration) bool {
	p := a.processes[h.Host]
	switch {
	case p == nil:
		a.processes[h.Host] = &hostProcess{startMillis: h.StartMillis, startedAt: startedAt, reportedAt: now}
	case p.startMillis == h.StartMillis:
		p.startedAt = min(p.startedAt, startedAt) // the report with the least delay
		p.reportedAt = now
	case startedAt < p.startedAt && now-p.reportedAt <= LeaseDuration:
		return false
	default:
		*p = hostProcess{startMillis: h.StartMillis, startedAt: startedAt, reportedAt: now, isRestart: true}
		for _, holders := range a.holders {
			delete(holders, h.Host)
		}
	}
	return true
}

// markUnspent reports whether the granted fraction of the burst is unspent. It is for the
// first holders after a start of the whole system, up to the whole burst, and never for a
// later process of a host: the one before may have spent it.
func (a *Allocator) markUnspent(host string, d Demand, fraction float64) bool {
	h := a.holders[d.Workspace][host]
	if h == nil || a.systemWasRunning || a.processes[host].isRestart {
		return false
	}
	h.acknowledged = h.acknowledged || d.HeldFraction > 0
	switch {
	case h.acknowledged || fraction == 0:
		return false
	case h.unspent > 0:
		return fraction <= h.unspent // the response before may be lost
	case a.unspent[d.Workspace]+fraction > 1:
		return false
	}
	h.unspent = fraction
	a.unspent[d.Workspace] += fraction
	return true
}

func (a *Allocator) grant(now time.Duration, host string, d Demand) float64 {
	holders := a.holders[d.Workspace]
	if holders == nil {
		holders = map[string]*holderState{}
		a.holders[d.Workspace] = holders
	}
	if d.Released {
		delete(holders, host)
		return 0
	}
	h := holders[host]
	if h == nil {
		h = &holderState{}
		holders[host] = h
	}
	h.demand, h.reportedAt = max(0, d.PerSecond), now
	h.reserved = max(h.granted, d.HeldFraction)
	available, totalDemand := 1.0, 0.0
	for name, other := range holders {
		if now-other.reportedAt > LeaseDuration+leaseMargin {
			delete(holders, name)
			continue
		}
		totalDemand += other.demand
		if name != host {
			available -= other.reserved
		}
	}
	evenShare := 1 / float64(len(holders))
	desired := evenShare
	if totalDemand > 0 {
		desired = evenFraction*evenShare + (1-evenFraction)*h.demand/totalDemand
	}
	switch age := now - a.startedAt; {
	case !a.systemWasRunning:
		// Every host has just started, so none holds a fraction from an earlier
		// allocator. If the first host to report got more than an even share, the others
		// would lack it until that host had reported twice more.
		if age < systemStartPeriod && len(holders) < a.regions {
			desired = 1 / float64(a.regions)
		}
	case age < renewOnlyPeriod:
		available = min(available, d.HeldFraction)
	case age < LeaseDuration+leaseMargin:
		available = min(available, max(d.HeldFraction, available-unreportedReserve))
	}
	h.granted = max(0, min(desired, available))
	h.reserved = max(h.granted, d.HeldFraction)
	return h.granted
}
