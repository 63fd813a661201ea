package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Hosts whose views of the targets are equally old would all choose the target that was
// the least loaded one when it last reported, until the next reports show that it no
// longer is. A host therefore assumes that the others have gone on sending what they
// usually send since their reports, and that they level the costs of the targets with it.
// It chooses a target with the probability with which one of these requests went there.
//
// Requests whose shared prompt is cached at a target are left out: they go there.

const (
	// arrivalWindow is the time over which the rate of requests is averaged.
	arrivalWindow = 2 * time.Second
	// minSpreadHosts is the number of reporting hosts from which on requests are spread.
	// With fewer, a host knows most of the requests itself.
	minSpreadHosts = 4
	// minUnseenRequests is the number of unreported requests of other hosts below which
	// the target with the lowest cost is chosen.
	minUnseenRequests = 0.5
	// maxSpreadCost is the most by which the cost of the chosen target may exceed the
	// lowest one because of requests that are only assumed.
	maxSpreadCost = 0.2
	// minCostIncrease is the least by which one more request is assumed to raise the cost
	// of a target.
	minCostIncrease = 0.002
)

// arrivalRate is the decaying average of the work that arrives in a second.
type arrivalRate struct {
	perSecond float64
	at        time.Duration
}

func (r *arrivalRate) record(now time.Duration, work float64) {
	r.perSecond = r.current(now) + work/arrivalWindow.Seconds()
	r.at = now
}

func (r *arrivalRate) current(now time.Duration) float64 {
	if r.perSecond == 0 {
		return 0
	}
	return r.perSecond * math.Exp(-(now-r.at).Seconds()/arrivalWindow.Seconds())
}

// work returns what a request adds to the load of a target, of which cached prompt tokens
// need not be prefilled: prompt tokens at an engine, requests at a plain target.
func (t *Target) work(r *Request, cached int64) float64 {
	if t.cache == nil {
		return 1
	}
	return float64(max(1, r.PromptTokens-cached))
}

// boundByCache reports whether a target has enough of the shared prompt of a request
// cached to be preferred to targets with less load.
func (t *Target) boundByCache(r *Request) bool {
	shared := sharedTokens(r.Segments)
	return t.cache != nil && shared >= minSharedTokens && t.cache.cachedTokens(r.keys, r.Segments) >= shared
}

// recordArrival records that this host sends a request to a target.
func (p *Placer) recordArrival(now time.Duration, t *Target, r *Request) {
	if t.boundByCache(r) {
		return
	}
	rate := p.arrivals[t.Service]
	if rate == nil {
		rate = &arrivalRate{}
		p.arrivals[t.Service] = rate
	}
	cached := int64(0)
	if t.cache != nil {
		cached = t.cache.cachedTokens(r.keys, r.Segments)
	}
	rate.record(now, t.work(r, cached))
}

// unseenWork returns the expected work that other hosts have sent to the service of a
// target since their last reports and that is not done yet, if each sends as much as this
// one.
func (p *Placer) unseenWork(now time.Duration, t *Target) float64 {
	rate := p.arrivals[t.Service]
	if rate == nil {
		return 0
	}
	duration, total, hosts := p.serviceDuration(now, t), 0.0, 0
	for i := range p.hostReports {
		r := &p.hostReports[i]
		if !r.fresh(now) {
			continue
		}
		age := now - r.at + reportDelay
		hosts++
		if t.cache != nil {
			total += age.Seconds()
		} else {
			total += duration / float64(time.Second) * (1 - remaining(age, duration))
		}
	}
	if hosts < minSpreadHosts {
		return 0
	}
	return rate.current(now) * total
}

// spread returns the choice for a request among those that were evaluated, of which best
// has the lowest cost.
func (p *Placer) spread(now time.Duration, r *Request, best Choice, evaluated []Choice) Choice {
	if p.Policy != ExpectedCost && p.Policy != "" || len(evaluated) < 2 || best.Target.boundByCache(r) {
		return best
	}
	unseen := p.unseenWork(now, best.Target) / best.Target.work(r, best.CachedTokens)
	if unseen < minUnseenRequests {
		return best
	}
	near := make([]int, 0, len(evaluated))
	for i := range evaluated {
		if evaluated[i].Cost <= best.Cost+maxSpreadCost {
			near = append(near, i)
		}
	}
	slices.SortStableFunc(near, func(a, b int) int { return cmp.Compare(evaluated[a].Cost, evaluated[b].Cost) })
	costs, capacities := make([]float64, len(near)), make([]float64, len(near))
	for i, n := range near {
		costs[i], capacities[i] = evaluated[n].Cost, 1/p.costIncrease(now, &evaluated[n], r)
	}
	return evaluated[near[drawLevelled(costs, capacities, unseen, p.rand.Float64())]]
}

// costIncrease returns by how much one more request like r raises the cost of a target.
func (p *Placer) costIncrease(now time.Duration, c *Choice, r *Request) float64 {
	uncached := float64(r.PromptTokens - c.CachedTokens)
	u, e := c.Usage.add(Usage{Running: 1, MemoryTokens: r.PromptTokens + r.OutputTokens, PrefillTokens: uncached}), Estimate{}
	if c.Target.cache == nil {
		e = p.estimateService(now, c.Target, u)
	} else {
		e, _ = p.estimateEngine(now, c.Target, u, r, uncached)
	}
	deviation := c.Target.deviation(now)
	return max(minCostIncrease, expectedDelayCost(e, deviation, r.Objective)-expectedDelayCost(c.Estimate, deviation, r.Objective))
}

// drawLevelled assigns a number of requests to targets so that the highest cost among
// those that get any is lowest. costs are sorted, and capacities are the requests that
// raise the cost of each target by 1. It returns the index of the target of one of these
// requests, which draw in [0, 1) selects.
func drawLevelled(costs, capacities []float64, requests, draw float64) int {
	// With the first n targets filled up to a level, the requests among them are
	// level * capacity - filled.
	capacity, filled, n, level := 0.0, 0.0, 0, 0.0
	for n < len(costs) && (n == 0 || costs[n]*capacity-filled < requests) {
		capacity += capacities[n]
		filled += costs[n] * capacities[n]
		n++
		level = (requests + filled) / capacity
	}
	remaining := draw * requests
	for i := range n {
		if remaining -= (level - costs[i]) * capacities[i]; remaining < 0 {
			return i
		}
	}
	return n - 1
}
