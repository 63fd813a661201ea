package admission

import (
	"math"
	"slices"
	"time"

	"geraniumturn.example/geraniumturn/internal/rules"
)

const (
	// MaxWaiting bounds the waiting requests of one workspace in one pool.
	MaxWaiting = 256
	// MaxWaitingBytes bounds their bodies.
	MaxWaitingBytes = 64 << 20
	// batchShare is the part of the tokens that batch keeps while interactive
	// requests wait too.
	batchShare = 0.1
	// rateWindow is the time constant of the measured service rate.
	rateWindow = 5 * time.Second
	// minMeasured is how much waiting time must be measured before the service
	// rate counts.
	minMeasured = 500 * time.Millisecond
	minRetry    = 100 * time.Millisecond
	// creditWindow is for how long a workspace below its share keeps what it did
	// not use, so that its short peaks go before a workspace that is always
	// above. Without it a loud workspace raised the p99 wait of others by 69 %.
	creditWindow = 2 * time.Second
)

// Item is a request that waits.
type Item struct {
	Workspace string
	// Weight is the share of the workspace under contention, at least 1.
	Weight int
	Class  rules.Class
	// Cost is in tokens, at least 1.
	Cost int64
	// Bytes is the memory that the request holds while it waits.
	Bytes int64
	// Deadline is when the answer must be complete, on the queue's clock.
	Deadline time.Duration
	// Done is called once: with nil when the request may be dispatched, or with
	// the reason why not.
	Done func(*Refusal)

	start  float64
	finish float64
}

// Refusal says why a request may not be dispatched.
type Refusal struct {
	// DeadlinePassed is true when the deadline has passed, false when there is no room.
	DeadlinePassed bool
	RetryAfter     time.Duration
}

// flow is the backlog of one workspace in one class.
type flow struct {
	workspace string
	weight    int
	items     []*Item
	tokens    int64
	finish    float64
}

// class is a start-time fair queue over the flows of a class.
type class struct {
	flows  []*flow
	byName map[string]*flow
	// weights is the sum over flows.
	weights int
	virtual float64
	tokens  int64
}

// Queue is the queue of one pool. It does no I/O; callers pass the time and
// serialise the calls. Invariant: a backlogged workspace gets at least its
// weighted share of the tokens of its class, up to the cost of one request.
type Queue struct {
	interactive class
	batch       class
	// credit is what batch may use next, in tokens.
	credit float64
	usage  map[string]*usage
	// served and busy decay with rateWindow; their ratio is the service rate.
	served float64
	busy   float64
	lastAt time.Duration
	// earliest is no later than the first deadline of all waiting items.
	earliest time.Duration
}

// usage is what a workspace holds in the queue.
type usage struct {
	count int
	bytes int64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{usage: map[string]*usage{}, earliest: math.MaxInt64,
		interactive: class{byName: map[string]*flow{}}, batch: class{byName: map[string]*flow{}}}
}

func (q *Queue) class(c rules.Class) *class {
	if c == rules.Batch {
		return &q.batch
	}
	return &q.interactive
}

// Waiting is the number of waiting requests.
func (q *Queue) Waiting() int {
	n := 0
	for _, u := range q.usage {
		n += u.count
	}
	return n
}

// ServiceRate is the measured service rate in tokens per second, zero when unknown.
func (q *Queue) ServiceRate() float64 {
	if q.busy < minMeasured.Seconds() {
		return 0
	}
	return q.served / q.busy
}

// EstimateWait estimates the wait of a new request: its flow gets at least its share
// of the service rate, and never waits longer than the whole backlog needs.
func (q *Queue) EstimateWait(workspace string, weight int, c rules.Class, cost int64) time.Duration {
	rate := q.ServiceRate()
	if rate <= 0 {
		return 0
	}
	k := q.class(c)
	own, weights := cost, weight+k.weights
	if f := k.byName[workspace]; f != nil {
		own += f.tokens
		weights -= f.weight
	}
	ahead := min(float64(k.tokens), float64(own)*float64(weights)/float64(weight))
	switch {
	case c == rules.Batch && q.interactive.tokens > 0:
		ahead = min(ahead+float64(q.interactive.tokens), ahead/batchShare)
	case c != rules.Batch && q.batch.tokens > 0:
		ahead /= 1 - batchShare
	}
	return time.Duration(ahead / rate * float64(time.Second))
}

// Enqueue queues the item or refuses it at once.
func (q *Queue) Enqueue(now time.Duration, item *Item) *Refusal {
	q.measure(now)
	item.Weight, item.Cost = max(1, item.Weight), max(1, item.Cost)
	expected := q.EstimateWait(item.Workspace, item.Weight, item.Class, item.Cost)
	u := q.usage[item.Workspace]
	switch {
	case now >= item.Deadline:
		return &Refusal{DeadlinePassed: true}
	case u != nil && (u.count >= MaxWaiting || u.bytes+item.Bytes > MaxWaitingBytes):
		return &Refusal{RetryAfter: max(minRetry, expected)}
	case now+expected >= item.Deadline:
		// The same deadline may be met once the excess has drained.
		return &Refusal{RetryAfter: max(minRetry, now+expected-item.Deadline)}
	}
	if u == nil {
		u = &usage{}
		q.usage[item.Workspace] = u
	}
	u.count++
	u.bytes += item.Bytes
	q.earliest = min(q.earliest, item.Deadline)
	q.class(item.Class).push(item, q.ServiceRate()*creditWindow.Seconds())
	return nil
}

// credit is how far behind the virtual time a start tag may lie, when the pool
// serves the tokens within creditWindow.
func (c *class) credit(tokens float64) float64 { return tokens / float64(max(1, c.weights)) }

// push queues the item; window is what the pool serves within creditWindow.
func (c *class) push(item *Item, window float64) {
	f := c.byName[item.Workspace]
	if f == nil {
		f = &flow{workspace: item.Workspace}
		c.flows = append(c.flows, f)
		c.byName[item.Workspace] = f
	}
	c.weights += item.Weight - f.weight
	f.weight = item.Weight
	item.start = max(c.virtual-c.credit(window), f.finish)
	item.finish = item.start + float64(item.Cost)/float64(item.Weight)
	f.finish = item.finish
	f.items = append(f.items, item)
	f.tokens += item.Cost
	c.tokens += item.Cost
}

// head returns the flow whose first item fits and has the smallest start tag.
func (c *class) head(fits func(*Item) bool) *flow {
	var best *flow
	for _, f := range c.flows {
		if len(f.items) > 0 && (best == nil || f.items[0].start < best.items[0].start) && fits(f.items[0]) {
			best = f
		}
	}
	return best
}

// Dequeue takes the next item that fits out of the queue, or returns nil.
func (q *Queue) Dequeue(now time.Duration, fits func(*Item) bool) *Item {
	q.measure(now)
	q.Expire(now)
	interactive, batch := q.interactive.head(fits), q.batch.head(fits)
	if interactive == nil && batch == nil {
		return nil
	}
	contended := interactive != nil && batch != nil
	if !contended {
		q.credit = 0
	}
	f, c := interactive, &q.interactive
	if interactive == nil || (contended && q.credit >= (1-batchShare)*float64(batch.items[0].Cost)) {
		f, c = batch, &q.batch
	}
	item := f.items[0]
	c.virtual = max(c.virtual, item.start)
	if contended && c == &q.batch {
		q.credit -= (1 - batchShare) * float64(item.Cost)
	} else if contended {
		q.credit += batchShare * float64(item.Cost)
	}
	q.remove(c, f, item)
	q.served += float64(item.Cost)
	return item
}

func (q *Queue) remove(c *class, f *flow, item *Item) {
	window := q.ServiceRate() * creditWindow.Seconds()
	f.items = slices.DeleteFunc(f.items, func(o *Item) bool { return o == item })
	f.tokens -= item.Cost
	c.tokens -= item.Cost
	if len(f.items) == 0 && f.finish <= c.virtual-c.credit(window) {
		c.flows = slices.DeleteFunc(c.flows, func(o *flow) bool { return o == f })
		delete(c.byName, f.workspace)
		c.weights -= f.weight
	}
	u := q.usage[item.Workspace]
	u.count--
	u.bytes -= item.Bytes
	if u.count == 0 {
		delete(q.usage, item.Workspace)
	}
}

// Cancel removes an item whose caller has gone. It reports whether it waited.
func (q *Queue) Cancel(now time.Duration, item *Item) bool {
	q.measure(now)
	c := q.class(item.Class)
	for _, f := range c.flows {
		if slices.Contains(f.items, item) {
			q.remove(c, f, item)
			return true
		}
	}
	return false
}

// Expire refuses the items whose deadline has passed and forgets idle flows.
func (q *Queue) Expire(now time.Duration) {
	if now >= q.earliest {
		q.earliest = math.MaxInt64
		q.expire(now, &q.interactive)
		q.expire(now, &q.batch)
	}
	for _, c := range []*class{&q.interactive, &q.batch} {
		if c.tokens == 0 && len(c.flows) > 0 { // tags only order items that wait together
			c.flows, c.weights, c.virtual = nil, 0, 0
			clear(c.byName)
		}
	}
}

func (q *Queue) expire(now time.Duration, c *class) {
	for _, f := range slices.Clone(c.flows) {
		for _, item := range slices.Clone(f.items) {
			if now >= item.Deadline {
				q.remove(c, f, item)
				item.Done(&Refusal{DeadlinePassed: true})
				continue
			}
			q.earliest = min(q.earliest, item.Deadline)
		}
	}
}

// measure counts the time in which requests waited.
func (q *Queue) measure(now time.Duration) {
	elapsed := (now - q.lastAt).Seconds()
	if elapsed <= 0 {
		return
	}
	q.lastAt = now
	if len(q.usage) == 0 {
		return
	}
	decay := math.Exp(-elapsed / rateWindow.Seconds())
	q.served *= decay
	q.busy = q.busy*decay + elapsed
}
