package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"geraniumturn.example/geraniumturn/internal/dispatch/dispatchpb"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/timeline"
)

// forward sends the request to a host of another data centre and relays its
// response. Until Body is sent, the request certainly has not run there.
func (r *requestRun) forward(ctx context.Context, host *Host) (Result, error) {
	r.d.events.Record(timeline.Event{Kind: "forward", Request: r.req.ID, Workspace: r.req.Workspace, Detail: host.Name})
	stream, err := dispatchpb.NewDRPCDispatchClient(r.d.dial(host.PeerAddress)).Forward(ctx)
	if err != nil {
		return Result{}, &attemptError{err: fmt.Errorf("%w: %v", errTargetFailed, err), ran: refusal.NotRun, retryable: true}
	}
	defer stream.Close()
	if err := r.openForward(stream); err != nil {
		return Result{}, err
	}
	body := &dispatchpb.ForwardUp{Kind: &dispatchpb.ForwardUp_Body{Body: &dispatchpb.Body{Data: r.req.Body}}}
	if err := stream.Send(body); err != nil {
		return Result{}, r.interruptedError(err)
	}
	return r.relayResponse(stream)
}

// openForward sends Open and, for a non-idempotent request, waits for Ready.
func (r *requestRun) openForward(stream dispatchpb.DRPCDispatch_ForwardClient) error {
	up := &dispatchpb.ForwardUp{Kind: &dispatchpb.ForwardUp_Open{Open: r.openMessage()}}
	if err := stream.Send(up); err != nil {
		return &attemptError{err: fmt.Errorf("%w: %v", errTargetFailed, err), ran: refusal.NotRun, retryable: true}
	}
	if r.req.Idempotent {
		return nil
	}
	down, err := stream.Recv()
	if err != nil {
		return &attemptError{err: fmt.Errorf("%w: %v", errTargetFailed, err), ran: refusal.NotRun, retryable: true}
	}
	if refused := down.GetRefusal(); refused != nil {
		return r.refusedError(refused)
	}
	if down.GetReady() == nil {
		return &attemptError{err: fmt.Errorf("%w: expected a ready message", errTargetFailed), ran: refusal.NotRun, retryable: true}
	}
	return nil
}

func (r *requestRun) openMessage() *dispatchpb.Open {
	req := r.req
	return &dispatchpb.Open{
		RequestId: req.ID, Workspace: req.Workspace, Method: req.Method, Path: req.Path, Query: req.Query,
		Header: req.Header, Pool: req.Pool, Kind: string(req.Kind), Model: req.Model, Stream: req.Stream,
		Class: string(req.Class), Reach: string(req.Reach), Idempotent: req.Idempotent, Residency: req.Residency,
		Cost: req.Cost, RemainingMs: time.Until(req.Deadline).Milliseconds(), Budget: int32(r.forwardBudget()),
		Visited: append(slices.Clone(req.Visited), r.d.self.Name), Fingerprint: req.Fingerprint, Prefixes: req.Prefixes,
	}
}

// forwardBudget returns how many dispatches a forward may use. If more than one is
// left, one is kept back for a local attempt in case the forward fails.
func (r *requestRun) forwardBudget() int { return max(1, r.dispatchesLeft-1) }

func (r *requestRun) relayResponse(stream dispatchpb.DRPCDispatch_ForwardClient) (Result, error) {
	result := Result{ServedRemotely: true}
	r.out.beginAttempt(false) // the other host resumes the stream itself
	for {
		down, err := stream.Recv()
		if err != nil {
			return Result{}, r.interruptedError(err)
		}
		switch k := down.Kind.(type) {
		case *dispatchpb.ForwardDown_Ready:
			err = nil
		case *dispatchpb.ForwardDown_Head:
			if status := int(k.Head.GetStatus()); r.out.started || status < 200 || status > 999 {
				return Result{}, r.interruptedError(errProtocol)
			}
			result.Status = int(k.Head.Status)
			err = r.out.start(result.Status, pickFromMap(k.Head.GetHeader(), relayedHeaders))
		case *dispatchpb.ForwardDown_Data:
			if !r.out.started {
				return Result{}, r.interruptedError(errProtocol)
			}
			err = r.out.write(k.Data)
		case *dispatchpb.ForwardDown_End:
			if !r.out.started {
				return Result{}, r.interruptedError(errProtocol)
			}
			r.chargeDispatches(k.End.GetDispatches(), 1)
			result.PromptTokens, result.CompletionTokens = max(0, k.End.PromptTokens), max(0, k.End.CompletionTokens)
			result.Target = k.End.Target
			return result, nil
		case *dispatchpb.ForwardDown_Refusal:
			if r.out.started {
				return Result{}, r.interruptedError(errProtocol)
			}
			return Result{}, r.refusedError(k.Refusal)
		default:
			return Result{}, r.interruptedError(errProtocol)
		}
		if err != nil {
			return Result{}, &attemptError{err: fmt.Errorf("%w: %v", errCallerWrite, err), ran: refusal.Unknown, started: r.out.started}
		}
	}
}

// errProtocol means that the other host sent an invalid message, or one out of
// order.
var errProtocol = errors.New("dispatch: forward protocol violated")

// chargeDispatches subtracts the dispatches that another host reports from the
// budget. The number is clamped between minimum and forwardBudget, so that a wrong
// report can neither raise the budget nor hide a dispatch that must have happened.
func (r *requestRun) chargeDispatches(dispatches int32, minimum int) {
	r.dispatchesLeft -= min(max(int(dispatches), minimum), r.forwardBudget())
}

// interruptedError returns the error for a forward that ended without End. The
// other host may have used its whole budget, so all of it is charged.
func (r *requestRun) interruptedError(err error) error {
	r.dispatchesLeft -= r.forwardBudget()
	if errors.Is(err, io.EOF) {
		err = errTruncated
	}
	return &attemptError{err: fmt.Errorf("%w: %v", errTargetFailed, err), ran: refusal.Unknown, started: r.out.started, retryable: true}
}

func (r *requestRun) refusedError(m *dispatchpb.Refusal) error {
	ran, minimum := refusal.Ran(m.Ran), 0
	if ran != refusal.NotRun {
		minimum = 1 // a request that may have run was dispatched at least once
	}
	if minimum == 1 && ran != refusal.Complete {
		ran = refusal.Unknown
	}
	r.chargeDispatches(m.GetDispatches(), minimum)
	retry := min(max(m.RetryAfterMs, 0), maxRemainingTime.Milliseconds())
	err := refusal.New(refusal.Code(m.Code), ran, "%s", m.Message).WithRetry(time.Duration(retry) * time.Millisecond)
	return &attemptError{err: err, ran: ran, retryable: retriable(err.Code)}
}

// retriable reports whether another host may accept a request that was refused
// with the code.
func retriable(code refusal.Code) bool {
	switch code {
	case refusal.NoTarget, refusal.Overloaded, refusal.TargetFailed, refusal.Draining, refusal.WrongHost, refusal.Loop:
		return true
	}
	return false
}

// Service handles requests that other hosts forward to this one.
type Service struct {
	Dispatcher *Dispatcher
	// Draining reports whether this host is shutting down.
	Draining func() bool

	inFlight atomic.Int64
}

// InFlight returns the number of forwarded requests in progress on this host.
func (s *Service) InFlight() int64 { return s.inFlight.Load() }

// Forward implements dispatchpb.DRPCDispatchServer.
func (s *Service) Forward(stream dispatchpb.DRPCDispatch_ForwardStream) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	up, err := stream.Recv()
	if err != nil {
		return fmt.Errorf("dispatch: receive open: %w", err)
	}
	open := up.GetOpen()
	if open == nil {
		return sendRefusal(stream, refusal.New(refusal.InvalidRequest, refusal.NotRun, "forward does not begin with an open message"), 0)
	}
	req, refused := parseOpen(open)
	if refused == nil {
		refused = s.validate(req)
	}
	if refused != nil {
		return sendRefusal(stream, refused, 0)
	}
	if !req.Idempotent {
		if err := stream.Send(&dispatchpb.ForwardDown{Kind: &dispatchpb.ForwardDown_Ready{Ready: &dispatchpb.Ready{}}}); err != nil {
			return fmt.Errorf("dispatch: send ready: %w", err)
		}
	}
	if up, err = stream.Recv(); err != nil {
		return fmt.Errorf("dispatch: receive body: %w", err)
	}
	if up.GetBody() == nil {
		return sendRefusal(stream, refusal.New(refusal.InvalidRequest, refusal.NotRun, "forward has no body message"), 0)
	}
	req.Body = up.GetBody().GetData()
	result, err := s.Dispatcher.Do(stream.Context(), req, streamSink{stream})
	if errors.Is(err, ErrResponseTruncated) {
		return err
	}
	if err != nil {
		return sendRefusal(stream, refusal.From(err), result.Dispatches)
	}
	return stream.Send(&dispatchpb.ForwardDown{Kind: &dispatchpb.ForwardDown_End{End: &dispatchpb.End{
		PromptTokens: result.PromptTokens, CompletionTokens: result.CompletionTokens,
		Target: result.Target, Dispatches: int32(result.Dispatches),
	}}})
}

// validate refuses a forwarded request that has passed this host or more than one
// other host, that is outside its residency or that has no dispatch left. While
// this host drains, validate refuses all.
func (s *Service) validate(req *Request) *refusal.Error {
	self := s.Dispatcher.self
	switch {
	case slices.Contains(req.Visited, self.Name) || len(req.Visited) != 1:
		s.Dispatcher.count("invariant.dispatch.loop")
		return refusal.New(refusal.Loop, refusal.NotRun, "host %s has handled this request before", self.Name)
	case !rules.Allows(req.Residency, self.DataCentre):
		s.Dispatcher.count("invariant.dispatch.residency")
		return refusal.New(refusal.WrongHost, refusal.NotRun, "data centre %s is outside the workspace's residency", self.DataCentre)
	case s.Draining():
		return refusal.New(refusal.Draining, refusal.NotRun, "host %s is draining", self.Name)
	case req.Budget < 1:
		return refusal.New(refusal.TargetFailed, refusal.NotRun, "the dispatch budget is used up")
	}
	req.Visited = append(req.Visited, self.Name)
	return nil
}

// maxRemainingTime limits the remaining time that another host may send.
const maxRemainingTime = time.Hour

// parseOpen validates and converts an Open message of another host. Headers are
// filtered through the allow-list again. The budget is limited to
// DefaultDispatchBudget, or to 1 for a non-idempotent request.
func parseOpen(o *dispatchpb.Open) (*Request, *refusal.Error) {
	budget := DefaultDispatchBudget
	if !o.GetIdempotent() {
		budget = 1
	}
	req := &Request{
		ID: o.GetRequestId(), Workspace: o.GetWorkspace(), Method: o.GetMethod(), Path: o.GetPath(), Query: o.GetQuery(),
		Header: pickFromMap(o.GetHeader(), requestHeaders), Pool: o.GetPool(), Kind: rules.PoolKind(o.GetKind()), Model: o.GetModel(), Stream: o.GetStream(),
		Class: rules.Class(o.GetClass()), Reach: rules.Reach(o.GetReach()), Idempotent: o.GetIdempotent(), Residency: o.GetResidency(),
		Cost: max(0, o.GetCost()), Budget: min(int(o.GetBudget()), budget), Visited: o.GetVisited(),
		Fingerprint: o.GetFingerprint(), Prefixes: o.GetPrefixes(),
	}
	remaining := min(o.GetRemainingMs(), maxRemainingTime.Milliseconds())
	req.Deadline = time.Now().Add(time.Duration(max(remaining, 0)) * time.Millisecond)
	switch {
	case remaining <= 0:
		return nil, refusal.New(refusal.Deadline, refusal.NotRun, "the deadline passed")
	case req.ID == "" || req.Method == "" || req.Pool == "" || !strings.HasPrefix(req.Path, "/"):
		return nil, refusal.New(refusal.InvalidRequest, refusal.NotRun, "forward lacks request id, method, pool or path")
	}
	return req, nil
}

// relayedHeaders lists the headers that are copied from the other host's response
// to the caller.
var relayedHeaders = append([]string{"Content-Length"}, responseHeaders...)

func pickFromMap(h map[string]string, names []string) map[string]string {
	out := map[string]string{}
	for _, name := range names {
		if v := h[name]; v != "" {
			out[name] = v
		}
	}
	return out
}

func sendRefusal(stream dispatchpb.DRPCDispatch_ForwardStream, e *refusal.Error, dispatches int) error {
	return stream.Send(&dispatchpb.ForwardDown{Kind: &dispatchpb.ForwardDown_Refusal{Refusal: &dispatchpb.Refusal{
		Code: string(e.Code), Ran: string(e.Ran), Message: e.Message,
		RetryAfterMs: e.RetryAfter.Milliseconds(), Dispatches: int32(dispatches),
	}}})
}

// streamSink sends a response to the forwarding host.
type streamSink struct {
	stream dispatchpb.DRPCDispatch_ForwardStream
}

func (s streamSink) Start(status int, header map[string]string) error {
	return s.stream.Send(&dispatchpb.ForwardDown{Kind: &dispatchpb.ForwardDown_Head{
		Head: &dispatchpb.Head{Status: int32(status), Header: header},
	}})
}

func (s streamSink) Write(p []byte) error {
	return s.stream.Send(&dispatchpb.ForwardDown{Kind: &dispatchpb.ForwardDown_Data{Data: p}})
}
