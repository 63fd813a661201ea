package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/document"
)

// The ways in which a host treats an evacuation order. Only confirmed is that of the
// product; the others show that the schedules find what it prevents.
type orderHandling int

const (
	confirmed   orderHandling = iota
	unchecked                 // proposed as it is read
	unconfirmed               // proposed behind the position that the host knows when it reads it
)

const (
	// callTimeout is how long an operator waits for a response before it sends the order
	// to another host, and orderTimeout how long it goes on sending it.
	callTimeout  = time.Second
	orderTimeout = 6 * time.Second
	// forwardingTime is how long a host looks for a leader that takes an order.
	forwardingTime = 4 * time.Second
)

// simOrder is an order of an operator, who has one at a time.
type simOrder struct {
	dataCentre string
	evacuate   bool
	firstSent  time.Duration
	endsAt     time.Duration // no call is made after it
	acked      bool
}

// simOrderCall is one call with an order. It ends with a response, or is given up.
type simOrderCall struct {
	order     *simOrder
	host      *simHost
	redirects int
	answered  bool
	givenUpAt time.Duration // 0 until the operator stops waiting
}

// orderSim is a cluster with operators that evacuate data centres.
type orderSim struct {
	*sim
	handling orderHandling
	// proposals maps the term and index of an appended entry to its call.
	proposals map[[2]uint64]*simOrderCall
	// operatorsEnd is when the operators stop sending new orders.
	operatorsEnd time.Duration
	acked        int
}

// send delivers a message between an operator and a host, perhaps late or not at all.
func (s *orderSim) send(run func()) {
	if s.r.Float64() < s.lossRate {
		return
	}
	delay := time.Duration(1+s.r.IntN(8)) * time.Millisecond
	if s.r.Float64() < s.lateRate {
		delay += time.Duration(s.r.IntN(4000)) * time.Millisecond
	}
	s.schedule(delay, run)
}

// operate makes an operator send orders until the end of the faults.
func (s *orderSim) operate() {
	if s.now > s.operatorsEnd {
		return
	}
	o := &simOrder{dataCentre: []string{"a", "b"}[s.r.IntN(2)], evacuate: s.r.IntN(2) == 0, firstSent: s.now, endsAt: s.now + orderTimeout}
	s.call(o)
}

// call sends an order to a random host. Without an acknowledgement it is sent again, to any
// host; the operator's next order follows when it is acknowledged or abandoned.
func (s *orderSim) call(o *simOrder) {
	c := &simOrderCall{order: o, host: s.hosts[s.r.IntN(len(s.hosts))]}
	s.send(func() { s.runOrDefer(c.host, func() { s.take(c, nil) }) })
	s.await(c)
}

func (s *orderSim) await(c *simOrderCall) {
	hop := c.redirects
	s.schedule(callTimeout, func() {
		if !c.answered && c.redirects == hop {
			s.giveUp(c)
		}
	})
}

func (s *orderSim) giveUp(c *simOrderCall) {
	c.answered, c.givenUpAt = true, s.now
	s.schedule(time.Duration(20+s.r.IntN(200))*time.Millisecond, func() {
		if s.now > c.order.endsAt {
			s.operate()
			return
		}
		s.call(c.order)
	})
}

// take handles an order that a host has read, as the control plane does: it answers with the
// position that the caller has to confirm, or proposes the order behind that position.
func (s *orderSim) take(c *simOrderCall, after *uint64) {
	state, _ := c.host.machine.State()
	position := state.Orders[c.order.dataCentre]
	switch {
	case after != nil:
		s.propose(c, *after, s.now+forwardingTime)
	case s.handling == confirmed:
		s.answer(c, false, &position)
	default:
		s.propose(c, position, s.now+forwardingTime)
	}
}

// propose sends a proposal to the leader that the host follows, and retries it while it is
// certainly not appended.
func (s *orderSim) propose(c *simOrderCall, after uint64, until time.Duration) {
	h := c.host
	if h.core == nil || s.now > until {
		return
	}
	retry := func() {
		generation := h.generation
		s.schedule(50*time.Millisecond, func() {
			if h.generation == generation {
				s.runOrDefer(h, func() { s.propose(c, after, until) })
			}
		})
	}
	leader := s.ids[h.core.Status().Leader]
	switch {
	case leader == nil:
		retry()
	case leader == h:
		if !s.appendOrder(h, c, after) {
			retry()
		}
	default:
		s.deliver(h, leader, func() {
			if leader.core != nil && !s.appendOrder(leader, c, after) {
				s.deliver(leader, h, retry)
			}
		})
	}
}

// appendOrder appends an order at a leader, unless the machine refuses it. It reports false
// if the voter does not lead.
func (s *orderSim) appendOrder(leader *simHost, c *simOrderCall, after uint64) bool {
	if leader.core.CanPropose(s.localTime(leader)) != nil {
		return false
	}
	command, err := document.EncodeEvacuation(c.order.dataCentre, c.order.evacuate, after)
	if err != nil {
		s.fail("%v", err)
	}
	var pending [][]byte
	for _, e := range leader.core.EntriesAfter(leader.applied) {
		if isOrder(e) {
			pending = append(pending, e.Data)
		}
	}
	if err := leader.machine.Admit(pending, command); err != nil && s.handling != unchecked {
		s.deliver(leader, c.host, func() { s.answer(c, false, nil) })
		return true
	}
	index, term, err := leader.core.Propose(s.localTime(leader), command)
	if err != nil {
		return false
	}
	s.proposals[[2]uint64{term, index}] = c
	leader.onApply[index] = func(applied uint64) {
		if applied == term {
			s.deliver(leader, c.host, func() { s.answer(c, true, nil) })
		}
	}
	return true
}

// answer sends a response to the operator: an acknowledgement, a redirect that has to be
// followed with the position, or a refusal.
func (s *orderSim) answer(c *simOrderCall, acknowledged bool, position *uint64) {
	s.send(func() {
		switch {
		case c.answered:
		case acknowledged:
			c.answered, c.order.acked = true, true
			s.acked++
			s.schedule(time.Duration(s.r.IntN(600))*time.Millisecond, func() { s.operate() })
		case position != nil && c.redirects < 2:
			c.redirects++
			s.await(c)
			s.send(func() { s.runOrDefer(c.host, func() { s.take(c, position) }) })
		default:
			s.giveUp(c)
		}
	})
}

// staleOrder describes an order that changed a data centre behind a newer one: its call had
// been given up before the newer order was first sent. It is empty if there is none.
func (s *orderSim) staleOrder() string {
	evacuated, earlier := map[string]bool{}, map[string][]*simOrder{}
	for index := uint64(1); index <= uint64(len(s.committed)); index++ {
		e := s.committed[index]
		c := s.proposals[[2]uint64{e.Term, index}]
		if c == nil {
			continue
		}
		o := c.order
		if evacuated[o.dataCentre] != o.evacuate {
			for _, newer := range earlier[o.dataCentre] {
				if newer != o && c.givenUpAt > 0 && c.givenUpAt < newer.firstSent {
					return fmt.Sprintf("order %v for data centre %s, given up at %v, was carried out at index %d behind the order %v of %v (acknowledged: %v)",
						o.evacuate, o.dataCentre, c.givenUpAt, index, newer.evacuate, newer.firstSent, newer.acked)
				}
			}
		}
		evacuated[o.dataCentre] = o.evacuate
		earlier[o.dataCentre] = append(earlier[o.dataCentre], o)
	}
	return ""
}

// runOrderSchedule runs a random schedule of faults under the orders of two operators. It
// requires that orders are acknowledged once the faults have ended, and that all hosts then
// have the same state.
func runOrderSchedule(t testing.TB, seed uint64, handling orderHandling) *orderSim {
	s := &orderSim{sim: newSim(t, seed, []int{3, 3, 4, 6}[seed%4], 3, []int{0, 3, 3, 5}[seed%4]), handling: handling, proposals: map[[2]uint64]*simOrderCall{}}
	defer func() {
		if r := recover(); r != nil {
			t.Fatalf("seed %d: at %v: panic: %v", seed, s.now, r)
		}
	}()
	s.r = rand.New(rand.NewPCG(seed, 38))
	s.lossRate, s.lateRate = []float64{0, 0.02, 0.1}[s.r.IntN(3)], []float64{0.02, 0.1}[s.r.IntN(2)]
	faults := 15 * time.Second
	s.operatorsEnd = faults
	for range 2 {
		s.schedule(time.Duration(s.r.IntN(2000))*time.Millisecond, func() { s.operate() })
	}
	for range 4 + s.r.IntN(12) {
		s.schedule(time.Duration(s.r.Int64N(int64(faults))), s.fault)
	}
	s.runUntil(faults)
	s.heal()
	s.lateRate = 0
	s.runUntil(faults + 10*time.Second)
	before := s.acked
	s.operatorsEnd = s.now
	s.operate()
	s.runUntil(s.now + orderTimeout)
	if s.acked == before {
		s.fail("no order is acknowledged after the faults: %s", s.describe())
	}
	first, _ := s.hosts[0].machine.State()
	for _, h := range s.hosts[1:] {
		state, _ := h.machine.State()
		if fmt.Sprint(state) != fmt.Sprint(first) {
			s.fail("%s has %v, %s has %v", s.hosts[0].name, first, h.name, state)
		}
	}
	return s
}

// Guards against an evacuation order that is carried out after its caller has given it up,
// over a newer order: read late from a connection of a frozen host, delayed on the way, in
// the search for a leader, at a leader that is frozen, slow or deposed, or appended by one
// that regains the lead. To run many: go test ./internal/control/core -run Orders -schedules 10000
func TestGivenUpOrdersAreNotCarriedOut(t *testing.T) {
	acked := 0
	for i := range orderSchedules() {
		s := runOrderSchedule(t, *simSeed+i, confirmed)
		if stale := s.staleOrder(); stale != "" {
			s.fail("%s", stale)
		}
		acked += s.acked
	}
	if acked < 5*int(orderSchedules()) {
		t.Fatalf("only %d orders were acknowledged", acked)
	}
	t.Logf("%d schedules from seed %d: %d orders acknowledged", orderSchedules(), *simSeed, acked)
}

// orderSchedules is the number of schedules of orders.
func orderSchedules() uint64 { return 2 * uint64(*simSchedules) }

// Guards against schedules that would not show a stale order: of hosts that do not check
// orders, and of hosts that do not ask whether the caller still waits.
func TestOrderSchedulesFindStaleOrders(t *testing.T) {
	for name, handling := range map[string]orderHandling{"unchecked": unchecked, "unconfirmed": unconfirmed} {
		t.Run(name, func(t *testing.T) {
			for seed := range orderSchedules() {
				if stale := runOrderSchedule(t, seed, handling).staleOrder(); stale != "" {
					t.Logf("seed %d: %s", seed, stale)
					return
				}
			}
			t.Error("no schedule has a stale order")
		})
	}
}
