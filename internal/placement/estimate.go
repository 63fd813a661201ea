package placement

import "time"

const (
	// memoryShare of an engine's memory may be planned for; the rest covers
	// answers that are longer than stated.
	memoryFraction = 0.95
	// fetchCost is the cost of a prompt token that is fetched from another target,
	// on the same scale.
	fetchCostPerToken = 1.25e-5
	// missCost is the cost of one prompt token that is read again though another
	// target has it, as a part of the credit of a request: a shared prompt of
	// 6,300 tokens costs about a third of a request.
	missCostPerToken = 4.6e-5
	// easyPart of the objective costs little; from there to the objective the cost
	// rises to that of a late answer.
	earlyFraction = 0.45
	earlyCost     = 0.1
	lateCost      = 0.75
	// laterCost is added for each further objective of lateness.
	overdueCost = 0.25
	// unfinishedCost is added when the answer is not expected to end in time.
	timeoutCost = 0.8
	// outputPart of the stated output is usual; the statement is a maximum.
	outputFraction = 0.9
)

// Expectation is what a request may expect at a target.
type Estimate struct {
	// Wait is the time to the first byte, Total the time to the end of the answer.
	TTFB, Total time.Duration
	// Alone is the time to the first byte at a target without other work.
	IdleTTFB time.Duration
}

// rate estimates how a request would fare at a target. from has the targets that it
// may fetch parts of the prompt from.
func (p *Placer) evaluate(now time.Duration, t *Target, r *Request, sources fetchSources) Choice {
	c := Choice{Target: t}
	c.Usage, c.UsageAge = t.totalUsage(now)
	if t.cache == nil {
		c.Estimate = t.estimateService(c.Usage)
	} else {
		cached := t.cache.cachedTokens(r.keys, r.Segments)
		c.Cost = missCostPerToken * float64(p.recentTokensAfter(now, r, cached))
		if source := sources.excluding(t); source.target != nil {
			fetchCost := missCostPerToken*float64(p.recentTokensAfter(now, r, source.tokens)) + fetchCostPerToken*float64(source.tokens-cached)
			if fetchCost < c.Cost {
				c.Source, c.Cost, cached = source.target, fetchCost, source.tokens
			}
		}
		c.CachedTokens = cached
		c.Estimate = p.estimateEngine(t, c.Usage, r, float64(r.PromptTokens-cached))
	}
	c.Cost += delayCost(c.TTFB, r.Objective) + t.failureRate(now)
	if r.TimeLeft > 0 && c.Total > r.TimeLeft {
		c.Cost += timeoutCost
	}
	return c
}

// recentBeyond counts the shared tokens behind the first ones that some target has
// read lately: reading them again is wasted work.
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

// sharedTokens are those of all parts but the last one, which belongs to the
// request alone.
func sharedTokens(segments []PromptSegment) int64 {
	var total int64
	for _, segment := range segments[:max(0, len(segments)-1)] {
		total += segment.Tokens
	}
	return total
}

// delayCost is the expected loss of an answer whose first byte takes the time.
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

// expectEngine models an engine: a request waits for a slot and for memory, then
// its prompt is read behind those that came before, in chunks between the steps of
// running requests.
func (p *Placer) estimateEngine(t *Target, u Usage, r *Request, uncached float64) Estimate {
	step := float64(p.engine.Step) + float64(p.engine.StepPerRequest)*float64(min(u.Running, t.Slots))
	chunkTime := p.engine.ChunkTokens / p.engine.PrefillRate * float64(time.Second)
	prefill := (u.PrefillTokens + max(0, uncached)) / p.engine.PrefillRate * float64(time.Second) * (1 + step/chunkTime)
	ttfb := float64(p.engine.MinFirstToken) + prefill
	idleTTFB := float64(p.engine.MinFirstToken) + p.engine.prefillTime(uncached)
	if excess := u.Running + 1 - t.Slots; excess > 0 {
		ttfb += t.averageDuration * float64(excess) / float64(t.Slots)
	}
	if excess := float64(u.MemoryTokens+r.PromptTokens+r.OutputTokens) - memoryFraction*float64(t.CacheTokens); excess > 0 {
		ttfb += t.averageDuration * excess / float64(t.CacheTokens)
	}
	// While prompts are read, each step takes a chunk longer.
	prefillDelay := min(1, u.PrefillTokens/p.engine.ChunkTokens) * chunkTime / 2
	total := ttfb + outputFraction*float64(r.OutputTokens)*(step+prefillDelay)
	return Estimate{time.Duration(ttfb), time.Duration(total), time.Duration(idleTTFB)}
}

// readTime is the time in nanoseconds that an idle engine takes to read a prompt.
func (e Engine) prefillTime(tokens float64) float64 {
	return max(0, tokens) / e.PrefillRate * float64(time.Second) * (1 + float64(e.Step)*e.PrefillRate/e.ChunkTokens/float64(time.Second))
}

// expectService models a plain service: requests beyond its slots wait for one.
func (t *Target) estimateService(u Usage) Estimate {
	ttfb := t.averageDuration*(1+max(0, float64(u.Running+1-t.Slots))/float64(t.Slots)) + float64(u.Running)*float64(time.Millisecond)
	return Estimate{time.Duration(ttfb), time.Duration(ttfb), time.Duration(t.averageDuration)}
}

const (
	// usualPrompt, usualOutput and usualObjective are those of the request that
	// stands for the load of a service.
	typicalPromptTokens = 1500
	typicalOutputTokens = 200
	typicalObjective    = 600 * time.Millisecond
)

// Usual returns what a usual request may expect, and false when no target can take
// one.
func (p *Placer) TypicalEstimate(now time.Duration, service string) (Estimate, bool) {
	c, ok := p.Choose(now, &Request{Service: service, PromptTokens: typicalPromptTokens, OutputTokens: typicalOutputTokens, Objective: typicalObjective}, nil)
	return c.Estimate, ok
}

// PerToken is the expected time for each token of the answer to a usual request.
func (e Estimate) TimePerToken() time.Duration { return (e.Total - e.TTFB) / typicalOutputTokens }

const (
	// byteCost is the cost of a byte between regions, as a part of the credit of a
	// usual request.
	crossRegionByteCost = 2.4e-6
	// answerBytes is the size of an answer for each token.
	answerBytesPerToken = 20
	// remoteMiss is the part of the shared prompt that another region is assumed to
	// read again.
	remoteMissFraction = 0.5
)

// RemoteCost is the expected loss of a request that is served in another region.
func RemoteCost(e Estimate, r *Request, bodyBytes int) float64 {
	cost := delayCost(e.TTFB, r.Objective) + missCostPerToken*remoteMissFraction*float64(sharedTokens(r.Segments)) +
		crossRegionByteCost*float64(int64(bodyBytes)+answerBytesPerToken*r.OutputTokens)
	if r.TimeLeft > 0 && e.Total > r.TimeLeft {
		cost += timeoutCost
	}
	return cost
}
