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

func longRequest(session, id int) *placement.Request {
	return &placement.Request{Service: "llm", Model: "m", PromptTokens: 9190, OutputTokens: 50, Objective: 800 * ms, TimeLeft: 5 * second,
		Segments: []placement.PromptSegment{{ID: "common", Tokens: 2520}, {ID: fmt.Sprint("s", session), Tokens: 3780}, {ID: fmt.Sprint("o", id), Tokens: 2890}}}
}

func shortRequest(id int) *placement.Request {
	return &placement.Request{Service: "llm", Model: "m", PromptTokens: 826, OutputTokens: 290, Objective: 600 * ms, TimeLeft: 12 * second,
		Segments: []placement.PromptSegment{{ID: "q", Tokens: 198}, {ID: fmt.Sprint("own", id), Tokens: 628}}}
}

func choose(t *testing.T, p *placement.Placer, now time.Duration, r *placement.Request) placement.Choice {
	t.Helper()
	c, ok := p.Choose(now, r, nil)
	if !ok {
		t.Fatal("no target")
	}
	return c
}

// Load: sessions that repeat the same long prompt. Guards against prefilling a prompt
// again at another target while the target that has it cached has capacity.
func TestSessionAffinity(t *testing.T) {
	p := newPlacer(engines(4))
	lastTarget := map[int]string{}
	now, moved := second, 0
	for i := range 400 {
		now += 60 * ms
		session := i % 20
		r := longRequest(session, i)
		c := choose(t, p, now, r)
		if last, seen := lastTarget[session]; seen && last != c.Target.ID {
			moved++
		}
		lastTarget[session] = c.Target.ID
		attempt := p.Start(now, c.Target, r)
		p.FirstByte(attempt)
		p.Done(now, attempt, placement.Served)
	}
	if moved > 0 {
		t.Errorf("%d of 380 requests went to another target than the one with their prompt cached", moved)
	}
}

// Load: many concurrent requests of one session. Guards against a queue at the target
// that has the prompt cached while other targets are idle.
func TestHotSessionSpreadsOverTargets(t *testing.T) {
	p := newPlacer(engines(4))
	used := map[string]int{}
	for i := range 60 {
		r := longRequest(1, i)
		c := choose(t, p, second, r)
		used[c.Target.ID]++
		p.Start(second, c.Target, r)
	}
	if len(used) < 4 {
		t.Errorf("60 concurrent requests went to %v", used)
	}
	for id, n := range used {
		if n > 30 {
			t.Errorf("target %s got %d of 60 requests", id, n)
		}
	}
}

// Load: two hosts send to the same targets. Guards against both overloading the same
// target because neither accounts for the other's requests.
func TestUsageOfOtherHosts(t *testing.T) {
	p := newPlacer(engines(2))
	p.SetHostUsage(second, "other", map[string]placement.Usage{"e0": {Running: 60, MemoryTokens: 60_000, PrefillTokens: 30_000}})
	if c := choose(t, p, second, shortRequest(1)); c.Target.ID != "e1" {
		t.Errorf("chose %s, which another host keeps busy", c.Target.ID)
	}
	if c := choose(t, p, 10*second, shortRequest(2)); c.TTFB > 200*ms {
		t.Errorf("a usage report that is 9 s old is still counted: TTFB %s", c.TTFB)
	}
	p.RecordPlacedPrompt(11*second, placement.PlacedPrompt{Target: "e1", Keys: nil, Tokens: nil})
}

// Load: more requests in flight than slots. Guards against an estimated TTFB that does
// not grow with the queue, so that requests queue beyond their timeout.
func TestTTFBGrowsBeyondSlots(t *testing.T) {
	p := newPlacer(engines(1))
	for i := range 64 {
		r := shortRequest(i)
		attempt := p.Start(second, choose(t, p, second, r).Target, r)
		p.FirstByte(attempt)
	}
	atCapacity := choose(t, p, second, shortRequest(100)).TTFB
	for i := range 64 {
		r := shortRequest(200 + i)
		attempt := p.Start(second, choose(t, p, second, r).Target, r)
		p.FirstByte(attempt)
	}
	if doubled := choose(t, p, second, shortRequest(300)).TTFB; doubled < atCapacity+second {
		t.Errorf("TTFB %s with all slots in use, %s with as many requests queued", atCapacity, doubled)
	}
}

// Load: a prompt that another target has just prefilled. Guards against prefilling it
// again instead of fetching it, and against fetching a prompt that was not used
// recently.
func TestFetchInsteadOfPrefill(t *testing.T) {
	specs := engines(2)
	specs[1].Remote = true
	p := newPlacer(specs)
	first := longRequest(1, 1)
	c := choose(t, p, second, first)
	if c.Source != nil || c.Target.ID != "e0" {
		t.Fatalf("first choice %+v", c)
	}
	p.Start(second, c.Target, first)
	remotePrompts := p.TakePlacedPrompts(placement.OtherRegions)
	if len(remotePrompts) != 1 {
		t.Fatalf("%d prompts reported to other regions", len(remotePrompts))
	}
	remote := newPlacer([]placement.Spec{{ID: "e9", Address: "9", Service: "llm", Slots: 64, CacheTokens: 350_000}, func() placement.Spec { s := engines(1)[0]; s.Remote = true; return s }()})
	remote.RecordPlacedPrompt(second, remotePrompts[0])
	if c := choose(t, remote, 2*second, longRequest(1, 2)); c.Source == nil || c.Source.ID != "e0" || c.Target.ID != "e9" {
		t.Errorf("choice %+v, want e9 with a fetch from e0", c)
	}
	remote.Reachable = func(time.Duration, string) bool { return false }
	if c := choose(t, remote, 2*second, longRequest(1, 2)); c.Source != nil {
		t.Error("fetches from an unreachable region")
	}
	remote.Reachable = nil
	if c := choose(t, remote, 60*second, longRequest(1, 3)); c.Source != nil {
		t.Error("fetches a prompt that was last used a minute ago")
	}
}

// Load: a new configuration turns a service into an engine or a plain service while its
// targets run. Guards against estimates with the model of the previous kind.
func TestServiceKindChange(t *testing.T) {
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
			got, want := choose(t, p, second, longRequest(1, 1)), choose(t, newPlacer(c.after), second, longRequest(1, 1))
			if got.Estimate != want.Estimate {
				t.Errorf("estimate %+v, for new targets %+v", got.Estimate, want.Estimate)
			}
		})
	}
}

// Guards against reporting region-bound prompts to other regions, which would fetch
// them.
func TestRegionBoundPromptsStayInRegion(t *testing.T) {
	p := newPlacer(engines(1))
	r := longRequest(1, 1)
	r.RegionBound = true
	p.Start(second, choose(t, p, second, r).Target, r)
	if remotePrompts := p.TakePlacedPrompts(placement.OtherRegions); len(remotePrompts) != 0 {
		t.Errorf("%d region-bound prompts are reported to other regions", len(remotePrompts))
	}
	if localPrompts := p.TakePlacedPrompts(placement.SameRegion); len(localPrompts) != 1 {
		t.Errorf("%d prompts are reported within the region, want 1", len(localPrompts))
	}
}

// Load: targets that fail, refuse connections or stop sending. Guards against sending
// requests to them while healthy targets are available.
func TestFailingTargetsAreAvoided(t *testing.T) {
	now := 10 * second
	complete := func(p *placement.Placer, o placement.Outcome) {
		r := shortRequest(1)
		p.Done(now, p.Start(now, mustTarget(t, p, now, r, "e0"), r), o)
	}
	for name, fail := range map[string]func(*placement.Placer){
		"unreachable": func(p *placement.Placer) { complete(p, placement.Unreachable) },
		"broken":      func(p *placement.Placer) { complete(p, placement.Broken) },
		"failing": func(p *placement.Placer) {
			for range 6 {
				complete(p, placement.Failed)
			}
		},
		"silent": func(p *placement.Placer) {
			r := shortRequest(1)
			p.Start(now-2*second, mustTarget(t, p, now, r, "e0"), r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(engines(2))
			fail(p)
			for i := range 5 {
				if c := choose(t, p, now+10*ms, shortRequest(i)); c.Target.ID != "e1" {
					t.Fatalf("chose %s", c.Target.ID)
				}
			}
			excludeOther := func(id string) bool { return id == "e1" }
			if _, ok := p.Choose(now+10*ms, shortRequest(9), excludeOther); !ok {
				t.Error("a failing target is not used as the last resort")
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

// Guards against exceeding the limit of requests per second of a cold target.
func TestColdTargetLimit(t *testing.T) {
	specs := engines(1)
	specs[0].ColdUntil, specs[0].Paced, specs[0].ColdLimit = 20*second, true, 3
	p := newPlacer(specs)
	sent := 0
	for now := 10 * second; now < 11*second; now += 20 * ms {
		r := shortRequest(int(now))
		if c, ok := p.Choose(now, r, nil); ok {
			a := p.Start(now, c.Target, r)
			if !p.BeginSend(now, a) {
				t.Errorf("a request that was chosen at %v is withheld at once", now)
			}
			p.EndSend(now, a)
			p.Done(now, a, placement.Served)
			sent++
		}
	}
	if sent != 3 {
		t.Errorf("%d requests in a second, want 3", sent)
	}
	if _, ok := p.Choose(21*second, shortRequest(1), nil); !ok {
		t.Error("a warm target gets no requests")
	}
}

// Guards against a busy region that forwards no requests although another region is
// idle, and against forwarding that only balances load without a gain.
func TestRemoteCost(t *testing.T) {
	r := longRequest(1, 1)
	r.BodyBytes = 18_000
	idle := placement.Estimate{TTFB: 250 * ms, Total: second}
	slow := placement.Estimate{TTFB: 1500 * ms, Total: 2 * second}
	expired := placement.Estimate{TTFB: 250 * ms, Total: 9 * second}
	idleCost, slowCost, expiredCost := placement.RemoteCost(idle, r), placement.RemoteCost(slow, r), placement.RemoteCost(expired, r)
	if idleCost > 0.4 || slowCost < 0.75 || expiredCost < idleCost+0.5 {
		t.Errorf("costs: idle %.2f, slow %.2f, past the timeout %.2f", idleCost, slowCost, expiredCost)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{4, 30, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newPlacer(engines(n))
			for i := range b.N {
				r := longRequest(i%200, i)
				c, _ := p.Choose(second, r, nil)
				p.Done(second, p.Start(second, c.Target, r), placement.Served)
			}
		})
	}
}

// Load: requests that a plain target answered slowly, then none. Guards against an
// estimate that stays high for good, because requests that are refused on it would be
// needed to renew it.
func TestEstimateOfIdleTargetDecays(t *testing.T) {
	p := newPlacer([]placement.Spec{{ID: "a", Service: "shop", Slots: 6}})
	r := &placement.Request{Service: "shop", Objective: 500 * ms, TimeLeft: 5 * second}
	now := second
	for range 12 {
		attempt := p.Start(now, choose(t, p, now, r).Target, r)
		now += 1200 * ms
		p.RecordBytes(now, attempt)
		p.Done(now, attempt, placement.Served)
	}
	if got := choose(t, p, now, r).TTFB; got < 700*ms {
		t.Fatalf("estimate %s right after responses that took 1.2 s", got)
	}
	attempt := p.Start(now, choose(t, p, now, r).Target, r)
	if got := choose(t, p, now+8*second, r).TTFB; got < 700*ms {
		t.Errorf("estimate %s while a request is running", got)
	}
	p.Done(now, attempt, placement.Served)
	if got := choose(t, p, now+8*second, r).TTFB; got > 250*ms {
		t.Errorf("estimate %s after 8 s without a request", got)
	}
}

// Guards against a target that fetches cached parts of a prompt from one with other
// software.
func TestFetchOnlyFromSameSoftware(t *testing.T) {
	p := newPlacer(engines(1))
	first := longRequest(1, 1)
	p.Start(second, choose(t, p, second, first).Target, first)
	placed := p.TakePlacedPrompts(placement.OtherRegions)[0]
	for _, software := range []string{"v1", "v2"} {
		source, target := engines(2)[0], engines(2)[1]
		source.Remote, source.Software, target.Software = true, "v1", software
		p := newPlacer([]placement.Spec{target, source})
		p.RecordPlacedPrompt(second, placed)
		if c := choose(t, p, 2*second, longRequest(1, 2)); (c.Source != nil) != (software == "v1") {
			t.Errorf("from v1 to %s: source %v", software, c.Source)
		}
	}
}
