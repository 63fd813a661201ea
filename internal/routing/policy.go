package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"geraniumturn.example/geraniumturn/internal/targets"
)

// TokensPerBlock is how many tokens one prefix digest stands for.
const TokensPerBlock = 256

// RequestProfile describes a request to a policy.
type RequestProfile struct {
	Prefixes []uint64
	// PromptTokens and OutputTokens are estimates from the body.
	PromptTokens, OutputTokens int64
	// Prefill is the time per uncached prompt token, Service that of a whole
	// answer, both as measured on this pool's targets.
	Prefill, Service time.Duration
}

func (w *RequestProfile) uncached(blocks int) int64 {
	return max(w.PromptTokens-int64(blocks)*TokensPerBlock, 0)
}

// Policy chooses one of the candidates, which are never empty.
type Policy interface {
	Pick(random *rand.Rand, w *RequestProfile, candidates []targets.Candidate) int
}

// Random takes any target.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(random *rand.Rand, _ *RequestProfile, c []targets.Candidate) int {
	return random.IntN(len(c))
}

// RoundRobin takes one target after the other.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (p *RoundRobin) Pick(_ *rand.Rand, _ *RequestProfile, c []targets.Candidate) int {
	p.next++
	return p.next % len(c)
}

// LeastInFlight takes the target with the fewest requests of this host per
// slot. It is what the first version of this package did.
type LeastInFlight struct{}

// Pick implements Policy.
func (LeastInFlight) Pick(_ *rand.Rand, _ *RequestProfile, c []targets.Candidate) int {
	return least(c, func(c *targets.Candidate) float64 { return float64(c.InFlight+1) / float64(c.Slots) })
}

// LeastReported takes the target whose last report shows the least load.
type LeastReported struct{}

// Pick implements Policy.
func (LeastReported) Pick(_ *rand.Rand, _ *RequestProfile, c []targets.Candidate) int {
	return least(c, func(c *targets.Candidate) float64 { return float64(c.ReportedLoad+1) / float64(c.Slots) })
}

// TwoChoices takes the less loaded of two random targets.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(random *rand.Rand, _ *RequestProfile, c []targets.Candidate) int {
	a, b := random.IntN(len(c)), random.IntN(len(c))
	if utilisation(&c[b]) < utilisation(&c[a]) {
		return b
	}
	return a
}

func utilisation(c *targets.Candidate) float64 { return float64(c.Load+1) / float64(max(c.Limit, 1)) }

func least(c []targets.Candidate, value func(*targets.Candidate) float64) int {
	best, bestValue := 0, math.Inf(1)
	for i := range c {
		if v := value(&c[i]); v < bestValue {
			best, bestValue = i, v
		}
	}
	return best
}

// Affinity estimates the time to the whole answer on each target: waiting for
// a slot, prefill of what its cache lacks, and slower progress beside other
// work. It takes the less loaded of two random targets among those within
// TimeTolerance of the best, so that hosts with the same lagging reports do not all
// choose one target. A prefix that no target is believed to hold goes to the
// same preferred target from every host, unless that one is loaded beyond LoadBound
// times the mean.
type Affinity struct {
	// LoadBound is the largest load relative to the mean at which affinity holds.
	LoadBound float64
	// TimeTolerance is the relative difference in estimated time that is ignored.
	TimeTolerance float64
	// Contention is how much longer an answer takes on a full target, as a
	// share of the service time.
	Contention float64
}

// DefaultAffinity has the parameters that docs/POLICY.md gives the figures for.
var DefaultAffinity = Affinity{LoadBound: 1.5, TimeTolerance: 0.05, Contention: 0.3}

// Pick implements Policy.
func (p Affinity) Pick(random *rand.Rand, w *RequestProfile, c []targets.Candidate) int {
	limit := p.loadLimit(c)
	known, preferred := false, -1
	for i := range c {
		known = known || c[i].CachedPrefixes > 0
	}
	if !known && len(w.Prefixes) > 0 {
		preferred = preferredTarget(w.Prefixes[0], c, limit)
	}
	if preferred >= 0 {
		return preferred
	}
	best := math.Inf(1)
	for i := range c {
		best = min(best, p.estimate(w, &c[i], limit))
	}
	return p.pickNear(random, w, c, limit, best*(1+p.TimeTolerance)+float64(time.Millisecond))
}

// pickNear draws two targets with an estimate up to worst by reservoir
// sampling and returns the less loaded one.
func (p Affinity) pickNear(random *rand.Rand, w *RequestProfile, c []targets.Candidate, limit, worst float64) int {
	drawn, n := [2]int{-1, -1}, 0
	for i := range c {
		if p.estimate(w, &c[i], limit) > worst {
			continue
		}
		n++
		for k := range drawn {
			if random.IntN(n) == 0 {
				drawn[k] = i
			}
		}
	}
	if drawn[0] < 0 {
		return random.IntN(len(c))
	}
	if utilisation(&c[drawn[1]]) < utilisation(&c[drawn[0]]) {
		return drawn[1]
	}
	return drawn[0]
}

// loadLimit is the utilisation up to which a cached prefix counts.
func (p Affinity) loadLimit(c []targets.Candidate) float64 {
	load, limit := 1, 0
	for i := range c {
		load += c[i].Load
		limit += c[i].Limit
	}
	return p.LoadBound * float64(load) / float64(max(limit, 1))
}

// estimate is the expected time to the whole answer, in nanoseconds.
func (p Affinity) estimate(w *RequestProfile, c *targets.Candidate, limit float64) float64 {
	cached := c.CachedPrefixes
	slots := float64(max(c.Limit, 1))
	if c.Load >= c.Limit && float64(c.Load+1)/slots > limit+1/slots {
		cached = 0 // full and above the bound
	}
	prefill := float64(w.Prefill) * float64(w.uncached(cached))
	service := float64(w.Service)
	t := prefill + service*p.Contention*float64(c.Load)/slots
	if c.Load >= c.Limit {
		t += service * (1 + float64(c.Load-c.Limit)) / slots
	}
	if c.FreeKVTokens >= 0 && c.FreeKVTokens < w.uncached(cached)+w.OutputTokens {
		t += service // it must wait for cache room, or evicts that of others
	}
	return t
}

// preferredTarget is the rendezvous choice for the prefix among targets below
// the limit; -1 when there is none.
func preferredTarget(prefix uint64, c []targets.Candidate, limit float64) int {
	best, bestWeight := -1, uint64(0)
	for i := range c {
		if c[i].Load >= c[i].Limit || utilisation(&c[i]) > limit+1/float64(c[i].Limit) {
			continue
		}
		if weight := mix(prefix, c[i].Name); best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

// mix combines a prefix and a name into a rendezvous weight (FNV-1a over the
// name, then the finaliser of SplitMix64).
func mix(prefix uint64, name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	h ^= prefix
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
