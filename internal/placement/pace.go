package placement

import (
	"maps"
	"time"

	"geraniumturn.example/geraniumturn/internal/shares"
)

// paceState is how far a request has come in the pace of its target.
type paceState uint8

const (
	unpaced paceState = iota
	paceReserved
	paceSending
)

// paced reports whether the target is cold, or may be, and bears only some requests a
// second.
func (t *Target) paced(now time.Duration) bool { return t.Paced && now < t.coldUntil(now) }

// coldUntil returns the end of the warm-up of a target.
func (t *Target) coldUntil(now time.Duration) time.Duration {
	ended := &t.availability.ended
	if ended.refusing {
		return now + max(t.Warmup, 1)
	}
	return max(t.ColdUntil, ended.coldUntil)
}

// endedProcess says that the process of a target that is registered has ended: it refused a
// connection. Whatever responds next at its address has started since and is cold, also if
// its heartbeats do not arrive.
type endedProcess struct {
	// at is the newest refusal, here or at another host, or the start of the request that
	// was responded to since; refusals before it are known.
	at       time.Duration
	refusing bool // nothing has responded since
	// coldUntil is the end of the warm-up of the process that has responded since.
	coldUntil   time.Duration
	reportUntil time.Duration
}

// EndedTarget is a process of a target that has ended although it is still registered.
type EndedTarget struct {
	Target      string
	StartMillis int64
	At          time.Duration
}

// RecordRefused records that the target of an attempt refused a connection.
func (p *Placer) RecordRefused(now time.Duration, a *Attempt) {
	if p.availability[a.target.ID] == a.availability {
		a.availability.ended.reportUntil = now + leavingReportTime
		p.RecordEnded(EndedTarget{a.target.ID, a.availability.startMillis, now})
	}
}

// RecordEnded records that a process has refused a connection, maybe of another host.
func (p *Placer) RecordEnded(e EndedTarget) {
	a := p.process(e.Target, e.StartMillis)
	if a == nil || e.At <= a.ended.at {
		return
	}
	a.statedAt = max(a.statedAt, e.At)
	a.ended.at, a.ended.refusing = e.At, true
}

// RecentlyEnded returns the processes that have recently refused a connection of this host.
func (p *Placer) RecentlyEnded(now time.Duration) (out []EndedTarget) {
	for id, a := range p.availability {
		if now < a.ended.reportUntil {
			out = append(out, EndedTarget{id, a.startMillis, a.ended.at})
		}
	}
	return out
}

// observeEnded records that a target has responded to an attempt.
func (t *Target) observeEnded(now time.Duration, a *Attempt) {
	if ended := &a.availability.ended; ended.refusing && a.started > ended.at {
		ended.refusing, ended.coldUntil, ended.at = false, now+t.Warmup, a.started
	}
}

// paceLimit returns how many requests this host may send to a cold target in a second.
func (p *Placer) paceLimit(now time.Duration, t *Target) int {
	if p.PaceShare == nil {
		return t.ColdLimit
	}
	return p.PaceShare(now, t.ID, t.ColdLimit)
}

// allowsPace reports whether this host may choose the target, if it is cold.
func (p *Placer) allowsPace(now time.Duration, t *Target) bool {
	return !t.paced(now) || p.pacer(t).Allows(now, p.paceLimit(now, t))
}

// pacer returns the pacer of a target. It outlives the registration of the target, which
// may be left out and come back within a second.
func (p *Placer) pacer(t *Target) *shares.Pacer {
	pacer := p.pacers[t.ID]
	if pacer == nil {
		pacer = &shares.Pacer{}
		p.pacers[t.ID] = pacer
	}
	return pacer
}

func (p *Placer) dropIdlePacers(now time.Duration) {
	maps.DeleteFunc(p.pacers, func(_ string, pacer *shares.Pacer) bool { return pacer.Idle(now) })
}

// reservePace reserves a slot for an attempt if its target is cold.
func (p *Placer) reservePace(now time.Duration, a *Attempt) {
	if a.target.paced(now) {
		a.pace = paceReserved
		p.pacer(a.target).Reserve()
	}
}

// releasePace gives up the slot of an attempt that was not sent.
func (p *Placer) releasePace(a *Attempt) {
	if a.pace == paceReserved {
		a.pace = unpaced
		p.pacer(a.target).Release()
	}
}

// BeginSend reports whether the request of an attempt may be written now. It must be called
// right before the write, and EndSend after it: the process may have stood still since the
// choice, and the target may have become cold or left.
func (p *Placer) BeginSend(now time.Duration, a *Attempt) bool {
	t := p.targets[a.target.ID]
	if t == nil || t.Address != a.target.Address || !a.availability.accepts(now) || !a.permitted(now) {
		return false
	}
	if !t.paced(now) {
		p.releasePace(a)
		return true
	}
	if !p.pacer(t).Begin(now, p.paceLimit(now, t), a.pace == paceReserved) {
		return false
	}
	a.pace = paceSending
	return true
}

// EndSend records that the request of an attempt has been written, or that its write has
// failed.
func (p *Placer) EndSend(now time.Duration, a *Attempt) {
	if a.pace == paceSending {
		a.pace = unpaced
		p.pacer(a.target).End(now)
	}
}

// ColdSend describes a request to a cold target.
type ColdSend struct {
	// SinceChoice is the time since the target was chosen, ColdLeft that until its warm-up
	// ends.
	SinceChoice, ColdLeft time.Duration
	// Reserved means that the target was already known to be cold at the choice.
	Reserved bool
	// Limit is the number of requests in a second that this host may send to it.
	Limit int
}

// ColdSend describes an attempt that BeginSend has just allowed, or not, if its target is
// cold.
func (p *Placer) ColdSend(now time.Duration, a *Attempt) (s ColdSend, cold bool) {
	t := p.targets[a.target.ID]
	if t == nil || !t.paced(now) {
		return ColdSend{}, false
	}
	return ColdSend{SinceChoice: now - a.started, ColdLeft: t.coldUntil(now) - now, Reserved: a.chosenCold, Limit: p.paceLimit(now, t)}, true
}
