package suspects

import (
	"context"
	"sync"
	"time"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/suspects/suspectspb"
	"geraniumturn.example/geraniumturn/internal/targets"
)

const (
	// crashDetectionTimeout is how long the guard looks for a crash of the target
	// after a connection broke: the time after which a silent target counts as
	// crashed, plus one announcement interval.
	crashDetectionTimeout = targets.SilenceLimit + time.Second
	pollInterval          = 50 * time.Millisecond
)

// Lease reserves a target for one request.
type Lease interface {
	// Exclusive reports whether no other request runs on the target.
	Exclusive(now time.Time) bool
	Release()
}

// Platform gives the guard access to the targets and to the other hosts.
type Platform interface {
	// Crashed reports whether the incarnation of the target no longer runs: the
	// target is unknown, announced another incarnation, or stopped announcing.
	Crashed(target string, incarnation uint64) bool
	// Lease reserves a target for the request; ok is false when none is free. The
	// lease ends when it is released, at the latest after the duration.
	Lease(req *dispatch.Request, tried dispatch.Tried, duration time.Duration) (target targets.Target, lease Lease, ok bool)
	// Broadcast sends a changed entry to all live hosts and waits a bounded time
	// for them to take it.
	Broadcast(e *suspectspb.Entry)
}

// Guard wraps a chooser and an observer. It refuses requests that crashed targets
// twice and runs suspect requests alone on a target.
type Guard struct {
	table    *Table
	platform Platform
	chooser  dispatch.Chooser
	observer dispatch.Observer

	mu sync.Mutex
	// crashChecks has a channel for each request whose connection broke. It is
	// closed once a crash was found or the search for one timed out.
	crashChecks map[*dispatch.Request]chan struct{}
	leases      map[*dispatch.Request]Lease
}

func NewGuard(table *Table, platform Platform, chooser dispatch.Chooser, observer dispatch.Observer) *Guard {
	return &Guard{table: table, platform: platform, chooser: chooser, observer: observer,
		crashChecks: map[*dispatch.Request]chan struct{}{}, leases: map[*dispatch.Request]Lease{}}
}

// Choose implements dispatch.Chooser. A retry after a broken connection waits
// until the crash check has ended, because the request may have crashed the target
// and its retry would crash the next one.
func (g *Guard) Choose(ctx context.Context, req *dispatch.Request, tried dispatch.Tried) (dispatch.Choice, error) {
	if err := g.awaitCrashCheck(ctx, req); err != nil {
		return dispatch.Choice{}, err
	}
	if req.Fingerprint == "" {
		return g.chooser.Choose(ctx, req, tried)
	}
	if err := g.table.Check(time.Now(), req.Fingerprint); err != nil {
		return dispatch.Choice{}, err
	}
	if !g.table.IsSuspect(time.Now(), req.Fingerprint) {
		return g.chooser.Choose(ctx, req, tried)
	}
	return g.chooseExclusive(ctx, req, tried)
}

func (g *Guard) awaitCrashCheck(ctx context.Context, req *dispatch.Request) error {
	g.mu.Lock()
	checked := g.crashChecks[req]
	g.mu.Unlock()
	if checked == nil {
		return nil
	}
	select {
	case <-checked:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// chooseExclusive leases a target and waits until its other requests have ended.
// If this host has no target to use, the request is forwarded, and the receiving
// host runs it alone.
func (g *Guard) chooseExclusive(ctx context.Context, req *dispatch.Request, tried dispatch.Tried) (dispatch.Choice, error) {
	duration := max(time.Until(req.Deadline), time.Second)
	target, lease, ok := g.platform.Lease(req, tried, duration)
	if !ok {
		choice, err := g.chooser.Choose(ctx, req, tried)
		if choice.Target == nil {
			return choice, err
		}
		return dispatch.Choice{}, refusal.New(refusal.Overloaded, refusal.NotRun,
			"the request ran on a target that crashed and must run alone; no target is free").WithRetry(time.Second)
	}
	for !lease.Exclusive(time.Now()) {
		timer := time.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			lease.Release()
			return dispatch.Choice{}, ctx.Err()
		case <-timer.C:
		}
	}
	g.mu.Lock()
	g.leases[req] = lease
	g.mu.Unlock()
	return dispatch.Choice{Target: &target}, nil
}

// AttemptBegins implements dispatch.Observer.
func (g *Guard) AttemptBegins(req *dispatch.Request, target *targets.Target) {
	g.observer.AttemptBegins(req, target)
}

// AttemptEnded implements dispatch.Observer.
func (g *Guard) AttemptEnded(o dispatch.Outcome) {
	g.observer.AttemptEnded(o)
	g.releaseLease(o.Request)
	if o.Request.Fingerprint == "" {
		return
	}
	if o.Complete {
		g.broadcast(g.table.RecordCompletion(time.Now(), o.Request.Fingerprint))
		return
	}
	if !o.ConnectionFailed {
		return
	}
	checked := g.detectCrash(o)
	if o.Request.Forwarded() {
		<-checked // the forwarding host may retry elsewhere as soon as it has the refusal
	}
}

func (g *Guard) releaseLease(req *dispatch.Request) {
	g.mu.Lock()
	lease := g.leases[req]
	delete(g.leases, req)
	g.mu.Unlock()
	if lease != nil {
		lease.Release()
	}
}

// detectCrash polls whether the target of an attempt whose connection broke has
// crashed. The channel is closed once a crash was found, at the latest after
// crashDetectionTimeout.
func (g *Guard) detectCrash(o dispatch.Outcome) <-chan struct{} {
	checked := make(chan struct{})
	g.mu.Lock()
	g.crashChecks[o.Request] = checked
	g.mu.Unlock()
	go func() {
		defer func() {
			g.mu.Lock()
			delete(g.crashChecks, o.Request)
			g.mu.Unlock()
			close(checked)
		}()
		deadline := time.Now().Add(crashDetectionTimeout)
		for time.Now().Before(deadline) {
			if g.platform.Crashed(o.Target, o.Incarnation) {
				g.broadcast(g.table.RecordCrash(time.Now(), o.Request.Fingerprint, o.Target, o.Incarnation))
				return
			}
			timer := time.NewTimer(pollInterval)
			<-timer.C
		}
	}()
	return checked
}

func (g *Guard) broadcast(e *suspectspb.Entry) {
	if e != nil {
		g.platform.Broadcast(e)
	}
}
