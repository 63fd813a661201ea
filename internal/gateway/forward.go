package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/intake"
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/requestbody"
	"geraniumturn.example/geraniumturn/internal/room"
)

// Headers of forwarded requests between entry hosts and of their responses.
const (
	headerForward = "Geraniumturn-Forward"
	// headerRan marks a response that the host itself generated. Its value states
	// whether the request was executed.
	headerRan = "Geraniumturn-Ran"
	// headerLoad is the load of the targets of the request's service in the region of
	// the responding host.
	headerLoad = "Geraniumturn-Load"
	// headerSoftware is the quoted version of the software of the responding target.
	headerSoftware = "Geraniumturn-Software"
	// ranNotAttempted in headerRan means that the request was sent to no target.
	ranNotAttempted refusal.Ran = "nowhere"
)

// forwardedRequest is the content of headerForward, which an entry host adds to a
// request that it forwards to another region.
type forwardedRequest struct {
	Service     string `json:"service"`
	Workspace   string `json:"workspace,omitempty"`
	RemainingMS int64  `json:"remaining_ms"`
	// WaitMS is how long the request may wait for its first byte. ObjectiveMS is the
	// time to first byte that earns full credit.
	WaitMS      int64  `json:"wait_ms"`
	ObjectiveMS int64  `json:"objective_ms"`
	Urgency     int    `json:"urgency"`
	LastEvent   string `json:"last_event,omitempty"`
	// RegionBound requests have home regions: their prompts may not leave the region.
	RegionBound bool `json:"bound"`
	// Priority is that of the route; nil from a host of an earlier release.
	Priority *int `json:"priority,omitempty"`
	// AtMostOnce requests must not be executed twice.
	AtMostOnce bool `json:"careful"`
	// Software is the version of the software that the target must have, because it began
	// the stream; nil allows all.
	Software *string `json:"software,omitempty"`
	// ConnectMS is how long the host may take to connect to its target; 0 for the usual time.
	ConnectMS int64 `json:"connect_ms,omitempty"`
	// Streaming requests have a response that is a series of events.
	Streaming bool `json:"streaming,omitempty"`
}

func setForwardHeader(h http.Header, f forwardedRequest) error {
	data, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("gateway: encode forward header: %w", err)
	}
	h.Set(headerForward, string(data))
	return nil
}

// ForwardHandler serves requests that other entry hosts forward. A request is sent
// to one target of this region and never forwarded again.
func (g *Gateway) ForwardHandler() http.Handler { return http.HandlerFunc(g.serveForward) }

func (g *Gateway) serveForward(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer g.abortOnPanic("forwarded request", r)
	started := sinceBoot()
	var f forwardedRequest
	if err := json.Unmarshal([]byte(r.Header.Get(headerForward)), &f); err != nil {
		writeForwardRefusal(w, ranNotAttempted, fmt.Errorf("invalid forward header: %w", err))
		return
	}
	if g.refuseNew.Load() {
		writeForwardRefusal(w, ranNotAttempted, errors.New("this host is shutting down"))
		return
	}
	if g.Detached() {
		w.Header().Set(headerDetached, "1")
		writeForwardRefusal(w, ranNotAttempted, errors.New("this host reaches no target of its region"))
		return
	}
	call, err := g.CallerProtocol.Decode(r)
	if err != nil {
		writeForwardRefusal(w, ranNotAttempted, err)
		return
	}
	part := g.bodies.Buffer()
	if account := intake.FromContext(r.Context()); account != nil {
		if !account.Begin() {
			writeForwardRefusal(w, ranNotAttempted, errors.New("other requests use the memory"))
			return
		}
		account.SetWorkspace(f.Workspace)
		part = g.bodies.BufferOf(account)
	}
	defer func() { part.Release() }()
	body, err := requestbody.Read(w, r, defaultMaxBodyBytes, time.Now().Add(time.Duration(f.RemainingMS)*time.Millisecond), &part)
	if err != nil {
		writeForwardRefusal(w, ranNotAttempted, err)
		return
	}
	x := g.newForwardedState(r, call, body, f, started)
	ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(x.deadline-started))
	defer cancel()
	defer context.AfterFunc(g.requestsCtx, cancel)()
	err = g.sendForwarded(ctx, w, x, f)
	fields := logrus.Fields{"id": call.ID, "service": f.Service, "workspace": f.Workspace, "target": x.target, "software": x.software, "ran": string(x.ran),
		"total_ms": (sinceBoot() - started).Milliseconds(), "error": fmt.Sprint(err)}
	if x.latest != nil {
		x.latest.addEndFields(fields)
	}
	g.Log.WithFields(fields).Info("forwarded request")
	switch {
	case err == nil:
	case x.responseStarted || errors.Is(err, errCallerGone):
		panic(http.ErrAbortHandler)
	case x.sends == 0:
		g.setLoadHeader(w.Header(), f.Service)
		writeForwardRefusal(w, ranNotAttempted, err)
	default:
		g.setLoadHeader(w.Header(), f.Service)
		writeForwardRefusal(w, x.ran, err)
	}
}

// newForwardedState returns the state of a request that another host has forwarded.
func (g *Gateway) newForwardedState(r *http.Request, call Call, body []byte, f forwardedRequest, started time.Duration) *requestState {
	x := &requestState{call: call, request: r, body: body, service: f.Service, started: started, ran: refusal.NotRun, lastEvent: f.LastEvent,
		deadline: started + time.Duration(f.RemainingMS)*time.Millisecond, triedTargets: map[string]bool{}, triedRegions: map[string]bool{},
		route: &document.Route{Kind: document.Streaming, Resumable: !f.AtMostOnce},
		placementRequest: placement.Request{Service: f.Service, BodyBytes: len(body), Model: call.Model, Segments: call.Segments, PromptTokens: call.PromptTokens, OutputTokens: call.MaxOutputTokens, ExpectedOutput: call.ExpectedOutput, RegionBound: f.RegionBound, Software: f.Software,
			Objective: time.Duration(f.ObjectiveMS) * time.Millisecond, TimeLeft: time.Duration(f.RemainingMS) * time.Millisecond},
		header: g.TargetProtocol.RequestHeader(r.Header)}
	x.header.Del(headerForward)
	if x.shortageKnown = f.Priority == nil; f.Priority != nil {
		x.level = room.LevelOf(*f.Priority, f.RegionBound)
	}
	return x
}

// sendForwarded sends the request to one target and streams the response as it arrives.
func (g *Gateway) sendForwarded(ctx context.Context, w http.ResponseWriter, x *requestState, f forwardedRequest) error {
	x.workspace, x.urgency = &document.Workspace{Name: f.Workspace}, f.Urgency
	x.suspectKeys = suspectKeys(x)
	s, err := g.choosePermitted(ctx, x, time.Duration(f.WaitMS)*time.Millisecond)
	if err != nil {
		return err
	}
	x.latest, s.connectTimeout = s, time.Duration(f.ConnectMS)*time.Millisecond
	outcome := placement.Cancelled
	defer func() { g.finishAttempt(x, s, outcome) }()
	res, err := g.dispatch(ctx, x, s)
	if err != nil {
		outcome = attemptOutcome(ctx, err)
		g.recordFailure(ctx, x, s, err)
		if failed, ok := errors.AsType[*attemptError](err); ok {
			x.ran = failed.ran
		}
		return err
	}
	defer res.Close()
	class := g.TargetProtocol.Classify(res.Status, res.Header)
	g.observe(s, class)
	if class.NotRun {
		outcome = placement.Rejected
		return fmt.Errorf("target %s rejected the request with status %d", s.target, res.Status)
	}
	x.ran = refusal.Unknown
	res.Header.Del(headerLoad)
	res.Header.Del(headerSoftware)
	g.setLoadHeader(w.Header(), f.Service)
	if g.softwareUnchanged(s) {
		w.Header().Set(headerSoftware, strconv.QuoteToASCII(s.software))
	}
	body := io.Reader(res)
	if f.Streaming && class.Success {
		body = streamBody(x, s, res)
	}
	if err := g.relayStream(w, x, s, body, res); err != nil {
		if ctx.Err() == nil {
			outcome = placement.Failed
		}
		g.recordFailure(ctx, x, s, err)
		return err
	}
	outcome = placement.Failed
	if class.Success {
		outcome = placement.Served
	}
	return nil
}

// chooseLocalTarget chooses a target of this region for a forwarded request. It fails
// if the expected time to first byte exceeds firstByteLimit and the queueing limit.
func (g *Gateway) chooseLocalTarget(x *requestState, firstByteLimit time.Duration) (*sendAttempt, error) {
	now := sinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.refuseSuspect(now, x); err != nil {
		return nil, err
	}
	if err := g.checkInStep(now, x); err != nil {
		return nil, err
	}
	choice, ok := g.placer.Choose(now, &x.placementRequest, nil)
	if !ok {
		return nil, fmt.Errorf("no target of service %s is available", x.service)
	}
	firstByteLimit = max(firstByteLimit, placement.QueueLimit(x.placementRequest.Objective, choice.IdleTTFB))
	g.recordShortage(now, x, choice.Estimate, firstByteLimit)
	if x.placementRequest.Software == nil { // a stream that has begun does not give way
		x.pressure = g.pressureOn(now, x)
		firstByteLimit = x.pressure.LimitAt(firstByteLimit, choice.IdleTTFB, drawOf("draw", x.call.ID))
	}
	if choice.TTFB > firstByteLimit {
		return nil, fmt.Errorf("expected time to first byte of %s exceeds the forwarded limit of %s (pressure %.2f)", choice.TTFB, firstByteLimit, x.pressure.Yield)
	}
	if err := g.refuseLate(now, x, choice.Total); err != nil {
		return nil, err
	}
	x.target, x.choice = choice.Target.ID, choice
	return g.startAttempt(now, x, choice), nil
}

// setLoadHeader adds the load of this region to a response for another host: the time
// to first byte and the time per token, both in microseconds.
func (g *Gateway) setLoadHeader(h http.Header, service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.path.Detached() {
		return // the load of targets that this host does not reach is unknown
	}
	if e, ok := g.placer.TypicalEstimate(sinceBoot(), service); ok {
		h.Set(headerLoad, fmt.Sprintf("%d,%d", e.TTFB.Microseconds(), e.TimePerToken().Microseconds()))
	}
}

// parseLoad parses the value of headerLoad. It reports false if the value is invalid.
func parseLoad(value string) (placement.Load, bool) {
	var ttfb, perToken int64
	if _, err := fmt.Sscanf(value, "%d,%d", &ttfb, &perToken); err != nil {
		return placement.Load{}, false
	}
	return placement.Load{TTFB: time.Duration(ttfb) * time.Microsecond, TimePerToken: time.Duration(perToken) * time.Microsecond}, true
}

// decodeSoftware decodes headerSoftware. It reports false if there is none, as from a
// host of an earlier release.
func decodeSoftware(h http.Header) (string, bool) {
	software, err := strconv.Unquote(h.Get(headerSoftware))
	return software, err == nil
}

func writeForwardRefusal(w http.ResponseWriter, ran refusal.Ran, err error) {
	w.Header().Set(headerRan, string(ran))
	status := http.StatusServiceUnavailable
	if ran != refusal.NotRun {
		status = http.StatusBadGateway
	}
	http.Error(w, err.Error(), status)
}
