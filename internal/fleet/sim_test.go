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

// simLength is the time with faults; all changes must be everywhere within
// settleLimit after them, which is the target for publication.
const (
	simLength   = 30 * time.Second
	settleLimit = 14 * time.Second
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

// disk is what a host has synced.
type disk struct {
	state       []byte
	withdrawals []keys.Withdrawal
	// failing makes saves fail, as a full disk does.
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
	name, place string
	voter       bool
	disk        *disk
	epoch       int // changes with each restart, so that old events are void
	up, started bool
	startedAt   time.Duration

	machine     *fleet.Machine
	applied     int // entries of the log that the machine has
	copy        *fleet.Replica
	publisher   fleet.Publisher
	table       *keys.Table
	withdrawals *keys.Withdrawals
	lastIndex   uint64
	// acked are the withdrawals that this host confirmed since it started, or,
	// with a disk, since it has that disk.
	acked map[string]bool
}

type sim struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	now     time.Duration
	queue   eventQueue
	order   int
	hosts   []*host
	log     [][]byte // committed commands
	cut     map[string]bool
	loss    float64
	faults  bool
	winners map[uint64]string
	granted map[string]string // key id -> token
	history []*porcupine.Operation
	keyOps  []*porcupine.Operation
	clients int
}

func (s *sim) fatalf(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d at %v: %s (repeat with -schedules=1 -seed=%d)", s.seed, s.now, fmt.Sprintf(format, args...), s.seed)
}

func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, event{s.now + d, s.order, do})
}

// on runs do later if the host has not restarted or stopped meanwhile.
func (s *sim) on(h *host, d time.Duration, do func()) {
	epoch := h.epoch
	s.after(d, func() {
		if h.up && h.epoch == epoch {
			do()
		}
	})
}

func (s *sim) connected(a, b *host) bool {
	return a == b || (!s.cut[a.place+b.place] && !s.cut[a.name] && !s.cut[b.name])
}

// call sends a request and its answer, each of which can be lost, late or
// doubled. lost runs after a timeout without an answer.
func (s *sim) call(from, to *host, serve func() (answer func()), lost func()) {
	done := false
	s.on(from, 2*time.Second, func() {
		if !done && lost != nil {
			lost()
		}
	})
	copies := 1
	if s.faults && s.random.Float64() < s.loss {
		copies = 2
	}
	for range copies {
		if !s.arrives(from, to) {
			continue
		}
		s.on(to, s.delay(), func() {
			answer := serve()
			if answer == nil || !s.arrives(to, from) {
				return
			}
			s.on(from, s.delay(), func() {
				if !done {
					done = true
					answer()
				}
			})
		})
	}
}

func (s *sim) arrives(a, b *host) bool {
	return b.up && s.connected(a, b) && (!s.faults || s.random.Float64() >= s.loss)
}

func (s *sim) delay() time.Duration {
	if s.faults && s.random.IntN(20) == 0 {
		return time.Duration(s.random.Int64N(int64(1500 * time.Millisecond)))
	}
	return time.Duration(s.random.Int64N(int64(60 * time.Millisecond)))
}

func newSim(t *testing.T, seed uint64) *sim {
	s := &sim{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), cut: map[string]bool{}, faults: true,
		winners: map[uint64]string{}, granted: map[string]string{}}
	s.loss = []float64{0, 0.02, 0.2}[s.random.IntN(3)]
	places := []string{"a", "b", "c"}
	for i := range 4 + s.random.IntN(5) {
		h := &host{name: fmt.Sprintf("h%d", i), place: places[i%3], voter: i < 3}
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

// boot starts a host from what its disk holds.
func (s *sim) boot(h *host) {
	h.epoch++
	h.up, h.started, h.startedAt = true, false, s.now
	h.copy, h.table = fleet.NewReplica(), keys.NewTable()
	h.withdrawals = keys.NewWithdrawals(h.table)
	h.publisher = fleet.Publisher{Self: h.name, Replica: h.copy}
	if h.disk == nil || h.acked == nil {
		h.acked = map[string]bool{}
	}
	knownKeys, knownWithdrawn := 0, 0
	h.copy.OnChange(func(v *fleet.View) {
		for _, k := range v.State.Keys[knownKeys:] {
			h.table.Grant(keys.Key{ID: k.Id, Workspace: k.Workspace, SecretHash: k.SecretHash})
		}
		for _, id := range v.State.Withdrawn[knownWithdrawn:] {
			h.table.Withdraw(id)
			h.withdrawals.Published(id)
		}
		knownKeys, knownWithdrawn = len(v.State.Keys), len(v.State.Withdrawn)
		s.installed(h, v)
	})
	floor := h.lastIndex
	h.lastIndex = 0
	if h.disk == nil {
		floor = 0
	} else {
		h.withdrawals.Load(h.disk.withdrawals, h.disk)
		if h.disk.state != nil {
			state := &fleetpb.State{}
			if err := proto.Unmarshal(h.disk.state, state); err != nil {
				s.fatalf("stored state: %v", err)
			}
			if _, err := h.copy.Install(state); err != nil {
				s.fatalf("install stored state: %v", err)
			}
			h.started = true
		}
		h.copy.PersistTo(h.disk)
	}
	if h.copy.View().Index < floor {
		s.fatalf("%s restarted with index %d after %d was in force", h.name, h.copy.View().Index, floor)
	}
	h.lastIndex = h.copy.View().Index
	if h.voter {
		h.machine, h.applied = fleet.NewMachine(), 0
	}
	s.every(h, 100*time.Millisecond, func() { s.tick(h) })
	s.every(h, 500*time.Millisecond, func() { s.beacon(h) })
	s.every(h, time.Second, func() { s.propose(h) })
}

func (s *sim) every(h *host, d time.Duration, do func()) {
	s.on(h, time.Duration(s.random.Int64N(int64(d))), func() {
		do()
		s.every2(h, d, do)
	})
}

func (s *sim) every2(h *host, d time.Duration, do func()) {
	s.on(h, d, func() {
		do()
		s.every2(h, d, do)
	})
}

// installed checks what a host puts in force.
func (s *sim) installed(h *host, v *fleet.View) {
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

// tick applies committed entries on voters and runs the start rule.
func (s *sim) tick(h *host) {
	if !h.started {
		s.start(h)
	}
	if h.voter && s.connected(h, s.leader()) {
		for h.applied < len(s.log) {
			h.machine.Apply(uint64(h.applied+1), s.log[h.applied])
			h.applied++
		}
		s.commit(h)
	}
	s.checkWithdrawn(h)
}

func (s *sim) commit(h *host) {
	if !h.started {
		return
	}
	pushes, err := h.publisher.PublishCommitted(h.machine, h == s.leader(), s.live())
	if err != nil && (h.disk == nil || !h.disk.failing) {
		s.fatalf("%s: commit: %v", h.name, err)
	}
	s.push(h, pushes)
}

func (s *sim) leader() *host { return s.hosts[0] }

func (s *sim) live() []fleet.TreeNode {
	var out []fleet.TreeNode
	for _, h := range s.hosts {
		if h.up || s.random.IntN(2) == 0 { // membership lags behind
			out = append(out, fleet.TreeNode{Name: h.name, DataCentre: h.place})
		}
	}
	return out
}

func (s *sim) named(name string) *host { return s.hosts[name[1]-'0'] }

func (s *sim) push(from *host, out []fleet.OutgoingPush) {
	for _, o := range out {
		to := s.named(o.To)
		s.call(from, to, func() func() {
			if to.started {
				forward, pull, err := to.publisher.HandlePush(o.Push, s.live())
				if err != nil && (to.disk == nil || !to.disk.failing) {
					s.fatalf("%s: push: %v", to.name, err)
				}
				s.push(to, forward)
				if pull {
					s.pull(to, from)
				}
			}
			return func() {}
		}, func() { s.push(from, from.publisher.HandlePushFailure(o, s.live())) })
	}
}

func (s *sim) pull(h, from *host) {
	index := h.copy.View().Index
	s.call(h, from, func() func() {
		out := from.copy.Since(index)
		return func() {
			if _, err := h.copy.Merge(out); err != nil && (h.disk == nil || !h.disk.failing) {
				s.fatalf("%s: pull from %s: %v", h.name, from.name, err)
			}
		}
	}, nil)
}

// beacon tells another host this host's position, as probes do.
func (s *sim) beacon(h *host) {
	to := s.hosts[s.random.IntN(len(s.hosts))]
	if to == h {
		return
	}
	index, digest := h.copy.View().Index, h.withdrawals.Digest()
	s.call(h, to, func() func() {
		s.heard(to, h, index, digest)
		index, digest := to.copy.View().Index, to.withdrawals.Digest()
		return func() { s.heard(h, to, index, digest) }
	}, nil)
}

func (s *sim) heard(h, from *host, index, digest uint64) {
	if h.started && index > h.copy.View().Index {
		s.pull(h, from)
	}
	if digest != h.withdrawals.Digest() {
		s.exchange(h, from, h.withdrawals.Pending())
	}
}

func (s *sim) exchange(h, with *host, items []keys.Withdrawal) {
	s.call(h, with, func() func() {
		s.accept(with, items)
		theirs := with.withdrawals.Pending()
		return func() { s.accept(h, theirs) }
	}, nil)
}

// accept is a host's confirmation: from now on the key must be refused there.
func (s *sim) accept(h *host, items []keys.Withdrawal) bool {
	if _, err := h.withdrawals.Add(items...); err != nil {
		return false
	}
	for _, w := range items {
		h.acked[w.KeyID] = true
	}
	return true
}

func (s *sim) checkWithdrawn(h *host) {
	refused := func(id, why string) {
		if token := s.granted[id]; token != "" {
			if _, err := h.table.Check(token); err == nil {
				s.fatalf("%s accepts withdrawn key %s (%s)", h.name, id, why)
			}
		}
	}
	for id := range h.acked {
		refused(id, "confirmed")
	}
	for _, id := range h.copy.View().State.Withdrawn {
		refused(id, "published")
	}
	if h.disk != nil {
		for _, w := range h.disk.withdrawals {
			refused(w.KeyID, "stored")
		}
	}
}

// start runs the start rule of a host without a stored state.
func (s *sim) start(h *host) {
	if s.now < h.startedAt { // an earlier round still waits
		return
	}
	waited := s.now - h.startedAt
	positions := map[string]uint64{}
	for _, o := range s.hosts {
		if o != h && o.up && s.arrives(h, o) {
			positions[o.name] = o.copy.View().Index
		}
	}
	from, start := fleet.DecideStart(h.copy.View().Index, positions, []string{"h0", "h1", "h2"}, waited >= 3*time.Second)
	if from != "" {
		if _, err := h.copy.Merge(s.named(from).copy.Since(h.copy.View().Index)); err != nil && (h.disk == nil || !h.disk.failing) {
			s.fatalf("start of %s: %v", h.name, err)
		}
	}
	if !start {
		return
	}
	for name, index := range positions {
		if index > h.copy.View().Index && (h.disk == nil || !h.disk.failing) {
			s.fatalf("%s starts with index %d although %s answered with %d", h.name, h.copy.View().Index, name, index)
		}
	}
	h.started = true
}

// propose sends pending withdrawals to the log.
func (s *sim) propose(h *host) {
	for _, w := range h.withdrawals.Pending() {
		s.logCall(h, &fleetpb.Command{Kind: &fleetpb.Command_WithdrawKey{
			WithdrawKey: &fleetpb.WithdrawKey{KeyId: w.KeyID, Operator: w.Operator}}}, func(*fleetpb.Result) {}, nil)
	}
}

// logCall commits a command if the leader can be reached.
func (s *sim) logCall(h *host, c *fleetpb.Command, answered func(*fleetpb.Result), lost func()) {
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
		s.commit(leader)
		return func() { answered(&result) }
	}, lost)
}

func rulesText(n, variant int) string {
	text := ""
	for i := range 5 + n%4 {
		text += fmt.Sprintf("workspace w%d rate=%d/s burst=%d  # operator %d\n", i, 10+(n+i)%3, 100, variant)
	}
	return text
}

// operate runs one operator's action through a random host.
func (s *sim) operate() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	if !h.up {
		return
	}
	s.clients++
	client := s.clients
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

// changed resends a command under its request id until it is answered, as
// geraniumctl does after a lost answer. Without an answer it stays in the
// history as an operation that may take effect at any time.
func (s *sim) changed(h *host, c *fleetpb.Command, tries int, op *porcupine.Operation) {
	s.logCall(h, c, func(r *fleetpb.Result) { op.Output, op.Return = r, int64(s.now) }, func() {
		if tries > 0 {
			s.changed(h, c, tries-1, op)
		}
	})
}

func (s *sim) begin(client int, input any, into *[]*porcupine.Operation) *porcupine.Operation {
	op := &porcupine.Operation{ClientId: client, Input: input, Call: int64(s.now), Output: (*fleetpb.Result)(nil), Return: int64(time.Hour)}
	*into = append(*into, op)
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
	base := h.copy.View().Revision
	text := rulesText(int(base)+s.random.IntN(3), s.random.IntN(3))
	c := &fleetpb.Command{Kind: &fleetpb.Command_ApplyRules{ApplyRules: &fleetpb.ApplyRules{
		BaseRevision: base, RequestId: fmt.Sprintf("r%d", client), Text: text, Operator: fmt.Sprintf("o%d", client),
	}}}
	sum := sha256.Sum256([]byte(text))
	s.changed(h, c, 3, s.begin(client, rulesInput{base, fmt.Sprintf("%x", sum[:8])}, &s.history))
}

func (s *sim) grant(h *host, client int) {
	id := fmt.Sprintf("k%d", s.random.IntN(12))
	secret := fmt.Sprintf("s%d", client)
	hash := sha256.Sum256([]byte(secret))
	c := &fleetpb.Command{Kind: &fleetpb.Command_GrantKey{GrantKey: &fleetpb.GrantKey{
		RequestId: fmt.Sprintf("r%d", client), KeyId: id, Workspace: "w0", SecretHash: hash[:], Operator: "o",
	}}}
	s.changed(h, c, 3, s.begin(client, keyInput{id}, &s.keyOps))
	if s.granted[id] == "" {
		s.granted[id] = "gt_" + id + "_" + secret
	}
}

func (s *sim) withdraw(h *host, id string) {
	w := keys.Withdrawal{KeyID: id, Operator: "o"}
	if !s.accept(h, []keys.Withdrawal{w}) {
		return
	}
	for _, o := range s.hosts {
		if o != h {
			s.exchange(h, o, []keys.Withdrawal{w})
		}
	}
	s.propose(h)
}

// fault causes or ends one fault.
func (s *sim) fault() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	switch s.random.IntN(7) {
	case 0, 1: // crash and restart, the leader after a short time only
		if h.up {
			h.up = false
			s.after(time.Duration(s.random.Int64N(int64(5*time.Second))), func() { s.boot(h) })
		}
	case 2: // a lost disk
		if h.up && h.disk != nil {
			h.up, h.lastIndex, h.acked = false, 0, nil
			s.after(time.Second, func() { h.disk = &disk{}; s.boot(h) })
		}
	case 3: // a data centre is cut off
		place := h.place
		for _, other := range []string{"a", "b", "c"} {
			if other != place {
				s.cut[place+other], s.cut[other+place] = true, true
			}
		}
	case 4: // one host is cut off, and so becomes stale
		s.cut[h.name] = true
	case 5:
		clear(s.cut)
	case 6:
		if h.disk != nil {
			h.disk.failing = !h.disk.failing
		}
	}
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
	for range 10 + s.random.IntN(25) {
		s.after(time.Duration(s.random.Int64N(int64(simLength))), s.operate)
	}
	for range s.random.IntN(10) {
		s.after(time.Duration(s.random.Int64N(int64(simLength))), s.fault)
	}
	s.run(simLength)
	s.faults = false
	clear(s.cut)
	for _, h := range s.hosts {
		if h.disk != nil {
			h.disk.failing = false
		}
	}
	s.run(simLength + 6*time.Second) // the last restarts and resends
	s.run(s.now + settleLimit)
	s.checkSettled()
	s.checkHistories()
}

// checkSettled asserts that all hosts agree after the faults.
func (s *sim) checkSettled() {
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
		if got := h.copy.View().State; !proto.Equal(got, want) {
			s.fatalf("%s holds index %d, the log is at %d", h.name, got.Index, want.Index)
		}
		if p := h.withdrawals.Pending(); len(p) > 0 {
			s.fatalf("%s still has pending withdrawals %v", h.name, p)
		}
		for id := range h.acked {
			if !withdrawn[id] {
				s.fatalf("withdrawal of %s, confirmed by %s, did not reach the log", id, h.name)
			}
		}
		s.checkWithdrawn(h)
	}
}

func (s *sim) checkHistories() {
	if !porcupine.CheckOperations(rulesModel, operations(s.history)) {
		s.fatalf("the history of rules is not linearizable: %+v", operations(s.history))
	}
	if !porcupine.CheckOperations(keysModel, operations(s.keyOps)) {
		s.fatalf("the history of grants is not linearizable: %+v", operations(s.keyOps))
	}
}

// rulesModel is the specification of ApplyRules: a register with a revision,
// changed by compare-and-set.
var rulesModel = porcupine.Model{
	Init: func() any { return rulesInput{} },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(rulesInput), input.(rulesInput), output.(*fleetpb.Result)
		next := rulesInput{base: now.base + 1, digest: in.digest}
		switch {
		case out == nil && in.base == now.base:
			return true, next
		case out == nil:
			return true, now
		case out.Accepted:
			return in.base == now.base && out.Revision == now.base+1 && out.Digest == in.digest, next
		}
		return in.base != now.base && out.Reason == fleet.ReasonConflict && out.Revision == now.base && out.Digest == now.digest, now
	},
}

// keysModel is the specification of GrantKey: each id is granted once at most,
// and not after its withdrawal. The time of withdrawals is left open.
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
		now, out := state.(string), output.(*fleetpb.Result)
		switch {
		case out == nil && now == "":
			return true, "granted"
		case out == nil:
			return true, now
		case out.Accepted:
			return now == "", "granted"
		case out.Reason == fleet.ReasonWithdrawn:
			return true, "withdrawn"
		}
		return out.Reason == fleet.ReasonExists && now == "granted", now
	},
}

// Guards against two winners of a revision, an index that goes back, a
// withdrawn key that works again, and changes that do not reach a host, under
// loss, delay, duplicates, partitions, restarts, lost disks and stale peers.
// More schedules: scripts/simulate.sh.
func TestSchedules(t *testing.T) {
	for i := range uint64(*schedules) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			newSim(t, seed).schedule()
		})
	}
}
