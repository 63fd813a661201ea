package placement

import "time"

const (
	// memoryShare of an engine's memory may be planned for; the rest covers
	// answers that are longer than stated.
	memoryShare = 0.95
	// fetchCost is the cost of a prompt token that is fetched from another target,
	// on the same scale.
	fetchCost = 1.25e-5
	// missCost is the cost of one prompt token that is read again though another
	// target has it, as a part of the credit of a request: a shared prompt of
	// 6,300 tokens costs about a third of a request.
	missCost = 4.6e-5
	// easyPart of the objective costs little; from there to the objective the cost
	// rises to that of a late answer.
	easyPart = 0.45
	easyCost = 0.1
	lateCost = 0.75
	// laterCost is added for each further objective of lateness.
	laterCost = 0.25
	// unfinishedCost is added when the answer is not expected to end in time.
	unfinishedCost = 0.8
	// outputPart of the stated output is usual; the statement is a maximum.
	outputPart = 0.9
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
func (p *Placer) rate(now time.Duration, t *Target, r *Request, from sources) Choice {
	c := Choice{Target: t}
	c.Usage, c.UsageAge = t.use(now)
	if t.cache == nil {
		c.Estimate = t.expectService(c.Usage)
	} else {
		hit := t.cache.hit(r.keys, r.Segments)
		c.Cost = missCost * float64(p.recentBeyond(now, r, hit))
		if s := from.besides(t); s.target != nil {
			fetched := missCost*float64(p.recentBeyond(now, r, s.tokens)) + fetchCost*float64(s.tokens-hit)
			if fetched < c.Cost {
				c.Source, c.Cost, hit = s.target, fetched, s.tokens
			}
		}
		c.CachedTokens = hit
		c.Estimate = p.expectEngine(t, c.Usage, r, float64(r.PromptTokens-hit))
	}
	c.Cost += delayCost(c.TTFB, r.Objective) + t.failureRate(now)
	if r.TimeLeft > 0 && c.Total > r.TimeLeft {
		c.Cost += unfinishedCost
	}
	return c
}

// recentBeyond counts the shared tokens behind the first ones that some target has
// read lately: reading them again is wasted work.
func (p *Placer) recentBeyond(now time.Duration, r *Request, first int64) int64 {
	var at, out int64
	for i, part := range r.Segments[:max(0, len(r.Segments)-1)] {
		at += part.Tokens
		if used, ok := p.used[r.keys[i]]; at > first && ok && now-used <= p.ReuseWindow {
			out += min(part.Tokens, at-first)
		}
	}
	return out
}

// sharedTokens are those of all parts but the last one, which belongs to the
// request alone.
func sharedTokens(parts []PromptSegment) int64 {
	var out int64
	for _, part := range parts[:max(0, len(parts)-1)] {
		out += part.Tokens
	}
	return out
}

// delayCost is the expected loss of an answer whose first byte takes the time.
func delayCost(wait, objective time.Duration) float64 {
	if objective <= 0 {
		objective = time.Second
	}
	x := float64(wait) / float64(objective)
	switch {
	case x <= easyPart:
		return easyCost * x / easyPart
	case x <= 1:
		return easyCost + (lateCost-easyCost)*(x-easyPart)/(1-easyPart)
	}
	return lateCost + laterCost*(x-1)
}

// expectEngine models an engine: a request waits for a slot and for memory, then
// its prompt is read behind those that came before, in chunks between the steps of
// running requests.
func (p *Placer) expectEngine(t *Target, u Usage, r *Request, unread float64) Estimate {
	step := float64(p.engine.Step) + float64(p.engine.StepPerRequest)*float64(min(u.Running, t.Slots))
	chunkTime := p.engine.ChunkTokens / p.engine.PrefillRate * float64(time.Second)
	read := (u.PrefillTokens + max(0, unread)) / p.engine.PrefillRate * float64(time.Second) * (1 + step/chunkTime)
	wait := float64(p.engine.MinFirstToken) + read
	alone := float64(p.engine.MinFirstToken) + p.engine.readTime(unread)
	if over := u.Running + 1 - t.Slots; over > 0 {
		wait += t.work * float64(over) / float64(t.Slots)
	}
	if over := float64(u.MemoryTokens+r.PromptTokens+r.OutputTokens) - memoryShare*float64(t.CacheTokens); over > 0 {
		wait += t.work * over / float64(t.CacheTokens)
	}
	// While prompts are read, each step takes a chunk longer.
	reading := min(1, u.PrefillTokens/p.engine.ChunkTokens) * chunkTime / 2
	total := wait + outputPart*float64(r.OutputTokens)*(step+reading)
	return Estimate{time.Duration(wait), time.Duration(total), time.Duration(alone)}
}

// readTime is the time in nanoseconds that an idle engine takes to read a prompt.
func (e Engine) readTime(tokens float64) float64 {
	return max(0, tokens) / e.PrefillRate * float64(time.Second) * (1 + float64(e.Step)*e.PrefillRate/e.ChunkTokens/float64(time.Second))
}

// expectService models a plain service: requests beyond its slots wait for one.
func (t *Target) expectService(u Usage) Estimate {
	wait := t.work*(1+max(0, float64(u.Running+1-t.Slots))/float64(t.Slots)) + float64(u.Running)*float64(time.Millisecond)
	return Estimate{time.Duration(wait), time.Duration(wait), time.Duration(t.work)}
}

const (
	// usualPrompt, usualOutput and usualObjective are those of the request that
	// stands for the load of a service.
	usualPrompt    = 1500
	usualOutput    = 200
	usualObjective = 600 * time.Millisecond
)

// Usual returns what a usual request may expect, and false when no target can take
// one.
func (p *Placer) TypicalEstimate(now time.Duration, service string) (Estimate, bool) {
	c, ok := p.Choose(now, &Request{Service: service, PromptTokens: usualPrompt, OutputTokens: usualOutput, Objective: usualObjective}, nil)
	return c.Estimate, ok
}

// PerToken is the expected time for each token of the answer to a usual request.
func (e Estimate) TimePerToken() time.Duration { return (e.Total - e.TTFB) / usualOutput }

const (
	// byteCost is the cost of a byte between regions, as a part of the credit of a
	// usual request.
	byteCost = 2.4e-6
	// answerBytes is the size of an answer for each token.
	answerBytes = 20
	// remoteMiss is the part of the shared prompt that another region is assumed to
	// read again.
	remoteMiss = 0.5
)

// RemoteCost is the expected loss of a request that is served in another region.
func RemoteCost(e Estimate, r *Request, body int) float64 {
	cost := delayCost(e.TTFB, r.Objective) + missCost*remoteMiss*float64(sharedTokens(r.Segments)) +
		byteCost*float64(int64(body)+answerBytes*r.OutputTokens)
	if r.TimeLeft > 0 && e.Total > r.TimeLeft {
		cost += unfinishedCost
	}
	return cost
}
