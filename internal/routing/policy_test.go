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
	simSeed    = flag.Uint64("model-seed", 1, "seed of the policy experiment")
)

// workload describes the callers and targets of one deployment.
type workload struct {
	name    string
	hosts   map[string]int
	engines map[string]int
	slots   int
	prefill time.Duration
	token   time.Duration
	cache   int // blocks per engine
	kinds   []requestKind
	// rate is the mean number of requests per second and engine slot over a day.
	rate float64
}

type requestKind struct {
	share                  float64
	shared, unique, output int64 // tokens
	documents              int   // shared prefixes per workspace
}

var cantabrico = workload{name: "Cantábrico", hosts: map[string]int{"gijon-a": 2, "santander-a": 1, "bilbao-a": 1},
	engines: map[string]int{"gijon-a": 4, "santander-a": 3, "bilbao-a": 2}, slots: 8,
	prefill: 100 * time.Microsecond, token: 15 * time.Millisecond, cache: 400, rate: 0.21,
	kinds: []requestKind{{share: 0.3, shared: 6144, unique: 1536, output: 400, documents: 8},
		{share: 0.7, shared: 768, unique: 256, output: 60, documents: 4}}}

var tanoa = workload{name: "Tanoa", hosts: map[string]int{"suva-a": 2, "akl-a": 1, "syd-a": 1},
	engines: map[string]int{"suva-a": 4, "akl-a": 3, "syd-a": 3}, slots: 8,
	prefill: 50 * time.Microsecond, token: 5 * time.Millisecond, cache: 300, rate: 2.6,
	kinds: []requestKind{{share: 1, shared: 1024, unique: 256, output: 30, documents: 30}}}

// sixHosts has the requests of tanoa in one data centre with six hosts, which all see
// the same delayed announcements.
var sixHosts = workload{name: "Six hosts, 12 engines, one data centre", hosts: map[string]int{"one": 6}, engines: map[string]int{"one": 12},
	slots: 8, prefill: tanoa.prefill, token: tanoa.token, cache: 300, rate: 2.6, kinds: tanoa.kinds}

// workspaceShares are the shares of the workspaces in the load.
var workspaceShares = []float64{0.4, 0.3, 0.1, 0.1, 0.1}

type scenario struct {
	// peakAmplitude is the relative amplitude of the daily cycle, whose phase differs
	// between the data centres. A day lasts period.
	peakAmplitude float64
	period        time.Duration
	// halvedDC is a data centre that loses half of its slots at halvedAt and gets them
	// back, with empty caches, at restoredAt.
	halvedDC             string
	halvedAt, restoredAt time.Duration
	loadFactor           float64
	length               time.Duration
}

const warmUp = 30 * time.Second

func (l workload) run(seed uint64, policy func() Policy, dataCentrePolicy DataCentrePolicy, s scenario) *simResult {
	m := newSimulation(seed)
	m.delay = func(a, b string) time.Duration { return 55 * time.Millisecond }
	m.addHosts(l.hosts, policy, dataCentrePolicy)
	var dcs []string
	for dc := range l.engines {
		dcs = append(dcs, dc)
	}
	slices.Sort(dcs)
	for _, dc := range dcs {
		for i := range l.engines[dc] {
			m.addEngine(&simEngine{name: fmt.Sprintf("%s-e%d", dc, i), dc: dc, slots: l.slots,
				prefill: l.prefill, token: l.token, cacheCapacity: l.cache})
		}
	}
	m.result.start = m.now.Add(warmUp)
	for i, dc := range dcs {
		m.addCallers(l, s, dc, rand.New(rand.NewPCG(seed, uint64(10+i))), float64(i)/float64(len(dcs)))
	}
	m.after(warmUp, func() { m.measuring = true })
	if s.halvedDC != "" {
		m.after(warmUp+s.halvedAt, func() { m.setSlots(s.halvedDC, l.slots/2, false) })
		m.after(warmUp+s.restoredAt, func() { m.setSlots(s.halvedDC, l.slots, true) })
	}
	m.run(m.result.start.Add(s.length))
	for r := range m.unfinished {
		m.record(r)
	}
	return &m.result
}

func (m *simulation) setSlots(dc string, slots int, clearCache bool) {
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

var simBody = make([]byte, 64<<10)

// addCallers adds callers that submit requests to the hosts of a data centre as a
// Poisson process.
func (m *simulation) addCallers(l workload, s scenario, dc string, c *rand.Rand, phase float64) {
	var hosts []*simHost
	for _, h := range m.hosts {
		if h.dc == dc {
			hosts = append(hosts, h)
		}
	}
	mean := l.rate * float64(l.slots*l.engines[dc]) * s.loadFactor
	var next func()
	next = func() {
		angle := 2 * math.Pi * (float64(m.now.Sub(m.result.start))/float64(s.period) + phase)
		rate := mean * (1 + s.peakAmplitude*math.Sin(angle))
		m.submit(hosts[c.IntN(len(hosts))], newRequest(l, c))
		m.after(time.Duration(c.ExpFloat64()/max(rate, 0.01)*float64(time.Second)), next)
	}
	m.after(0, next)
}

func newRequest(l workload, c *rand.Rand) *simRequest {
	workspace, share := 0, c.Float64()
	for share > workspaceShares[workspace] && workspace < len(workspaceShares)-1 {
		share -= workspaceShares[workspace]
		workspace++
	}
	k := l.kinds[0]
	kindIndex := 0
	for pick := c.Float64(); pick > k.share && kindIndex < len(l.kinds)-1; k = l.kinds[kindIndex] {
		pick -= k.share
		kindIndex++
	}
	document := int(float64(k.documents) * math.Pow(c.Float64(), 2)) // skewed towards the first documents
	base := uint64(workspace)<<48 | uint64(kindIndex)<<40 | uint64(document)<<32
	var prefixes []uint64
	for i := range k.shared / TokensPerBlock {
		prefixes = append(prefixes, rendezvousWeight(base|uint64(i), "shared"))
	}
	uniqueBase := c.Uint64()
	for i := range k.unique / TokensPerBlock {
		prefixes = append(prefixes, rendezvousWeight(uniqueBase, fmt.Sprint(i)))
	}
	prompt := k.shared + k.unique
	output := k.output/2 + c.Int64N(k.output)
	return &simRequest{workspace: fmt.Sprintf("w%d", workspace), output: output, req: &dispatch.Request{
		Workspace: fmt.Sprintf("w%d", workspace), Pool: "pool", Kind: rules.Engine, Model: "model", Reach: rules.ReachAny, Idempotent: true,
		Body: simBody[:prompt*bytesPerToken], Cost: prompt + 2*output, Budget: 3, Visited: []string{"entry"}, Prefixes: prefixes}}
}

func (r *simResult) worstWorkspaceP99() time.Duration {
	p99 := time.Duration(0)
	for _, d := range r.workspaces {
		p99 = max(p99, quantile(d, 0.99))
	}
	return p99
}

// latenciesBetween returns the latencies of requests that arrived in the interval.
func (r *simResult) latenciesBetween(from, to time.Duration) []time.Duration {
	var out []time.Duration
	for s := int(from / time.Second); s < int(to/time.Second); s++ {
		out = append(out, r.bySecond[s]...)
	}
	return out
}

func (r *simResult) tableRow() string {
	return fmt.Sprintf("%d\t%d\t%.2f\t%.2f\t%.2f\t%.1f %%\t%.2f M", r.requests, r.refused,
		quantile(r.latencies, 0.5).Seconds(), quantile(r.latencies, 0.99).Seconds(), r.worstWorkspaceP99().Seconds(),
		100*float64(r.forwarded)/float64(max(r.requests, 1)), float64(r.prefill)/1e6)
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

var dataCentrePolicies = []struct {
	name   string
	policy DataCentrePolicy
}{
	{"always local", AlwaysLocal{}},
	{"least loaded", LeastLoaded{}},
	{"expected time", DefaultExpectedTime},
}

// TestPolicyExperiment prints the tables of docs/POLICY.md. Run it with:
// go test ./internal/routing -run TestPolicyExperiment -experiment -v
func TestPolicyExperiment(t *testing.T) {
	if !*experiment {
		t.Log("the policy experiment runs only with -experiment")
		return
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer out.Flush()
	header := "requests\tgiven up\tp50 s\tp99 s\tworst workspace p99 s\tsent away\tprefill tokens"
	for _, l := range []workload{cantabrico, tanoa, sixHosts} {
		for _, scale := range []float64{0.7, 1, 1.15} {
			fmt.Fprintf(out, "\n%s, choice of target, load %.2f, seed %d\n\t%s\n", l.name, scale, *simSeed, header)
			for _, p := range targetPolicies {
				r := l.run(*simSeed, p.make, AlwaysLocal{}, scenario{period: time.Minute, loadFactor: scale, length: 2 * time.Minute})
				fmt.Fprintf(out, "%s\t%s\n", p.name, r.tableRow())
			}
		}
		if len(l.hosts) > 1 {
			l.printDataCentrePolicies(out, header)
		}
	}
}

func (l workload) printDataCentrePolicies(out *tabwriter.Writer, header string) {
	halved := map[string]string{"Cantábrico": "gijon-a", "Tanoa": "suva-a"}[l.name]
	for _, c := range []struct {
		name string
		scenario
	}{
		{"offset peaks", scenario{peakAmplitude: 0.6, period: 90 * time.Second, loadFactor: 0.9, length: 3 * time.Minute}},
		{"half of one region lost from 40 s to 100 s, cold return", scenario{period: time.Minute, loadFactor: 0.8,
			halvedDC: halved, halvedAt: 40 * time.Second, restoredAt: 100 * time.Second, length: 3 * time.Minute}},
		{"both", scenario{peakAmplitude: 0.5, period: 90 * time.Second, loadFactor: 0.85, halvedDC: halved,
			halvedAt: 40 * time.Second, restoredAt: 100 * time.Second, length: 3 * time.Minute}},
	} {
		fmt.Fprintf(out, "\n%s, choice of data centre, %s, seed %d\n\t%s\tp99 s in the 20 s after the return\n", l.name, c.name, *simSeed, header)
		for _, p := range dataCentrePolicies {
			r := l.run(*simSeed, func() Policy { return DefaultAffinity }, p.policy, c.scenario)
			fmt.Fprintf(out, "%s\t%s\t%.2f\n", p.name, r.tableRow(), quantile(r.latenciesBetween(100*time.Second, 120*time.Second), 0.99).Seconds())
		}
	}
}
