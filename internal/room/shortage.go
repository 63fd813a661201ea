package room

import (
	"math"
	"time"
)

const (
	// sampleTime is the time in which the weight of a counted request falls to 1/e. It is long
	// against the age of views, so that the hosts do not swing between too much and too little.
	sampleTime = 3 * time.Second
	// maxReportAge is the age from which the counts of another host are ignored.
	maxReportAge = 2500 * time.Millisecond
	// minAsked is added to the number of requests, so that a few of them are no shortage.
	minAsked = 2
	// pressureGain is the pressure for each unit of the fraction of requests that are short of
	// room.
	pressureGain = 2
	// shortFrom is the part of its wait from which on a request begins to count as short.
	shortFrom = 0.5
	// minPressingWait is the least wait that pressing requests are taken to have, so that a few
	// with hardly any do not close targets that are all but idle.
	minPressingWait = 50 * time.Millisecond
	// aggregateTime is how long a sum over hosts is used again.
	aggregateTime = 20 * time.Millisecond
	// maxPriority is the largest priority that is told apart.
	maxPriority = 3
	// LevelCount is the number of levels.
	LevelCount = 2 * (maxPriority + 1)
)

// Level ranks requests by how little they can give way: by priority, and within one
// priority those first that are bound to regions.
type Level int

// LevelOf returns the level of a request. Priority 0 is the most urgent.
func LevelOf(priority int, bound bool) Level {
	l := Level(2 * min(max(0, priority), maxPriority))
	if !bound {
		l++
	}
	return l
}

func (l Level) priority() int { return int(l) / 2 }

// Shortness returns how short of room a request is, from 0 to 1, that may wait for its
// first byte up to limit, is expected to get it after ttfb and would get it after idle at
// a target without other work.
func Shortness(ttfb, idle, limit time.Duration) float64 {
	if ttfb >= limit {
		return 1
	}
	used := float64(ttfb-idle) / float64(limit-idle)
	return min(1, max(0, (used-shortFrom)/(1-shortFrom)))
}

// Count is the number of recent requests of a level, those among them that were short of
// room, and the mean wait that they may have at a target.
type Count struct {
	Service     string
	Level       Level
	Asked       float64
	Short       float64
	AllowedWait time.Duration
}

type counter struct {
	asked, short, wait float64 // wait is the sum of the allowed waits, in nanoseconds
	at                 time.Duration
}

func (c *counter) decayTo(now time.Duration) {
	if now > c.at {
		f := math.Exp(-float64(now-c.at) / float64(sampleTime))
		c.asked, c.short, c.wait, c.at = c.asked*f, c.short*f, c.wait*f, now
	}
}

func (c *counter) add(d counter) {
	c.asked, c.short, c.wait = c.asked+d.asked, c.short+d.short, c.wait+d.wait
}

type levels [LevelCount]counter

type report struct {
	at     time.Duration
	levels map[string]*levels
}

// Shortages knows how short of room the requests of each service and level are in this
// region: those of this host, and those that other hosts report. All hosts derive the same
// pressure from the same counts; there is no state of its own that could drift apart.
type Shortages struct {
	own   map[string]*levels
	hosts map[string]report
	sums  map[string]*sum
	// reportedAt is the time of the last report of counts, if there was one.
	reportedAt time.Duration
	reported   bool
}

type sum struct {
	at     time.Duration
	levels levels
}

// NewShortages returns an empty Shortages.
func NewShortages() *Shortages {
	return &Shortages{own: map[string]*levels{}, hosts: map[string]report{}, sums: map[string]*sum{}}
}

// Record counts a request that came to this host. One that would be late without other work as
// well is not counted, as nothing that others leave to it helps.
func (s *Shortages) Record(now time.Duration, service string, level Level, short float64, allowedWait time.Duration) {
	if allowedWait <= 0 {
		return
	}
	l := s.own[service]
	if l == nil {
		l = &levels{}
		s.own[service] = l
	}
	c := &l[level]
	c.decayTo(now)
	c.add(counter{asked: 1, short: short, wait: float64(allowedWait)})
}

// reportInterval is the time between reports of counts. It is short against sampleTime.
const reportInterval = 250 * time.Millisecond

// Report returns the counts of this host for a report to the others; nil if the last one is
// still new. Services with one level have nothing to tell, unless other hosts know more.
func (s *Shortages) Report(now time.Duration) []Count {
	if s.reported && now-s.reportedAt < reportInterval {
		return nil
	}
	s.reported, s.reportedAt = true, now
	var out []Count
	for service, l := range s.own {
		if len(s.Total(now, service)) > 1 {
			out = append(out, l.counts(now, service)...)
		}
	}
	return out
}

// Total returns the counts of the region for a service, for the hosts of other regions.
func (s *Shortages) Total(now time.Duration, service string) []Count {
	return s.sum(now, service).counts(now, service)
}

// minReported is the number of recent requests below which a level is not reported.
const minReported = 0.05

func (l *levels) counts(now time.Duration, service string) []Count {
	var out []Count
	for level := range l {
		c := &l[level]
		if c.decayTo(now); c.asked >= minReported {
			out = append(out, Count{service, Level(level), c.asked, c.short, time.Duration(c.wait / c.asked)})
		}
	}
	return out
}

// Merge replaces the counts that another host of the region reported at a time. Reports may
// arrive in any order, and those without counts change nothing.
func (s *Shortages) Merge(host string, at time.Duration, counts []Count) {
	if len(counts) == 0 || at < s.hosts[host].at {
		return
	}
	r := report{at: at}
	for _, c := range counts {
		if c.Level < 0 || c.Level >= LevelCount || !(c.Asked > 0) || !(c.Short >= 0) || c.AllowedWait < 0 {
			continue // of a host that counts differently
		}
		if r.levels == nil {
			r.levels = map[string]*levels{}
		}
		l := r.levels[c.Service]
		if l == nil {
			l = &levels{}
			r.levels[c.Service] = l
		}
		l[c.Level] = counter{c.Asked, min(c.Short, c.Asked), c.Asked * float64(c.AllowedWait), at}
	}
	s.hosts[host] = r
}

// sum returns the sum over the hosts of the region.
func (s *Shortages) sum(now time.Duration, service string) *levels {
	t := s.sums[service]
	if t != nil && now-t.at < aggregateTime {
		return &t.levels
	}
	t = &sum{at: now}
	s.sums[service] = t
	add := func(l *levels) {
		for i := range l {
			if c := l[i]; c.asked > 0 {
				c.decayTo(now)
				t.levels[i].add(c)
			}
		}
	}
	if l := s.own[service]; l != nil {
		add(l)
	}
	for host, r := range s.hosts {
		if now-r.at > maxReportAge {
			delete(s.hosts, host)
			continue
		}
		if l := r.levels[service]; l != nil {
			add(l)
		}
	}
	for i := range t.levels {
		t.levels[i].at = now
	}
	return &t.levels
}

// Pressure is how much a request should give way to others in this region.
type Pressure struct {
	// Yield, from 0 to 1, is the pressure of more urgent requests: the request is refused
	// before they are. Move is that of requests that it should make room for by going elsewhere:
	// those, and as urgent ones that are bound to regions while it is not.
	Yield, Move float64
	// Wait is the wait that the most pressed of the more urgent requests may have at a target.
	Wait time.Duration
}

// Pressure returns the pressure on requests of a level.
func (s *Shortages) Pressure(now time.Duration, service string, level Level) Pressure {
	var p Pressure
	for i, c := range s.sum(now, service)[:level] {
		pressure := min(1, pressureGain*c.short/(c.asked+minAsked))
		p.Move = max(p.Move, pressure)
		if Level(i).priority() < level.priority() && pressure > p.Yield {
			p.Yield, p.Wait = pressure, max(minPressingWait, time.Duration(c.wait/c.asked))
		}
	}
	return p
}

// LimitAt returns the longest expected TTFB at which a request is accepted under the
// pressure, where limit applies without it. Its wait falls to that of the pressing requests
// while the pressure is low, so that it takes no place that they are refused, and then to
// idleWait of that: targets that are all but idle serve all the same.
// draw, from 0 to 1, is that of the request: it spreads the limits about their mean, so that
// many hosts with the same old view do not accept all requests at one moment and none at the next.
func (p Pressure) LimitAt(limit, idle time.Duration, draw float64) time.Duration {
	if p.Yield <= 0 || limit <= idle {
		return limit
	}
	wait, equal := float64(limit-idle), min(1, equalAt*p.Yield)
	wait += (min(wait, float64(p.Wait)) - wait) * equal
	return min(limit, idle+time.Duration(wait*(1-(1-idleWait)*p.Yield)*(1+equal*(2*draw-1))))
}

// equalAt is the inverse of the pressure at which less urgent requests may wait no longer
// than the pressing ones.
const equalAt = 4

// idleWait is the part of the wait of the pressing requests that others may have at full
// pressure.
const idleWait = 0.02
