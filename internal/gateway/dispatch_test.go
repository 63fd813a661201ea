package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/document"
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

// Guards against a sound target, or host, that counts as unreachable because the retry
// budget was exhausted while the connection to it was opened.
func TestExhaustedRetryBudgetIsNoFailureOfTarget(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(s.Close)
	for _, forwarded := range []bool{false, true} {
		log := logrus.New()
		log.SetOutput(io.Discard)
		g := &Gateway{Metrics: metrics.NewRegistry(), Log: log, Region: "here", TargetProtocol: noProtocol{}, Views: NewViewStore(nil)}
		g.Init(1000)
		next := &sendAttempt{target: "t", address: strings.TrimPrefix(s.URL, "http://"), forwarded: forwarded, region: "here", beforeWrite: func() error { return errNoRetry }}
		x := &requestState{deadline: sinceBoot() + time.Minute, route: &document.Route{Kind: document.Idempotent}, request: httptest.NewRequest("GET", "/", nil), header: http.Header{}}
		_, err := g.dispatch(context.Background(), x, next)
		if !errors.Is(err, errNoRetry) || x.sends != 0 {
			t.Errorf("forwarded %v: error %v after %d sends", forwarded, err, x.sends)
		}
		if got := attemptOutcome(context.Background(), err); got != placement.Cancelled {
			t.Errorf("forwarded %v: outcome %d counts against the target", forwarded, got)
		}
		if x.unreachablePeers["t"] {
			t.Errorf("forwarded %v: the host counts as unreachable", forwarded)
		}
	}
}

type noProtocol struct{ TargetProtocol }

func (noProtocol) SetDispatch(http.Header, Dispatch) {}
