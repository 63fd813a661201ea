package placement

import (
	"math"
	"slices"
	"time"

	"geraniumturn.example/geraniumturn/internal/engine"
)

const (
	// minEventGap is the time below which events that arrive after each other were sent
	// together.
	minEventGap = time.Millisecond
	// gapSamples is the number of times between events that are kept of a response.
	gapSamples = 16
	// defaultPrefillRate is the number of prompt tokens that an engine is assumed to read in
	// a second if the settings lack it.
	defaultPrefillRate = 50_000
)

// startRates are the rates of engines before anything is learnt.
func (e Engine) startRates() engine.Rates {
	rate := e.PrefillRate
	if !(rate > 0) || math.IsInf(rate, 0) {
		rate = defaultPrefillRate
	}
	return engine.Rates{First: e.MinFirstToken,
		Read: float64(time.Second)/rate + float64(e.Step)/e.ChunkTokens, ReadPerRunning: float64(e.StepPerRequest) / e.ChunkTokens,
		Event: float64(e.Step), EventPerRunning: float64(e.StepPerRequest), EventsPerToken: 1}
}

// calibration returns what is learnt of the engines of a service.
func (p *Placer) calibration(service string) *engine.Calibration {
	c := p.calibrations[service]
	if c == nil {
		c = engine.NewCalibration(p.engine.startRates())
		p.calibrations[service] = c
	}
	return c
}

// EngineRates returns the rates of the engines of a service and the errors of their
// forecasts at this host.
func (p *Placer) EngineRates(now time.Duration, service string) (engine.Rates, engine.Errors) {
	c := p.calibration(service)
	return c.Rates(now), c.Errors()
}

// EngineReports returns what this host has observed of engines, by service.
func (p *Placer) EngineReports(now time.Duration) map[string][]float32 {
	reports := map[string][]float32{}
	for service, c := range p.calibrations {
		if r := c.Report(now); r != nil {
			reports[service] = r
		}
	}
	return reports
}

// MergeEngineReport records what another host had observed of the engines of a service at
// a time. It reports false if the report is not valid.
func (p *Placer) MergeEngineReport(at time.Duration, host, service string, report []float32) bool {
	if len(p.byService[service]) == 0 {
		return true // targets of another region may differ
	}
	return p.calibration(service).Merge(at, host, report)
}

// EngineUsage returns the unread prompt tokens that this host sends to a target in a
// second, and the target's pace as this host has just seen it, or 0.
func (p *Placer) EngineUsage(now time.Duration, target string) (arriving, pace float64) {
	t := p.targets[target]
	if t == nil || t.cache == nil {
		return 0, 0
	}
	return t.arriving.current(now), t.pace.Report(now)
}

// engineLoad returns the load of a target with an estimated usage.
func (t *Target) engineLoad(now time.Duration, u Usage) engine.Load {
	return engine.Load{Running: min(u.Running, t.Slots), Memory: float64(u.MemoryTokens), Unread: u.PrefillTokens, Arriving: u.Arriving, Pace: t.pace.Factor(now)}
}

// readRate returns the prompt tokens that an engine reads in a second under a usage.
func (t *Target) readRate(now time.Duration, u Usage) float64 {
	rates, load := t.calibration.Rates(now), t.engineLoad(now, u)
	return float64(time.Second) / (rates.Read + rates.ReadPerRunning*float64(load.Running)) / load.Pace
}

// expectedOutput returns the number of output tokens that a response is expected to have.
func (r *Request) expectedOutput() float64 {
	if r.ExpectedOutput > 0 {
		return float64(r.ExpectedOutput)
	}
	return outputFraction * float64(r.OutputTokens)
}

// expectation returns what is known of a request that is sent to a target after a choice.
func (p *Placer) expectation(now time.Duration, t *Target, r *Request) engine.Expectation {
	e := engine.Expectation{Output: float64(r.ExpectedOutput), Prompt: float64(max(0, r.PromptTokens-t.cache.cachedTokens(r.keys, r.Segments)))}
	if c := r.chosen; c.Target == t {
		e.Load, e.Prompt = t.engineLoad(now, c.Usage), float64(max(0, r.PromptTokens-c.CachedTokens))
		e.Waits = c.waits || c.Source != nil
	}
	return e
}

// observation is what is seen of a stream from an engine.
type observation struct {
	expected engine.Expectation
	// firstAt is when the first event arrived, lastAt when the last one did; 0 before.
	firstAt, lastAt time.Duration
	// events is the number of events after the first one. gaps are the times before the
	// last ones, of which unrecorded ones are yet to be recorded.
	events, unrecorded int
	gaps               [gapSamples]time.Duration
}

// recordEvent records that an event has arrived.
func (p *Placer) recordEvent(now time.Duration, a *Attempt) {
	o := &a.observed
	if o.firstAt == 0 {
		o.firstAt, o.lastAt = now, now
		return
	}
	gap := now - o.lastAt
	if gap < minEventGap {
		return
	}
	if o.events == 0 { // what comes at once is not a stream, or was buffered on the way
		a.target.calibration.ObserveFirst(now, o.expected, o.firstAt-a.started)
	}
	o.gaps[o.unrecorded] = gap
	o.events++
	o.unrecorded++
	o.lastAt = now
	if o.unrecorded == gapSamples { // a long response tells its pace before its end
		p.recordGaps(now, a)
	}
}

// recordGaps records the times between events that are not recorded yet.
func (p *Placer) recordGaps(now time.Duration, a *Attempt) {
	t, o := a.target, &a.observed
	gaps := o.gaps[:o.unrecorded]
	s := engine.Stream{Events: len(gaps)}
	for _, gap := range gaps {
		s.Took += gap
	}
	if len(gaps) > 0 {
		slices.Sort(gaps)
		s.Gap = gaps[len(gaps)/4]
	}
	o.unrecorded = 0
	// The load at the middle of these events is about the mean of that at the choice and now.
	e := o.expected
	usage, _ := p.totalUsage(now, t)
	end := t.engineLoad(now, usage)
	e.Running, e.Memory = (e.Running+end.Running+1)/2, (e.Memory+end.Memory)/2
	t.pace.Observe(now, t.calibration.ObserveGaps(now, e.Load, s))
}

// recordStream records the end of an attempt at an engine.
func (p *Placer) recordStream(now time.Duration, a *Attempt, outcome Outcome) {
	t, o := a.target, &a.observed
	c := t.calibration
	if o.firstAt == 0 {
		if outcome == Cancelled && now-a.started > c.Rates(now).Forecast(o.expected.Load, o.expected.Prompt, 0).First() {
			c.ObserveFirst(now, o.expected, now-a.started) // it would have taken longer still
		}
		return
	}
	if o.events > 0 && outcome == Served {
		c.ObserveLength(now, o.events+1, o.expected.Output)
	}
	p.recordGaps(now, a)
}

// deviation returns the mean error of the expected TTFB at an engine; 0 for other targets.
func (t *Target) deviation(now time.Duration) time.Duration {
	if t.cache == nil {
		return 0
	}
	return t.calibration.Rates(now).Deviation
}
