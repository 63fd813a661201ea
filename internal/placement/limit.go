package placement

import (
	"time"

	"geraniumturn.example/geraniumturn/internal/shares"
)

const (
	// limitReportTime is how long the other hosts are told that a rate limit has ended. One that
	// is in force they are told until then: the host that grants its permits may not know of it.
	limitReportTime = 5 * time.Second
	// unknownPermitWait is the time after which a host asks again that does not know which host
	// grants the permits, or was wrong about it.
	unknownPermitWait = 200 * time.Millisecond
)

// A target may limit the requests that it takes from all hosts together. Each of them needs a
// permit, which one host of the region grants: the holder of the partition of the target. What
// a host may send therefore depends neither on which hosts it knows nor on what these do.

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
	// own is the newest statement that this host has received from the process itself. Only that
	// is told to other hosts: the times of what they told would shift with each report.
	own RateLimit
	// noPermitUntil is until when this host does not ask for a permit.
	noPermitUntil time.Duration
	permits       *shares.PermitBucket // if this host grants them
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
	if s.LimitUnreadable {
		return nil
	}
	l, heard := &a.availability.limit, RateLimit{s.Limit, a.started, now}
	if (s.Limit > 0 || l.PerSecond > 0 || l.own.PerSecond > 0) && heard.replaces(l.own) {
		l.own = heard
	}
	if !l.record(now, heard) {
		return nil
	}
	return []Change{p.limitChange(a.target.ID, s.Limit)}
}

func (p *Placer) limitChange(target string, perSecond float64) Change {
	c := p.change(target, CauseLimit)
	c.PerSecond, c.Ended = perSecond, perSecond == 0
	return c
}

// LimitedTargets returns the number of targets of this region that state a rate limit.
func (p *Placer) LimitedTargets() (n int) {
	for _, t := range p.targets {
		if !t.Remote && t.availability.limit.PerSecond > 0 {
			n++
		}
	}
	return n
}

// LimitedTarget is the newest statement of a process of a target on its rate limit.
type LimitedTarget struct {
	Target      string
	StartMillis int64
	RateLimit
}

// LimitReports returns the statements that this host has received and tells the others.
func (p *Placer) LimitReports(now time.Duration) (out []LimitedTarget) {
	for id, a := range p.availability {
		own := a.limit.own
		if own.PerSecond > 0 && a.limit.PerSecond > 0 || own.PerSecond == 0 && own.HeardAt > 0 && now-own.HeardAt <= limitReportTime {
			out = append(out, LimitedTarget{id, a.startMillis, own})
		}
	}
	return out
}

// RecordLimit records the statement of a target to another host. It reports whether that
// changes the limit.
func (p *Placer) RecordLimit(now time.Duration, l LimitedTarget) (Change, bool) {
	a := p.process(l.Target, l.StartMillis)
	l.SentAt -= reportDelay // its age does not include the way here
	if a == nil || !a.limit.record(now, l.RateLimit) {
		return Change{}, false
	}
	a.statedAt = max(a.statedAt, l.HeardAt)
	return p.limitChange(l.Target, l.PerSecond), true
}

// LimitOf returns what is known of the rate limit of the process of an attempt, and false if
// the attempt needs no permit or has one.
func (p *Placer) LimitOf(now time.Duration, a *Attempt) (LimitedTarget, bool) {
	if a.permitted(now) {
		return LimitedTarget{}, false
	}
	return LimitedTarget{a.target.ID, a.availability.startMillis, a.availability.limit.RateLimit}, true
}

// permitted reports whether the request of an attempt may be sent as far as the rate limit of
// its target is concerned.
func (a *Attempt) permitted(now time.Duration) bool {
	return a.availability.limit.PerSecond == 0 || now < a.permitUntil
}

// SetPermit records that an attempt has got a permit that was asked for at a time.
func (p *Placer) SetPermit(a *Attempt, asked time.Duration) { a.permitUntil = asked + shares.PermitTTL }

// SetNoPermit records that there is no permit for an attempt, and that asking again is of no
// use until a time.
func (p *Placer) SetNoPermit(a *Attempt, until time.Duration) {
	l := &a.availability.limit
	l.noPermitUntil = max(l.noPermitUntil, until)
}

// permitIn returns the time until this host may ask for a permit for a target.
func (t *Target) permitIn(now time.Duration) time.Duration {
	l := &t.availability.limit
	if l.PerSecond == 0 {
		return 0
	}
	return max(0, l.noPermitUntil-now)
}

// GrantsPermits reports whether this host grants the permits of a target.
func (p *Placer) GrantsPermits(now time.Duration, target string) bool {
	return p.HeldPartitions == nil || p.HeldPartitions(now).Grants(target)
}

// TakePermit takes a permit for a host from those of a target that this host grants. If there
// is none, it returns the time after which that host should ask again.
func (p *Placer) TakePermit(now time.Duration, target string, startMillis int64) (ok bool, wait time.Duration) {
	a := p.process(target, startMillis)
	if a == nil || !p.GrantsPermits(now, target) {
		return false, unknownPermitWait
	}
	if a.limit.PerSecond == 0 {
		return true, 0
	}
	if a.limit.permits == nil {
		a.limit.permits = shares.NewPermitBucket(now)
	}
	return a.limit.permits.Take(now, a.limit.PerSecond)
}

// EndedLimit returns the statement that ended the rate limit of a process, and false if the
// limit is in force or none was known.
func (p *Placer) EndedLimit(target string, startMillis int64) (LimitedTarget, bool) {
	a := p.process(target, startMillis)
	if a == nil || a.limit.PerSecond > 0 || a.limit.HeardAt == 0 {
		return LimitedTarget{}, false
	}
	return LimitedTarget{target, startMillis, a.limit.RateLimit}, true
}

// ForgetPermits empties the permits of the targets in a set of partitions, which this host has
// just got: another one may have granted permits until just before.
func (p *Placer) ForgetPermits(partitions shares.PartitionSet) {
	for id, a := range p.availability {
		if partitions.Grants(id) {
			a.limit.permits = nil
		}
	}
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
