package placement

import (
	"maps"
	"time"
)

const (
	// maxPause bounds the pause that a target asks for, so that one wrong value does not
	// take a sound target out of use until its process restarts.
	maxPause = 10 * time.Minute
	// leavingReportTime is how long the other hosts are told that a target is leaving. A
	// host that was out of contact for longer learns it from the target.
	leavingReportTime = 5 * time.Second
	// availabilityRetention is how long the state of a process is kept after its last
	// statement if its target is not registered. It exceeds the time for which the
	// registry keeps the records of targets that left.
	availabilityRetention = 10 * time.Minute
)

// Statement is what a response says about the process of its target.
type Statement struct {
	// Leaving means that the process takes no new requests.
	Leaving bool
	// Pause is how long the process wants no requests from this host; 0 if it does not
	// say so.
	Pause time.Duration
	// Brittle is the number of rejections in a second that the process survives; 0 if it
	// does not say that it is brittle.
	Brittle int
	// Limit is how many requests a second the process takes from all hosts together; 0 if it
	// states no limit. LimitUnreadable means that it states one that cannot be read.
	Limit           float64
	LimitUnreadable bool
	// Rejected means that the process did not take the request.
	Rejected bool
}

// Change is a change of the availability of a target or a service, for the log.
type Change struct {
	Target, Service string
	Cause           Cause
	// Until is the end of the time for which the target is left out; 0 if it has none.
	Until time.Duration
	// Limit is the number of rejections in a second that the targets of a brittle service
	// survive.
	Limit int
	// PerSecond is the rate limit that a target states; 0 if it states none any more.
	PerSecond float64
	// Ended means that the cause no longer holds.
	Ended bool
}

// Cause is why a target is left out.
type Cause string

// The causes.
const (
	CauseLeaving Cause = "leaving"
	CausePause   Cause = "retry_after"
	// CauseRejection is a rejection by a brittle target.
	CauseRejection Cause = "rejection"
	// CauseBrittle means that the targets of a service get no requests that may wait.
	CauseBrittle Cause = "brittle"
	// CauseLimit is a change of the rate limit that a target states.
	CauseLimit Cause = "limit"
)

// availability is what one process of a target has stated. It is kept apart from the
// Target, because it must outlive the target's absence from the registry.
type availability struct {
	startMillis int64
	// registered means that the registry has named the process. previous is the state of the
	// process that it replaced then.
	registered bool
	previous   *availability
	statedAt   time.Duration // time of the last statement
	leaving    bool
	// reportUntil is until when the other hosts are told that the process is leaving.
	reportUntil time.Duration
	pausedUntil time.Duration
	pauseLogged bool // the end of the pause is still to be logged
	rejections  rejections
	limit       statedLimit
	ended       endedProcess
}

// accepts reports whether the process takes requests from this host.
func (a *availability) accepts(now time.Duration) bool { return !a.leaving && now >= a.pausedUntil }

// process returns the state of a process of a target. A process replaces an earlier one;
// nil is returned for a process that was replaced.
func (p *Placer) process(target string, startMillis int64) *availability {
	a := p.availability[target]
	if a == nil || startMillis > a.startMillis {
		a = &availability{startMillis: startMillis}
		p.availability[target] = a
		if t := p.targets[target]; t != nil {
			t.availability = a
		}
	}
	if startMillis < a.startMillis {
		return nil
	}
	return a
}

// registerProcess returns the state that applies to a target as it is registered: that of
// the newest known process, which may not be registered yet. One that was registered and is
// no longer was none of the target's.
func (p *Placer) registerProcess(s Spec) *availability {
	known := p.availability[s.ID]
	if known != nil && known.registered && known.startMillis > s.StartMillis {
		delete(p.availability, s.ID)
		if known.previous != nil && known.previous.startMillis == s.StartMillis {
			p.availability[s.ID] = known.previous
		}
		known = p.availability[s.ID]
	}
	a := p.process(s.ID, s.StartMillis)
	if a == nil {
		return p.availability[s.ID]
	}
	if a != known {
		a.previous = known
		if known != nil {
			known.previous = nil
		}
	}
	a.registered = true
	return a
}

// Observe records the statement of a response and returns what it changed.
func (p *Placer) Observe(now time.Duration, a *Attempt, s Statement) []Change {
	state := a.availability
	if p.availability[a.target.ID] != state {
		return nil // another process has replaced the one that responded
	}
	state.statedAt = now
	a.target.observeEnded(now, a)
	out := append(p.observeBrittle(now, a, s), p.observeLimit(now, a, s)...)
	if s.Leaving && !state.leaving {
		state.leaving, state.reportUntil = true, now+leavingReportTime
		out = append(out, Change{Target: a.target.ID, Service: a.target.Service, Cause: CauseLeaving})
	}
	a.pauseNamed = s.Pause > 0
	if until := now + min(s.Pause, maxPause); s.Pause > 0 && until > state.pausedUntil {
		state.pausedUntil, state.pauseLogged = until, true
		out = append(out, Change{Target: a.target.ID, Service: a.target.Service, Cause: CausePause, Until: until})
	}
	return out
}

// Accepts reports whether the target of an attempt that is not sent yet still takes
// requests from this host.
func (p *Placer) Accepts(now time.Duration, a *Attempt) bool {
	return a.availability.accepts(now)
}

// Leaving reports whether the target of an attempt is leaving.
func (p *Placer) Leaving(a *Attempt) bool { return a.availability.leaving }

// LeavingTarget is a process of a target that takes no new requests.
type LeavingTarget struct {
	Target      string
	StartMillis int64
}

// RecentlyLeaving returns the processes that have recently told this host that they are
// leaving.
func (p *Placer) RecentlyLeaving(now time.Duration) (out []LeavingTarget) {
	for id, a := range p.availability {
		if a.leaving && now < a.reportUntil {
			out = append(out, LeavingTarget{id, a.startMillis})
		}
	}
	return out
}

// RecordLeaving records that a process has told another host that it is leaving. It
// reports whether that was unknown.
func (p *Placer) RecordLeaving(now time.Duration, l LeavingTarget) (Change, bool) {
	a := p.process(l.Target, l.StartMillis)
	if a == nil || a.leaving {
		return Change{}, false
	}
	a.statedAt, a.leaving = now, true
	return p.change(l.Target, CauseLeaving), true
}

func (p *Placer) change(target string, cause Cause) Change {
	c := Change{Target: target, Cause: cause}
	if t := p.targets[target]; t != nil {
		c.Service = t.Service
	}
	return c
}

// Poll returns the changes since its last call that no response has brought, and drops the
// state of processes that are gone.
func (p *Placer) Poll(now time.Duration) []Change {
	out := p.brittleChanges(now)
	for id, a := range p.availability {
		if a.pauseLogged && now >= a.pausedUntil {
			a.pauseLogged = false
			c := p.change(id, CausePause)
			c.Ended = true
			out = append(out, c)
		}
	}
	maps.DeleteFunc(p.availability, func(id string, a *availability) bool {
		return p.targets[id] == nil && now-a.statedAt > availabilityRetention
	})
	p.dropIdlePacers(now)
	return out
}

// AvailableIn returns the time until the first target of this region that may serve the
// request takes requests from this host again; 0 if one does now. It reports false if
// there is no such target.
func (p *Placer) AvailableIn(now time.Duration, r *Request) (wait time.Duration, ok bool) {
	for _, t := range p.byService[r.Service] {
		if t.availability.leaving || !r.Allows(t) {
			continue
		}
		if w := max(t.availability.pausedUntil-now, p.roomIn(now, t, r), t.permitIn(now)); !ok || w < wait {
			wait, ok = w, true
		}
	}
	return wait, ok
}
