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
