package gateway_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/gateway"
	"geraniumturn.example/geraniumturn/internal/placement"
)

const allPartitions = ^uint64(0)

// stating returns a response that states a rate limit, which may change meanwhile.
func stating(limit *atomic.Value) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		respond(200, "whole", "Signed", "sig", "Limit", limit.Load().(string))(w, r)
	}
}

func limitedTarget(t *testing.T, perSecond string) (*target, *atomic.Value) {
	t.Helper()
	limit := &atomic.Value{}
	limit.Store(perSecond)
	return newTarget(t, stating(limit)), limit
}

// permits is a PermitClient that calls another host directly; nil if it does not answer.
type permits struct{ *gateway.Gateway }

func (p permits) Permit(ctx context.Context, _ string, in *syncpb.PermitRequest) (*syncpb.PermitResponse, error) {
	if p.Gateway == nil {
		return nil, errors.New("no answer")
	}
	return p.Gateway.Permit(ctx, in)
}

// Guards against requests beyond the rate limit that a target states, against a refusal that
// waits, or that does not say when the target takes the next request, and against a host that
// keeps to a limit after the target has ended it.
func TestTargetWithRateLimit(t *testing.T) {
	t.Parallel()
	s, limit := limitedTarget(t, "2")
	f := start(t, s)
	f.lease(clock.SinceBoot(), allPartitions)
	f.call(t, "/open/")
	time.Sleep(2600 * time.Millisecond) // a host that has just started lets requests wait
	f.lease(clock.SinceBoot(), allPartitions)
	began, refused, before := time.Now(), 0, s.count()
	for time.Since(began) < 2*time.Second {
		sent := time.Now()
		got := f.call(t, "/open/")
		if got.status == 200 {
			continue
		}
		refused++
		retry, err := time.ParseDuration(got.header.Get("Retry"))
		if got.header.Get("Code") != "overloaded" || got.header.Get("Ran") != "not_run" || err != nil || retry < 250*time.Millisecond || retry > 2*time.Second {
			t.Fatalf("response %+v", got)
		}
		if d := time.Since(sent); d > time.Second {
			t.Fatalf("refused after %s", d)
		}
	}
	if n, most := s.count()-before, 2+2*time.Since(began).Seconds(); n < 2 || float64(n) > most || refused == 0 {
		t.Errorf("%d requests at 2 a second, want 2 to %.1f; %d refused", n, most, refused)
	}
	f.lease(clock.SinceBoot(), allPartitions)
	limit.Store("often")
	time.Sleep(time.Second)
	f.call(t, "/open/") // a limit that cannot be read ends none
	served := 0
	for range 4 {
		if f.call(t, "/open/", impatient...).status == 200 {
			served++
		}
	}
	if served == 4 {
		t.Error("4 requests at once after a limit of 2 a second that cannot be read")
	}
	limit.Store("")
	for deadline := time.Now().Add(3 * time.Second); f.call(t, "/open/", impatient...).status != 200; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no request is served after the limit has ended")
		}
	}
	for range 20 {
		if got := f.call(t, "/open/"); got.status != 200 {
			t.Fatalf("response %+v after the limit has ended", got)
		}
	}
}

// Guards against requests to a target with a rate limit from a host that got no permit: nobody
// grants permits, the host that does is silent, or it has none left.
func TestTargetWithRateLimitNeedsPermit(t *testing.T) {
	for name, c := range map[string]struct {
		grants, silent bool
	}{"nobody grants permits": {false, false}, "silent host": {true, true}, "other host": {true, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _ := limitedTarget(t, "1")
			first, other := start(t, s), newFixture(t)
			other.Name = "h"
			other.PermitClient = permits{}
			if !c.silent {
				other.PermitClient = permits{first.Gateway}
			}
			other.update(0, s)
			now := clock.SinceBoot()
			other.Apply(now, fleetsync.Update{SentAt: now, ControlAddress: "c", ExchangeResponse: &syncpb.ExchangeResponse{Hosts: []*syncpb.EntryHost{{Name: "g", Region: "here", Peer: "p"}}}})
			first.call(t, "/safe/")
			if c.grants {
				first.lease(clock.SinceBoot(), allPartitions)
			}
			if _, err := other.Share(t.Context(), first.UsageReport(placement.SameRegion)); err != nil {
				t.Fatal(err)
			}
			began, most := time.Now(), 0.0
			for time.Since(began) < 1500*time.Millisecond {
				time.Sleep(10 * time.Millisecond)
				if got := other.call(t, "/once/", impatient...); got.status != 200 && got.header.Get("Ran") != "not_run" {
					t.Fatalf("response %+v", got)
				}
			}
			if c.grants && !c.silent {
				most = 1 + time.Since(began).Seconds()
			}
			if n := s.count() - 1; float64(n) > most || most > 0 && n == 0 {
				t.Errorf("%d requests, %.1f at most", n, most)
			}
		})
	}
}

// Guards against a forwarded request that is refused because its first target has no permit,
// although another one takes requests.
func TestForwardedRequestLeavesTargetWithoutPermit(t *testing.T) {
	limited, _ := limitedTarget(t, "0.5")
	free := newTarget(t, success)
	f := start(t, limited, free)
	for limited.count() == 0 {
		f.call(t, "/safe/")
	}
	entry := forwardTo(t, f)
	for range 10 {
		if got := entry.call(t, "/once/"); got.status != 200 {
			t.Errorf("response %+v", got)
		}
	}
	if n := limited.count(); n != 1 {
		t.Errorf("%d requests at the limited target", n)
	}
}

// Guards against invalid limits and requests for permits from other hosts that take effect.
func TestInvalidLimitsOfHosts(t *testing.T) {
	s := newTarget(t, success)
	f := start(t, s)
	if _, err := f.Permit(t.Context(), &syncpb.PermitRequest{}); err == nil || !strings.Contains(err.Error(), "target") {
		t.Errorf("a request for a permit without a target: %v", err)
	}
	for _, l := range []*syncpb.TargetLimit{{Target: "t0", PerSecond: -1}, {Target: "t0", PerSecond: 1, SentAgeMs: 1, HeardAgeMs: 2}, {Target: "t0", PerSecond: 1, SentAgeMs: -1, HeardAgeMs: -1}} {
		if _, err := f.Share(t.Context(), &syncpb.UsageReport{Host: "h", Limits: []*syncpb.TargetLimit{l}}); err != nil {
			t.Fatal(err)
		}
	}
	if got := f.call(t, "/safe/"); got.status != 200 {
		t.Errorf("response %+v", got)
	}
}
