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
)

var (
	simSchedules = flag.Int("schedules", 150, "number of random schedules")
	simSeed      = flag.Uint64("seed", 1, "seed of the first schedule")
)

// maxEvents bounds a schedule; the largest of 600 schedules had 6,024 events.
const maxEvents = 100_000

// event is something that happens at a virtual time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// disk is a model of one voter's durable state.
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

// simHost is one host: a process, its disk, and a register machine.
type simHost struct {
	name  string
	core  *Core
	disk  *disk
	epoch int // increases when the process ends, so that its old events are void
	rate  float64
	start time.Duration
	// busy is true during a sync; what arrives meanwhile waits.
	busy    bool
	frozen  bool
	waiting []func()
	pending *Output
	// crashes is how many of the next syncs end in a crash.
	crashes int

	register  uint64
	applied   uint64
	snapIndex uint64
}

// operation is one call on the register, as a client sees it.
type operation struct {
	porcupine.Operation
	done bool
}

type registerInput struct {
	write bool
	value uint64
}

// sim is a fleet under a random schedule.
type sim struct {
	t      testing.TB
	seed   uint64
	r      *rand.Rand
	now    time.Duration
	order  int
	events eventHeap
	hosts  []*simHost
	ids    map[string]*simHost
	cut    map[string]bool
	loss   float64
	// committed is the log that any voter has applied, by index.
	committed map[uint64]Entry
	ops       []*operation
	nextValue uint64
	nextID    int
	leases    int
	terms     map[uint64]string
	lost      int
	// acked are the acknowledged entries in the order of their acknowledgement.
	acked    []acknowledgement
	currents int
}

type acknowledgement struct {
	at    time.Duration
	index uint64
}

// newSim starts a fleet in which the first hosts are the initial voters and the
// others join, as after an extension of the settings.
func newSim(t testing.TB, seed uint64, hosts, initial int) *sim {
	s := &sim{t: t, seed: seed, r: rand.New(rand.NewPCG(seed, 7)), ids: map[string]*simHost{}, cut: map[string]bool{},
		committed: map[uint64]Entry{}, terms: map[uint64]string{}}
	var members []Member
	for i := range hosts {
		h := &simHost{name: fmt.Sprintf("h%d", i), rate: 0.99 + 0.02*s.r.Float64()}
		s.newDisk(h)
		s.hosts = append(s.hosts, h)
		members = append(members, Member{ID: h.disk.id, Host: h.name})
	}
	for i, h := range s.hosts {
		s.boot(h)
		if i < initial {
			h.core.Initialise(members[:initial])
			s.step(h)
		}
	}
	return s
}

func (s *sim) newDisk(h *simHost) {
	s.nextID++
	h.disk = &disk{id: fmt.Sprintf("%s-%d", h.name, s.nextID)}
	s.ids[h.disk.id] = h
}

func (s *sim) at(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{s.now + d, s.order, run})
}

// local is the host's own clock, which drifts and starts anew at each boot.
func (s *sim) local(h *simHost) time.Duration { return time.Duration(float64(s.now-h.start) * h.rate) }

func (s *sim) boot(h *simHost) {
	h.epoch++
	h.start, h.busy, h.frozen, h.waiting, h.pending = s.now, false, false, nil, nil
	d := h.disk
	h.core = New(Config{ID: d.id, Host: h.name, State: d.state, Snapshot: d.snapshot, Base: d.base, BaseTerm: d.baseTerm,
		Entries: slices.Clone(d.entries), Rand: rand.New(rand.NewPCG(s.r.Uint64(), 3)), Process: s.r.Uint64()}, 0)
	h.applied, h.snapIndex, h.register = d.snapshot.Index, d.snapshot.Index, 0
	if d.snapshot.Index > 0 {
		h.register = binary.LittleEndian.Uint64(d.snapshot.Data)
	}
	s.tickLater(h)
}

func (s *sim) tickLater(h *simHost) {
	epoch := h.epoch
	s.at(time.Duration(10+s.r.IntN(30))*time.Millisecond, func() {
		if h.core == nil || h.epoch != epoch {
			return
		}
		s.run(h, func() { h.core.Tick(s.local(h)) })
		s.join(h)
		s.tickLater(h)
	})
}

// join sends the request that a host which is no voter repeats.
func (s *sim) join(h *simHost) {
	if !h.core.NeedsJoin() || s.r.IntN(20) != 0 {
		return
	}
	id := h.disk.id
	for _, other := range s.hosts {
		s.deliver(h, other, func() { _ = other.core.Join(id, h.name) })
	}
}

// run gives a host an input now, or after its sync or freeze.
func (s *sim) run(h *simHost, input func()) {
	if h.core == nil {
		return
	}
	if h.busy || h.frozen {
		h.waiting = append(h.waiting, input)
		return
	}
	input()
	s.step(h)
}

// step carries out a host's output. The sync takes time, in which a crash loses
// what was not synced.
func (s *sim) step(h *simHost) {
	s.checkLease()
	out := h.core.Output()
	if out.Empty() {
		return
	}
	s.send(h, out.Messages)
	if out.Install == nil && out.State == nil && len(out.Append) == 0 {
		s.finish(h, out)
		return
	}
	h.busy, h.pending = true, &out
	epoch := h.epoch
	syncTime := time.Duration(s.r.IntN(15)) * time.Millisecond
	if h.crashes > 0 {
		h.crashes--
		s.at(syncTime/2, func() { s.crashAndBoot(h, time.Duration(s.r.IntN(200))*time.Millisecond) })
	}
	s.at(syncTime, func() {
		if h.epoch != epoch {
			return
		}
		h.disk.write(out)
		h.busy, h.pending = false, nil
		if h.frozen {
			h.waiting = append([]func(){func() { s.finish(h, out) }}, h.waiting...)
			return
		}
		s.finish(h, out)
	})
}

func (s *sim) finish(h *simHost, out Output) {
	if out.Install != nil {
		h.register, h.applied = binary.LittleEndian.Uint64(out.Install.Data), out.Install.Index
		h.snapIndex = out.Install.Index
	}
	h.core.Synced()
	s.send(h, out.AfterSync)
	for _, e := range out.Committed {
		s.apply(h, e)
	}
	if h.applied >= h.snapIndex+12 {
		s.snapshot(h)
	}
	s.step(h)
	s.checkCurrent(h)
	s.drain(h)
}

func (s *sim) drain(h *simHost) {
	for !h.busy && !h.frozen && h.core != nil && len(h.waiting) > 0 {
		input := h.waiting[0]
		h.waiting = h.waiting[1:]
		input()
		s.step(h)
	}
}

func (s *sim) snapshot(h *simHost) {
	base, baseTerm, kept := h.core.Compact(h.applied)
	snapshot := h.core.Snapshot()
	snapshot.Data = binary.LittleEndian.AppendUint64(nil, h.register)
	// A tail of a few entries, as the driver keeps with a larger constant.
	if from := h.applied - 4; from > base {
		h.core.log.compact(from)
		base, baseTerm, kept = h.core.Retained()
	}
	h.snapIndex = h.applied
	// Entries that the core has appended since its last output are not on disk yet.
	onDisk := h.disk.base + uint64(len(h.disk.entries))
	kept = kept[:min(uint64(len(kept)), onDisk-base)]
	h.disk.snapshot, h.disk.base, h.disk.baseTerm, h.disk.entries = snapshot, base, baseTerm, slices.Clone(kept)
}

func (s *sim) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d: %s", s.seed, fmt.Sprintf(format, args...))
}

// apply checks that all voters apply the same entry at an index.
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
	if e.Kind == EntryCommand {
		if value := binary.LittleEndian.Uint64(e.Data); value > 0 {
			h.register = value
		}
	}
	for _, op := range s.ops {
		s.complete(op, h, e, read)
	}
}

// simCall links an operation to the entry that its leader appended for it.
type simCall struct {
	host        *simHost
	epoch       int
	index, term uint64
}

func (s *sim) complete(op *operation, h *simHost, e Entry, read uint64) {
	call := op.Metadata.(*simCall)
	if op.done || call.host != h || call.epoch != h.epoch || call.index != e.Index {
		return
	}
	op.done = true
	if call.term != e.Term {
		op.Metadata = nil // replaced: it certainly never happens
		s.ops = slices.DeleteFunc(slices.Clone(s.ops), func(o *operation) bool { return o == op })
		return
	}
	op.Return, op.Output = int64(s.now), read
	s.acked = append(s.acked, acknowledgement{s.now, e.Index})
}

// checkCurrent checks that a host which says that it is current as of a time has
// applied everything that was acknowledged before.
func (s *sim) checkCurrent(h *simHost) {
	if h.core == nil || h.busy || h.applied < h.core.CommitIndex() {
		return
	}
	local, ok := h.core.CurrentAsOf()
	if !ok {
		return
	}
	s.currents++
	asOf := h.start + time.Duration(float64(local)/h.rate)
	for _, a := range s.acked {
		if a.at < asOf && a.index > h.applied {
			s.fail("%s is current as of %v but has applied %d of %d, acknowledged at %v", h.name, asOf, h.applied, a.index, a.at)
		}
	}
}

// deliver runs something on another host after a random delay, unless the
// message is lost, and sometimes twice.
func (s *sim) deliver(from, to *simHost, run func()) {
	if s.cut[from.name+">"+to.name] || s.r.Float64() < s.loss {
		return
	}
	copies := 1
	if s.r.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+s.r.IntN(60)) * time.Millisecond
		if s.r.IntN(50) == 0 {
			delay += time.Duration(s.r.IntN(4000)) * time.Millisecond
		}
		s.at(delay, func() {
			if !s.cut[from.name+">"+to.name] {
				s.run(to, run)
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
		s.deliver(h, to, func() { to.core.Step(s.local(to), m) })
	}
}

// checkLease checks that at most one host has a valid lease, and that it leads
// the newest term in which there is one.
func (s *sim) checkLease() {
	holders, names := 0, ""
	for _, h := range s.hosts {
		if h.core == nil || h.core.role != Leader {
			continue
		}
		if first, ok := s.terms[h.core.state.Term]; ok && first != h.core.id {
			s.fail("%s and %s lead term %d", first, h.core.id, h.core.state.Term)
		}
		s.terms[h.core.state.Term] = h.core.id
		if s.leaseHeld(h) {
			holders++
			names += " " + h.name
		}
	}
	if holders > 1 {
		s.fail("at %v more than one lease holds:%s", s.now, names)
	}
	s.leases += holders
}

// leaseHeld judges the lease as Node.Lease does, by what was published and the
// clock alone, so it also holds for a frozen process that resumes.
func (s *sim) leaseHeld(h *simHost) bool {
	acks := map[string]bool{h.core.id: true}
	for id, p := range h.core.progress {
		acks[id] = p.acked
	}
	if h.core.isSoleVoter() {
		return true
	}
	return h.core.hasMajority(acks) && s.local(h) < h.core.quorumAckedAt+LeaseDuration
}

// call lets a client read or write through some host that believes to lead.
func (s *sim) call() {
	h := s.hosts[s.r.IntN(len(s.hosts))]
	s.run(h, func() {
		s.nextValue++
		in := registerInput{write: s.r.IntN(2) == 0}
		if in.write {
			in.value = s.nextValue
		}
		index, term, err := h.core.Propose(s.local(h), binary.LittleEndian.AppendUint64(nil, in.value))
		if err != nil {
			return
		}
		op := &operation{Operation: porcupine.Operation{ClientId: len(s.ops), Input: in, Call: int64(s.now),
			Metadata: &simCall{h, h.epoch, index, term}}}
		s.ops = append(s.ops, op)
	})
}

func (s *sim) crash(h *simHost) {
	if h.core == nil {
		return
	}
	if h.pending != nil && s.r.IntN(2) == 0 {
		h.disk.write(*h.pending) // the write reached the disk, but was not acknowledged
	}
	h.core, h.epoch, h.busy = nil, h.epoch+1, false
}

func (s *sim) crashAndBoot(h *simHost, after time.Duration) {
	s.crash(h)
	s.at(after, func() {
		if h.core == nil {
			s.boot(h)
		}
	})
}

// committedVoters counts the voters of the newest committed membership, and those
// of them whose disk is not lost.
func (s *sim) committedVoters() (voting, all int) {
	var members []Member
	var newest uint64
	for _, h := range s.hosts {
		if h.core != nil && h.core.commit >= newest {
			newest, members = h.core.commit, h.core.MembersAt(h.core.commit)
		}
	}
	for _, m := range members {
		if m.Learner {
			continue
		}
		all++
		if s.ids[m.ID].disk.id == m.ID {
			voting++
		}
	}
	return voting, all
}

// loseDisk removes a host's disk when the log tolerates it: all hosts run, and
// every member of a full membership still has its disk. This is allowed right
// after the promotion of the last repaired host.
func (s *sim) loseDisk(h *simHost) {
	for _, o := range s.hosts {
		if o.core == nil {
			return
		}
	}
	voting, all := s.committedVoters()
	if voting != all || all != len(s.hosts) || all < 3 {
		return
	}
	s.lost++
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
		s.run(leader, func() { leader.core.Resign(s.local(leader)) })
	case 0:
		s.crashAndBoot(h, pauseFor)
	case 1:
		s.leaderOr(h).crashes += 1 + s.r.IntN(3)
	case 2, 3:
		s.freeze(h, pauseFor)
	case 4:
		s.freeze(s.leaderOr(h), pauseFor)
	case 5, 6:
		s.partition(s.leaderOr(h), pauseFor)
	case 7:
		other := s.hosts[s.r.IntN(len(s.hosts))]
		key := h.name + ">" + other.name
		s.cut[key] = true
		s.at(pauseFor, func() { delete(s.cut, key) })
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
	epoch := h.epoch
	s.at(d, func() {
		if h.epoch == epoch {
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
		s.cut[k] = true
	}
	s.at(d, func() {
		for _, k := range keys {
			delete(s.cut, k)
		}
	})
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
		s.checkLease()
		if s.order > maxEvents {
			s.fail("more than %d events by %v: messages multiply", maxEvents, s.now)
		}
	}
	s.now = end
}

// runSchedule runs one random schedule, heals everything, and requires that all
// hosts are voters again with the same log and that the history is linearizable.
func runSchedule(t testing.TB, seed uint64) *sim {
	s := newSim(t, seed, []int{3, 3, 3, 1, 3, 5}[seed%6], []int{1, 3, 3, 1, 3, 5}[seed%6])
	defer func() {
		if r := recover(); r != nil {
			t.Fatalf("seed %d: at %v: panic: %v", seed, s.now, r)
		}
	}()
	s.loss = []float64{0, 0.02, 0.2}[s.r.IntN(3)]
	faults := 20 * time.Second
	for range 40 {
		s.at(time.Duration(s.r.Int64N(int64(faults))), s.call)
	}
	for range 3 + s.r.IntN(12) {
		s.at(time.Duration(s.r.Int64N(int64(faults))), s.fault)
	}
	s.runUntil(faults)
	s.heal()
	for range 60 {
		s.call()
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
	s.loss = 0
	clear(s.cut)
	for _, h := range s.hosts {
		h.crashes = 0
		if h.core == nil {
			s.boot(h)
		}
		h.frozen = false
		s.drain(h)
	}
}

func (s *sim) converged() bool {
	for _, h := range s.hosts {
		if h.core == nil || !h.core.isVoter(h.disk.id) || len(h.core.Members()) != len(s.hosts) ||
			h.applied != s.hosts[0].applied || h.applied != uint64(len(s.committed)) {
			return false
		}
	}
	return true
}

func (s *sim) describe() string {
	out := ""
	for _, h := range s.hosts {
		out += fmt.Sprintf("%s frozen=%v busy=%v", h.name, h.frozen, h.busy)
		if h.core != nil {
			out += fmt.Sprintf(" %+v", h.core.Status())
		}
		out += "; "
	}
	return out
}

// checkHistory checks the register's history. An operation without an answer may
// happen at any time until the end.
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

// Guards against a lost or replaced committed entry, two leaders, two leases, a
// stale read, a follower that takes old state for the newest, and a fleet that does not recover, under message loss, delay,
// duplication, reordering, partitions, freezes, restarts and lost disks. Many
// schedules: go test ./internal/control/core -run TestRandomSchedules -schedules 10000
func TestRandomSchedules(t *testing.T) {
	first := *simSeed
	leases, lost, answered, currents := 0, 0, 0, 0
	for i := range uint64(*simSchedules) {
		s := runSchedule(t, first+i)
		leases, lost, currents = leases+s.leases, lost+s.lost, currents+s.currents
		for _, op := range s.ops {
			if op.Output != nil {
				answered++
			}
		}
	}
	if *simSchedules >= 100 && (leases == 0 || lost == 0 || currents == 0 || answered < 10**simSchedules) {
		t.Fatalf("the schedules prove too little: %d leases, %d lost disks, %d answers", leases, lost, answered)
	}
	t.Logf("%d schedules from seed %d: %d disks lost, %d operations answered", *simSchedules, first, lost, answered)
}
