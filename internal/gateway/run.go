package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rendezvous"
	"geraniumturn.example/geraniumturn/internal/upstream"
)

const (
	// maxUnsentAttempts bounds the targets that are tried without a connection.
	maxUnsentAttempts = 4
	// maxRejections bounds the targets that may reject one request.
	maxRejections = 2
	// minRetryTime is the remaining time below which a request is not sent again.
	minRetryTime = 150 * time.Millisecond
	// minStreamTimeout, objectivePatience and gapPatience give the time after which
	// callers leave a stream without an event.
	minStreamTimeout        = 2 * time.Second
	streamTimeoutObjectives = 4
	streamTimeoutGaps       = 8
	// resumeTimeoutPercent is the part in 100 of the time after which callers leave a stream without
	// an event that may pass before it goes on.
	resumeTimeoutPercent = 80
	// misdirectedEjection is how long a target that has another's address is passed over.
	misdirectedEjection = 1500 * time.Millisecond
	// minForwardGain is how much less the expected cost must be in another region, as
	// a part of the credit of a request.
	minForwardGain = 0.12
	// hostTimeout is the silence of another host after which it gets no requests.
	hostTimeout = 2500 * time.Millisecond
)

// attemptError is the end of one send.
type attemptError struct {
	ran refusal.Ran
	// unsent means that no connection was established.
	unsent bool
	// retryTaken means that a repeat was already retryTaken from the budget.
	retryTaken bool
	// retryAfter is when the target expects to have room; 0 when it does not say.
	retryAfter time.Duration
	err        error
}

func (e *attemptError) Error() string { return e.err.Error() }
func (e *attemptError) Unwrap() error { return e.err }

// sendAttempt is the destination of one attempt.
type sendAttempt struct {
	attempt   *placement.Attempt
	target    string
	address   string
	forwarded bool
	// region is that of a host that the request is forwarded to, and patience how long
	// it may wait for the first byte there.
	region         string
	firstByteLimit time.Duration
	// cacheSource has parts of the prompt that the target lacks, or "".
	cacheSource string
	// firstByteSeen is set at the first byte of the answer.
	firstByteSeen bool
}

// run sends the request until it is answered or may not be sent again.
func (g *Gateway) run(ctx context.Context, w http.ResponseWriter, x *requestState) error {
	unsent, rejected := 0, 0
	var last error
	for {
		s, err := g.chooseDestination(x)
		if refused, ok := errors.AsType[*refusal.Error](err); ok && g.awaitTarget(ctx, x, refused) {
			continue
		}
		if err != nil {
			return finalError(x, last, err)
		}
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
		case failed.ran == refusal.NotRun:
			rejected++
		default:
			x.ran = refusal.Unknown
		}
		if ctx.Err() != nil {
			return finalError(x, last, err)
		}
		if unsent > maxUnsentAttempts || rejected > maxRejections || !failed.retryTaken && !g.mayRetry(x, failed) {
			return finalError(x, last, err)
		}
	}
}

// finalError turns the end of the attempts into what the caller is told.
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
	g.Log.WithFields(logrus.Fields{"id": x.call.ID, "target": s.target, "forward": s.forwarded, "ran": string(failed.ran),
		"unsent": failed.unsent, "error": failed.Error(), "last_event": x.lastEvent}).Info("attempt failed")
}

// mayRetry decides whether a request is sent once more and takes the repeat from
// the budget.
func (g *Gateway) mayRetry(x *requestState, failed *attemptError) bool {
	now := sinceBoot()
	if x.deadline-now < minRetryTime {
		return false
	}
	if failed.unsent {
		return true
	}
	if failed.ran != refusal.NotRun && (!x.route.Repeatable() || x.sends >= max(1, x.route.MaxAttempts)) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.retryBudget(x.service).TakeRetry(now, g.retrySlack(now)) {
		return false
	}
	g.requestMetrics.retries.Inc(1)
	return true
}

// chooseDestination finds the destination of the next attempt, or refuses.
func (g *Gateway) chooseDestination(x *requestState) (*sendAttempt, error) {
	now := sinceBoot()
	x.placementRequest.TimeLeft = x.deadline - now
	g.mu.Lock()
	defer g.mu.Unlock()
	var local placement.Choice
	usable := false
	if document.AllowsRegion(x.route, x.workspace, g.Region) {
		local, usable = g.placer.Choose(now, &x.placementRequest, func(id string) bool { return x.triedTargets[id] })
	}
	remote, there := g.bestRemoteHost(now, x)
	if remote != nil && (!usable || there.cost+minForwardGain < local.Cost) {
		local = placement.Choice{Estimate: there.Estimate}
	} else {
		remote = nil
	}
	x.choice = local
	patience := g.firstByteBudget(now, x, local.IdleTTFB)
	switch {
	case remote == nil && !usable:
		return nil, refusal.New(refusal.NoTarget, refusal.NotRun, "no target of service %s can take the request", x.service).WithRetry(stateRetryAfter)
	case local.TTFB > patience:
		return nil, refusal.New(refusal.Overloaded, refusal.NotRun, "the first byte is expected after %s, the caller waits for %s", local.TTFB, patience).
			WithRetry(max(minRetryAfter, local.TTFB-patience))
	}
	if remote != nil {
		x.triedRegions[remote.GetRegion()] = true
		x.forwardHost, x.target = remote.GetName(), remote.GetName()
		g.remoteRegion(remote.GetRegion()).RecordSent(now)
		g.requestMetrics.forwarded.Inc(1)
		return &sendAttempt{target: remote.GetName(), address: remote.GetForward(), forwarded: true, region: remote.GetRegion(),
			firstByteLimit: placement.RemoteFirstByteLimit(patience)}, nil
	}
	x.triedTargets[local.Target.ID] = true
	x.target = local.Target.ID
	return g.startAttempt(now, x, local), nil
}

// startAttempt records that a request is sent to a target, with g.mu held.
func (g *Gateway) startAttempt(now time.Duration, x *requestState, c placement.Choice) *sendAttempt {
	s := &sendAttempt{target: c.Target.ID, address: c.Target.Address}
	if c.Source != nil {
		s.cacheSource = c.Source.Address
	}
	s.attempt = g.placer.Start(now, c.Target, &x.placementRequest)
	return s
}

// firstByteBudget is how much longer the caller of a request may be made to wait for the
// first byte, where it would wait for some time without other work.
func (g *Gateway) firstByteBudget(now time.Duration, x *requestState, alone time.Duration) time.Duration {
	leave := x.deadline - x.started
	if x.route.Kind == document.Streaming {
		leave = min(leave, max(minStreamTimeout, streamTimeoutObjectives*x.route.FirstByteObjective, streamTimeoutGaps*x.route.MaxEventGap))
	}
	if x.responseStarted { // the caller has a part of the stream and waits for the next event
		return min(x.deadline, x.lastEventAt+leave*resumeTimeoutPercent/100) - now
	}
	return placement.FirstByteLimit(x.route.Priority, x.route.FirstByteObjective, leave, alone) - (now - x.started)
}

// remoteEstimate is what a request may expect in another region.
type remoteEstimate struct {
	placement.Estimate
	cost float64
}

// bestRemoteHost returns a host of the other region with the least expected cost, with
// g.mu held. Hosts that do not serve callers are a last resort: one that shuts down
// still takes forwarded requests for a while.
func (g *Gateway) bestRemoteHost(now time.Duration, x *requestState) (*peerHost, remoteEstimate) {
	var best *peerHost
	var least remoteEstimate
	costs := map[string]*remoteEstimate{} // by region; nil for those that are no choice
	for _, h := range g.hosts {
		if g.LocalOnly || h.GetRegion() == g.Region || h.GetForward() == "" || now-h.lastHeard > hostTimeout {
			continue
		}
		c, known := costs[h.GetRegion()]
		if !known {
			c = g.estimateRemote(now, x, h.GetRegion())
			costs[h.GetRegion()] = c
		}
		if c != nil && (best == nil || c.cost < least.cost || c.cost == least.cost && h.preferredOver(best, x.call.ID)) {
			best, least = h, *c
		}
	}
	return best, least
}

// estimateRemote returns what a request may expect in another region, or nil when it
// may not go there.
func (g *Gateway) estimateRemote(now time.Duration, x *requestState, region string) *remoteEstimate {
	if x.triedRegions[region] || !document.AllowsRegion(x.route, x.workspace, region) {
		return nil
	}
	e, ok := g.placer.EstimateRemote(now, g.remoteRegion(region), &x.placementRequest)
	if !ok {
		return nil
	}
	return &remoteEstimate{e, placement.RemoteCost(e, &x.placementRequest, len(x.body))}
}

// preferredOver orders the hosts of a region for a request, so that requests spread over
// them: those that serve come first.
func (h *peerHost) preferredOver(other *peerHost, id string) bool {
	if h.GetServing() != other.GetServing() {
		return h.GetServing()
	}
	return rendezvous.Weight(id, h.GetName()) > rendezvous.Weight(id, other.GetName())
}

// remoteRegion returns what is known of another remoteRegion, with g.mu held.
func (g *Gateway) remoteRegion(name string) *placement.RemoteRegion {
	r := g.remoteRegions[name]
	if r == nil {
		r = placement.NewRemoteRegion()
		g.remoteRegions[name] = r
	}
	return r
}

// recordRemoteLoad takes the load that came with the answer of a host of another region.
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

// attempt sends the request to one destination and passes the answer on.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, x *requestState, s *sendAttempt) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	res, err := g.dispatch(ctx, x, s)
	outcome := placement.Cancelled
	if s.attempt != nil {
		defer func() { g.finishAttempt(s.attempt, outcome) }()
	}
	if err != nil {
		outcome = attemptOutcome(ctx, err)
		return err
	}
	defer res.Close()
	if s.forwarded {
		g.recordRemoteLoad(x, s, res.Header)
		res.Header.Del(headerLoad)
		if refusal.Ran(res.Header.Get(headerRan)) == ranNotAttempted {
			x.sends--
			return &attemptError{ran: refusal.NotRun, unsent: true, err: fmt.Errorf("host %s refused the request", s.target)}
		}
	}
	verdict := g.classify(s, res)
	if verdict.NotRun {
		outcome = placement.Rejected
		if verdict.Misdirected && s.attempt != nil {
			g.eject(s.attempt)
		}
		return &attemptError{ran: refusal.NotRun, err: fmt.Errorf("target %s rejected the request with status %d", s.target, res.Status)}
	}
	x.status = res.Status
	switch {
	case verdict.Success:
	case !verdict.Signed:
		outcome = placement.Failed
		return &attemptError{ran: refusal.Unknown, err: fmt.Errorf("status %d without a target's signature", res.Status)}
	default:
		outcome = placement.Failed
		if failed := (&attemptError{ran: refusal.Unknown, retryTaken: true, err: fmt.Errorf("the target failed with status %d", res.Status)}); !x.responseStarted && g.mayRetry(x, failed) {
			return failed
		}
	}
	if err := g.relay(ctx, cancel, w, x, s, res, verdict); err != nil {
		if outcome == placement.Cancelled && ctx.Err() == nil {
			outcome = placement.Failed
		}
		return err
	}
	if verdict.Success {
		outcome = placement.Served
	}
	return nil
}

func attemptOutcome(ctx context.Context, err error) placement.Outcome {
	failed, ok := errors.AsType[*attemptError](err)
	switch {
	case ctx.Err() != nil:
		return placement.Cancelled
	case ok && failed.unsent:
		return placement.Unreachable
	}
	return placement.Broken
}

func (g *Gateway) finishAttempt(u *placement.Attempt, o placement.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.Done(sinceBoot(), u, o)
}

func (g *Gateway) eject(u *placement.Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.Eject(u, sinceBoot()+misdirectedEjection)
}

// dispatch writes the request and waits for the head of the answer.
func (g *Gateway) dispatch(ctx context.Context, x *requestState, s *sendAttempt) (*upstream.Response, error) {
	now := sinceBoot()
	remaining := x.deadline - now - targetDeadlineMargin
	if remaining <= 0 {
		return nil, &attemptError{ran: refusal.NotRun, unsent: true, err: fmt.Errorf("no time left")}
	}
	header := x.header.Clone()
	pool := g.local
	if s.forwarded {
		pool = g.remote
		if err := setForwardHeader(header, forwardedRequest{Service: x.service, Workspace: x.workspaceName(), RemainingMS: remaining.Milliseconds(),
			WaitMS: s.firstByteLimit.Milliseconds(), ObjectiveMS: x.route.FirstByteObjective.Milliseconds(), Urgency: x.urgency, LastEvent: x.lastEvent, AtMostOnce: !x.route.Repeatable(), RegionBound: x.placementRequest.RegionBound}); err != nil {
			return nil, err
		}
	} else {
		g.TargetProtocol.SetDispatch(header, Dispatch{Target: s.target, Workspace: x.workspaceName(), Remaining: remaining, Urgency: x.urgency, LastEvent: x.lastEvent, CacheSource: s.cacheSource})
	}
	g.countSend(x, now)
	res, err := pool.Do(ctx, &upstream.Request{Address: s.address, Method: x.request.Method, RequestURI: x.request.RequestURI,
		Host: x.request.Host, Header: header, Body: x.body, RecentConnOnly: !x.route.Repeatable(),
		Matches: func(status int, h http.Header) bool {
			return s.forwarded && h.Get(headerRan) != "" || g.TargetProtocol.MatchesRequest(x.call.ID, status, h)
		}})
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		x.sends--
		return nil, &attemptError{ran: refusal.NotRun, unsent: true, err: err}
	case err != nil:
		if !s.forwarded {
			pool.CloseIdle(s.address)
		}
		return nil, &attemptError{ran: refusal.Unknown, err: err}
	}
	return res, nil
}

// countSend records a send; the first one of a request earns repeats.
func (g *Gateway) countSend(x *requestState, now time.Duration) {
	x.sends++
	if x.sends > 1 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(x.service).RecordRequest(now)
}

func (x *requestState) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

const (
	// maxUrgency is the last rank that targets know, and urgencyStep the difference
	// between two priorities of workspaces.
	maxUrgency  = 9
	urgencyStep = 3
)

// urgency ranks a request for its target by the priority of its workspace, and by
// that of the route where there is none. Routes of one workspace are not ranked at
// the target: requests that wait there behind more urgent ones are mostly lost, while
// a refusal at once lets the caller come back.
func (g *Gateway) urgency(x *requestState) int {
	priority := x.route.Priority
	if x.workspace != nil && !x.route.Public {
		priority = x.workspace.Priority
	}
	return min(maxUrgency, urgencyStep*max(0, priority))
}

// classify reads the head of an answer.
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
