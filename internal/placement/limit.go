package placement

import (
	"maps"
	"time"
)

// RateLimit is the statement of a process of a target on how many requests a second it takes
// from all hosts together.
type RateLimit struct {
	// PerSecond is 0 if the process states no limit.
	PerSecond float64
	// SentAt is when the request was sent whose response has the statement, and HeardAt when
	// the response arrived. The process made the statement in between.
	SentAt, HeardAt time.Duration
}

// replaces reports whether a statement replaces another one of the same process. Responses
// overtake each other: of two that may have been made in either order the lower limit holds.
func (l RateLimit) replaces(old RateLimit) bool {
	switch {
	case l.SentAt >= old.HeardAt:
		return true
	case l.HeardAt <= old.SentAt || l.PerSecond == 0:
		return false
	}
	return old.PerSecond == 0 || l.PerSecond <= old.PerSecond
}

// statedLimit is what is known of the rate limit of a process.
type statedLimit struct {
	RateLimit
	// since is when this host learned that the process has a limit; it is valid while
	// PerSecond is not 0.
	since time.Duration
}

// record records a statement and reports whether it changes the limit.
func (s *statedLimit) record(now time.Duration, l RateLimit) bool {
	if !l.replaces(s.RateLimit) {
		return false
	}
	changed := l.PerSecond != s.PerSecond
	if s.PerSecond == 0 {
		s.since = now
	}
	l.SentAt, l.HeardAt = max(l.SentAt, s.SentAt), max(l.HeardAt, s.HeardAt)
	s.RateLimit = l
	return changed
}

// observeLimit records what a response says about the rate limit of its process.
func (p *Placer) observeLimit(now time.Duration, a *Attempt, s Statement) []Change {
	if s.LimitUnreadable || !a.availability.limit.record(now, RateLimit{s.Limit, a.started, now}) {
		return nil
	}
	return []Change{limitChange(a.target.ID, a.target.Service, s.Limit)}
}

func limitChange(target, service string, perSecond float64) Change {
	return Change{Target: target, Service: service, Cause: CauseLimit, PerSecond: perSecond, Ended: perSecond == 0}
}

// LimitedTargets returns the number of targets of this region that state a rate limit.
func (p *Placer) LimitedTargets() (n int) {
	for id := range maps.Keys(p.targets) {
		if t := p.targets[id]; !t.Remote && t.availability.limit.PerSecond > 0 {
			n++
		}
	}
	return n
}

// LimitedSend describes a request to a target that states a rate limit.
type LimitedSend struct {
	PerSecond float64
	// SinceStated is the time since this host learned of the limit, SinceChoice that since
	// the target was chosen.
	SinceStated, SinceChoice time.Duration
}

// LimitedSend describes an attempt that BeginSend has just allowed, or not, if its target
// states a rate limit.
func (p *Placer) LimitedSend(now time.Duration, a *Attempt) (LimitedSend, bool) {
	l := &a.availability.limit
	if l.PerSecond == 0 {
		return LimitedSend{}, false
	}
	return LimitedSend{l.PerSecond, now - l.since, now - a.started}, true
}
