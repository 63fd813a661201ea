package departures

import (
	"container/heap"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/registry"
)

var (
	simSchedules = flag.Int("schedules", 150, "number of random schedules")
	simSeed      = flag.Uint64("seed", 1, "seed of the first schedule")
)

// The ways in which a control host acknowledges a departure. Only stored is that of the
// product; the others show that the schedules find what it prevents.
type acknowledgement int

const (
	stored   acknowledgement = iota
	atOnce                   // by the host that was told; the others learn of it in the next round
	inMemory                 // when enough hosts know it, which have no disk
	noResync                 // stored, but a host that lost its disk is not told again
)

const (
	simTick      = 20 * time.Millisecond
	simPoll      = 200 * time.Millisecond
	simRelay     = 150 * time.Millisecond
	beatInterval = 1200 * time.Millisecond
	callTimeout  = time.Second
	// calmTime is how long a host has been without faults when it has to know every
	// departure that was acknowledged as long ago.
	calmTime = 5 * time.Second
)

type simEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simProcess is the memory of a control or entry host; disk survives it.
type simHost struct {
	Control
	isControl bool
	disk      []registry.Record
	// process is 0 while the host is down.
	process uint64
	table   *registry.Table
	ledger  *Ledger
	// incarnations and cursors are those of an entry host, by control host.
	incarnations, cursors map[*simHost]uint64
	frozen                bool
	deferred              []func()
	// disturbedAt is when the last fault of the host began or ended.
	disturbedAt time.Duration
	diskFailing bool
}

// simTarget is a target, which starts again and again under its ID.
type simTarget struct {
	id       string
	start    int64
	sequence uint64
	left     bool
	home     *simHost
}

type ackedDeparture struct {
	id    string
	start int64
	state registry.State
	at    time.Duration
}

type simulation struct {
	t        testing.TB
	seed     uint64
	r        *rand.Rand
	handling acknowledgement
	now      time.Duration
	sequence int
	events   simEvents
	hosts    []*simHost
	controls []*simHost
	members  []Control
	targets  []*simTarget
	lost     int // LostDisks of the deployment
	blocked  map[*simHost]bool
	lossRate float64
	lateRate float64
	nextID   uint64
	acked    []ackedDeparture
	lastWipe time.Duration
	ended    bool // no more faults
}

func (s *simulation) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d: at %v: %s", s.seed, s.now, fmt.Sprintf(format, args...))
}

func (s *simulation) schedule(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{s.now + d, s.sequence, run})
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// onHost runs a function in the process in which it was requested, after a freeze if there
// is one.
func (s *simulation) onHost(h *simHost, process uint64, run func()) {
	switch {
	case h.process != process || process == 0:
	case h.frozen:
		h.deferred = append(h.deferred, func() { s.onHost(h, process, run) })
	default:
		run()
	}
}

// after runs a function in the current process of a host after a time.
func (s *simulation) after(h *simHost, d time.Duration, run func()) {
	process := h.process
	s.schedule(d, func() { s.onHost(h, process, run) })
}

// transmit delivers a message to whatever process of a host runs when it arrives, perhaps
// late, twice or not at all. from is nil for a target.
func (s *simulation) transmit(from, to *simHost, run func()) {
	if s.r.Float64() < s.lossRate || from != nil && s.blocked[from] || s.blocked[to] {
		return
	}
	for range 1 + s.r.IntN(20)/19 {
		delay := time.Duration(1+s.r.IntN(60)) * time.Millisecond
		if s.r.Float64() < s.lateRate {
			delay += time.Duration(s.r.IntN(4000)) * time.Millisecond
		}
		s.schedule(delay, func() {
			if !s.blocked[to] {
				s.onHost(to, to.process, run)
			}
		})
	}
}

func (s *simulation) boot(h *simHost) {
	s.nextID++
	h.process, h.frozen, h.deferred, h.disturbedAt = s.nextID, false, nil, s.now
	h.table = registry.NewTable()
	h.incarnations, h.cursors = map[*simHost]uint64{}, map[*simHost]uint64{}
	if !h.isControl {
		s.poll(h)
		return
	}
	for _, r := range h.disk {
		h.table.Merge(s.now, r)
	}
	h.ledger = NewLedger(h.table, h.Control, s.lost)
	s.keep(h)
	s.relay(h)
}

// keep does what the loop of a control host does: it stores departures and tells other hosts.
func (s *simulation) keep(h *simHost) {
	if w, due := h.ledger.NextWrite(s.now); due {
		s.write(h, w)
	}
	var controls []Control
	for _, c := range s.controls {
		controls = append(controls, c.Control)
	}
	if s.handling != atOnce {
		for _, c := range h.ledger.NextCalls(s.now, controls) {
			s.call(h, c)
		}
	}
	h.table.Expire(s.now)
	s.after(h, simTick, func() { s.keep(h) })
}

func (s *simulation) write(h *simHost, w Write) {
	if s.handling == inMemory {
		h.ledger.Written(s.now, w, nil)
		return
	}
	s.after(h, time.Duration(1+s.r.IntN(30))*time.Millisecond, func() {
		if h.diskFailing {
			h.ledger.Written(s.now, w, errors.New("disk full"))
			return
		}
		h.disk = slices.Clone(w.Records)
		h.ledger.Written(s.now, w, nil)
	})
}

func (s *simulation) call(h *simHost, c Call) {
	to := s.controls[slices.IndexFunc(s.controls, func(o *simHost) bool { return o.Address == c.Address })]
	process, answered := h.process, false
	s.transmit(h, to, func() {
		for _, r := range c.Records {
			to.table.Merge(s.now, r)
		}
		_, revision := to.table.Departures(0)
		s.awaitStored(to, revision, s.now+callTimeout, func() {
			responder := to.process
			if s.handling == noResync {
				responder = 1
			}
			s.transmit(to, h, func() {
				if h.process == process && !answered {
					answered = true
					h.ledger.Called(s.now, c, responder, nil)
				}
			})
		})
	})
	s.after(h, callTimeout, func() {
		if !answered {
			answered = true
			h.ledger.Called(s.now, c, 0, errors.New("no response"))
		}
	})
}

func (s *simulation) awaitStored(h *simHost, revision uint64, until time.Duration, done func()) {
	switch {
	case h.ledger.Stored(revision):
		done()
	case s.now < until:
		s.after(h, 5*time.Millisecond, func() { s.awaitStored(h, revision, until, done) })
	}
}

// relay tells the other control hosts of the heartbeats since the last round.
func (s *simulation) relay(h *simHost) {
	records := h.table.TakeHeartbeats()
	if s.handling == atOnce {
		departures, _ := h.table.Departures(h.cursors[nil])
		records = append(records, departures...)
		_, h.cursors[nil] = h.table.Departures(0)
	}
	for _, to := range s.controls {
		if to == h {
			continue
		}
		process := h.process
		s.transmit(h, to, func() {
			for _, r := range records {
				to.table.Merge(s.now, r)
			}
			responder := to.process
			if s.handling == noResync {
				responder = 1
			}
			s.transmit(to, h, func() {
				if h.process == process {
					h.ledger.Observe(to.Address, responder)
				}
			})
		})
	}
	s.after(h, simRelay, func() { s.relay(h) })
}

// poll exchanges with all control hosts on behalf of an entry host.
func (s *simulation) poll(h *simHost) {
	for _, c := range s.controls {
		process, cursor, incarnation := h.process, h.cursors[c], h.incarnations[c]
		s.transmit(h, c, func() {
			if incarnation != c.process {
				cursor = 0
			}
			records, next := c.table.ChangedSince(cursor)
			responder := c.process
			s.transmit(c, h, func() {
				if h.process != process {
					return
				}
				for _, r := range records {
					h.table.Merge(s.now, r)
				}
				h.incarnations[c], h.cursors[c] = responder, next
			})
		})
	}
	s.after(h, simPoll, func() { s.poll(h) })
}

// startTarget makes a target send heartbeats until it leaves.
func (s *simulation) startTarget(t *simTarget) {
	t.start, t.sequence, t.left = max(t.start+1, s.now.Milliseconds()+1), 0, false
	start := t.start
	t.home = s.controls[s.r.IntN(len(s.controls))]
	s.beat(t, start)
	if s.ended {
		return
	}
	s.schedule(time.Duration(1000+s.r.IntN(6000))*time.Millisecond, func() { s.leave(t) })
}

func (s *simulation) record(t *simTarget, state registry.State) registry.Record {
	t.sequence++
	return registry.Record{ID: t.id, StartMillis: t.start, Sequence: t.sequence, Service: "s", Address: "10.0.0.1:80", DataCentre: "dc", Slots: 1, State: state}
}

func (s *simulation) beat(t *simTarget, start int64) {
	if t.left || t.start != start {
		return
	}
	r := s.record(t, registry.Ready)
	home, heard := t.home, false
	s.transmit(nil, home, func() {
		home.table.Heartbeat(s.now, r)
		heard = true
	})
	s.schedule(callTimeout, func() {
		if !heard && t.home == home {
			t.home = s.controls[s.r.IntN(len(s.controls))]
		}
	})
	s.schedule(beatInterval, func() { s.beat(t, start) })
}

// leave lets a target deregister, or drain first. It starts again later under its ID.
func (s *simulation) leave(t *simTarget) {
	t.left = true
	state := registry.Left
	if s.r.IntN(3) == 0 {
		state = registry.Draining
	}
	r := s.record(t, state)
	s.depart(r, s.now+6*time.Second)
	s.schedule(time.Duration(1000+s.r.IntN(15000))*time.Millisecond, func() {
		if !s.ended {
			s.startTarget(t)
		}
	})
}

// depart sends a departure to one control host after the other until one acknowledges it.
func (s *simulation) depart(r registry.Record, until time.Duration) {
	h := s.controls[s.r.IntN(len(s.controls))]
	answered := false
	s.transmit(nil, h, func() {
		if r.State == registry.Left {
			h.table.Deregister(s.now, r.ID, r.StartMillis)
		} else {
			h.table.Heartbeat(s.now, r)
		}
		revision := h.table.DepartureRevision(r.ID)
		if s.handling == atOnce {
			revision = 0
		}
		s.awaitHeld(h, revision, s.now+callTimeout, func() {
			s.schedule(time.Duration(1+s.r.IntN(8))*time.Millisecond, func() {
				if !answered {
					answered = true
					s.acked = append(s.acked, ackedDeparture{r.ID, r.StartMillis, r.State, s.now})
				}
			})
		})
	})
	s.schedule(callTimeout, func() {
		if !answered && s.now < until {
			answered = true
			s.depart(r, until)
		}
	})
}

func (s *simulation) awaitHeld(h *simHost, revision uint64, until time.Duration, done func()) {
	switch {
	case revision == 0 || h.ledger.Held(revision, s.members):
		done()
	case s.now < until:
		s.after(h, 5*time.Millisecond, func() { s.awaitHeld(h, revision, until, done) })
	}
}

func (s *simulation) freeze(h *simHost, d time.Duration) {
	if h.frozen || h.process == 0 {
		return
	}
	h.frozen, h.disturbedAt = true, s.now
	process := h.process
	s.schedule(d, func() {
		if h.process != process {
			return
		}
		h.frozen, h.disturbedAt = false, s.now
		deferred := h.deferred
		h.deferred = nil
		for _, run := range deferred {
			run()
		}
	})
}

func (s *simulation) kill(h *simHost, down time.Duration) {
	h.process, h.disturbedAt = 0, s.now
	s.schedule(down, func() {
		if h.process == 0 {
			s.boot(h)
		}
	})
}

// wipe takes the disks of as many control hosts as the deployment bears, if all are back
// from the last time.
func (s *simulation) wipe(h *simHost) {
	for _, c := range s.controls {
		if c.process == 0 || s.now-c.disturbedAt < calmTime && c.disturbedAt > 0 {
			return
		}
	}
	s.lastWipe = s.now
	for range s.lost {
		h.disk = nil
		s.kill(h, time.Duration(s.r.IntN(1500))*time.Millisecond)
		h = s.controls[s.r.IntN(len(s.controls))]
	}
}

func (s *simulation) fault() {
	h := s.hosts[s.r.IntN(len(s.hosts))]
	c := s.controls[s.r.IntN(len(s.controls))]
	d := time.Duration(s.r.IntN(7500)) * time.Millisecond
	switch s.r.IntN(9) {
	case 0, 1:
		s.freeze(h, d)
	case 2:
		s.freeze(c, d)
	case 3:
		s.kill(h, d/4)
	case 4:
		for _, c := range s.controls {
			s.kill(c, time.Duration(s.r.IntN(1000))*time.Millisecond)
		}
	case 5:
		for _, o := range s.hosts {
			s.kill(o, time.Duration(s.r.IntN(1500))*time.Millisecond)
		}
	case 6:
		s.wipe(c)
	case 7:
		s.blocked[h], h.disturbedAt = true, s.now
		s.schedule(d, func() { delete(s.blocked, h); h.disturbedAt = s.now })
	case 8:
		c.diskFailing = true
		s.schedule(d/2, func() { c.diskFailing = false })
	}
}

// afterAcknowledgement kills or wipes hosts right after a departure was acknowledged.
func (s *simulation) afterAcknowledgement(known int) {
	if s.ended {
		return
	}
	if len(s.acked) > known && s.r.IntN(4) == 0 {
		c := s.controls[s.r.IntN(len(s.controls))]
		switch s.r.IntN(3) {
		case 0:
			s.kill(c, time.Second)
		case 1:
			s.wipe(c)
		case 2:
			for _, c := range s.controls {
				s.kill(c, time.Duration(s.r.IntN(1000))*time.Millisecond)
			}
		}
	}
	known = len(s.acked)
	s.schedule(time.Millisecond, func() { s.afterAcknowledgement(known) })
}

// forgotten describes a departure that was acknowledged and that a calm host does not know:
// an entry host that uses the target, or a control host that could be the last to know it.
// It is empty if there is none.
func (s *simulation) forgotten() string {
	for _, h := range s.hosts {
		if h.process == 0 || h.frozen || s.blocked[h] || s.now-h.disturbedAt < calmTime {
			continue
		}
		for _, a := range s.acked {
			r, known := h.table.Get(a.id)
			switch {
			case s.now-a.at <= calmTime || known && r.StartMillis > a.start:
			case known && r.StartMillis == a.start && (r.State == registry.Left || r.State == a.state):
			case !known && (!h.isControl || s.startedAgain(a)): // nothing is sent to it
			default:
				return fmt.Sprintf("%s has target %s, started at %d, as %s of %d: its state %s was acknowledged at %v", h.Address, a.id, a.start, r.State, r.StartMillis, a.state, a.at)
			}
		}
	}
	return ""
}

// startedAgain reports whether a later process of a target has started, which replaces the
// record of the departure.
func (s *simulation) startedAgain(a ackedDeparture) bool {
	return slices.ContainsFunc(s.targets, func(t *simTarget) bool { return t.id == a.id && t.start > a.start })
}

func newSimulation(t testing.TB, seed uint64, handling acknowledgement) *simulation {
	s := &simulation{t: t, seed: seed, r: rand.New(rand.NewPCG(seed, 39)), handling: handling, blocked: map[*simHost]bool{}, lost: 1, nextID: 1}
	perRegion := 1
	if seed%2 == 1 {
		perRegion, s.lost = 2, 2
	}
	for region := range 3 {
		for i := range perRegion {
			h := &simHost{Control: Control{fmt.Sprintf("c%d-%d", region, i), fmt.Sprint("r", region)}, isControl: true}
			s.hosts, s.controls, s.members = append(s.hosts, h), append(s.controls, h), append(s.members, h.Control)
		}
		s.hosts = append(s.hosts, &simHost{Control: Control{fmt.Sprint("e", region), fmt.Sprint("r", region)}})
	}
	for _, h := range s.hosts {
		s.boot(h)
	}
	for i := range 4 {
		s.targets = append(s.targets, &simTarget{id: fmt.Sprint("t", i)})
		s.startTarget(s.targets[i])
	}
	return s
}

// runSchedule runs a random schedule of faults, and then ends all faults. It returns what
// forgotten found on the way or at the end.
func runSchedule(t testing.TB, seed uint64, handling acknowledgement) (s *simulation, forgotten string) {
	s = newSimulation(t, seed, handling)
	s.lossRate, s.lateRate = []float64{0, 0.02, 0.1}[s.r.IntN(3)], []float64{0, 0.02, 0.1}[s.r.IntN(3)]
	const faults = 25 * time.Second
	for range 3 + s.r.IntN(10) {
		s.schedule(time.Duration(s.r.Int64N(int64(faults))), s.fault)
	}
	s.afterAcknowledgement(0)
	for s.now < faults {
		s.runUntil(s.now + 500*time.Millisecond)
		if forgotten = s.forgotten(); forgotten != "" {
			return s, forgotten
		}
	}
	s.ended, s.lossRate, s.lateRate = true, 0, 0
	s.runUntil(s.now + 2*calmTime + 7500*time.Millisecond)
	before := len(s.acked)
	s.depart(s.record(s.targets[0], registry.Left), s.now+6*time.Second)
	s.runUntil(s.now + 2*calmTime)
	if len(s.acked) == before {
		s.fail("no departure is acknowledged after the faults")
	}
	return s, s.forgotten()
}

// Guards against an acknowledged departure that is lost with the host that acknowledged it,
// with as many disks as a deployment has to bear, or with all processes at once; and against
// late heartbeats, copies and departures of other processes that undo it. To run many: go
// test ./internal/departures -run Acknowledged -schedules 10000
func TestAcknowledgedDeparturesAreKept(t *testing.T) {
	acked := 0
	for i := range uint64(*simSchedules) {
		s, forgotten := runSchedule(t, *simSeed+i, stored)
		if forgotten != "" {
			s.fail("%s", forgotten)
		}
		acked += len(s.acked)
	}
	if acked < 4**simSchedules {
		t.Fatalf("only %d departures were acknowledged", acked)
	}
	t.Logf("%d schedules from seed %d: %d departures acknowledged", *simSchedules, *simSeed, acked)
}

// Guards against a departure that an earlier process of its target outranks, because that one
// counts as established at a host which has not been told that it fell silent: seeds that failed.
func TestDepartureOutranksEarlierDrainingProcess(t *testing.T) {
	for _, seed := range []uint64{2922, 5375, 9590, 9904} {
		if s, forgotten := runSchedule(t, seed, stored); forgotten != "" {
			s.fail("%s", forgotten)
		}
	}
}

// Guards against schedules that would not show a lost departure.
func TestSchedulesFindLostDepartures(t *testing.T) {
	for name, handling := range map[string]acknowledgement{"acknowledged at once": atOnce, "held in memory": inMemory, "not told again": noResync} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(max(200, *simSchedules)) {
				if _, forgotten := runSchedule(t, seed, handling); forgotten != "" {
					t.Logf("seed %d: %s", seed, forgotten)
					return
				}
			}
			t.Error("no schedule loses a departure")
		})
	}
}
