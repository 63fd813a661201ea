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

// maxOpen bounds the attempts of one host that run or wait for the log.
const maxOpen = 4096

// resendRetry is when a resend may get another answer.
const resendRetry = time.Second

// phase is how far an attempt is on the host that began it.
type phase int

const (
	// beginning: Begin was proposed, its result is not known.
	beginning phase = iota
	// running: the attempt was handed to dispatch.
	running
	// storing: a whole answer is here and is being stored. Finish waits for it,
	// because a Finish without the holders would lose the answer.
	storing
	// answered: the log has not confirmed Finish.
	answered
	// unsent: certainly not dispatched, the log has not confirmed Abandon.
	unsent
)

type attempt struct {
	phase phase
	// dispatched is set once and never cleared.
	dispatched bool
	answer     *pb.Answer
	finish     *pb.Finish
}

// Core decides what happens to the attempts of one host. It does no I/O.
// Invariants: an attempt is dispatched at most once, only after the log said
// that it holds the record, and never after it was declared not run.
type Core struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	// violated is told about each broken invariant.
	violated func(name string)
}

// NewCore returns a core without attempts.
func NewCore(violated func(name string)) *Core {
	return &Core{attempts: map[string]*attempt{}, violated: violated}
}

// step is what the host does next.
type step struct {
	// dispatch is true when the attempt may be dispatched now, once.
	dispatch bool
	// record belongs to another attempt, which decides the answer.
	record *pb.Record
	refuse *refusal.Error
}

// Start opens an attempt before its Begin is proposed.
func (c *Core) Start(id string) *refusal.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.attempts) >= maxOpen {
		return refusal.New(refusal.Overloaded, refusal.NotRun, "%d operations are open on this host", maxOpen).WithRetry(resendRetry)
	}
	c.attempts[id] = &attempt{phase: beginning}
	return nil
}

// BeginAnswered takes the result of Begin.
func (c *Core) BeginAnswered(id string, result *pb.Result, err error) step {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[id]
	switch {
	case errors.Is(err, control.ErrNoQuorum):
		delete(c.attempts, id)
		return step{refuse: refusal.New(refusal.NoQuorum, refusal.NotRun, "the operation record cannot be written: no quorum").WithRetry(resendRetry)}
	case err != nil:
		a.phase = unsent
		return step{refuse: refusal.New(refusal.NoQuorum, refusal.NotRun, "the operation record was not confirmed").WithRetry(resendRetry)}
	}
	switch result.GetOutcome() {
	case pb.Result_CREATED:
		return c.dispatch(id, a, result)
	case pb.Result_EXISTS:
		delete(c.attempts, id)
		return step{record: result.GetRecord()}
	case pb.Result_FULL:
		delete(c.attempts, id)
		return step{refuse: refusal.New(refusal.Overloaded, refusal.NotRun,
			"the table of operations is full (%d records, at most a quarter for one workspace, kept for %v)", MaxRecords, Retention)}
	}
	a.phase = unsent
	return step{refuse: refusal.New(refusal.NoQuorum, refusal.NotRun, "the operation record was refused: %s", result.GetOutcome()).WithRetry(resendRetry)}
}

func (c *Core) dispatch(id string, a *attempt, result *pb.Result) step {
	if a.phase != beginning || a.dispatched || result.GetRecord().GetAttempt() != id {
		c.violated("operations.dispatch")
		return step{refuse: refusal.New(refusal.OperationUnknown, refusal.Unknown, "attempt %s may not be dispatched", id)}
	}
	a.phase, a.dispatched = running, true
	return step{dispatch: true}
}

// Withdraw declares that a running attempt certainly was not dispatched.
func (c *Core) Withdraw(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.attempts[id]; a != nil && a.phase == running {
		a.phase = unsent
	}
}

// RunEnded takes the end of the run. answer is nil when none was kept; status
// is that of the whole answer. A run whose outcome is unknown leaves the record
// as it is, and a resend gets operation_unknown.
func (c *Core) RunEnded(id string, status int, answer *pb.Answer, digest []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[id]
	ran := refusal.Complete
	if err != nil {
		ran = refusal.From(err).Ran
	}
	switch ran {
	case refusal.Complete:
		a.phase, a.answer = storing, answer
		a.finish = &pb.Finish{Attempt: id, Status: int32(status), AnswerDigest: digest}
	case refusal.NotRun:
		a.phase = unsent
	default:
		delete(c.attempts, id)
	}
}

// Stored sets which hosts hold the answer, none when it was not kept.
func (c *Core) Stored(id string, holders []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.attempts[id]; a != nil && a.phase == storing {
		a.phase, a.finish.Holders = answered, holders
	}
}

// Settlement returns the command that ends the attempt in the log, or nil when
// there is nothing to propose.
func (c *Core) Settlement(id string) *pb.Command {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[id]
	switch {
	case a == nil:
		return nil
	case a.phase == answered:
		return &pb.Command{Kind: &pb.Command_Finish{Finish: &pb.Finish{Attempt: id, Status: a.finish.Status,
			AnswerDigest: a.finish.AnswerDigest, Holders: a.finish.Holders}}}
	case a.phase == unsent:
		return &pb.Command{Kind: &pb.Command_Abandon{Abandon: &pb.Abandon{Attempt: id}}}
	}
	return nil
}

// Settled forgets the attempt after the log confirmed its settlement.
func (c *Core) Settled(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.attempts, id)
}

// Pending lists the attempts that wait for a settlement.
func (c *Core) Pending() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id, a := range c.attempts {
		if a.phase == answered || a.phase == unsent {
			out = append(out, id)
		}
	}
	return out
}

// Status tells what is known about an attempt of this host.
func (c *Core) Status(id string) (pb.StatusResponse_State, *pb.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[id]
	switch {
	case a == nil:
		return pb.StatusResponse_UNKNOWN, nil
	case a.phase == unsent:
		return pb.StatusResponse_NOT_RUN, nil
	case (a.phase == storing || a.phase == answered) && a.answer != nil:
		return pb.StatusResponse_ANSWERED, a.answer
	}
	return pb.StatusResponse_RUNNING, nil
}

// conclude refuses a resend whose record gave no answer, by what the host of
// the record's attempt said. silent means that a host that may hold the answer
// did not reply, so that a later resend may get it.
func conclude(r *pb.Record, state pb.StatusResponse_State, silent bool) *refusal.Error {
	switch {
	case r.GetFinishedMs() != 0:
		return retryIf(silent, refusal.New(refusal.AnswerUnavailable, refusal.Complete,
			"the operation completed with status %d, but its answer is not available", r.GetStatus()))
	case state == pb.StatusResponse_RUNNING:
		return retryIf(true, refusal.New(refusal.OperationRunning, refusal.Unknown, "the operation is running on host %s", r.GetHost()))
	case state == pb.StatusResponse_NOT_RUN:
		return retryIf(true, refusal.New(refusal.NoQuorum, refusal.NotRun, "the operation record is being released"))
	}
	return retryIf(silent, refusal.New(refusal.OperationUnknown, refusal.Unknown,
		"host %s began the operation and its outcome is unknown: reconcile with the target (attempt %s)", r.GetHost(), r.GetAttempt()))
}

func retryIf(again bool, e *refusal.Error) *refusal.Error {
	if again {
		return e.WithRetry(resendRetry)
	}
	return e
}

// mismatch refuses a request under a key that stands for another one.
func mismatch() *refusal.Error {
	return refusal.New(refusal.OperationMismatch, refusal.NotRun, "the Idempotency-Key was used for another request")
}

func errUnexpected(r *pb.Result) error {
	return fmt.Errorf("operations: unexpected result %s", r.GetOutcome())
}
