package operations

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"geraniumturn.example/geraniumturn/internal/control"
	pb "geraniumturn.example/geraniumturn/internal/operations/operationspb"
	"geraniumturn.example/geraniumturn/internal/refusal"
)

// maxOpenAttempts is the maximum number of attempts of one host that run or wait for
// the log.
const maxOpenAttempts = 4096

// resendRetry is the retry delay given to callers whose resend may get another result.
const resendRetry = time.Second

// phase is the state of an attempt on the host that began it.
type phase int

const (
	// beginning: Begin was proposed and its result is not known.
	beginning phase = iota
	// running: the attempt was passed to the dispatcher.
	running
	// storing: the response is complete and is being stored. Finish is proposed
	// afterwards, because without the holders in its record nobody finds the
	// answer.
	storing
	// finished: the response is complete and its answer was stored if possible; the
	// log has not confirmed Finish.
	finished
	// notDispatched: certainly not dispatched; the log has not confirmed Abandon.
	notDispatched
)

type attempt struct {
	phase phase
	// dispatched is never cleared once it is set.
	dispatched bool
	answer     *pb.Answer
	finish     *pb.Finish
}

// AttemptTracker is the state machine of the attempts that one host began. It does no
// I/O. Invariants: an attempt is dispatched at most once, only after the log confirmed
// that the record belongs to it, and never after it was reported as not run.
type AttemptTracker struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	// violated is called for each broken invariant.
	violated func(name string)
}

// NewAttemptTracker returns a tracker without attempts.
func NewAttemptTracker(violated func(name string)) *AttemptTracker {
	return &AttemptTracker{attempts: map[string]*attempt{}, violated: violated}
}

// decision is what the host does after Begin: one of its fields is set.
type decision struct {
	// dispatch is true when the attempt may be dispatched, once.
	dispatch bool
	// record is that of another attempt, whose outcome answers the request.
	record *pb.Record
	refuse *refusal.Error
}

// Start registers an attempt before its Begin is proposed.
func (t *AttemptTracker) Start(id string) *refusal.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.attempts) >= maxOpenAttempts {
		return refusal.New(refusal.Overloaded, refusal.NotRun, "%d operations are open on this host", maxOpenAttempts).WithRetry(resendRetry)
	}
	t.attempts[id] = &attempt{phase: beginning}
	return nil
}

// HandleBegin processes the result of Begin.
func (t *AttemptTracker) HandleBegin(id string, result *pb.Result, err error) decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.attempts[id]
	switch {
	case errors.Is(err, control.ErrNoQuorum):
		delete(t.attempts, id)
		return decision{refuse: refusal.New(refusal.NoQuorum, refusal.NotRun, "the operation record cannot be written: no quorum").WithRetry(resendRetry)}
	case err != nil:
		a.phase = notDispatched
		return decision{refuse: refusal.New(refusal.NoQuorum, refusal.NotRun, "the operation record was not confirmed").WithRetry(resendRetry)}
	}
	switch result.GetOutcome() {
	case pb.Result_CREATED:
		return t.dispatch(id, a, result)
	case pb.Result_EXISTS:
		delete(t.attempts, id)
		return decision{record: result.GetRecord()}
	case pb.Result_FULL:
		delete(t.attempts, id)
		return decision{refuse: refusal.New(refusal.Overloaded, refusal.NotRun,
			"the table of operations is full (%d records, at most a quarter for one workspace, kept for %v)", MaxRecords, Retention)}
	}
	a.phase = notDispatched
	return decision{refuse: refusal.New(refusal.NoQuorum, refusal.NotRun, "the operation record was refused: %s", result.GetOutcome()).WithRetry(resendRetry)}
}

func (t *AttemptTracker) dispatch(id string, a *attempt, result *pb.Result) decision {
	if a.phase != beginning || a.dispatched || result.GetRecord().GetAttempt() != id {
		t.violated("operations.dispatch")
		return decision{refuse: refusal.New(refusal.OperationUnknown, refusal.Unknown, "attempt %s may not be dispatched", id)}
	}
	a.phase, a.dispatched = running, true
	return decision{dispatch: true}
}

// MarkNotDispatched records that a running attempt certainly was not dispatched.
func (t *AttemptTracker) MarkNotDispatched(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.attempts[id]; a != nil && a.phase == running {
		a.phase = notDispatched
	}
}

// HandleRun processes the outcome of a run: the status of the complete response, the
// answer to store, or nil if there is none, and its digest. The record of a run with
// an unknown outcome stays open, and a resend gets operation_unknown.
func (t *AttemptTracker) HandleRun(id string, status int, answer *pb.Answer, digest []byte, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.attempts[id]
	ran := refusal.Complete
	if err != nil {
		ran = refusal.From(err).Ran
	}
	switch ran {
	case refusal.Complete:
		a.phase, a.answer = storing, answer
		a.finish = &pb.Finish{Attempt: id, Status: int32(status), AnswerDigest: digest}
	case refusal.NotRun:
		a.phase = notDispatched
	default:
		delete(t.attempts, id)
	}
}

// SetHolders sets the hosts that store the answer, none if it was not stored. After
// that, the attempt can be closed.
func (t *AttemptTracker) SetHolders(id string, holders []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.attempts[id]; a != nil && a.phase == storing {
		a.phase, a.finish.Holders = finished, holders
	}
}

// ClosingCommand returns the command that closes the attempt in the log, or nil if
// the attempt is still in progress or already closed.
func (t *AttemptTracker) ClosingCommand(id string) *pb.Command {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.attempts[id]
	switch {
	case a == nil:
		return nil
	case a.phase == finished:
		return &pb.Command{Kind: &pb.Command_Finish{Finish: &pb.Finish{Attempt: id, Status: a.finish.Status,
			AnswerDigest: a.finish.AnswerDigest, Holders: a.finish.Holders}}}
	case a.phase == notDispatched:
		return &pb.Command{Kind: &pb.Command_Abandon{Abandon: &pb.Abandon{Attempt: id}}}
	}
	return nil
}

// Remove deletes the attempt after the log confirmed its closing command.
func (t *AttemptTracker) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.attempts, id)
}

// Unclosed lists the attempts that have ended and are not closed in the log.
func (t *AttemptTracker) Unclosed() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, a := range t.attempts {
		if a.phase == finished || a.phase == notDispatched {
			out = append(out, id)
		}
	}
	return out
}

// Status returns the state of an attempt that this host began, and its answer if there
// is one.
func (t *AttemptTracker) Status(id string) (pb.StatusResponse_State, *pb.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.attempts[id]
	switch {
	case a == nil:
		return pb.StatusResponse_UNKNOWN, nil
	case a.phase == notDispatched:
		return pb.StatusResponse_NOT_RUN, nil
	case (a.phase == storing || a.phase == finished) && a.answer != nil:
		return pb.StatusResponse_ANSWERED, a.answer
	}
	return pb.StatusResponse_RUNNING, nil
}

// resendRefusal returns the refusal of a resend for whose record no answer was found.
// state is what the host of the record's attempt reported. hostFailed means that a
// host that may store the answer did not reply, so that a later resend may get it.
func resendRefusal(r *pb.Record, state pb.StatusResponse_State, hostFailed bool) *refusal.Error {
	switch {
	case r.GetFinishedMs() != 0:
		return withRetryIf(hostFailed, refusal.New(refusal.AnswerUnavailable, refusal.Complete,
			"the operation completed with status %d, but its answer is not available", r.GetStatus()))
	case state == pb.StatusResponse_RUNNING:
		return withRetryIf(true, refusal.New(refusal.OperationRunning, refusal.Unknown, "the operation is running on host %s", r.GetHost()))
	case state == pb.StatusResponse_NOT_RUN:
		return withRetryIf(true, refusal.New(refusal.NoQuorum, refusal.NotRun, "the operation did not run; its record is being removed"))
	}
	return withRetryIf(hostFailed, refusal.New(refusal.OperationUnknown, refusal.Unknown,
		"host %s began the operation and its outcome is unknown: reconcile with the target (attempt %s)", r.GetHost(), r.GetAttempt()))
}

func withRetryIf(retriable bool, e *refusal.Error) *refusal.Error {
	if retriable {
		return e.WithRetry(resendRetry)
	}
	return e
}

// keyMismatch returns the refusal of a request whose key was used for another one.
func keyMismatch() *refusal.Error {
	return refusal.New(refusal.OperationMismatch, refusal.NotRun, "the Idempotency-Key was used for another request")
}

func unexpectedResult(r *pb.Result) error {
	return fmt.Errorf("operations: unexpected result %s", r.GetOutcome())
}
