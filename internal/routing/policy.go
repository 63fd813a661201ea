package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"geraniumturn.example/geraniumturn/internal/targets"
)

// TokensPerBlock is the number of prompt tokens per prefix digest.
const TokensPerBlock = 256

// RequestProfile holds the properties of a request that policies use.
type RequestProfile struct {
	Prefixes []uint64
	// PromptTokens and OutputTokens are estimated from the size of the body and the
	// cost of the request.
	PromptTokens, OutputTokens int64
	// Prefill is the time per uncached prompt token and Service the time of a
	// complete response, both measured on this pool's targets.
	Prefill, Service time.Duration
}

// uncachedTokens returns the number of prompt tokens to prefill if the given number of
// prefix blocks is cached.
func (p *RequestProfile) uncachedTokens(blocks int) int64 {
	return max(p.PromptTokens-int64(blocks)*TokensPerBlock, 0)
}

// Policy chooses a target. Pick returns an index into candidates, which is never
// empty.
type Policy interface {
	Pick(random *rand.Rand, profile *RequestProfile, candidates []targets.Candidate) int
}

// Random chooses a random target.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(random *rand.Rand, _ *RequestProfile, c []targets.Candidate) int {
	return random.IntN(len(c))
}

// RoundRobin chooses the targets in turn.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (p *RoundRobin) Pick(_ *rand.Rand, _ *RequestProfile, c []targets.Candidate) int {
	p.next++
	return p.next % len(c)
}

// LeastInFlight chooses the target with the fewest requests of this host per slot.
type LeastInFlight struct{}

// Pick implements Policy.
func (LeastInFlight) Pick(_ *rand.Rand, _ *RequestProfile, c []targets.Candidate) int {
	return argMin(c, func(c *targets.Candidate) float64 { return float64(c.InFlight+1) / float64(c.Slots) })
}

// LeastReported chooses the target with the least load per slot in its last
// announcement.
type LeastReported struct{}

// Pick implements Policy.
func (LeastReported) Pick(_ *rand.Rand, _ *RequestProfile, c []targets.Candidate) int {
	return argMin(c, func(c *targets.Candidate) float64 { return float64(c.ReportedLoad+1) / float64(c.Slots) })
}

// TwoChoices chooses the less loaded of two random targets.
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

func argMin(c []targets.Candidate, value func(*targets.Candidate) float64) int {
	best, bestValue := 0, math.Inf(1)
	for i := range c {
		if v := value(&c[i]); v < bestValue {
			best, bestValue = i, v
		}
	}
	return best
}

// Affinity estimates the time to the complete response on each target: the wait for a
// slot, the prefill of uncached tokens, and the slowdown by concurrent requests. It
// chooses the less loaded of two random targets whose time is within TimeTolerance of
// the shortest, so that hosts with the same outdated announcements do not all choose
// the same target. If no target has the prefix cached, all hosts choose the same
// preferred target by rendezvous hashing, as long as its load is at most LoadBound
// times the mean.
type Affinity struct {
	// LoadBound is the largest load, relative to the mean, at which affinity applies.
	LoadBound float64
	// TimeTolerance is the relative difference in estimated time that is ignored.
	TimeTolerance float64
	// Contention is the slowdown of a response on a full target, as a share of the
	// service time.
	Contention float64
}

// DefaultAffinity has the default parameters; docs/POLICY.md lists their measurements.
var DefaultAffinity = Affinity{LoadBound: 1.5, TimeTolerance: 0.05, Contention: 0.3}

// Pick implements Policy.
func (p Affinity) Pick(random *rand.Rand, profile *RequestProfile, c []targets.Candidate) int {
	maxUtil := p.maxUtilisation(c)
	anyCached, preferred := false, -1
	for i := range c {
		anyCached = anyCached || c[i].CachedPrefixes > 0
	}
	if !anyCached && len(profile.Prefixes) > 0 {
		preferred = preferredTarget(profile.Prefixes[0], c, maxUtil)
	}
	if preferred >= 0 {
		return preferred
	}
	minTime := math.Inf(1)
	for i := range c {
		minTime = min(minTime, p.estimateTime(profile, &c[i], maxUtil))
	}
	return p.pickAmongFastest(random, profile, c, maxUtil, minTime*(1+p.TimeTolerance)+float64(time.Millisecond))
}

// pickAmongFastest samples two of the targets whose estimated time is at most maxTime,
// by reservoir sampling, and returns the less loaded one.
func (p Affinity) pickAmongFastest(random *rand.Rand, profile *RequestProfile, c []targets.Candidate, maxUtil, maxTime float64) int {
	samples, eligible := [2]int{-1, -1}, 0
	for i := range c {
		if p.estimateTime(profile, &c[i], maxUtil) > maxTime {
			continue
		}
		eligible++
		for k := range samples {
			if random.IntN(eligible) == 0 {
				samples[k] = i
			}
		}
	}
	if samples[0] < 0 {
		return random.IntN(len(c))
	}
	if utilisation(&c[samples[1]]) < utilisation(&c[samples[0]]) {
		return samples[1]
	}
	return samples[0]
}

// maxUtilisation returns the utilisation up to which affinity applies.
func (p Affinity) maxUtilisation(c []targets.Candidate) float64 {
	totalLoad, totalLimit := 1, 0
	for i := range c {
		totalLoad += c[i].Load
		totalLimit += c[i].Limit
	}
	return p.LoadBound * float64(totalLoad) / float64(max(totalLimit, 1))
}

// estimateTime returns the expected time to the complete response in nanoseconds.
func (p Affinity) estimateTime(profile *RequestProfile, c *targets.Candidate, maxUtil float64) float64 {
	cached := c.CachedPrefixes
	slots := float64(max(c.Limit, 1))
	if c.Load >= c.Limit && float64(c.Load+1)/slots > maxUtil+1/slots {
		cached = 0 // full and above the load bound
	}
	prefill := float64(profile.Prefill) * float64(profile.uncachedTokens(cached))
	service := float64(profile.Service)
	t := prefill + service*p.Contention*float64(c.Load)/slots
	if c.Load >= c.Limit {
		t += service * (1 + float64(c.Load-c.Limit)) / slots
	}
	if c.FreeKVTokens >= 0 && c.FreeKVTokens < profile.uncachedTokens(cached)+profile.OutputTokens {
		t += service // waits for free KV cache, or evicts entries of other requests
	}
	return t
}

// preferredTarget returns the target with the highest rendezvous weight for the prefix
// among targets that have a free slot and are below the load bound, or -1 if there is
// none.
func preferredTarget(prefix uint64, c []targets.Candidate, maxUtil float64) int {
	best, bestWeight := -1, uint64(0)
	for i := range c {
		if c[i].Load >= c[i].Limit || utilisation(&c[i]) > maxUtil+1/float64(c[i].Limit) {
			continue
		}
		if weight := rendezvousWeight(prefix, c[i].Name); best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

// rendezvousWeight returns the rendezvous hashing weight of a prefix and a target name:
// FNV-1a over the name, combined with the prefix, then the finaliser of SplitMix64.
func rendezvousWeight(prefix uint64, name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	h ^= prefix
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
