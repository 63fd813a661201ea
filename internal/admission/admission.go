package admission

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/targets"
)

// SweepInterval is how often waiting requests are checked against their
// deadlines and against room that appeared without a wake-up.
const SweepInterval = 50 * time.Millisecond

// waitSample is how many waits the histogram keeps.
const waitSample = 1028

// CapacitySource is what routing tells about the local targets.
type CapacitySource interface {
	// FreeSlots is how many more requests like this one the targets of this data
	// centre can take now: slots minus running, corrected for the lag of reports.
	FreeSlots(req *dispatch.Request) int
}

// WeightFunc gives the weight of a workspace under contention.
type WeightFunc func(workspace string) int

// Admission is a dispatch.Chooser that lets a request wait in its pool's queue
// before it goes to a local target. It is also the dispatch.Observer, which
// tells it when slots become free.
type Admission struct {
	inner    dispatch.Chooser
	observer dispatch.Observer
	rooms    CapacitySource
	weights  WeightFunc
	metrics  metrics.Registry
	began    time.Time

	// queued wakes Sweep.
	queued chan struct{}
	// backlog counts waiting requests by pool, as *atomic.Int64. It needs no
	// lock, because routing reads it while admission may wait for routing.
	backlog sync.Map

	mu    sync.Mutex
	pools map[string]*pool
}

type pool struct {
	queue *Queue
	// granted holds requests that may go but have not begun; they use room.
	granted map[*dispatch.Request]bool
	waiting map[*Item]*dispatch.Request
}

// New returns an admission around the chooser and the observer.
func New(inner dispatch.Chooser, observer dispatch.Observer, rooms CapacitySource, weights WeightFunc, registry metrics.Registry) *Admission {
	return &Admission{inner: inner, observer: observer, rooms: rooms, weights: weights, metrics: registry,
		began: time.Now(), queued: make(chan struct{}, 1), pools: map[string]*pool{}}
}

func (a *Admission) pool(name string) *pool {
	p := a.pools[name]
	if p == nil {
		p = &pool{queue: NewQueue(), granted: map[*dispatch.Request]bool{}, waiting: map[*Item]*dispatch.Request{}}
		a.pools[name] = p
	}
	return p
}

// Choose implements dispatch.Chooser. A request waits when it would go to a
// local target, or when there is no room anywhere. A forwarded request waits at
// the host that receives it.
func (a *Admission) Choose(ctx context.Context, req *dispatch.Request, tried dispatch.Tried) (dispatch.Choice, error) {
	for {
		choice, err := a.inner.Choose(ctx, req, tried)
		if choice.Host != nil || (err != nil && !noRoom(err)) {
			return choice, err
		}
		waited, refused := a.wait(ctx, req)
		if refused != nil {
			return dispatch.Choice{}, refused
		}
		// After a wait the targets may have changed. Without one the choice
		// stands, since another would lose the claim on a probe.
		if waited || choice.Target == nil {
			choice, err = a.inner.Choose(ctx, req, tried)
		}
		if choice.Target != nil {
			return choice, nil
		}
		a.release(req)
		if !noRoom(err) {
			return choice, err
		}
	}
}

// noRoom reports whether routing found targets, but none with room.
func noRoom(err error) bool {
	refused, ok := errors.AsType[*refusal.Error](err)
	return ok && refused.Code == refusal.Overloaded
}

// wait queues the request until it may go, and reports whether that was later
// than at once.
func (a *Admission) wait(ctx context.Context, req *dispatch.Request) (waited bool, err error) {
	done := make(chan *Refusal, 1)
	began := time.Now()
	p, item, refused := a.enter(req, done)
	if refused == nil {
		select {
		case refused = <-done:
		default:
			waited = true
			refused = a.awaitTurn(ctx, p, item, done)
		}
	}
	waits := metrics.GetOrRegisterHistogram("admission.wait_ms."+req.Pool, a.metrics, metrics.NewUniformSample(waitSample))
	waits.Update(time.Since(began).Milliseconds())
	if refused == nil {
		return waited, nil
	}
	return waited, a.refuse(req, refused)
}

// enter puts the request into the queue of its pool and dispatches the queue.
func (a *Admission) enter(req *dispatch.Request, done chan *Refusal) (*pool, *Item, *Refusal) {
	item := &Item{Workspace: req.Workspace, Weight: a.weights(req.Workspace), Class: req.Class, Cost: req.Cost,
		Bytes: int64(len(req.Body)), Deadline: req.Deadline.Sub(a.began)}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(req.Pool)
	item.Done = func(r *Refusal) {
		a.forget(p, item)
		done <- r
	}
	if refused := p.queue.Enqueue(time.Since(a.began), item); refused != nil {
		return p, item, refused
	}
	p.waiting[item] = req
	a.counter(req.Pool).Add(1)
	a.dispatch(p)
	if len(p.waiting) > 0 {
		select {
		case a.queued <- struct{}{}:
		default:
		}
	}
	return p, item, nil
}

func (a *Admission) awaitTurn(ctx context.Context, p *pool, item *Item, done chan *Refusal) *Refusal {
	select {
	case refused := <-done:
		return refused
	case <-ctx.Done():
		return a.leave(p, item, done)
	}
}

// forget removes a waiting request. It needs mu.
func (a *Admission) forget(p *pool, item *Item) {
	if req, ok := p.waiting[item]; ok {
		delete(p.waiting, item)
		a.counter(req.Pool).Add(-1)
	}
}

func (a *Admission) counter(poolName string) *atomic.Int64 {
	c, _ := a.backlog.LoadOrStore(poolName, &atomic.Int64{})
	return c.(*atomic.Int64)
}

// QueueLength is how many requests wait for the pool on this host.
func (a *Admission) QueueLength(poolName string) int {
	if c, ok := a.backlog.Load(poolName); ok {
		return int(c.(*atomic.Int64).Load())
	}
	return 0
}

// leave ends the wait of a request whose context has ended.
func (a *Admission) leave(p *pool, item *Item, done chan *Refusal) *Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.queue.Cancel(time.Since(a.began), item) {
		a.forget(p, item)
		return &Refusal{DeadlinePassed: true}
	}
	return <-done // decided meanwhile; Done was called under the lock
}

func (a *Admission) refuse(req *dispatch.Request, why *Refusal) error {
	if why.DeadlinePassed {
		metrics.GetOrRegisterCounter("admission.deadline", a.metrics).Inc(1)
		return refusal.New(refusal.Deadline, refusal.NotRun, "the deadline passed before a target of pool %s was free", req.Pool)
	}
	metrics.GetOrRegisterCounter("admission.overloaded", a.metrics).Inc(1)
	return refusal.New(refusal.Overloaded, refusal.NotRun, "pool %s has no room in the share of workspace %s", req.Pool, req.Workspace).
		WithRetry(why.RetryAfter)
}

// dispatch grants waiting requests as long as there is room. It needs mu.
func (a *Admission) dispatch(p *pool) {
	now := time.Since(a.began)
	rooms := map[string]int{} // by what the room depends on; it does not change in this loop
	fits := func(item *Item) bool {
		req := p.waiting[item]
		key := fmt.Sprint(req.Model, "\x00", req.Residency, req.Reach, req.Forwarded())
		room, ok := rooms[key]
		if !ok {
			room = a.rooms.FreeSlots(req)
			rooms[key] = room
		}
		return room > len(p.granted)
	}
	for {
		item := p.queue.Dequeue(now, fits)
		if item == nil {
			return
		}
		p.granted[p.waiting[item]] = true
		item.Done(nil)
	}
}

// Wake dispatches waiting requests. Routing calls it when the room of a pool
// may have grown.
func (a *Admission) Wake(poolName string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.pools[poolName]; p != nil {
		a.dispatch(p)
	}
}

// Sweep wakes all pools each SweepInterval while requests wait, until ctx ends.
func (a *Admission) Sweep(ctx context.Context) error {
	ticker := time.NewTicker(SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.queued:
		}
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
			waiting = a.sweep()
		}
	}
}

// sweep dispatches all pools and reports whether requests still wait.
func (a *Admission) sweep() (waiting bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.pools {
		a.dispatch(p)
		waiting = waiting || len(p.waiting) > 0
	}
	return waiting
}

func (a *Admission) release(req *dispatch.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(req.Pool)
	delete(p.granted, req)
	a.dispatch(p)
}

// AttemptBegins implements dispatch.Observer.
func (a *Admission) AttemptBegins(req *dispatch.Request, target *targets.Target) {
	a.observer.AttemptBegins(req, target)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pool(req.Pool).granted, req)
}

// AttemptEnded implements dispatch.Observer.
func (a *Admission) AttemptEnded(o dispatch.Outcome) {
	a.observer.AttemptEnded(o)
	a.Wake(o.Request.Pool)
}
