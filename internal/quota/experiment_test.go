package quota

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"
)

var trialLength = flag.Duration("quota.trial", 18*time.Second, "simulated length of each trial")

// trial measures the share of requests that are refused although one ideal bucket
// for the whole fleet would admit them.
type trial struct {
	sim           *simulation
	system        string
	admit         func(h *simHost, workspace string, cost, used Amount, runs time.Duration, done func(bool))
	bounds        map[string]*idealBucket
	withinRate    int
	refused       int
	arrivalCentre func(now time.Duration) string
	load          float64
	measureFrom   time.Duration
}

func trialWorkspaces() []Workspace {
	var out []Workspace
	for i, rate := range []int64{4000, 2000, 1000, 500, 500} {
		out = append(out, Workspace{Name: fmt.Sprintf("w%d", i), Rate: rate, Burst: 4 * rate})
	}
	return out
}

func manyCentres(centres, perCentre int) []Member {
	var out []Member
	for i := range perCentre {
		for c := range centres {
			out = append(out, Member{fmt.Sprintf("h%02d-%d", c, i), fmt.Sprintf("dc%02d", c)})
		}
	}
	return out
}

func newTrial(seed uint64, members []Member, system string) *trial {
	s := newSimulation(seed, members, trialWorkspaces(), 0.0001)
	t := &trial{sim: s, system: system, bounds: map[string]*idealBucket{}, load: 0.9, measureFrom: 10 * time.Second}
	for _, ws := range s.workspaces {
		share := Share{ws.Rate * TokenUnit, ws.Burst * TokenUnit}
		t.bounds[ws.Name] = &idealBucket{share: share, level: float64(share.Burst)}
	}
	t.admit = s.request
	switch system {
	case "equal":
		t.admit = t.equalShares()
	case "central":
		t.admit = t.centralBucket()
	}
	return t
}

// equalShares is the baseline in which each host has a fixed, equal part of all
// rates.
func (t *trial) equalShares() func(*simHost, string, Amount, Amount, time.Duration, func(bool)) {
	n := Amount(len(t.sim.hosts))
	buckets := map[string]*Bucket{}
	return func(h *simHost, workspace string, cost, used Amount, runs time.Duration, done func(bool)) {
		b := buckets[h.name+workspace]
		if b == nil {
			s := t.bounds[workspace].share
			b = NewBucket(Share{s.Rate / n, s.Burst / n}, 0)
			buckets[h.name+workspace] = b
		}
		c := b.Reserve(t.sim.now, cost)
		done(c != nil)
		if c != nil {
			t.sim.after(runs, func() { b.Refund(t.sim.now, c, cost-used) })
		}
	}
}

// centralBucket is the baseline with one bucket per workspace at the leader.
func (t *trial) centralBucket() func(*simHost, string, Amount, Amount, time.Duration, func(bool)) {
	buckets := map[string]*Bucket{}
	for name, b := range t.bounds {
		buckets[name] = NewBucket(b.share, 0)
	}
	return func(h *simHost, workspace string, cost, used Amount, runs time.Duration, done func(bool)) {
		l := t.sim.leader
		if !t.sim.reachable(h, l) {
			done(false)
			return
		}
		t.sim.after(t.sim.delay(h, l), func() {
			b := buckets[workspace]
			c := b.Reserve(t.sim.now, cost)
			done(c != nil)
			if c != nil {
				t.sim.after(runs+2*t.sim.delay(h, l), func() { b.Refund(t.sim.now, c, cost-used) })
			}
		})
	}
}

// start generates the load of each workspace. The field arrivalCentre chooses the
// data centre in which requests arrive; an empty name spreads them over all hosts.
func (t *trial) start() {
	const meanCost = 120
	for _, ws := range t.sim.workspaces {
		// Requests use three quarters of their cost on average.
		gap := time.Duration(float64(time.Second) * meanCost * 0.75 / (t.load * float64(ws.Rate)))
		var arrive func()
		arrive = func() {
			t.offerRequest(ws.Name, (40+t.sim.rng.Int64N(2*(meanCost-40)))*TokenUnit)
			t.sim.after(time.Duration(t.sim.rng.ExpFloat64()*float64(gap)), arrive)
		}
		t.sim.after(5*time.Second, arrive)
	}
}

func (t *trial) offerRequest(workspace string, cost Amount) {
	var candidates []*simHost
	centre := t.arrivalCentre(t.sim.now)
	for _, h := range t.sim.hosts {
		if h.alive && (centre == "" || h.dataCentre == centre) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return
	}
	used := cost/2 + t.sim.rng.Int64N(cost/2)
	runs := time.Duration(t.sim.rng.ExpFloat64() * float64(2*time.Second))
	ideal := t.bounds[workspace]
	ideal.advance(t.sim.now)
	withinRate := ideal.level >= float64(cost)
	if withinRate {
		ideal.level -= float64(cost)
		t.sim.after(runs, func() { ideal.level += float64(cost - used) })
	}
	counted := withinRate && t.sim.now >= t.measureFrom
	if counted {
		t.withinRate++
	}
	t.admit(candidates[t.sim.rng.IntN(len(candidates))], workspace, cost, used, runs, func(admitted bool) {
		if counted && !admitted {
			t.refused++
		}
	})
}

func (t *trial) refusedShare() float64 { return float64(t.refused) / float64(max(1, t.withinRate)) }

type scenario struct {
	name  string
	setup func(t *trial, centres []string)
}

var scenarios = []scenario{
	{"moving every 5 s", func(t *trial, centres []string) {
		t.arrivalCentre = func(now time.Duration) string { return centres[int(now/(5*time.Second))%len(centres)] }
	}},
	{"spread, holder down", func(t *trial, _ []string) {
		t.arrivalCentre = func(time.Duration) string { return "" }
		last := t.sim.hosts[len(t.sim.hosts)-1]
		t.sim.after(12*time.Second, func() { last.alive = false })
	}},
	{"moving, holder down", func(t *trial, centres []string) {
		t.arrivalCentre = func(now time.Duration) string { return centres[int(now/(5*time.Second))%len(centres)] }
		last := t.sim.hosts[len(t.sim.hosts)-1]
		t.sim.after(12*time.Second, func() { last.alive = false })
	}},
	{"spread, centre isolated", func(t *trial, centres []string) {
		t.arrivalCentre = func(time.Duration) string { return "" }
		t.sim.after(12*time.Second, func() { t.sim.partition(centres[len(centres)-1], true) })
	}},
}

func runTrial(seed uint64, members []Member, s scenario, system string, length time.Duration) *trial {
	t := newTrial(seed, members, system)
	var centres []string
	seen := map[string]bool{}
	for _, m := range members {
		if !seen[m.DataCentre] {
			centres = append(centres, m.DataCentre)
		}
		seen[m.DataCentre] = true
	}
	s.setup(t, centres)
	t.start()
	t.sim.run(length)
	return t
}

// Guards against refusals within the rate. The refused share must stay below that
// of the equal-shares baseline when demand moves or a holder is down, and below
// that of the central baseline when a data centre is isolated.
// Prints the table: go test ./internal/quota -run TestRefusalsWithinRate -v
func TestRefusalsWithinRate(t *testing.T) {
	length := *trialLength
	fleets := []struct {
		name    string
		members []Member
	}{{"4 hosts, 3 centres", threeCentreMembers()}, {"20 hosts, 10 centres", manyCentres(10, 2)}}
	for _, fleet := range fleets {
		for _, s := range scenarios {
			distributed := runTrial(*firstSeed, fleet.members, s, "distributed", length)
			equal := runTrial(*firstSeed, fleet.members, s, "equal", length)
			central := runTrial(*firstSeed, fleet.members, s, "central", length)
			seconds := length.Seconds() * float64(len(fleet.members))
			t.Logf("%-22s %-24s refused within rate: distributed %.4f, equal shares %.4f, central %.4f; distributed %.1f messages/s and %.0f payload bytes/s per host",
				fleet.name, s.name, distributed.refusedShare(), equal.refusedShare(), central.refusedShare(),
				float64(distributed.sim.messages)/seconds, float64(distributed.sim.bytes)/seconds)
			baseline := equal
			if strings.HasSuffix(s.name, "isolated") {
				baseline = central
			}
			if distributed.refusedShare() >= baseline.refusedShare() {
				t.Errorf("seed %d: %s, %s: refused %.4f, the %s baseline %.4f", *firstSeed, fleet.name, s.name, distributed.refusedShare(), baseline.system, baseline.refusedShare())
			}
			if distributed.sim.failure != "" {
				t.Errorf("seed %d: %s", *firstSeed, distributed.sim.failure)
			}
		}
	}
}
