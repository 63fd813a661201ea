package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/origins"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// Guards against a stream that continues on other software, because the heartbeats of the
// process that was at the target's place have only just stopped and those of the next one have
// only just begun.
func TestStreamDoesNotContinueOnTargetThatStartsAgain(t *testing.T) {
	for _, software := range []string{"v1", "v2"} {
		t.Run(software, func(t *testing.T) {
			s := newTarget(t, events(false, 2, 3))
			f := newFixture(t)
			f.OriginClient = fixedAnswer{Found: true, Origin: origins.Origin{Service: "s", Software: "v1"}}
			r := records([]*target{s})[0]
			r.ID, r.Software, r.StartMillis, r.Sequence, r.Established = "t", "v1", 1000, 9, true
			next := r
			next.Software, next.StartMillis, next.Sequence, next.Established = software, 2000, 1, false
			now := clock.SinceBoot()
			f.Apply(now, fleetsync.Update{SentAt: now, ControlAddress: "c", ExchangeResponse: &syncpb.ExchangeResponse{Known: true, Index: 1, Version: 1, TotalHosts: 1}, Records: []registry.Record{r, next}})
			got := f.call(t, "/resume/", "Id", "second", "Last", "1", "Resumes", "first")
			if served := got.status == http.StatusOK; served != (software == "v1") {
				t.Errorf("response %+v", got)
			}
		})
	}
}

// Guards against a target that gets no requests for good, as the host still has the process that
// crashed at its address and control hosts, which have started again, do not know that one.
func TestTargetBesideForgottenProcess(t *testing.T) {
	s := newTarget(t)
	f := newFixture(t)
	r := records([]*target{s})[0]
	r.ID, r.StartMillis, r.Sequence, r.Established = "crashed", 1000, 9, true
	next := r
	next.ID, next.StartMillis, next.Sequence, next.Established = "next", 2000, 1, false
	apply := func(records ...registry.Record) {
		now := clock.SinceBoot()
		f.Apply(now, fleetsync.Update{SentAt: now, ControlAddress: "c", ExchangeResponse: &syncpb.ExchangeResponse{Known: true, Index: 1, Version: 1, TotalHosts: 1}, Records: records})
	}
	apply(r, next)
	used := func() bool {
		for _, r := range f.Table.Registered() {
			if r.ID == "next" {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(7 * time.Second); !used() && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		apply()
	}
	if !used() {
		t.Error("the target is not used although control hosts have told of no silence")
	}
}
