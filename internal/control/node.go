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
	// snapshotBytes is the size of the applied commands after which a snapshot is
	// taken earlier; the log on the disk stays below about twice that.
	snapshotBytes = 8 << 20
	// maxCommandBytes bounds one command, so that each append fits in a message.
	maxCommandBytes = 4 << 20
	// eventQueueSize is how many events may wait for the loop. Events that arrive
	// during a sync are handled together, which gives group commit.
	eventQueueSize = 1024
	joinInterval   = time.Second
)

// Voter names a host that is to vote, and its peer address.
type Voter struct {
	Host    string
	Address string
}

// Config of a host's part in the replicated log.
type Config struct {
	// Host is the name of this host.
	Host string
	// Dir is the folder of the log; unused on a host that is no voter.
	Dir string
	// Voters are all voters of the settings.
	Voters []Voter
	// DiscoverVoters returns the control hosts that are known now, where the settings do
	// not list the voters. The name of a host is then its peer address.
	DiscoverVoters func() []Voter
	// InitialVoters are the peer addresses of the first voters. A founder whose folder
	// is empty starts a new log with all of them; set only at the first start of
	// the whole system.
	InitialVoters []string
	// VoterCount is the number of voters; zero makes every member a voter.
	VoterCount int
	// ReopenAfterDiskFailure makes a voter whose disk fails go on as soon as the disk works again,
	// instead of ending Run with the error. Meanwhile it takes no part in the log.
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

	// pending are the proposals of this host that are appended and not applied.
	pending       map[uint64]*pendingProposal
	applied       uint64
	snapshotIndex uint64
	appliedBytes  int // of commands since the last snapshot
	// machineIndex is the last index that the machines have seen. After the log was
	// opened again they are not given earlier entries a second time.
	machineIndex   uint64
	storedSnapshot core.Snapshot // the stored snapshot, with data
	nextJoinAt     time.Duration

	status atomic.Pointer[core.Status]
	lease  atomic.Pointer[lease]
	// currentAsOf is the time up to which the machines have all committed commands.
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
}

// pendingProposal is a proposal between its append and its result.
type pendingProposal struct {
	term   uint64
	result chan proposeResult // one element
}

type proposeResult struct {
	result []byte
	err    error
}

// NewNode opens the voter's folder. Register the machines before Run.
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

// open reads the folder and makes the voter from it. After a failure of the disk it
// writes the log anew first, because what was written before may not be durable.
func (n *Node) open(rewrite bool) error {
	founder := slices.Contains(n.config.InitialVoters, n.config.Host)
	founderID := ""
	if founder {
		founderID = initialMember(n.config.Host).ID
	}
	disk, loaded, err := storage.OpenWithID(n.config.Dir, founderID)
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
	n.storage, n.id = disk, loaded.ID
	n.applied, n.snapshotIndex, n.storedSnapshot, n.appliedBytes = loaded.Snapshot.Index, loaded.Snapshot.Index, loaded.Snapshot, 0
	n.core = core.New(core.Config{
		ID: loaded.ID, Host: n.config.Host, State: loaded.State, Snapshot: loaded.Snapshot,
		Base: loaded.Base, BaseTerm: loaded.BaseTerm, Entries: loaded.Entries,
		Rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Process: rand.Uint64(), VoterCount: n.config.VoterCount,
	}, n.now())
	if founder && loaded.ID == founderID && n.core.Status().LastIndex == 0 {
		n.core.Initialise(initialMembers(n.config.InitialVoters))
	}
	return nil
}

// Register adds a machine under a name that is the same on all voters.
func (n *Node) Register(name string, m Machine) { n.machines[name] = m }

// now is the time since the start of the machine, which goes on while the
// machine is suspended: a lease must end in real time.
func (n *Node) now() time.Duration { return clock.SinceBoot() }

// initialMember names a founder by its address, so that all founders start with
// the same membership without a message. A host that lost its disk never founds
// again: it gets a random id.
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

// Run drives the voter until ctx ends or its disk fails for good.
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

// reopenInterval spaces the tries to open the log on a disk that has failed.
const reopenInterval = 400 * time.Millisecond

// reopen waits until the disk works again, and reports false when ctx ends first.
// What arrives meanwhile is dropped, as by a host that is down.
func (n *Node) reopen(ctx context.Context) bool {
	n.lease.Store(nil)
	n.currentAsOf.Store(nil)
	n.status.Store(&core.Status{ID: n.id})
	for index, w := range n.pending {
		w.result <- proposeResult{err: fmt.Errorf("%w: the disk failed", ErrUncertain)}
		delete(n.pending, index)
	}
	_ = n.storage.Close() // it has failed already
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

// runLoop runs the voter on an open disk.
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
		for _, w := range n.pending {
			w.result <- proposeResult{err: fmt.Errorf("%w: the host stops", ErrUncertain)}
		}
		for _, s := range n.senders {
			s.close()
		}
		_ = n.storage.Close()
	})
}

// enqueue runs f on the loop. It reports false, and f certainly does not run, when
// the loop has ended or ctx ends first.
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

// processOutput carries out what the core asks for until there is nothing left.
func (n *Node) processOutput(ctx context.Context) error {
	for {
		out := n.core.Output()
		// The lease is published before any message that could end it elsewhere.
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
	for index, w := range n.pending {
		if index <= n.applied {
			w.result <- proposeResult{err: fmt.Errorf("%w: replaced by a snapshot", ErrUncertain)}
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
			return fmt.Errorf("control: snapshot has state of machine %q, which this program does not know", name)
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
				return fmt.Errorf("control: entry %d is for machine %q, which this program does not know", e.Index, name)
			}
			result = m.Apply(e.Index, command)
			n.commits.Inc(1)
			n.appliedBytes += len(e.Data)
		}
		n.machineIndex = max(n.machineIndex, e.Index)
		n.completeProposal(e, result)
	}
	// While entries are read again, the machines are ahead of the applied index.
	if n.applied >= n.machineIndex && (n.applied >= n.snapshotIndex+snapshotEntries || n.appliedBytes > snapshotBytes) {
		return n.takeSnapshot()
	}
	return nil
}

// completeProposal completes the proposal at the index. When the entry there is of another
// term, the proposal was replaced and can never commit.
func (n *Node) completeProposal(e core.Entry, result []byte) {
	w := n.pending[e.Index]
	if w == nil {
		return
	}
	delete(n.pending, e.Index)
	if w.term != e.Term {
		w.result <- proposeResult{err: errNotAppended}
		return
	}
	w.result <- proposeResult{result: result}
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
		n.lease.Store(&lease{term, until})
	} else {
		n.lease.Store(nil)
	}
	if asOf, ok := n.core.CurrentAsOf(); ok && n.applied >= n.core.CommitIndex() {
		n.currentAsOf.Store(&asOf)
	}
	s := n.core.Status()
	n.status.Store(&s)
	if s.Term != n.loggedStatus.Term || s.Leader != n.loggedStatus.Leader {
		if s.Role == core.Leader {
			n.elections.Inc(1)
		}
		n.config.Logger.WithFields(logrus.Fields{"term": s.Term, "leader": memberHost(s, s.Leader)}).Info("control term")
		n.loggedStatus = s
	}
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
	l := n.lease.Load()
	if l == nil || n.now() >= l.until {
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

// StateAge is how old the state of the machines may be: every command that was
// acknowledged before is applied. It reports false before the first contact with
// a leader.
func (n *Node) StateAge() (time.Duration, bool) {
	if _, ok := n.Lease(); ok {
		return 0, true
	}
	asOf := n.currentAsOf.Load()
	if asOf == nil {
		return 0, false
	}
	return max(0, n.now()-*asOf), true
}

// AwaitCurrent returns when the machines have every command that was acknowledged
// before the call, or reports false when ctx ends first.
func (n *Node) AwaitCurrent(ctx context.Context) bool {
	start := n.now()
	ticker := time.NewTicker(currentPollInterval)
	defer ticker.Stop()
	for {
		if _, ok := n.Lease(); ok {
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

// currentPollInterval spaces the checks of a read that waits for the leader.
const currentPollInterval = 10 * time.Millisecond

// Resign hands the lead to another voter before a planned stop.
func (n *Node) Resign(ctx context.Context) {
	n.enqueue(ctx, func() { n.core.Resign(n.now()) })
}

// IsLeader reports whether this host leads with a valid lease.
func (n *Node) IsLeader() bool {
	_, ok := n.Lease()
	return ok
}

// LeaderHost is the host that this voter believes to lead, or "".
func (n *Node) LeaderHost() string {
	s := n.status.Load()
	return memberHost(*s, s.Leader)
}

// proposeLocal appends the command here, if this voter leads, and waits for the result.
func (n *Node) proposeLocal(ctx context.Context, machine string, command []byte) ([]byte, error) {
	if _, ok := n.machines[machine]; !ok {
		return nil, fmt.Errorf("%w: %q", ErrUnknownMachine, machine)
	}
	if len(command) > maxCommandBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(command))
	}
	defer n.proposeTime.UpdateSince(time.Now())
	w := &pendingProposal{result: make(chan proposeResult, 1)}
	queued := n.enqueue(ctx, func() {
		index, term, err := n.core.Propose(n.now(), encodeCommand(machine, command))
		if err != nil {
			w.result <- proposeResult{err: fmt.Errorf("%w: %w", errNotAppended, err)}
			return
		}
		if old := n.pending[index]; old != nil { // of an entry that was replaced
			old.result <- proposeResult{err: errNotAppended}
		}
		w.term = term
		n.pending[index] = w
	})
	if !queued {
		return nil, errNotAppended
	}
	select {
	case o := <-w.result:
		return o.result, o.err
	case <-n.stopped:
		return nil, fmt.Errorf("%w: the host stops", ErrUncertain)
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %v", ErrUncertain, ctx.Err())
	}
}

// errNotAppended means inside this package that the command is certainly not in the
// log and can be proposed again.
var errNotAppended = errors.New("not appended")
