package routing

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"text/tabwriter"
	"time"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/rules"
)

var (
	experiment = flag.Bool("experiment", false, "run the whole policy experiment and print its tables")
	modelSeed  = flag.Uint64("model-seed", 1, "seed of the policy experiment")
)

// load describes the callers and targets of one of the first users.
type load struct {
	name    string
	hosts   map[string]int
	engines map[string]int
	slots   int
	prefill time.Duration
	token   time.Duration
	cache   int // blocks per engine
	kinds   []kind
	// rate is requests per second and engine slot at the mean of the day.
	rate float64
}

type kind struct {
	share                  float64
	shared, unique, output int64 // tokens
	documents              int   // shared prefixes per workspace
}

var cantabrico = load{name: "Cantábrico", hosts: map[string]int{"gijon-a": 2, "santander-a": 1, "bilbao-a": 1},
	engines: map[string]int{"gijon-a": 4, "santander-a": 3, "bilbao-a": 2}, slots: 8,
	prefill: 100 * time.Microsecond, token: 15 * time.Millisecond, cache: 400, rate: 0.21,
	kinds: []kind{{share: 0.3, shared: 6144, unique: 1536, output: 400, documents: 8},
		{share: 0.7, shared: 768, unique: 256, output: 60, documents: 4}}}

var tanoa = load{name: "Tanoa", hosts: map[string]int{"suva-a": 2, "akl-a": 1, "syd-a": 1},
	engines: map[string]int{"suva-a": 4, "akl-a": 3, "syd-a": 3}, slots: 8,
	prefill: 50 * time.Microsecond, token: 5 * time.Millisecond, cache: 300, rate: 2.6,
	kinds: []kind{{share: 1, shared: 1024, unique: 256, output: 30, documents: 30}}}

// manyHosts has Tanoa's requests in one data centre with six hosts, which all
// see the same lagging reports.
var manyHosts = load{name: "Six hosts, 12 engines, one data centre", hosts: map[string]int{"one": 6}, engines: map[string]int{"one": 12},
	slots: 8, prefill: tanoa.prefill, token: tanoa.token, cache: 300, rate: 2.6, kinds: tanoa.kinds}

// workspaces share the load; two of the five are large.
var workspaceShares = []float64{0.4, 0.3, 0.1, 0.1, 0.1}

type scenario struct {
	// swing is the relative height of the daily peaks, which are offset
	// between the data centres; a day lasts period.
	swing  float64
	period time.Duration
	// halve takes half of the slots of one data centre from lossAt to backAt;
	// its caches are empty at backAt.
	halve          string
	lossAt, backAt time.Duration
	scale          float64
	length         time.Duration
}

const warmUp = 30 * time.Second

func (l load) run(seed uint64, policy func() Policy, sitePolicy DataCentrePolicy, s scenario) *modelResult {
	m := newModel(seed)
	m.delay = func(a, b string) time.Duration { return 55 * time.Millisecond }
	m.addHosts(l.hosts, policy, sitePolicy)
	var dcs []string
	for dc := range l.engines {
		dcs = append(dcs, dc)
	}
	slices.Sort(dcs)
	for _, dc := range dcs {
		for i := range l.engines[dc] {
			m.addEngine(&modelEngine{name: fmt.Sprintf("%s-e%d", dc, i), dc: dc, slots: l.slots,
				prefill: l.prefill, token: l.token, cacheRoom: l.cache})
		}
	}
	m.result.start = m.now.Add(warmUp)
	for i, dc := range dcs {
		m.addCallers(l, s, dc, rand.New(rand.NewPCG(seed, uint64(10+i))), float64(i)/float64(len(dcs)))
	}
	m.after(warmUp, func() { m.counted = true })
	if s.halve != "" {
		m.after(warmUp+s.lossAt, func() { m.setSlots(s.halve, l.slots/2, false) })
		m.after(warmUp+s.backAt, func() { m.setSlots(s.halve, l.slots, true) })
	}
	m.run(m.result.start.Add(s.length))
	for r := range m.open {
		m.record(r)
	}
	return &m.result
}

func (m *model) setSlots(dc string, slots int, clearCache bool) {
	for _, e := range m.engines {
		if e.dc != dc {
			continue
		}
		e.slots = slots
		if clearCache {
			e.cache, e.cacheOrder, e.cleared = map[uint64]int{}, nil, true
		}
	}
}

var modelBody = make([]byte, 64<<10)

// callers submits requests of the data centre's own callers as a Poisson process.
func (m *model) addCallers(l load, s scenario, dc string, c *rand.Rand, phase float64) {
	var hosts []*modelHost
	for _, h := range m.hosts {
		if h.dc == dc {
			hosts = append(hosts, h)
		}
	}
	mean := l.rate * float64(l.slots*l.engines[dc]) * s.scale
	var next func()
	next = func() {
		angle := 2 * math.Pi * (float64(m.now.Sub(m.result.start))/float64(s.period) + phase)
		rate := mean * (1 + s.swing*math.Sin(angle))
		m.submit(hosts[c.IntN(len(hosts))], request(l, c))
		m.after(time.Duration(c.ExpFloat64()/max(rate, 0.01)*float64(time.Second)), next)
	}
	m.after(0, next)
}

func request(l load, c *rand.Rand) *modelRequest {
	w, share := 0, c.Float64()
	for share > workspaceShares[w] && w < len(workspaceShares)-1 {
		share -= workspaceShares[w]
		w++
	}
	k := l.kinds[0]
	at := 0
	for pick := c.Float64(); pick > k.share && at < len(l.kinds)-1; k = l.kinds[at] {
		pick -= k.share
		at++
	}
	document := int(float64(k.documents) * math.Pow(c.Float64(), 2)) // skewed to the first ones
	base := uint64(w)<<48 | uint64(at)<<40 | uint64(document)<<32
	var prefixes []uint64
	for i := range k.shared / TokensPerBlock {
		prefixes = append(prefixes, mix(base|uint64(i), "shared"))
	}
	own := c.Uint64()
	for i := range k.unique / TokensPerBlock {
		prefixes = append(prefixes, mix(own, fmt.Sprint(i)))
	}
	prompt := k.shared + k.unique
	output := k.output/2 + c.Int64N(k.output)
	return &modelRequest{workspace: fmt.Sprintf("w%d", w), output: output, req: &dispatch.Request{
		Workspace: fmt.Sprintf("w%d", w), Pool: "pool", Kind: rules.Engine, Model: "model", Reach: rules.ReachAny, Idempotent: true,
		Body: modelBody[:prompt*bytesPerToken], Cost: prompt + 2*output, Budget: 3, Visited: []string{"entry"}, Prefixes: prefixes}}
}

func (r *modelResult) worst() time.Duration {
	worst := time.Duration(0)
	for _, d := range r.workspaces {
		worst = max(worst, quantile(d, 0.99))
	}
	return worst
}

// between returns the latencies of requests that arrived in the interval.
func (r *modelResult) between(from, to time.Duration) []time.Duration {
	var out []time.Duration
	for s := int(from / time.Second); s < int(to/time.Second); s++ {
		out = append(out, r.series[s]...)
	}
	return out
}

func (r *modelResult) row() string {
	return fmt.Sprintf("%d\t%d\t%.2f\t%.2f\t%.2f\t%.1f %%\t%.2f M", r.requests, r.refused,
		quantile(r.latencies, 0.5).Seconds(), quantile(r.latencies, 0.99).Seconds(), r.worst().Seconds(),
		100*float64(r.sentAway)/float64(max(r.requests, 1)), float64(r.prefill)/1e6)
}

var targetPolicies = []struct {
	name string
	make func() Policy
}{
	{"random", func() Policy { return Random{} }},
	{"round robin", func() Policy { return &RoundRobin{} }},
	{"least in flight", func() Policy { return LeastInFlight{} }},
	{"least reported", func() Policy { return LeastReported{} }},
	{"two choices", func() Policy { return TwoChoices{} }},
	{"affinity", func() Policy { return DefaultAffinity }},
}

var sitePolicies = []struct {
	name   string
	policy DataCentrePolicy
}{
	{"always local", AlwaysLocal{}},
	{"least loaded", LeastLoaded{}},
	{"expected time", DefaultExpectedTime},
}

// TestPolicyExperiment prints the tables of docs/POLICY.md. Run it with
// go test ./internal/routing -run TestPolicyExperiment -experiment -v
func TestPolicyExperiment(t *testing.T) {
	if !*experiment {
		t.Log("a measurement, run with -experiment")
		return
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer out.Flush()
	header := "requests\tgiven up\tp50 s\tp99 s\tworst workspace p99 s\tsent away\tprefill tokens"
	for _, l := range []load{cantabrico, tanoa, manyHosts} {
		for _, scale := range []float64{0.7, 1, 1.15} {
			fmt.Fprintf(out, "\n%s, choice of target, load %.2f, seed %d\n\t%s\n", l.name, scale, *modelSeed, header)
			for _, p := range targetPolicies {
				r := l.run(*modelSeed, p.make, AlwaysLocal{}, scenario{period: time.Minute, scale: scale, length: 2 * time.Minute})
				fmt.Fprintf(out, "%s\t%s\n", p.name, r.row())
			}
		}
		if len(l.hosts) > 1 {
			l.printSites(out, header)
		}
	}
}

func (l load) printSites(out *tabwriter.Writer, header string) {
	halved := map[string]string{"Cantábrico": "gijon-a", "Tanoa": "suva-a"}[l.name]
	for _, c := range []struct {
		name string
		scenario
	}{
		{"offset peaks", scenario{swing: 0.6, period: 90 * time.Second, scale: 0.9, length: 3 * time.Minute}},
		{"half of one region lost from 40 s to 100 s, cold return", scenario{period: time.Minute, scale: 0.8,
			halve: halved, lossAt: 40 * time.Second, backAt: 100 * time.Second, length: 3 * time.Minute}},
		{"both", scenario{swing: 0.5, period: 90 * time.Second, scale: 0.85, halve: halved,
			lossAt: 40 * time.Second, backAt: 100 * time.Second, length: 3 * time.Minute}},
	} {
		fmt.Fprintf(out, "\n%s, choice of data centre, %s, seed %d\n\t%s\tp99 s in the 20 s after the return\n", l.name, c.name, *modelSeed, header)
		for _, p := range sitePolicies {
			r := l.run(*modelSeed, func() Policy { return DefaultAffinity }, p.policy, c.scenario)
			fmt.Fprintf(out, "%s\t%s\t%.2f\n", p.name, r.row(), quantile(r.between(100*time.Second, 120*time.Second), 0.99).Seconds())
		}
	}
}
