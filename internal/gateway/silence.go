package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/refusal"
)

// replaceOverlap is how long a silent target is kept after its request was sent to another
// one. It covers a refusal by a host of another region.
const replaceOverlap = 300 * time.Millisecond

// replaceConnectTimeout is how long a host of another region may take to connect to its
// target for such a request, so that its refusal arrives within replaceOverlap.
const replaceConnectTimeout = 100 * time.Millisecond

var (
	// errSilent means that a target is silent and that another one takes over its request.
	errSilent  = errors.New("gateway: the target is silent")
	errNoRetry = errors.New("the retry budget is exhausted")
)

// onSilence returns the function that is called while the target of an attempt is silent;
// nil if the request may not be repeated.
func (g *Gateway) onSilence(x *requestState, s *sendAttempt) func() error {
	if !x.mayRepeat() {
		return nil
	}
	sentAt, waited, logged := sinceBoot(), x.silentWait, false
	return func() error {
		silence := sinceBoot() - sentAt
		x.silentWait = waited + silence
		err := g.replaceSilent(x, s, silence, !logged)
		logged = true
		return err
	}
}

// replaceSilent sends the request of a silent target to another destination and returns
// errSilent if that one responds. If not, the target is kept, which is logged if logKept is
// set.
func (g *Gateway) replaceSilent(x *requestState, s *sendAttempt, silence time.Duration, logKept bool) error {
	if logKept && !s.forwarded && !x.responseStarted {
		go g.probe(s.address)
	}
	next, err := g.chooseReplacement(x)
	if next != nil {
		err = g.sendReplacement(x, s, next)
		logKept = true
	}
	if err != nil && !logKept {
		return nil
	}
	fields := logrus.Fields{"id": x.call.ID, "target": s.target, "forward": s.forwarded, "last_event": x.lastEvent, "silent_ms": silence.Milliseconds()}
	if next != nil {
		fields["next"] = next.target
	}
	if err != nil {
		fields["kept"] = err.Error()
		g.requestMetrics.keptSilent.Inc(1)
	}
	g.Log.WithFields(fields).Info("target silent")
	if err != nil {
		return nil
	}
	return errSilent
}

// chooseReplacement starts another attempt of a request whose target is silent. It returns
// an error if the request cannot continue elsewhere.
func (g *Gateway) chooseReplacement(x *requestState) (*sendAttempt, error) {
	switch {
	case !x.mayRepeat():
		return nil, errors.New("no attempt is left")
	case x.responseStarted && !x.continuable():
		return nil, errors.New("no other target can continue the response")
	case x.deadline-sinceBoot() < minRetryTime:
		return nil, errors.New("no time is left")
	case !g.hasRetry(x):
		return nil, errNoRetry
	}
	return g.chooseDestination(x)
}

// hasRetry reports whether the retry budget has a retry left.
func (g *Gateway) hasRetry(x *requestState) bool {
	now := sinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget(x.service).HasRetry(now, g.countHosts(now))
}

// sendReplacement sends the request of a silent target to next and returns nil if next, or
// the one that replaced it, responds. The silent target is given up then, or replaceOverlap
// after the request was sent to next.
func (g *Gateway) sendReplacement(x *requestState, s, next *sendAttempt) error {
	var giveUp *time.Timer
	next.beforeWrite = func() error {
		if !g.takeRetry(x) {
			return errNoRetry
		}
		giveUp = time.AfterFunc(replaceOverlap, s.cancel)
		return nil
	}
	if next.forwarded {
		next.connectTimeout = replaceConnectTimeout
	}
	next.begin(s.parent)
	res, err := g.dispatch(next.ctx, x, next)
	if giveUp != nil {
		defer giveUp.Stop()
	}
	var outcome placement.Outcome
	if err == nil {
		next.response = res
		outcome, err = g.acceptReplacement(x, next)
	} else {
		outcome = attemptOutcome(next.ctx, err)
		g.recordFailure(next.ctx, x, next, err)
	}
	if err == nil {
		x.replacement = next
		return nil
	}
	if failed, ok := errors.AsType[*attemptError](err); ok {
		g.logAttempt(x, next, failed)
		if failed.ran == refusal.Unknown {
			x.ran = refusal.Unknown
		}
	}
	g.endReplacement(x, next, outcome)
	if x.replacement != nil { // next was silent, too
		return nil
	}
	x.target = s.target
	return err
}

// acceptReplacement returns an error, and the outcome of the attempt, if its response does
// not take the request over.
func (g *Gateway) acceptReplacement(x *requestState, next *sendAttempt) (placement.Outcome, error) {
	res := next.response
	if next.forwarded {
		if err := g.openForwarded(x, next, res); err != nil {
			return placement.Cancelled, err
		}
	}
	class := g.classify(next, res)
	g.observe(next, class)
	switch {
	case class.NotRun:
		if class.Misdirected && next.attempt != nil {
			g.eject(next.attempt)
		}
		return placement.Rejected, &attemptError{ran: refusal.NotRun, err: fmt.Errorf("target %s rejected the request with status %d", next.target, res.Status)}
	case !class.Success:
		return placement.Failed, &attemptError{ran: refusal.Unknown, err: fmt.Errorf("target failed with status %d", res.Status)}
	}
	if err := x.checkContinuation(next, res, class); err != nil {
		return placement.Failed, err
	}
	return placement.Cancelled, g.checkSoftware(x, next)
}

// endReplacement ends an attempt that does not take over the request of a silent target.
func (g *Gateway) endReplacement(x *requestState, s *sendAttempt, outcome placement.Outcome) {
	s.cancel()
	if s.response != nil {
		_ = s.response.Close() // cancelled above
	}
	if s.attempt != nil {
		g.finishAttempt(x, s, outcome)
	}
}
