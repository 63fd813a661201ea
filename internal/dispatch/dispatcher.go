package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"storj.io/drpc"

	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/targets"
	"geraniumturn.example/geraniumturn/internal/timeline"
)

// DefaultDispatchBudget is how many dispatches an idempotent request may use over all
// hosts. A non-idempotent request may use one.
const DefaultDispatchBudget = 3

// Dispatcher runs requests until one attempt gives a whole answer, or the
// budget or the deadline is spent.
type Dispatcher struct {
	chooser  Chooser
	observer Observer
	events   *timeline.Log
	client   *client
	dial     func(address string) drpc.Conn
	self     Host
	count    func(name string)
	retries  *retryBudget
}

// New returns a dispatcher for the host.
func New(self Host, chooser Chooser, observer Observer, events *timeline.Log, dial func(string) drpc.Conn) *Dispatcher {
	return &Dispatcher{chooser: chooser, observer: observer, events: events, client: newClient(), dial: dial, self: self,
		count: func(string) {}, retries: newRetryBudget()}
}

// Do runs the request and copies the answer to the sink. An error is a
// *refusal.Error, or ErrResponseTruncated when answer bytes have reached the sink.
func (d *Dispatcher) Do(ctx context.Context, req *Request, sink Sink) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	run := &run{d: d, req: req, out: &answerSink{sink: sink}, ran: refusal.NotRun, left: req.Budget,
		tried: Tried{Targets: map[string]bool{}, DataCentres: map[string]bool{}}}
	return run.do(ctx)
}

// ErrResponseTruncated means that the answer broke off after bytes of it were passed on.
// The caller's connection must be broken too, so that it does not look whole.
var ErrResponseTruncated = errors.New("dispatch: answer broke off")

// run is the state of one request over its attempts.
type run struct {
	d     *Dispatcher
	req   *Request
	out   *answerSink
	tried Tried
	// ran is what all attempts together prove; it never goes back from unknown.
	ran  refusal.Ran
	left int
	// attempts counts choices that were tried, for the retry budget.
	attempts int
	last     error
}

func (r *run) do(ctx context.Context) (Result, error) {
	for r.left > 0 {
		choice, err := r.choose(ctx)
		if err != nil {
			return r.refuse(ctx, err)
		}
		result, err := r.try(ctx, choice)
		if err == nil {
			result.Dispatches = r.req.Budget - r.left
			return result, nil
		}
		if stop := r.note(err); stop {
			break
		}
	}
	return r.refuse(ctx, r.last)
}

func (r *run) choose(ctx context.Context) (Choice, error) {
	choice, err := r.d.chooser.Choose(ctx, r.req, r.tried)
	switch {
	case err != nil && r.last != nil && ctx.Err() == nil:
		return Choice{}, r.last // it says more than that nothing else is left
	case err != nil:
		return Choice{}, err
	}
	if refused := r.assert(choice); refused != nil {
		return Choice{}, refused
	}
	if r.out.started && choice.Host != nil {
		return Choice{}, r.last // a forward would begin the stream again
	}
	return choice, nil
}

// try runs one attempt if the retry budget of its data centre allows it.
func (r *run) try(ctx context.Context, choice Choice) (Result, error) {
	dataCentre := r.d.self.DataCentre
	if choice.Host != nil {
		dataCentre = choice.Host.DataCentre
	}
	r.attempts++
	if r.attempts == 1 {
		r.d.retries.first(dataCentre, time.Now())
	} else if !r.d.retries.take(dataCentre, time.Now()) {
		r.d.count("dispatch.retry_budget_spent")
		return Result{}, &attemptError{err: r.last, ran: r.ran, started: r.out.started}
	}
	return r.attempt(ctx, choice)
}

func (r *run) attempt(ctx context.Context, choice Choice) (Result, error) {
	if choice.Host != nil {
		r.tried.DataCentres[choice.Host.DataCentre] = true
		return r.forward(ctx, choice.Host)
	}
	r.tried.Targets[choice.Target.Name] = true
	if r.out.started && !choice.Target.HasFeature(featureResume) {
		return Result{}, &attemptError{err: fmt.Errorf("%w: target %s cannot resume", errFailed, choice.Target.Name),
			ran: refusal.Unknown, started: true, retry: true}
	}
	r.left--
	return r.local(ctx, choice.Target)
}

// local runs one attempt on a target of this data centre.
func (r *run) local(ctx context.Context, target *targets.Target) (Result, error) {
	d, req := r.d, r.req
	d.events.Record(timeline.Event{Kind: "dispatch", Request: req.ID, Workspace: req.Workspace, Target: target.Name})
	d.observer.AttemptBegins(req, target)
	result, outcome, err := d.client.attempt(ctx, req, target, r.out)
	d.observer.AttemptEnded(outcome)
	if err != nil {
		d.events.Record(timeline.Event{Kind: "attempt_failed", Request: req.ID, Workspace: req.Workspace, Target: target.Name, Detail: err.Error()})
	}
	return result, err
}

// note records a failed attempt and reports whether no other may follow.
func (r *run) note(err error) (stop bool) {
	r.last = err
	failed, ok := errors.AsType[*attemptError](err)
	if !ok {
		r.ran = refusal.Unknown
		return true
	}
	if failed.ran != refusal.NotRun {
		r.ran = failed.ran
	}
	if failed.started && !r.resumable() || !failed.retry {
		return true
	}
	return failed.ran != refusal.NotRun && !r.req.Idempotent
}

// refuse turns the end of the run into what the caller is told.
func (r *run) refuse(ctx context.Context, err error) (Result, error) {
	used := Result{Dispatches: r.req.Budget - r.left}
	if r.out.started {
		return used, ErrResponseTruncated
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return used, refusal.New(refusal.Deadline, r.ran, "the deadline passed")
	}
	if refused, ok := errors.AsType[*refusal.Error](err); ok {
		refused.Ran = worse(r.ran, refused.Ran)
		return used, refused
	}
	if ctx.Err() != nil {
		return used, refusal.New(refusal.Deadline, r.ran, "the request was cancelled")
	}
	return used, refusal.New(refusal.TargetFailed, r.ran, "%v", err).WithRetry(time.Second)
}

// worse returns the weaker of two statements about execution.
func worse(a, b refusal.Ran) refusal.Ran {
	if a == refusal.NotRun {
		return b
	}
	return a
}
