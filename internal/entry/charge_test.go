package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rules"
)

// ledger counts what was settled, and refuses the first tries.
type ledger struct {
	mu      sync.Mutex
	refuse  int
	settled int64
}

func (l *ledger) Reserve(context.Context, *rules.Workspace, int64) (Reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuse > 0 {
		l.refuse--
		return nil, refusal.New(refusal.RateLimited, refusal.NotRun, "over").WithRetry(time.Second)
	}
	return l, nil
}

func (l *ledger) Settle(used int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settled += used
}

// Guards G7 against prompts with more tokens than estimated: what a request
// used beyond its reservation must be charged, also when tokens are short.
func TestOverrunIsCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &ledger{refuse: 3}
		s := &Server{Quota: l, Metrics: metrics.NewRegistry()}
		s.chargeOverrun(&rules.Workspace{Name: "w", Burst: 100}, 250)
		if l.settled != 250 {
			t.Errorf("%d tokens were charged", l.settled)
		}
	})
}

func TestCharge(t *testing.T) {
	engine := &dispatch.Request{Kind: rules.Engine, Cost: 100}
	cases := []struct {
		name   string
		result dispatch.Result
		err    error
		want   int64
	}{
		{"usage reported", dispatch.Result{PromptTokens: 30, CompletionTokens: 10}, nil, 40},
		{"usage above the reservation", dispatch.Result{PromptTokens: 130, CompletionTokens: 10}, nil, 140},
		{"no usage", dispatch.Result{}, nil, 100},
		{"not run", dispatch.Result{}, refusal.New(refusal.NoTarget, refusal.NotRun, ""), 0},
		{"unknown", dispatch.Result{}, refusal.New(refusal.TargetFailed, refusal.Unknown, ""), 100},
		{"broken off", dispatch.Result{}, dispatch.ErrResponseTruncated, 100},
	}
	for _, c := range cases {
		if got := charge(engine, c.result, c.err); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}
