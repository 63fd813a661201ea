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
// deadlines and against capacity that became free without a call of Wake.
const SweepInterval = 50 * time.Millisecond

// waitSampleSize is the number of waiting times that the histogram keeps.
const waitSampleSize = 1028

// CapacitySource reports the free capacity of the local targets.
type CapacitySource interface {
	// FreeSlots returns how many more requests like req the targets of this data
	// centre can accept now: slots minus running requests, corrected for the lag
	// of load reports.
	FreeSlots(req *dispatch.Request) int
}

// WeightFunc returns the weight of a workspace under contention.
type WeightFunc func(workspace string) int

// Admission is a dispatch.Chooser that queues a request in its pool before it is
// sent to a local target. It is also a dispatch.Observer, since the end of an
// attempt frees a slot.
type Admission struct {
	inner     dispatch.Chooser
	observer  dispatch.Observer
	capacity  CapacitySource
	weightOf  WeightFunc
	metrics   metrics.Registry
	startedAt time.Time

	// requestQueued signals Sweep that a request waits.
	requestQueued chan struct{}
	// waitingCounts maps a pool name to its number of waiting requests, as
	// *atomic.Int64. It is read without mu: routing reads it while admission may
	// hold mu and wait for routing, so taking mu could deadlock.
	waitingCounts sync.Map

	mu    sync.Mutex
	pools map[string]*pool
}

type pool struct {
	queue *Queue
	// admitted holds requests that were admitted but whose attempt has not begun.
	// Each takes one free slot.
	admitted map[*dispatch.Request]bool
	waiting  map[*Item]*dispatch.Request
}

// New returns an Admission that wraps the chooser and the observer.
func New(inner dispatch.Chooser, observer dispatch.Observer, capacity CapacitySource, weightOf WeightFunc, registry metrics.Registry) *Admission {
	return &Admission{inner: inner, observer: observer, capacity: capacity, weightOf: weightOf, metrics: registry,
		startedAt: time.Now(), requestQueued: make(chan struct{}, 1), pools: map[string]*pool{}}
}

func (a *Admission) pool(name string) *pool {
	p := a.pools[name]
	if p == nil {
		p = &pool{queue: NewQueue(), admitted: map[*dispatch.Request]bool{}, waiting: map[*Item]*dispatch.Request{}}
		a.pools[name] = p
	}
	return p
}

// Choose implements dispatch.Chooser. A request is queued when the choice is a
// local target, or when no target has free capacity. A request that is forwarded
// to another host is queued there.
func (a *Admission) Choose(ctx context.Context, req *dispatch.Request, tried dispatch.Tried) (dispatch.Choice, error) {
	for {
		choice, err := a.inner.Choose(ctx, req, tried)
		if choice.Host != nil || (err != nil && !isOverloaded(err)) {
			return choice, err
		}
		waited, refused := a.wait(ctx, req)
		if refused != nil {
			return dispatch.Choice{}, refused
		}
		// After a wait the targets may have changed, so choose again. Without a
		// wait the choice stands, since a second one would lose the probe that the
		// first one claimed.
		if waited || choice.Target == nil {
			choice, err = a.inner.Choose(ctx, req, tried)
		}
		if choice.Target != nil {
			return choice, nil
		}
		a.releaseAdmitted(req)
		if !isOverloaded(err) {
			return choice, err
		}
	}
}

// isOverloaded reports whether routing found targets, but none with free capacity.
func isOverloaded(err error) bool {
	refused, ok := errors.AsType[*refusal.Error](err)
	return ok && refused.Code == refusal.Overloaded
}

// wait queues the request until it is admitted or refused. waited is false when
// that was decided at once.
func (a *Admission) wait(ctx context.Context, req *dispatch.Request) (waited bool, err error) {
	decision := make(chan *Refusal, 1)
	start := time.Now()
	p, item, refused := a.enqueue(req, decision)
	if refused == nil {
		select {
		case refused = <-decision:
		default:
			waited = true
			refused = a.awaitDecision(ctx, p, item, decision)
		}
	}
	waits := metrics.GetOrRegisterHistogram("admission.wait_ms."+req.Pool, a.metrics, metrics.NewUniformSample(waitSampleSize))
	waits.Update(time.Since(start).Milliseconds())
	if refused == nil {
		return waited, nil
	}
	return waited, a.refusalError(req, refused)
}

// enqueue puts the request into the queue of its pool and admits what fits.
func (a *Admission) enqueue(req *dispatch.Request, decision chan *Refusal) (*pool, *Item, *Refusal) {
	item := &Item{Workspace: req.Workspace, Weight: a.weightOf(req.Workspace), Class: req.Class, Cost: req.Cost,
		Bytes: int64(len(req.Body)), Deadline: req.Deadline.Sub(a.startedAt)}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(req.Pool)
	item.Done = func(r *Refusal) {
		a.removeWaiting(p, item)
		decision <- r
	}
	if refused := p.queue.Enqueue(time.Since(a.startedAt), item); refused != nil {
		return p, item, refused
	}
	p.waiting[item] = req
	a.waitingCount(req.Pool).Add(1)
	a.admitWaiting(p)
	if len(p.waiting) > 0 {
		select {
		case a.requestQueued <- struct{}{}:
		default:
		}
	}
	return p, item, nil
}

func (a *Admission) awaitDecision(ctx context.Context, p *pool, item *Item, decision chan *Refusal) *Refusal {
	select {
	case refused := <-decision:
		return refused
	case <-ctx.Done():
		return a.cancelWait(p, item, decision)
	}
}

// removeWaiting removes a waiting request. The caller holds mu.
func (a *Admission) removeWaiting(p *pool, item *Item) {
	if req, ok := p.waiting[item]; ok {
		delete(p.waiting, item)
		a.waitingCount(req.Pool).Add(-1)
	}
}

func (a *Admission) waitingCount(poolName string) *atomic.Int64 {
	c, _ := a.waitingCounts.LoadOrStore(poolName, &atomic.Int64{})
	return c.(*atomic.Int64)
}

// QueueLength returns the number of requests that wait for the pool on this host.
func (a *Admission) QueueLength(poolName string) int {
	if c, ok := a.waitingCounts.Load(poolName); ok {
		return int(c.(*atomic.Int64).Load())
	}
	return 0
}

// cancelWait ends the wait of a request whose context has ended.
func (a *Admission) cancelWait(p *pool, item *Item, decision chan *Refusal) *Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.queue.Cancel(time.Since(a.startedAt), item) {
		a.removeWaiting(p, item)
		return &Refusal{DeadlinePassed: true}
	}
	return <-decision // already decided; Done sends while mu is held
}

func (a *Admission) refusalError(req *dispatch.Request, reason *Refusal) error {
	if reason.DeadlinePassed {
		metrics.GetOrRegisterCounter("admission.deadline", a.metrics).Inc(1)
		return refusal.New(refusal.Deadline, refusal.NotRun, "the deadline passed before a target of pool %s was free", req.Pool)
	}
	metrics.GetOrRegisterCounter("admission.overloaded", a.metrics).Inc(1)
	return refusal.New(refusal.Overloaded, refusal.NotRun, "pool %s has no capacity left in the share of workspace %s", req.Pool, req.Workspace).
		WithRetry(reason.RetryAfter)
}

// admitWaiting admits waiting requests as long as slots are free. The caller
// holds mu.
func (a *Admission) admitWaiting(p *pool) {
	now := time.Since(a.startedAt)
	freeSlots := map[string]int{} // by the fields that FreeSlots depends on; constant in this loop
	fits := func(item *Item) bool {
		req := p.waiting[item]
		key := fmt.Sprint(req.Model, "\x00", req.Residency, req.Reach, req.Forwarded())
		slots, ok := freeSlots[key]
		if !ok {
			slots = a.capacity.FreeSlots(req)
			freeSlots[key] = slots
		}
		return slots > len(p.admitted)
	}
	for {
		item := p.queue.Dequeue(now, fits)
		if item == nil {
			return
		}
		p.admitted[p.waiting[item]] = true
		item.Done(nil)
	}
}

// Wake admits waiting requests of a pool. Routing calls it when the free capacity
// of the pool may have grown.
func (a *Admission) Wake(poolName string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.pools[poolName]; p != nil {
		a.admitWaiting(p)
	}
}

// Sweep admits waiting requests of all pools every SweepInterval while any wait,
// until ctx ends.
func (a *Admission) Sweep(ctx context.Context) error {
	ticker := time.NewTicker(SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.requestQueued:
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

// sweep admits what fits in all pools and reports whether requests still wait.
func (a *Admission) sweep() (waiting bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.pools {
		a.admitWaiting(p)
		waiting = waiting || len(p.waiting) > 0
	}
	return waiting
}

func (a *Admission) releaseAdmitted(req *dispatch.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(req.Pool)
	delete(p.admitted, req)
	a.admitWaiting(p)
}

// AttemptBegins implements dispatch.Observer.
func (a *Admission) AttemptBegins(req *dispatch.Request, target *targets.Target) {
	a.observer.AttemptBegins(req, target)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pool(req.Pool).admitted, req)
}

// AttemptEnded implements dispatch.Observer.
func (a *Admission) AttemptEnded(o dispatch.Outcome) {
	a.observer.AttemptEnded(o)
	a.Wake(o.Request.Pool)
}
