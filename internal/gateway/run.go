package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/registry"
	"geraniumturn.example/geraniumturn/internal/rendezvous"
	"geraniumturn.example/geraniumturn/internal/room"
	"geraniumturn.example/geraniumturn/internal/upstream"
)

const (
	// maxUnsentAttempts bounds the attempts of a request that fail before it reaches a
	// target.
	maxUnsentAttempts = 4
	// maxRejections bounds the attempts of a request that targets reject.
	maxRejections = 2
	// minRetryTime is the remaining time below which a request is not retried.
	minRetryTime = 150 * time.Millisecond
	// Callers abandon a stream that sends no event for the largest of minStreamTimeout,
	// streamTimeoutObjectives times the route's first-byte objective and
	// streamTimeoutGaps times its maximum gap between events.
	minStreamTimeout        = 2 * time.Second
	streamTimeoutObjectives = 4
	streamTimeoutGaps       = 8
	// resumeTimeoutPercent is the percentage of that time within which an interrupted
	// stream must continue.
	resumeTimeoutPercent = 80
	// misdirectedEjection is how long a target is ejected after its address turned out
	// to belong to another target.
	misdirectedEjection = 1500 * time.Millisecond
	// targetRestartTime is how long a crashed target usually takes to serve again.
	targetRestartTime = 3 * time.Second
	// hostTimeout is how long another host may be silent before it gets no requests.
	hostTimeout = 2500 * time.Millisecond
)

// attemptError is the error of a failed attempt.
type attemptError struct {
	ran refusal.Ran
	// unsent means that the request reached no target, usually because no connection was
	// established.
	unsent bool
	// retryTaken means that a retry was already taken from the retry budget.
	retryTaken bool
	// retryAfter is the time until a target takes requests again; 0 if one does now or it
	// is unknown.
	retryAfter time.Duration
	err        error
}

func (e *attemptError) Error() string { return e.err.Error() }
func (e *attemptError) Unwrap() error { return e.err }

// sendAttempt is one attempt to send a request to a target or to another host.
type sendAttempt struct {
	attempt *placement.Attempt // nil for a forwarded request
	target  string
	address string
	// software is the version of the target's software and startMillis the start of its
	// process. Those of a forwarded request are known from its response; softwareKnown is
	// false until then.
	software      string
	startMillis   int64
	softwareKnown bool
	originChecked bool
	forwarded     bool
	// region is the region that the request is forwarded to, and firstByteLimit how long
	// it may wait for the first byte there.
	region         string
	firstByteLimit time.Duration
	// connectTimeout is how long this host, or the one that the request is forwarded to, may
	// take to connect to its target; 0 for the usual time.
	connectTimeout time.Duration
	// cacheSource is the address of a target that has parts of the prompt in its cache
	// that this target lacks, or "".
	cacheSource string
	// firstByteSeen is set at the first byte of the response, which came at firstByteAt.
	firstByteSeen bool
	firstByteAt   time.Duration
	// parent is the context of the request and ctx that of the attempt, which cancel ends.
	parent, ctx context.Context
	cancel      context.CancelFunc
	// response is that of an attempt that was sent while the target before it was silent.
	response *upstream.Response
	// received is the response of the attempt, whose body may still arrive; nil before it.
	received *upstream.Response
	events   eventTrace // of a stream that is not relayed event by event
	// beforeWrite is called before the request is written; nil if it is not needed.
	beforeWrite func() error
}

// run attempts the request until a response was relayed or no retry is allowed.
func (g *Gateway) run(ctx context.Context, w http.ResponseWriter, x *requestState) error {
	g.recordRequest(x)
	unsent, rejected := 0, 0
	var last error
	defer func() {
		if x.replacement != nil {
			g.endReplacement(x, x.replacement, placement.Cancelled)
		}
	}()
	for {
		s, err := x.replacement, error(nil)
		if x.replacement = nil; s == nil {
			s, err = g.chooseDestination(x)
		}
		if refused, ok := errors.AsType[*refusal.Error](err); ok && g.awaitTarget(ctx, x, refused) {
			continue
		}
		if err != nil {
			return finalError(x, last, err)
		}
		began, silent := sinceBoot(), x.silentWait
		err = g.attempt(ctx, w, x, s)
		if err == nil || errors.Is(err, errCallerGone) {
			return err
		}
		last = err
		failed, ok := errors.AsType[*attemptError](err)
		if !ok {
			x.ran = refusal.Unknown
			return finalError(x, last, err)
		}
		g.logAttempt(x, s, failed)
		switch {
		case failed.unsent:
			unsent++
			x.addLostTime(sinceBoot()-began, silent)
		case failed.ran == refusal.NotRun:
			rejected++
		default:
			x.ran = refusal.Unknown
			// The time lost to a target that failed is no overload of the next one.
			x.addLostTime(sinceBoot()-began, silent)
		}
		if ctx.Err() != nil || x.responseStarted && !x.continuable() {
			return finalError(x, last, err)
		}
		retryTaken := failed.retryTaken || x.replacement != nil
		if unsent > maxUnsentAttempts || rejected > maxRejections || !retryTaken && !g.mayRetry(x, failed) {
			return finalError(x, last, err)
		}
	}
}

// addLostTime adds the time that a failed attempt took, without the silence of its target, which
// counts already: silentBefore is what was counted before the attempt.
func (x *requestState) addLostTime(took, silentBefore time.Duration) {
	x.hostWait += max(0, took-(x.silentWait-silentBefore))
}

// finalError returns the error of the request, given the error of its last failed
// attempt, or nil, and the error that ended the attempts.
func finalError(x *requestState, last, err error) error {
	if x.responseStarted {
		return fmt.Errorf("%w: %v", errTruncated, err)
	}
	if refused, ok := errors.AsType[*refusal.Error](err); ok {
		return refused
	}
	if last == nil {
		last = err
	}
	if x.ran == refusal.NotRun {
		after := minRetryAfter
		if failed, ok := errors.AsType[*attemptError](last); ok {
			after = max(after, failed.retryAfter)
		}
		return refusal.New(refusal.Overloaded, refusal.NotRun, "%v", last).WithRetry(after)
	}
	return refusal.New(refusal.TargetFailed, refusal.Unknown, "%v", last)
}

func (g *Gateway) logAttempt(x *requestState, s *sendAttempt, failed *attemptError) {
	fields := logrus.Fields{"id": x.call.ID, "target": s.target, "software": s.software, "forward": s.forwarded, "ran": string(failed.ran),
		"unsent": failed.unsent, "error": failed.Error(), "last_event": x.lastEvent}
	s.addEndFields(fields)
	g.Log.WithFields(fields).Info("attempt failed")
}

// mayRetry reports whether a request may be retried. A retry of a request that
// reached a target is taken from the retry budget.
func (g *Gateway) mayRetry(x *requestState, failed *attemptError) bool {
	if x.deadline-sinceBoot() < minRetryTime {
		return false
	}
	if failed.unsent {
		return true
	}
	if failed.ran != refusal.NotRun && !x.mayRepeat() {
		return false
	}
	return g.takeRetry(x)
}

// takeRetry takes a retry from the retry budget.
func (g *Gateway) takeRetry(x *requestState) bool {
	now := sinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.retryBudget(x.service).TakeRetry(now, g.countHosts(now)) {
		return false
	}
	g.requestMetrics.retries.Inc(1)
	return true
}

// mayRepeat reports whether the request may run once more.
func (x *requestState) mayRepeat() bool {
	return x.route.Repeatable() && x.sends < max(1, x.route.MaxAttempts)
}

// chooseDestination chooses a target, or a host of another region, for the next
// attempt, or returns a refusal.
func (g *Gateway) chooseDestination(x *requestState) (*sendAttempt, error) {
	now := sinceBoot()
	x.placementRequest.TimeLeft = x.deadline - now
	if err := g.checkKeyLease(now, x); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.refuseSuspect(now, x); err != nil {
		return nil, err
	}
	places := g.findPlaces(now, x)
	d := room.Decide(&places.Inputs)
	x.choice, x.decision, x.pressure = places.choice(d), d, places.Pressure
	g.recordDecision(x, places, d)
	if d.Action == room.Refuse {
		return nil, g.refuse(now, x, places, d)
	}
	if d.Action == room.Forward {
		remote := places.remote
		if d.Place == places.Spare {
			remote = places.spare
		}
		x.triedRegions[remote.GetRegion()] = remote.GetRegion() != g.Region // the host may have targets left
		x.forwardHost, x.target = remote.GetName(), remote.GetName()
		g.remoteRegion(remote.GetRegion()).RecordSent(now)
		g.requestMetrics.forwarded.Inc(1)
		hostLimit := remote.limit
		if remote.GetRegion() != g.Region {
			hostLimit = placement.RemoteFirstByteLimit(hostLimit)
		}
		return &sendAttempt{target: remote.GetName(), address: remote.GetForward(), forwarded: true, region: remote.GetRegion(), firstByteLimit: hostLimit}, nil
	}
	x.triedTargets[places.here.Target.ID] = true
	x.target = places.here.Target.ID
	return g.startAttempt(now, x, places.here), nil
}

// places is what room.Decide decides on, and what carrying the decision out takes.
type places struct {
	room.Inputs
	outOfStep error
	here      placement.Choice
	remote    remotePlace // of There
	spare     remotePlace // of Spare
}

// remotePlace is another host that may get the request.
type remotePlace struct {
	*peerHost
	estimate remoteEstimate
	limit    time.Duration // that the host applies
}

// choice returns the estimate that the decision is based on.
func (p *places) choice(d room.Decision) placement.Choice {
	switch {
	case d.Place == nil:
		return placement.Choice{}
	case d.Place == p.There:
		return placement.Choice{Estimate: p.remote.estimate.Estimate}
	case d.Place == p.Spare:
		return placement.Choice{Estimate: p.spare.estimate.Estimate}
	}
	return p.here
}

// findPlaces gathers what is known of the places for a request. g.mu must be held.
func (g *Gateway) findPlaces(now time.Duration, x *requestState) *places {
	p := &places{outOfStep: g.checkInStep(now, x)}
	usable := false
	if p.outOfStep == nil && document.AllowsRegion(x.route, x.workspace, g.Region) && !g.path.Detached() {
		p.here, usable = g.placer.Choose(now, &x.placementRequest, func(id string) bool { return x.triedTargets[id] })
	}
	p.OutOfStep, p.EndsIn = p.outOfStep != nil, g.endsIn(now, x)
	p.HereLimit, p.LastResort = g.firstByteBudget(now, x, p.here.IdleTTFB), p.here.Unreachable
	if usable {
		p.Here = &room.Place{TTFB: p.here.TTFB, Total: p.here.Total, Idle: p.here.IdleTTFB, Cost: p.here.Cost, Limit: p.HereLimit}
	} else {
		p.HereIn = g.localWait(now, x)
	}
	g.addPressure(now, x, p)
	peers := g.path.Detached() || p.LastResort || !usable && x.sends == 0
	p.remote, p.There = g.findRemotePlace(now, x, func(region string) bool { return peers || region != g.Region })
	if p.Pressure.Move > 0 {
		p.spare, p.Spare = g.findRemotePlace(now, x, func(region string) bool { return g.granted(now, x, region) })
	}
	return p
}

// findRemotePlace returns the best place at another host of the regions that are allowed; nil
// if there is none. g.mu must be held.
func (g *Gateway) findRemotePlace(now time.Duration, x *requestState, allowed func(region string) bool) (remotePlace, *room.Place) {
	h, e := g.bestRemoteHost(now, x, allowed)
	if h == nil {
		return remotePlace{}, nil
	}
	limit, accepted := g.remoteLimits(now, h.GetRegion(), g.firstByteBudget(now, x, e.IdleTTFB), x.route.FirstByteObjective)
	return remotePlace{h, e, limit}, &room.Place{TTFB: e.TTFB, Total: e.Total, Idle: e.IdleTTFB, Cost: e.cost, Limit: accepted}
}

// refuse returns the refusal of a request. g.mu must be held.
func (g *Gateway) refuse(now time.Duration, x *requestState, p *places, d room.Decision) error {
	switch d.Reason {
	case room.ReasonStopping:
		return errStopping()
	case room.ReasonOutOfStep:
		return refusal.New(refusal.UnknownOrigin, refusal.NotRun, "%v", p.outOfStep).WithRetry(stateRetryAfter)
	case room.ReasonNoTarget:
		return g.noTarget(now, x)
	}
	wait, outlook := max(minRetryAfter, d.RetryIn), ""
	if !g.mayAwaitTarget(x, refusal.Overloaded) { // otherwise it is decided on again
		wait, outlook = g.nameReturn(now, x, d)
	}
	if d.Reason == room.ReasonYields {
		outlook = ", which more urgent requests leave" + outlook
	}
	return refusal.New(refusal.Overloaded, refusal.NotRun, "expected time to first byte of %s exceeds the limit of %s%s", d.Place.TTFB, d.Limit, outlook).WithRetry(wait)
}

// noTarget returns the refusal of a request for which there is no target. A stream cannot
// continue any more when the last target with its software has left. g.mu must be held.
func (g *Gateway) noTarget(now time.Duration, x *requestState) *refusal.Error {
	if wait := g.localWait(now, x); wait > 0 {
		return refusal.New(refusal.Overloaded, refusal.NotRun, "the targets of service %s take no requests for %s", x.service, wait).
			WithRetry(max(minRetryAfter, wait))
	}
	if x.origin == nil {
		return refusal.New(refusal.NoTarget, refusal.NotRun, "no target of service %s is available", x.service).WithRetry(stateRetryAfter)
	}
	refused := refusal.New(refusal.NoTarget, refusal.NotRun, "no target of service %s with software %s, which began the stream, is available", x.service, x.origin.Software)
	for _, r := range g.Table.InUse(g.Views.Current().hasService) {
		if r.Service == x.origin.Service && r.Software == x.origin.Software && r.State == registry.Ready &&
			document.AllowsRegion(x.route, x.workspace, g.RegionByDataCentre[r.DataCentre]) {
			return refused.WithRetry(targetRestartTime)
		}
	}
	return refused
}

// startAttempt records an attempt at a target with the placer. g.mu must be held.
func (g *Gateway) startAttempt(now time.Duration, x *requestState, c placement.Choice) *sendAttempt {
	s := &sendAttempt{target: c.Target.ID, address: c.Target.Address, software: c.Target.Software, startMillis: c.Target.StartMillis, softwareKnown: true}
	x.software = s.software
	if c.Source != nil {
		s.cacheSource = c.Source.Address
	}
	s.attempt = g.placer.Start(now, c.Target, &x.placementRequest)
	return s
}

// firstByteBudget returns how much longer the caller may wait for the first byte or,
// once the response has started, for the next event. idleTTFB is the time to first
// byte at a target without other work.
func (g *Gateway) firstByteBudget(now time.Duration, x *requestState, idleTTFB time.Duration) time.Duration {
	callerTimeout := x.deadline - x.started
	if x.route.Kind == document.Streaming {
		callerTimeout = min(callerTimeout, max(minStreamTimeout, streamTimeoutObjectives*x.route.FirstByteObjective, streamTimeoutGaps*x.route.MaxEventGap))
	}
	if x.responseStarted { // the caller waits for the next event of the stream
		return min(x.deadline, x.lastEventAt+callerTimeout*resumeTimeoutPercent/100) - now
	}
	if x.originSource != "" { // the caller of a resumed stream waits for its next event
		return min(x.deadline, x.started+callerTimeout*resumeTimeoutPercent/100) - now
	}
	limit := placement.FirstByteLimit(x.route.Priority, x.route.FirstByteObjective, callerTimeout, idleTTFB)
	if wait := x.hostWait + x.silentWait; wait > 0 {
		// The objective may be missed by the wait that the gateway or a silent target has
		// imposed, but the caller's timeout may not.
		limit = min(limit+wait, placement.FirstByteLimit(x.route.Priority, 0, callerTimeout, 0))
	}
	return limit - (now - x.started)
}

// remoteEstimate is the expected latency and cost of a request in another region.
type remoteEstimate struct {
	placement.Estimate
	cost float64
}

// bestRemoteHost returns a host of the region with the lowest expected cost among the
// regions that are allowed, or nil. The region of this host has its other hosts.
// Hosts that do not serve callers are a last resort: a host that is shutting down still
// accepts forwarded requests for a while. g.mu must be held.
func (g *Gateway) bestRemoteHost(now time.Duration, x *requestState, allowed func(region string) bool) (*peerHost, remoteEstimate) {
	var best *peerHost
	var bestEstimate remoteEstimate
	estimates := map[string]*remoteEstimate{} // by region; nil for regions that are excluded
	for _, h := range g.hosts {
		if g.LocalOnly || h.GetForward() == "" || now-h.lastHeard > hostTimeout || h.detachment.detached || x.unreachablePeers[h.GetName()] {
			continue
		}
		e, known := estimates[h.GetRegion()]
		if !known {
			if allowed(h.GetRegion()) {
				e = g.estimateRemote(now, x, h.GetRegion())
			}
			estimates[h.GetRegion()] = e
		}
		if e != nil && (best == nil || e.cost < bestEstimate.cost || e.cost == bestEstimate.cost && h.preferredOver(best, x.call.ID)) {
			best, bestEstimate = h, *e
		}
	}
	return best, bestEstimate
}

// estimateRemote returns the estimate of a request in another region, or nil if the
// request may not be sent there. g.mu must be held.
func (g *Gateway) estimateRemote(now time.Duration, x *requestState, region string) *remoteEstimate {
	if x.triedRegions[region] || !document.AllowsRegion(x.route, x.workspace, region) {
		return nil
	}
	if region == g.Region {
		return g.estimatePeer(now, x)
	}
	if x.origin != nil && !g.placer.ServedIn(region, &x.placementRequest) {
		return nil
	}
	e, ok := g.placer.EstimateRemote(now, g.remoteRegion(region), &x.placementRequest)
	if !ok {
		return nil
	}
	return &remoteEstimate{e, placement.RemoteCost(e, &x.placementRequest)}
}

// preferredOver orders the hosts of a region for the request with the id: hosts that
// serve callers come first, and rendezvous hashing spreads requests over them.
func (h *peerHost) preferredOver(other *peerHost, id string) bool {
	if h.GetServing() != other.GetServing() {
		return h.GetServing()
	}
	return rendezvous.Weight(id, h.GetName()) > rendezvous.Weight(id, other.GetName())
}

// remoteRegion returns the state of another region and creates it if it is missing.
// g.mu must be held.
func (g *Gateway) remoteRegion(name string) *placement.RemoteRegion {
	r := g.remoteRegions[name]
	if r == nil {
		r = placement.NewRemoteRegion()
		g.remoteRegions[name] = r
	}
	return r
}

// recordRemoteLoad stores the load that a host of another region sent with its
// response.
func (g *Gateway) recordRemoteLoad(x *requestState, s *sendAttempt, h http.Header) {
	load, ok := parseLoad(h.Get(headerLoad))
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	load.MeasuredAt = sinceBoot()
	g.remoteRegion(s.region).UpdateLoad(x.service, load)
}

// attempt sends the request to one destination and relays the response.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, x *requestState, s *sendAttempt) error {
	x.latest = s
	res, err := s.response, error(nil)
	if res == nil {
		s.begin(ctx)
		res, err = g.dispatch(s.ctx, x, s)
	}
	ctx = s.ctx
	defer s.cancel()
	outcome := placement.Cancelled
	if s.attempt != nil {
		defer func() { g.finishAttempt(x, s, outcome) }()
	}
	if err != nil {
		outcome = attemptOutcome(ctx, err)
		g.recordFailure(ctx, x, s, err)
		return err
	}
	defer res.Close()
	if s.forwarded && s.response == nil {
		if err := g.openForwarded(x, s, res); err != nil {
			return err
		}
	}
	class := g.classify(s, res)
	g.observe(s, class)
	if class.NotRun {
		outcome = placement.Rejected
		if class.Misdirected && s.attempt != nil {
			g.eject(s.attempt)
		}
		return &attemptError{ran: refusal.NotRun, retryAfter: g.availableIn(x), err: fmt.Errorf("target %s rejected the request with status %d", s.target, res.Status)}
	}
	g.recordAccepted(x)
	if err := x.checkContinuation(s, res, class); err != nil {
		outcome = placement.Failed
		return err
	}
	x.status = res.Status
	switch {
	case class.Success:
	case !class.Signed:
		outcome = placement.Failed
		return &attemptError{ran: refusal.Unknown, err: fmt.Errorf("response with status %d has no target signature", res.Status)}
	default:
		outcome = placement.Failed
		if failed := (&attemptError{ran: refusal.Unknown, retryTaken: true, err: fmt.Errorf("target failed with status %d", res.Status)}); g.mayRetry(x, failed) {
			return failed
		}
	}
	if err := g.relay(w, x, s, res, class); err != nil {
		if outcome == placement.Cancelled && ctx.Err() == nil {
			outcome = placement.Failed
		}
		g.recordFailure(ctx, x, s, err)
		return err
	}
	if class.Success {
		outcome = placement.Served
	}
	return nil
}

// begin sets the context of the attempt.
func (s *sendAttempt) begin(parent context.Context) {
	s.parent = parent
	s.ctx, s.cancel = context.WithCancel(parent)
}

// openForwarded reads what another host reports with its response to a forwarded request.
// It returns an error if that host sent the request to no target.
func (g *Gateway) openForwarded(x *requestState, s *sendAttempt, res *upstream.Response) error {
	g.recordRemoteLoad(x, s, res.Header)
	res.Header.Del(headerLoad)
	s.software, s.softwareKnown = decodeSoftware(res.Header)
	res.Header.Del(headerSoftware)
	if refusal.Ran(res.Header.Get(headerRan)) == ranNotAttempted {
		x.sends--
		x.triedRegions[s.region] = true
		if res.Header.Get(headerDetached) != "" {
			g.recordDetachedHost(x, s)
		}
		return &attemptError{ran: refusal.NotRun, unsent: true, err: fmt.Errorf("host %s refused the forwarded request", s.target)}
	}
	return nil
}

func attemptOutcome(ctx context.Context, err error) placement.Outcome {
	failed, ok := errors.AsType[*attemptError](err)
	switch {
	case ctx.Err() != nil || withheld(err):
		return placement.Cancelled
	case ok && failed.unsent:
		return placement.Unreachable
	}
	return placement.Broken
}

// withheld reports whether this host itself decided not to send a request, so that the error
// says nothing about its destination.
func withheld(err error) bool {
	_, refused := errors.AsType[*refusal.Error](err)
	return refused || errors.Is(err, errNotAccepted) || errors.Is(err, errNoPermit) || errors.Is(err, errOutOfStep) || errors.Is(err, errNoRetry) || errors.Is(err, errCallerGone)
}

func (g *Gateway) finishAttempt(x *requestState, s *sendAttempt, o placement.Outcome) {
	now := sinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.Done(now, s.attempt, o)
	g.closeIfLeaving(s)
	if o == placement.Served {
		g.quarantine.RecordServed(now, x.suspectKeys)
	}
}

func (g *Gateway) eject(a *placement.Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.Eject(a, sinceBoot()+misdirectedEjection)
}

// dispatch sends the request and waits for the headers of the response.
func (g *Gateway) dispatch(ctx context.Context, x *requestState, s *sendAttempt) (*upstream.Response, error) {
	if err := g.takePermit(ctx, x, s); err != nil {
		return nil, err
	}
	now := sinceBoot()
	remaining := x.deadline - now - targetDeadlineMargin
	if remaining <= 0 {
		return nil, &attemptError{ran: refusal.NotRun, unsent: true, err: fmt.Errorf("deadline reached before the request was sent")}
	}
	if err := g.checkKeyLease(now, x); err != nil {
		return nil, &attemptError{ran: refusal.NotRun, unsent: true, err: err}
	}
	if err := g.checkAccepted(now, x, s); err != nil {
		return nil, err
	}
	header := x.header.Clone()
	pool, dialTimeout := g.localPool, s.connectTimeout
	if s.forwarded {
		pool, dialTimeout = g.remotePool, 0
		if err := setForwardHeader(header, x.forwardedRequest(s, remaining)); err != nil {
			return nil, err
		}
	} else {
		g.TargetProtocol.SetDispatch(header, Dispatch{Target: s.target, Workspace: x.workspaceName(), Remaining: remaining, Urgency: x.urgency, LastEvent: x.lastEvent, CacheSource: s.cacheSource})
	}
	x.sends++
	var unidentified *Classification
	res, err := pool.Do(ctx, &upstream.Request{Address: s.address, Method: x.request.Method, RequestURI: x.request.RequestURI,
		Host: x.request.Host, Header: header, Body: x.body, RecentConnOnly: !x.route.Repeatable(),
		Confirm: g.confirmation(x, s), DialTimeout: dialTimeout, Repeatable: x.route.Repeatable(), BeforeWrite: func() error { return g.beginSend(x, s) }, AfterWrite: func() { g.endSend(s) }, OnSilence: g.onSilence(x, s),
		Match: func(status int, h http.Header) upstream.Match {
			match := g.TargetProtocol.MatchRequest(x.call.ID, status, h)
			if s.forwarded && (h.Get(headerRan) != "" || match == upstream.Unidentified) {
				return upstream.Own // a host answers a request once, and passes on a response without an id
			}
			if match == upstream.Unidentified {
				c := g.TargetProtocol.Classify(status, h)
				c.NotRun = false // nothing shows which request it rejects
				unidentified = &c
			}
			return match
		}})
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		x.sends--
		if s.forwarded && !withheld(err) {
			g.recordUnreachablePeer(x, s)
		}
		return nil, &attemptError{ran: refusal.NotRun, unsent: true, err: err}
	case err != nil:
		if !s.forwarded {
			pool.CloseIdle(s.address)
		}
		if unidentified != nil {
			g.observe(s, *unidentified)
		}
		return nil, &attemptError{ran: refusal.Unknown, err: err}
	}
	if s.received = res; res.Unframed {
		g.requestMetrics.unframed.Inc(1)
	}
	return res, nil
}

// confirmation returns the request that confirms the end of a response without a length or
// chunks. Other hosts send none: they have confirmed what they pass on.
func (g *Gateway) confirmation(x *requestState, s *sendAttempt) *upstream.Confirmation {
	view := x.view
	if view == nil {
		view = g.Views.Current()
	}
	if s.forwarded || view == nil || view.Config == nil {
		return nil
	}
	service := view.Config.Service(x.service)
	if service == nil {
		return nil
	}
	c := g.TargetProtocol.Confirmation(s.target, s.startMillis, service)
	if c == nil {
		return nil
	}
	check := c.Check
	c.Check = func(status int, h http.Header, body io.Reader) error {
		usable := g.Views.Current().hasService
		record, known := g.Table.Find(s.target, usable)
		if _, later := g.Table.LaterProcess(s.target, s.startMillis, usable); later || known && record.StartMillis != s.startMillis {
			return fmt.Errorf("target %s has started again", s.target)
		}
		return check(status, h, body)
	}
	return c
}

// forwardedRequest returns what the host to which a request is forwarded has to know of it.
func (x *requestState) forwardedRequest(s *sendAttempt, remaining time.Duration) forwardedRequest {
	return forwardedRequest{Service: x.service, Workspace: x.workspaceName(), RemainingMS: remaining.Milliseconds(),
		WaitMS: s.firstByteLimit.Milliseconds(), ConnectMS: s.connectTimeout.Milliseconds(), ObjectiveMS: x.route.FirstByteObjective.Milliseconds(), Urgency: x.urgency, LastEvent: x.lastEvent, AtMostOnce: !x.route.Repeatable(),
		RegionBound: x.placementRequest.RegionBound, Priority: &x.route.Priority, Software: x.placementRequest.Software, Streaming: x.route.Kind == document.Streaming}
}

// recordRequest adds a caller's request to the retry budget of its service. A forwarded
// request counts at the host that its caller sent it to.
func (g *Gateway) recordRequest(x *requestState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(x.service).RecordRequest(sinceBoot())
}

func (x *requestState) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

const (
	// maxUrgency is the largest urgency, that of the least urgent requests, that targets
	// accept. urgencyStep is the difference between two workspace priorities.
	maxUrgency  = 9
	urgencyStep = 3
)

// urgency returns the urgency of a request at its target. It follows the priority of
// the workspace, or of the route if there is no workspace. Routes of one workspace are
// not ranked against each other at the target: requests that queue there behind more
// urgent ones mostly time out, while an immediate refusal lets the caller retry.
func (g *Gateway) urgency(x *requestState) int {
	priority := x.route.Priority
	if x.workspace != nil && !x.route.Public {
		priority = x.workspace.Priority
	}
	return min(maxUrgency, urgencyStep*min(maxUrgency, max(0, priority)))
}

// classify classifies a response by its status and headers.
func (g *Gateway) classify(s *sendAttempt, res *upstream.Response) Classification {
	if s.forwarded {
		switch refusal.Ran(res.Header.Get(headerRan)) {
		case refusal.NotRun:
			return Classification{NotRun: true}
		case refusal.Unknown:
			return Classification{}
		}
	}
	return g.TargetProtocol.Classify(res.Status, res.Header)
}
