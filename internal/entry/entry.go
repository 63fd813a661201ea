package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"geraniumturn.example/geraniumturn/internal/bytebudget"
	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/fleet"
	"geraniumturn.example/geraniumturn/internal/intake"
	"geraniumturn.example/geraniumturn/internal/keys"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/requestbody"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/timeline"
)

const (
	// MaxBodyBytes bounds a caller's request body.
	MaxBodyBytes = 8 << 20
	// bodyRetryAfter is the time after which a caller whose body finds no memory may come back.
	bodyRetryAfter = 500 * time.Millisecond
	// MaxTimeout limits the timeout that a caller may request.
	MaxTimeout = time.Hour

	headerTimeout        = "Geraniumturn-Timeout-Ms"
	headerClass          = "Geraniumturn-Class"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	maxIdempotencyKey    = 256
)

// Reservation is the quota that is reserved for a request.
type Reservation interface {
	// Settle returns the unused tokens. Call it once.
	Settle(used int64)
}

// Quota reserves tokens of a workspace. Reserve returns a *refusal.Error if it
// refuses.
type Quota interface {
	Reserve(ctx context.Context, workspace *rules.Workspace, cost int64) (Reservation, error)
}

// Operation is a non-idempotent request with an idempotency key, so that its caller
// may send it again.
type Operation struct {
	Workspace string
	// Key is the caller's Idempotency-Key.
	Key  string
	Body []byte
	// Path, Query and Method are part of the operation's identity.
	Path      string
	Query     string
	Method    string
	RequestID string
	Residency []string
	// Deadline is absolute; the operation is not dispatched after it.
	Deadline time.Time
}

// Operations runs an operation at most once over all hosts. Do calls run at most
// once; when there is a stored response, it writes that to the sink instead. Quota
// is reserved in run only, so a replayed response costs nothing.
type Operations interface {
	Do(ctx context.Context, op Operation, sink dispatch.Sink, run func(ctx context.Context, sink dispatch.Sink) (dispatch.Result, error)) (dispatch.Result, error)
}

// Fingerprints computes the fingerprint of a request. Check returns an error if
// requests are refused because equal ones crashed targets.
type Fingerprints interface {
	Fingerprint(workspace, path string, body []byte) string
	Check(fingerprint string) error
}

// Placement reports this host's data centre and the hosts that may serve a
// residency.
type Placement interface {
	DataCentre() string
	// HostsFor returns the entry hosts that may serve the residency, best first.
	HostsFor(residency []string, home string) []HostEntry
}

// HostEntry is a host in a discovery response.
type HostEntry struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
}

// Runner runs a request on targets.
type Runner interface {
	Do(ctx context.Context, req *dispatch.Request, sink dispatch.Sink) (dispatch.Result, error)
}

// Server serves callers. All fields are set before the first request.
type Server struct {
	Fleet        *fleet.Replica
	Keys         *keys.Table
	Quota        Quota
	Operations   Operations
	Fingerprints Fingerprints
	Placement    Placement
	Runner       Runner
	Events       *timeline.Log
	Metrics      metrics.Registry
	// Ready reports whether the host has rules in force.
	Ready func() bool
	// Starting reports whether the host has not yet learned which state is in force,
	// so that it must not accept or refuse keys. Nil means never.
	Starting func() bool
	// Bodies bounds the memory of all request bodies together.
	Bodies   bytebudget.Budget
	draining atomic.Bool
}

// Drain makes this host refuse new requests and report that it is not ready. The
// daemon also marks it as draining in the membership list, so that discovery omits it.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// call is the state of a caller's request while it is checked and run.
type call struct {
	id             string
	workspace      *rules.Workspace
	key            keys.Key
	route          *rules.Route
	request        *dispatch.Request
	bodyPart       bytebudget.Buffer // of the request's body
	idempotencyKey string
}

// Serve handles a caller's request on each path without a handler of its own.
func (s *Server) Serve(c echo.Context) error {
	s.counter("requests").Inc(1)
	k := &call{id: newRequestID()}
	c.Response().Header().Set(headerRequestID, k.id)
	defer func() { k.bodyPart.Release() }()
	err := s.serve(c, k)
	if err == nil {
		return nil
	}
	if errors.Is(err, dispatch.ErrResponseTruncated) || c.Response().Committed {
		s.counter("answers.broken").Inc(1)
		s.Events.Record(timeline.Event{Kind: "answer_broken", Request: k.id})
		panic(http.ErrAbortHandler) // closes the connection, so that the response cannot look complete
	}
	return s.refuse(c, k, refusal.From(err))
}

func (s *Server) serve(c echo.Context, k *call) error {
	if s.Draining() {
		return refusal.New(refusal.Draining, refusal.NotRun, "this host is shutting down").WithHosts(s.hostsForCaller(c.Request()))
	}
	if s.Starting != nil && s.Starting() {
		return refusal.New(refusal.Draining, refusal.NotRun, "this host is starting").WithHosts(s.hostsForCaller(c.Request()))
	}
	if !intake.FromContext(c.Request().Context()).Begin() {
		c.Response().Header().Set("Connection", "close")
		return refusal.New(refusal.Overloaded, refusal.NotRun, "other requests use the memory").WithRetry(bodyRetryAfter)
	}
	view := s.Fleet.View()
	if err := s.authenticate(c, k, view); err != nil {
		return err
	}
	if err := s.checkResidency(k); err != nil {
		return err
	}
	if err := s.buildRequest(c, k, view); err != nil {
		return err
	}
	return s.runRequest(c, k)
}

// authenticate determines the route and the workspace from path and headers.
func (s *Server) authenticate(c echo.Context, k *call, view *fleet.View) error {
	r := c.Request()
	k.route = view.Rules.Route(intake.SentPath(r))
	token := bearer(r)
	if k.route != nil && k.route.Open && token == "" {
		return nil
	}
	if token == "" {
		return refusal.New(refusal.Unauthenticated, refusal.NotRun, "no key: send Authorization: Bearer gt_...")
	}
	key, err := s.Keys.Check(token)
	switch {
	case errors.Is(err, keys.ErrWithdrawn):
		return refusal.New(refusal.KeyWithdrawn, refusal.NotRun, "the key was withdrawn")
	case err != nil:
		return refusal.New(refusal.Unauthenticated, refusal.NotRun, "unknown key")
	}
	s.Keys.TrackConn(c.Request().Context(), key.ID)
	k.key = key
	k.workspace = view.Rules.Workspaces[key.Workspace]
	if k.workspace == nil {
		return refusal.New(refusal.Forbidden, refusal.NotRun, "workspace %s has no rule", key.Workspace)
	}
	if k.route == nil {
		return refusal.New(refusal.Forbidden, refusal.NotRun, "no route matches %s", intake.SentPath(r))
	}
	return nil
}

// checkResidency refuses the request if this host's data centre is outside the
// workspace's residency. It runs before the body is read.
func (s *Server) checkResidency(k *call) error {
	w := k.workspace
	if w == nil || w.Allows(s.Placement.DataCentre()) {
		return nil
	}
	return refusal.New(refusal.WrongHost, refusal.NotRun,
		"data of workspace %s must not pass through data centre %s", w.Name, s.Placement.DataCentre()).
		WithHosts(s.hostAddresses(w.Residency, w.Home))
}

func (s *Server) hostAddresses(residency []string, home string) []string {
	var out []string
	for _, h := range s.Placement.HostsFor(residency, home) {
		out = append(out, h.Address)
	}
	return out
}

// hostsForCaller returns the addresses of the hosts that the caller's workspace may
// use, or of all hosts if the key is unknown here.
func (s *Server) hostsForCaller(r *http.Request) []string {
	key, err := s.Keys.Check(bearer(r))
	if err != nil {
		return s.hostAddresses(nil, "")
	}
	w := s.Fleet.View().Rules.Workspaces[key.Workspace]
	if w == nil {
		return s.hostAddresses(nil, "")
	}
	return s.hostAddresses(w.Residency, w.Home)
}

// buildRequest reads the body and builds the request that is dispatched.
func (s *Server) buildRequest(c echo.Context, k *call, view *fleet.View) error {
	r := c.Request()
	if !k.route.AllowsMethod(r.Method) {
		return refusal.New(refusal.Forbidden, refusal.NotRun, "method %s is not allowed on %s", r.Method, k.route.Path)
	}
	timeout, err := requestTimeout(r, k.route)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(timeout)
	body, err := s.readBody(c, k, deadline)
	if err != nil {
		return err
	}
	header := dispatch.AllowedHeaders(r.Header)
	if err := refuseLeakedKey(r, bearer(r), header); err != nil {
		return err
	}
	k.idempotencyKey = r.Header.Get(headerIdempotencyKey)
	if len(k.idempotencyKey) > maxIdempotencyKey {
		return refusal.New(refusal.InvalidRequest, refusal.NotRun, "Idempotency-Key is longer than %d bytes", maxIdempotencyKey)
	}
	k.request = &dispatch.Request{
		ID: k.id, Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery,
		Header: header, Body: body, Pool: k.route.Pool, Kind: rules.Service,
		Class: k.route.Class, Reach: k.route.Reach, Idempotent: k.route.Idempotent, Cost: k.route.Cost,
		Deadline: deadline, Budget: 1,
	}
	if k.workspace != nil {
		k.request.Workspace, k.request.Residency = k.workspace.Name, k.workspace.Residency
	}
	if k.request.Idempotent {
		k.request.Budget = dispatch.DefaultDispatchBudget
	}
	if class := rules.Class(r.Header.Get(headerClass)); class != "" {
		if class != rules.Interactive && class != rules.Batch {
			return refusal.New(refusal.InvalidRequest, refusal.NotRun, "%s must be interactive or batch", headerClass)
		}
		k.request.Class = class
	}
	return s.resolvePool(k, view)
}

// resolvePool finds the pool by the model in the body if the route names none. For
// an engine it also reads cost and prompt prefixes from the body.
func (s *Server) resolvePool(k *call, view *fleet.View) error {
	if pool := view.Rules.Pools[k.request.Pool]; pool != nil {
		k.request.Kind = pool.Kind
	}
	if k.request.Pool != "" && k.request.Kind == rules.Service {
		return nil
	}
	if !k.bodyPart.Copy(len(k.request.Body)) { // for the prompt that is parsed
		return refusal.New(refusal.Overloaded, refusal.NotRun, "%v", requestbody.ErrNoMemory).WithRetry(bodyRetryAfter)
	}
	defer k.bodyPart.Resize(len(k.request.Body))
	body, err := parseEngineBody(k.request.Body)
	if err != nil {
		return err
	}
	if k.request.Pool == "" {
		model := view.Rules.Models[body.Model]
		if model == nil {
			return refusal.New(refusal.UnknownModel, refusal.NotRun, "model %q is not defined", body.Model)
		}
		k.request.Pool, k.request.Kind = model.Pool, rules.Engine
	}
	k.request.Model, k.request.Stream = body.Model, body.Stream
	k.request.Cost = body.tokenCost()
	k.request.Prefixes = body.prefixDigests()
	return nil
}

// runRequest runs the request until it ends or its key is withdrawn.
func (s *Server) runRequest(c echo.Context, k *call) error {
	ctx, cancel := context.WithCancelCause(c.Request().Context())
	defer cancel(nil)
	if k.key.ID != "" {
		release, err := s.Keys.Track(k.key.ID, func() { cancel(keys.ErrWithdrawn) })
		if err != nil {
			return refusal.New(refusal.KeyWithdrawn, refusal.NotRun, "the key was withdrawn")
		}
		defer release()
	}
	if s.Fingerprints != nil {
		k.request.Fingerprint = s.Fingerprints.Fingerprint(k.request.Workspace, k.request.Path, k.request.Body)
		if err := s.Fingerprints.Check(k.request.Fingerprint); err != nil {
			return err
		}
	}
	sink := newSink(c)
	sink.setWriteDeadline(k.request.Deadline.Add(callerWriteGrace))
	defer sink.setWriteDeadline(time.Time{})
	result, err := s.runOperation(ctx, k, sink)
	if errors.Is(context.Cause(ctx), keys.ErrWithdrawn) {
		return s.withdrawnError(err)
	}
	if err != nil {
		return err
	}
	s.Events.Record(timeline.Event{Kind: "answered", Request: k.id, Workspace: k.request.Workspace, Target: result.Target})
	s.counter("answers.whole").Inc(1)
	if result.ServedRemotely {
		s.counter("sent_away").Inc(1)
	}
	return nil
}

// withdrawnError returns the error for a request whose key was withdrawn while it
// ran.
func (s *Server) withdrawnError(err error) error {
	s.counter("keys.requests_ended").Inc(1)
	if err == nil || errors.Is(err, dispatch.ErrResponseTruncated) {
		return err
	}
	return refusal.New(refusal.KeyWithdrawn, refusal.From(err).Ran, "the key was withdrawn")
}

func (s *Server) runOperation(ctx context.Context, k *call, sink dispatch.Sink) (dispatch.Result, error) {
	if k.request.Idempotent || k.idempotencyKey == "" || s.Operations == nil || k.workspace == nil {
		return s.runWithQuota(ctx, k, sink)
	}
	op := Operation{Workspace: k.request.Workspace, Key: k.idempotencyKey, Body: k.request.Body, Path: k.request.Path,
		Query: k.request.Query, Method: k.request.Method, RequestID: k.id, Residency: k.request.Residency, Deadline: k.request.Deadline}
	return s.Operations.Do(ctx, op, sink, func(ctx context.Context, sink dispatch.Sink) (dispatch.Result, error) {
		return s.runWithQuota(ctx, k, sink)
	})
}

// runWithQuota reserves the cost, runs the request and settles the reservation.
func (s *Server) runWithQuota(ctx context.Context, k *call, sink dispatch.Sink) (dispatch.Result, error) {
	if k.workspace == nil || s.Quota == nil {
		return s.Runner.Do(ctx, k.request, sink)
	}
	reservation, err := s.Quota.Reserve(ctx, k.workspace, k.request.Cost)
	if err != nil {
		return dispatch.Result{}, err
	}
	result, err := s.Runner.Do(ctx, k.request, sink)
	used := chargedTokens(k.request, result, err)
	reservation.Settle(used)
	if overrun := used - k.request.Cost; overrun > 0 {
		go s.chargeOverrun(k.workspace, overrun)
	}
	return result, err
}

// overrunChargeTimeout limits how long chargeOverrun tries to reserve tokens.
const overrunChargeTimeout = 30 * time.Second

// chargeOverrun charges the tokens that a request used beyond its reservation,
// because its prompt had more tokens than estimated or the engine exceeded
// max_tokens. The charge delays later requests of the workspace.
func (s *Server) chargeOverrun(workspace *rules.Workspace, tokens int64) {
	ctx, cancel := context.WithTimeout(context.Background(), overrunChargeTimeout)
	defer cancel()
	for tokens > 0 && ctx.Err() == nil {
		amount := min(tokens, workspace.Burst)
		reservation, err := s.Quota.Reserve(ctx, workspace, amount)
		if err != nil {
			refused := refusal.From(err)
			timer := time.NewTimer(max(refused.RetryAfter, minOverrunRetryDelay))
			select {
			case <-ctx.Done():
			case <-timer.C:
			}
			timer.Stop()
			continue
		}
		reservation.Settle(amount)
		tokens -= amount
	}
	if tokens > 0 {
		s.counter("quota.overrun_tokens_uncharged").Inc(tokens)
	}
}

// minOverrunRetryDelay is the minimum delay between attempts to charge an overrun.
const minOverrunRetryDelay = 100 * time.Millisecond

// chargedTokens returns the final cost of a request. Without usage from the target
// it is the reserved cost, or 0 if the request certainly did not run.
func chargedTokens(req *dispatch.Request, result dispatch.Result, err error) int64 {
	if err != nil {
		if refused, ok := errors.AsType[*refusal.Error](err); ok && refused.Ran == refusal.NotRun {
			return 0
		}
		return req.Cost
	}
	if used := result.PromptTokens + result.CompletionTokens; req.Kind == rules.Engine && used > 0 {
		return used
	}
	return req.Cost
}

func (s *Server) refuse(c echo.Context, k *call, e *refusal.Error) error {
	s.counter("refusals." + string(e.Code)).Inc(1)
	event := timeline.Event{Kind: "refused", Request: k.id, Detail: string(e.Code) + " " + string(e.Ran)}
	if k.workspace != nil {
		event.Workspace = k.workspace.Name
	}
	s.Events.Record(event)
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if e.Code == refusal.WrongHost || e.Code == refusal.Draining || e.Code == refusal.KeyWithdrawn {
		c.Response().Header().Set("Connection", "close")
	}
	return c.JSON(e.Code.Status(), e.Body(k.id))
}

func (s *Server) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter("entry."+name, s.Metrics)
}

func newRequestID() string {
	raw := make([]byte, 12)
	_, _ = rand.Read(raw) // never fails since Go 1.24
	return hex.EncodeToString(raw)
}

func requestTimeout(r *http.Request, route *rules.Route) (time.Duration, error) {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return route.Timeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > MaxTimeout.Milliseconds() {
		return 0, refusal.New(refusal.InvalidRequest, refusal.NotRun, "%s must be a number of milliseconds from 1 to %d", headerTimeout, MaxTimeout.Milliseconds())
	}
	return min(time.Duration(ms)*time.Millisecond, route.Timeout), nil
}

// readBody reads the body up to the size limit and the deadline, so that a slow caller
// cannot occupy memory for longer, and within the memory that all bodies may use.
func (s *Server) readBody(c echo.Context, k *call, deadline time.Time) ([]byte, error) {
	if account := intake.FromContext(c.Request().Context()); account != nil {
		if k.workspace != nil {
			account.SetWorkspace(k.workspace.Name)
		}
		k.bodyPart = s.Bodies.BufferOf(account)
	} else {
		k.bodyPart = s.Bodies.Buffer()
	}
	body, err := requestbody.Read(c.Response(), c.Request(), MaxBodyBytes, deadline, &k.bodyPart)
	switch {
	case errors.Is(err, requestbody.ErrTooLarge):
		return nil, refusal.New(refusal.TooLarge, refusal.NotRun, "body has more than %d bytes", MaxBodyBytes)
	case errors.Is(err, requestbody.ErrNoMemory):
		return nil, refusal.New(refusal.Overloaded, refusal.NotRun, "%v", err).WithRetry(bodyRetryAfter)
	case errors.Is(err, requestbody.ErrDeadline):
		return nil, refusal.New(refusal.Deadline, refusal.NotRun, "%v", err)
	case err != nil:
		return nil, refusal.New(refusal.InvalidRequest, refusal.NotRun, "reading the body failed: %v", err)
	}
	return body, nil
}

// callerSink writes the response to the caller. A failed write ends the request.
type callerSink struct {
	c              echo.Context
	controller     *http.ResponseController
	flushEachWrite bool
}

func newSink(c echo.Context) *callerSink {
	return &callerSink{c: c, controller: http.NewResponseController(c.Response())}
}

// Start implements dispatch.Sink.
func (s *callerSink) Start(status int, header map[string]string) error {
	for name, value := range header {
		s.c.Response().Header().Set(name, value)
	}
	_, hasLength := header["Content-Length"]
	s.flushEachWrite = !hasLength
	s.c.Response().WriteHeader(status)
	if s.flushEachWrite {
		return s.controller.Flush()
	}
	return nil
}

// callerWriteGrace is how long after the deadline the response may still be
// written.
const callerWriteGrace = 5 * time.Second

// setWriteDeadline sets the deadline for writes to the caller, so that a caller
// that does not read cannot keep its request open for longer. The zero time
// removes the deadline.
func (s *callerSink) setWriteDeadline(at time.Time) {
	if at.IsZero() && s.c.Response().Committed {
		_ = s.controller.Flush() // before the old deadline is removed
	}
	_ = s.controller.SetWriteDeadline(at) // not supported by test recorders
}

// Flush sends buffered data.
func (s *callerSink) Flush() error { return s.controller.Flush() }

// Write implements dispatch.Sink.
func (s *callerSink) Write(p []byte) error {
	if _, err := s.c.Response().Write(p); err != nil {
		return fmt.Errorf("entry: write response: %w", err)
	}
	if s.flushEachWrite {
		return s.controller.Flush()
	}
	return nil
}
