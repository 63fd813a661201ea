package placement

import (
	"math"
	"time"
)

const (
	// brittleTTL is how long a service counts as brittle after the last response that said
	// so.
	brittleTTL = 15 * time.Second
	// brittleReportTime is how long the other hosts are told of a statement.
	brittleReportTime = 5 * time.Second
	// rejectionShare is the part of a target's rejection limit that the hosts may use
	// together. The remainder covers requests that are on their way when a host learns of a
	// rejection, and hosts that are not known.
	rejectionShare = 0.5
	// rejectionDelay is the time after which a request has been accepted if it was not
	// rejected: targets reject at once.
	rejectionDelay = 20 * time.Millisecond
	// spareTTL is how long after the last rejection slots of a brittle target are spared:
	// one for each rejection, up to spareFraction of its slots, and at least one.
	spareTTL      = 2 * time.Second
	spareFraction = 0.25
	// growthFraction of its share is the number of slots by which a host may increase its
	// use of a brittle target before the other hosts see it in its reports. At least one.
	growthFraction = 0.25
	// reserveReports is the number of reports for whose time slots are kept free for such
	// increases: that of the newest report, and that in which the other host decides.
	reserveReports = 2
	// peakInterval is half the time for which the highest usage that a host reported is
	// counted: requests to plain targets are shorter than the time between two reports.
	peakInterval = 500 * time.Millisecond
	// reportDelay is the longest usual time that a usage report takes to reach another host.
	reportDelay = 30 * time.Millisecond
	// maxRoomWait bounds the expected time until a brittle target has room.
	maxRoomWait = 2 * time.Second
)

// A brittle target fails if it rejects more than a stated number of requests in a second
// for want of room. While a service is brittle, no request waits at its targets: each host
// uses its share of the slots, and more only where room is left for what the other hosts
// may add before they report it. After a rejection, which can then only mean that the
// target has less room than it announced, a host leaves the target alone for so long that
// all hosts together stay below the limit.

// brittleService is what the targets of a service have last said.
type brittleService struct {
	// limit is the number of rejections in a second that a target survives.
	limit    int
	statedAt time.Duration
	// own is the newest statement that this host has received from a target.
	own    BrittleTarget
	logged bool // the service is brittle according to the log
}

// BrittleTarget is the statement of a process of a target that it is brittle.
type BrittleTarget struct {
	Target      string
	StartMillis int64
	Limit       int
	StatedAt    time.Duration
}

// rejections is the state of a brittle process at this host.
type rejections struct {
	// limit is what the process itself last said, 0 if it did not say that it is brittle.
	limit    int
	statedAt time.Duration
	// starts and ends are the times at which recent requests of this host began and ended.
	starts, ends []time.Duration
	// blockedUntil is the end of the time without requests after rejections.
	blockedUntil time.Duration
	spare        int
	spareUntil   time.Duration
}

// usagePeak is the highest usage that a host has recently reported.
type usagePeak struct {
	current, previous         int
	intervalStart, receivedAt time.Duration
}

func (p usagePeak) record(now time.Duration, running int) usagePeak {
	if age := now - p.intervalStart; age >= peakInterval {
		if p.previous = p.current; age >= 2*peakInterval {
			p.previous = 0
		}
		p.current, p.intervalStart = 0, now
	}
	p.current, p.receivedAt = max(p.current, running), now
	return p
}

// recordPeak records the usage that a host reported for a target of a brittle service.
func (t *Target) recordPeak(now time.Duration, host string, running int, brittle bool) {
	switch {
	case !brittle:
		t.usagePeaks = nil
	case t.usagePeaks == nil:
		t.usagePeaks = map[string]usagePeak{}
		fallthrough
	default:
		t.usagePeaks[host] = t.usagePeaks[host].record(now, running)
	}
}

func (p usagePeak) running() int { return max(p.current, p.previous) }

// SetHosts sets the other hosts that send to the same targets and the function that
// returns this host's share of a limit. They are not known while share is nil.
func (p *Placer) SetHosts(others []string, share func(key string, limit int) int) {
	p.otherHosts, p.limitShare = others, share
	for _, t := range p.targets {
		t.shares = nil
	}
}

// share returns this host's share of a limit of a target.
func (p *Placer) share(t *Target, limit int) int {
	if p.limitShare == nil {
		return 0
	}
	share, known := t.shares[limit]
	if !known {
		if t.shares == nil {
			t.shares = map[int]int{}
		}
		share = p.limitShare(t.ID, limit)
		t.shares[limit] = share
	}
	return share
}

// brittleNow returns the state of a brittle service, nil for others.
func (p *Placer) brittleNow(now time.Duration, service string) *brittleService {
	s := p.brittle[service]
	if s == nil || now-s.statedAt > brittleTTL {
		return nil
	}
	return s
}

// rejectionLimit returns the number of rejections in a second that a target survives; 0
// if it is not brittle. The targets of a service become brittle together, so what one of
// them says holds for all until they answer otherwise.
func (t *Target) rejectionLimit(s *brittleService) int {
	switch own := &t.availability.rejections; {
	case s == nil:
		return 0
	case own.statedAt >= s.statedAt:
		return own.limit
	}
	return s.limit
}

// hasRoom reports whether a target certainly has room for a request, if it is brittle.
func (p *Placer) hasRoom(now time.Duration, t *Target, r *Request, s *brittleService) bool {
	limit := t.rejectionLimit(s)
	if limit == 0 {
		return true
	}
	state := &t.availability.rejections
	if now < state.blockedUntil {
		return false
	}
	usage, age := p.totalUsage(now, t)
	slots := t.Slots - state.spareSlots(now)
	if usage.Running+1 > slots || !t.fits(usage, r, 0) {
		return false
	}
	own, others, growth := p.share(t, slots), p.expectedUsage(now, t), state.growthSince(now-age-reportDelay)
	if growth >= maxGrowth(float64(own)) || state.spareSlots(now) > 0 && countSince(state.starts, now-rejectionDelay) >= maxUnanswered(limit, others.hosts+1) {
		return false
	}
	unreported := others.hosts * max(0, growth)
	if t.ownUsage.Running < own {
		// Slots that the others have taken from this host's share are free only once their
		// reports say so.
		return others.running+own <= slots || usage.Running+unreported+1 <= slots
	}
	return t.ownUsage.Running+others.running+others.reserve+unreported+1 <= slots && t.fits(usage, r, others.reserve)
}

// rejectionInterval returns the time that must pass for each rejection that a host causes,
// so that all hosts together stay below the limit.
func rejectionInterval(limit, hosts int) time.Duration {
	return time.Duration(float64(hosts) / (rejectionShare * float64(limit)) * float64(time.Second))
}

// maxUnanswered returns the number of requests that a host may have under way to a target
// that has recently rejected one.
func maxUnanswered(limit, hosts int) int {
	return max(1, int(rejectionShare*float64(limit)/float64(hosts)))
}

// otherUsage is the usage of a target that is expected of the other hosts.
type otherUsage struct {
	// hosts is the number of hosts, running the highest recent usage of all of them.
	hosts, running int
	// reserve is the number of slots to keep free for hosts that use less than their share.
	reserve int
}

// maxGrowth returns the number of slots by which a host with a share may increase its use
// of a target before the other hosts see it.
func maxGrowth(share float64) int { return max(1, int(math.Ceil(growthFraction*share))) }

// expectedUsage returns the usage of a target that is expected of the other hosts.
func (p *Placer) expectedUsage(now time.Duration, t *Target) (out otherUsage) {
	out.hosts = max(len(p.otherHosts), len(t.usagePeaks))
	even := float64(t.Slots) / float64(out.hosts+1)
	growth, silent := min(even, float64(maxGrowth(even))), out.hosts
	reserve := 0.0
	add := func(running int) {
		out.running += running
		reserve += min(growth, max(0, even-float64(running)))
		silent--
	}
	for _, peak := range t.usagePeaks {
		if now-peak.receivedAt <= usageReportTTL {
			add(peak.running())
		}
	}
	for i, u := range t.hostUsage {
		r := &p.hostReports[i]
		if _, counted := t.usagePeaks[r.host]; !counted && u.Running > 0 && r.fresh(now) {
			add(u.Running)
		}
	}
	reserve += growth * float64(max(0, silent))
	if p.limitShare == nil {
		reserve = max(reserve, growthFraction*float64(t.Slots))
	}
	out.reserve = int(math.Ceil(reserveReports * reserve))
	return out
}

// growthSince returns by how much this host's use of the target has grown since a time.
func (s *rejections) growthSince(since time.Duration) int {
	return countSince(s.starts, since) - countSince(s.ends, since)
}

func countSince(times []time.Duration, since time.Duration) int {
	n := len(times)
	for n > 0 && times[n-1] > since {
		n--
	}
	return len(times) - n
}

// addRecent adds a time and drops those that no report can lack.
func addRecent(times []time.Duration, now time.Duration) []time.Duration {
	for len(times) > 0 && now-times[0] > usageReportTTL+reportDelay {
		times = times[1:]
	}
	return append(times, now)
}

// fits reports whether the memory of an engine suffices for a request, and for others in
// the reserved slots. An idle engine takes any request.
func (t *Target) fits(u Usage, r *Request, reserve int) bool {
	if t.cache == nil || u.Running == 0 {
		return true
	}
	reserved := float64(reserve) / float64(t.Slots)
	return float64(u.MemoryTokens+r.PromptTokens+r.OutputTokens) <= (memoryFraction-reserved)*float64(t.CacheTokens)
}

func (s *rejections) spareSlots(now time.Duration) int {
	if now >= s.spareUntil {
		return 0
	}
	return s.spare
}

// startBrittle records a request to a target that may be brittle.
func (p *Placer) startBrittle(now time.Duration, a *Attempt) {
	if p.brittleNow(now, a.target.Service) != nil {
		a.counted = true
		a.availability.rejections.starts = addRecent(a.availability.rejections.starts, now)
	}
}

// endBrittle records the end of an attempt.
func (p *Placer) endBrittle(now time.Duration, a *Attempt) {
	if a.counted {
		a.availability.rejections.ends = addRecent(a.availability.rejections.ends, now)
	}
}

// observeBrittle records what a response says about the target's brittleness, and a
// rejection by a brittle target.
func (p *Placer) observeBrittle(now time.Duration, a *Attempt, s Statement) (out []Change) {
	t, state := a.target, &a.availability.rejections
	service := p.brittle[t.Service]
	if s.Brittle > 0 {
		service = p.recordBrittle(t.Service, s.Brittle, now)
		service.own = BrittleTarget{t.ID, a.availability.startMillis, s.Brittle, now}
	} else if service != nil && service.own.Target == t.ID {
		service.own = BrittleTarget{}
	}
	if service != nil {
		state.limit, state.statedAt = s.Brittle, now
	}
	if !s.Rejected || s.Brittle == 0 {
		return nil
	}
	hosts := max(len(p.otherHosts), len(t.usagePeaks)) + 1
	state.blockedUntil = max(state.blockedUntil, now) + rejectionInterval(s.Brittle, hosts)
	state.spare = min(state.spareSlots(now)+1, max(1, int(spareFraction*float64(t.Slots))))
	state.spareUntil = now + spareTTL
	return []Change{{Target: t.ID, Service: t.Service, Cause: CauseRejection, Until: state.blockedUntil}}
}

// recordBrittle records that a target of a service is brittle.
func (p *Placer) recordBrittle(service string, limit int, statedAt time.Duration) *brittleService {
	s := p.brittle[service]
	if s == nil {
		s = &brittleService{}
		p.brittle[service] = s
	}
	if statedAt >= s.statedAt {
		s.limit, s.statedAt = limit, statedAt
	}
	return s
}

// RecentlyBrittle returns the newest recent statement of each service to this host.
func (p *Placer) RecentlyBrittle(now time.Duration) (out []BrittleTarget) {
	for _, s := range p.brittle {
		if s.own.Limit > 0 && now-s.own.StatedAt <= brittleReportTime {
			out = append(out, s.own)
		}
	}
	return out
}

// RecordBrittle records the statement of a target to another host.
func (p *Placer) RecordBrittle(b BrittleTarget) {
	if t := p.targets[b.Target]; t != nil && !t.Remote && b.Limit > 0 {
		p.recordBrittle(t.Service, b.Limit, b.StatedAt)
	}
}

// brittleChanges returns the services that have become brittle or no longer are since the
// last call.
func (p *Placer) brittleChanges(now time.Duration) (out []Change) {
	for name, s := range p.brittle {
		current, brittle := p.brittleNow(now, name), false
		for _, t := range p.byService[name] {
			brittle = brittle || t.rejectionLimit(current) > 0
		}
		if brittle != s.logged {
			s.logged = brittle
			out = append(out, Change{Service: name, Cause: CauseBrittle, Limit: s.limit, Ended: !brittle})
		}
		if current == nil {
			delete(p.brittle, name)
		}
	}
	return out
}

// roomIn returns the expected time until a brittle target has room for a request.
func (p *Placer) roomIn(now time.Duration, t *Target, r *Request) time.Duration {
	if p.hasRoom(now, t, r, p.brittleNow(now, t.Service)) {
		return 0
	}
	return max(t.availability.rejections.blockedUntil-now, min(maxRoomWait, time.Duration(t.averageDuration)))
}
