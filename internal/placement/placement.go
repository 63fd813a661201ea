package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumturn.example/geraniumturn/internal/engine"
	"geraniumturn.example/geraniumturn/internal/shares"
)

const (
	// defaultSlots is used for a target that reports no number of slots.
	defaultSlots = 4
	// initialServiceDuration, in nanoseconds, is the average request duration of a plain
	// target before its first request has ended.
	initialServiceDuration = 40 * float64(time.Millisecond)
	// initialEngineDuration, in nanoseconds, is the average time that a request occupies
	// a slot of an engine before its first request has ended.
	initialEngineDuration = 1500 * float64(time.Millisecond)
	// durationWeight is the weight of the newest duration in the moving average.
	durationWeight = 0.1
	// serviceDurationWeight is that in the average of all targets of a service.
	serviceDurationWeight = 0.03
	// engineStallTimeout and serviceStallTimeout are the times without a byte from a
	// target with requests in flight after which it gets new requests only as a last
	// resort.
	engineStallTimeout  = 900 * time.Millisecond
	serviceStallTimeout = 400 * time.Millisecond
	// failureRateWeight is the weight of the newest outcome in the failure rate.
	failureRateWeight = 0.12
	// failureHalfLife is the time in which the failure rate of a target that gets no
	// requests halves, so that the target is used again.
	failureHalfLife = 4 * time.Second
	// durationHalfLife is the time in which the average duration of an idle target
	// approaches the initial one by half.
	durationHalfLife = 4 * time.Second
	// minEjection and maxEjection bound the ejection of a target after a connection
	// failure; the time doubles with each consecutive failure.
	minEjection = 300 * time.Millisecond
	maxEjection = 3 * time.Second
	// usageReportTTL is how long the usage that another host reported is counted.
	usageReportTTL = 1500 * time.Millisecond
)

// Engine holds the performance figures of the model engines.
type Engine struct {
	// PrefillRate is the number of prompt tokens that are prefilled per second.
	PrefillRate float64
	// Step is the duration of a decode step, StepPerRequest the increase for each
	// running request.
	Step, StepPerRequest time.Duration
	// MinFirstToken is the minimum time to the first token.
	MinFirstToken time.Duration
	// ChunkTokens is the number of prompt tokens that are prefilled between two decode
	// steps.
	ChunkTokens float64
}

// DefaultEngine returns typical figures with the prefill rate from the settings.
func DefaultEngine(prefillRate float64) Engine {
	return Engine{PrefillRate: prefillRate, Step: 4400 * time.Microsecond, StepPerRequest: 110 * time.Microsecond,
		MinFirstToken: 80 * time.Millisecond, ChunkTokens: 2048}
}

// Request describes a request for placement.
type Request struct {
	Service  string
	Model    string
	Segments []PromptSegment
	// PromptTokens and OutputTokens are the token counts of a request to an engine.
	PromptTokens, OutputTokens int64
	// ExpectedOutput is the caller's estimate of the output tokens; 0 if unknown.
	// OutputTokens is their maximum.
	ExpectedOutput int64
	// BodyBytes is the size of the request.
	BodyBytes int
	// RegionBound means that the prompt may not leave the region.
	RegionBound bool
	// Software is the version of the software that targets must have; nil allows all.
	Software *string
	// Objective is the TTFB up to which the request earns full credit, TimeLeft the time
	// until the caller's timeout.
	Objective, TimeLeft time.Duration
	keys                []uint64
	chosen              Choice // by the last call of Choose
}

// Allows reports whether the software of the target may serve the request.
func (r *Request) Allows(t *Target) bool { return r.Software == nil || *r.Software == t.Software }

// Spec describes a target as it is registered.
type Spec struct {
	ID, Address, Service, DataCentre string
	// Software is the version of the target's software, StartMillis the Unix time of its
	// start in milliseconds.
	Software    string
	StartMillis int64
	Slots       int
	// CacheTokens is the memory of an engine; 0 for a plain service.
	CacheTokens int64
	// ColdUntil is the end of the warm-up of the target. Until then a paced target gets
	// at most ColdLimit requests from all hosts in any second.
	ColdUntil time.Duration
	Paced     bool
	ColdLimit int
	// Warmup is how long a process of the target is cold after its start.
	Warmup time.Duration
	// Suspect targets are used only as a last resort.
	Suspect bool
	Region  string
	// Remote targets are in another region: they get no requests from this host, but
	// local targets may fetch cached prompt segments from them.
	Remote bool
}

// Usage is the load of the requests in flight at a target.
type Usage struct {
	Running int
	// MemoryTokens is the memory in use, PrefillTokens the number of prompt tokens that
	// are not prefilled yet.
	MemoryTokens  int64
	PrefillTokens float64
	// Arriving is the number of such tokens that are sent to the target in a second.
	Arriving float64
	// Pace is the time that the target took lately as a multiple of the usual time, in the
	// usage by one host; 0 if unknown.
	Pace float64
}

func (u Usage) add(v Usage) Usage {
	return Usage{Running: u.Running + v.Running, MemoryTokens: u.MemoryTokens + v.MemoryTokens, PrefillTokens: u.PrefillTokens + v.PrefillTokens,
		Arriving: u.Arriving + v.Arriving}
}

// Target is the model of one target.
type Target struct {
	Spec
	ownUsage  Usage
	hostUsage []Usage // by position of the host in Placer.hostReports
	cache     *prefixCache
	// averageDuration is the moving average of request durations in nanoseconds.
	averageDuration float64
	// ended is the number of requests in averageDuration.
	ended int
	// durationAt is when averageDuration last changed.
	durationAt      time.Duration
	lastFailureRate float64
	failureRateAt   time.Duration
	ejectedUntil    time.Duration
	ejection        time.Duration
	// connectFailed means that the latest connection attempt of this host failed.
	connectFailed bool
	// lastByteAt is when the last byte arrived from the target, or when a request was
	// sent to it while it had none in flight.
	lastByteAt   time.Duration
	availability *availability
	usagePeaks   map[string]usagePeak // by host, while the service is brittle
	shares       map[int]int          // this host's shares, by limit
	arriving     arrivalRate          // unread prompt tokens from this host
	pace         engine.Pace          // of the target's process
	calibration  *engine.Calibration  // of the target's service
}

// Placer chooses among the targets that this host may use. It is not safe for concurrent
// use.
type Placer struct {
	Policy Policy
	// DataCentre is that of this host. Targets of others cost the bytes on the way; ""
	// means that they do not.
	DataCentre string
	// ReuseWindow is how long after its last use a prompt segment counts as recently
	// used, so that prefilling it again costs missCostPerToken.
	ReuseWindow time.Duration

	// Reachable reports whether the hosts of a region have responded recently. Targets
	// do not fetch segments from regions that they cannot reach. Nil means that all
	// regions are reachable.
	Reachable func(now time.Duration, region string) bool

	// PaceShare returns this host's part of the ColdLimit of a target. Nil means that this
	// host is the only one.
	PaceShare func(now time.Duration, target string, limit int) int

	// HeldPartitions returns the partitions that this host holds. It grants the permits of the
	// targets in them. Nil means that this host is the only one.
	HeldPartitions func(now time.Duration) shares.PartitionSet

	engine          Engine
	calibrations    map[string]*engine.Calibration // by service
	lastUsed        map[uint64]time.Duration       // last use of each shared segment at any target
	targets         map[string]*Target
	byService       map[string][]*Target
	remoteByService map[string][]*Target
	rand            *rand.Rand
	drawnPair       map[int]bool             // indexes of the targets that TwoChoices has drawn
	availability    map[string]*availability // of the newest known process, by target
	pacers          map[string]*shares.Pacer // by target
	brittle         map[string]*brittleService
	otherHosts      []string
	limitShare      func(key string, limit int) int
	durations       map[string]serviceDuration // by service
	arrivals        map[string]*arrivalRate    // at this host, by service
	hostReports     []hostReport               // of the other hosts
	hostPositions   map[string]int             // in hostReports, by host
	evaluated       []Choice                   // buffer for Choose
	freshParts      []float64                  // buffer for remainingParts
	recordsPeaks    map[string]bool            // whether targets have usagePeaks, by service
	// placedPrompts are the prompts that were sent since the last call of
	// TakePlacedPrompts, by scope.
	placedPrompts [scopeCount][]PlacedPrompt
}

// Policy is a load balancing policy. All policies but ExpectedCost are baselines for
// benchmarks.
type Policy string

// The policies.
const (
	// ExpectedCost chooses the target with the lowest expected cost; the default.
	ExpectedCost Policy = "affinity"
	// LeastInFlight chooses the target with the fewest requests in flight from this
	// host.
	LeastInFlight Policy = "least_in_flight"
	// TwoChoices draws two random targets and chooses the one with fewer requests in
	// flight from this host.
	TwoChoices Policy = "two_choices"
	// Random chooses a random target.
	Random Policy = "random"
)

// applyBaseline replaces the cost of a choice if the policy is a baseline. index is
// the position of its target among the usable ones.
func (p *Placer) applyBaseline(c *Choice, index int) {
	switch p.Policy {
	case LeastInFlight:
		c.Cost, c.Source = float64(c.Target.ownUsage.Running), nil
	case Random:
		c.Cost, c.Source = p.rand.Float64(), nil
	case TwoChoices:
		c.Cost, c.Source = float64(c.Target.ownUsage.Running), nil
		if !p.drawnPair[index] {
			c.Cost += notDrawnCost
		}
	}
}

// notDrawnCost exceeds the number of requests that a target can run.
const notDrawnCost = 1e6

// Scope is a group of hosts to which placed prompts are reported.
type Scope int

// The scopes.
const (
	SameRegion   Scope = iota // hosts of this region
	OtherRegions              // hosts of other regions
	scopeCount
)

// PlacedPrompt is a prompt that was sent to a target. Keys are the prefix keys and
// Tokens the token counts of its segments.
type PlacedPrompt struct {
	Target string
	Keys   []uint64
	Tokens []int64
	// CrossRegion means that the prompt may be reported to other regions.
	CrossRegion bool
}

const (
	// defaultReuseWindow is used if the settings have no reuse window.
	defaultReuseWindow = 10 * time.Second
	// minSharedTokens is the number of shared tokens from which a prompt is reported to
	// other regions.
	minSharedTokens = 500
	// maxLastUsed is the number of entries in lastUsed above which expired ones are
	// removed.
	maxLastUsed = 50_000
)

// maxPlacedPrompts bounds the queue of prompts to report, per scope.
const maxPlacedPrompts = 512

// New returns a placer without targets.
func New(figures Engine, r *rand.Rand) *Placer {
	return &Placer{ReuseWindow: defaultReuseWindow, lastUsed: map[uint64]time.Duration{}, engine: figures, calibrations: map[string]*engine.Calibration{}, targets: map[string]*Target{}, byService: map[string][]*Target{}, rand: r,
		availability: map[string]*availability{}, pacers: map[string]*shares.Pacer{}, brittle: map[string]*brittleService{},
		durations: map[string]serviceDuration{}, arrivals: map[string]*arrivalRate{}, hostPositions: map[string]int{}, recordsPeaks: map[string]bool{}}
}

// SetTargets replaces the targets. A target with the same ID, address and service keeps
// its state.
func (p *Placer) SetTargets(specs []Spec) {
	targets := make(map[string]*Target, len(specs))
	p.byService, p.remoteByService = map[string][]*Target{}, map[string][]*Target{}
	for _, s := range specs {
		t := p.targets[s.ID]
		if t == nil || t.Address != s.Address || t.Service != s.Service {
			t = &Target{averageDuration: initialServiceDuration}
		}
		if t.StartMillis != s.StartMillis {
			t.pace, t.arriving = engine.Pace{}, arrivalRate{}
		}
		t.setCacheCapacity(s.CacheTokens)
		t.Spec, t.availability, t.calibration = s, p.registerProcess(s), p.calibration(s.Service)
		if t.Slots <= 0 {
			t.Slots = defaultSlots
		}
		targets[s.ID] = t
		if s.Remote {
			p.remoteByService[s.Service] = append(p.remoteByService[s.Service], t)
		} else {
			p.byService[s.Service] = append(p.byService[s.Service], t)
		}
	}
	p.targets = targets
}

// setCacheCapacity sets the memory of an engine; 0 makes the target a plain one. A new
// configuration may change this while the target runs.
func (t *Target) setCacheCapacity(tokens int64) {
	switch {
	case tokens <= 0:
		if t.cache != nil {
			t.cache, t.averageDuration = nil, initialServiceDuration
		}
	case t.cache == nil:
		t.cache, t.averageDuration = newPrefixCache(tokens), initialEngineDuration
	default:
		t.cache.capacity = tokens
	}
}

// Choice is a target that can take a request, with its estimate and cost.
type Choice struct {
	Target *Target
	Estimate
	// Cost is the expected cost, as a fraction of the credit of the request.
	Cost float64
	// Source is the target from which Target fetches cached segments of the prompt, or
	// nil.
	Source *Target
	// Usage is the known usage of the target by all hosts, UsageAge the age of the oldest
	// report in it. CachedTokens is the number of leading prompt tokens that Target need
	// not prefill, because it has them cached or fetches them from Source.
	Usage        Usage
	UsageAge     time.Duration
	CachedTokens int64
	// waits means that the request is expected to wait for a slot or for memory.
	waits bool
	// Unreachable means that Target is a last resort: this host could not connect to it.
	Unreachable bool
}

// Choose returns the target with the lowest cost among those that are not excluded.
// It reports false if none can take the request now.
func (p *Placer) Choose(now time.Duration, r *Request, excluded func(id string) bool) (Choice, bool) {
	if r.keys == nil {
		r.keys = prefixKeys(r.Model, r.Segments)
	}
	sources, brittle := p.findSources(now, r), p.brittleNow(now, r.Service)
	best, found := Choice{}, false
	evaluated := p.evaluated[:0]
	view := p.viewOf(now, r.Service)
	for pass := 0; pass < 2 && !found; pass++ {
		ties, considered := 0, 0
		if n := len(p.byService[r.Service]); p.Policy == TwoChoices && n > 0 {
			p.drawnPair = map[int]bool{p.rand.IntN(n): true, p.rand.IntN(n): true}
		}
		for _, t := range p.byService[r.Service] {
			if excluded != nil && excluded(t.ID) || !r.Allows(t) || !t.usable(now, pass > 0) || !p.allowsPace(now, t) || t.permitIn(now) > 0 || !p.hasRoom(now, t, r, brittle) {
				continue
			}
			c := p.evaluate(now, t, r, sources, view)
			c.Unreachable = t.unreachable(now)
			p.applyBaseline(&c, considered)
			considered++
			evaluated = append(evaluated, c)
			switch {
			case !found || c.Cost < best.Cost:
				best, found, ties = c, true, 1
			case c.Cost == best.Cost:
				if ties++; p.rand.IntN(ties) == 0 {
					best = c
				}
			}
		}
	}
	p.evaluated = evaluated
	if found {
		best = p.spread(now, r, best, evaluated)
		r.chosen = best
	}
	return best, found
}

// usable reports whether the target may get a request now. As a last resort, suspect,
// ejected and stalled targets are usable too.
func (t *Target) usable(now time.Duration, lastResort bool) bool {
	if !t.availability.accepts(now) {
		return false
	}
	return lastResort || !t.Suspect && now >= t.ejectedUntil && !t.stalled(now)
}

// stalled reports whether the target has requests in flight and has sent no byte
// within its stall timeout.
func (t *Target) stalled(now time.Duration) bool {
	timeout := serviceStallTimeout
	if t.cache != nil {
		timeout = engineStallTimeout
	}
	return t.ownUsage.Running > 0 && now-t.lastByteAt > timeout
}

// RecordBytes records that bytes have arrived from the target of an attempt.
func (p *Placer) RecordBytes(now time.Duration, a *Attempt) {
	a.target.lastByteAt = max(a.target.lastByteAt, now)
	if a.target.cache != nil {
		p.recordEvent(now, a)
	}
}

func (t *Target) failureRate(now time.Duration) float64 {
	return t.lastFailureRate * decay(now-t.failureRateAt, failureHalfLife)
}

// decay returns the weight of a value of some age: 1 at first and 1/2 after its half-life.
func decay(age, halfLife time.Duration) float64 {
	halfLives := float64(age) / float64(halfLife)
	return 1 / (1 + halfLives*halfLives)
}

// Attempt is a request in flight at a target.
type Attempt struct {
	target       *Target
	availability *availability // of the target's process
	counted      bool          // its start was counted for a brittle target
	chosenCold   bool          // the target was cold at the choice
	pace         paceState
	permitUntil  time.Duration // end of the permit, if the target states a rate limit
	pauseNamed   bool          // the response asked for a pause
	started      time.Duration
	usage        Usage
	observed     observation
}

// Start records that a request is sent to the target.
func (p *Placer) Start(now time.Duration, t *Target, r *Request) *Attempt {
	a := &Attempt{target: t, availability: t.availability, started: now, usage: Usage{Running: 1}}
	p.startBrittle(now, a)
	p.recordArrival(now, t, r)
	if t.ownUsage.Running == 0 {
		t.lastByteAt = now
	}
	a.chosenCold = t.paced(now)
	p.reservePace(now, a)
	if t.cache != nil {
		a.usage.MemoryTokens = r.PromptTokens + r.OutputTokens
		a.usage.PrefillTokens = max(0, float64(r.PromptTokens-t.cache.cachedTokens(r.keys, r.Segments)))
		a.observed.expected = p.expectation(now, t, r)
		t.arriving.record(now, a.usage.PrefillTokens)
		t.cache.insert(r.keys, segmentTokens(r.Segments), t.ownUsage.MemoryTokens+a.usage.MemoryTokens)
		p.queuePlacedPrompt(t, r)
		p.touchSegments(now, r.keys)
	}
	t.ownUsage = t.ownUsage.add(a.usage)
	return a
}

// queuePlacedPrompt queues a prompt for the reports to other hosts. Other regions do
// not get short prompts, which are not worth a transfer between regions.
func (p *Placer) queuePlacedPrompt(t *Target, r *Request) {
	placed := PlacedPrompt{Target: t.ID, Keys: r.keys, Tokens: segmentTokens(r.Segments),
		CrossRegion: !r.RegionBound && sharedTokens(r.Segments) >= minSharedTokens}
	p.RelayPlacedPrompt(SameRegion, placed)
	if placed.CrossRegion {
		p.RelayPlacedPrompt(OtherRegions, placed)
	}
}

// touchSegments records the use of all segments but the last one, which is not shared.
func (p *Placer) touchSegments(now time.Duration, keys []uint64) {
	if len(p.lastUsed) > maxLastUsed {
		maps.DeleteFunc(p.lastUsed, func(_ uint64, at time.Duration) bool { return now-at > p.ReuseWindow })
	}
	for _, k := range keys[:max(0, len(keys)-1)] {
		p.lastUsed[k] = now
	}
}

// FirstByte records that the response has begun.
func (p *Placer) FirstByte(a *Attempt) {
	a.target.ownUsage.PrefillTokens = max(0, a.target.ownUsage.PrefillTokens-a.usage.PrefillTokens)
	a.usage.PrefillTokens = 0
}

// Outcome is how a request ended at its target.
type Outcome uint8

// The outcomes.
const (
	Served Outcome = iota
	// Rejected means that the target did not run the request.
	Rejected
	// Failed means a failure of the target.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Broken means that the connection ended before a response.
	Broken
	// Cancelled does not count for or against the target.
	Cancelled
)

// Done records the end of a request.
func (p *Placer) Done(now time.Duration, a *Attempt, o Outcome) {
	t := a.target
	if t.cache != nil {
		p.recordStream(now, a, o)
	}
	p.FirstByte(a)
	p.endBrittle(now, a)
	p.releasePace(a)
	t.ownUsage.Running--
	t.ownUsage.MemoryTokens -= a.usage.MemoryTokens
	switch o {
	case Served:
		t.recordOutcome(now, 0)
		t.ejection, t.connectFailed = 0, false
		t.averageDuration += durationWeight * (float64(now-a.started) - t.averageDuration)
		t.ended++
		p.recordDuration(now, t, float64(now-a.started))
		t.durationAt = now
	case Rejected, Failed:
		// A target that says until when it wants nothing is sound again then.
		if !a.pauseNamed {
			t.recordOutcome(now, 1)
		}
	case Unreachable, Broken:
		if o == Broken {
			t.recordOutcome(now, 1)
		}
		t.connectFailed = o == Unreachable
		t.ejection = min(maxEjection, max(minEjection, 2*t.ejection))
		t.ejectedUntil = now + t.ejection
	case Cancelled:
	}
}

// serviceDuration is the average duration of the requests of a service in nanoseconds.
type serviceDuration struct {
	average float64
	at      time.Duration // of the newest request in it
}

// recordDuration adds the duration of a request to the average of its service.
func (p *Placer) recordDuration(now time.Duration, t *Target, duration float64) {
	average := p.serviceDuration(now, t)
	p.durations[t.Service] = serviceDuration{average + serviceDurationWeight*(duration-average), now}
}

// serviceDuration returns the average duration of the requests of a target's service.
// Without requests it approaches the initial one: an average that was too high would
// otherwise keep requests away that would correct it.
func (p *Placer) serviceDuration(now time.Duration, t *Target) float64 {
	initial := initialServiceDuration
	if t.cache != nil {
		initial = initialEngineDuration
	}
	d, known := p.durations[t.Service]
	if !known {
		return initial
	}
	return initial + (d.average-initial)*decay(now-d.at, durationHalfLife)
}

func (t *Target) recordOutcome(now time.Duration, failure float64) {
	rate := t.failureRate(now)
	t.lastFailureRate, t.failureRateAt = rate+failureRateWeight*(failure-rate), now
}

// Eject ejects the target of an attempt until a time.
func (p *Placer) Eject(a *Attempt, until time.Duration) {
	a.target.ejectedUntil = max(a.target.ejectedUntil, until)
}

// Services returns the names of the services with targets in this region, sorted.
func (p *Placer) Services() []string { return slices.Sorted(maps.Keys(p.byService)) }

// OwnUsage returns the usage by this host, keyed by target ID. It omits idle targets.
func (p *Placer) OwnUsage() map[string]Usage {
	usage := map[string]Usage{}
	for id, t := range p.targets {
		if t.ownUsage.Running > 0 {
			usage[id] = t.ownUsage
		}
	}
	return usage
}

// TakePlacedPrompts returns and clears the prompts that are queued for the scope.
func (p *Placer) TakePlacedPrompts(s Scope) []PlacedPrompt {
	prompts := p.placedPrompts[s]
	p.placedPrompts[s] = nil
	return prompts
}

// RelayPlacedPrompt queues a prompt for the hosts of a scope.
func (p *Placer) RelayPlacedPrompt(scope Scope, placed PlacedPrompt) {
	if len(p.placedPrompts[scope]) < maxPlacedPrompts {
		p.placedPrompts[scope] = append(p.placedPrompts[scope], placed)
	}
}

// RecordPlacedPrompt records that another host sent a prompt to a target.
func (p *Placer) RecordPlacedPrompt(now time.Duration, placed PlacedPrompt) {
	p.touchSegments(now, placed.Keys)
	if t := p.targets[placed.Target]; t != nil && t.cache != nil && len(placed.Keys) == len(placed.Tokens) {
		t.cache.insert(placed.Keys, placed.Tokens, t.ownUsage.MemoryTokens)
	}
}
