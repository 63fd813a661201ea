package membership

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "geraniumturn.example/geraniumturn/internal/membership/membershippb"
)

var (
	schedules = flag.Int("schedules", 20, "number of random schedules")
	firstSeed = flag.Uint64("seed", 1, "seed of the first schedule")
)

const (
	simLength = 60 * time.Second
	// causeWindow is the stated bound on false deaths: a host is declared dead
	// only if it was down, paused or cut off from another host at some time in
	// this long before. It covers the suspicion time and the time in which a
	// declaration made during the fault still spreads.
	causeWindow = 15 * time.Second
	// detectLimit is when all hosts that can talk to each other know that a
	// host is down; discovery in its data centre stops naming it much earlier.
	detectLimit = 15 * time.Second
	settleLimit = 30 * time.Second
)

type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type host struct {
	Host
	epoch     int
	up        bool
	paused    bool
	changedAt time.Duration // when it last went down or up
	// cause is the last time at which something kept it from answering.
	cause    time.Duration
	cutAt    time.Duration // when it was last cut off from some host
	detector *Detector
	dead     map[string]bool // the deaths that this host believes in
	checked  uint64          // version of the table at the last check
}

type sim struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	now    time.Duration
	queue  eventQueue
	order  int
	hosts  []*host
	cut    map[string]bool
	loss   float64
	late   bool
	faults bool
	bytes  int
}

func (s *sim) fatalf(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d at %v: %s (repeat with -schedules=1 -seed=%d)", s.seed, s.now, fmt.Sprintf(format, args...), s.seed)
}

func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, event{s.now + d, s.order, do})
}

func newSim(t *testing.T, seed uint64, hosts, places int) *sim {
	s := &sim{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), cut: map[string]bool{}}
	for i := range hosts {
		place := fmt.Sprintf("dc%d", i%places)
		name := fmt.Sprintf("%s-%d", place, i/places)
		s.hosts = append(s.hosts, &host{Host: Host{Name: name, DataCentre: place, Region: place, Peer: name, HTTP: name}, cause: -time.Hour, cutAt: -time.Hour, changedAt: -time.Hour})
	}
	for _, h := range s.hosts {
		s.boot(h)
	}
	return s
}

func (s *sim) boot(h *host) {
	h.epoch++
	h.up, h.paused, h.dead, h.checked, h.changedAt = true, false, map[string]bool{}, 0, s.now
	self := h.Host
	self.Incarnation = uint64(s.now/time.Millisecond) + 1
	if s.random.IntN(4) == 0 {
		self.Incarnation = 0 // its wall clock went back
	}
	var known []Host
	for i, o := range s.hosts {
		if i < 6 || s.random.IntN(2) == 0 { // settings list some hosts
			known = append(known, o.Host)
		}
	}
	h.detector = NewDetector(self, known, s.random.Uint64())
	s.tick(h, h.epoch)
}

func (s *sim) tick(h *host, epoch int) {
	s.after(80*time.Millisecond+time.Duration(s.random.Int64N(int64(40*time.Millisecond))), func() {
		if !h.up || h.epoch != epoch {
			return
		}
		if !h.paused {
			s.send(h, h.detector.Tick(s.now))
			s.check(h)
		}
		s.tick(h, epoch)
	})
}

func (s *sim) host(name string) *host {
	for _, h := range s.hosts {
		if h.Name == name {
			return h
		}
	}
	s.fatalf("message to unknown host %q", name)
	return nil
}

func (s *sim) connected(a, b *host) bool {
	return !s.cut[a.DataCentre+">"+b.DataCentre] && !s.cut[a.Name] && !s.cut[b.Name] && !s.cut[a.Name+"|"+b.Name]
}

func (s *sim) send(from *host, out []Envelope) {
	for _, o := range out {
		to, data := s.host(o.To), s.encode(o.Message)
		copies := 1
		if s.faults && s.random.Float64() < s.loss {
			copies = 2
		}
		for range copies {
			s.deliver(from, to, o.Message.Kind, o.Message.Sequence, data)
		}
	}
}

func (s *sim) encode(m *pb.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		s.fatalf("%v", err)
	}
	if limit := maxRecordBytes + 1024; m.Kind != pb.Kind_SYNC && m.Kind != pb.Kind_SYNC_REPLY && len(data) > limit {
		s.fatalf("message of %d bytes", len(data))
	}
	s.bytes += len(data)
	return data
}

func (s *sim) deliver(from, to *host, kind pb.Kind, sequence uint64, data []byte) {
	if !s.connected(from, to) || (!to.up && s.random.IntN(2) == 0) {
		if kind == pb.Kind_PING && s.random.IntN(2) == 0 { // a refused connection is seen at once
			s.after(s.delay(from, to), func() {
				if from.up && !from.paused {
					s.send(from, from.detector.SendFailed(sequence))
				}
			})
		}
		return
	}
	if s.faults && s.random.Float64() < s.loss {
		return
	}
	epoch := to.epoch
	s.after(s.delay(from, to), func() { s.receive(to, epoch, data) })
}

func (s *sim) receive(to *host, epoch int, data []byte) {
	if !to.up || to.epoch != epoch {
		return
	}
	if to.paused { // the system keeps it until the process goes on
		s.after(100*time.Millisecond, func() { s.receive(to, epoch, data) })
		return
	}
	m := &pb.Message{}
	if err := proto.Unmarshal(data, m); err != nil {
		s.fatalf("%v", err)
	}
	s.send(to, to.detector.Receive(s.now, m))
	s.check(to)
}

func (s *sim) delay(a, b *host) time.Duration {
	base := time.Millisecond
	if a.DataCentre != b.DataCentre {
		base = 55 * time.Millisecond
	}
	if s.late && s.faults && s.random.IntN(50) == 0 {
		return time.Duration(s.random.Int64N(int64(2 * time.Second)))
	}
	return base + time.Duration(s.random.Int64N(int64(5*time.Millisecond)))
}

// check asserts that each new death in a host's table has a cause.
func (s *sim) check(h *host) {
	if h.checked == h.detector.Version() {
		return
	}
	h.checked = h.detector.Version()
	for _, o := range h.detector.Hosts() {
		if o.Dead && !h.dead[o.Name] {
			other := s.host(o.Name)
			// A pause of the host that declares is no cause.
			excused := !other.up || other.paused || s.now-other.cause <= causeWindow || s.wasCut(other) || s.wasCut(h)
			if !excused {
				s.fatalf("%s declares %s dead without a cause", h.Name, o.Name)
			}
		}
		h.dead[o.Name] = o.Dead
	}
}

func (s *sim) wasCut(h *host) bool { return s.isCut(h) || s.now-h.cutAt <= causeWindow }

func (s *sim) isCut(h *host) bool {
	for _, o := range s.hosts {
		if o != h && !s.connected(h, o) {
			return true
		}
	}
	return false
}

func (s *sim) fault() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	switch s.random.IntN(6) {
	case 0, 1:
		if h.up {
			h.up, h.cause, h.changedAt = false, s.now, s.now
			s.after(time.Duration(s.random.Int64N(int64(20*time.Second))), func() { h.cause = s.now; s.boot(h) })
		}
	case 2:
		if h.up && !h.paused {
			h.paused = true
			epoch := h.epoch
			s.after(time.Duration(s.random.Int64N(int64(8*time.Second))), func() {
				if h.epoch == epoch {
					h.paused, h.cause = false, s.now
				}
			})
		}
	case 3:
		for _, o := range s.hosts {
			if o.DataCentre != h.DataCentre {
				s.cut[h.DataCentre+">"+o.DataCentre], s.cut[o.DataCentre+">"+h.DataCentre] = true, true
			}
		}
	case 4:
		s.cut[h.Name] = true
	case 5:
		s.heal()
	}
}

func (s *sim) heal() {
	if len(s.cut) > 0 {
		for _, h := range s.hosts {
			if s.isCut(h) {
				h.cutAt = s.now
			}
		}
	}
	clear(s.cut)
}

func (s *sim) run(until time.Duration) {
	for s.queue.Len() > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

func (s *sim) schedule() {
	s.faults = true
	s.loss = []float64{0, 0, 0.01, 0.05}[s.random.IntN(4)]
	s.late = s.random.IntN(2) == 0
	for range s.random.IntN(8) {
		s.after(time.Duration(s.random.Int64N(int64(simLength))), s.fault)
	}
	s.run(simLength)
	s.heal()
	s.faults = false
	s.run(simLength + 20*time.Second) // the last restarts
	s.run(s.now + settleLimit)
	for _, h := range s.hosts {
		s.settled(h)
	}
	s.killOne()
}

// settled asserts that a host knows all hosts that are up, and none as dead.
func (s *sim) settled(h *host) {
	known := map[string]Host{}
	for _, o := range h.detector.Hosts() {
		known[o.Name] = o
	}
	for _, o := range s.hosts {
		k, ok := known[o.Name]
		if !ok || k.Dead != !o.up || k.Suspect {
			s.fatalf("%s holds %+v of %s (known %v, up %v)", h.Name, k, o.Name, ok, o.up)
		}
		if o.up && h.detector.digest != o.detector.digest {
			s.fatalf("tables of %s and %s differ", h.Name, o.Name)
		}
	}
}

// killOne asserts that a host that is down for good is found dead everywhere.
func (s *sim) killOne() {
	victim := s.hosts[s.random.IntN(len(s.hosts))]
	victim.up, victim.cause = false, s.now
	s.run(s.now + detectLimit)
	for _, h := range s.hosts {
		if h != victim && !h.dead[victim.Name] {
			s.fatalf("%s does not know that %s is down", h.Name, victim.Name)
		}
	}
}

// Guards against a host that is declared dead without a cause, a dead host that
// stays in the table, and tables that stay different after a partition, under
// loss, delay, duplicates, pauses, restarts and clocks that go back.
// More schedules: scripts/simulate.sh.
func TestSchedules(t *testing.T) {
	for i := range uint64(*schedules) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			size := rand.New(rand.NewPCG(seed, 1))
			newSim(t, seed, 3+size.IntN(10), 1+size.IntN(3)).schedule()
		})
	}
}
