package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"geraniumturn.example/geraniumturn/internal/dispatch/dispatchpb"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/timeline"
)

// forward passes the request to a host of another data centre and relays its
// answer. Until Body was sent, the request certainly did not run there.
func (r *run) forward(ctx context.Context, host *Host) (Result, error) {
	r.d.events.Record(timeline.Event{Kind: "forward", Request: r.req.ID, Workspace: r.req.Workspace, Detail: host.Name})
	stream, err := dispatchpb.NewDRPCDispatchClient(r.d.dial(host.Peer)).Forward(ctx)
	if err != nil {
		return Result{}, &attemptError{err: fmt.Errorf("%w: %v", errFailed, err), ran: refusal.NotRun, retry: true}
	}
	defer stream.Close()
	if err := r.open(stream); err != nil {
		return Result{}, err
	}
	body := &dispatchpb.ForwardUp{Kind: &dispatchpb.ForwardUp_Body{Body: &dispatchpb.Body{Data: r.req.Body}}}
	if err := stream.Send(body); err != nil {
		return Result{}, r.cut(err, false)
	}
	return r.relay(stream)
}

// open announces the request and waits for ready when it may run only once.
func (r *run) open(stream dispatchpb.DRPCDispatch_ForwardClient) error {
	up := &dispatchpb.ForwardUp{Kind: &dispatchpb.ForwardUp_Open{Open: r.openMessage()}}
	if err := stream.Send(up); err != nil {
		return &attemptError{err: fmt.Errorf("%w: %v", errFailed, err), ran: refusal.NotRun, retry: true}
	}
	if r.req.Idempotent {
		return nil
	}
	down, err := stream.Recv()
	if err != nil {
		return &attemptError{err: fmt.Errorf("%w: %v", errFailed, err), ran: refusal.NotRun, retry: true}
	}
	if refused := down.GetRefusal(); refused != nil {
		return r.refused(refused)
	}
	if down.GetReady() == nil {
		return &attemptError{err: fmt.Errorf("%w: expected ready", errFailed), ran: refusal.NotRun, retry: true}
	}
	return nil
}

func (r *run) openMessage() *dispatchpb.Open {
	q := r.req
	return &dispatchpb.Open{
		RequestId: q.ID, Workspace: q.Workspace, Method: q.Method, Path: q.Path, Query: q.Query,
		Header: q.Header, Pool: q.Pool, Kind: string(q.Kind), Model: q.Model, Stream: q.Stream,
		Class: string(q.Class), Reach: string(q.Reach), Idempotent: q.Idempotent, Residency: q.Residency,
		Cost: q.Cost, RemainingMs: time.Until(q.Deadline).Milliseconds(), Budget: int32(r.left),
		Visited: append(slices.Clone(q.Visited), r.d.self.Name), Fingerprint: q.Fingerprint, Prefixes: q.Prefixes,
	}
}

func (r *run) relay(stream dispatchpb.DRPCDispatch_ForwardClient) (Result, error) {
	result := Result{SentAway: true}
	started := false
	for {
		down, err := stream.Recv()
		if err != nil {
			return Result{}, r.cut(err, started)
		}
		switch k := down.Kind.(type) {
		case *dispatchpb.ForwardDown_Ready:
		case *dispatchpb.ForwardDown_Head:
			result.Status, started = int(k.Head.Status), true
			err = r.sink.Start(result.Status, k.Head.Header)
		case *dispatchpb.ForwardDown_Data:
			err = r.sink.Write(k.Data)
		case *dispatchpb.ForwardDown_End:
			r.left -= int(k.End.Dispatches)
			result.PromptTokens, result.CompletionTokens = k.End.PromptTokens, k.End.CompletionTokens
			result.Target = k.End.Target
			return result, nil
		case *dispatchpb.ForwardDown_Refusal:
			return Result{}, r.refused(k.Refusal)
		}
		if err != nil {
			return Result{}, &attemptError{err: fmt.Errorf("%w: %v", errSink, err), ran: refusal.Unknown, started: started}
		}
	}
}

// cut is the end of a forward without End: the other host may have used the
// whole remaining budget, so one dispatch at least is counted.
func (r *run) cut(err error, started bool) error {
	r.left--
	if errors.Is(err, io.EOF) {
		err = errTruncated
	}
	return &attemptError{err: fmt.Errorf("%w: %v", errFailed, err), ran: refusal.Unknown, started: started, retry: !started}
}

func (r *run) refused(m *dispatchpb.Refusal) error {
	r.left -= int(m.Dispatches)
	ran := refusal.Ran(m.Ran)
	err := refusal.New(refusal.Code(m.Code), ran, "%s", m.Message).WithRetry(time.Duration(m.RetryAfterMs) * time.Millisecond)
	return &attemptError{err: err, ran: ran, retry: retriable(err.Code)}
}

// retriable reports whether another host may answer differently.
func retriable(code refusal.Code) bool {
	switch code {
	case refusal.NoTarget, refusal.Overloaded, refusal.TargetFailed, refusal.Draining, refusal.WrongHost, refusal.Loop:
		return true
	}
	return false
}

// Service answers forwarded requests.
type Service struct {
	Dispatcher *Dispatcher
	// Draining reports whether this host is shutting down.
	Draining func() bool
}

// Forward implements the drpc service.
func (s Service) Forward(stream dispatchpb.DRPCDispatch_ForwardStream) error {
	up, err := stream.Recv()
	if err != nil {
		return fmt.Errorf("dispatch: receive open: %w", err)
	}
	open := up.GetOpen()
	if open == nil {
		return sendRefusal(stream, refusal.New(refusal.InvalidRequest, refusal.NotRun, "forward begins without open"), 0)
	}
	req := requestOf(open)
	if refused := s.check(req); refused != nil {
		return sendRefusal(stream, refused, 0)
	}
	if !req.Idempotent {
		if err := stream.Send(&dispatchpb.ForwardDown{Kind: &dispatchpb.ForwardDown_Ready{Ready: &dispatchpb.Ready{}}}); err != nil {
			return fmt.Errorf("dispatch: send ready: %w", err)
		}
	}
	if up, err = stream.Recv(); err != nil || up.GetBody() == nil {
		return fmt.Errorf("dispatch: receive body: %w", err)
	}
	req.Body = up.GetBody().GetData()
	result, err := s.Dispatcher.Do(stream.Context(), req, streamSink{stream})
	if errors.Is(err, ErrBroken) {
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

// check asserts the rules for forwarded requests: no loop, and residency.
func (s Service) check(req *Request) *refusal.Error {
	self := s.Dispatcher.self
	switch {
	case slices.Contains(req.Visited, self.Name):
		return refusal.New(refusal.Loop, refusal.NotRun, "host %s has handled this request before", self.Name)
	case len(req.Residency) > 0 && !slices.Contains(req.Residency, self.DataCentre):
		return refusal.New(refusal.WrongHost, refusal.NotRun, "data centre %s is outside the workspace's residency", self.DataCentre)
	case s.Draining():
		return refusal.New(refusal.Draining, refusal.NotRun, "host %s is draining", self.Name)
	case req.Budget < 1:
		return refusal.New(refusal.TargetFailed, refusal.NotRun, "no dispatch is left")
	}
	req.Visited = append(req.Visited, self.Name)
	return nil
}

func requestOf(o *dispatchpb.Open) *Request {
	return &Request{
		ID: o.RequestId, Workspace: o.Workspace, Method: o.Method, Path: o.Path, Query: o.Query,
		Header: o.Header, Pool: o.Pool, Kind: rules.PoolKind(o.Kind), Model: o.Model, Stream: o.Stream,
		Class: rules.Class(o.Class), Reach: rules.Reach(o.Reach), Idempotent: o.Idempotent, Residency: o.Residency,
		Cost: o.Cost, Deadline: time.Now().Add(time.Duration(o.RemainingMs) * time.Millisecond),
		Budget: int(o.Budget), Visited: o.Visited, Fingerprint: o.Fingerprint, Prefixes: o.Prefixes,
	}
}

func sendRefusal(stream dispatchpb.DRPCDispatch_ForwardStream, e *refusal.Error, dispatches int) error {
	return stream.Send(&dispatchpb.ForwardDown{Kind: &dispatchpb.ForwardDown_Refusal{Refusal: &dispatchpb.Refusal{
		Code: string(e.Code), Ran: string(e.Ran), Message: e.Message,
		RetryAfterMs: e.RetryAfter.Milliseconds(), Dispatches: int32(dispatches),
	}}})
}

// streamSink passes an answer to the forwarding host.
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

// Remaining is the time until the request's deadline.
func (r *Request) Remaining(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(r.Deadline) {
		return time.Until(deadline)
	}
	return time.Until(r.Deadline)
}
