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

// DefaultDispatchBudget is the number of dispatches that an idempotent request may
// use over all hosts. A non-idempotent request may use one.
const DefaultDispatchBudget = 3

// Dispatcher runs a request, with retries, until an attempt gives a complete
// response, the dispatch budget is used up or the deadline passes.
type Dispatcher struct {
	chooser     Chooser
	observer    Observer
	events      *timeline.Log
	client      *client
	dial        func(address string) drpc.Conn
	self        Host
	count       func(name string)
	retryBudget *retryBudget
}

// New returns a dispatcher that runs on the host self.
func New(self Host, chooser Chooser, observer Observer, events *timeline.Log, dial func(string) drpc.Conn) *Dispatcher {
	return &Dispatcher{chooser: chooser, observer: observer, events: events, client: newClient(), dial: dial, self: self,
		count: func(string) {}, retryBudget: newRetryBudget()}
}

// Do runs the request and copies the response to the sink. An error is a
// *refusal.Error, or ErrResponseTruncated when response bytes were written to the
// sink.
func (d *Dispatcher) Do(ctx context.Context, req *Request, sink Sink) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	run := &requestRun{d: d, req: req, out: &responseSink{sink: sink, part: d.client.buffers.Buffer()}, ran: refusal.NotRun, dispatchesLeft: req.Budget,
		tried: Tried{Targets: map[string]bool{}, DataCentres: map[string]bool{}}}
	defer run.out.part.Release()
	return run.do(ctx)
}

// ErrResponseTruncated means that the response ended early after bytes of it were
// passed on. The caller's connection must be closed abnormally, so that the
// response does not look complete.
var ErrResponseTruncated = errors.New("dispatch: response ended early")

// requestRun is the state of one request over all its attempts.
type requestRun struct {
	d     *Dispatcher
	req   *Request
	out   *responseSink
	tried Tried
	// software is the version of the software that began the response.
	software string
	// ran combines what the attempts show about execution. It never goes back to
	// not_run.
	ran            refusal.Ran
	dispatchesLeft int
	// attempts counts the choices that were tried, for the retry budget.
	attempts int
	lastErr  error
}

func (r *requestRun) do(ctx context.Context) (Result, error) {
	for r.dispatchesLeft > 0 {
		choice, err := r.choose(ctx)
		if err != nil {
			return r.finalError(ctx, err)
		}
		result, err := r.try(ctx, choice)
		if err == nil {
			result.Dispatches = r.req.Budget - r.dispatchesLeft
			return result, nil
		}
		if stop := r.recordFailure(err); stop {
			break
		}
	}
	return r.finalError(ctx, r.lastErr)
}

func (r *requestRun) choose(ctx context.Context) (Choice, error) {
	choice, err := r.d.chooser.Choose(ctx, r.req, r.tried)
	switch {
	case err != nil && r.lastErr != nil && ctx.Err() == nil:
		return Choice{}, r.lastErr // more informative than the chooser's error that no target is left
	case err != nil:
		return Choice{}, err
	}
	if refused := r.checkInvariants(choice); refused != nil {
		return Choice{}, refused
	}
	if r.out.started && choice.Host != nil {
		return Choice{}, r.lastErr // a forward would start the stream from its beginning
	}
	return choice, nil
}

// try runs one attempt if it is the first one or the retry budget of its data
// centre allows it.
func (r *requestRun) try(ctx context.Context, choice Choice) (Result, error) {
	dataCentre := r.d.self.DataCentre
	if choice.Host != nil {
		dataCentre = choice.Host.DataCentre
	}
	r.attempts++
	if r.attempts == 1 {
		r.d.retryBudget.recordFirstAttempt(dataCentre, time.Now())
	} else if !r.d.retryBudget.takeRetry(dataCentre, time.Now()) {
		r.d.count("dispatch.retry_budget_spent")
		return Result{}, &attemptError{err: r.lastErr, ran: r.ran, started: r.out.started}
	}
	return r.attempt(ctx, choice)
}

func (r *requestRun) attempt(ctx context.Context, choice Choice) (Result, error) {
	if choice.Host != nil {
		r.tried.DataCentres[choice.Host.DataCentre] = true
		return r.forward(ctx, choice.Host)
	}
	r.tried.Targets[choice.Target.Name] = true
	if r.out.started && !choice.Target.HasFeature(featureResume) {
		return Result{}, &attemptError{err: fmt.Errorf("%w: target %s cannot resume", errTargetFailed, choice.Target.Name),
			ran: refusal.Unknown, started: true, retryable: true}
	}
	if r.out.started && choice.Target.Software != r.software {
		return Result{}, &attemptError{err: fmt.Errorf("%w: target %s has software %q, the stream began on %q", errTargetFailed, choice.Target.Name, choice.Target.Software, r.software),
			ran: refusal.Unknown, started: true, retryable: true}
	}
	r.dispatchesLeft--
	r.software = choice.Target.Software
	return r.runLocal(ctx, choice.Target)
}

// runLocal runs one attempt on a target of this data centre.
func (r *requestRun) runLocal(ctx context.Context, target *targets.Target) (Result, error) {
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

// recordFailure records a failed attempt. stop is true if there must be no other
// attempt.
func (r *requestRun) recordFailure(err error) (stop bool) {
	r.lastErr = err
	failed, ok := errors.AsType[*attemptError](err)
	if !ok {
		r.ran = refusal.Unknown
		return true
	}
	if failed.ran != refusal.NotRun {
		r.ran = failed.ran
	}
	if failed.started && !r.canResume() || !failed.retryable {
		return true
	}
	return failed.ran != refusal.NotRun && !r.req.Idempotent
}

// finalError returns the error for a request whose attempts have all failed.
func (r *requestRun) finalError(ctx context.Context, err error) (Result, error) {
	result := Result{Dispatches: r.req.Budget - r.dispatchesLeft}
	if r.out.started {
		return result, ErrResponseTruncated
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result, refusal.New(refusal.Deadline, r.ran, "the deadline passed")
	}
	if refused, ok := errors.AsType[*refusal.Error](err); ok {
		refused.Ran = combineRan(r.ran, refused.Ran)
		return result, refused
	}
	if ctx.Err() != nil {
		return result, refusal.New(refusal.Deadline, r.ran, "the request was cancelled")
	}
	return result, refusal.New(refusal.TargetFailed, r.ran, "%v", err).WithRetry(time.Second)
}

// combineRan combines two statements about whether a request ran: it returns b if a
// is not_run, otherwise a.
func combineRan(a, b refusal.Ran) refusal.Ran {
	if a == refusal.NotRun {
		return b
	}
	return a
}
