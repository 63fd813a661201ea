package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/control/controlpb"
	"geraniumturn.example/geraniumturn/internal/control/core"
	"geraniumturn.example/geraniumturn/internal/control/storage"
)

const (
	// snapshotEntries is the number of applied entries after which a snapshot is taken.
	snapshotEntries = 4096
	// snapshotBytes is the total size of applied commands after which a snapshot is
	// taken even if there are fewer entries. It keeps the log on disk below about
	// twice this size.
	snapshotBytes = 8 << 20
	// maxCommandBytes limits the size of a command, so that each append fits in a
	// message.
	maxCommandBytes = 4 << 20
	// eventQueueSize is the capacity of the queue of events for the loop. Events that
	// arrive during a sync are handled together, which gives group commit.
	eventQueueSize = 1024
	joinInterval   = time.Second
)

// Voter is the name and the peer address of a host that can be a voter.
type Voter struct {
	Host    string
	Address string
}

// Config configures a Node or a Remote.
type Config struct {
	// Host is the name of this host.
	Host string
	// Dir is the directory of the log. It is unused on a host that is not a voter.
	Dir string
	// Voters are the voters listed in the settings.
	Voters []Voter
	// DiscoverVoters returns the control hosts that are currently known. It replaces
	// Voters where the settings do not list them. The name of a host is then its peer
	// address.
	DiscoverVoters func() []Voter
	// InitialVoters are the peer addresses of the voters that bootstrap the log. Each
	// of them that has an empty directory starts a new log with all of them as
	// members. Set it only at the first start of the deployment.
	InitialVoters []string
	// VoterCount is the number of voters; zero makes every member a voter.
	VoterCount int
	// ReopenAfterDiskFailure makes a voter whose disk has failed reopen its log once
	// the disk works again, instead of ending Run with the error. It does not take
	// part in the consensus meanwhile.
	ReopenAfterDiskFailure bool
	// Dial returns a connection to a peer address.
	Dial    func(address string) drpc.Conn
	Logger  *logrus.Logger
	Metrics metrics.Registry
}

func (c Config) voters() []Voter {
	if c.DiscoverVoters != nil {
		return c.DiscoverVoters()
	}
	return c.Voters
}

func (c Config) address(host string) (string, bool) {
	if c.DiscoverVoters != nil {
		return host, host != ""
	}
	for _, v := range c.Voters {
		if v.Host == host {
			return v.Address, true
		}
	}
	return "", false
}

// Node is one voter: it connects the core to the clock, the disk, the network
// and the machines.
type Node struct {
	config   Config
	forward  *forwarder
	events   chan func()
	stopped  chan struct{}
	machines map[string]Machine

	storage *storage.Storage
	core    *core.Core
	id      string
	senders map[string]*sender
	hosts   map[string]string // host names of the ids that sent messages

	// pending has the proposals of this host that are appended and not yet applied,
	// by index.
	pending       map[uint64]*pendingProposal
	applied       uint64
	snapshotIndex uint64
	appliedBytes  int // of commands since the last snapshot
	// machineIndex is the index up to which the machines have applied entries. It can
	// be above applied after the log was reopened: entries up to it are not applied to
	// the machines a second time.
	machineIndex   uint64
	storedSnapshot core.Snapshot // latest snapshot on disk, with its data
	nextJoinAt     time.Duration

	status atomic.Pointer[core.Status]
	lease  atomic.Pointer[lease]
	// currentAsOf is a local time: the machines have applied all commands that were
	// acknowledged before it.
	currentAsOf  atomic.Pointer[time.Duration]
	loggedStatus core.Status

	elections, commits, snapshots metrics.Counter
	syncTime, proposeTime         metrics.Timer

	closeOnce sync.Once
	startedAt time.Duration
}

type lease struct {
	term  uint64
	until time.Duration
	// current means that all committed entries are applied. Followers may apply and
	// acknowledge an entry before the leader has applied it.
	current bool
}

// validLease returns the lease of this voter, or nil if it holds none.
func (n *Node) validLease() *lease {
	l := n.lease.Load()
	if l == nil || n.now() >= l.until {
		return nil
	}
	return l
}

// pendingProposal is a proposal that waits for its result.
type pendingProposal struct {
	term   uint64
	result chan proposeResult // buffered, receives one result
}

type proposeResult struct {
	result []byte
	err    error
}

// NewNode opens the voter's directory. Register the machines before Run.
func NewNode(config Config) (*Node, error) {
	n := &Node{
		config: config, events: make(chan func(), eventQueueSize), stopped: make(chan struct{}),
		machines: map[string]Machine{}, senders: map[string]*sender{}, hosts: map[string]string{}, pending: map[uint64]*pendingProposal{},
		elections:   metrics.GetOrRegisterCounter("control.elections", config.Metrics),
		commits:     metrics.GetOrRegisterCounter("control.commits", config.Metrics),
		snapshots:   metrics.GetOrRegisterCounter("control.snapshots", config.Metrics),
		syncTime:    metrics.GetOrRegisterTimer("control.sync_time", config.Metrics),
		proposeTime: metrics.GetOrRegisterTimer("control.propose_time", config.Metrics),
	}
	n.startedAt = n.now()
	n.forward = newForwarder(config, n)
	if err := n.open(false); err != nil {
		return nil, err
	}
	metrics.NewRegisteredFunctionalGauge("control.voters_current", config.Metrics, func() int64 {
		return int64(n.status.Load().CurrentVoters)
	})
	n.publish()
	return n, nil
}

// open loads the voter from its directory. rewrite is set after a disk failure: the
// log is then rewritten first, because earlier writes may not be durable.
func (n *Node) open(rewrite bool) error {
	isInitial := slices.Contains(n.config.InitialVoters, n.config.Host)
	initialID := ""
	if isInitial {
		initialID = initialMember(n.config.Host).ID
	}
	disk, loaded, err := storage.OpenWithID(n.config.Dir, initialID)
	if err != nil {
		return err
	}
	if rewrite {
		if err := disk.Rewrite(loaded.ID, loaded.State, loaded.Base, loaded.BaseTerm, loaded.Entries); err != nil {
			return errors.Join(err, disk.Close())
		}
	}
	if loaded.TruncatedBytes > 0 {
		n.config.Logger.WithField("bytes", loaded.TruncatedBytes).Warn("removed an incomplete record at the end of the control log")
	}
	n.config.Logger.WithFields(logrus.Fields{"id": loaded.ID, "term": loaded.State.Term, "vote": loaded.State.Vote,
		"snapshot": loaded.Snapshot.Index, "last": loaded.Base + uint64(len(loaded.Entries))}).Info("control log opened")
	n.storage, n.id = disk, loaded.ID
	n.applied, n.snapshotIndex, n.storedSnapshot, n.appliedBytes = loaded.Snapshot.Index, loaded.Snapshot.Index, loaded.Snapshot, 0
	n.core = core.New(core.Config{
		ID: loaded.ID, Host: n.config.Host, State: loaded.State, Snapshot: loaded.Snapshot,
		Base: loaded.Base, BaseTerm: loaded.BaseTerm, Entries: loaded.Entries,
		Rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Process: rand.Uint64(), VoterCount: n.config.VoterCount,
	}, n.now())
	if isInitial && loaded.ID == initialID && n.core.Status().LastIndex == 0 {
		n.core.Initialise(initialMembers(n.config.InitialVoters))
	}
	return nil
}

// Register adds a machine under a name, which must be the same on all voters.
func (n *Node) Register(name string, m Machine) { n.machines[name] = m }

// now returns the time since the operating system booted. It includes time in which
// the system is suspended, because a lease must end in real time.
func (n *Node) now() time.Duration { return clock.SinceBoot() }

// initialMember derives the id of an initial voter from its address, so that all
// initial voters start with the same membership without exchanging messages. A host
// that lost its disk later gets a random id, so it does not bootstrap the log again.
// The prefix is part of the ids on disk and must not change.
func initialMember(host string) core.Member {
	sum := sha256.Sum256([]byte("founder " + host))
	return core.Member{ID: hex.EncodeToString(sum[:16]), Host: host}
}

func initialMembers(hosts []string) []core.Member {
	var out []core.Member
	for _, h := range slices.Sorted(slices.Values(hosts)) {
		out = append(out, initialMember(h))
	}
	return out
}

// Run runs the voter until ctx ends. It also ends with an error when the disk fails,
// unless ReopenAfterDiskFailure is set.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	for {
		err := n.runLoop(ctx)
		if err == nil || !n.config.ReopenAfterDiskFailure {
			return err
		}
		n.config.Logger.WithError(err).Error("control log stopped: disk failed")
		if !n.reopen(ctx) {
			return nil
		}
		n.config.Logger.Info("control log opened again")
	}
}

// reopenInterval is the delay before each attempt to open the log on a failed disk.
const reopenInterval = 400 * time.Millisecond

// reopen waits until the log can be opened again. It reports false when ctx ends
// first. Events that arrive meanwhile are dropped, as if the host were down.
func (n *Node) reopen(ctx context.Context) bool {
	n.lease.Store(nil)
	n.currentAsOf.Store(nil)
	n.status.Store(&core.Status{ID: n.id})
	for index, p := range n.pending {
		p.result <- proposeResult{err: fmt.Errorf("%w: the disk failed", ErrUncertain)}
		delete(n.pending, index)
	}
	_ = n.storage.Close() // the storage is unusable after an error
	for clock.Sleep(ctx, reopenInterval) {
		for len(n.events) > 0 {
			<-n.events
		}
		err := n.open(true)
		if err == nil {
			return true
		}
		n.config.Logger.WithError(err).Warn("control log not opened")
	}
	return false
}

// runLoop runs the event loop of the voter until ctx ends or an operation fails.
func (n *Node) runLoop(ctx context.Context) error {
	if n.storedSnapshot.Index > n.machineIndex {
		if err := n.restore(n.storedSnapshot.Data); err != nil {
			return err
		}
		n.machineIndex = n.storedSnapshot.Index
	}
	for _, m := range n.core.Members() {
		if m.ID != n.id {
			n.senderTo(ctx, m.ID)
		}
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-n.events:
			event()
			n.drainEvents()
		case <-timer.C:
		}
		n.core.Tick(n.now())
		n.requestMembership(ctx)
		if err := n.processOutput(ctx); err != nil {
			return err
		}
		timer.Reset(max(time.Millisecond, min(n.core.Deadline()-n.now(), core.HeartbeatInterval)))
	}
}

func (n *Node) drainEvents() {
	for range eventQueueSize {
		select {
		case event := <-n.events:
			event()
		default:
			return
		}
	}
}

func (n *Node) close() {
	n.closeOnce.Do(func() {
		close(n.stopped)
		n.lease.Store(nil)
		for _, p := range n.pending {
			p.result <- proposeResult{err: fmt.Errorf("%w: the host is stopping", ErrUncertain)}
		}
		for _, s := range n.senders {
			s.close()
		}
		_ = n.storage.Close()
	})
}

// enqueue queues f to run on the event loop. It reports false, and f certainly does
// not run, if the loop has ended or ctx ends first.
func (n *Node) enqueue(ctx context.Context, f func()) bool {
	select {
	case n.events <- f:
		return true
	case <-n.stopped:
		return false
	case <-ctx.Done():
		return false
	}
}

// processOutput carries out the output of the core until it is empty.
func (n *Node) processOutput(ctx context.Context) error {
	for {
		out := n.core.Output()
		// Publish before sending: a message of this output may let another voter become
		// leader, so a lease that this voter has given up must be withdrawn before.
		n.publish()
		if out.Empty() {
			return nil
		}
		n.send(ctx, out.Messages)
		if err := n.persist(out); err != nil {
			return err
		}
		n.core.Synced()
		n.send(ctx, out.AfterSync)
		if err := n.apply(out.Committed); err != nil {
			return err
		}
	}
}

func (n *Node) persist(out core.Output) error {
	if out.Install == nil && out.State == nil && len(out.Append) == 0 {
		return nil
	}
	defer n.syncTime.UpdateSince(time.Now())
	if out.Install != nil {
		return n.installSnapshot(out)
	}
	return n.storage.Append(out.State, out.Append)
}

func (n *Node) installSnapshot(out core.Output) error {
	if err := n.storage.SaveSnapshot(*out.Install); err != nil {
		return err
	}
	if err := n.storage.Rewrite(n.id, n.core.State(), out.Install.Index, out.Install.Term, out.Append); err != nil {
		return err
	}
	n.storedSnapshot, n.snapshotIndex = *out.Install, out.Install.Index
	if out.Install.Index > n.machineIndex {
		if err := n.restore(out.Install.Data); err != nil {
			return err
		}
	}
	n.applied, n.machineIndex = out.Install.Index, max(n.machineIndex, out.Install.Index)
	for index, p := range n.pending {
		if index <= n.applied {
			p.result <- proposeResult{err: fmt.Errorf("%w: the entry was replaced by a snapshot", ErrUncertain)}
			delete(n.pending, index)
		}
	}
	return nil
}

func (n *Node) restore(data []byte) error {
	var all controlpb.MachineSnapshots
	if err := proto.Unmarshal(data, &all); err != nil {
		return fmt.Errorf("control: snapshot: %w", err)
	}
	for name, state := range all.GetMachines() {
		m, ok := n.machines[name]
		if !ok {
			return fmt.Errorf("control: snapshot contains state of machine %q, which is not registered", name)
		}
		if err := m.Restore(state); err != nil {
			return fmt.Errorf("control: restore %s: %w", name, err)
		}
	}
	return nil
}

func (n *Node) apply(entries []core.Entry) error {
	for _, e := range entries {
		if e.Index != n.applied+1 {
			panic(fmt.Sprintf("control: entry %d applied after %d", e.Index, n.applied))
		}
		n.applied = e.Index
		var result []byte
		if e.Kind == core.EntryCommand && e.Index > n.machineIndex {
			name, command, err := decodeCommand(e.Data)
			if err != nil {
				return err
			}
			m, ok := n.machines[name]
			if !ok {
				return fmt.Errorf("control: entry %d is for machine %q, which is not registered", e.Index, name)
			}
			result = m.Apply(e.Index, command)
			n.commits.Inc(1)
			n.appliedBytes += len(e.Data)
		}
		n.machineIndex = max(n.machineIndex, e.Index)
		n.completeProposal(e, result)
	}
	n.core.Applied(n.applied)
	// After the log was reopened the machines can be ahead of the applied index; a
	// snapshot of them would not match it.
	if n.applied >= n.machineIndex && (n.applied >= n.snapshotIndex+snapshotEntries || n.appliedBytes > snapshotBytes) {
		return n.takeSnapshot()
	}
	return nil
}

// completeProposal passes the result to the pending proposal at the entry's index. If
// the entry has another term, the proposal was replaced and can never commit.
func (n *Node) completeProposal(e core.Entry, result []byte) {
	p := n.pending[e.Index]
	if p == nil {
		return
	}
	delete(n.pending, e.Index)
	if p.term != e.Term {
		p.result <- proposeResult{err: errNotAppended}
		return
	}
	p.result <- proposeResult{result: result}
}

func (n *Node) takeSnapshot() error {
	all := &controlpb.MachineSnapshots{Machines: map[string][]byte{}}
	for _, name := range slices.Sorted(maps.Keys(n.machines)) {
		state, err := n.machines[name].Snapshot()
		if err != nil {
			return fmt.Errorf("control: snapshot of %s: %w", name, err)
		}
		all.Machines[name] = state
	}
	data, err := proto.Marshal(all)
	if err != nil {
		return fmt.Errorf("control: snapshot: %w", err)
	}
	base, baseTerm, kept := n.core.Compact(n.applied)
	s := n.core.Snapshot()
	s.Data = data
	if err := n.storage.SaveSnapshot(s); err != nil {
		return err
	}
	if err := n.storage.Rewrite(n.id, n.core.State(), base, baseTerm, kept); err != nil {
		return err
	}
	n.storedSnapshot, n.snapshotIndex, n.appliedBytes = s, s.Index, 0
	n.snapshots.Inc(1)
	return nil
}

// publish makes the lease and the status visible to other goroutines.
func (n *Node) publish() {
	if term, until, ok := n.core.Lease(); ok && term > 0 {
		n.lease.Store(&lease{term, until, n.applied >= n.core.CommitIndex()})
	} else {
		n.lease.Store(nil)
	}
	if asOf, ok := n.core.CurrentAsOf(); ok {
		n.currentAsOf.Store(&asOf)
	}
	s := n.core.Status()
	n.status.Store(&s)
	if s.Term != n.loggedStatus.Term || s.Leader != n.loggedStatus.Leader {
		if s.Role == core.Leader {
			n.elections.Inc(1)
		}
		n.config.Logger.WithFields(logrus.Fields{"term": s.Term, "leader": memberHost(s, s.Leader)}).Info("control term")
	}
	if !slices.Equal(s.Members, n.loggedStatus.Members) {
		voters, learners := hostsByRole(s.Members)
		n.config.Logger.WithFields(logrus.Fields{"voters": voters, "learners": learners, "last": s.LastIndex, "commit": s.Commit}).Info("control members")
	}
	n.loggedStatus = s
}

// hostsByRole returns the hosts of the voters and those of the learners.
func hostsByRole(members []core.Member) (voters, learners []string) {
	for _, m := range members {
		if m.Learner {
			learners = append(learners, m.Host)
		} else {
			voters = append(voters, m.Host)
		}
	}
	return voters, learners
}

func memberHost(s core.Status, id string) string {
	for _, m := range s.Members {
		if m.ID == id {
			return m.Host
		}
	}
	return ""
}

// Lease implements Log.
func (n *Node) Lease() (uint64, bool) {
	l := n.validLease()
	if l == nil {
		return 0, false
	}
	return l.term, true
}

// LeaseRemaining implements Log.
func (n *Node) LeaseRemaining() time.Duration {
	l := n.lease.Load()
	if l == nil {
		return 0
	}
	return max(0, l.until-n.now())
}

// StateAge returns the maximum age of the machines' state: every command that was
// acknowledged longer ago is applied. It reports false before the first contact with
// a leader.
func (n *Node) StateAge() (time.Duration, bool) {
	if l := n.validLease(); l != nil && l.current {
		return 0, true
	}
	asOf := n.currentAsOf.Load()
	if asOf == nil {
		return 0, false
	}
	return max(0, n.now()-*asOf), true
}

// AwaitCurrent waits until the machines have applied every command that was
// acknowledged before the call. It reports false when ctx ends or the voter stops
// first.
func (n *Node) AwaitCurrent(ctx context.Context) bool {
	start := n.now()
	ticker := time.NewTicker(currentPollInterval)
	defer ticker.Stop()
	for {
		if l := n.validLease(); l != nil && l.current {
			return true
		}
		if asOf := n.currentAsOf.Load(); asOf != nil && *asOf >= start {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-n.stopped:
			return false
		case <-ticker.C:
		}
	}
}

// currentPollInterval is the interval between checks in AwaitCurrent.
const currentPollInterval = 10 * time.Millisecond

// Resign transfers leadership to another voter before a planned stop.
func (n *Node) Resign(ctx context.Context) {
	n.enqueue(ctx, func() { n.core.Resign(n.now()) })
}

// LeaderHost returns the host of the leader that this voter follows, or "".
func (n *Node) LeaderHost() string {
	s := n.status.Load()
	return memberHost(*s, s.Leader)
}

// MemberHosts returns the hosts of the members of the log, as far as this voter knows.
func (n *Node) MemberHosts() []string {
	var out []string
	for _, m := range n.status.Load().Members {
		out = append(out, m.Host)
	}
	return out
}

// proposeLocal appends the command if this voter is the leader, and waits for the result.
func (n *Node) proposeLocal(ctx context.Context, machine string, command []byte) ([]byte, error) {
	if _, ok := n.machines[machine]; !ok {
		return nil, fmt.Errorf("%w: %q", ErrUnknownMachine, machine)
	}
	if len(command) > maxCommandBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(command))
	}
	defer n.proposeTime.UpdateSince(time.Now())
	p := &pendingProposal{result: make(chan proposeResult, 1)}
	queued := n.enqueue(ctx, func() {
		index, term, err := n.append(machine, command)
		if err != nil {
			p.result <- proposeResult{err: err}
			return
		}
		if replaced := n.pending[index]; replaced != nil { // its entry was truncated
			replaced.result <- proposeResult{err: errNotAppended}
		}
		p.term = term
		n.pending[index] = p
	})
	if !queued {
		return nil, errNotAppended
	}
	select {
	case r := <-p.result:
		return r.result, r.err
	case <-n.stopped:
		return nil, fmt.Errorf("%w: the host is stopping", ErrUncertain)
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %v", ErrUncertain, ctx.Err())
	}
}

// append appends the command if this voter is the leader and the machine admits it. It runs
// on the event loop, so that nothing is appended between the two.
func (n *Node) append(machine string, command []byte) (index, term uint64, err error) {
	now := n.now()
	if err := n.core.CanPropose(now); err != nil {
		return 0, 0, fmt.Errorf("%w: %w", errNotAppended, err)
	}
	if err := n.admit(machine, command); err != nil {
		return 0, 0, err
	}
	index, term, err = n.core.Propose(now, encodeCommand(machine, command))
	if err != nil {
		return 0, 0, fmt.Errorf("%w: %w", errNotAppended, err)
	}
	return index, term, nil
}

// admit returns ErrRefused if the machine is a Guard that refuses the command behind the
// entries of this host's log.
func (n *Node) admit(machine string, command []byte) error {
	guard, ok := n.machines[machine].(Guard)
	if !ok {
		return nil
	}
	var pending [][]byte
	for _, e := range n.core.EntriesAfter(n.machineIndex) {
		if e.Kind != core.EntryCommand {
			continue
		}
		name, data, err := decodeCommand(e.Data)
		if err != nil {
			return fmt.Errorf("%w: %w", errNotAppended, err)
		}
		if name == machine {
			pending = append(pending, data)
		}
	}
	if err := guard.Admit(pending, command); err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return nil
}

// errNotAppended means that the command was certainly not appended, or was truncated
// from the log, and can be proposed again. It does not leave the package.
var errNotAppended = errors.New("not appended")
