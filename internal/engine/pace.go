package engine

import (
	"math"
	"time"
)

const (
	// paceHalfLife is the time in which a pace without observations approaches 1 by half.
	paceHalfLife = 5 * time.Second
	// paceWeight is the weight of the newest observation, and paceSharedWeight that of a
	// report of another host, which repeats its own observations.
	paceWeight, paceSharedWeight = 0.25, 0.05
	// minPace and maxPace bound the pace of an engine.
	minPace, maxPace = 0.5, 4
	// paceReportAge is the age up to which an observation is reported.
	paceReportAge = time.Second
)

// Pace is the time that one process of a target takes as a multiple of the time that is
// usual for its service. The zero value is 1.
type Pace struct {
	log float64
	at  time.Duration
	// own is the logarithm of the last observation of this host.
	own   float64
	ownAt time.Duration
	known bool
}

// Observe records an observation of this host. Values of 0 or less are ignored.
func (p *Pace) Observe(now time.Duration, factor float64) {
	if factor <= 0 {
		return
	}
	p.own = math.Log(min(max(factor, minPace), maxPace))
	p.ownAt, p.known = now, true
	p.approach(now, p.own, paceWeight)
}

// Merge records what another host has reported.
func (p *Pace) Merge(now time.Duration, factor float64) {
	if factor > 0 && !math.IsInf(factor, 0) && !math.IsNaN(factor) {
		p.approach(now, math.Log(min(max(factor, minPace), maxPace)), paceSharedWeight)
	}
}

func (p *Pace) approach(now time.Duration, log, weight float64) {
	current := p.current(now)
	p.log, p.at = current+weight*(log-current), max(p.at, now)
}

func (p *Pace) current(now time.Duration) float64 {
	return p.log * math.Exp2(-float64(max(0, now-p.at))/float64(paceHalfLife))
}

// Factor returns the pace at a time.
func (p *Pace) Factor(now time.Duration) float64 {
	if p.log == 0 {
		return 1
	}
	return math.Exp(p.current(now))
}

// Report returns the newest observation of this host, or 0 if there is no recent one.
func (p *Pace) Report(now time.Duration) float64 {
	if !p.known || now-p.ownAt > paceReportAge {
		return 0
	}
	return math.Exp(p.own)
}
