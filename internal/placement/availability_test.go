package placement_test

import (
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/placement"
)

func start(t *testing.T, p *placement.Placer, now time.Duration, id string) *placement.Attempt {
	t.Helper()
	r := shortRequest(1)
	return p.Start(now, mustTarget(t, p, now, r, id), r)
}

func chosen(p *placement.Placer, now time.Duration) map[string]bool {
	out := map[string]bool{}
	tried := map[string]bool{}
	for {
		c, ok := p.Choose(now, shortRequest(1), func(id string) bool { return tried[id] })
		if !ok {
			return out
		}
		tried[c.Target.ID], out[c.Target.ID] = true, true
	}
}

// Guards against requests to a target that has said that it is leaving: as a last resort,
// after it was absent from the registry and when a heartbeat that was in flight names it
// ready again.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	specs := engines(1)
	specs[0].StartMillis = 1000
	p := newPlacer(specs)
	a, unsent := start(t, p, second, "e0"), start(t, p, second, "e0")
	if changes := p.Observe(second, a, placement.Statement{Leaving: true}); len(changes) != 1 || changes[0].Cause != placement.CauseLeaving {
		t.Fatalf("changes %+v", changes)
	}
	if changes := p.Observe(second, a, placement.Statement{Leaving: true}); len(changes) != 0 {
		t.Errorf("the second statement changes %+v", changes)
	}
	p.Observe(2*second, a, placement.Statement{})
	if p.Accepts(2*second, unsent) {
		t.Error("a request that was assigned to the target before may still be sent")
	}
	for _, update := range [][]placement.Spec{specs, nil, specs} {
		p.SetTargets(update)
		p.Poll(2 * second)
		if got := chosen(p, 2*second); len(got) > 0 {
			t.Fatalf("chose %v", got)
		}
	}
	if _, ok := p.AvailableIn(2*second, shortRequest(1)); ok {
		t.Error("a leaving target is expected to take requests again")
	}
	specs[0].StartMillis = 2000
	p.SetTargets(specs)
	if !chosen(p, 2*second)["e0"] {
		t.Error("the next process of the target gets no requests")
	}
	p.Observe(2*second, a, placement.Statement{Leaving: true})
	if !chosen(p, 2*second)["e0"] {
		t.Error("a late response of the previous process takes the next one out of use")
	}
}

// Guards against requests of other hosts to a leaving target until it has told each of
// them, and against taking out its next process because of an old report.
func TestHostsShareLeavingTargets(t *testing.T) {
	specs := engines(2)
	specs[0].StartMillis, specs[1].StartMillis = 1000, 1000
	first, other := newPlacer(specs), newPlacer(specs)
	first.Observe(second, start(t, first, second, "e0"), placement.Statement{Leaving: true})
	reports := first.RecentlyLeaving(2 * second)
	if len(reports) != 1 {
		t.Fatalf("reports %+v", reports)
	}
	if _, changed := other.RecordLeaving(2*second, reports[0]); !changed {
		t.Error("the report changes nothing")
	}
	if _, changed := other.RecordLeaving(2*second, reports[0]); changed {
		t.Error("the repeated report is a change")
	}
	if got := chosen(other, 2*second); got["e0"] || !got["e1"] {
		t.Errorf("chose %v", got)
	}
	if got := other.RecentlyLeaving(2 * second); len(got) > 0 {
		t.Errorf("passes on %+v, which it knows only from another host", got)
	}
	if got := first.RecentlyLeaving(time.Minute); len(got) > 0 {
		t.Errorf("still reports %+v", got)
	}
	specs[0].StartMillis = 2000
	other.SetTargets(specs)
	if _, changed := other.RecordLeaving(3*second, reports[0]); changed || !chosen(other, 3*second)["e0"] {
		t.Error("a report about the previous process takes the next one out of use")
	}
}

// Guards against requests, also as a last resort, to a target during the pause that it
// has asked for, and against a pause without an end.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	p := newPlacer(engines(2))
	now := second
	for _, id := range []string{"e0", "e1"} {
		pause := 1500 * ms
		if id == "e1" {
			pause = 2500 * ms
		}
		p.Observe(now, start(t, p, now, id), placement.Statement{Pause: pause})
	}
	if got := chosen(p, now+1400*ms); len(got) > 0 {
		t.Errorf("chose %v during the pause", got)
	}
	if wait, ok := p.AvailableIn(now+500*ms, shortRequest(1)); !ok || wait != second {
		t.Errorf("available in %s, want the time until the first target is back", wait)
	}
	if got := chosen(p, now+1500*ms); !got["e0"] || got["e1"] {
		t.Errorf("chose %v after the first pause", got)
	}
	if ended := p.Poll(now + 1500*ms); len(ended) != 1 || ended[0].Target != "e0" || !ended[0].Ended {
		t.Errorf("ended pauses %+v", ended)
	}
	a := start(t, p, now+3*second, "e1")
	p.Observe(now+3*second, a, placement.Statement{Pause: 1 << 62})
	if got := chosen(p, now+3*second+11*time.Minute); !got["e1"] {
		t.Error("a faulty value takes the target out of use for good")
	}
	if ended := p.Poll(time.Hour); len(ended) != 1 {
		t.Errorf("ended pauses %+v", ended)
	}
}

// Guards against requests of other regions to targets that take none, because the last load
// that was told of them is low.
func TestPausedTargetsAreNotIdleToOtherRegions(t *testing.T) {
	p := newPlacer(engines(1))
	p.Observe(second, start(t, p, second, "e0"), placement.Statement{Pause: 5 * second})
	if e, ok := p.TypicalEstimate(2*second, "llm"); !ok || e.TTFB != 4*second {
		t.Errorf("estimate %+v during a pause that ends in 4 s", e)
	}
	if e, ok := p.TypicalEstimate(7*second, "llm"); !ok || e.TTFB > second {
		t.Errorf("estimate %+v after the pause", e)
	}
	if _, ok := p.TypicalEstimate(second, "none"); ok {
		t.Error("an estimate without targets")
	}
}

// Guards against a host that stood still after it had chosen cold targets, and then sends
// these requests beside new ones: more than the targets bear in a second.
func TestPausedHostKeepsPaceOfColdTarget(t *testing.T) {
	const limit = 3
	p := newPlacer([]placement.Spec{{ID: "c", Address: "10.0.0.1", Service: "s", Slots: 64, Paced: true, ColdLimit: limit, ColdUntil: time.Minute}})
	request := &placement.Request{Service: "s", Objective: second}
	start := func(now time.Duration) (out []*placement.Attempt) {
		for range 2 * limit {
			if c, ok := p.Choose(now, request, nil); ok {
				out = append(out, p.Start(now, c.Target, request))
			}
		}
		return out
	}
	send := func(now time.Duration, attempts []*placement.Attempt) (sent int) {
		for _, a := range attempts {
			if p.BeginSend(now, a) {
				p.EndSend(now, a)
				sent++
			}
			p.Done(now, a, placement.Cancelled)
		}
		return sent
	}
	delayed := start(second)
	now := 6 * second // the process stood still
	sent := send(now, start(now)) + send(now, delayed)
	if sent != limit {
		t.Errorf("%d requests in one moment, the limit is %d", sent, limit)
	}
	if sent = send(now+2*second+50*ms, start(now+2*second)); sent != limit {
		t.Errorf("%d requests without a pause, the limit is %d", sent, limit)
	}
}

// Guards against the usual load for a target that has started again and is cold, while its
// heartbeats do not arrive: its record is that of the process before.
func TestProcessAfterRefusedConnectionIsCold(t *testing.T) {
	const warmup = 3 * second
	spec := placement.Spec{ID: "t", Address: "10.0.0.1", Service: "s", Slots: 64, Paced: true, ColdLimit: 2, Warmup: warmup, StartMillis: 1000}
	p, other := newPlacer([]placement.Spec{spec}), newPlacer([]placement.Spec{spec})
	request := &placement.Request{Service: "s", Objective: second}
	sent := func(p *placement.Placer, now time.Duration) (n int) {
		for range 5 {
			c, ok := p.Choose(now, request, nil)
			if !ok {
				continue
			}
			a := p.Start(now, c.Target, request)
			if p.BeginSend(now, a) {
				p.EndSend(now, a)
				p.Observe(now, a, placement.Statement{})
				n++
			}
			p.Done(now, a, placement.Served)
		}
		return n
	}
	if n := sent(p, second); n != 5 {
		t.Fatalf("%d of 5 requests to a warm target", n)
	}
	now := 10 * second
	p.RecordRefused(now, p.Start(now, mustTarget(t, p, now, request, "t"), request))
	for _, e := range p.RecentlyEnded(now) {
		other.RecordEnded(e)
	}
	for name, p := range map[string]*placement.Placer{"the host": p, "another host": other} {
		if n := sent(p, 14*second); n != 2 {
			t.Errorf("%s: %d requests at once to a process that has just started, want 2", name, n)
		}
		p.RecordEnded(placement.EndedTarget{Target: "t", StartMillis: 1000, At: now + 50*ms}) // the same refusal, reported again
		if n := sent(p, 16*second); n != 2 {
			t.Errorf("%s: %d requests at once within its warm-up, want 2", name, n)
		}
		if n := sent(p, 14*second+warmup); n != 5 {
			t.Errorf("%s: %d of 5 requests after its warm-up", name, n)
		}
	}
	p.RecordRefused(30*second, p.Start(30*second, mustTarget(t, p, 30*second, request, "t"), request))
	spec.StartMillis = 31_000
	p.SetTargets([]placement.Spec{spec})
	if n := sent(p, 32*second); n != 5 {
		t.Errorf("%d of 5 requests to a process whose record says that it is warm", n)
	}
}

// Guards against a target that stays unused after the end of a pause that it asked for, because
// the requests that it turned away count as its failures.
func TestTargetIsUsedAgainAfterPause(t *testing.T) {
	p := newPlacer([]placement.Spec{{ID: "busy", Address: "10.0.0.1", Service: "s", Slots: 8}, {ID: "other", Address: "10.0.0.2", Service: "s", Slots: 8}})
	send := func(now time.Duration) (string, *placement.Attempt) {
		r := &placement.Request{Service: "s", Objective: second}
		c, ok := p.Choose(now, r, nil)
		if !ok {
			t.Fatalf("no target at %s", now)
		}
		return c.Target.ID, p.Start(now, c.Target, r)
	}
	var busy []*placement.Attempt
	for len(busy) < 3 { // several are under way when the first one is turned away
		if id, a := send(second); id == "busy" {
			busy = append(busy, a)
		} else {
			p.Done(second, a, placement.Served)
		}
	}
	for _, a := range busy {
		p.Observe(second, a, placement.Statement{Pause: second, Rejected: true})
		p.Done(second, a, placement.Rejected)
	}
	used := map[string]int{}
	for now := second; now < 6*second; now += 50 * ms {
		id, a := send(now)
		if used[id]++; id == "busy" && now < 2*second {
			t.Fatalf("used at %s, within its pause", now)
		}
		p.Done(now+40*ms, a, placement.Served)
	}
	if used["busy"] < 20 {
		t.Errorf("used %d times in the 4 s after its pause, the other target %d times in 5 s", used["busy"], used["other"])
	}
}

// Guards against a target that is left out for good because the registry took another
// sender's message for its latest process for a while: what the running process says, and the
// next one under its ID, must count again.
func TestProcessThatWasNoneIsForgotten(t *testing.T) {
	specs := engines(1)
	register := func(p *placement.Placer, start int64) {
		specs[0].StartMillis = start
		p.SetTargets(specs)
	}
	specs[0].StartMillis = 1000
	p := newPlacer(specs)
	p.Observe(second, start(t, p, second, "e0"), placement.Statement{Pause: 8 * second})
	register(p, 1<<53-1)
	register(p, 1000)
	if len(chosen(p, 2*second)) > 0 {
		t.Error("the target gets requests in the pause that it asked for")
	}
	p.Observe(10*second, start(t, p, 10*second, "e0"), placement.Statement{Leaving: true})
	if len(chosen(p, 10*second)) > 0 {
		t.Error("a leaving target gets requests")
	}
	register(p, 2000)
	if !chosen(p, 11*second)["e0"] {
		t.Error("the next process of the target gets no requests")
	}
	p.RecordLeaving(12*second, placement.LeavingTarget{Target: "e0", StartMillis: 3000})
	register(p, 2000)
	if len(chosen(p, 12*second)) > 0 {
		t.Error("a process that another host knows to be leaving gets requests before it is registered here")
	}
}
