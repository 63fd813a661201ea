package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/rules"
)

const seed = 41

// bench simulates a pool of slots. A request occupies a slot for a time in
// proportion to its tokens.
type bench struct {
	rng     *rand.Rand
	now     time.Duration
	events  []event
	slots   int
	running int
	queue   *Queue
	// fifo replaces the fair queue if useFIFO is set.
	fifo    []*Item
	useFIFO bool
	waits   map[string][]time.Duration
	// tokens counts the dispatched tokens by class while both classes waited.
	tokens       map[rules.Class]int64
	expired      int
	refusedEarly int
}

type event struct {
	at time.Duration
	do func()
}

func newBench(slots int, useFIFO bool) *bench {
	return &bench{rng: rand.New(rand.NewPCG(seed, 1)), slots: slots, queue: NewQueue(), useFIFO: useFIFO,
		waits: map[string][]time.Duration{}, tokens: map[rules.Class]int64{}}
}

func (b *bench) at(d time.Duration, do func()) {
	e := event{b.now + d, do}
	i, _ := slices.BinarySearchFunc(b.events, e, func(x, y event) int { return cmp.Or(cmp.Compare(x.at, y.at), -1) })
	b.events = slices.Insert(b.events, i, e)
}

func (b *bench) run(until time.Duration) {
	for len(b.events) > 0 && b.events[0].at <= until {
		e := b.events[0]
		b.events = b.events[1:]
		b.now = e.at
		e.do()
	}
}

func (b *bench) arrive(workspace string, class rules.Class, cost int64, limit time.Duration) {
	entered := b.now
	item := &Item{Workspace: workspace, Weight: 1, Class: class, Cost: cost, Deadline: b.now + limit}
	item.Done = func(r *Refusal) {
		if r != nil {
			b.expired++
			return
		}
		b.waits[workspace] = append(b.waits[workspace], b.now-entered)
		if b.queue.interactive.tokens > 0 && b.queue.batch.tokens > 0 {
			b.tokens[class] += cost
		}
		b.running++
		b.at(time.Duration(cost)*tokenTime, func() {
			b.running--
			b.dispatch()
		})
	}
	if b.useFIFO {
		b.fifo = append(b.fifo, item)
	} else if b.queue.Enqueue(b.now, item) != nil {
		b.refusedEarly++
		return
	}
	b.dispatch()
}

// tokenTime is how long a slot takes to process one token.
const tokenTime = time.Millisecond

func (b *bench) dispatch() {
	for b.running < b.slots {
		if b.useFIFO {
			if len(b.fifo) == 0 {
				return
			}
			item := b.fifo[0]
			b.fifo = b.fifo[1:]
			item.Done(nil)
			continue
		}
		item := b.queue.Dequeue(b.now, func(*Item) bool { return true })
		if item == nil {
			return
		}
		item.Done(nil)
	}
}

// load generates Poisson arrivals that take the given fraction of the pool.
func (b *bench) load(workspace string, class rules.Class, load float64, limit time.Duration) {
	const mean = 100
	gap := time.Duration(float64(mean*tokenTime) / float64(b.slots) / load)
	rng := rand.New(rand.NewPCG(seed, uint64(workspace[len(workspace)-1])))
	var arrive func()
	arrive = func() {
		b.arrive(workspace, class, 20+rng.Int64N(2*(mean-20)), limit)
		b.at(time.Duration(rng.ExpFloat64()*float64(gap)), arrive)
	}
	b.at(0, arrive)
}

func p99(waits []time.Duration) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[len(waits)*99/100]
}

// p99OfOthers runs five workspaces at their shares, the first at the given
// multiple of its share, and returns the p99 wait over the other four.
func p99OfOthers(useFIFO bool, multiple float64) time.Duration {
	b := newBench(16, useFIFO)
	for i := range 5 {
		load := 0.19 // five times this is 95 % of the pool
		if i == 0 {
			load *= multiple
		}
		b.load(fmt.Sprintf("w%d", i), rules.Interactive, load, time.Hour)
	}
	b.run(600 * time.Second)
	var all []time.Duration
	for i := 1; i < 5; i++ {
		all = append(all, b.waits[fmt.Sprintf("w%d", i)]...)
	}
	return p99(all)
}

// Guards against a workspace at five times its share that delays the others:
// their p99 wait may grow by a tenth at most. A FIFO queue must exceed the same
// bound; otherwise the load is too low to show the effect.
func TestNoisyWorkspaceDoesNotDelayOthers(t *testing.T) {
	fair, fairNoisy := p99OfOthers(false, 1), p99OfOthers(false, 5)
	fifo, fifoNoisy := p99OfOthers(true, 1), p99OfOthers(true, 5)
	t.Logf("seed %d: p99 wait of the other workspaces at one and five times the share: fair queue %v, %v; FIFO %v, %v", seed, fair, fairNoisy, fifo, fifoNoisy)
	if float64(fairNoisy) > 1.1*float64(fair) {
		t.Errorf("seed %d: fair queue: p99 went from %v to %v", seed, fair, fairNoisy)
	}
	if float64(fifoNoisy) <= 1.1*float64(fifo) {
		t.Errorf("seed %d: FIFO baseline stays within the bound: %v to %v", seed, fifo, fifoNoisy)
	}
}

// Guards against starvation of batch requests, and against batch requests that
// delay interactive ones: under contention batch gets a tenth of the tokens.
func TestBatchKeepsMinimumShare(t *testing.T) {
	b := newBench(16, false)
	b.load("w1", rules.Interactive, 1.5, 2*time.Second)
	b.load("w2", rules.Batch, 1.5, time.Hour)
	b.run(300 * time.Second)
	share := float64(b.tokens[rules.Batch]) / float64(b.tokens[rules.Batch]+b.tokens[rules.Interactive])
	t.Logf("seed %d: batch share %.4f", seed, share)
	if share < batchShare-0.002 || share > batchShare+0.02 {
		t.Errorf("seed %d: batch share under contention is %.4f", seed, share)
	}
}

// Guards against requests that wait until their deadline without being served:
// with a measured service rate, most requests that cannot meet their deadline are
// refused on arrival.
func TestEarlyRefusal(t *testing.T) {
	b := newBench(16, false)
	b.load("w1", rules.Interactive, 2, time.Second)
	b.run(60 * time.Second)
	t.Logf("seed %d: refused on arrival %d, expired %d, served %d", seed, b.refusedEarly, b.expired, len(b.waits["w1"]))
	if b.refusedEarly == 0 || b.expired*10 > b.refusedEarly {
		t.Errorf("seed %d: %d refused on arrival, %d expired in the queue", seed, b.refusedEarly, b.expired)
	}
}

// Guards against unbounded memory: the queued requests and bytes of a workspace
// are limited, and the limit does not affect other workspaces.
func TestBoundedBacklog(t *testing.T) {
	q := NewQueue()
	item := func(workspace string, bytes int64) *Item {
		return &Item{Workspace: workspace, Cost: 1, Bytes: bytes, Deadline: time.Hour, Done: func(*Refusal) {}}
	}
	for i := range MaxWaiting {
		if q.Enqueue(0, item("a", 0)) != nil {
			t.Fatalf("request %d was refused", i)
		}
	}
	if r := q.Enqueue(0, item("a", 0)); r == nil || r.DeadlinePassed || r.RetryAfter <= 0 {
		t.Errorf("request above the bound: %+v", r)
	}
	if q.Enqueue(0, item("b", MaxWaitingBytes)) != nil {
		t.Error("another workspace was refused")
	}
	if q.Enqueue(0, item("b", 1)) == nil {
		t.Error("bytes above the bound were accepted")
	}
}

// Guards against dispatching an expired request, and against calling Done twice.
func TestExpiry(t *testing.T) {
	q := NewQueue()
	ends := 0
	item := &Item{Workspace: "a", Cost: 1, Deadline: time.Second, Done: func(r *Refusal) {
		ends++
		if r == nil || !r.DeadlinePassed {
			t.Errorf("expired request ended with %+v", r)
		}
	}}
	if r := q.Enqueue(0, item); r != nil {
		t.Fatalf("refused: %+v", r)
	}
	if got := q.Dequeue(time.Second, func(*Item) bool { return true }); got != nil {
		t.Error("expired request was dispatched")
	}
	if q.Cancel(time.Second, item) || ends != 1 || q.Waiting() != 0 {
		t.Errorf("ends %d, waiting %d", ends, q.Waiting())
	}
}

// Reports the cost of one admission decision by the number of workspaces.
func BenchmarkDecision(b *testing.B) {
	for _, workspaces := range []int{5, 2400} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			q := NewQueue()
			names := make([]string, workspaces)
			for i := range names {
				names[i] = fmt.Sprintf("workspace-%d", i)
				q.Enqueue(0, &Item{Workspace: names[i], Cost: 100, Deadline: time.Hour, Done: func(*Refusal) {}})
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				q.Enqueue(0, &Item{Workspace: names[i%workspaces], Cost: 100, Deadline: time.Hour, Done: func(*Refusal) {}})
				q.Dequeue(0, func(*Item) bool { return true })
				i++
			}
		})
	}
}
