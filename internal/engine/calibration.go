package engine

import (
	"math"
	"time"
)

const (
	// memoryHalfLife is the time in which the weight of an observation halves.
	memoryHalfLife = 3 * time.Second
	// recentHalfLife is that for what follows the load of the moment.
	recentHalfLife = time.Second
	// reportTTL is how long the sums of another host count.
	reportTTL = 5 * time.Second
	// solveInterval is how long the rates are kept before they are computed again.
	solveInterval = 100 * time.Millisecond
	// maxHosts bounds the hosts whose sums are kept.
	maxHosts = 1024
	// minEvents is the number of events from which on a response tells the time of one.
	minEvents = 4
	// minStreams is the weight of complete responses from which on the time and number of
	// events are known.
	minStreams = 3
	// minReportWeight is the weight of observations below which a host reports none.
	minReportWeight = 0.1
	// certainTokens are added to a prompt when its part in all unread tokens is taken as the
	// weight of an observation.
	certainTokens = 100
	// outlierFactor bounds an observed time to a multiple of the expected one, and to its inverse.
	outlierFactor = 3
	// maxFactor bounds the rates to multiples of those at the start, and to its inverse.
	maxFactor = 20
	// minScale and maxScale bound QueueScale and StreamScale.
	minScale, maxScale = 0.25, 2
	// recentPrior is the number of exact forecasts that are assumed beside the observed ones.
	// maxDelay and maxDeviation bound the error of one forecast.
	recentPrior  = 5
	maxDelay     = time.Second
	maxDeviation = 2 * time.Second
	// scalePrior is the expected time that is added to both sides of StreamScale.
	scalePrior = 500 * time.Millisecond
	// maxWaitError is the time by which an observed wait may exceed the bound by outlierFactor.
	maxWaitError = 500 * time.Millisecond
	// slowWeight is the weight of an observation that is slower than expected in the rates of
	// an engine: requests and prompts of others that a host does not know of delay responses
	// and never hasten them.
	slowWeight = 0.05
)

// Precisions of the starting values, as weights of observations of one unit of a feature:
// one, 1,000 prompt tokens, and 1,000 prompt tokens beside ten running responses; one, ten
// running responses, and 100,000 tokens of memory.
var (
	firstPrecision = [features]float64{0.5, 1, 50}
	eventPrecision = [features]float64{0.2, 1, 4}
)

// The units of the features: prompt tokens, running responses, and tokens of memory. Fits are
// in milliseconds, Rates in nanoseconds.
const (
	promptUnit  = 1e3
	runningUnit = 10
	memoryUnit  = 1e5
)

// Calibration learns the rates of the engines of one service. It is not safe for concurrent
// use.
type Calibration struct {
	start    Rates
	own      sums
	ownAt    time.Duration
	hosts    map[string]hostSums
	rates    Rates
	solvedAt time.Duration
	solved   bool
	// eventsKnown means that the time and number of events are observed ones.
	eventsKnown bool
	errors      Errors
}

type hostSums struct {
	at   time.Duration
	sums *sums
}

// ReportFormat is the format of the reports of this build. Reports without one are in the
// first format.
const ReportFormat = 1

// KnownFormat reports whether this build reads reports of a format.
func KnownFormat(format uint32) bool { return format == 0 || format == ReportFormat }

// NewCalibration returns a calibration that begins with the rates of the settings.
func NewCalibration(start Rates) *Calibration {
	start.EventsPerToken = max(start.EventsPerToken, 1e-3)
	start.QueueScale, start.StreamScale = 1, 1
	return &Calibration{start: start, rates: start, hosts: map[string]hostSums{}}
}

// fade lets the own observations age.
func (c *Calibration) fade(now time.Duration) {
	if now > c.ownAt {
		c.own.age(now - c.ownAt)
		c.ownAt = now
	}
}

// Expectation is what was known of a request when it was sent to an engine.
type Expectation struct {
	Load
	// Prompt is the number of prompt tokens that the engine has to read, Output that of the
	// output tokens that the caller expects; 0 if unknown.
	Prompt, Output float64
	// Waits means that other reasons than reading were expected to delay the response.
	Waits bool
}

// ObserveFirst records the time from the send to the first event.
func (c *Calibration) ObserveFirst(now time.Duration, e Expectation, took time.Duration) {
	r := c.Rates(now)
	c.fade(now)
	expected := r.nominal(e.Load, e.Prompt, e.Output)
	forecast := r.Forecast(e.Load, e.Prompt, e.Output)
	c.errors.First.record(forecast.First(), took)
	delay := took - expected.Idle - scaled(expected.Queue, r.QueueScale)
	c.own.firsts++
	c.own.delays += min(max(delay, -maxDelay), maxDelay).Seconds()
	c.own.deviations += min((took - forecast.First()).Abs(), maxDeviation).Seconds()
	if e.Waits {
		return
	}
	pace := e.pace()
	weight := (e.Prompt + certainTokens) / (e.Prompt + certainTokens + e.Unread)
	if took > expected.First() {
		weight *= slowWeight
	}
	observed := bounded(took, expected.First(), outlierFactor)
	tokens := (e.Prompt + e.Unread) / promptUnit
	c.own.first.add([features]float64{1, tokens, tokens * float64(e.Running) / runningUnit}, observed.Seconds()*1e3/pace, weight)
	if expected.Queue > 0 {
		c.own.queue.expected += expected.Queue.Seconds()
		c.own.queue.observed += min(max(0, took-expected.Idle), outlierFactor*expected.Queue+maxWaitError).Seconds()
	}
}

// Stream is what was observed of the events of a response.
type Stream struct {
	// Events is the number of events after another one, Took the time that they took.
	Events int
	Took   time.Duration
	// Gap is a usual time between two of them while the engine reads no prompt.
	Gap time.Duration
}

// ObserveLength records how many events a complete response had.
func (c *Calibration) ObserveLength(now time.Duration, events int, output float64) {
	c.fade(now)
	if events > 0 && output > 0 {
		c.own.lengths++
		c.own.logLengths += math.Log(float64(events) / output)
	}
}

// ObserveGaps records events of a response under a load. It returns Gap as a multiple of
// the expected one, or 0 if that is unknown.
func (c *Calibration) ObserveGaps(now time.Duration, l Load, s Stream) float64 {
	r := c.Rates(now)
	c.fade(now)
	if s.Events < minEvents || s.Gap <= 0 {
		return 0
	}
	pace, usual := l.pace(), r.EventTime(l.Running, l.Memory)
	observed := s.Gap
	known := c.eventsKnown
	if known {
		observed = bounded(s.Gap, scaled(usual, pace), outlierFactor)
		nominal := scaled(usual, float64(s.Events)*pace/(1-r.Reading(l)))
		c.own.stream.expected += nominal.Seconds()
		c.own.stream.observed += bounded(s.Took, nominal, 2*outlierFactor).Seconds()
		c.errors.Stream.record(scaled(nominal, r.StreamScale), s.Took)
	}
	weight := 1.0
	if known && s.Gap > scaled(usual, pace) {
		weight = slowWeight
	}
	c.own.event.add([features]float64{1, float64(l.Running) / runningUnit, l.Memory / memoryUnit}, observed.Seconds()*1e3/pace, weight)
	if !known {
		return 0
	}
	return float64(s.Gap) / float64(usual)
}

func bounded(d, expected time.Duration, factor float64) time.Duration {
	return min(max(d, scaled(expected, 1/factor)), scaled(expected, factor))
}

// Report returns the own observations for other hosts, or nil if there are none.
func (c *Calibration) Report(now time.Duration) []float32 {
	c.fade(now)
	if c.own.first.products[0] < minReportWeight && c.own.event.products[0] < minReportWeight {
		return nil
	}
	return c.own.encode()
}

// Merge records the report that another host made at a time. It reports false if the
// report is not valid.
func (c *Calibration) Merge(at time.Duration, host string, report []float32) bool {
	s, ok := decodeSums(report)
	if !ok {
		return false
	}
	if old, known := c.hosts[host]; known && old.at > at || !known && len(c.hosts) >= maxHosts {
		return true
	}
	c.hosts[host] = hostSums{at, s}
	return true
}

// Rates returns the rates that are known at a time.
func (c *Calibration) Rates(now time.Duration) Rates {
	if !c.solved || now-c.solvedAt >= solveInterval {
		c.solve(now)
	}
	return c.rates
}

func (c *Calibration) solve(now time.Duration) {
	c.solved, c.solvedAt = true, now
	start := c.start
	firstPrior, eventPrior := start.firstCoefficients(), start.eventCoefficients(c.rates.EventsPerToken)
	total := sums{}
	total.add(&c.own, now-c.ownAt)
	others := make([]sums, 0, len(c.hosts))
	for host, h := range c.hosts {
		if now-h.at > reportTTL {
			delete(c.hosts, host)
			continue
		}
		aged := *h.sums
		aged.age(now - h.at)
		aged.first.bound(firstPrior, maxFactor)
		aged.event.bound(eventPrior, maxFactor)
		others = append(others, aged)
	}
	total.addLimited(others)
	total.first = total.first.withoutOutliers(others, firstOf, firstPrior, firstPrecision)
	total.event = total.event.withoutOutliers(others, eventOf, eventPrior, eventPrecision)
	first := total.first.solve(firstPrior, firstPrecision)
	r := Rates{
		First:          time.Duration(within(first[0]*1e6, float64(start.First))),
		Read:           within(first[1]*1e6/promptUnit, start.Read),
		ReadPerRunning: max(0, first[2]*1e6/promptUnit/runningUnit),
		Event:          start.Event, EventPerRunning: start.EventPerRunning, EventPerMemory: start.EventPerMemory,
		EventsPerToken: start.EventsPerToken,
		QueueScale:     total.queue.scale(), StreamScale: total.stream.scale(),
		Hidden:    max(0, time.Duration(total.delays/(total.firsts+recentPrior)*float64(time.Second))),
		Deviation: time.Duration(total.deviations / (total.firsts + recentPrior) * float64(time.Second)),
	}
	if c.eventsKnown = total.lengths >= minStreams && total.event.products[0] >= minStreams; c.eventsKnown {
		r.EventsPerToken = within(math.Exp(total.logLengths/total.lengths), start.EventsPerToken)
		perToken := 1 / r.EventsPerToken * start.EventsPerToken
		event := total.event.solve(start.eventCoefficients(r.EventsPerToken), eventPrecision)
		r.Event = within(event[0]*1e6, start.Event*perToken)
		r.EventPerRunning, r.EventPerMemory = max(0, event[1]*1e6/runningUnit), max(0, event[2]*1e6/memoryUnit)
	}
	c.rates = r
}

// firstCoefficients are the rates in the units of the fit of first events.
func (r Rates) firstCoefficients() [features]float64 {
	return [features]float64{r.First.Seconds() * 1e3, r.Read * promptUnit / 1e6, r.ReadPerRunning * promptUnit * runningUnit / 1e6}
}

// eventCoefficients are the rates in the units of the fit of events, if engines send so many
// events for each token.
func (r Rates) eventCoefficients(eventsPerToken float64) [features]float64 {
	perToken := 1 / eventsPerToken * r.EventsPerToken
	return [features]float64{r.Event * perToken / 1e6, r.EventPerRunning * perToken * runningUnit / 1e6, r.EventPerMemory * perToken * memoryUnit / 1e6}
}

// within bounds a value to multiples of one at the start.
func within(v, start float64) float64 { return min(max(v, start/maxFactor), start*maxFactor) }

func (r ratio) scale() float64 {
	prior := scalePrior.Seconds()
	return min(max((r.observed+prior)/(r.expected+prior), minScale), maxScale)
}

// Errors are moving averages of the errors of the forecasts of one host.
type Errors struct{ First, Stream Error }

// Error is a moving average of an error as a part of the expected time, and of its sign: above
// 0 if it took longer.
type Error struct{ Size, Bias float64 }

const (
	// errorWeight is the weight of the newest error in its average.
	errorWeight = 0.05
	// maxError bounds one error.
	maxError = 5
)

func (e *Error) record(expected, took time.Duration) {
	relative := min(float64(took-expected)/float64(max(expected, time.Millisecond)), maxError)
	e.Size += errorWeight * (math.Abs(relative) - e.Size)
	e.Bias += errorWeight * (relative - e.Bias)
}

// Errors returns the errors of the forecasts of this host.
func (c *Calibration) Errors() Errors { return c.errors }
