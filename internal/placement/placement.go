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
	// decodeTime is what one more running stream adds to the time of another one.
	decodeTime = 1.2 * float64(time.Millisecond)
	// serviceTime is the assumed work of a plain request before one was measured.
	serviceTime = 40 * float64(time.Millisecond)
	// engineStall and serviceStall are the silence of a target with requests in
	// progress after which it gets no others while there is a choice.
	engineStall  = 900 * time.Millisecond
	serviceStall = 400 * time.Millisecond
	// memoryShare of an engine's memory may be planned for; the rest covers
	// answers that are longer than stated.
	memoryShare = 0.95
	// memoryWait is the expected wait for each request that exceeds the memory.
	memoryWait = 150 * float64(time.Millisecond)
	// failurePenalty is the cost of a certain failure in the score.
	failurePenalty = 2 * float64(time.Second)
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.12
	// failureHalfLife lets a target that gets no requests recover.
	failureHalfLife = 4 * time.Second
	// ejectFirst and ejectMax bound how long a target without connection is
	// passed over; the time doubles with each failure.
	ejectFirst = 300 * time.Millisecond
	ejectMax   = 3 * time.Second
)

// Request is what placement must know of a request.
type Request struct {
	Service string
	Model   string
	Parts   []Part
	// Prompt and Output are the tokens of an engine request.
	Prompt, Output int64
	keys           []uint64
}

// Spec describes a target as it is registered.
type Spec struct {
	ID, Address, Service, DataCentre string
	Slots                            int
	// CacheTokens is the memory of an engine; 0 for a plain service.
	CacheTokens int64
	// ColdUntil is when the target is warm; ColdLimit bounds the requests of this
	// host in any second until then. 0 means no bound.
	ColdUntil time.Duration
	ColdLimit int
	// Suspect targets are used only when there is no other one.
	Suspect bool
}

// Target is the model of one target.
type Target struct {
	Spec
	running  int
	memory   int64
	unread   float64 // prompt tokens that are still to be read
	cache    *prefixCache
	pace     shares.Pace
	work     float64 // average time of a plain request, in ns
	failures float64
	failedAt time.Duration
	ejected  time.Duration
	eject    time.Duration
	// heard is when a byte last arrived from the target, or when the first of its
	// requests in progress was sent.
	heard time.Duration
}

// Placer holds the targets that this host may use. It is not safe for concurrent
// use.
type Placer struct {
	// ReadSpeed is how many prompt tokens an engine reads in a second.
	ReadSpeed float64
	targets   map[string]*Target
	byService map[string][]*Target
	rand      *rand.Rand
}

// New returns a placer without targets.
func New(readSpeed float64, random *rand.Rand) *Placer {
	return &Placer{ReadSpeed: readSpeed, targets: map[string]*Target{}, byService: map[string][]*Target{}, rand: random}
}

// SetTargets replaces the targets; the models of those that stay are kept.
func (p *Placer) SetTargets(specs []Spec) {
	targets := make(map[string]*Target, len(specs))
	p.byService = map[string][]*Target{}
	for _, s := range specs {
		t := p.targets[s.ID]
		if t == nil || t.Address != s.Address || t.Service != s.Service {
			t = &Target{work: serviceTime}
			if s.CacheTokens > 0 {
				t.cache = newPrefixCache(s.CacheTokens)
			}
		}
		t.Spec = s
		if t.Slots <= 0 {
			t.Slots = serviceSlots
		}
		targets[s.ID] = t
		p.byService[s.Service] = append(p.byService[s.Service], t)
	}
	p.targets = targets
}

// Choice is where a request may go.
type Choice struct {
	Target *Target
	// Wait is the expected time to the first byte.
	Wait time.Duration
}

// Choose returns the target with the least expected cost among those that are not
// excluded. It reports false when none can take the request now.
func (p *Placer) Choose(now time.Duration, r *Request, excluded func(id string) bool) (Choice, bool) {
	if r.keys == nil {
		r.keys = chain(r.Model, r.Parts)
	}
	best, bestCost, found := Choice{}, 0.0, false
	for pass := 0; pass < 2 && !found; pass++ {
		seen := 0
		for _, t := range p.byService[r.Service] {
			if excluded != nil && excluded(t.ID) || !t.usable(now, pass > 0) {
				continue
			}
			wait, cost := p.cost(now, t, r)
			if !found || cost < bestCost {
				best, bestCost, found, seen = Choice{t, time.Duration(wait)}, cost, true, 1
			} else if cost == bestCost {
				if seen++; p.rand.IntN(seen) == 0 {
					best = Choice{t, time.Duration(wait)}
				}
			}
		}
	}
	return best, found
}

// usable reports whether the target may get a request now. As the last resort
// those that are suspect or were passed over count too.
func (t *Target) usable(now time.Duration, lastResort bool) bool {
	if now < t.ColdUntil && t.ColdLimit > 0 && !t.pace.Allows(now, t.ColdLimit) {
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
	return t.running > 0 && now-t.heard > limit
}

// Heard records that bytes have arrived from the target of a request.
func (p *Placer) Heard(now time.Duration, u *Use) { u.target.heard = max(u.target.heard, now) }

// cost returns the expected time to the first byte, in ns, and the score with the
// risk of a failure.
func (p *Placer) cost(now time.Duration, t *Target, r *Request) (wait, cost float64) {
	if t.cache != nil {
		miss := float64(r.Prompt - t.cache.hit(r.keys, r.Parts))
		wait = (t.unread+max(0, miss))/p.ReadSpeed*float64(time.Second) + float64(t.running)*decodeTime
		if over := t.memory + r.Prompt + r.Output - int64(memoryShare*float64(t.CacheTokens)); over > 0 {
			wait += memoryWait * (1 + float64(over)/float64(r.Prompt+r.Output+1))
		}
		if t.running >= t.Slots {
			wait += memoryWait * float64(t.running-t.Slots+1)
		}
	} else {
		wait = t.work * (1 + max(0, float64(t.running-t.Slots+1))/float64(t.Slots))
		wait += float64(t.running) * float64(time.Millisecond)
	}
	return wait, wait + failurePenalty*t.failureRate(now)
}

func (t *Target) failureRate(now time.Duration) float64 {
	halves := float64(now-t.failedAt) / float64(failureHalfLife)
	return t.failures / (1 + halves*halves)
}

// Use is a request on its way to a target.
type Use struct {
	target  *Target
	started time.Duration
	memory  int64
	unread  float64
}

// Start records that a request is sent to the target.
func (p *Placer) Start(now time.Duration, t *Target, r *Request) *Use {
	u := &Use{target: t, started: now}
	if t.running == 0 {
		t.heard = now
	}
	t.running++
	if now < t.ColdUntil {
		t.pace.Add(now)
	}
	if t.cache != nil {
		u.memory = r.Prompt + r.Output
		u.unread = max(0, float64(r.Prompt-t.cache.hit(r.keys, r.Parts)))
		t.memory += u.memory
		t.unread += u.unread
		t.cache.use(r.keys, r.Parts, t.memory)
	}
	return u
}

// FirstByte records that the answer has begun.
func (p *Placer) FirstByte(u *Use) {
	u.target.unread = max(0, u.target.unread-u.unread)
	u.unread = 0
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
func (p *Placer) Done(now time.Duration, u *Use, o Outcome) {
	t := u.target
	t.running--
	t.memory -= u.memory
	p.FirstByte(u)
	switch o {
	case Served:
		t.note(now, 0)
		t.eject = 0
		if t.cache == nil {
			t.work += 0.1 * (float64(now-u.started) - t.work)
		}
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
func (p *Placer) Eject(u *Use, until time.Duration) { u.target.ejected = max(u.target.ejected, until) }

// Services returns the names of the services with targets here, in order.
func (p *Placer) Services() []string { return slices.Sorted(maps.Keys(p.byService)) }

// usualPrompt is the size of the request that stands for the load of a service.
const usualPrompt = 1500

// Usual returns the expected time to the first byte of a usual request, or -1 when
// no target can take one.
func (p *Placer) Usual(now time.Duration, service string) time.Duration {
	c, ok := p.Choose(now, &Request{Service: service, Prompt: usualPrompt}, nil)
	if !ok {
		return -1
	}
	return c.Wait
}
