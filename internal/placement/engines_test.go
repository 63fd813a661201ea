package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// standIn is an engine that reads prompts one after the other and then sends events at a
// fixed interval.
type standIn struct {
	readPerToken, first, event time.Duration
	busyUntil                  time.Duration
	cached                     map[string]bool
}

// engineRun plays requests of hosts that report to each other at an interval.
type engineRun struct {
	placers []*Placer
	engines map[string]*standIn
	now     time.Duration
	todo    map[time.Duration][]func()
	late    map[bool]int // by whether the prompt was long
	sent    map[bool]int
	placed  map[string]int
	r       *rand.Rand
	// hotPart is the number of tokens with which all long prompts begin.
	hotPart int64
}

func newEngineRun(hosts, targets int, seed uint64) *engineRun {
	g := &engineRun{engines: map[string]*standIn{}, todo: map[time.Duration][]func(){}, late: map[bool]int{}, sent: map[bool]int{}, placed: map[string]int{}, r: rand.New(rand.NewPCG(seed, 7))}
	var specs []Spec
	for i := range targets {
		id := fmt.Sprint("t", i)
		specs = append(specs, Spec{ID: id, Address: id, Service: "s", Slots: 64, CacheTokens: 300_000})
		g.engines[id] = &standIn{readPerToken: 30 * time.Microsecond, first: 20 * time.Millisecond, event: 30 * time.Millisecond, cached: map[string]bool{}}
	}
	for i := range hosts {
		p := New(DefaultEngine(93_600), rand.New(rand.NewPCG(seed, uint64(i))))
		p.SetTargets(specs)
		g.placers = append(g.placers, p)
	}
	return g
}

const engineTick = 5 * time.Millisecond

func (g *engineRun) at(t time.Duration, do func()) {
	t = max(g.now+engineTick, t.Truncate(engineTick))
	g.todo[t] = append(g.todo[t], do)
}

// send sends a request of a host and plays its response.
func (g *engineRun) send(host int, prompt int64, objective time.Duration) {
	p, long := g.placers[host], prompt > 2500
	segments, hot := []PromptSegment{{ID: fmt.Sprint(g.r.Uint64()), Tokens: prompt}}, int64(0)
	if long && g.hotPart > 0 {
		hot = g.hotPart
		segments = []PromptSegment{{ID: "hot", Tokens: hot}, {ID: segments[0].ID, Tokens: prompt - hot}}
	}
	r := &Request{Service: "s", Model: "m", Segments: segments, PromptTokens: prompt, OutputTokens: 900, ExpectedOutput: 70,
		Objective: objective, TimeLeft: 5 * time.Second}
	c, ok := p.Choose(g.now, r, nil)
	if !ok {
		return
	}
	e, a := g.engines[c.Target.ID], p.Start(g.now, c.Target, r)
	g.sent[long]++
	g.placed[c.Target.ID]++
	unread := prompt
	if e.cached["hot"] {
		unread -= hot
	}
	e.cached["hot"] = e.cached["hot"] || hot > 0
	e.busyUntil = max(e.busyUntil, g.now) + time.Duration(unread)*e.readPerToken
	sent, first := g.now, e.busyUntil+e.first
	if first-sent > objective {
		g.late[long]++
	}
	for i := range 10 {
		g.at(first+time.Duration(i)*e.event, func() {
			p.RecordBytes(g.now, a)
			switch i {
			case 0:
				p.FirstByte(a)
			case 9:
				p.Done(g.now, a, Served)
			}
		})
	}
}

// run sends what each calls for at each tick until a time. Reports are interval old.
func (g *engineRun) run(until, interval time.Duration, each func()) {
	for ; g.now < until; g.now += engineTick {
		for _, do := range g.todo[g.now] {
			do()
		}
		delete(g.todo, g.now)
		each()
		if g.now%interval != 0 {
			continue
		}
		for i, p := range g.placers {
			usage, reports := p.OwnUsage(), p.EngineReports(g.now)
			for id, u := range usage {
				u.Arriving, u.Pace = p.EngineUsage(g.now, id)
				usage[id] = u
			}
			at := g.now
			g.at(g.now+interval/2, func() {
				for j, other := range g.placers {
					if i == j {
						continue
					}
					other.SetHostUsage(at, fmt.Sprint("h", i), usage)
					for service, report := range reports {
						other.MergeEngineReport(at, fmt.Sprint("h", i), service, report)
					}
				}
			})
		}
	}
}

// lateShares are the parts of short and long prompts that missed their objective.
func (g *engineRun) lateShares() (short, long float64) {
	return float64(g.late[false]) / float64(max(1, g.sent[false])), float64(g.late[true]) / float64(max(1, g.sent[true]))
}

// mix returns a function that sends short and long prompts of random hosts at rates.
func (g *engineRun) mix(shortPerSecond, longPerSecond func(now time.Duration) float64) func() {
	return func() {
		for range int(shortPerSecond(g.now)*engineTick.Seconds() + g.r.Float64()) {
			g.send(g.r.IntN(len(g.placers)), 500, 500*time.Millisecond)
		}
		for range int(longPerSecond(g.now)*engineTick.Seconds() + g.r.Float64()) {
			g.send(g.r.IntN(len(g.placers)), 5000, 2*time.Second)
		}
	}
}

// The engines of these tests read 33 tokens a millisecond, the setting says 93.6.
func TestLongAndShortPromptsOnTheSameTargets(t *testing.T) {
	steady := func(v float64) func(time.Duration) float64 { return func(time.Duration) float64 { return v } }
	burst := func(v, high float64) func(time.Duration) float64 {
		return func(now time.Duration) float64 {
			if now > 2*time.Second && now < 3*time.Second {
				return high
			}
			return v
		}
	}
	const maxLate = 0.05
	for _, c := range []struct {
		pattern        string
		hosts, targets int
		interval       time.Duration
		short, long    func(time.Duration) float64
		hotPart        int64
	}{
		{"a steady mix", 10, 8, 100 * time.Millisecond, steady(100), steady(20), 0},
		{"long prompts in a burst over short ones", 10, 8, 100 * time.Millisecond, steady(100), burst(10, 40), 0},
		{"short prompts in a burst over long ones", 10, 8, 100 * time.Millisecond, burst(50, 300), steady(20), 0},
		{"one hot long prompt", 10, 8, 100 * time.Millisecond, steady(100), steady(40), 4500},
		{"142 hosts with views 0.2 to 0.5 s old", 142, 28, 300 * time.Millisecond, steady(200), steady(60), 0},
	} {
		t.Run(c.pattern, func(t *testing.T) {
			g := newEngineRun(c.hosts, c.targets, 1)
			g.hotPart = c.hotPart
			g.run(6*time.Second, c.interval, g.mix(c.short, c.long))
			short, long := g.lateShares()
			rates, _ := g.placers[0].EngineRates(g.now, "s")
			t.Logf("late: %.3f of %d short, %.3f of %d long; read in %.1f us a token", short, g.sent[false], long, g.sent[true], rates.Read/1e3)
			if short > maxLate || long > maxLate {
				t.Errorf("late: %.3f of the short ones, %.3f of the long ones; at most %.2f", short, long, maxLate)
			}
			// Where all prompts have the same number of unread tokens, only their sum is known.
			if got := rates.First + rates.ReadTime(500, 0); got < 25*time.Millisecond || got > 45*time.Millisecond {
				t.Errorf("a short prompt takes %v at an idle engine, want 35ms", got)
			}
			if c.hotPart == 0 && (rates.Read < 20_000 || rates.Read > 40_000) {
				t.Errorf("a token takes %.1f us, want 30", rates.Read/1e3)
			}
		})
	}
}

// Pattern: a target whose process is replaced, and one that is lost, amid a mix.
func TestPaceEndsWithTheProcess(t *testing.T) {
	g := newEngineRun(1, 3, 2)
	slow := g.engines["t0"]
	slow.event, slow.readPerToken = 3*slow.event, 3*slow.readPerToken
	rate := func(v float64) func(time.Duration) float64 { return func(time.Duration) float64 { return v } }
	g.run(4*time.Second, 100*time.Millisecond, g.mix(rate(60), rate(4)))
	p := g.placers[0]
	if f := p.targets["t0"].pace.Factor(g.now); f < 1.3 {
		t.Errorf("the slow target has a pace of %.2f", f)
	}
	p.SetTargets([]Spec{{ID: "t0", Address: "t0", Service: "s", Slots: 64, CacheTokens: 300_000, StartMillis: 5}, {ID: "t1", Address: "t1", Service: "s", Slots: 64, CacheTokens: 300_000}})
	if f := p.targets["t0"].pace.Factor(g.now); f != 1 {
		t.Errorf("its next process begins with a pace of %.2f", f)
	}
	before := g.placed["t1"]
	g.run(5*time.Second, 100*time.Millisecond, g.mix(rate(60), rate(0)))
	if short, _ := g.lateShares(); g.placed["t1"] == before || short > 0.2 {
		t.Errorf("after a target was lost %.2f of the short ones were late", short)
	}
}

// Pattern: a host that wakes after a freeze has views and rates of long ago.
func TestHostThatWakesForgetsOldViews(t *testing.T) {
	g := newEngineRun(4, 4, 3)
	rate := func(v float64) func(time.Duration) float64 { return func(time.Duration) float64 { return v } }
	g.run(3*time.Second, 100*time.Millisecond, g.mix(rate(60), rate(8)))
	p, woken := g.placers[0], g.now+time.Minute
	for id, target := range p.targets {
		u, _ := p.estimatedUsage(woken, target, p.viewOf(woken, "s"))
		if u.PrefillTokens > target.ownUsage.PrefillTokens || u.Running > target.ownUsage.Running {
			t.Errorf("%s: %+v of other hosts still counts after a minute", id, u)
		}
	}
	if r, _ := p.EngineRates(woken, "s"); r.Hidden > time.Millisecond || r.Deviation > time.Millisecond {
		t.Errorf("what was hidden a minute ago still counts: %+v", r)
	}
}

// Pattern: a setting without the speed at which engines read prompts.
func TestEnginesWithoutAReadSpeed(t *testing.T) {
	p := New(DefaultEngine(0), rand.New(rand.NewPCG(1, 2)))
	r := NewRemoteRegion()
	r.UpdateLoad("app", Load{TTFB: 30 * time.Millisecond, MeasuredAt: time.Second})
	for _, prompt := range []int64{0, 5000} {
		e, ok := p.EstimateRemote(time.Second, r, &Request{Service: "app", PromptTokens: prompt, Objective: 400 * time.Millisecond})
		if !ok || e.IdleTTFB <= 0 || e.TTFB <= 0 || e.TTFB > time.Second || e.IdleTTFB > time.Second {
			t.Errorf("with %d tokens: %v, %+v", prompt, ok, e)
		}
	}
}
