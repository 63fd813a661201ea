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
	simDuration = 60 * time.Second
	// faultWindow bounds false positives: a host may be marked dead only if it was down,
	// paused or partitioned from another host within this time before. It covers the
	// suspicion timeout and the time in which a death detected during the fault spreads.
	faultWindow = 15 * time.Second
	// detectionTimeout is the time within which all connected hosts must mark a crashed
	// host dead. Service discovery in its data centre omits the host much earlier.
	detectionTimeout = 15 * time.Second
	// convergenceTimeout is the time after the last fault within which all tables must agree.
	convergenceTimeout = 30 * time.Second
)

type event struct {
	at    time.Duration
	order int // breaks ties by the order of scheduling
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
	epoch     int // number of starts
	up        bool
	paused    bool
	changedAt time.Duration // of the last start or crash
	// faultAt is the last time at which the host was down or paused.
	faultAt        time.Duration
	partitionedAt  time.Duration // the last time at which it was partitioned from any host
	detector       *Detector
	markedDead     map[string]bool // the hosts that were dead in the table at the last check
	checkedVersion uint64          // of the table at the last check
}

type sim struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	now    time.Duration
	queue  eventQueue
	order  int
	hosts  []*host
	// The keys of cutLinks are "DATACENTRE>DATACENTRE" and "HOST|HOST" for one direction, and
	// "HOST" for all links of a host.
	cutLinks   map[string]bool
	lossRate   float64
	longDelays bool
	faults     bool
	bytes      int
}

func (s *sim) fatalf(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d at %v: %s (repeat with -schedules=1 -seed=%d)", s.seed, s.now, fmt.Sprintf(format, args...), s.seed)
}

func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, event{s.now + d, s.order, do})
}

func newSim(t *testing.T, seed uint64, hosts, dataCentres int) *sim {
	s := &sim{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), cutLinks: map[string]bool{}}
	for i := range hosts {
		dataCentre := fmt.Sprintf("dc%d", i%dataCentres)
		name := fmt.Sprintf("%s-%d", dataCentre, i/dataCentres)
		s.hosts = append(s.hosts, &host{Host: Host{Name: name, DataCentre: dataCentre, Region: dataCentre, Peer: name, HTTP: name}, faultAt: -time.Hour, partitionedAt: -time.Hour, changedAt: -time.Hour})
	}
	for _, h := range s.hosts {
		s.boot(h)
	}
	return s
}

func (s *sim) boot(h *host) {
	h.epoch++
	h.up, h.paused, h.markedDead, h.checkedVersion, h.changedAt = true, false, map[string]bool{}, 0, s.now
	self := h.Host
	self.Incarnation = uint64(s.now/time.Millisecond) + 1
	if s.random.IntN(4) == 0 {
		self.Incarnation = 0 // its wall clock was set back
	}
	var known []Host
	for i, o := range s.hosts {
		if i < 6 || s.random.IntN(2) == 0 { // the settings list only some hosts
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
			s.checkDeaths(h)
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
	return !s.cutLinks[a.DataCentre+">"+b.DataCentre] && !s.cutLinks[a.Name] && !s.cutLinks[b.Name] && !s.cutLinks[a.Name+"|"+b.Name]
}

func (s *sim) send(from *host, out []Envelope) {
	for _, o := range out {
		to, data := s.host(o.To), s.encode(o.Message)
		copies := 1
		if s.faults && s.random.Float64() < s.lossRate {
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
		if kind == pb.Kind_PING && s.random.IntN(2) == 0 { // a refused connection is reported at once
			s.after(s.delay(from, to), func() {
				if from.up && !from.paused {
					s.send(from, from.detector.SendFailed(sequence))
				}
			})
		}
		return
	}
	if s.faults && s.random.Float64() < s.lossRate {
		return
	}
	epoch := to.epoch
	s.after(s.delay(from, to), func() { s.receive(to, epoch, data) })
}

func (s *sim) receive(to *host, epoch int, data []byte) {
	if !to.up || to.epoch != epoch {
		return
	}
	if to.paused { // the kernel buffers the message until the process resumes
		s.after(100*time.Millisecond, func() { s.receive(to, epoch, data) })
		return
	}
	m := &pb.Message{}
	if err := proto.Unmarshal(data, m); err != nil {
		s.fatalf("%v", err)
	}
	s.send(to, to.detector.Receive(s.now, m))
	s.checkDeaths(to)
}

func (s *sim) delay(a, b *host) time.Duration {
	base := time.Millisecond
	if a.DataCentre != b.DataCentre {
		base = 55 * time.Millisecond
	}
	if s.longDelays && s.faults && s.random.IntN(50) == 0 {
		return time.Duration(s.random.Int64N(int64(2 * time.Second)))
	}
	return base + time.Duration(s.random.Int64N(int64(5*time.Millisecond)))
}

// checkDeaths asserts that each host newly marked dead in h's table had a fault.
func (s *sim) checkDeaths(h *host) {
	if h.checkedVersion == h.detector.Version() {
		return
	}
	h.checkedVersion = h.detector.Version()
	for _, o := range h.detector.Hosts() {
		if o.Dead && !h.markedDead[o.Name] {
			other := s.host(o.Name)
			// A pause of h itself is no reason to mark another host dead.
			justified := !other.up || other.paused || s.now-other.faultAt <= faultWindow || s.recentlyPartitioned(other) || s.recentlyPartitioned(h)
			if !justified {
				s.fatalf("%s marks %s dead without a fault", h.Name, o.Name)
			}
		}
		h.markedDead[o.Name] = o.Dead
	}
}

func (s *sim) recentlyPartitioned(h *host) bool {
	return s.partitioned(h) || s.now-h.partitionedAt <= faultWindow
}

func (s *sim) partitioned(h *host) bool {
	for _, o := range s.hosts {
		if o != h && !s.connected(h, o) {
			return true
		}
	}
	return false
}

func (s *sim) injectFault() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	switch s.random.IntN(6) {
	case 0, 1:
		if h.up {
			h.up, h.faultAt, h.changedAt = false, s.now, s.now
			s.after(time.Duration(s.random.Int64N(int64(20*time.Second))), func() { h.faultAt = s.now; s.boot(h) })
		}
	case 2:
		if h.up && !h.paused {
			h.paused = true
			epoch := h.epoch
			s.after(time.Duration(s.random.Int64N(int64(8*time.Second))), func() {
				if h.epoch == epoch {
					h.paused, h.faultAt = false, s.now
				}
			})
		}
	case 3:
		for _, o := range s.hosts {
			if o.DataCentre != h.DataCentre {
				s.cutLinks[h.DataCentre+">"+o.DataCentre], s.cutLinks[o.DataCentre+">"+h.DataCentre] = true, true
			}
		}
	case 4:
		s.cutLinks[h.Name] = true
	case 5:
		s.heal()
	}
}

func (s *sim) heal() {
	if len(s.cutLinks) > 0 {
		for _, h := range s.hosts {
			if s.partitioned(h) {
				h.partitionedAt = s.now
			}
		}
	}
	clear(s.cutLinks)
}

func (s *sim) run(until time.Duration) {
	for s.queue.Len() > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

func (s *sim) runSchedule() {
	s.faults = true
	s.lossRate = []float64{0, 0, 0.01, 0.05}[s.random.IntN(4)]
	s.longDelays = s.random.IntN(2) == 0
	for range s.random.IntN(8) {
		s.after(time.Duration(s.random.Int64N(int64(simDuration))), s.injectFault)
	}
	s.run(simDuration)
	s.heal()
	s.faults = false
	s.run(simDuration + 20*time.Second) // until all hosts have restarted
	s.run(s.now + convergenceTimeout)
	for _, h := range s.hosts {
		s.checkConverged(h)
	}
	s.checkCrashDetected()
}

// checkConverged asserts that the table of h lists all hosts that are up as alive and all
// others as dead, and has the same digest as the table of every host that is up.
func (s *sim) checkConverged(h *host) {
	known := map[string]Host{}
	for _, o := range h.detector.Hosts() {
		known[o.Name] = o
	}
	for _, o := range s.hosts {
		k, ok := known[o.Name]
		if !ok || k.Dead != !o.up || k.Suspect {
			s.fatalf("%s has the record %+v of %s (known %v, up %v)", h.Name, k, o.Name, ok, o.up)
		}
		if o.up && h.detector.digest != o.detector.digest {
			s.fatalf("tables of %s and %s differ", h.Name, o.Name)
		}
	}
}

// checkCrashDetected asserts that all other hosts mark a crashed host dead.
func (s *sim) checkCrashDetected() {
	crashed := s.hosts[s.random.IntN(len(s.hosts))]
	crashed.up, crashed.faultAt = false, s.now
	s.run(s.now + detectionTimeout)
	for _, h := range s.hosts {
		if h != crashed && !h.markedDead[crashed.Name] {
			s.fatalf("%s has not marked %s dead", h.Name, crashed.Name)
		}
	}
}

// No host may be marked dead without a fault, a dead host must be detected, and the member
// tables must converge after a partition. The schedules have message loss, delay,
// duplicates, pauses, restarts and clocks that are set back. scripts/simulate.sh runs more
// of them.
func TestSchedules(t *testing.T) {
	for i := range uint64(*schedules) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			size := rand.New(rand.NewPCG(seed, 1))
			newSim(t, seed, 3+size.IntN(10), 1+size.IntN(3)).runSchedule()
		})
	}
}
