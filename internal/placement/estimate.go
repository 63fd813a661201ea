package placement

import (
	"math"
	"time"
)

const (
	// memoryFraction of an engine's memory is used for planning; the rest covers
	// responses that are longer than the request stated.
	memoryFraction = 0.95
	// fetchCostPerToken is the cost of a prompt token that is fetched from another
	// target, as a fraction of the credit of a request.
	fetchCostPerToken = 1.25e-5
	// missCostPerToken is the cost of a prompt token that is prefilled although another
	// target has it cached, as a fraction of the credit of a request: a shared prompt of
	// 6,300 tokens costs about a third of a request.
	missCostPerToken = 4.6e-5
	// earlyFraction of the objective is the TTFB up to which the cost rises only to
	// earlyCost. From there to the objective the cost rises to lateCost.
	earlyFraction = 0.45
	earlyCost     = 0.1
	lateCost      = 0.75
	// overdueCost is added for each multiple of the objective by which the TTFB exceeds
	// it.
	overdueCost = 0.25
	// timeoutCost is the cost of a response that does not end before the caller's timeout.
	timeoutCost = 0.8
	// lengthExponent tells how well the end of a response is known: the chance that it comes
	// after k times the expected time is 1 / (1 + k^lengthExponent). Callers estimate their
	// responses to within a factor of two in most cases.
	lengthExponent = 2.5
	// outputFraction of the stated output is the expected length of a response; the
	// request states a maximum.
	outputFraction = 0.9
)

// Estimate is the expected latency of a request at a target.
type Estimate struct {
	// TTFB is the time to the first byte, Total the time to the end of the response.
	TTFB, Total time.Duration
	// IdleTTFB is the time to the first byte at an idle target.
	IdleTTFB time.Duration
}

// expectedDelayCost returns the expected cost of a TTFB whose mean error is known: the cost
// of what hosts do not know of each other's requests.
func expectedDelayCost(e Estimate, deviation, objective time.Duration) float64 {
	if deviation <= 0 {
		return delayCost(e.TTFB, objective)
	}
	return delayCost(max(e.IdleTTFB, e.TTFB-deviation), objective)/2 + delayCost(e.TTFB, objective)/4 + delayCost(e.TTFB+2*deviation, objective)/4
}

// evaluate estimates the latency and the cost of a request at a target. sources are
// the targets from which it may fetch cached segments of the prompt, by software.
func (p *Placer) evaluate(now time.Duration, t *Target, r *Request, sources map[string]*fetchSources, view sharedView) Choice {
	c := Choice{Target: t}
	c.Usage, c.UsageAge = p.estimatedUsage(now, t, view)
	if t.cache == nil {
		c.Estimate = p.estimateService(now, t, c.Usage)
	} else {
		cached := t.cache.cachedTokens(r.keys, r.Segments)
		c.Cost = missCostPerToken * float64(p.recentTokensAfter(now, r, cached))
		if source := sources[t.Software].excluding(t); source.target != nil {
			fetchCost := missCostPerToken*float64(p.recentTokensAfter(now, r, source.tokens)) + fetchCostPerToken*float64(source.tokens-cached)
			if fetchCost < c.Cost {
				c.Source, c.Cost, cached = source.target, fetchCost, source.tokens
			}
		}
		c.CachedTokens = cached
		c.Estimate, c.waits = p.estimateEngine(now, t, c.Usage, r, float64(r.PromptTokens-cached))
	}
	c.Cost += expectedDelayCost(c.Estimate, t.deviation(now), r.Objective) + t.failureRate(now)
	if p.DataCentre != "" && t.DataCentre != p.DataCentre {
		c.Cost += crossDataCentreByteCost * float64(r.transferBytes())
	}
	c.Cost += cutCost(c.Estimate, r)
	return c
}

// recentTokensAfter counts the shared tokens of the prompt, without its first skip
// tokens, that any target has prefilled within the reuse window. Prefilling them again is
// wasted work.
func (p *Placer) recentTokensAfter(now time.Duration, r *Request, skip int64) int64 {
	var end, total int64
	for i, segment := range r.Segments[:max(0, len(r.Segments)-1)] {
		end += segment.Tokens
		if lastUsed, ok := p.lastUsed[r.keys[i]]; end > skip && ok && now-lastUsed <= p.ReuseWindow {
			total += min(segment.Tokens, end-skip)
		}
	}
	return total
}

// sharedTokens returns the tokens of all segments but the last one, which is specific
// to the request.
func sharedTokens(segments []PromptSegment) int64 {
	var total int64
	for _, segment := range segments[:max(0, len(segments)-1)] {
		total += segment.Tokens
	}
	return total
}

// cutCost returns the cost of the chance that a response does not end in time. A response
// whose length nobody estimates is assumed to end as expected.
func cutCost(e Estimate, r *Request) float64 {
	switch {
	case r.TimeLeft <= 0 || e.Total <= 0:
		return 0
	case r.ExpectedOutput > 0:
		return timeoutCost / (1 + math.Pow(float64(r.TimeLeft)/float64(e.Total), lengthExponent))
	case e.Total > r.TimeLeft:
		return timeoutCost
	}
	return 0
}

// delayCost returns the cost of a TTFB, as a fraction of the credit of a request.
func delayCost(ttfb, objective time.Duration) float64 {
	if objective <= 0 {
		objective = time.Second
	}
	ratio := float64(ttfb) / float64(objective)
	switch {
	case ratio <= earlyFraction:
		return earlyCost * ratio / earlyFraction
	case ratio <= 1:
		return earlyCost + (lateCost-earlyCost)*(ratio-earlyFraction)/(1-earlyFraction)
	}
	return lateCost + overdueCost*(ratio-1)
}

// estimateEngine returns the estimate of a request at an engine: it waits for a slot and
// for memory, then its prompt is read after those ahead of it, and its response goes on
// between the steps in which prompts that go on arriving are read. uncached is the number of
// prompt tokens that the engine has to read. waits means that a slot or memory is missing.
func (p *Placer) estimateEngine(now time.Duration, t *Target, u Usage, r *Request, uncached float64) (e Estimate, waits bool) {
	f := t.calibration.Rates(now).Forecast(t.engineLoad(now, u), max(0, uncached), r.expectedOutput())
	ttfb := float64(f.First())
	if excess := u.Running + 1 - t.Slots; excess > 0 {
		ttfb += t.averageDuration * float64(excess) / float64(t.Slots)
		waits = true
	}
	if excess := float64(u.MemoryTokens+r.PromptTokens+r.OutputTokens) - memoryFraction*float64(t.CacheTokens); excess > 0 {
		ttfb += t.averageDuration * excess / float64(t.CacheTokens)
		waits = true
	}
	return Estimate{time.Duration(ttfb), time.Duration(ttfb) + f.Stream, f.Idle}, waits
}

// estimateService models a plain service: requests beyond its slots wait for a free
// one. The number of requests in progress is uncertain, because other hosts' reports are
// old, so that the expected wait rises before the slots are known to be taken.
func (p *Placer) estimateService(now time.Duration, t *Target, u Usage) Estimate {
	duration := p.expectedDuration(now, t, u)
	ttfb := duration * (1 + expectedExcess(float64(u.Running+1-t.Slots), usageDeviation*math.Sqrt(float64(u.Running+1)))/float64(t.Slots))
	return Estimate{time.Duration(ttfb), time.Duration(ttfb), time.Duration(duration)}
}

const (
	// usageDeviation is the standard deviation of the requests in progress at a target, in
	// square roots of their known number.
	usageDeviation = 1
	// outlierFactor is the ratio to the average of a service from which on the average
	// duration of a target exceeds it by more than chance.
	outlierFactor = 2
	// minDurationSamples is the number of requests from which on the average duration of a
	// target counts.
	minDurationSamples = 8
)

// expectedExcess returns the expected part above 0 of a quantity with a logistic
// distribution.
func expectedExcess(mean, deviation float64) float64 {
	scale := deviation * math.Sqrt(3) / math.Pi
	if mean > 30*scale {
		return mean
	}
	return scale * math.Log1p(math.Exp(mean/scale))
}

// expectedDuration returns the average duration of requests to a plain target: that of its
// service, unless the target is clearly slower. Averages of few requests would
// otherwise outweigh the load of targets. While none is running, a higher average
// approaches that of the service: a target that was slow would otherwise be avoided for
// good, because only requests renew its average.
func (p *Placer) expectedDuration(now time.Duration, t *Target, u Usage) float64 {
	average := p.serviceDuration(now, t)
	own := t.averageDuration
	if u.Running == 0 && own > average {
		own = average + (own-average)*decay(now-t.durationAt, durationHalfLife)
	}
	if t.ended < minDurationSamples || own < average*outlierFactor {
		return average
	}
	return own
}

const (
	// typicalPromptTokens, typicalOutputTokens and typicalObjective describe the
	// reference request whose estimate is reported as the load of a service.
	typicalPromptTokens = 1500
	typicalOutputTokens = 200
	typicalObjective    = 600 * time.Millisecond
)

// TypicalEstimate returns the estimate for a typical request, and false if no target
// can take one. If targets take none for a time, the estimate has that wait, so that hosts
// of other regions do not rely on an earlier one.
func (p *Placer) TypicalEstimate(now time.Duration, service string) (Estimate, bool) {
	r := &Request{Service: service, PromptTokens: typicalPromptTokens, OutputTokens: typicalOutputTokens, Objective: typicalObjective}
	if c, ok := p.Choose(now, r, nil); ok {
		return c.Estimate, true
	}
	wait, _ := p.AvailableIn(now, r)
	if wait <= 0 {
		return Estimate{}, false
	}
	wait = max(wait, maxRoomWait)
	return Estimate{TTFB: wait, Total: wait, IdleTTFB: wait}, true
}

// TimePerToken returns the expected time per output token of a typical request.
func (e Estimate) TimePerToken() time.Duration { return (e.Total - e.TTFB) / typicalOutputTokens }

const (
	// crossRegionByteCost is the cost of a byte that is transferred between regions, as
	// a fraction of the credit of a typical request.
	crossRegionByteCost = 2.4e-6
	// crossDataCentreByteCost is that of a byte between data centres of one region.
	crossDataCentreByteCost = 1.2e-6
	// responseBytesPerToken is the size of a response per output token.
	responseBytesPerToken = 20
	// remoteMissFraction of the shared prompt is assumed to be uncached in another
	// region.
	remoteMissFraction = 0.5
)

// transferBytes returns the expected size of the request and its response.
func (r *Request) transferBytes() int64 {
	return int64(r.BodyBytes) + responseBytesPerToken*r.OutputTokens
}

// RemoteCost returns the expected cost of serving a request in another region, as a
// fraction of its credit.
func RemoteCost(e Estimate, r *Request) float64 {
	cost := delayCost(e.TTFB, r.Objective) + missCostPerToken*remoteMissFraction*float64(sharedTokens(r.Segments)) +
		crossRegionByteCost*float64(r.transferBytes())
	return cost + cutCost(e, r)
}
