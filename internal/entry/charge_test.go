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

// fakeQuota counts the settled tokens, and refuses the first refusalsLeft
// reservations.
type fakeQuota struct {
	mu           sync.Mutex
	refusalsLeft int
	settled      int64
}

func (q *fakeQuota) Reserve(context.Context, *rules.Workspace, int64) (Reservation, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.refusalsLeft > 0 {
		q.refusalsLeft--
		return nil, refusal.New(refusal.RateLimited, refusal.NotRun, "over").WithRetry(time.Second)
	}
	return q, nil
}

func (q *fakeQuota) Settle(used int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settled += used
}

// Guards against a workspace that exceeds its rate with prompts that have more tokens
// than estimated: the tokens that a request used beyond its reservation are charged,
// even if the quota refuses at first.
func TestOverrunIsCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &fakeQuota{refusalsLeft: 3}
		s := &Server{Quota: q, Metrics: metrics.NewRegistry()}
		s.chargeOverrun(&rules.Workspace{Name: "w", Burst: 100}, 250)
		if q.settled != 250 {
			t.Errorf("%d tokens were charged", q.settled)
		}
	})
}

func TestChargedTokens(t *testing.T) {
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
		{"response truncated", dispatch.Result{}, dispatch.ErrResponseTruncated, 100},
	}
	for _, c := range cases {
		if got := chargedTokens(engine, c.result, c.err); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}
