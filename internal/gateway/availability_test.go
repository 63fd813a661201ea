package gateway_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// register applies the record of a process of target number n.
func (f *fixture) register(n int, s *target, startMillis int64, sequence uint64) {
	now := clock.SinceBoot()
	r := records([]*target{s})[0]
	r.ID, r.StartMillis, r.Sequence = targetID(n), startMillis, sequence
	f.Apply(now, fleetsync.Update{SentAt: now, ControlAddress: "c", ExchangeResponse: &syncpb.ExchangeResponse{}, Records: []registry.Record{r}})
}

// impatient is the time-out of requests that do not wait for targets that a host may not
// know yet shortly after its start.
var impatient = []string{"Timeout-Ms", "300"}

func targetID(n int) string { return "t" + string(rune('0'+n)) }

// Guards against requests to a target that has said that it is leaving: as a last resort
// and when a heartbeat that was in flight names it ready again. Its response reaches the
// caller unchanged.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		script []http.HandlerFunc
		status int
	}{
		"success":  {"/once/", []http.HandlerFunc{respond(200, "whole", "Signed", "sig", "Leaving", "1"), success}, 200},
		"failure":  {"/once/", []http.HandlerFunc{respond(500, "broken", "Signed", "sig", "Leaving", "1"), success}, 500},
		"rejected": {"/once/", []http.HandlerFunc{respond(503, "", "Not-Run", "1", "Leaving", "1"), success}, 503},
		"stream":   {"/stream/", []http.HandlerFunc{respond(200, "data: 1\n\n", "Signed", "sig", "Leaving", "1"), success}, 200},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTarget(t, c.script...)
			f := start(t, s)
			f.register(0, s, 1, 1)
			got := f.call(t, c.path)
			if got.status != c.status || c.status != 503 && got.header.Get("Leaving") != "1" {
				t.Fatalf("response %+v", got)
			}
			f.register(0, s, 1, 2)
			if got := f.call(t, "/safe/", impatient...); got.status != 503 || got.header.Get("Code") != "no_target" || got.header.Get("Ran") != "not_run" || s.count() != 1 {
				t.Errorf("response %+v, %d requests at the leaving target", got, s.count())
			}
			f.register(0, s, 2, 1)
			if got := f.call(t, "/safe/"); got.status != 200 {
				t.Errorf("response %+v from the next process", got)
			}
		})
	}
}

// Guards against a target that is taken out of use because another process at its address
// is leaving.
func TestMisdirectedResponseSaysNothingOfTarget(t *testing.T) {
	s := newTarget(t, respond(http.StatusMisdirectedRequest, "", "Not-Run", "1", "Leaving", "1", "Pause", "1h"), success)
	f := start(t, s)
	f.call(t, "/safe/")
	if got := f.call(t, "/safe/"); got.status != 200 {
		t.Errorf("response %+v", got)
	}
}

// Guards against a stream that is resumed at a target that is leaving, and against a retry
// there.
func TestRetriesAvoidLeavingTarget(t *testing.T) {
	leaving := newTarget(t, respond(200, "whole", "Signed", "sig", "Leaving", "1"))
	f := start(t, leaving)
	f.call(t, "/safe/")
	broken := newTarget(t, events(true, 1), reject, events(false, 2))
	f.announce(leaving, broken)
	f.call(t, "/resume/")
	f.call(t, "/safe/")
	f.call(t, "/safe/")
	if leaving.count() != 1 {
		t.Errorf("%d requests at the leaving target, want 1", leaving.count())
	}
}

// Guards against requests of the other hosts of the region to a leaving target until it
// has told each of them.
func TestHostsShareLeavingTargets(t *testing.T) {
	s := newTarget(t, respond(200, "whole", "Signed", "sig", "Leaving", "1"), success)
	first, other := start(t, s), start(t, s)
	first.call(t, "/safe/")
	if _, err := other.Share(context.Background(), first.UsageReport(placement.SameRegion)); err != nil {
		t.Fatal(err)
	}
	if got := other.call(t, "/safe/", impatient...); got.status != 503 || s.count() != 1 {
		t.Errorf("response %+v, %d requests at the leaving target", got, s.count())
	}
	if r := first.UsageReport(placement.OtherRegions); len(r.GetAvailability()) > 0 {
		t.Errorf("hosts of other regions, which do not send to the target, get %v", r.GetAvailability())
	}
}

// Guards against idle connections that are kept to a leaving target.
func TestIdleConnectionsToLeavingTargetAreClosed(t *testing.T) {
	var open atomic.Int64
	s := &target{script: []http.HandlerFunc{success, respond(200, "whole", "Signed", "sig", "Leaving", "1")}}
	s.Server = httptest.NewUnstartedServer(s)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	f := start(t, s)
	f.call(t, "/safe/")
	if open.Load() != 1 {
		t.Fatalf("%d connections to a ready target, want 1", open.Load())
	}
	f.call(t, "/safe/")
	for deadline := time.Now().Add(2 * time.Second); open.Load() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections to the leaving target", open.Load())
		}
	}
}

// Guards against requests, also as a last resort, to targets during the pause that they
// have asked for, against a refusal that does not say when the first of them is back, and
// against a pause that other hosts take over.
func TestPausedTargetsGetNoRequests(t *testing.T) {
	pause := func(d string, header ...string) http.HandlerFunc {
		return respond(503, "", append(header, "Pause", d)...)
	}
	long, short := newTarget(t, pause("20s", "Not-Run", "1"), success), newTarget(t, pause("900ms", "Signed", "sig"), success)
	f := start(t, long, short)
	for long.count() == 0 || short.count() == 0 {
		f.call(t, "/once/")
	}
	paused := time.Now()
	got := f.call(t, "/safe/", impatient...)
	if got.status != 429 || got.header.Get("Code") != "overloaded" || got.header.Get("Ran") != "not_run" {
		t.Errorf("response %+v", got)
	}
	if retry, err := time.ParseDuration(got.header.Get("Retry")); err != nil || retry < 300*time.Millisecond || retry > 900*time.Millisecond {
		t.Errorf("retry after %s, want the time until the first target is back", got.header.Get("Retry"))
	}
	other := start(t, long, short)
	if _, err := other.Share(context.Background(), f.UsageReport(placement.SameRegion)); err != nil {
		t.Fatal(err)
	}
	if got := other.call(t, "/safe/"); got.status != 200 {
		t.Errorf("response %+v at another host", got)
	}
	before := long.count() + short.count()
	if got := f.call(t, "/safe/", impatient...); got.status != 429 || long.count()+short.count() != before {
		t.Errorf("response %+v, requests reached paused targets", got)
	}
	time.Sleep(time.Until(paused.Add(time.Second)))
	if got := f.call(t, "/safe/"); got.status != 200 {
		t.Errorf("response %+v after the pause", got)
	}
}

// Guards against a rejected request whose caller is told to come back while all targets
// are paused.
func TestRejectionSaysWhenTargetsAreBack(t *testing.T) {
	s := newTarget(t, respond(503, "", "Not-Run", "1", "Pause", "3s"))
	got := start(t, s).call(t, "/once/")
	if retry, err := time.ParseDuration(got.header.Get("Retry")); err != nil || retry < 2500*time.Millisecond || retry > 3*time.Second || s.count() != 1 {
		t.Errorf("response %+v after %d requests", got, s.count())
	}
}

// reaches makes a host know another one, of another region.
func (f *fixture) reaches(t *testing.T, remote *fixture) {
	t.Helper()
	forward := httptest.NewServer(remote.ForwardHandler())
	t.Cleanup(forward.Close)
	now := clock.SinceBoot()
	f.Apply(now, fleetsync.Update{SentAt: now, ExchangeResponse: &syncpb.ExchangeResponse{Known: true, Index: 1, Version: 1, Hosts: []*syncpb.EntryHost{
		{Name: "there", Region: "elsewhere", Forward: strings.TrimPrefix(forward.URL, "http://"), Serving: true, Loads: []*syncpb.Load{{Service: "s", WaitMs: 10}}}}}})
}

// Guards against a refusal while the targets of this region are paused and another region
// can serve the request, and against forwarded requests that reach a paused target.
func TestPausedTargetsAreReplacedByOtherRegion(t *testing.T) {
	local := newTarget(t, respond(503, "", "Not-Run", "1", "Pause", "20s"))
	remote := newTarget(t, success, success, respond(503, "", "Signed", "sig", "Pause", "20s"))
	f := start(t, local)
	f.reaches(t, start(t, remote))
	for range 2 {
		if got := f.call(t, "/safe/"); got.status != 200 {
			t.Errorf("response %+v", got)
		}
	}
	f.call(t, "/once/")
	for range 3 {
		if got := f.call(t, "/once/", impatient...); got.header.Get("Ran") != "not_run" {
			t.Errorf("response %+v", got)
		}
	}
	if local.count() != 1 || remote.count() != 3 {
		t.Errorf("%d requests at the local target, %d at the other one; want 1 and 3", local.count(), remote.count())
	}
}

// crowded counts the requests that a target runs at the same time.
type crowded struct {
	running, most atomic.Int64
	duration      time.Duration
	header        []string
}

func (c *crowded) handle(w http.ResponseWriter, r *http.Request) {
	n := c.running.Add(1)
	defer c.running.Add(-1)
	for most := c.most.Load(); n > most && !c.most.CompareAndSwap(most, n); most = c.most.Load() {
	}
	time.Sleep(c.duration)
	respond(200, "whole", append(c.header, "Signed", "sig")...)(w, r)
}

// Load: more concurrent requests than a brittle target has slots. Guards against requests
// that queue there, at the host that has heard its statement and at the others, against
// refusals that wait or do not say when to come back, and against a target that is kept
// empty after it is no longer brittle.
func TestNothingQueuesAtBrittleTarget(t *testing.T) {
	const slots, parallel = 4, 24 // slots: of a target that does not announce them
	c := &crowded{header: []string{"Brittle", "4"}}
	s := newTarget(t, c.handle)
	first, other := start(t, s), start(t, s)
	if got := first.call(t, "/safe/"); got.status != 200 || got.header.Get("Brittle") != "4" {
		t.Fatalf("response %+v", got)
	}
	if _, err := other.Share(context.Background(), first.UsageReport(placement.SameRegion)); err != nil {
		t.Fatal(err)
	}
	c.duration = 400 * time.Millisecond
	for name, f := range map[string]*fixture{"first host": first, "other host": other} {
		c.most.Store(0)
		var wg sync.WaitGroup
		var served, refused atomic.Int64
		for range parallel {
			wg.Go(func() {
				sent := time.Now()
				switch got := f.call(t, "/safe/", "Timeout-Ms", "900"); got.status {
				case 200:
					served.Add(1)
				default:
					refused.Add(1)
					retry, err := time.ParseDuration(got.header.Get("Retry"))
					if got.header.Get("Code") != "overloaded" || got.header.Get("Ran") != "not_run" || err != nil || retry <= 0 {
						t.Errorf("%s: response %+v", name, got)
					}
					if d := time.Since(sent); d > 700*time.Millisecond {
						t.Errorf("%s: refused after %s", name, d)
					}
				}
			})
		}
		wg.Wait()
		if most := c.most.Load(); most > slots || served.Load() == 0 {
			t.Errorf("%s: %d requests at a time at a target with %d slots, %d served", name, most, slots, served.Load())
		}
	}
	c.duration, c.header = 10*time.Millisecond, nil
	first.call(t, "/safe/")
	c.duration, c.most = 50*time.Millisecond, atomic.Int64{}
	var wg sync.WaitGroup
	for range 3 * slots {
		wg.Go(func() { first.call(t, "/safe/") })
	}
	wg.Wait()
	if most := c.most.Load(); most <= slots {
		t.Errorf("%d requests at a time at a target that is not brittle any more", most)
	}
}

// Guards against further requests to a brittle target that has just rejected one, and
// against a retry storm over brittle targets.
func TestRejectionByBrittleTarget(t *testing.T) {
	full := respond(503, "", "Not-Run", "1", "Brittle", "2")
	targets := []*target{newTarget(t, full), newTarget(t, full)}
	f := start(t, targets...)
	for range 20 {
		if got := f.call(t, "/safe/", impatient...); got.header.Get("Ran") != "not_run" || got.header.Get("Retry") == "" {
			t.Errorf("response %+v", got)
		}
	}
	for i, s := range targets {
		if n := s.count(); n > 2 {
			t.Errorf("target %d rejected %d requests, survives 2", i, n)
		}
	}
}

// Guards against a target whose statement is lost because the response that has it names
// no request, on a kept connection.
func TestStatementOfUnidentifiedResponse(t *testing.T) {
	for name, header := range map[string]string{"leaving": "Leaving", "paused": "Pause"} {
		t.Run(name, func(t *testing.T) {
			s := newTarget(t, success, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Del("Id")
				respond(503, "", "Not-Run", "1", header, "20s")(w, r)
			}, success)
			f := start(t, s)
			f.call(t, "/once/")
			if got := f.call(t, "/once/"); got.header.Get("Ran") != "unknown" {
				t.Fatalf("response %+v", got)
			}
			if got := f.call(t, "/once/", impatient...); got.header.Get("Ran") != "not_run" || s.count() != 2 {
				t.Errorf("response %+v, %d requests", got, s.count())
			}
		})
	}
}

// Guards against a refusal that names the time of a busy other region instead of that of
// the targets of this one, which are back earlier.
func TestRefusalNamesEarliestTarget(t *testing.T) {
	s := newTarget(t, respond(503, "", "Not-Run", "1", "Pause", "1500ms"))
	f := start(t, s)
	now := clock.SinceBoot()
	f.Apply(now, fleetsync.Update{SentAt: now, ExchangeResponse: &syncpb.ExchangeResponse{Known: true, Index: 1, Version: 1, Hosts: []*syncpb.EntryHost{
		{Name: "there", Region: "elsewhere", Forward: "127.0.0.1:1", Serving: true, Loads: []*syncpb.Load{{Service: "s", WaitMs: 9000}}}}}})
	f.call(t, "/safe/", impatient...)
	got := f.call(t, "/safe/", impatient...)
	if retry, err := time.ParseDuration(got.header.Get("Retry")); err != nil || retry > 1500*time.Millisecond || retry < 500*time.Millisecond {
		t.Errorf("response %+v", got)
	}
}
