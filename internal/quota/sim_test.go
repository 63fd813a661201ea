package quota

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/quota/quotapb"
)

// world runs the real machines of many hosts on a simulated network and
// simulated clocks. Time is real time; each host reads it through its clock.
type world struct {
	rng   *rand.Rand
	now   time.Duration
	queue eventQueue
	order uint64

	hosts   []*simHost
	members []Member
	// log is the committed log; each voter applies it with a lag.
	log    [][]byte
	truth  *Machine
	term   uint64
	leader *simHost
	// leaseUntil is the real time at which the leader's lease ends at the latest.
	leaseUntil time.Duration

	delay     func(from, to *simHost) time.Duration
	loss      float64
	duplicate float64
	cut       map[[2]string]bool

	workspaces []Workspace
	ideal      map[string]*idealBucket
	admitted   []admission
	failure    string
	// elasticTerm is the newest term whose leader has elastic buckets.
	elasticTerm     uint64
	messages, bytes int
}

type simHost struct {
	name, dataCentre string
	offset           time.Duration
	drift            float64
	alive, frozen    bool
	incarnation      uint64
	host             *Host
	joined           bool
	voter            *Machine
	applied          int
	deferred         []func()
	seen             uint64
	starting         bool
	members          StableMemberList
	backlog          []waiting
}

type waiting struct {
	waiter *Waiter
	done   func()
}

type admission struct {
	at        time.Duration
	workspace string
	used      Amount
	order     uint64
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// idealBucket is the bound: one bucket that all requests would share.
type idealBucket struct {
	share Share
	level float64
	last  time.Duration
}

func (b *idealBucket) advance(now time.Duration) {
	b.level = min(float64(b.share.Burst), b.level+float64(b.share.Rate)*(now-b.last).Seconds())
	b.last = now
}

func newWorld(seed uint64, members []Member, workspaces []Workspace, drift float64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), truth: NewMachine(), members: members, workspaces: workspaces,
		cut: map[[2]string]bool{}, ideal: map[string]*idealBucket{}}
	w.delay = func(from, to *simHost) time.Duration {
		if from.dataCentre == to.dataCentre {
			return 500 * time.Microsecond
		}
		return 55 * time.Millisecond
	}
	centres := map[string]bool{}
	for _, m := range members {
		h := &simHost{name: m.Name, dataCentre: m.DataCentre, drift: 1 + drift*(2*w.rng.Float64()-1),
			offset: time.Duration(w.rng.Int64N(int64(time.Hour)))}
		if !centres[m.DataCentre] && len(centres) < 3 {
			h.voter = NewMachine()
		}
		centres[m.DataCentre] = true
		w.hosts = append(w.hosts, h)
		w.boot(h)
	}
	w.elect(w.hosts[0])
	return w
}

func (h *simHost) clock(real time.Duration) time.Duration {
	return h.offset + time.Duration(float64(real)*h.drift)
}

func (w *world) at(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, do})
}

// on runs do on the host's process: later when it is frozen, never when that
// process has ended.
func (w *world) on(h *simHost, d time.Duration, do func()) {
	incarnation := h.incarnation
	var run func()
	run = func() {
		switch {
		case !h.alive || h.incarnation != incarnation:
		case h.frozen:
			h.deferred = append(h.deferred, run)
		default:
			do()
		}
	}
	w.at(d, run)
}

func (w *world) run(until time.Duration) {
	for w.queue.Len() > 0 && w.failure == "" {
		e := heap.Pop(&w.queue).(event)
		if e.at > until {
			w.now = until
			heap.Push(&w.queue, e)
			return
		}
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *world) boot(h *simHost) {
	h.alive, h.frozen, h.joined, h.starting, h.deferred, h.seen = true, false, false, false, nil, 0
	h.backlog, h.members = nil, StableMemberList{}
	h.incarnation++
	h.host = NewHost(h.name, h.dataCentre, h.incarnation, h.clock(w.now))
	var tick, sync func()
	tick = func() {
		h.host.Tick(h.clock(w.now))
		w.flush(h)
		w.on(h, TickInterval, tick)
	}
	sync = func() {
		w.sync(h)
		w.on(h, 100*time.Millisecond, sync)
	}
	w.on(h, 0, tick)
	w.on(h, time.Duration(w.rng.Int64N(int64(100*time.Millisecond))), sync)
}

func (w *world) reachable(a, b *simHost) bool {
	return a == b || !w.cut[[2]string{a.name, b.name}]
}

// lease is what control.Log.Lease reports on the host.
func (w *world) lease(h *simHost) uint64 {
	if w.leader == h && w.now < w.leaseUntil {
		return w.term
	}
	return 0
}

// elect makes the host leader of a new term, after the old lease has ended.
func (w *world) elect(h *simHost) {
	if w.now < w.leaseUntil || !h.alive || h.frozen || h.voter == nil || !w.majority(h) {
		return
	}
	w.term++
	w.leader, w.leaseUntil = h, w.now+900*time.Millisecond
	term, incarnation := w.term, h.incarnation
	var renew func()
	renew = func() {
		if w.term != term || h.incarnation != incarnation || !h.alive {
			return
		}
		if !h.frozen && w.majority(h) {
			w.leaseUntil = w.now + 900*time.Millisecond
		}
		w.at(200*time.Millisecond, renew)
	}
	w.at(200*time.Millisecond, renew)
}

func (w *world) majority(h *simHost) bool {
	voters, reached := 0, 0
	for _, o := range w.hosts {
		if o.voter != nil {
			voters++
			if o.alive && !o.frozen && w.reachable(h, o) && w.reachable(o, h) {
				reached++
			}
		}
	}
	return reached > voters/2
}

// propose commits a command when the host reaches the leader, and calls done
// with the index after the leader has applied it.
func (w *world) propose(h *simHost, c *quotapb.Command, done func(index uint64)) {
	data, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	l := w.leader
	w.at(w.delay(h, l), func() {
		if l != w.leader || w.now >= w.leaseUntil || !l.alive || l.frozen || !w.reachable(h, l) || !w.majority(l) || w.rng.Float64() < w.loss {
			return
		}
		w.commit(data)
		index := uint64(len(w.log))
		l.apply(w, len(w.log))
		w.on(h, w.delay(l, h), func() {
			if done != nil && w.reachable(l, h) {
				done(index)
			}
		})
	})
}

func (w *world) commit(data []byte) {
	w.log = append(w.log, data)
	w.truth.Apply(uint64(len(w.log)), data)
	_, records := w.truth.ChangedSince(uint64(len(w.log)) - 1)
	for _, r := range records {
		b := w.ideal[r.Workspace]
		if b == nil {
			b = &idealBucket{last: w.now}
			w.ideal[r.Workspace] = b
		}
		w.rebound(b, Share{Rate: r.Settled.Rate, Burst: r.Settled.Burst}, r.Workspace)
	}
	for _, h := range w.hosts {
		if h.voter != nil && h.alive {
			at := len(w.log)
			w.on(h, time.Duration(w.rng.Int64N(int64(200*time.Millisecond))), func() {
				if w.reachable(w.leader, h) {
					h.apply(w, at)
				}
			})
		}
	}
}

// rebound changes the bound. It is also noted among the admissions, so that
// the outside check replays both in order.
func (w *world) rebound(b *idealBucket, share Share, workspace string) {
	if b.share == share {
		return
	}
	b.advance(w.now)
	b.share = share
	b.advance(w.now)
	w.order++
	w.admitted = append(w.admitted, admission{at: w.now, workspace: workspace, used: -1, order: w.order})
	w.bounds(workspace, share)
}

func (h *simHost) apply(w *world, index int) {
	for ; h.applied < index; h.applied++ {
		h.voter.Apply(uint64(h.applied+1), w.log[h.applied])
	}
}

// sync does what the runtime's loop does: join, read, set, start, confirm.
func (w *world) sync(h *simHost) {
	if !h.joined {
		w.propose(h, &quotapb.Command{Kind: &quotapb.Command_Join{Join: &quotapb.Join{Host: h.name}}}, func(index uint64) {
			h.joined, h.seen = true, index
		})
		return
	}
	w.read(h)
	term := w.lease(h)
	if term != 0 && h.host.ElasticTerm() != term && !h.starting {
		h.starting = true
		w.propose(h, &quotapb.Command{Kind: &quotapb.Command_StartElastic{StartElastic: &quotapb.StartElastic{Term: term}}}, func(index uint64) {
			_, records := h.voter.ChangedSince(h.host.Index())
			h.host.Apply(h.clock(w.now), index, records)
			if w.lease(h) == term {
				h.host.StartElastic(h.clock(w.now), term)
				w.elasticTerm = term
			}
		})
		w.on(h, time.Second, func() { h.starting = false })
	}
	members, asOf := h.members.Observe(h.clock(w.now), h.host.Index(), w.members)
	if term != 0 && members != nil {
		h.apply(w, len(w.log))
		if set := h.voter.ReconcileCommand(1, asOf, members, w.workspaces, 100); set != nil {
			w.propose(h, &quotapb.Command{Kind: &quotapb.Command_Set{Set: set}}, nil)
		}
	}
	for _, c := range h.host.Confirmations(h.clock(w.now), term) {
		w.propose(h, &quotapb.Command{Kind: &quotapb.Command_Confirm{Confirm: &quotapb.Confirm{
			Host: c.Host, Term: c.Term, Confirmed: c.Confirmed}}}, nil)
	}
}

func (w *world) read(h *simHost) {
	voters := slices.DeleteFunc(slices.Clone(w.hosts), func(o *simHost) bool { return o.voter == nil })
	v := voters[w.rng.IntN(len(voters))]
	if h.voter != nil {
		v = h
	}
	w.on(v, w.delay(h, v), func() {
		if !w.reachable(h, v) {
			return
		}
		index, records := v.voter.ChangedSince(h.host.Index())
		if index < h.seen {
			return
		}
		w.on(h, w.delay(v, h), func() {
			if w.reachable(v, h) {
				h.host.Apply(h.clock(w.now), index, records)
			}
		})
	})
}

func (w *world) find(name string) *simHost {
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// flush sends the messages of the host and tells waiters that were served.
func (w *world) flush(h *simHost) {
	messages := h.host.TakeMessages()
	slices.SortStableFunc(messages, func(a, b Message) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Borrow.GetWorkspace(), b.Borrow.GetWorkspace()))
	})
	for _, m := range messages {
		to := w.find(m.To)
		if m.To == elastic {
			to = w.leader
		}
		w.messages++
		if m.Settle != nil {
			w.bytes += proto.Size(m.Settle)
			w.transmit(h, to, func() { to.host.HandleSettlements(to.clock(w.now), m.Settle) })
			continue
		}
		w.bytes += proto.Size(m.Borrow)
		answered := false
		w.transmit(h, to, func() {
			out := to.host.Lend(to.clock(w.now), m.Borrow, w.lease(to))
			w.messages++
			w.bytes += proto.Size(out)
			w.transmit(to, h, func() {
				answered = true
				h.host.HandleBorrowResponse(h.clock(w.now), m.To, m.Borrow, out)
				w.flush(h)
			})
		})
		w.on(h, 400*time.Millisecond, func() {
			if !answered {
				h.host.HandleBorrowFailure(h.clock(w.now), m.To, m.Borrow)
				w.flush(h)
			}
		})
	}
	var ready []waiting
	h.backlog = slices.DeleteFunc(h.backlog, func(b waiting) bool {
		if b.waiter.done {
			ready = append(ready, b)
		}
		return b.waiter.done
	})
	for _, b := range ready {
		b.done()
	}
}

func (w *world) transmit(from, to *simHost, do func()) {
	copies := 1
	if w.rng.Float64() < w.loss {
		copies = 0
	} else if w.rng.Float64() < w.duplicate {
		copies = 2
	}
	for range copies {
		d := w.delay(from, to)
		if w.loss > 0 {
			d += time.Duration(w.rng.ExpFloat64() * float64(20*time.Millisecond))
		}
		w.on(to, d, func() {
			if w.reachable(from, to) {
				do()
				w.flush(to)
			}
		})
	}
}

// request sends a request through the host; it runs for the time and uses a part.
func (w *world) request(h *simHost, workspace string, cost, used Amount, runs time.Duration, done func(admitted bool)) {
	if !h.alive || h.frozen {
		return
	}
	r, waiter, _ := h.host.Reserve(h.clock(w.now), workspace, cost)
	finish := func(r *Reservation) {
		if done != nil {
			done(r != nil)
		}
		if r == nil {
			return
		}
		for _, p := range r.parts {
			if h.clock(w.now) >= p.loan.expires && w.failure == "" {
				w.failure = fmt.Sprintf("%s at %v: %s spent a loan at or after its expiry", workspace, w.now, h.name)
			}
		}
		w.order++
		w.admitted = append(w.admitted, admission{w.now, workspace, used, w.order})
		w.on(h, runs, func() {
			h.host.Settle(h.clock(w.now), r, used)
			w.flush(h)
		})
	}
	if waiter != nil {
		h.backlog = append(h.backlog, waiting{waiter, func() { finish(waiter.Reservation) }})
	} else {
		finish(r)
	}
	w.flush(h)
}
