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
	// MaxWaitingBytes bounds the total size of their bodies.
	MaxWaitingBytes = 64 << 20
	// batchShare is the fraction of the tokens that batch requests get while
	// interactive requests wait too.
	batchShare = 0.1
	// rateWindow is the time constant of the measured service rate.
	rateWindow = 5 * time.Second
	// minMeasuredTime is the backlogged time that must be measured before the
	// service rate is used.
	minMeasuredTime = 500 * time.Millisecond
	minRetryDelay   = 100 * time.Millisecond
	// creditWindow limits how much unused share a workspace can save up: its share
	// of what the pool serves in this time. With the saved share, short bursts of a
	// workspace below its share are served before a workspace that is always above
	// its share. Without it, a workspace above its share raised the p99 wait of the
	// others by 69 %.
	creditWindow = 2 * time.Second
)

// Item is a queued request.
type Item struct {
	Workspace string
	// Weight is the relative share of the workspace under contention, at least 1.
	Weight int
	Class  rules.Class
	// Cost is in tokens, at least 1.
	Cost int64
	// Bytes is the memory that the request holds while it waits.
	Bytes int64
	// Deadline is when the response must be complete, on the queue's clock.
	Deadline time.Duration
	// Done is called once, unless the item is cancelled: with nil when the request
	// may be dispatched, otherwise with the refusal. The queue calls it for expired
	// items, the caller of Dequeue for dequeued ones.
	Done func(*Refusal)

	startTag  float64
	finishTag float64
}

// Refusal says why a request may not be dispatched.
type Refusal struct {
	// DeadlinePassed is true when the deadline has passed, false when there is no
	// capacity.
	DeadlinePassed bool
	RetryAfter     time.Duration
}

// flow is the backlog of one workspace in one class.
type flow struct {
	workspace     string
	weight        int
	items         []*Item
	tokens        int64
	lastFinishTag float64
}

// class is a start-time fair queue over the flows of one request class.
type class struct {
	flows  []*flow
	byName map[string]*flow
	// weights is the sum of the weights of all flows.
	weights     int
	virtualTime float64
	tokens      int64
}

// Queue is the queue of one pool. It does no I/O; callers pass the time and
// serialise the calls. Invariant: a backlogged workspace gets at least its
// weighted share of the tokens of its class, up to the cost of one request.
type Queue struct {
	interactive class
	batch       class
	// batchCredit is the share that batch requests have accrued but not used, in
	// tokens.
	batchCredit float64
	usage       map[string]*usage
	// servedTokens and busySeconds decay exponentially with rateWindow; their
	// ratio is the service rate.
	servedTokens float64
	busySeconds  float64
	measuredAt   time.Duration
	// earliestDeadline is a lower bound of the deadlines of all waiting items.
	earliestDeadline time.Duration
}

// usage is the queue space that a workspace takes.
type usage struct {
	count int
	bytes int64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{usage: map[string]*usage{}, earliestDeadline: math.MaxInt64,
		interactive: class{byName: map[string]*flow{}}, batch: class{byName: map[string]*flow{}}}
}

func (q *Queue) class(c rules.Class) *class {
	if c == rules.Batch {
		return &q.batch
	}
	return &q.interactive
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	n := 0
	for _, u := range q.usage {
		n += u.count
	}
	return n
}

// ServiceRate returns the measured service rate in tokens per second, 0 when
// unknown.
func (q *Queue) ServiceRate() float64 {
	if q.busySeconds < minMeasuredTime.Seconds() {
		return 0
	}
	return q.servedTokens / q.busySeconds
}

// EstimateWait estimates the wait of a new request. Its flow gets at least its
// share of the service rate, and waits at most until the whole backlog is served.
func (q *Queue) EstimateWait(workspace string, weight int, c rules.Class, cost int64) time.Duration {
	rate := q.ServiceRate()
	if rate <= 0 {
		return 0
	}
	flows := q.class(c)
	flowTokens, weights := cost, weight+flows.weights
	if f := flows.byName[workspace]; f != nil {
		flowTokens += f.tokens
		weights -= f.weight
	}
	tokensAhead := min(float64(flows.tokens), float64(flowTokens)*float64(weights)/float64(weight))
	switch {
	case c == rules.Batch && q.interactive.tokens > 0:
		tokensAhead = min(tokensAhead+float64(q.interactive.tokens), tokensAhead/batchShare)
	case c != rules.Batch && q.batch.tokens > 0:
		tokensAhead /= 1 - batchShare
	}
	return time.Duration(tokensAhead / rate * float64(time.Second))
}

// Enqueue queues the item, or refuses it at once when its workspace is over a
// limit or its deadline cannot be met.
func (q *Queue) Enqueue(now time.Duration, item *Item) *Refusal {
	q.updateRate(now)
	item.Weight, item.Cost = max(1, item.Weight), max(1, item.Cost)
	expected := q.EstimateWait(item.Workspace, item.Weight, item.Class, item.Cost)
	u := q.usage[item.Workspace]
	switch {
	case now >= item.Deadline:
		return &Refusal{DeadlinePassed: true}
	case u != nil && (u.count >= MaxWaiting || u.bytes+item.Bytes > MaxWaitingBytes):
		return &Refusal{RetryAfter: max(minRetryDelay, expected)}
	case now+expected >= item.Deadline:
		// A request with the same timeout can succeed once the excess backlog is served.
		return &Refusal{RetryAfter: max(minRetryDelay, now+expected-item.Deadline)}
	}
	if u == nil {
		u = &usage{}
		q.usage[item.Workspace] = u
	}
	u.count++
	u.bytes += item.Bytes
	q.earliestDeadline = min(q.earliestDeadline, item.Deadline)
	q.class(item.Class).enqueue(item, q.ServiceRate()*creditWindow.Seconds())
	return nil
}

// maxLag returns how far a start tag may lie behind the virtual time. tokens is
// what the pool serves within creditWindow.
func (c *class) maxLag(tokens float64) float64 { return tokens / float64(max(1, c.weights)) }

// enqueue appends the item to its flow. windowTokens is what the pool serves
// within creditWindow.
func (c *class) enqueue(item *Item, windowTokens float64) {
	f := c.byName[item.Workspace]
	if f == nil {
		f = &flow{workspace: item.Workspace}
		c.flows = append(c.flows, f)
		c.byName[item.Workspace] = f
	}
	c.weights += item.Weight - f.weight
	f.weight = item.Weight
	item.startTag = max(c.virtualTime-c.maxLag(windowTokens), f.lastFinishTag)
	item.finishTag = item.startTag + float64(item.Cost)/float64(item.Weight)
	f.lastFinishTag = item.finishTag
	f.items = append(f.items, item)
	f.tokens += item.Cost
	c.tokens += item.Cost
}

// head returns the flow whose first item fits and has the smallest start tag,
// or nil.
func (c *class) head(fits func(*Item) bool) *flow {
	var first *flow
	for _, f := range c.flows {
		if len(f.items) > 0 && (first == nil || f.items[0].startTag < first.items[0].startTag) && fits(f.items[0]) {
			first = f
		}
	}
	return first
}

// Dequeue removes and returns the next item that fits, or returns nil. It also
// expires overdue items.
func (q *Queue) Dequeue(now time.Duration, fits func(*Item) bool) *Item {
	q.updateRate(now)
	q.Expire(now)
	interactive, batch := q.interactive.head(fits), q.batch.head(fits)
	if interactive == nil && batch == nil {
		return nil
	}
	contended := interactive != nil && batch != nil
	if !contended {
		q.batchCredit = 0
	}
	f, c := interactive, &q.interactive
	if interactive == nil || (contended && q.batchCredit >= (1-batchShare)*float64(batch.items[0].Cost)) {
		f, c = batch, &q.batch
	}
	item := f.items[0]
	c.virtualTime = max(c.virtualTime, item.startTag)
	if contended && c == &q.batch {
		q.batchCredit -= (1 - batchShare) * float64(item.Cost)
	} else if contended {
		q.batchCredit += batchShare * float64(item.Cost)
	}
	q.remove(c, f, item)
	q.servedTokens += float64(item.Cost)
	return item
}

func (q *Queue) remove(c *class, f *flow, item *Item) {
	windowTokens := q.ServiceRate() * creditWindow.Seconds()
	f.items = slices.DeleteFunc(f.items, func(o *Item) bool { return o == item })
	f.tokens -= item.Cost
	c.tokens -= item.Cost
	if len(f.items) == 0 && f.lastFinishTag <= c.virtualTime-c.maxLag(windowTokens) {
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

// Cancel removes an item whose caller has disconnected. It reports whether the
// item was still queued.
func (q *Queue) Cancel(now time.Duration, item *Item) bool {
	q.updateRate(now)
	c := q.class(item.Class)
	for _, f := range c.flows {
		if slices.Contains(f.items, item) {
			q.remove(c, f, item)
			return true
		}
	}
	return false
}

// Expire refuses the items whose deadline has passed, and resets the flows of a
// class that has no backlog.
func (q *Queue) Expire(now time.Duration) {
	if now >= q.earliestDeadline {
		q.earliestDeadline = math.MaxInt64
		q.expire(now, &q.interactive)
		q.expire(now, &q.batch)
	}
	for _, c := range []*class{&q.interactive, &q.batch} {
		if c.tokens == 0 && len(c.flows) > 0 { // tags only order items that wait together
			c.flows, c.weights, c.virtualTime = nil, 0, 0
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
			q.earliestDeadline = min(q.earliestDeadline, item.Deadline)
		}
	}
}

// updateRate decays the service rate and adds the time since the last call if
// requests waited during it.
func (q *Queue) updateRate(now time.Duration) {
	elapsed := (now - q.measuredAt).Seconds()
	if elapsed <= 0 {
		return
	}
	q.measuredAt = now
	if len(q.usage) == 0 {
		return
	}
	decay := math.Exp(-elapsed / rateWindow.Seconds())
	q.servedTokens *= decay
	q.busySeconds = q.busySeconds*decay + elapsed
}
