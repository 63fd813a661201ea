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

// bench simulates a pool of slots; a request holds a slot for a time in
// proportion to its tokens.
type bench struct {
	rng     *rand.Rand
	now     time.Duration
	events  []event
	slots   int
	running int
	queue   *Queue
	// fifo, when set, replaces the fair queue.
	fifo  []*Item
	plain bool
	waits map[string][]time.Duration
	// tokens dispatched by class while both classes waited.
	tokens map[rules.Class]int64
	late   int
	early  int
}

type event struct {
	at time.Duration
	do func()
}

func newBench(slots int, plain bool) *bench {
	return &bench{rng: rand.New(rand.NewPCG(seed, 1)), slots: slots, queue: NewQueue(), plain: plain,
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
			b.late++
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
	if b.plain {
		b.fifo = append(b.fifo, item)
	} else if b.queue.Enqueue(b.now, item) != nil {
		b.early++
		return
	}
	b.dispatch()
}

// tokenTime is how long a slot works on one token.
const tokenTime = time.Millisecond

func (b *bench) dispatch() {
	for b.running < b.slots {
		if b.plain {
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

// load offers Poisson arrivals with the given load of the whole pool.
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

// others runs five workspaces at their shares, the first at the given multiple,
// and returns the p99 wait of the other four together.
func others(plain bool, multiple float64) time.Duration {
	b := newBench(16, plain)
	for i := range 5 {
		load := 0.19 // five shares fill 95 % of the pool
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

// Guards against a workspace at five times its share that makes the others
// wait: their p99 wait may grow by a tenth at most. First-in-first-out is the
// baseline, which must fail the same bound, or the experiment shows nothing.
func TestOthersWaitAlike(t *testing.T) {
	fair, fairLoud := others(false, 1), others(false, 5)
	plain, plainLoud := others(true, 1), others(true, 5)
	t.Logf("seed %d: p99 wait of the others at one and five times: fair %v, %v; first-in-first-out %v, %v", seed, fair, fairLoud, plain, plainLoud)
	if float64(fairLoud) > 1.1*float64(fair) {
		t.Errorf("seed %d: fair queue: p99 went from %v to %v", seed, fair, fairLoud)
	}
	if float64(plainLoud) <= 1.1*float64(plain) {
		t.Errorf("seed %d: baseline does not show the effect: %v to %v", seed, plain, plainLoud)
	}
}

// Guards against batch that starves, and against batch that delays interactive
// requests: under contention batch gets a tenth of the tokens.
func TestBatchKeepsItsShare(t *testing.T) {
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

// Guards against requests that wait in vain: with a measured service rate most
// that cannot meet their deadline are refused at once, not after waiting.
func TestEarlyRefusal(t *testing.T) {
	b := newBench(16, false)
	b.load("w1", rules.Interactive, 2, time.Second)
	b.run(60 * time.Second)
	t.Logf("seed %d: refused early %d, late %d, served %d", seed, b.early, b.late, len(b.waits["w1"]))
	if b.early == 0 || b.late*10 > b.early {
		t.Errorf("seed %d: %d refused early, %d only after waiting", seed, b.early, b.late)
	}
}

// Guards against unbounded memory: a workspace may hold only so many requests
// and bytes, and another workspace still gets in.
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

// Guards against an expired request that is dispatched, and against one whose
// end is reported twice.
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
