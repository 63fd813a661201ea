package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/gateway"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// startCold returns a host with one cold target, of which all hosts together may send
// ColdRate x ColdOverrun + ColdSlack - 1 requests a second.
func startCold(t *testing.T, s *target) *fixture {
	t.Helper()
	f := newFixture(t)
	f.Bounds.ColdOverrun, f.Bounds.ColdSlack = 1, 0
	f.Views = gateway.NewViewStore(changedCodec{change: func(d *document.Document) { d.Services[0].ColdRate = 4 }})
	f.front = httptest.NewServer(f.Gateway)
	t.Cleanup(f.front.Close)
	f.update(0, s)
	r := records([]*target{s})[0]
	now := clock.SinceBoot()
	r.Sequence, r.ColdUntil = 2, now+time.Minute
	f.Apply(now, fleetsync.Update{SentAt: now, ControlAddress: "c", ExchangeResponse: &syncpb.ExchangeResponse{}, Records: []registry.Record{r}})
	return f
}

// lease grants the host partitions as of a time.
func (f *fixture) lease(asOf time.Duration, partitions uint64) {
	f.Apply(clock.SinceBoot(), fleetsync.Update{SentAt: asOf, ControlAddress: "c", ExchangeResponse: &syncpb.ExchangeResponse{Granted: true, Partitions: partitions}})
}

// Guards against requests to a cold target from a host whose part of the pace is not granted
// or no longer is: one that has just started, or is cut off from the control hosts. It holds
// for plain requests, streams and forwarded requests.
func TestColdTargetNeedsLease(t *testing.T) {
	const all = ^uint64(0)
	for _, forwarded := range []bool{false, true} {
		for _, path := range []string{"/once/", "/safe/", "/resume/"} {
			t.Run(fmt.Sprint(path, forwarded), func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				var arrived []time.Time
				s := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
					mu.Lock()
					arrived = append(arrived, time.Now())
					mu.Unlock()
					success(w, r)
				})
				start := func(asOf time.Duration) (f, entry *fixture) {
					f = startCold(t, s)
					if f.lease(asOf, all); !forwarded {
						return f, f
					}
					return f, forwardTo(t, f)
				}
				// A host that has just started lets requests wait.
				call := func(entry *fixture, when string, limit int) {
					t.Helper()
					arrived = nil
					var calls sync.WaitGroup
					for range 8 {
						calls.Go(func() { entry.call(t, path) })
					}
					calls.Wait()
					if len(arrived) < limit || limit == 0 && len(arrived) > 0 {
						t.Errorf("%s: %d requests sent, %d a second are allowed", when, len(arrived), limit)
					}
					for i := limit; limit > 0 && i < len(arrived); i++ {
						if span := arrived[i].Sub(arrived[i-limit]); span < time.Second {
							t.Errorf("%s: %d requests within %v, %d a second are allowed", when, limit+1, span, limit)
						}
					}
				}
				f, entry := start(clock.SinceBoot())
				call(entry, "with a grant", 3)
				f.lease(clock.SinceBoot(), 0)
				call(entry, "without a grant", 0)
				_, entry = start(clock.SinceBoot() - 6*time.Second)
				call(entry, "with an old grant", 0)
			})
		}
	}
}
