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
	// maxUnsent bounds the targets that are tried without a connection.
	maxUnsent = 4
	// maxRejected bounds the targets that may reject one request.
	maxRejected = 2
	// leastTime is the remaining time below which a request is not sent again.
	leastTime = 150 * time.Millisecond
	// leastPatience, objectivePatience and gapPatience give the time after which
	// callers leave a stream without an event.
	leastPatience     = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
	// gapPart is the part in 100 of the time after which callers leave a stream without
	// an event that may pass before it goes on.
	gapPart = 80
	// rejectedPause is how long a target that has another's address is passed over.
	rejectedPause = 1500 * time.Millisecond
	// forwardGain is how much less the expected cost must be in another region, as
	// a part of the credit of a request.
	forwardGain = 0.12
	// loadAge is the silence of another host after which it gets no requests.
	loadAge = 2500 * time.Millisecond
)

// attemptError is the end of one send.
type attemptError struct {
	ran refusal.Ran
	// unsent means that no connection was established.
	unsent bool
	// taken means that a repeat was already taken from the budget.
	taken bool
	// retryAfter is when the target expects to have room; 0 when it does not say.
	retryAfter time.Duration
	err        error
}

func (e *attemptError) Error() string { return e.err.Error() }
func (e *attemptError) Unwrap() error { return e.err }

// send is the destination of one attempt.
type send struct {
	use     *placement.Attempt
	target  string
	address string
	forward bool
	// region is that of a host that the request is forwarded to, and patience how long
	// it may wait for the first byte there.
	region   string
	patience time.Duration
	// source has parts of the prompt that the target lacks, or "".
	source string
	// begun is set at the first byte of the answer.
	begun bool
}

// run sends the request until it is answered or may not be sent again.
func (g *Gateway) run(ctx context.Context, w http.ResponseWriter, x *exchange) error {
	unsent, rejected := 0, 0
	var last error
	for {
		s, err := g.choose(x)
		if refused, ok := errors.AsType[*refusal.Error](err); ok && g.awaitTarget(ctx, x, refused) {
			continue
		}
		if err != nil {
			return endOf(x, last, err)
		}
		err = g.attempt(ctx, w, x, s)
		if err == nil || errors.Is(err, errCallerGone) {
			return err
		}
		last = err
		failed, ok := errors.AsType[*attemptError](err)
		if !ok {
			x.ran = refusal.Unknown
			return endOf(x, last, err)
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
			return endOf(x, last, err)
		}
		if unsent > maxUnsent || rejected > maxRejected || !failed.taken && !g.mayRepeat(x, failed) {
			return endOf(x, last, err)
		}
	}
}

// endOf turns the end of the attempts into what the caller is told.
func endOf(x *exchange, last, err error) error {
	if x.answered {
		return fmt.Errorf("%w: %v", errCut, err)
	}
	if refused, ok := errors.AsType[*refusal.Error](err); ok {
		return refused
	}
	if last == nil {
		last = err
	}
	if x.ran == refusal.NotRun {
		after := shortRetry
		if failed, ok := errors.AsType[*attemptError](last); ok {
			after = max(after, failed.retryAfter)
		}
		return refusal.New(refusal.Overloaded, refusal.NotRun, "%v", last).WithRetry(after)
	}
	return refusal.New(refusal.TargetFailed, refusal.Unknown, "%v", last)
}

func (g *Gateway) logAttempt(x *exchange, s *send, failed *attemptError) {
	g.Log.WithFields(logrus.Fields{"id": x.call.ID, "target": s.target, "forward": s.forward, "ran": string(failed.ran),
		"unsent": failed.unsent, "error": failed.Error(), "last_event": x.last}).Info("attempt failed")
}

// mayRepeat decides whether a request is sent once more and takes the repeat from
// the budget.
func (g *Gateway) mayRepeat(x *exchange, failed *attemptError) bool {
	now := sinceBoot()
	if x.deadline-now < leastTime {
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
	if !g.budget(x.service).TakeRetry(now, g.retrySlack(now)) {
		return false
	}
	g.measures.retries.Inc(1)
	return true
}

// choose finds the destination of the next attempt, or refuses.
func (g *Gateway) choose(x *exchange) (*send, error) {
	now := sinceBoot()
	x.place.TimeLeft = x.deadline - now
	g.mu.Lock()
	defer g.mu.Unlock()
	var local placement.Choice
	usable := false
	if document.AllowsRegion(x.route, x.workspace, g.Region) {
		local, usable = g.placer.Choose(now, &x.place, func(id string) bool { return x.tried[id] })
	}
	remote, there := g.remoteFor(now, x)
	if remote != nil && (!usable || there.cost+forwardGain < local.Cost) {
		local = placement.Choice{Estimate: there.Estimate}
	} else {
		remote = nil
	}
	x.chosen = local
	patience := g.patience(now, x, local.IdleTTFB)
	switch {
	case remote == nil && !usable:
		return nil, refusal.New(refusal.NoTarget, refusal.NotRun, "no target of service %s can take the request", x.service).WithRetry(settleRetry)
	case local.TTFB > patience:
		return nil, refusal.New(refusal.Overloaded, refusal.NotRun, "the first byte is expected after %s, the caller waits for %s", local.TTFB, patience).
			WithRetry(max(shortRetry, local.TTFB-patience))
	}
	if remote != nil {
		x.regions[remote.GetRegion()] = true
		x.forward, x.target = remote.GetName(), remote.GetName()
		g.region(remote.GetRegion()).RecordSent(now)
		g.measures.forwarded.Inc(1)
		return &send{target: remote.GetName(), address: remote.GetForward(), forward: true, region: remote.GetRegion(),
			patience: placement.RemoteFirstByteLimit(patience)}, nil
	}
	x.tried[local.Target.ID] = true
	x.target = local.Target.ID
	return g.start(now, x, local), nil
}

// start records that a request is sent to a target, with g.mu held.
func (g *Gateway) start(now time.Duration, x *exchange, c placement.Choice) *send {
	s := &send{target: c.Target.ID, address: c.Target.Address}
	if c.Source != nil {
		s.source = c.Source.Address
	}
	s.use = g.placer.Start(now, c.Target, &x.place)
	return s
}

// patience is how much longer the caller of a request may be made to wait for the
// first byte, where it would wait for some time without other work.
func (g *Gateway) patience(now time.Duration, x *exchange, alone time.Duration) time.Duration {
	leave := x.deadline - x.started
	if x.route.Kind == document.Streaming {
		leave = min(leave, max(leastPatience, objectivePatience*x.route.FirstByteObjective, gapPatience*x.route.MaxEventGap))
	}
	if x.answered { // the caller has a part of the stream and waits for the next event
		return min(x.deadline, x.lastAt+leave*gapPart/100) - now
	}
	return placement.FirstByteLimit(x.route.Priority, x.route.FirstByteObjective, leave, alone) - (now - x.started)
}

// elsewhere is what a request may expect in another region.
type elsewhere struct {
	placement.Estimate
	cost float64
}

// remoteFor returns a host of the other region with the least expected cost, with
// g.mu held. Hosts that do not serve callers are a last resort: one that shuts down
// still takes forwarded requests for a while.
func (g *Gateway) remoteFor(now time.Duration, x *exchange) (*peerHost, elsewhere) {
	var best *peerHost
	var least elsewhere
	costs := map[string]*elsewhere{} // by region; nil for those that are no choice
	for _, h := range g.hosts {
		if g.LocalOnly || h.GetRegion() == g.Region || h.GetForward() == "" || now-h.heard > loadAge {
			continue
		}
		c, known := costs[h.GetRegion()]
		if !known {
			c = g.expectElsewhere(now, x, h.GetRegion())
			costs[h.GetRegion()] = c
		}
		if c != nil && (best == nil || c.cost < least.cost || c.cost == least.cost && h.before(best, x.call.ID)) {
			best, least = h, *c
		}
	}
	return best, least
}

// expectElsewhere returns what a request may expect in another region, or nil when it
// may not go there.
func (g *Gateway) expectElsewhere(now time.Duration, x *exchange, region string) *elsewhere {
	if x.regions[region] || !document.AllowsRegion(x.route, x.workspace, region) {
		return nil
	}
	e, ok := g.placer.EstimateRemote(now, g.region(region), &x.place)
	if !ok {
		return nil
	}
	return &elsewhere{e, placement.RemoteCost(e, &x.place, len(x.body))}
}

// before orders the hosts of a region for a request, so that requests spread over
// them: those that serve come first.
func (h *peerHost) before(other *peerHost, id string) bool {
	if h.GetServing() != other.GetServing() {
		return h.GetServing()
	}
	return rendezvous.Weight(id, h.GetName()) > rendezvous.Weight(id, other.GetName())
}

// region returns what is known of another region, with g.mu held.
func (g *Gateway) region(name string) *placement.RemoteRegion {
	r := g.regions[name]
	if r == nil {
		r = placement.NewRemoteRegion()
		g.regions[name] = r
	}
	return r
}

// learnLoad takes the load that came with the answer of a host of another region.
func (g *Gateway) learnLoad(x *exchange, s *send, h http.Header) {
	load, ok := decodeLoad(h.Get(headerLoad))
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	load.MeasuredAt = sinceBoot()
	g.region(s.region).UpdateLoad(x.service, load)
}

// attempt sends the request to one destination and passes the answer on.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, x *exchange, s *send) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	res, err := g.dispatch(ctx, x, s)
	outcome := placement.Cancelled
	if s.use != nil {
		defer func() { g.done(s.use, outcome) }()
	}
	if err != nil {
		outcome = outcomeOf(ctx, err)
		return err
	}
	defer res.Close()
	if s.forward {
		g.learnLoad(x, s, res.Header)
		res.Header.Del(headerLoad)
		if refusal.Ran(res.Header.Get(headerRan)) == ranNowhere {
			x.sends--
			return &attemptError{ran: refusal.NotRun, unsent: true, err: fmt.Errorf("host %s refused the request", s.target)}
		}
	}
	verdict := g.judge(s, res)
	if verdict.NotRun {
		outcome = placement.Rejected
		if verdict.Misdirected && s.use != nil {
			g.eject(s.use)
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
		if failed := (&attemptError{ran: refusal.Unknown, taken: true, err: fmt.Errorf("the target failed with status %d", res.Status)}); !x.answered && g.mayRepeat(x, failed) {
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

func outcomeOf(ctx context.Context, err error) placement.Outcome {
	failed, ok := errors.AsType[*attemptError](err)
	switch {
	case ctx.Err() != nil:
		return placement.Cancelled
	case ok && failed.unsent:
		return placement.Unreachable
	}
	return placement.Broken
}

func (g *Gateway) done(u *placement.Attempt, o placement.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.Done(sinceBoot(), u, o)
}

func (g *Gateway) eject(u *placement.Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.Eject(u, sinceBoot()+rejectedPause)
}

// dispatch writes the request and waits for the head of the answer.
func (g *Gateway) dispatch(ctx context.Context, x *exchange, s *send) (*upstream.Response, error) {
	now := sinceBoot()
	remaining := x.deadline - now - sendMargin
	if remaining <= 0 {
		return nil, &attemptError{ran: refusal.NotRun, unsent: true, err: fmt.Errorf("no time left")}
	}
	header := x.header.Clone()
	pool := g.local
	if s.forward {
		pool = g.remote
		if err := setForward(header, forwarded{Service: x.service, Workspace: x.workspaceName(), RemainingMS: remaining.Milliseconds(),
			WaitMS: s.patience.Milliseconds(), ObjectiveMS: x.route.FirstByteObjective.Milliseconds(), Urgency: x.urgency, LastEvent: x.last, Careful: !x.route.Repeatable(), Bound: x.place.RegionBound}); err != nil {
			return nil, err
		}
	} else {
		g.TargetProtocol.SetDispatch(header, Dispatch{Target: s.target, Workspace: x.workspaceName(), Remaining: remaining, Urgency: x.urgency, LastEvent: x.last, CacheSource: s.source})
	}
	g.count(x, now)
	res, err := pool.Do(ctx, &upstream.Request{Address: s.address, Method: x.request.Method, RequestURI: x.request.RequestURI,
		Host: x.request.Host, Header: header, Body: x.body, RecentConnOnly: !x.route.Repeatable(),
		Matches: func(status int, h http.Header) bool {
			return s.forward && h.Get(headerRan) != "" || g.TargetProtocol.MatchesRequest(x.call.ID, status, h)
		}})
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		x.sends--
		return nil, &attemptError{ran: refusal.NotRun, unsent: true, err: err}
	case err != nil:
		if !s.forward {
			pool.CloseIdle(s.address)
		}
		return nil, &attemptError{ran: refusal.Unknown, err: err}
	}
	return res, nil
}

// count records a send; the first one of a request earns repeats.
func (g *Gateway) count(x *exchange, now time.Duration) {
	x.sends++
	if x.sends > 1 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(x.service).RecordRequest(now)
}

func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

const (
	// leastUrgent is the last rank that targets know, and urgencyStep the difference
	// between two priorities of workspaces.
	leastUrgent = 9
	urgencyStep = 3
)

// urgency ranks a request for its target by the priority of its workspace, and by
// that of the route where there is none. Routes of one workspace are not ranked at
// the target: requests that wait there behind more urgent ones are mostly lost, while
// a refusal at once lets the caller come back.
func (g *Gateway) urgency(x *exchange) int {
	priority := x.route.Priority
	if x.workspace != nil && !x.route.Public {
		priority = x.workspace.Priority
	}
	return min(leastUrgent, urgencyStep*max(0, priority))
}

// judge reads the head of an answer.
func (g *Gateway) judge(s *send, res *upstream.Response) Classification {
	if s.forward {
		switch refusal.Ran(res.Header.Get(headerRan)) {
		case refusal.NotRun:
			return Classification{NotRun: true}
		case refusal.Unknown:
			return Classification{}
		}
	}
	return g.TargetProtocol.Classify(res.Status, res.Header)
}
