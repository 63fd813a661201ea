package gateway

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/refusal"
)

// Guards against a request that reaches a target which has said, after it was chosen and
// before the request was sent, that it wants no more.
func TestTargetIsCheckedBeforeDispatch(t *testing.T) {
	for name, c := range map[string]Classification{"leaving": {Leaving: true}, "paused": {RetryAfter: time.Minute}} {
		t.Run(name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			g := &Gateway{Metrics: metrics.NewRegistry(), Log: log}
			g.Init(1000)
			g.placer.SetTargets([]placement.Spec{{ID: "t", Service: "s"}})
			now, r := sinceBoot(), &placement.Request{Service: "s"}
			choice, _ := g.placer.Choose(now, r, nil)
			answered, chosen := &sendAttempt{attempt: g.placer.Start(now, choice.Target, r)}, &sendAttempt{attempt: g.placer.Start(now, choice.Target, r)}
			g.observe(answered, c)
			_, err := g.dispatch(context.Background(), &requestState{deadline: now + time.Minute}, chosen)
			failed, ok := errors.AsType[*attemptError](err)
			if !ok || !errors.Is(err, errNotAccepted) || !failed.unsent || failed.ran != refusal.NotRun {
				t.Errorf("error %v", err)
			}
			if got := attemptOutcome(context.Background(), err); got != placement.Cancelled {
				t.Errorf("outcome %d counts against the target", got)
			}
		})
	}
}
