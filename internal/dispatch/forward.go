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

// forward passes the request to a host of another data centre and relays its
// answer. Until Body was sent, the request certainly did not run there.
func (r *run) forward(ctx context.Context, host *Host) (Result, error) {
	r.d.events.Record(timeline.Event{Kind: "forward", Request: r.req.ID, Workspace: r.req.Workspace, Detail: host.Name})
	stream, err := dispatchpb.NewDRPCDispatchClient(r.d.dial(host.PeerAddress)).Forward(ctx)
	if err != nil {
		return Result{}, &attemptError{err: fmt.Errorf("%w: %v", errFailed, err), ran: refusal.NotRun, retry: true}
	}
	defer stream.Close()
	if err := r.open(stream); err != nil {
		return Result{}, err
	}
	body := &dispatchpb.ForwardUp{Kind: &dispatchpb.ForwardUp_Body{Body: &dispatchpb.Body{Data: r.req.Body}}}
	if err := stream.Send(body); err != nil {
		return Result{}, r.cut(err)
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
		Cost: q.Cost, RemainingMs: time.Until(q.Deadline).Milliseconds(), Budget: int32(r.share()),
		Visited: append(slices.Clone(q.Visited), r.d.self.Name), Fingerprint: q.Fingerprint, Prefixes: q.Prefixes,
	}
}

// share is the part of the dispatch budget that a forward may use. One dispatch
// stays here when there is more than one, for the case that the forward breaks.
func (r *run) share() int { return max(1, r.left-1) }

func (r *run) relay(stream dispatchpb.DRPCDispatch_ForwardClient) (Result, error) {
	result := Result{ServedRemotely: true}
	for {
		down, err := stream.Recv()
		if err != nil {
			return Result{}, r.cut(err)
		}
		switch k := down.Kind.(type) {
		case *dispatchpb.ForwardDown_Ready:
			err = nil
		case *dispatchpb.ForwardDown_Head:
			if status := int(k.Head.GetStatus()); r.out.started || status < 200 || status > 999 {
				return Result{}, r.cut(errProtocol)
			}
			result.Status = int(k.Head.Status)
			err = r.out.start(result.Status, pickMap(k.Head.GetHeader(), relayedHeaders))
		case *dispatchpb.ForwardDown_Data:
			if !r.out.started {
				return Result{}, r.cut(errProtocol)
			}
			err = r.out.write(k.Data)
		case *dispatchpb.ForwardDown_End:
			if !r.out.started {
				return Result{}, r.cut(errProtocol)
			}
			r.spend(k.End.GetDispatches(), 1)
			result.PromptTokens, result.CompletionTokens = max(0, k.End.PromptTokens), max(0, k.End.CompletionTokens)
			result.Target = k.End.Target
			return result, nil
		case *dispatchpb.ForwardDown_Refusal:
			if r.out.started {
				return Result{}, r.cut(errProtocol)
			}
			return Result{}, r.refused(k.Refusal)
		default:
			return Result{}, r.cut(errProtocol)
		}
		if err != nil {
			return Result{}, &attemptError{err: fmt.Errorf("%w: %v", errSink, err), ran: refusal.Unknown, started: r.out.started}
		}
	}
}

// errProtocol means that the other host sent messages in an impossible order.
var errProtocol = errors.New("dispatch: forward protocol violated")

// spend counts the dispatches of another host. What it says is bounded, so that
// a wrong number can neither raise the budget nor go below what must have run.
func (r *run) spend(dispatches int32, least int) {
	r.left -= min(max(int(dispatches), least), r.share())
}

// cut is the end of a forward without End: the other host may have used all
// that it was given, so all of it counts as spent.
func (r *run) cut(err error) error {
	r.left -= r.share()
	if errors.Is(err, io.EOF) {
		err = errTruncated
	}
	return &attemptError{err: fmt.Errorf("%w: %v", errFailed, err), ran: refusal.Unknown, started: r.out.started, retry: true}
}

func (r *run) refused(m *dispatchpb.Refusal) error {
	ran, least := refusal.Ran(m.Ran), 0
	if ran != refusal.NotRun {
		least = 1 // what may have run was dispatched at least once
	}
	if least == 1 && ran != refusal.Complete {
		ran = refusal.Unknown
	}
	r.spend(m.GetDispatches(), least)
	retry := min(max(m.RetryAfterMs, 0), maxTimeout.Milliseconds())
	err := refusal.New(refusal.Code(m.Code), ran, "%s", m.Message).WithRetry(time.Duration(retry) * time.Millisecond)
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

	open atomic.Int64
}

// InFlight is how many forwarded requests run on this host.
func (s *Service) InFlight() int64 { return s.open.Load() }

// Forward implements the drpc service.
func (s *Service) Forward(stream dispatchpb.DRPCDispatch_ForwardStream) error {
	s.open.Add(1)
	defer s.open.Add(-1)
	up, err := stream.Recv()
	if err != nil {
		return fmt.Errorf("dispatch: receive open: %w", err)
	}
	open := up.GetOpen()
	if open == nil {
		return sendRefusal(stream, refusal.New(refusal.InvalidRequest, refusal.NotRun, "forward begins without open"), 0)
	}
	req, refused := requestOf(open)
	if refused == nil {
		refused = s.check(req)
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
		return sendRefusal(stream, refusal.New(refusal.InvalidRequest, refusal.NotRun, "forward has no body"), 0)
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

// check asserts the rules for forwarded requests: no loop, and residency.
func (s *Service) check(req *Request) *refusal.Error {
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
		return refusal.New(refusal.TargetFailed, refusal.NotRun, "no dispatch is left")
	}
	req.Visited = append(req.Visited, self.Name)
	return nil
}

// maxTimeout bounds the remaining time that another host may give.
const maxTimeout = time.Hour

// requestOf checks and converts what another host sent. Headers are picked from
// the allow-list again, and the budget is bounded by what the kind of request may have.
func requestOf(o *dispatchpb.Open) (*Request, *refusal.Error) {
	budget := DefaultDispatchBudget
	if !o.GetIdempotent() {
		budget = 1
	}
	req := &Request{
		ID: o.GetRequestId(), Workspace: o.GetWorkspace(), Method: o.GetMethod(), Path: o.GetPath(), Query: o.GetQuery(),
		Header: pickMap(o.GetHeader(), requestHeaders), Pool: o.GetPool(), Kind: rules.PoolKind(o.GetKind()), Model: o.GetModel(), Stream: o.GetStream(),
		Class: rules.Class(o.GetClass()), Reach: rules.Reach(o.GetReach()), Idempotent: o.GetIdempotent(), Residency: o.GetResidency(),
		Cost: max(0, o.GetCost()), Budget: min(int(o.GetBudget()), budget), Visited: o.GetVisited(),
		Fingerprint: o.GetFingerprint(), Prefixes: o.GetPrefixes(),
	}
	remaining := min(o.GetRemainingMs(), maxTimeout.Milliseconds())
	req.Deadline = time.Now().Add(time.Duration(max(remaining, 0)) * time.Millisecond)
	switch {
	case remaining <= 0:
		return nil, refusal.New(refusal.Deadline, refusal.NotRun, "the deadline passed")
	case req.ID == "" || req.Method == "" || req.Pool == "" || !strings.HasPrefix(req.Path, "/"):
		return nil, refusal.New(refusal.InvalidRequest, refusal.NotRun, "forward lacks request id, method, pool or path")
	}
	return req, nil
}

// relayedHeaders may pass from the other host to the caller.
var relayedHeaders = append([]string{"Content-Length"}, answerHeaders...)

func pickMap(h map[string]string, names []string) map[string]string {
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
