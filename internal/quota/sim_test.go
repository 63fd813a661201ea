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

// simulation runs the real state of many hosts on a simulated network and
// simulated clocks. now is the true time; each host reads it through its own clock,
// which has an offset and drifts.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	queue     eventQueue
	lastOrder uint64

	hosts   []*simHost
	members []Member
	// log is the committed log. Each voter applies it with a delay; reference applies
	// it at once.
	log       [][]byte
	reference *Machine
	term      uint64
	leader    *simHost
	// leaseUntil is the true time at which the leader's lease ends at the latest.
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
	appliedIndex     int
	deferredCalls    []func()
	joinIndex        uint64
	startingElastic  bool
	members          StableMemberList
	backlog          []pendingRequest
}

type pendingRequest struct {
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

// idealBucket is the bound: one bucket shared by the requests of all hosts.
type idealBucket struct {
	share     Share
	level     float64
	updatedAt time.Duration
}

func (b *idealBucket) advance(now time.Duration) {
	b.level = min(float64(b.share.Burst), b.level+float64(b.share.Rate)*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}

func newSimulation(seed uint64, members []Member, workspaces []Workspace, drift float64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), reference: NewMachine(), members: members, workspaces: workspaces,
		cut: map[[2]string]bool{}, ideal: map[string]*idealBucket{}}
	s.delay = func(from, to *simHost) time.Duration {
		if from.dataCentre == to.dataCentre {
			return 500 * time.Microsecond
		}
		return 55 * time.Millisecond
	}
	centres := map[string]bool{}
	for _, m := range members {
		h := &simHost{name: m.Name, dataCentre: m.DataCentre, drift: 1 + drift*(2*s.rng.Float64()-1),
			offset: time.Duration(s.rng.Int64N(int64(time.Hour)))}
		if !centres[m.DataCentre] && len(centres) < 3 {
			h.voter = NewMachine()
		}
		centres[m.DataCentre] = true
		s.hosts = append(s.hosts, h)
		s.startHost(h)
	}
	s.elect(s.hosts[0])
	return s
}

func (h *simHost) clock(real time.Duration) time.Duration {
	return h.offset + time.Duration(float64(real)*h.drift)
}

func (s *simulation) after(d time.Duration, do func()) {
	s.lastOrder++
	heap.Push(&s.queue, event{s.now + d, s.lastOrder, do})
}

// runOn runs do in the current process of the host after the delay d: later when
// the process is frozen, never when it has ended.
func (s *simulation) runOn(h *simHost, d time.Duration, do func()) {
	incarnation := h.incarnation
	var run func()
	run = func() {
		switch {
		case !h.alive || h.incarnation != incarnation:
		case h.frozen:
			h.deferredCalls = append(h.deferredCalls, run)
		default:
			do()
		}
	}
	s.after(d, run)
}

func (s *simulation) run(until time.Duration) {
	for s.queue.Len() > 0 && s.failure == "" {
		e := heap.Pop(&s.queue).(event)
		if e.at > until {
			s.now = until
			heap.Push(&s.queue, e)
			return
		}
		s.now = e.at
		e.do()
	}
	s.now = until
}

func (s *simulation) startHost(h *simHost) {
	h.alive, h.frozen, h.joined, h.startingElastic, h.deferredCalls, h.joinIndex = true, false, false, false, nil, 0
	h.backlog, h.members = nil, StableMemberList{}
	h.incarnation++
	h.host = NewHost(h.name, h.dataCentre, h.incarnation, h.clock(s.now))
	var tick, sync func()
	tick = func() {
		h.host.Tick(h.clock(s.now))
		s.flush(h)
		s.runOn(h, TickInterval, tick)
	}
	sync = func() {
		s.sync(h)
		s.runOn(h, 100*time.Millisecond, sync)
	}
	s.runOn(h, 0, tick)
	s.runOn(h, time.Duration(s.rng.Int64N(int64(100*time.Millisecond))), sync)
}

func (s *simulation) reachable(a, b *simHost) bool {
	return a == b || !s.cut[[2]string{a.name, b.name}]
}

// lease is what control.Log.Lease reports on the host; 0 means no lease.
func (s *simulation) lease(h *simHost) uint64 {
	if s.leader == h && s.now < s.leaseUntil {
		return s.term
	}
	return 0
}

// elect makes the host leader of a new term if the previous lease has ended.
func (s *simulation) elect(h *simHost) {
	if s.now < s.leaseUntil || !h.alive || h.frozen || h.voter == nil || !s.hasQuorum(h) {
		return
	}
	s.term++
	s.leader, s.leaseUntil = h, s.now+900*time.Millisecond
	term, incarnation := s.term, h.incarnation
	var renew func()
	renew = func() {
		if s.term != term || h.incarnation != incarnation || !h.alive {
			return
		}
		if !h.frozen && s.hasQuorum(h) {
			s.leaseUntil = s.now + 900*time.Millisecond
		}
		s.after(200*time.Millisecond, renew)
	}
	s.after(200*time.Millisecond, renew)
}

func (s *simulation) hasQuorum(h *simHost) bool {
	voters, reached := 0, 0
	for _, o := range s.hosts {
		if o.voter != nil {
			voters++
			if o.alive && !o.frozen && s.reachable(h, o) && s.reachable(o, h) {
				reached++
			}
		}
	}
	return reached > voters/2
}

// propose commits a command when the host reaches the leader, and calls done
// with the index after the leader has applied it.
func (s *simulation) propose(h *simHost, c *quotapb.Command, done func(index uint64)) {
	data, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	l := s.leader
	s.after(s.delay(h, l), func() {
		if l != s.leader || s.now >= s.leaseUntil || !l.alive || l.frozen || !s.reachable(h, l) || !s.hasQuorum(l) || s.rng.Float64() < s.loss {
			return
		}
		s.commit(data)
		index := uint64(len(s.log))
		l.apply(s, len(s.log))
		s.runOn(h, s.delay(l, h), func() {
			if done != nil && s.reachable(l, h) {
				done(index)
			}
		})
	})
}

func (s *simulation) commit(data []byte) {
	s.log = append(s.log, data)
	s.reference.Apply(uint64(len(s.log)), data)
	_, records := s.reference.ChangedSince(uint64(len(s.log)) - 1)
	for _, r := range records {
		b := s.ideal[r.Workspace]
		if b == nil {
			b = &idealBucket{updatedAt: s.now}
			s.ideal[r.Workspace] = b
		}
		s.changeBound(b, Share{Rate: r.Settled.Rate, Burst: r.Settled.Burst}, r.Workspace)
	}
	for _, h := range s.hosts {
		if h.voter != nil && h.alive {
			index := len(s.log)
			s.runOn(h, time.Duration(s.rng.Int64N(int64(200*time.Millisecond))), func() {
				if s.reachable(s.leader, h) {
					h.apply(s, index)
				}
			})
		}
	}
}

// changeBound changes the bound. The change is also recorded among the admissions,
// so that checkAdmissions replays both in order.
func (s *simulation) changeBound(b *idealBucket, share Share, workspace string) {
	if b.share == share {
		return
	}
	b.advance(s.now)
	b.share = share
	b.advance(s.now)
	s.lastOrder++
	s.admitted = append(s.admitted, admission{at: s.now, workspace: workspace, used: -1, order: s.lastOrder})
	s.recordBound(workspace, share)
}

func (h *simHost) apply(s *simulation, index int) {
	for ; h.appliedIndex < index; h.appliedIndex++ {
		h.voter.Apply(uint64(h.appliedIndex+1), s.log[h.appliedIndex])
	}
}

// sync does the steps of Runtime.syncOnce: join, read records, start the elastic
// buckets, propose allocations, confirm decreases.
func (s *simulation) sync(h *simHost) {
	if !h.joined {
		s.propose(h, &quotapb.Command{Kind: &quotapb.Command_Join{Join: &quotapb.Join{Host: h.name}}}, func(index uint64) {
			h.joined, h.joinIndex = true, index
		})
		return
	}
	s.readRecords(h)
	term := s.lease(h)
	if term != 0 && h.host.ElasticTerm() != term && !h.startingElastic {
		h.startingElastic = true
		s.propose(h, &quotapb.Command{Kind: &quotapb.Command_StartElastic{StartElastic: &quotapb.StartElastic{Term: term}}}, func(index uint64) {
			_, records := h.voter.ChangedSince(h.host.Index())
			h.host.Apply(h.clock(s.now), index, records)
			if s.lease(h) == term {
				h.host.StartElastic(h.clock(s.now), term)
				s.elasticTerm = term
			}
		})
		s.runOn(h, time.Second, func() { h.startingElastic = false })
	}
	members, asOf := h.members.Observe(h.clock(s.now), h.host.Index(), s.members)
	if term != 0 && members != nil {
		h.apply(s, len(s.log))
		if set := h.voter.ReconcileCommand(1, asOf, members, s.workspaces, 100); set != nil {
			s.propose(h, &quotapb.Command{Kind: &quotapb.Command_Set{Set: set}}, nil)
		}
	}
	for _, c := range h.host.Confirmations(h.clock(s.now), term) {
		s.propose(h, &quotapb.Command{Kind: &quotapb.Command_Confirm{Confirm: &quotapb.Confirm{
			Host: c.Host, Term: c.Term, Confirmed: c.Confirmed}}}, nil)
	}
}

func (s *simulation) readRecords(h *simHost) {
	voters := slices.DeleteFunc(slices.Clone(s.hosts), func(o *simHost) bool { return o.voter == nil })
	v := voters[s.rng.IntN(len(voters))]
	if h.voter != nil {
		v = h
	}
	s.runOn(v, s.delay(h, v), func() {
		if !s.reachable(h, v) {
			return
		}
		index, records := v.voter.ChangedSince(h.host.Index())
		if index < h.joinIndex {
			return
		}
		s.runOn(h, s.delay(v, h), func() {
			if s.reachable(v, h) {
				h.host.Apply(h.clock(s.now), index, records)
			}
		})
	})
}

func (s *simulation) hostByName(name string) *simHost {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// flush sends the messages of the host and completes the requests whose wait has
// ended.
func (s *simulation) flush(h *simHost) {
	messages := h.host.TakeMessages()
	slices.SortStableFunc(messages, func(a, b Message) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Borrow.GetWorkspace(), b.Borrow.GetWorkspace()))
	})
	for _, m := range messages {
		to := s.hostByName(m.To)
		if m.To == elasticName {
			to = s.leader
		}
		s.messages++
		if m.Settle != nil {
			s.bytes += proto.Size(m.Settle)
			s.transmit(h, to, func() { to.host.HandleSettlements(to.clock(s.now), m.Settle) })
			continue
		}
		s.bytes += proto.Size(m.Borrow)
		answered := false
		s.transmit(h, to, func() {
			out := to.host.Lend(to.clock(s.now), m.Borrow, s.lease(to))
			s.messages++
			s.bytes += proto.Size(out)
			s.transmit(to, h, func() {
				answered = true
				h.host.HandleBorrowResponse(h.clock(s.now), m.To, m.Borrow, out)
				s.flush(h)
			})
		})
		s.runOn(h, 400*time.Millisecond, func() {
			if !answered {
				h.host.HandleBorrowFailure(h.clock(s.now), m.To, m.Borrow)
				s.flush(h)
			}
		})
	}
	var ready []pendingRequest
	h.backlog = slices.DeleteFunc(h.backlog, func(b pendingRequest) bool {
		if b.waiter.done {
			ready = append(ready, b)
		}
		return b.waiter.done
	})
	for _, b := range ready {
		b.done()
	}
}

func (s *simulation) transmit(from, to *simHost, do func()) {
	copies := 1
	if s.rng.Float64() < s.loss {
		copies = 0
	} else if s.rng.Float64() < s.duplicate {
		copies = 2
	}
	for range copies {
		d := s.delay(from, to)
		if s.loss > 0 {
			d += time.Duration(s.rng.ExpFloat64() * float64(20*time.Millisecond))
		}
		s.runOn(to, d, func() {
			if s.reachable(from, to) {
				do()
				s.flush(to)
			}
		})
	}
}

// request sends a request through the host. It runs for the given time and uses
// the given part of its cost.
func (s *simulation) request(h *simHost, workspace string, cost, used Amount, runs time.Duration, done func(admitted bool)) {
	if !h.alive || h.frozen {
		return
	}
	r, waiter, _ := h.host.Reserve(h.clock(s.now), workspace, cost)
	finish := func(r *Reservation) {
		if done != nil {
			done(r != nil)
		}
		if r == nil {
			return
		}
		for _, p := range r.loanParts {
			if h.clock(s.now) >= p.loan.expires && s.failure == "" {
				s.failure = fmt.Sprintf("%s at %v: %s spent a loan at or after its expiry", workspace, s.now, h.name)
			}
		}
		s.lastOrder++
		s.admitted = append(s.admitted, admission{s.now, workspace, used, s.lastOrder})
		s.runOn(h, runs, func() {
			h.host.Settle(h.clock(s.now), r, used)
			s.flush(h)
		})
	}
	if waiter != nil {
		h.backlog = append(h.backlog, pendingRequest{waiter, func() { finish(waiter.Reservation) }})
	} else {
		finish(r)
	}
	s.flush(h)
}
