package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against callers of a host without a path to its targets that are refused, under
// overload, at an expected time to first byte at which those of other hosts are served.
func TestDetachedLimits(t *testing.T) {
	for _, c := range []struct {
		priority            int
		objective, idleTTFB time.Duration
	}{{0, 600 * time.Millisecond, 100 * time.Millisecond}, {1, 800 * time.Millisecond, 300 * time.Millisecond}, {2, 400 * time.Millisecond, 40 * time.Millisecond}} {
		limit := FirstByteLimit(c.priority, c.objective, 5*time.Second, c.idleTTFB)
		hostLimit, accepted := DetachedLimits(limit, c.objective)
		if got := RemoteFirstByteLimit(hostLimit); got != limit {
			t.Errorf("limit at the other host %s, for its own callers %s", got, limit)
		}
		// A region at its limit gets some requests more from here before its next report.
		region := NewRemoteRegion()
		region.UpdateLoad("s", Load{TTFB: limit})
		for range 5 {
			region.RecordSent(0)
		}
		p := New(DefaultEngine(93_600), rand.New(rand.NewPCG(1, 1)))
		if !region.SentWithin(49*time.Millisecond, 50*time.Millisecond) || region.SentWithin(50*time.Millisecond, 50*time.Millisecond) {
			t.Error("the time of the latest request is wrong")
		}
		e, ok := p.EstimateRemote(0, region, &Request{Service: "s", Objective: c.objective})
		if !ok || e.TTFB > accepted {
			t.Errorf("priority %d: refused here at %s, limit %s", c.priority, e.TTFB, accepted)
		}
	}
}

// Guards against targets that stay ejected after the host has regained its path, because
// connections to them failed while it had none.
func TestResetConnectFailures(t *testing.T) {
	p := New(DefaultEngine(93_600), rand.New(rand.NewPCG(1, 1)))
	p.SetTargets([]Spec{{ID: "t", Address: "a", Service: "s"}})
	r := &Request{Service: "s"}
	c, _ := p.Choose(0, r, nil)
	p.Done(0, p.Start(0, c.Target, r), Unreachable)
	if c, ok := p.Choose(time.Millisecond, r, nil); !ok || !c.Unreachable {
		t.Errorf("choice %+v, %v after a failed connection", c, ok)
	}
	p.ResetConnectFailures()
	if c, ok := p.Choose(time.Millisecond, r, nil); !ok || c.Unreachable {
		t.Errorf("choice %+v, %v with the path regained", c, ok)
	}
}
