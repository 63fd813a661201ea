package placement

import (
	"math"
	"time"
)

// hostReport is the newest usage report of another host.
type hostReport struct {
	host string
	at   time.Duration
	used []*Target // targets with requests of the host
}

func (r *hostReport) fresh(now time.Duration) bool {
	return r.used != nil && now-r.at <= usageReportTTL
}

// SetHostUsage replaces the usage by another host, keyed by target ID.
func (p *Placer) SetHostUsage(now time.Duration, host string, usage map[string]Usage) {
	position, known := p.hostPositions[host]
	if !known {
		position = len(p.hostReports)
		p.hostPositions[host] = position
		p.hostReports = append(p.hostReports, hostReport{host: host})
	}
	r := &p.hostReports[position]
	for _, t := range r.used {
		t.setHostUsage(position, Usage{})
	}
	r.at, r.used = now, make([]*Target, 0, len(usage))
	for id, u := range usage {
		if t := p.targets[id]; t != nil {
			t.setHostUsage(position, u)
			t.pace.Merge(now, u.Pace)
			r.used = append(r.used, t)
		}
	}
	for service := range p.byService {
		brittle := p.brittle[service] != nil
		if !brittle && !p.recordsPeaks[service] {
			continue
		}
		p.recordsPeaks[service] = brittle
		for _, t := range p.byService[service] {
			t.recordPeak(now, host, usage[t.ID].Running, brittle)
		}
	}
}

func (t *Target) setHostUsage(position int, u Usage) {
	for len(t.hostUsage) <= position {
		t.hostUsage = append(t.hostUsage, Usage{})
	}
	t.hostUsage[position] = u
}

// totalUsage returns the usage of a target by all hosts, as far as known, and the age of
// the oldest report in it.
func (p *Placer) totalUsage(now time.Duration, t *Target) (total Usage, age time.Duration) {
	total = t.ownUsage
	for i, u := range t.hostUsage {
		if r := &p.hostReports[i]; u.Running > 0 && r.fresh(now) {
			total, age = total.add(u), max(age, now-r.at)
		}
	}
	return total, age
}

// remaining returns the part of the requests in progress at a time in the past that still
// are, if they last duration in the mean.
func remaining(age time.Duration, duration float64) float64 {
	return math.Exp(-float64(age) / duration)
}

// remainingParts returns, by position of the host, the part of the requests in its newest
// report that is still in progress, or -1 if that report does not count any more.
func (p *Placer) remainingParts(now time.Duration, duration float64) []float64 {
	p.freshParts = p.freshParts[:0]
	for i := range p.hostReports {
		part := -1.0
		if r := &p.hostReports[i]; r.fresh(now) {
			part = remaining(now-r.at, duration)
		}
		p.freshParts = append(p.freshParts, part)
	}
	return p.freshParts
}

// sharedView is what a choice among the targets of a service assumes of other hosts.
type sharedView struct {
	// parts are the results of remainingParts.
	parts []float64
	// replaced is the mean number of requests at a target that other hosts have sent since
	// their reports, in place of reported ones that have ended.
	replaced float64
	// arriving is the mean number of prompt tokens that are sent to a target in a second.
	arriving float64
}

func (p *Placer) viewOf(now time.Duration, service string) sharedView {
	targets := p.byService[service]
	if len(targets) == 0 {
		return sharedView{}
	}
	v := sharedView{parts: p.remainingParts(now, p.serviceDuration(now, targets[0]))}
	engines := targets[0].cache != nil
	for _, t := range targets {
		if engines {
			v.arriving += t.arriving.current(now)
		}
		for i, u := range t.hostUsage {
			if part := v.parts[i]; u.Running > 0 && part >= 0 {
				v.replaced += (1 - part) * float64(u.Running)
				v.arriving += u.Arriving
			}
		}
	}
	n := float64(len(targets))
	v.replaced, v.arriving = v.replaced/n, v.arriving/n
	return v
}

// estimatedUsage returns the expected usage of a target by all hosts, and the age of the
// oldest report in it. Of the requests that other hosts have reported some have ended
// since, and were replaced by others that are assumed to be spread evenly. Of the prompts
// some have been read, and others were sent since.
func (p *Placer) estimatedUsage(now time.Duration, t *Target, v sharedView) (total Usage, oldest time.Duration) {
	reported, left, prefillAge, arrived := Usage{}, 0.0, 0.0, 0.0
	own := t.ownUsage
	own.Arriving = t.arriving.current(now)
	for i, u := range t.hostUsage {
		part := v.parts[i]
		if u.Running == 0 || part < 0 {
			continue
		}
		age := now - p.hostReports[i].at
		oldest = max(oldest, age)
		reported = reported.add(u)
		left += part * float64(u.Running)
		prefillAge += u.PrefillTokens * age.Seconds()
		arrived += u.Arriving * age.Seconds()
	}
	running := left + v.replaced
	if reported.Running > 0 {
		reported.MemoryTokens = int64(float64(reported.MemoryTokens) * running / float64(reported.Running))
	}
	reported.Running = int(math.Round(running))
	if t.cache != nil && reported.PrefillTokens > 0 {
		read := prefillAge / reported.PrefillTokens * float64(time.Second) / t.calibration.Rates(now).Read
		reported.PrefillTokens = max(0, reported.PrefillTokens+arrived-read)
	}
	if t.cache != nil {
		// Where others send their next prompts follows the load, which levels the rates.
		own.Arriving, reported.Arriving = (own.Arriving+reported.Arriving+v.arriving)/2, 0
	}
	return own.add(reported), oldest
}
