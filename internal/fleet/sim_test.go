package fleet_test

import (
	"container/heap"
	"crypto/sha256"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/fleet"
	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
	"geraniumturn.example/geraniumturn/internal/keys"
)

var (
	schedules = flag.Int("schedules", 120, "number of random schedules")
	firstSeed = flag.Uint64("seed", 1, "seed of the first schedule")
)

// Faults are injected during faultPhase. After it, all hosts must have all changes
// within convergenceLimit, which is the target for publication.
const (
	faultPhase       = 30 * time.Second
	convergenceLimit = 14 * time.Second
)

type event struct {
	due      time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].due < q[j].due || (q[i].due == q[j].due && q[i].sequence < q[j].sequence)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// disk holds the data that a host has synced.
type disk struct {
	state       []byte
	withdrawals []keys.Withdrawal
	// failing makes writes fail, like a full disk.
	failing bool
}

func (d *disk) Save(s *fleetpb.State) error {
	if d.failing {
		return fmt.Errorf("disk failed")
	}
	data, err := proto.Marshal(s)
	d.state = data
	return err
}

func (d *disk) Append(w keys.Withdrawal) error {
	if d.failing {
		return fmt.Errorf("disk failed")
	}
	d.withdrawals = append(d.withdrawals, w)
	return nil
}

type host struct {
	name, dataCentre string
	voter            bool
	disk             *disk
	epoch            int // incremented at each restart, so that earlier events are dropped
	up, started      bool
	startedAt        time.Duration

	machine     *fleet.Machine
	applied     int // number of log entries that the machine has applied
	replica     *fleet.Replica
	publisher   fleet.Publisher
	table       *keys.Table
	withdrawals *keys.Withdrawals
	lastIndex   uint64
	// confirmed has the withdrawals that this host confirmed since it started or, on a
	// host with a disk, since it got that disk.
	confirmed map[string]bool
}

type sim struct {
	t            *testing.T
	seed         uint64
	random       *rand.Rand
	now          time.Duration
	queue        eventQueue
	lastSequence int
	hosts        []*host
	log          [][]byte // committed commands
	partitioned  map[string]bool
	loss         float64
	faults       bool
	winners      map[uint64]string
	granted      map[string]string // key id -> token
	ruleOps      []*porcupine.Operation
	keyOps       []*porcupine.Operation
	lastClient   int
}

func (s *sim) fatalf(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d at %v: %s (repeat with -schedules=1 -seed=%d)", s.seed, s.now, fmt.Sprintf(format, args...), s.seed)
}

func (s *sim) after(d time.Duration, do func()) {
	s.lastSequence++
	heap.Push(&s.queue, event{s.now + d, s.lastSequence, do})
}

// onHost runs do after d, unless the host has stopped or restarted by then.
func (s *sim) onHost(h *host, d time.Duration, do func()) {
	epoch := h.epoch
	s.after(d, func() {
		if h.up && h.epoch == epoch {
			do()
		}
	})
}

func (s *sim) connected(a, b *host) bool {
	return a == b || (!s.partitioned[a.dataCentre+b.dataCentre] && !s.partitioned[a.name] && !s.partitioned[b.name])
}

// call runs serve on the callee, and the function that serve returns on the caller when
// the response arrives. Requests and responses may be lost, delayed or duplicated.
// onTimeout runs if there is no response in time.
func (s *sim) call(from, to *host, serve func() (onResponse func()), onTimeout func()) {
	done := false
	s.onHost(from, 2*time.Second, func() {
		if !done && onTimeout != nil {
			onTimeout()
		}
	})
	copies := 1
	if s.faults && s.random.Float64() < s.loss {
		copies = 2
	}
	for range copies {
		if !s.delivers(from, to) {
			continue
		}
		s.onHost(to, s.delay(), func() {
			onResponse := serve()
			if onResponse == nil || !s.delivers(to, from) {
				return
			}
			s.onHost(from, s.delay(), func() {
				if !done {
					done = true
					onResponse()
				}
			})
		})
	}
}

// delivers reports whether a message from a reaches b. During the fault phase, messages
// are lost at random.
func (s *sim) delivers(a, b *host) bool {
	return b.up && s.connected(a, b) && (!s.faults || s.random.Float64() >= s.loss)
}

func (s *sim) delay() time.Duration {
	if s.faults && s.random.IntN(20) == 0 {
		return time.Duration(s.random.Int64N(int64(1500 * time.Millisecond)))
	}
	return time.Duration(s.random.Int64N(int64(60 * time.Millisecond)))
}

func newSim(t *testing.T, seed uint64) *sim {
	s := &sim{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), partitioned: map[string]bool{}, faults: true,
		winners: map[uint64]string{}, granted: map[string]string{}}
	s.loss = []float64{0, 0.02, 0.2}[s.random.IntN(3)]
	dataCentres := []string{"a", "b", "c"}
	for i := range 4 + s.random.IntN(5) {
		h := &host{name: fmt.Sprintf("h%d", i), dataCentre: dataCentres[i%3], voter: i < 3}
		if h.voter || s.random.IntN(2) == 0 {
			h.disk = &disk{}
		}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		s.boot(h)
	}
	return s
}

// boot starts a host with the content of its disk.
func (s *sim) boot(h *host) {
	h.epoch++
	h.up, h.started, h.startedAt = true, false, s.now
	h.replica, h.table = fleet.NewReplica(), keys.NewTable()
	h.withdrawals = keys.NewWithdrawals(h.table)
	h.publisher = fleet.Publisher{Self: h.name, Replica: h.replica}
	if h.disk == nil || h.confirmed == nil {
		h.confirmed = map[string]bool{}
	}
	installedKeys, installedWithdrawn := 0, 0
	h.replica.OnChange(func(v *fleet.View) {
		for _, k := range v.State.Keys[installedKeys:] {
			h.table.Grant(keys.Key{ID: k.Id, Workspace: k.Workspace, SecretHash: k.SecretHash})
		}
		for _, id := range v.State.Withdrawn[installedWithdrawn:] {
			h.table.Withdraw(id)
			h.withdrawals.MarkPublished(id)
		}
		installedKeys, installedWithdrawn = len(v.State.Keys), len(v.State.Withdrawn)
		s.checkInstalled(h, v)
	})
	minIndex := h.lastIndex
	h.lastIndex = 0
	if h.disk == nil {
		minIndex = 0
	} else {
		h.withdrawals.Load(h.disk.withdrawals, h.disk)
		if h.disk.state != nil {
			state := &fleetpb.State{}
			if err := proto.Unmarshal(h.disk.state, state); err != nil {
				s.fatalf("stored state: %v", err)
			}
			if _, err := h.replica.Install(state); err != nil {
				s.fatalf("install stored state: %v", err)
			}
			h.started = true
		}
		h.replica.PersistTo(h.disk)
	}
	if h.replica.View().Index < minIndex {
		s.fatalf("%s restarted with index %d after %d was in force", h.name, h.replica.View().Index, minIndex)
	}
	h.lastIndex = h.replica.View().Index
	if h.voter {
		h.machine, h.applied = fleet.NewMachine(), 0
	}
	s.every(h, 100*time.Millisecond, func() { s.tick(h) })
	s.every(h, 500*time.Millisecond, func() { s.probe(h) })
	s.every(h, time.Second, func() { s.proposeWithdrawals(h) })
}

// every runs do periodically, beginning after a random part of the interval.
func (s *sim) every(h *host, d time.Duration, do func()) {
	s.onHost(h, time.Duration(s.random.Int64N(int64(d))), func() {
		do()
		s.repeat(h, d, do)
	})
}

func (s *sim) repeat(h *host, d time.Duration, do func()) {
	s.onHost(h, d, func() {
		do()
		s.repeat(h, d, do)
	})
}

// checkInstalled checks the invariants of a state that a host puts in force.
func (s *sim) checkInstalled(h *host, v *fleet.View) {
	if v.Index <= h.lastIndex {
		s.fatalf("index of %s went from %d to %d", h.name, h.lastIndex, v.Index)
	}
	h.lastIndex = v.Index
	for _, r := range v.State.History {
		winner := r.Operator + " " + r.Digest + " " + r.RequestId
		if s.winners[r.Number] == "" {
			s.winners[r.Number] = winner
		}
		if s.winners[r.Number] != winner {
			s.fatalf("revision %d has winners %q and %q", r.Number, s.winners[r.Number], winner)
		}
	}
}

// tick starts a host that is not yet started, and applies committed entries on voters.
func (s *sim) tick(h *host) {
	if !h.started {
		s.tryStart(h)
	}
	if h.voter && s.connected(h, s.leader()) {
		for h.applied < len(s.log) {
			h.machine.Apply(uint64(h.applied+1), s.log[h.applied])
			h.applied++
		}
		s.publishCommitted(h)
	}
	s.checkWithdrawn(h)
}

func (s *sim) publishCommitted(h *host) {
	if !h.started {
		return
	}
	pushes, err := h.publisher.PublishCommitted(h.machine, h == s.leader(), s.membershipView())
	if err != nil && (h.disk == nil || !h.disk.failing) {
		s.fatalf("%s: commit: %v", h.name, err)
	}
	s.push(h, pushes)
}

func (s *sim) leader() *host { return s.hosts[0] }

func (s *sim) membershipView() []fleet.TreeNode {
	var out []fleet.TreeNode
	for _, h := range s.hosts {
		if h.up || s.random.IntN(2) == 0 { // the membership list may still contain stopped hosts
			out = append(out, fleet.TreeNode{Name: h.name, DataCentre: h.dataCentre})
		}
	}
	return out
}

func (s *sim) hostByName(name string) *host { return s.hosts[name[1]-'0'] }

func (s *sim) push(from *host, out []fleet.OutgoingPush) {
	for _, o := range out {
		to := s.hostByName(o.To)
		s.call(from, to, func() func() {
			if to.started {
				forward, pull, err := to.publisher.HandlePush(o.Push, s.membershipView())
				if err != nil && (to.disk == nil || !to.disk.failing) {
					s.fatalf("%s: push: %v", to.name, err)
				}
				s.push(to, forward)
				if pull {
					s.pull(to, from)
				}
			}
			return func() {}
		}, func() { s.push(from, from.publisher.HandlePushFailure(o, s.membershipView())) })
	}
}

func (s *sim) pull(h, from *host) {
	index := h.replica.View().Index
	s.call(h, from, func() func() {
		out := from.replica.Since(index)
		return func() {
			if _, err := h.replica.Merge(out); err != nil && (h.disk == nil || !h.disk.failing) {
				s.fatalf("%s: pull from %s: %v", h.name, from.name, err)
			}
		}
	}, nil)
}

// probe exchanges the index in force and the withdrawals digest with a random host, like
// the beacons of membership probes.
func (s *sim) probe(h *host) {
	to := s.hosts[s.random.IntN(len(s.hosts))]
	if to == h {
		return
	}
	index, digest := h.replica.View().Index, h.withdrawals.Digest()
	s.call(h, to, func() func() {
		s.handleBeacon(to, h, index, digest)
		index, digest := to.replica.View().Index, to.withdrawals.Digest()
		return func() { s.handleBeacon(h, to, index, digest) }
	}, nil)
}

func (s *sim) handleBeacon(h, from *host, index, digest uint64) {
	if h.started && index > h.replica.View().Index {
		s.pull(h, from)
	}
	if digest != h.withdrawals.Digest() {
		s.exchangeWithdrawals(h, from, h.withdrawals.Pending())
	}
}

func (s *sim) exchangeWithdrawals(h, peer *host, items []keys.Withdrawal) {
	s.call(h, peer, func() func() {
		s.confirmWithdrawals(peer, items)
		peerPending := peer.withdrawals.Pending()
		return func() { s.confirmWithdrawals(h, peerPending) }
	}, nil)
}

// confirmWithdrawals makes a host store and confirm withdrawals. From then on, it must
// reject their keys.
func (s *sim) confirmWithdrawals(h *host, items []keys.Withdrawal) bool {
	if _, err := h.withdrawals.Add(items...); err != nil {
		return false
	}
	for _, w := range items {
		h.confirmed[w.KeyID] = true
	}
	return true
}

func (s *sim) checkWithdrawn(h *host) {
	mustReject := func(id, why string) {
		if token := s.granted[id]; token != "" {
			if _, err := h.table.Check(token); err == nil {
				s.fatalf("%s accepts withdrawn key %s (%s)", h.name, id, why)
			}
		}
	}
	for id := range h.confirmed {
		mustReject(id, "confirmed")
	}
	for _, id := range h.replica.View().State.Withdrawn {
		mustReject(id, "published")
	}
	if h.disk != nil {
		for _, w := range h.disk.withdrawals {
			mustReject(w.KeyID, "stored")
		}
	}
}

// tryStart starts a host without a stored state if DecideStart allows it.
func (s *sim) tryStart(h *host) {
	if s.now < h.startedAt { // an earlier attempt is still waiting
		return
	}
	waited := s.now - h.startedAt
	indexes := map[string]uint64{}
	for _, o := range s.hosts {
		if o != h && o.up && s.delivers(h, o) {
			indexes[o.name] = o.replica.View().Index
		}
	}
	from, start := fleet.DecideStart(h.replica.View().Index, indexes, []string{"h0", "h1", "h2"}, waited >= 3*time.Second)
	if from != "" {
		if _, err := h.replica.Merge(s.hostByName(from).replica.Since(h.replica.View().Index)); err != nil && (h.disk == nil || !h.disk.failing) {
			s.fatalf("start of %s: %v", h.name, err)
		}
	}
	if !start {
		return
	}
	for name, index := range indexes {
		if index > h.replica.View().Index && (h.disk == nil || !h.disk.failing) {
			s.fatalf("%s starts with index %d although %s responded with %d", h.name, h.replica.View().Index, name, index)
		}
	}
	h.started = true
}

// proposeWithdrawals proposes the pending withdrawals to the leader.
func (s *sim) proposeWithdrawals(h *host) {
	for _, w := range h.withdrawals.Pending() {
		s.proposeToLeader(h, &fleetpb.Command{Kind: &fleetpb.Command_WithdrawKey{
			WithdrawKey: &fleetpb.WithdrawKey{KeyId: w.KeyID, Operator: w.Operator}}}, func(*fleetpb.Result) {}, nil)
	}
}

// proposeToLeader commits a command if the leader is reachable.
func (s *sim) proposeToLeader(h *host, c *fleetpb.Command, onResult func(*fleetpb.Result), onTimeout func()) {
	leader := s.leader()
	s.call(h, leader, func() func() {
		for leader.applied < len(s.log) {
			leader.machine.Apply(uint64(leader.applied+1), s.log[leader.applied])
			leader.applied++
		}
		data, err := proto.Marshal(c)
		if err != nil {
			s.fatalf("%v", err)
		}
		s.log = append(s.log, data)
		var result fleetpb.Result
		if err := proto.Unmarshal(leader.machine.Apply(uint64(len(s.log)), data), &result); err != nil {
			s.fatalf("%v", err)
		}
		leader.applied = len(s.log)
		s.publishCommitted(leader)
		return func() { onResult(&result) }
	}, onTimeout)
}

func rulesText(n, variant int) string {
	text := ""
	for i := range 5 + n%4 {
		text += fmt.Sprintf("workspace w%d rate=%d/s burst=%d  # operator %d\n", i, 10+(n+i)%3, 100, variant)
	}
	return text
}

// operatorAction runs a random operator action through a random host.
func (s *sim) operatorAction() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	if !h.up {
		return
	}
	s.lastClient++
	client := s.lastClient
	switch s.random.IntN(4) {
	case 0, 1:
		s.applyRules(h, client)
	case 2:
		s.grant(h, client)
	case 3:
		ids := slices.Sorted(maps.Keys(s.granted))
		if len(ids) > 0 {
			s.withdraw(h, ids[s.random.IntN(len(ids))])
		}
	}
}

type rulesInput struct {
	base   uint64
	digest string
}

type keyInput struct{ id string }

// submitWithRetries resends a command with the same request id until there is a
// response, as geraniumctl does after a lost response. Without a response, the command
// remains in the history as an operation that may take effect at any time.
func (s *sim) submitWithRetries(h *host, c *fleetpb.Command, retries int, op *porcupine.Operation) {
	s.proposeToLeader(h, c, func(r *fleetpb.Result) { op.Output, op.Return = r, int64(s.now) }, func() {
		if retries > 0 {
			s.submitWithRetries(h, c, retries-1, op)
		}
	})
}

// recordCall adds an operation without a result to the history.
func (s *sim) recordCall(client int, input any, ops *[]*porcupine.Operation) *porcupine.Operation {
	op := &porcupine.Operation{ClientId: client, Input: input, Call: int64(s.now), Output: (*fleetpb.Result)(nil), Return: int64(time.Hour)}
	*ops = append(*ops, op)
	return op
}

func operations(list []*porcupine.Operation) []porcupine.Operation {
	var out []porcupine.Operation
	for _, op := range list {
		out = append(out, *op)
	}
	return out
}

func (s *sim) applyRules(h *host, client int) {
	base := h.replica.View().Revision
	text := rulesText(int(base)+s.random.IntN(3), s.random.IntN(3))
	c := &fleetpb.Command{Kind: &fleetpb.Command_ApplyRules{ApplyRules: &fleetpb.ApplyRules{
		BaseRevision: base, RequestId: fmt.Sprintf("r%d", client), Text: text, Operator: fmt.Sprintf("o%d", client),
	}}}
	sum := sha256.Sum256([]byte(text))
	s.submitWithRetries(h, c, 3, s.recordCall(client, rulesInput{base, fmt.Sprintf("%x", sum[:8])}, &s.ruleOps))
}

func (s *sim) grant(h *host, client int) {
	id := fmt.Sprintf("k%d", s.random.IntN(12))
	secret := fmt.Sprintf("s%d", client)
	hash := sha256.Sum256([]byte(secret))
	c := &fleetpb.Command{Kind: &fleetpb.Command_GrantKey{GrantKey: &fleetpb.GrantKey{
		RequestId: fmt.Sprintf("r%d", client), KeyId: id, Workspace: "w0", SecretHash: hash[:], Operator: "o",
	}}}
	s.submitWithRetries(h, c, 3, s.recordCall(client, keyInput{id}, &s.keyOps))
	if s.granted[id] == "" {
		s.granted[id] = "gt_" + id + "_" + secret
	}
}

func (s *sim) withdraw(h *host, id string) {
	w := keys.Withdrawal{KeyID: id, Operator: "o"}
	if !s.confirmWithdrawals(h, []keys.Withdrawal{w}) {
		return
	}
	for _, o := range s.hosts {
		if o != h {
			s.exchangeWithdrawals(h, o, []keys.Withdrawal{w})
		}
	}
	s.proposeWithdrawals(h)
}

// injectFault starts or ends a random fault.
func (s *sim) injectFault() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	switch s.random.IntN(7) {
	case 0, 1: // crash, and restart within 5 s
		if h.up {
			h.up = false
			s.after(time.Duration(s.random.Int64N(int64(5*time.Second))), func() { s.boot(h) })
		}
	case 2: // disk loss
		if h.up && h.disk != nil {
			h.up, h.lastIndex, h.confirmed = false, 0, nil
			s.after(time.Second, func() { h.disk = &disk{}; s.boot(h) })
		}
	case 3: // partition of a data centre
		dataCentre := h.dataCentre
		for _, other := range []string{"a", "b", "c"} {
			if other != dataCentre {
				s.partitioned[dataCentre+other], s.partitioned[other+dataCentre] = true, true
			}
		}
	case 4: // partition of one host, which becomes stale
		s.partitioned[h.name] = true
	case 5: // end of all partitions
		clear(s.partitioned)
	case 6: // writes to the disk begin or cease to fail
		if h.disk != nil {
			h.disk.failing = !h.disk.failing
		}
	}
}

func (s *sim) runUntil(until time.Duration) {
	for s.queue.Len() > 0 && s.queue[0].due <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.due
		e.run()
	}
	s.now = until
}

func (s *sim) runSchedule() {
	for range 10 + s.random.IntN(25) {
		s.after(time.Duration(s.random.Int64N(int64(faultPhase))), s.operatorAction)
	}
	for range s.random.IntN(10) {
		s.after(time.Duration(s.random.Int64N(int64(faultPhase))), s.injectFault)
	}
	s.runUntil(faultPhase)
	s.faults = false
	clear(s.partitioned)
	for _, h := range s.hosts {
		if h.disk != nil {
			h.disk.failing = false
		}
	}
	s.runUntil(faultPhase + 6*time.Second) // time for the last restarts and resends
	s.runUntil(s.now + convergenceLimit)
	s.checkConverged()
	s.checkHistories()
}

// checkConverged checks that all hosts have the same state after the faults.
func (s *sim) checkConverged() {
	reference := s.leader()
	want := reference.machine.State()
	withdrawn := map[string]bool{}
	for _, id := range want.Withdrawn {
		withdrawn[id] = true
	}
	for _, h := range s.hosts {
		if !h.up || !h.started {
			s.fatalf("%s did not start", h.name)
		}
		if got := h.replica.View().State; !proto.Equal(got, want) {
			s.fatalf("%s is at index %d, the log is at %d", h.name, got.Index, want.Index)
		}
		if p := h.withdrawals.Pending(); len(p) > 0 {
			s.fatalf("%s still has pending withdrawals %v", h.name, p)
		}
		for id := range h.confirmed {
			if !withdrawn[id] {
				s.fatalf("withdrawal of %s, confirmed by %s, did not reach the log", id, h.name)
			}
		}
		s.checkWithdrawn(h)
	}
}

func (s *sim) checkHistories() {
	if !porcupine.CheckOperations(rulesModel, operations(s.ruleOps)) {
		s.fatalf("the history of rules is not linearizable: %+v", operations(s.ruleOps))
	}
	if !porcupine.CheckOperations(keysModel, operations(s.keyOps)) {
		s.fatalf("the history of grants is not linearizable: %+v", operations(s.keyOps))
	}
}

// rulesModel is the specification of ApplyRules: a register with a revision that is
// changed by compare-and-swap.
var rulesModel = porcupine.Model{
	Init: func() any { return rulesInput{} },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(rulesInput), input.(rulesInput), output.(*fleetpb.Result)
		next := rulesInput{base: current.base + 1, digest: in.digest}
		switch {
		case out == nil && in.base == current.base:
			return true, next
		case out == nil:
			return true, current
		case out.Accepted:
			return in.base == current.base && out.Revision == current.base+1 && out.Digest == in.digest, next
		}
		return in.base != current.base && out.Reason == fleet.ReasonConflict && out.Revision == current.base && out.Digest == current.digest, current
	},
}

// keysModel is the specification of GrantKey: each id is granted at most once, and not
// after its withdrawal. The model does not constrain the time of withdrawals.
var keysModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byID := map[string][]porcupine.Operation{}
		for _, op := range all {
			id := op.Input.(keyInput).id
			byID[id] = append(byID[id], op)
		}
		return slices.Collect(maps.Values(byID))
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		current, out := state.(string), output.(*fleetpb.Result)
		switch {
		case out == nil && current == "":
			return true, "granted"
		case out == nil:
			return true, current
		case out.Accepted:
			return current == "", "granted"
		case out.Reason == fleet.ReasonWithdrawn:
			return true, "withdrawn"
		}
		return out.Reason == fleet.ReasonExists && current == "granted", current
	},
}

// Guards against a revision with two winners, an index that decreases, a withdrawn key
// that is accepted again, and a change that does not reach a host. The faults are
// message loss, delay and duplication, partitions, restarts, disk loss and stale peers.
// scripts/simulate.sh runs more schedules.
func TestSchedules(t *testing.T) {
	for i := range uint64(*schedules) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			newSim(t, seed).runSchedule()
		})
	}
}
