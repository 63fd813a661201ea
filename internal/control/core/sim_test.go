package core

import (
	"bytes"
	"container/heap"
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"geraniumturn.example/geraniumturn/internal/document"
)

var (
	simSchedules = flag.Int("schedules", 150, "number of random schedules")
	simSeed      = flag.Uint64("seed", 1, "seed of the first schedule")
)

// maxEvents limits a schedule, so that a loop of messages fails the test. The
// largest of 600 schedules had 6,024 events.
const maxEvents = 100_000

// event is a callback that is scheduled at a virtual time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// disk models the durable state of one voter.
type disk struct {
	id             string
	state          HardState
	snapshot       Snapshot
	base, baseTerm uint64
	entries        []Entry
}

func (d *disk) write(out Output) {
	if out.Install != nil {
		d.snapshot, d.base, d.baseTerm, d.entries = *out.Install, out.Install.Index, out.Install.Term, nil
	}
	if out.State != nil {
		d.state = *out.State
	}
	for _, e := range out.Append {
		d.entries = append(slices.Clone(d.entries[:e.Index-d.base-1]), e)
	}
}

// simHost is a simulated host: a process, its disk, and a register as state machine.
type simHost struct {
	name       string
	core       *Core
	disk       *disk
	generation int // incremented when the process ends, so that its scheduled events are ignored
	rate       float64
	start      time.Duration
	joinedAt   time.Duration
	// syncing is true during a sync; inputs are deferred meanwhile.
	syncing  bool
	frozen   bool
	deferred []func()
	pending  *Output
	// syncCrashes is the number of upcoming syncs during which the host crashes.
	syncCrashes int

	register  uint64
	machine   *document.Machine
	applied   uint64
	snapIndex uint64
	// onApply is called with the term of the entry that this process applies at an index.
	onApply map[uint64]func(term uint64)
}

// isOrder reports whether an entry is a command of machine. Others are values of register.
func isOrder(e Entry) bool { return e.Kind == EntryCommand && bytes.HasPrefix(e.Data, []byte("{")) }

// state returns the content of a snapshot of the host's machines.
func (s *sim) state(h *simHost) []byte {
	data, err := h.machine.Snapshot()
	if err != nil {
		s.fail("%v", err)
	}
	return append(binary.LittleEndian.AppendUint64(nil, h.register), data...)
}

func (s *sim) restore(h *simHost, data []byte) {
	h.register = binary.LittleEndian.Uint64(data)
	if err := h.machine.Restore(data[8:]); err != nil {
		s.fail("%v", err)
	}
}

// operation is one client operation on the register.
type operation struct {
	porcupine.Operation
	done bool
}

type registerInput struct {
	write bool
	value uint64
}

// sim simulates a cluster under a random schedule of faults.
type sim struct {
	t            testing.TB
	seed         uint64
	r            *rand.Rand
	now          time.Duration
	sequence     int
	events       eventHeap
	hosts        []*simHost
	ids          map[string]*simHost
	initial      []Member
	blockedLinks map[string]bool
	lossRate     float64
	lateRate     float64 // of messages that take up to 4 s
	voterCount   int
	// committed has every entry that some voter has applied, by index.
	committed   map[uint64]Entry
	ops         []*operation
	nextValue   uint64
	nextID      int
	leasesSeen  int
	termLeaders map[uint64]string
	lostDisks   int
	// acked has the acknowledged entries in the order of their acknowledgement.
	acked         []acknowledgement
	currentChecks int
}

type acknowledgement struct {
	at    time.Duration
	index uint64
}

// newSim starts a cluster in which the first hosts are the initial voters. The others
// join, as if they had been added to the settings later.
// voterCount is as in Config.
func newSim(t testing.TB, seed uint64, hosts, initial, voterCount int) *sim {
	s := &sim{t: t, seed: seed, voterCount: voterCount, lateRate: 0.02, r: rand.New(rand.NewPCG(seed, 7)), ids: map[string]*simHost{}, blockedLinks: map[string]bool{},
		committed: map[uint64]Entry{}, termLeaders: map[uint64]string{}}
	for i := range hosts {
		h := s.addHost()
		if i < initial {
			s.initial = append(s.initial, Member{ID: h.disk.id, Host: h.name})
		}
	}
	for _, h := range s.hosts {
		s.boot(h)
	}
	return s
}

// addHost adds a host with an empty disk. It is not started.
func (s *sim) addHost() *simHost {
	h := &simHost{name: fmt.Sprintf("h%d", len(s.hosts)), rate: 0.99 + 0.02*s.r.Float64()}
	s.newDisk(h)
	s.hosts = append(s.hosts, h)
	return h
}

func (s *sim) newDisk(h *simHost) {
	s.nextID++
	h.disk = &disk{id: fmt.Sprintf("%s-%d", h.name, s.nextID)}
	s.ids[h.disk.id] = h
}

func (s *sim) schedule(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now + d, s.sequence, run})
}

// localTime returns the host's clock, which drifts and starts at zero at each boot.
func (s *sim) localTime(h *simHost) time.Duration {
	return time.Duration(float64(s.now-h.start) * h.rate)
}

func (s *sim) boot(h *simHost) {
	h.generation++
	h.start, h.syncing, h.frozen, h.deferred, h.pending = s.now, false, false, nil, nil
	d := h.disk
	h.core = New(Config{ID: d.id, Host: h.name, State: d.state, Snapshot: d.snapshot, Base: d.base, BaseTerm: d.baseTerm,
		Entries: slices.Clone(d.entries), Rand: rand.New(rand.NewPCG(s.r.Uint64(), 3)), Process: s.r.Uint64(), VoterCount: s.voterCount}, 0)
	h.applied, h.snapIndex, h.register, h.machine = d.snapshot.Index, d.snapshot.Index, 0, document.NewMachine()
	h.onApply = map[uint64]func(uint64){}
	if d.snapshot.Index > 0 {
		s.restore(h, d.snapshot.Data)
	}
	// An initial voter that crashed before its first sync starts with an empty log again.
	if slices.ContainsFunc(s.initial, func(m Member) bool { return m.ID == d.id }) && h.core.log.last() == 0 {
		h.core.Initialise(s.initial)
		s.step(h)
	}
	s.scheduleTick(h)
}

func (s *sim) scheduleTick(h *simHost) {
	generation := h.generation
	s.schedule(time.Duration(10+s.r.IntN(30))*time.Millisecond, func() {
		if h.core == nil || h.generation != generation {
			return
		}
		s.runOrDefer(h, func() { h.core.Tick(s.localTime(h)) })
		s.join(h)
		s.scheduleTick(h)
	})
}

// join sends a join request from a host that needs one to all hosts, at random times
// and at least every second.
func (s *sim) join(h *simHost) {
	if !h.core.NeedsJoin() || s.r.IntN(20) != 0 && s.now < h.joinedAt+time.Second {
		return
	}
	h.joinedAt = s.now
	id := h.disk.id
	for _, other := range s.hosts {
		s.deliver(h, other, func() { _ = other.core.Join(id, h.name) })
	}
}

// runOrDefer runs an input on a host, or defers it while the host syncs or is frozen.
func (s *sim) runOrDefer(h *simHost, input func()) {
	if h.core == nil {
		return
	}
	if h.syncing || h.frozen {
		h.deferred = append(h.deferred, input)
		return
	}
	input()
	s.step(h)
}

// step carries out a host's output. A sync takes time, and a crash during the sync may
// lose its records.
func (s *sim) step(h *simHost) {
	s.checkLease()
	out := h.core.Output()
	s.checkCurrent(h) // Node.publish reads the core at this point
	if out.Empty() {
		return
	}
	s.send(h, out.Messages)
	if out.Install == nil && out.State == nil && len(out.Append) == 0 {
		s.afterSync(h, out)
		return
	}
	h.syncing, h.pending = true, &out
	generation := h.generation
	syncTime := time.Duration(s.r.IntN(15)) * time.Millisecond
	if h.syncCrashes > 0 {
		h.syncCrashes--
		s.schedule(syncTime/2, func() { s.crashAndBoot(h, time.Duration(s.r.IntN(200))*time.Millisecond) })
	}
	s.schedule(syncTime, func() {
		if h.generation != generation {
			return
		}
		h.disk.write(out)
		h.syncing, h.pending = false, nil
		if h.frozen {
			h.deferred = append([]func(){func() { s.afterSync(h, out) }}, h.deferred...)
			return
		}
		s.afterSync(h, out)
	})
}

func (s *sim) afterSync(h *simHost, out Output) {
	if out.Install != nil {
		s.restore(h, out.Install.Data)
		h.applied = out.Install.Index
		h.snapIndex = out.Install.Index
	}
	h.core.Synced()
	s.send(h, out.AfterSync)
	for _, e := range out.Committed {
		s.apply(h, e)
	}
	h.core.Applied(h.applied)
	if h.applied >= h.snapIndex+12 {
		s.snapshot(h)
	}
	s.step(h)
	s.checkCurrent(h)
	s.drain(h)
}

func (s *sim) drain(h *simHost) {
	for !h.syncing && !h.frozen && h.core != nil && len(h.deferred) > 0 {
		input := h.deferred[0]
		h.deferred = h.deferred[1:]
		input()
		s.step(h)
	}
}

func (s *sim) snapshot(h *simHost) {
	base, baseTerm, kept := h.core.Compact(h.applied)
	snapshot := h.core.Snapshot()
	snapshot.Data = s.state(h)
	// Keep only 4 trailing entries instead of trailingEntries, so that followers need
	// the snapshot more often.
	if from := h.applied - 4; from > base {
		h.core.log.compact(from)
		base, baseTerm, kept = h.core.Retained()
	}
	h.snapIndex = h.applied
	// Entries that the core appended after its last output are not on disk yet.
	onDisk := h.disk.base + uint64(len(h.disk.entries))
	kept = kept[:min(uint64(len(kept)), onDisk-base)]
	h.disk.snapshot, h.disk.base, h.disk.baseTerm, h.disk.entries = snapshot, base, baseTerm, slices.Clone(kept)
}

func (s *sim) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d: %s", s.seed, fmt.Sprintf(format, args...))
}

// apply applies an entry on a host, and checks that all voters apply the same entry at
// an index.
func (s *sim) apply(h *simHost, e Entry) {
	if e.Index != h.applied+1 {
		s.fail("%s applies entry %d after %d", h.name, e.Index, h.applied)
	}
	h.applied = e.Index
	if first, ok := s.committed[e.Index]; !ok {
		s.committed[e.Index] = e
	} else if first.Term != e.Term || !bytes.Equal(first.Data, e.Data) {
		s.fail("%s applies another entry at %d: term %d, before term %d", h.name, e.Index, e.Term, first.Term)
	}
	read := h.register
	if isOrder(e) {
		h.machine.Apply(e.Index, e.Data)
	} else if e.Kind == EntryCommand {
		if value := binary.LittleEndian.Uint64(e.Data); value > 0 {
			h.register = value
		}
	}
	if onApply := h.onApply[e.Index]; onApply != nil {
		delete(h.onApply, e.Index)
		onApply(e.Term)
	}
	for _, op := range s.ops {
		s.complete(op, h, e, read)
	}
}

// simCall identifies the entry that a leader appended for an operation.
type simCall struct {
	host        *simHost
	generation  int
	index, term uint64
}

func (s *sim) complete(op *operation, h *simHost, e Entry, read uint64) {
	call := op.Metadata.(*simCall)
	if op.done || call.host != h || call.generation != h.generation || call.index != e.Index {
		return
	}
	op.done = true
	if call.term != e.Term {
		op.Metadata = nil // the entry was replaced, so the operation never takes effect
		s.ops = slices.DeleteFunc(slices.Clone(s.ops), func(o *operation) bool { return o == op })
		return
	}
	op.Return, op.Output = int64(s.now), read
	s.acked = append(s.acked, acknowledgement{s.now, e.Index})
}

// checkCurrent checks that a host has applied every entry that was acknowledged before
// the time that its core reports with CurrentAsOf or, with a lease, before now.
func (s *sim) checkCurrent(h *simHost) {
	if h.core == nil {
		return
	}
	local, ok := h.core.CurrentAsOf()
	if _, until, lease := h.core.Lease(); lease && s.localTime(h) < until {
		local, ok = s.localTime(h), true
	}
	if !ok {
		return
	}
	s.currentChecks++
	asOf := h.start + time.Duration(float64(local)/h.rate)
	for _, a := range s.acked {
		if a.at < asOf && a.index > h.applied {
			s.fail("%s is current as of %v but has applied %d of %d, acknowledged at %v", h.name, asOf, h.applied, a.index, a.at)
		}
	}
}

// deliver runs a function on another host after a random delay, sometimes twice. It
// does not run if the message is lost or the link is blocked.
func (s *sim) deliver(from, to *simHost, run func()) {
	if s.blockedLinks[from.name+">"+to.name] || s.r.Float64() < s.lossRate {
		return
	}
	copies := 1
	if s.r.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+s.r.IntN(60)) * time.Millisecond
		if s.r.Float64() < s.lateRate {
			delay += time.Duration(s.r.IntN(4000)) * time.Millisecond
		}
		s.schedule(delay, func() {
			if !s.blockedLinks[from.name+">"+to.name] {
				s.runOrDefer(to, run)
			}
		})
	}
}

func (s *sim) send(h *simHost, messages []Message) {
	for _, m := range messages {
		if m.Snapshot != nil {
			copied := h.disk.snapshot
			m.Snapshot = &copied
		}
		to := s.ids[m.To]
		s.deliver(h, to, func() { to.core.Step(s.localTime(to), m) })
	}
}

// checkLease checks that at most one host has a valid lease, and that each term has at
// most one leader.
func (s *sim) checkLease() {
	holders, names := 0, ""
	for _, h := range s.hosts {
		if h.core == nil || h.core.role != Leader {
			continue
		}
		if first, ok := s.termLeaders[h.core.state.Term]; ok && first != h.core.id {
			s.fail("%s and %s lead term %d", first, h.core.id, h.core.state.Term)
		}
		s.termLeaders[h.core.state.Term] = h.core.id
		if s.leaseHeld(h) {
			holders++
			names += " " + h.name
		}
	}
	if holders > 1 {
		s.fail("at %v more than one lease holds:%s", s.now, names)
	}
	s.leasesSeen += holders
}

// leaseHeld decides as Node.Lease does, from the published lease and the clock alone,
// so that it also covers a frozen process that resumes.
func (s *sim) leaseHeld(h *simHost) bool {
	acks := map[string]bool{h.core.id: true}
	for id, p := range h.core.progress {
		acks[id] = p.acked
	}
	if h.core.isSoleVoter() {
		return true
	}
	return h.core.hasMajority(acks) && s.localTime(h) < h.core.quorumAckedAt+LeaseDuration
}

// callRegister makes a client read or write the register through a random host. The
// operation is recorded only if that host appends it as leader.
func (s *sim) callRegister() {
	h := s.hosts[s.r.IntN(len(s.hosts))]
	s.runOrDefer(h, func() {
		s.nextValue++
		in := registerInput{write: s.r.IntN(2) == 0}
		if in.write {
			in.value = s.nextValue
		}
		index, term, err := h.core.Propose(s.localTime(h), binary.LittleEndian.AppendUint64(nil, in.value))
		if err != nil {
			return
		}
		op := &operation{Operation: porcupine.Operation{ClientId: len(s.ops), Input: in, Call: int64(s.now),
			Metadata: &simCall{h, h.generation, index, term}}}
		s.ops = append(s.ops, op)
	})
}

func (s *sim) crash(h *simHost) {
	if h.core == nil {
		return
	}
	if h.pending != nil && s.r.IntN(2) == 0 {
		h.disk.write(*h.pending) // the records are durable, but were not acknowledged
	}
	h.core, h.generation, h.syncing = nil, h.generation+1, false
}

func (s *sim) crashAndBoot(h *simHost, after time.Duration) {
	s.crash(h)
	s.schedule(after, func() {
		if h.core == nil {
			s.boot(h)
		}
	})
}

// repaired reports whether the newest committed membership has the intended number of
// voters, and all members still have their disk.
func (s *sim) repaired() bool {
	var members []Member
	var newest uint64
	for _, h := range s.hosts {
		if h.core != nil && h.core.commit >= newest {
			newest, members = h.core.commit, h.core.MembersAt(h.core.commit)
		}
	}
	voters := 0
	for _, m := range members {
		if s.ids[m.ID].disk.id != m.ID {
			return false
		}
		if !m.Learner {
			voters++
		}
	}
	return len(members) == len(s.hosts) && voters == s.wantedVoters()
}

// wantedVoters is the number of voters once all hosts run.
func (s *sim) wantedVoters() int {
	if s.voterCount > 0 {
		return min(s.voterCount, len(s.hosts))
	}
	return len(s.hosts)
}

// loseDisk removes a host's disk if the log tolerates it: all hosts run, and the host
// that lost its disk last is a member again, as many of the members voters as there
// should be.
func (s *sim) loseDisk(h *simHost) {
	for _, o := range s.hosts {
		if o.core == nil {
			return
		}
	}
	if !s.repaired() || s.wantedVoters() < 3 {
		return
	}
	s.lostDisks++
	s.crashAndBoot(h, time.Duration(s.r.IntN(500))*time.Millisecond)
	s.newDisk(h)
}

func (s *sim) fault() {
	h := s.hosts[s.r.IntN(len(s.hosts))]
	pauseFor := time.Duration(s.r.IntN(4000)) * time.Millisecond
	switch s.r.IntN(14) {
	case 12, 13:
		for _, o := range s.hosts {
			s.crashAndBoot(o, time.Duration(s.r.IntN(300))*time.Millisecond)
		}
	case 10, 11:
		leader := s.leaderOr(h)
		s.runOrDefer(leader, func() { leader.core.Resign(s.localTime(leader)) })
	case 0:
		s.crashAndBoot(h, pauseFor)
	case 1:
		s.leaderOr(h).syncCrashes += 1 + s.r.IntN(3)
	case 2, 3:
		s.freeze(h, pauseFor)
	case 4:
		s.freeze(s.leaderOr(h), pauseFor)
	case 5, 6:
		s.partition(s.leaderOr(h), pauseFor)
	case 7:
		other := s.hosts[s.r.IntN(len(s.hosts))]
		key := h.name + ">" + other.name
		s.blockedLinks[key] = true
		s.schedule(pauseFor, func() { delete(s.blockedLinks, key) })
	case 8, 9:
		s.loseDisk(h)
	}
}

func (s *sim) leaderOr(h *simHost) *simHost {
	for _, o := range s.hosts {
		if o.core != nil && o.core.role == Leader {
			return o
		}
	}
	return h
}

func (s *sim) freeze(h *simHost, d time.Duration) {
	if h.core == nil || h.frozen {
		return
	}
	h.frozen = true
	generation := h.generation
	s.schedule(d, func() {
		if h.generation == generation {
			h.frozen = false
			s.drain(h)
		}
	})
}

func (s *sim) partition(h *simHost, d time.Duration) {
	var keys []string
	for _, o := range s.hosts {
		if o != h {
			keys = append(keys, h.name+">"+o.name, o.name+">"+h.name)
		}
	}
	for _, k := range keys {
		s.blockedLinks[k] = true
	}
	s.schedule(d, func() {
		for _, k := range keys {
			delete(s.blockedLinks, k)
		}
	})
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
		s.checkLease()
		if s.sequence > maxEvents {
			s.fail("more than %d events by %v: messages multiply", maxEvents, s.now)
		}
	}
	s.now = end
}

// runSchedule runs one random schedule and then ends all faults. It requires that all
// hosts become members with the same log, as many of them voters as there should be, and that the history is linearizable.
func runSchedule(t testing.TB, seed uint64) *sim {
	s := newSim(t, seed, []int{3, 3, 3, 1, 3, 5, 4, 6}[seed%8], []int{1, 3, 3, 1, 3, 5, 3, 3}[seed%8], []int{0, 0, 0, 0, 0, 0, 3, 5}[seed%8])
	defer func() {
		if r := recover(); r != nil {
			t.Fatalf("seed %d: at %v: panic: %v", seed, s.now, r)
		}
	}()
	s.lossRate = []float64{0, 0.02, 0.2}[s.r.IntN(3)]
	faults := 20 * time.Second
	for range 40 {
		s.schedule(time.Duration(s.r.Int64N(int64(faults))), s.callRegister)
	}
	for range 3 + s.r.IntN(12) {
		s.schedule(time.Duration(s.r.Int64N(int64(faults))), s.fault)
	}
	s.runUntil(faults)
	s.heal()
	for range 60 {
		s.callRegister()
		s.runUntil(s.now + 500*time.Millisecond)
		if s.converged() {
			break
		}
	}
	if !s.converged() {
		s.fail("no convergence %v after the faults: %s", s.now-faults, s.describe())
	}
	s.checkHistory()
	return s
}

func (s *sim) heal() {
	s.lossRate = 0
	clear(s.blockedLinks)
	for _, h := range s.hosts {
		h.syncCrashes = 0
		if h.core == nil {
			s.boot(h)
		}
		h.frozen = false
		s.drain(h)
	}
}

func (s *sim) converged() bool {
	for _, h := range s.hosts {
		if h.core == nil || !h.core.isMember(h.disk.id) || len(h.core.Members()) != len(s.hosts) || h.core.countVoters() != s.wantedVoters() ||
			h.applied != s.hosts[0].applied || h.applied != uint64(len(s.committed)) {
			return false
		}
	}
	return true
}

func (s *sim) describe() string {
	out := ""
	for _, h := range s.hosts {
		out += fmt.Sprintf("%s frozen=%v syncing=%v", h.name, h.frozen, h.syncing)
		if h.core != nil {
			out += fmt.Sprintf(" %+v", h.core.Status())
		}
		out += "; "
	}
	return out
}

// checkHistory checks that the history of the register is linearizable. An operation
// without a response may take effect at any time until the end.
func (s *sim) checkHistory() {
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, output any) (bool, any) {
			in := input.(registerInput)
			next := state
			if in.write {
				next = in.value
			}
			return output == nil || output == state, next
		},
	}
	var history []porcupine.Operation
	for _, op := range s.ops {
		if op.Output == nil {
			op.Return = int64(s.now) + 1
		}
		history = append(history, op.Operation)
	}
	switch porcupine.CheckOperationsTimeout(model, history, 20*time.Second) {
	case porcupine.Illegal:
		s.fail("the history is not linearizable")
	case porcupine.Unknown:
		s.fail("the history could not be checked in time")
	}
}

// Guards against a lost or replaced committed entry, two leaders in a term, two valid
// leases, a stale read, a follower that reports old state as current, and a cluster
// that does not recover, under message loss, delay, duplication, reordering,
// partitions, freezes, restarts and lost disks. To run many schedules:
// go test ./internal/control/core -run TestRandomSchedules -schedules 10000
func TestRandomSchedules(t *testing.T) {
	first := *simSeed
	leases, lost, answered, currents := 0, 0, 0, 0
	for i := range uint64(*simSchedules) {
		s := runSchedule(t, first+i)
		leases, lost, currents = leases+s.leasesSeen, lost+s.lostDisks, currents+s.currentChecks
		for _, op := range s.ops {
			if op.Output != nil {
				answered++
			}
		}
	}
	if *simSchedules >= 100 && (leases == 0 || lost == 0 || currents == 0 || answered < 10**simSchedules) {
		t.Fatalf("the schedules cover too little: %d leases, %d lost disks, %d answers", leases, lost, answered)
	}
	t.Logf("%d schedules from seed %d: %d disks lost, %d operations answered", *simSchedules, first, lost, answered)
}

// replacementTime is the time that a deployment gives the successor of a host that is
// gone for good. Another disk may be lost right after it.
const replacementTime = 4 * time.Second

// Guards against the loss of the quorum for good: a host that was replaced stays a voter
// until another voter loses its disk, while all other hosts lose power.
func TestReplacedHostThenLostDisk(t *testing.T) {
	for seed := range uint64(*simSchedules) {
		replaceHostThenLoseDisk(t, seed)
	}
	t.Run("seed-2278", func(t *testing.T) { replaceHostThenLoseDisk(t, 2278) }) // three split votes in a row
}

func replaceHostThenLoseDisk(t *testing.T, seed uint64) {
	s := newSim(t, seed, 3, 3, 3)
	s.lateRate = 0
	s.runUntil(4 * time.Second)
	gone := s.hosts[seed%3]
	if seed%2 == 0 {
		gone = s.leaderOr(gone)
	}
	s.crash(gone)
	s.boot(s.addHost())
	s.runUntil(s.now + replacementTime)
	wiped := s.hosts[(seed+1)%3]
	if wiped == gone {
		wiped = s.hosts[(seed+2)%3]
	}
	s.newDisk(wiped)
	for _, h := range s.hosts {
		if h != gone {
			s.crashAndBoot(h, 500*time.Millisecond)
		}
	}
	s.runUntil(s.now + 6*time.Second)
	if leader := s.leaderOr(gone); leader == gone || !s.leaseHeld(leader) {
		s.fail("no leader 6 s after the lost disk: %s", s.describe())
	}
}
