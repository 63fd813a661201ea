package admission

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/targets"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stub is the chooser, observer and capacity source of one target with one slot.
type stub struct {
	running int
	remote  bool
}

func (s *stub) Choose(context.Context, *dispatch.Request, dispatch.Tried) (dispatch.Choice, error) {
	if s.remote {
		return dispatch.Choice{Host: &dispatch.Host{Name: "far"}}, nil
	}
	return dispatch.Choice{Target: &targets.Target{}}, nil
}
func (s *stub) AttemptBegins(*dispatch.Request, *targets.Target) { s.running++ }
func (s *stub) AttemptEnded(dispatch.Outcome)                    { s.running-- }
func (s *stub) FreeSlots(*dispatch.Request) int                  { return 1 - s.running }

func request(timeout time.Duration) *dispatch.Request {
	return &dispatch.Request{Workspace: "a", Pool: "p", Class: rules.Interactive, Cost: 10, Deadline: time.Now().Add(timeout)}
}

func newAdmission(s *stub) *Admission {
	return New(s, s, s, func(string) int { return 1 }, metrics.NewRegistry())
}

// Guards against dispatching more requests than the targets have slots, and
// against a waiting request that is not woken when a slot becomes free.
func TestWaitsForFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stub{}
		a := newAdmission(s)
		first := request(time.Minute)
		if _, err := a.Choose(t.Context(), first, dispatch.Tried{}); err != nil {
			t.Fatal(err)
		}
		var nextErr error
		chosen := false
		next := request(time.Minute)
		go func() { _, nextErr = a.Choose(t.Context(), next, dispatch.Tried{}); chosen = true }()
		synctest.Wait()
		if chosen {
			t.Fatal("admitted although the only slot is reserved")
		}
		a.AttemptBegins(first, nil)
		synctest.Wait()
		if chosen {
			t.Fatal("admitted although the only slot is in use")
		}
		a.AttemptEnded(dispatch.Outcome{Request: first})
		synctest.Wait()
		if !chosen || nextErr != nil {
			t.Fatalf("not woken by the free slot: %v", nextErr)
		}
	})
}

// Guards against a refusal after waiting that is not marked not_run, and against
// a request that stays queued after its deadline.
func TestRefusesAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stub{running: 1}
		a := newAdmission(s)
		req := request(time.Second)
		ctx, cancel := context.WithDeadline(t.Context(), req.Deadline)
		defer cancel()
		_, err := a.Choose(ctx, req, dispatch.Tried{})
		refused, ok := errors.AsType[*refusal.Error](err)
		if !ok || refused.Code != refusal.Deadline || refused.Ran != refusal.NotRun {
			t.Errorf("refusal %v", err)
		}
		if a.pool("p").queue.Waiting() != 0 || len(a.pool("p").waiting) != 0 {
			t.Error("the request still waits")
		}
	})
}

// Guards against queueing a forwarded request on this host: it is queued on the
// host that receives it.
func TestForwardsWithoutWaiting(t *testing.T) {
	a := newAdmission(&stub{running: 1, remote: true})
	choice, err := a.Choose(t.Context(), request(time.Second), dispatch.Tried{})
	if err != nil || choice.Host == nil {
		t.Errorf("choice %+v, error %v", choice, err)
	}
}
