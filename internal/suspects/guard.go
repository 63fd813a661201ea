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
	// evidenceLimit is how long a broken attempt waits for evidence of a crash:
	// the silence limit of targets and an announcement interval.
	evidenceLimit = targets.SilenceLimit + time.Second
	pollInterval  = 50 * time.Millisecond
)

// Lease is an exclusive lease of a target.
type Lease interface {
	// Exclusive reports whether no other request runs on the target.
	Exclusive(now time.Time) bool
	Release()
}

// Platform is what the guard needs of targets and of the other hosts.
type Platform interface {
	// Crashed reports whether the incarnation of the target is gone: another one
	// announced itself, or the target is silent.
	Crashed(target string, incarnation uint64) bool
	// Lease takes a target for a request alone; ok is false when none is free.
	Lease(req *dispatch.Request, tried dispatch.Tried, length time.Duration) (target targets.Target, lease Lease, ok bool)
	// Spread sends a changed entry to all live hosts and waits for them for a
	// bounded time.
	Spread(e *suspectspb.Entry)
}

// Guard puts the rules for suspects around a chooser and an observer.
type Guard struct {
	table    *Table
	platform Platform
	chooser  dispatch.Chooser
	observer dispatch.Observer

	mu sync.Mutex
	// pending are closed when it is known whether a broken attempt was a crash.
	pending map[*dispatch.Request]chan struct{}
	leases  map[*dispatch.Request]Lease
}

// NewGuard returns a guard.
func NewGuard(table *Table, platform Platform, chooser dispatch.Chooser, observer dispatch.Observer) *Guard {
	return &Guard{table: table, platform: platform, chooser: chooser, observer: observer,
		pending: map[*dispatch.Request]chan struct{}{}, leases: map[*dispatch.Request]Lease{}}
}

// Choose implements dispatch.Chooser. A retry after a broken attempt waits
// until it is known whether the target crashed, because the retry might take
// the next target down.
func (g *Guard) Choose(ctx context.Context, req *dispatch.Request, tried dispatch.Tried) (dispatch.Choice, error) {
	if err := g.awaitEvidence(ctx, req); err != nil {
		return dispatch.Choice{}, err
	}
	if req.Fingerprint == "" {
		return g.chooser.Choose(ctx, req, tried)
	}
	if err := g.table.Check(time.Now(), req.Fingerprint); err != nil {
		return dispatch.Choice{}, err
	}
	if !g.table.Suspect(time.Now(), req.Fingerprint) {
		return g.chooser.Choose(ctx, req, tried)
	}
	return g.chooseAlone(ctx, req, tried)
}

func (g *Guard) awaitEvidence(ctx context.Context, req *dispatch.Request) error {
	g.mu.Lock()
	known := g.pending[req]
	g.mu.Unlock()
	if known == nil {
		return nil
	}
	select {
	case <-known:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// chooseAlone waits for a target without other work. Without any local target
// the request is forwarded, and the receiving host runs it alone.
func (g *Guard) chooseAlone(ctx context.Context, req *dispatch.Request, tried dispatch.Tried) (dispatch.Choice, error) {
	length := max(time.Until(req.Deadline), time.Second)
	target, lease, ok := g.platform.Lease(req, tried, length)
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
	g.release(o.Request)
	if o.Request.Fingerprint == "" {
		return
	}
	if o.Complete {
		g.spread(g.table.Completed(time.Now(), o.Request.Fingerprint))
		return
	}
	if !o.ConnectionFailed {
		return
	}
	known := g.investigate(o)
	if o.Request.Forwarded() {
		<-known // the sender may retry elsewhere as soon as it has the refusal
	}
}

func (g *Guard) release(req *dispatch.Request) {
	g.mu.Lock()
	lease := g.leases[req]
	delete(g.leases, req)
	g.mu.Unlock()
	if lease != nil {
		lease.Release()
	}
}

// investigate looks for evidence that the target of a broken attempt crashed.
// The channel closes when it is known, at the latest after evidenceLimit.
func (g *Guard) investigate(o dispatch.Outcome) <-chan struct{} {
	known := make(chan struct{})
	g.mu.Lock()
	g.pending[o.Request] = known
	g.mu.Unlock()
	go func() {
		defer func() {
			g.mu.Lock()
			delete(g.pending, o.Request)
			g.mu.Unlock()
			close(known)
		}()
		end := time.Now().Add(evidenceLimit)
		for time.Now().Before(end) {
			if g.platform.Crashed(o.Target, o.Incarnation) {
				g.spread(g.table.Crashed(time.Now(), o.Request.Fingerprint, o.Target, o.Incarnation))
				return
			}
			timer := time.NewTimer(pollInterval)
			<-timer.C
		}
	}()
	return known
}

func (g *Guard) spread(e *suspectspb.Entry) {
	if e != nil {
		g.platform.Spread(e)
	}
}
