package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/placement"
)

const (
	ms     = time.Millisecond
	second = time.Second
)

func engines(n int) []placement.Spec {
	var out []placement.Spec
	for i := range n {
		out = append(out, placement.Spec{ID: fmt.Sprint("e", i), Address: fmt.Sprint("10.0.0.", i), Service: "llm", Slots: 64, CacheTokens: 350_000})
	}
	return out
}

func newPlacer(specs []placement.Spec) *placement.Placer {
	p := placement.New(placement.DefaultEngine(93_600), rand.New(rand.NewPCG(1, 2)))
	p.SetTargets(specs)
	return p
}

func digest(session, own int) *placement.Request {
	return &placement.Request{Service: "llm", Model: "m", PromptTokens: 9190, OutputTokens: 50, Objective: 800 * ms, TimeLeft: 5 * second,
		Segments: []placement.PromptSegment{{ID: "common", Tokens: 2520}, {ID: fmt.Sprint("s", session), Tokens: 3780}, {ID: fmt.Sprint("o", own), Tokens: 2890}}}
}

func question(own int) *placement.Request {
	return &placement.Request{Service: "llm", Model: "m", PromptTokens: 826, OutputTokens: 290, Objective: 600 * ms, TimeLeft: 12 * second,
		Segments: []placement.PromptSegment{{ID: "q", Tokens: 198}, {ID: fmt.Sprint("own", own), Tokens: 628}}}
}

func choose(t *testing.T, p *placement.Placer, now time.Duration, r *placement.Request) placement.Choice {
	t.Helper()
	c, ok := p.Choose(now, r, nil)
	if !ok {
		t.Fatal("no target")
	}
	return c
}

// Load: sessions that come again with the same long prompt. Guards against prompts
// that are read again at another target while the first one has room.
func TestSessionsReturnToTheirTarget(t *testing.T) {
	p := newPlacer(engines(4))
	home := map[int]string{}
	now, moved := second, 0
	for i := range 400 {
		now += 60 * ms
		session := i % 20
		r := digest(session, i)
		c := choose(t, p, now, r)
		if at, seen := home[session]; seen && at != c.Target.ID {
			moved++
		}
		home[session] = c.Target.ID
		u := p.Start(now, c.Target, r)
		p.FirstByte(u)
		p.Done(now, u, placement.Served)
	}
	if moved > 0 {
		t.Errorf("%d of 380 requests went to another target than the one that has their prompt", moved)
	}
}

// Load: one session that many callers ask for at once. Guards against a queue at the
// target that has the prompt while others are idle.
func TestHotSessionSpreads(t *testing.T) {
	p := newPlacer(engines(4))
	used := map[string]int{}
	for i := range 60 {
		r := digest(1, i)
		c := choose(t, p, second, r)
		used[c.Target.ID]++
		p.Start(second, c.Target, r)
	}
	if len(used) < 4 {
		t.Errorf("60 requests at once went to %v", used)
	}
	for id, n := range used {
		if n > 30 {
			t.Errorf("target %s got %d of 60 requests", id, n)
		}
	}
}

// Load: two hosts that send to the same targets. Guards against both filling the same
// target because neither sees the other's requests.
func TestOtherHostsCount(t *testing.T) {
	p := newPlacer(engines(2))
	p.SetHostUsage(second, "other", map[string]placement.Usage{"e0": {Running: 60, MemoryTokens: 60_000, PrefillTokens: 30_000}})
	if c := choose(t, p, second, question(1)); c.Target.ID != "e1" {
		t.Errorf("chose %s, which another host has filled", c.Target.ID)
	}
	if c := choose(t, p, 10*second, question(2)); c.TTFB > 200*ms {
		t.Errorf("what a silent host said 9 s ago still counts: wait %s", c.TTFB)
	}
	p.RecordPlacedPrompt(11*second, placement.PlacedPrompt{Target: "e1", Keys: nil, Tokens: nil})
}

// Load: more running answers than slots. Guards against an expected wait that does
// not grow with the queue, so that requests are sent to wait past their time.
func TestWaitGrowsBeyondSlots(t *testing.T) {
	p := newPlacer(engines(1))
	for i := range 64 {
		r := question(i)
		u := p.Start(second, choose(t, p, second, r).Target, r)
		p.FirstByte(u)
	}
	full := choose(t, p, second, question(100)).TTFB
	for i := range 64 {
		r := question(200 + i)
		u := p.Start(second, choose(t, p, second, r).Target, r)
		p.FirstByte(u)
	}
	if doubled := choose(t, p, second, question(300)).TTFB; doubled < full+second {
		t.Errorf("expected wait %s with full slots, %s with as many waiting", full, doubled)
	}
}

// Load: a prompt that another target has read just now. Guards against reading it
// again instead of fetching it, and against fetching what nobody used lately.
func TestFetchInsteadOfReadingAgain(t *testing.T) {
	specs := engines(2)
	specs[1].Remote = true
	p := newPlacer(specs)
	first := digest(1, 1)
	c := choose(t, p, second, first)
	if c.Source != nil || c.Target.ID != "e0" {
		t.Fatalf("first choice %+v", c)
	}
	p.Start(second, c.Target, first)
	far := p.TakePlacedPrompts(placement.OtherRegions)
	if len(far) != 1 {
		t.Fatalf("%d prompts told to other regions", len(far))
	}
	q := newPlacer([]placement.Spec{{ID: "e9", Address: "9", Service: "llm", Slots: 64, CacheTokens: 350_000}, func() placement.Spec { s := engines(1)[0]; s.Remote = true; return s }()})
	q.RecordPlacedPrompt(second, far[0])
	if c := choose(t, q, 2*second, digest(1, 2)); c.Source == nil || c.Source.ID != "e0" || c.Target.ID != "e9" {
		t.Errorf("choice %+v, want e9 with a fetch from e0", c)
	}
	q.Reachable = func(time.Duration, string) bool { return false }
	if c := choose(t, q, 2*second, digest(1, 2)); c.Source != nil {
		t.Error("fetches from a region that is out of reach")
	}
	q.Reachable = nil
	if c := choose(t, q, 60*second, digest(1, 3)); c.Source != nil {
		t.Error("fetches a prompt that nobody has used for a minute")
	}
}

// Load: a configuration that makes a service an engine, or plain again, while its
// targets run. Guards against targets that are rated as what they were before.
func TestServiceChangesItsEngine(t *testing.T) {
	plain := engines(2)
	for i := range plain {
		plain[i].CacheTokens = 0
	}
	for name, c := range map[string]struct{ before, after []placement.Spec }{
		"becomes an engine": {plain, engines(2)},
		"becomes plain":     {engines(2), plain},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(c.before)
			p.SetTargets(c.after)
			got, want := choose(t, p, second, digest(1, 1)), choose(t, newPlacer(c.after), second, digest(1, 1))
			if got.Estimate != want.Estimate {
				t.Errorf("expectation %+v, of new targets %+v", got.Estimate, want.Estimate)
			}
		})
	}
}

// Guards against prompts of requests with homes that other regions fetch.
func TestBoundPromptsStayInTheRegion(t *testing.T) {
	p := newPlacer(engines(1))
	r := digest(1, 1)
	r.RegionBound = true
	p.Start(second, choose(t, p, second, r).Target, r)
	if far := p.TakePlacedPrompts(placement.OtherRegions); len(far) != 0 {
		t.Errorf("%d bound prompts are told to other regions", len(far))
	}
	if near := p.TakePlacedPrompts(placement.SameRegion); len(near) != 1 {
		t.Errorf("%d prompts are told within the region", len(near))
	}
}

// Load: targets that fail, refuse connections or go silent. Guards against requests
// that are sent there while others work.
func TestBadTargetsArePassedOver(t *testing.T) {
	now := 10 * second
	use := func(p *placement.Placer, o placement.Outcome) {
		r := question(1)
		p.Done(now, p.Start(now, mustTarget(t, p, now, r, "e0"), r), o)
	}
	for name, spoil := range map[string]func(*placement.Placer){
		"unreachable": func(p *placement.Placer) { use(p, placement.Unreachable) },
		"broken":      func(p *placement.Placer) { use(p, placement.Broken) },
		"failing": func(p *placement.Placer) {
			for range 6 {
				use(p, placement.Failed)
			}
		},
		"silent": func(p *placement.Placer) {
			r := question(1)
			p.Start(now-2*second, mustTarget(t, p, now, r, "e0"), r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(engines(2))
			spoil(p)
			for i := range 5 {
				if c := choose(t, p, now+10*ms, question(i)); c.Target.ID != "e1" {
					t.Fatalf("chose %s", c.Target.ID)
				}
			}
			only := func(id string) bool { return id == "e1" }
			if _, ok := p.Choose(now+10*ms, question(9), only); !ok {
				t.Error("a bad target is not used although there is no other one")
			}
		})
	}
}

func mustTarget(t *testing.T, p *placement.Placer, now time.Duration, r *placement.Request, id string) *placement.Target {
	t.Helper()
	c, ok := p.Choose(now, r, func(other string) bool { return other != id })
	if !ok {
		t.Fatalf("target %s is missing", id)
	}
	return c.Target
}

// Guards against more requests to a cold target than it bears in a second.
func TestColdTargetPace(t *testing.T) {
	specs := engines(1)
	specs[0].ColdUntil, specs[0].Paced, specs[0].ColdLimit = 20*second, true, 3
	p := newPlacer(specs)
	sent := 0
	for now := 10 * second; now < 11*second; now += 20 * ms {
		r := question(int(now))
		if c, ok := p.Choose(now, r, nil); ok {
			p.Done(now, p.Start(now, c.Target, r), placement.Served)
			sent++
		}
	}
	if sent != 3 {
		t.Errorf("%d requests in a second, want 3", sent)
	}
	if _, ok := p.Choose(21*second, question(1), nil); !ok {
		t.Error("a warm target gets no requests")
	}
}

// Guards against a busy region that keeps all work although another one is idle, and
// against work that leaves only to balance.
func TestRemoteCost(t *testing.T) {
	r := digest(1, 1)
	idle := placement.Estimate{TTFB: 250 * ms, Total: second}
	late := placement.Estimate{TTFB: 1500 * ms, Total: 2 * second}
	never := placement.Estimate{TTFB: 250 * ms, Total: 9 * second}
	cheap, dear, lost := placement.RemoteCost(idle, r, 18_000), placement.RemoteCost(late, r, 18_000), placement.RemoteCost(never, r, 18_000)
	if cheap > 0.4 || dear < 0.75 || lost < cheap+0.5 {
		t.Errorf("costs: idle %.2f, late %.2f, not in time %.2f", cheap, dear, lost)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{4, 30, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newPlacer(engines(n))
			for i := range b.N {
				r := digest(i%200, i)
				c, _ := p.Choose(second, r, nil)
				p.Done(second, p.Start(second, c.Target, r), placement.Served)
			}
		})
	}
}
