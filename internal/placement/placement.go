package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumturn.example/geraniumturn/internal/shares"
)

const (
	// serviceSlots are assumed when a target does not say.
	serviceSlots = 4
	// serviceTime is the assumed work of a plain request before one was measured.
	serviceTime = 40 * float64(time.Millisecond)
	// holdTime is the assumed time that an engine request occupies a slot before
	// one was measured.
	holdTime = 1500 * float64(time.Millisecond)
	// averageWeight is the weight of the newest value in a running average.
	averageWeight = 0.1
	// engineStall and serviceStall are the silence of a target with requests in
	// progress after which it gets no others while there is a choice.
	engineStall  = 900 * time.Millisecond
	serviceStall = 400 * time.Millisecond
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.12
	// failureHalfLife lets a target that gets no requests recover.
	failureHalfLife = 4 * time.Second
	// ejectFirst and ejectMax bound how long a target without connection is
	// passed over; the time doubles with each failure.
	ejectFirst = 300 * time.Millisecond
	ejectMax   = 3 * time.Second
	// peerLife is how long what another host said of its use counts.
	peerLife = 1500 * time.Millisecond
)

// Engine has the speeds of the model engines.
type Engine struct {
	// ReadSpeed is how many prompt tokens are read in a second.
	PrefillRate float64
	// Step is the time of one step, and SlotStep what each running request adds.
	Step, StepPerRequest time.Duration
	// FirstToken is the least time to the first token.
	MinFirstToken time.Duration
	// Chunk is how many prompt tokens are read between two steps.
	ChunkTokens float64
}

// DefaultEngine has usual speeds; ReadSpeed is set by the settings.
func DefaultEngine(readSpeed float64) Engine {
	return Engine{PrefillRate: readSpeed, Step: 4400 * time.Microsecond, StepPerRequest: 110 * time.Microsecond,
		MinFirstToken: 80 * time.Millisecond, ChunkTokens: 2048}
}

// Request is what placement must know of a request.
type Request struct {
	Service  string
	Model    string
	Segments []PromptSegment
	// Prompt and Output are the tokens of an engine request.
	PromptTokens, OutputTokens int64
	// Bound prompts may not leave the region.
	RegionBound bool
	// Objective is the time to the first byte that earns full credit, and Time
	// what remains until the caller leaves.
	Objective, TimeLeft time.Duration
	keys                []uint64
}

// Spec describes a target as it is registered.
type Spec struct {
	ID, Address, Service, DataCentre string
	Slots                            int
	// CacheTokens is the memory of an engine; 0 for a plain service.
	CacheTokens int64
	// ColdUntil is when the target is warm. Until then a paced target gets at most
	// ColdLimit requests from this host in any second.
	ColdUntil time.Duration
	Paced     bool
	ColdLimit int
	// Suspect targets are used only when there is no other one.
	Suspect bool
	Region  string
	// Remote targets are in another region: they get no requests from this host,
	// but others may fetch prompt parts from them.
	Remote bool
}

// Usage is what requests in progress occupy at a target.
type Usage struct {
	Running int
	// Memory is in tokens, Unread in prompt tokens that are still to be read.
	MemoryTokens  int64
	PrefillTokens float64
}

func (u Usage) add(v Usage) Usage {
	return Usage{u.Running + v.Running, u.MemoryTokens + v.MemoryTokens, u.PrefillTokens + v.PrefillTokens}
}

// Target is the model of one target.
type Target struct {
	Spec
	own    Usage
	others map[string]otherUsage // by host
	cache  *prefixCache
	pace   shares.Pacer
	// work is the average time of a request.
	work     float64
	failures float64
	failedAt time.Duration
	ejected  time.Duration
	eject    time.Duration
	// heard is when a byte last arrived from the target, or when the first of its
	// requests in progress was sent.
	heard time.Duration
}

type otherUsage struct {
	Usage
	at time.Duration
}

// use returns what all hosts occupy at the target, as far as known, and how old the
// oldest part of it is.
func (t *Target) use(now time.Duration) (u Usage, age time.Duration) {
	u = t.own
	for _, o := range t.others {
		if now-o.at <= peerLife {
			u, age = u.add(o.Usage), max(age, now-o.at)
		}
	}
	return u, age
}

// Placer holds the targets that this host may use. It is not safe for concurrent
// use.
type Placer struct {
	// Policy is the way of choosing.
	Policy Policy
	// ReuseWindow is how long after its use a prompt part counts as known.
	ReuseWindow time.Duration

	// Reachable tells for a region whether its hosts have answered lately. Targets
	// are not asked to fetch from others that they cannot reach. Nil means all are.
	Reachable func(now time.Duration, region string) bool

	engine    Engine
	used      map[uint64]time.Duration // last use of each shared part at any target
	targets   map[string]*Target
	byService map[string][]*Target
	remote    map[string][]*Target // by service
	rand      *rand.Rand
	pair      map[int]bool // the targets that TwoChoices has drawn
	// placed are prompts that were sent since the last call of TakePlaced, for
	// hosts of this region and of others.
	placed [scopes][]PlacedPrompt
}

// Policy is a way of choosing between targets. All but ExpectedCost are baselines for
// measurements.
type Policy string

// The policies.
const (
	// ExpectedCost takes the least expected loss; the default.
	ExpectedCost Policy = "affinity"
	// LeastInFlight takes the target with the fewest requests of this host.
	LeastInFlight Policy = "least_in_flight"
	// TwoChoices takes the one with fewer requests of two random targets.
	TwoChoices Policy = "two_choices"
	// Random takes any target.
	Random Policy = "random"
)

// baseline replaces the cost of a choice by that of a baseline. seen is how many
// usable targets came before this one.
func (p *Placer) baseline(c *Choice, seen int) {
	switch p.Policy {
	case LeastInFlight:
		c.Cost, c.Source = float64(c.Target.own.Running), nil
	case Random:
		c.Cost, c.Source = p.rand.Float64(), nil
	case TwoChoices:
		c.Cost, c.Source = float64(c.Target.own.Running), nil
		if !p.pair[seen] {
			c.Cost += notDrawn
		}
	}
}

// notDrawn is above the number of requests that a target can run.
const notDrawn = 1e6

// Scope tells for whom something is.
type Scope int

// The scopes.
const (
	SameRegion   Scope = iota // hosts of this region
	OtherRegions              // hosts of other regions
	scopes
)

// Placed is a prompt that a target has read.
type PlacedPrompt struct {
	Target string
	Keys   []uint64
	Tokens []int64
}

const (
	// defaultReuse is the reuse window where the settings have none.
	defaultReuse = 10 * time.Second
	// leastShared is the shared prompt that other regions are told of.
	leastShared = 500
	// maxUsed bounds the parts whose last use is remembered.
	maxUsed = 50_000
)

// maxPlaced bounds the prompts that wait to be told to other hosts.
const maxPlaced = 512

// New returns a placer without targets.
func New(engine Engine, random *rand.Rand) *Placer {
	return &Placer{ReuseWindow: defaultReuse, used: map[uint64]time.Duration{}, engine: engine, targets: map[string]*Target{}, byService: map[string][]*Target{}, rand: random}
}

// SetTargets replaces the targets; the models of those that stay are kept.
func (p *Placer) SetTargets(specs []Spec) {
	targets := make(map[string]*Target, len(specs))
	p.byService, p.remote = map[string][]*Target{}, map[string][]*Target{}
	for _, s := range specs {
		t := p.targets[s.ID]
		if t == nil || t.Address != s.Address || t.Service != s.Service {
			t = &Target{work: serviceTime, others: map[string]otherUsage{}}
		}
		t.setMemory(s.CacheTokens)
		t.Spec = s
		if t.Slots <= 0 {
			t.Slots = serviceSlots
		}
		targets[s.ID] = t
		if s.Remote {
			p.remote[s.Service] = append(p.remote[s.Service], t)
		} else {
			p.byService[s.Service] = append(p.byService[s.Service], t)
		}
	}
	p.targets = targets
}

// setMemory makes the target an engine with a memory, or a plain one with 0: a new
// configuration may change this while the target runs.
func (t *Target) setMemory(tokens int64) {
	switch {
	case tokens <= 0:
		if t.cache != nil {
			t.cache, t.work = nil, serviceTime
		}
	case t.cache == nil:
		t.cache, t.work = newPrefixCache(tokens), holdTime
	default:
		t.cache.capacity = tokens
	}
}

// Choice is where a request may go.
type Choice struct {
	Target *Target
	Estimate
	// Cost is the expected loss, as a part of the request's credit.
	Cost float64
	// Source has parts of the prompt that Target lacks, or is nil.
	Source *Target
	// Found is what occupied the target, as far as known, and Age how old the oldest
	// part of it is. Read is how much of the prompt the target is believed to have.
	Usage        Usage
	UsageAge     time.Duration
	CachedTokens int64
}

// Choose returns the target with the least expected cost among those that are not
// excluded. It reports false when none can take the request now.
func (p *Placer) Choose(now time.Duration, r *Request, excluded func(id string) bool) (Choice, bool) {
	if r.keys == nil {
		r.keys = chain(r.Model, r.Segments)
	}
	from := p.sources(now, r)
	best, found := Choice{}, false
	for pass := 0; pass < 2 && !found; pass++ {
		ties, considered := 0, 0
		if n := len(p.byService[r.Service]); p.Policy == TwoChoices && n > 0 {
			p.pair = map[int]bool{p.rand.IntN(n): true, p.rand.IntN(n): true}
		}
		for _, t := range p.byService[r.Service] {
			if excluded != nil && excluded(t.ID) || !t.usable(now, pass > 0) {
				continue
			}
			c := p.rate(now, t, r, from)
			p.baseline(&c, considered)
			considered++
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
	return best, found
}

// usable reports whether the target may get a request now. As the last resort
// those that are suspect or were passed over count too.
func (t *Target) usable(now time.Duration, lastResort bool) bool {
	if now < t.ColdUntil && t.Paced && !t.pace.Allows(now, t.ColdLimit) {
		return false
	}
	return lastResort || !t.Suspect && now >= t.ejected && !t.stalled(now)
}

// stalled reports whether the target owes bytes for longer than it should.
func (t *Target) stalled(now time.Duration) bool {
	limit := serviceStall
	if t.cache != nil {
		limit = engineStall
	}
	return t.own.Running > 0 && now-t.heard > limit
}

// Heard records that bytes have arrived from the target of a request.
func (p *Placer) RecordBytes(now time.Duration, u *Attempt) {
	u.target.heard = max(u.target.heard, now)
}

func (t *Target) failureRate(now time.Duration) float64 {
	halves := float64(now-t.failedAt) / float64(failureHalfLife)
	return t.failures / (1 + halves*halves)
}

// Use is a request on its way to a target.
type Attempt struct {
	target  *Target
	started time.Duration
	usage   Usage
}

// Start records that a request is sent to the target.
func (p *Placer) Start(now time.Duration, t *Target, r *Request) *Attempt {
	u := &Attempt{target: t, started: now, usage: Usage{Running: 1}}
	if t.own.Running == 0 {
		t.heard = now
	}
	if now < t.ColdUntil {
		t.pace.Add(now)
	}
	if t.cache != nil {
		u.usage.MemoryTokens = r.PromptTokens + r.OutputTokens
		u.usage.PrefillTokens = max(0, float64(r.PromptTokens-t.cache.hit(r.keys, r.Segments)))
		t.cache.use(r.keys, tokensOf(r.Segments), t.own.MemoryTokens+u.usage.MemoryTokens)
		p.note(t, r)
		p.touch(now, r.keys)
	}
	t.own = t.own.add(u.usage)
	return u
}

// note keeps a prompt for other hosts. Short ones are not worth a transfer between
// regions.
func (p *Placer) note(t *Target, r *Request) {
	placed := PlacedPrompt{t.ID, r.keys, tokensOf(r.Segments)}
	for scope := range p.placed {
		if len(p.placed[scope]) < maxPlaced && (Scope(scope) == SameRegion || !r.RegionBound && sharedTokens(r.Segments) >= leastShared) {
			p.placed[scope] = append(p.placed[scope], placed)
		}
	}
}

// touch remembers the use of all parts but the last one, which is not shared.
func (p *Placer) touch(now time.Duration, keys []uint64) {
	if len(p.used) > maxUsed {
		maps.DeleteFunc(p.used, func(_ uint64, at time.Duration) bool { return now-at > p.ReuseWindow })
	}
	for _, k := range keys[:max(0, len(keys)-1)] {
		p.used[k] = now
	}
}

// FirstByte records that the answer has begun.
func (p *Placer) FirstByte(u *Attempt) {
	u.target.own.PrefillTokens = max(0, u.target.own.PrefillTokens-u.usage.PrefillTokens)
	u.usage.PrefillTokens = 0
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
	// Broken means that the connection ended before an answer.
	Broken
	// Cancelled says nothing of the target.
	Cancelled
)

// Done records the end of a request.
func (p *Placer) Done(now time.Duration, u *Attempt, o Outcome) {
	t := u.target
	p.FirstByte(u)
	t.own.Running--
	t.own.MemoryTokens -= u.usage.MemoryTokens
	switch o {
	case Served:
		t.note(now, 0)
		t.eject = 0
		t.work += averageWeight * (float64(now-u.started) - t.work)
	case Rejected, Failed:
		t.note(now, 1)
	case Unreachable, Broken:
		if o == Broken {
			t.note(now, 1)
		}
		t.eject = min(ejectMax, max(ejectFirst, 2*t.eject))
		t.ejected = now + t.eject
	case Cancelled:
	}
}

func (t *Target) note(now time.Duration, failed float64) {
	rate := t.failureRate(now)
	t.failures, t.failedAt = rate+failureWeight*(failed-rate), now
}

// Eject passes the target of a request over for a time.
func (p *Placer) Eject(u *Attempt, until time.Duration) {
	u.target.ejected = max(u.target.ejected, until)
}

// Services returns the names of the services with targets here, in order.
func (p *Placer) Services() []string { return slices.Sorted(maps.Keys(p.byService)) }

// Own returns what this host occupies, by target.
func (p *Placer) OwnUsage() map[string]Usage {
	out := map[string]Usage{}
	for id, t := range p.targets {
		if t.own.Running > 0 {
			out[id] = t.own
		}
	}
	return out
}

// SetOther replaces what another host occupies.
func (p *Placer) SetHostUsage(now time.Duration, host string, usage map[string]Usage) {
	for id, t := range p.targets {
		if u, ok := usage[id]; ok {
			t.others[host] = otherUsage{u, now}
		} else {
			delete(t.others, host)
		}
	}
}

// TakePlaced returns the prompts that were sent since the last call for the scope.
func (p *Placer) TakePlacedPrompts(s Scope) []PlacedPrompt {
	out := p.placed[s]
	p.placed[s] = nil
	return out
}

// RelayPlaced passes a prompt that a host of another region sent on to the hosts of
// this one.
func (p *Placer) RelayPlacedPrompt(placed PlacedPrompt) {
	if len(p.placed[SameRegion]) < maxPlaced {
		p.placed[SameRegion] = append(p.placed[SameRegion], placed)
	}
}

// NotePlaced records that another host sent a prompt to a target.
func (p *Placer) RecordPlacedPrompt(now time.Duration, placed PlacedPrompt) {
	p.touch(now, placed.Keys)
	if t := p.targets[placed.Target]; t != nil && t.cache != nil && len(placed.Keys) == len(placed.Tokens) {
		t.cache.use(placed.Keys, placed.Tokens, t.own.MemoryTokens)
	}
}
