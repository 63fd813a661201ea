package gateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/gateway"
)

// Pattern: a target holds a request for longer than its objective and crashes. Guards against
// the end of the request as one that may have run, while another target is idle and its caller
// still waits.
func TestTimeLostToACrashedTargetIsNoOverload(t *testing.T) {
	crash := func(http.ResponseWriter, *http.Request) {
		time.Sleep(700 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	s := newTarget(t, crash, success)
	if got := start(t, s, s).call(t, "/safe/"); got.status != 200 {
		t.Errorf("response %+v", got)
	}
}

// competing is a configuration in which the route "late" is less urgent than the others.
type competing struct{ codec }

func (c competing) Decode([]byte) (*document.Document, error) {
	d := c.testDocument()
	late := d.Routes[0]
	late.Name, late.Prefix, late.Priority, late.FirstByteObjective = "late", "/late/", 2, 2*time.Second
	d.Routes = append(d.Routes, late)
	return d, nil
}

// newCompeting returns a host with that configuration, whose region has the targets. If short
// is set, it has heard from another host of its region that urgent requests are short of room.
func newCompeting(t *testing.T, short bool, targets ...*target) *fixture {
	t.Helper()
	f := newFixture(t)
	f.Views = gateway.NewViewStore(competing{protocol{}.codec()})
	f.RegionByDataCentre["far"] = "elsewhere"
	f.update(0, targets...)
	if short {
		f.ApplyUsage(&syncpb.UsageBatch{Reports: []*syncpb.RelayedReport{{Report: &syncpb.UsageReport{Host: "peer",
			Shortages: []*syncpb.Shortage{{Service: "s", Level: 1, AskedTenths: 900, ShortTenths: 900, WaitMs: 50}}}}}})
	}
	return f
}

// offerFrom tells a host the offer of another region, whose host takes forwarded requests at an
// address.
func offerFrom(f *fixture, address string) {
	for range 2 {
		now := clock.SinceBoot()
		f.Apply(now, fleetsync.Update{SentAt: now, ExchangeResponse: &syncpb.ExchangeResponse{Known: true, Index: 1, Version: 1, Hosts: []*syncpb.EntryHost{
			{Name: "there", Region: "elsewhere", Forward: address, Serving: true, Loads: []*syncpb.Load{{Service: "s", WaitMs: 10, Room: 100_000}}}}}})
		time.Sleep(20 * time.Millisecond) // the offer of a region that returns starts at nothing
	}
}

// Pattern: urgent work is short of room here, and another region has some. Guards against less
// urgent requests that keep their place, and against urgent ones that lose it.
func TestLessUrgentRequestsGoElsewhere(t *testing.T) {
	here, there := newTarget(t, success), newTarget(t, success)
	f := newCompeting(t, true, here)
	remote := newCompeting(t, false, there)
	offerFrom(f, forwardAddress(t, remote))
	for _, path := range []string{"/late/", "/safe/"} {
		if got := f.call(t, path); got.status != 200 {
			t.Errorf("%s: response %+v", path, got)
		}
	}
	if here.count() != 1 || there.count() != 1 {
		t.Errorf("%d requests here and %d elsewhere, want the urgent one here", here.count(), there.count())
	}
}

// Pattern: urgent work is short of room, and no other region has any. Guards against less
// urgent requests that are served first, at this host or for another region, and against a
// refusal that says that the request may have run.
func TestLessUrgentRequestsAreRefusedFirst(t *testing.T) {
	const running = 5
	script := []http.HandlerFunc{}
	for range running {
		script = append(script, slowly(700*time.Millisecond, success))
	}
	s := newTarget(t, append(script, success)...)
	f := newCompeting(t, true, s)
	var urgent sync.WaitGroup
	defer urgent.Wait()
	for range running {
		urgent.Go(func() { f.call(t, "/safe/") })
	}
	for s.count() < running {
		time.Sleep(time.Millisecond)
	}
	local := forwardToAddress(t, f, forwardAddress(t, f))
	local.Views = gateway.NewViewStore(competing{protocol{}.codec()})
	local.update(0)
	for name, host := range map[string]*fixture{"here": f, "forwarded": local} {
		if got := host.call(t, "/late/"); got.header.Get("Ran") != "not_run" || got.header.Get("Retry") == "" {
			t.Errorf("%s: response %+v", name, got)
		}
	}
	if got := f.call(t, "/safe/"); got.status != 200 {
		t.Errorf("urgent request: response %+v", got)
	}
}

// Pattern: an upgrade under load: hosts of both releases report the load of another region in turn.
// Guards against an offer that those of the old release end.
func TestLoadOfAnEarlierReleaseKeepsTheOffer(t *testing.T) {
	here, there := newTarget(t, success), newTarget(t, success)
	f := newCompeting(t, true, here)
	address := forwardAddress(t, newCompeting(t, false, there))
	offerFrom(f, address)
	now := clock.SinceBoot()
	f.Apply(now, fleetsync.Update{SentAt: now, ExchangeResponse: &syncpb.ExchangeResponse{Known: true, Index: 1, Version: 1, Hosts: []*syncpb.EntryHost{
		{Name: "old", Region: "elsewhere", Forward: address, Serving: true, Loads: []*syncpb.Load{{Service: "s", WaitMs: 10}}}}}})
	if got := f.call(t, "/late/"); got.status != 200 || there.count() != 1 {
		t.Errorf("response %+v, %d requests elsewhere", got, there.count())
	}
	idle := newCompeting(t, false)
	for _, l := range idle.ExchangeRequest(clock.SinceBoot(), true, 0).GetHost().GetLoads() {
		if l.GetRoom() == 0 {
			t.Errorf("load %v looks like one of an earlier release", l)
		}
	}
}

// Pattern: an operator turns ranking by urgency off during a peak. Guards against a setting without
// effect.
func TestEqualUrgency(t *testing.T) {
	here, there := newTarget(t, slowly(50*time.Millisecond, success)), newTarget(t, success)
	f := newCompeting(t, true, here)
	f.EqualUrgency = true
	offerFrom(f, forwardAddress(t, newCompeting(t, false, there)))
	if got := f.call(t, "/late/"); got.status != 200 || here.count() != 1 {
		t.Errorf("response %+v, %d requests here", got, here.count())
	}
	loads := f.ExchangeRequest(clock.SinceBoot(), true, 0).GetHost().GetLoads()
	if len(loads) != 1 || loads[0].GetRoom() == 0 || loads[0].GetPressure() != 0 {
		t.Errorf("loads %v, want all room and no pressure", loads)
	}
}

// Pattern: urgent work is short of room at some hosts of a region only. Guards against counts that the hosts of the region do not learn.
func TestShortagesAreReported(t *testing.T) {
	f := newCompeting(t, true, newTarget(t, success))
	f.call(t, "/late/")
	f.call(t, "/safe/")
	if got := f.RegionReport().GetShortages(); len(got) != 2 {
		t.Errorf("reported %v, want those of two levels", got)
	}
	if got := f.RegionReport().GetShortages(); len(got) != 0 {
		t.Errorf("reported %v again at once", got)
	}
	loads := f.ExchangeRequest(clock.SinceBoot(), true, 0).GetHost().GetLoads()
	if len(loads) != 1 || loads[0].GetRoom() != 0 || loads[0].GetPressure() != 1 {
		t.Errorf("loads %v, want no room beside urgent requests that are refused", loads)
	}
	if got := f.Metrics.Get("gateway.yielded"); got == nil {
		t.Error("no count of requests that gave way")
	}
}
