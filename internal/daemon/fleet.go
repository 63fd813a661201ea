package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/fleet"
	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
	"geraniumturn.example/geraniumturn/internal/keys"
	"geraniumturn.example/geraniumturn/internal/membership"
	"geraniumturn.example/geraniumturn/internal/timeline"
)

const (
	pullInterval = time.Second
	// pullTimeout is long enough to transfer a full state of 1 MB over a slow link.
	pullTimeout  = 5 * time.Second
	pushTimeout  = 2 * time.Second
	queryTimeout = time.Second
	// queryConcurrency is the number of hosts to which one host sends RPCs at once.
	queryConcurrency = 64
	// commitInterval is the polling interval that finds commits whose notification was
	// lost because the leader lease changed.
	commitInterval = 250 * time.Millisecond
	// voterTimeout is how long a host without a stored state waits for a voter. After
	// it, the host serves from the highest state that it can reach, such as the one of
	// an isolated data centre.
	voterTimeout      = 3 * time.Second
	startPollInterval = 50 * time.Millisecond

	proposeInterval = time.Second
	proposeTimeout  = 5 * time.Second
	// proposeDelay and the random proposeJitter delay proposals of withdrawals that
	// were received from another host, because that host proposes them at once.
	proposeDelay  = 5 * time.Second
	proposeJitter = 10 * time.Second
	// exchangeInterval is the minimum time between exchanges of pending withdrawals
	// with hosts that report a different digest.
	exchangeInterval = 200 * time.Millisecond
	registerInterval = 5 * time.Second
)

// fleetDriver stores the published state and the key withdrawals of this host on disk
// and synchronises them with the other hosts. It implements fleet.Propagator.
type fleetDriver struct {
	d           *Daemon
	publisher   fleet.Publisher
	withdrawals *keys.Withdrawals
	// started is set when this host has determined the state to serve from.
	started atomic.Bool
	// hasStoredState is set if a valid state was found on disk.
	hasStoredState bool
	pullWake       chan struct{}
	proposeWake    chan struct{}

	mu           sync.Mutex
	lastExchange time.Time
	dueProposals map[string]time.Time
	// installedKeys and installedWithdrawals count the entries of the state's lists that
	// are already in the key table; both lists are append-only.
	installedKeys, installedWithdrawals int
}

func (d *Daemon) buildFleet() error {
	f := &fleetDriver{
		d: d, withdrawals: keys.NewWithdrawals(d.keys), publisher: fleet.Publisher{Self: d.settings.Name, Replica: d.replica},
		pullWake: make(chan struct{}, 1), proposeWake: make(chan struct{}, 1), dueProposals: map[string]time.Time{},
	}
	d.fleet = f
	d.replica.OnChange(f.onInstall)
	if err := f.openDisk(); err != nil {
		return err
	}
	return d.transport.Register(fleetService{f}, fleetpb.DRPCFleetDescription{})
}

// openDisk loads the stored state and withdrawals. Damaged files are renamed and
// logged. A host whose stored state is damaged starts like one without a disk.
func (f *fleetDriver) openDisk() error {
	if f.d.settings.DataDir == "" {
		return nil
	}
	dir := filepath.Join(f.d.settings.DataDir, "fleet")
	store, err := fleet.OpenStore(dir)
	if err != nil {
		return err
	}
	journal, withdrawn, err := keys.OpenJournal(filepath.Join(dir, "withdrawals"))
	if errors.Is(err, keys.ErrDamaged) {
		f.d.log.WithError(err).Error("withdrawals file is damaged; renamed it and loaded its valid records")
	} else if err != nil {
		return err
	}
	f.withdrawals.Load(withdrawn, journal)
	state, err := store.Load()
	switch {
	case errors.Is(err, fleet.ErrDamaged):
		f.d.log.WithError(err).Error("stored state is damaged; renaming the file and starting without it")
		if err := store.Quarantine(); err != nil {
			return err
		}
	case err != nil:
		return err
	case state != nil:
		if _, err := f.d.replica.Install(state); err != nil {
			return err
		}
		f.hasStoredState = true
	}
	f.d.replica.PersistTo(store)
	return nil
}

// onInstall adds the new keys and withdrawals of an installed state to the key table.
func (f *fleetDriver) onInstall(v *fleet.View) {
	f.mu.Lock()
	newKeys, newWithdrawn := v.State.Keys[f.installedKeys:], v.State.Withdrawn[f.installedWithdrawals:]
	f.installedKeys, f.installedWithdrawals = len(v.State.Keys), len(v.State.Withdrawn)
	f.mu.Unlock()
	for _, id := range newWithdrawn {
		f.d.keys.Withdraw(id)
	}
	f.withdrawals.MarkPublished(newWithdrawn...)
	for _, k := range newKeys {
		f.d.keys.Grant(keys.Key{ID: k.Id, Workspace: k.Workspace, SecretHash: k.SecretHash})
	}
	f.d.events.Record(timeline.Event{Kind: "state_installed", Revision: v.Revision})
	f.d.log.WithField("revision", v.Revision).WithField("index", v.Index).Info("published state installed")
}

func (f *fleetDriver) client(address string) fleetpb.DRPCFleetClient {
	return fleetpb.NewDRPCFleetClient(f.d.transport.Dial(address))
}

func (f *fleetDriver) liveHosts() []fleet.TreeNode {
	var out []fleet.TreeNode
	for _, h := range f.d.members.Live("") {
		out = append(out, fleet.TreeNode{Name: h.Name, DataCentre: h.DataCentre})
	}
	return out
}

// wake sends to a channel of capacity one without blocking; a signal that is already
// pending suffices.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// startLoop determines the state to serve from and marks the host as started. A host
// without a stored state pulls the state with the highest index among the hosts that it
// reaches. It waits up to voterTimeout for a voter, and then starts with the state that
// it has, so that the hosts of an isolated data centre can start.
func (f *fleetDriver) startLoop(ctx context.Context) error {
	deadline := time.Now().Add(voterTimeout)
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	for !f.tryStart(ctx, time.Now().After(deadline)) {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	f.started.Store(true)
	f.d.log.WithField("index", f.d.replica.View().Index).Info("started")
	if !f.d.entry.Draining() {
		f.d.sendMembershipMessages(f.d.members.SetDraining(false))
	}
	<-ctx.Done()
	return nil
}

// tryStart pulls the state with the highest index that another host has, and reports
// whether this host may serve from it. timedOut is set when voterTimeout has passed.
func (f *fleetDriver) tryStart(ctx context.Context, timedOut bool) bool {
	voters := f.d.settings.Control.Voters
	if f.hasStoredState || (len(voters) == 1 && voters[0] == f.d.settings.Name) {
		return true
	}
	indexes := f.queryIndexes(ctx, f.otherHosts())
	from, start := fleet.DecideStart(f.d.replica.View().Index, indexes, voters, timedOut)
	if from != "" {
		if h, ok := f.d.members.Lookup(from); ok && f.pullFrom(ctx, h) != nil && !timedOut {
			return false
		}
	}
	if start {
		f.exchangeWithOne(ctx, indexes)
	}
	return start
}

// exchangeWithOne exchanges pending withdrawals with one of the hosts in indexes,
// preferably one of this data centre.
func (f *fleetDriver) exchangeWithOne(ctx context.Context, indexes map[string]uint64) {
	for name := range indexes {
		if h, ok := f.d.members.Lookup(name); ok && h.DataCentre == f.d.settings.DataCentre {
			f.exchange(ctx, h)
			return
		}
	}
	for name := range indexes {
		if h, ok := f.d.members.Lookup(name); ok {
			f.exchange(ctx, h)
			return
		}
	}
}

func (f *fleetDriver) otherHosts() []membership.Host {
	return slices.DeleteFunc(slices.Clone(f.d.members.All()), func(h membership.Host) bool { return h.Name == f.d.settings.Name })
}

// queryIndexes returns, by host name, the index in force on each host that responds.
func (f *fleetDriver) queryIndexes(ctx context.Context, hosts []membership.Host) map[string]uint64 {
	var mu sync.Mutex
	out := map[string]uint64{}
	f.forEachHost(ctx, hosts, queryTimeout, func(ctx context.Context, h membership.Host) {
		position, err := f.client(h.Peer).Where(ctx, &fleetpb.Position{Index: f.d.replica.View().Index})
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		out[h.Name] = position.GetIndex()
	})
	return out
}

func (f *fleetDriver) forEachHost(ctx context.Context, hosts []membership.Host, timeout time.Duration, do func(context.Context, membership.Host)) {
	var g errgroup.Group
	g.SetLimit(queryConcurrency)
	for _, h := range hosts {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			do(ctx, h)
			return nil
		})
	}
	_ = g.Wait() // never an error: do handles its own
}

// commitLoop publishes the state that the replicated state machine of this voter has
// applied.
func (f *fleetDriver) commitLoop(ctx context.Context) error {
	if f.d.fleetMachine == nil {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(commitInterval)
	defer ticker.Stop()
	for {
		_, leader := f.d.controlLog.Lease()
		pushes, err := f.publisher.PublishCommitted(f.d.fleetMachine, leader, f.liveHosts())
		if err != nil {
			f.d.log.WithError(err).Error("published state refused")
		}
		f.sendPushes(pushes)
		select {
		case <-ctx.Done():
			return nil
		case <-f.d.fleetMachine.Changed():
		case <-ticker.C:
		}
	}
}

func (f *fleetDriver) sendPushes(out []fleet.OutgoingPush) {
	for _, o := range out {
		go f.sendPush(o)
	}
}

func (f *fleetDriver) sendPush(o fleet.OutgoingPush) {
	h, ok := f.d.members.Lookup(o.To)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	if _, err := f.client(h.Peer).Push(ctx, o.Push); err != nil {
		f.d.count("fleet.push_failed")
		f.sendPushes(f.publisher.HandlePushFailure(o, f.liveHosts()))
	}
}

// handleBeacon schedules a pull if another host has a higher index, and an exchange of
// withdrawals if their digests differ.
func (f *fleetDriver) handleBeacon(name string, b membership.Beacon) {
	if b.Index > f.d.replica.View().Index {
		wake(f.pullWake)
	}
	if b.Withdrawals == f.withdrawals.Digest() {
		return
	}
	f.mu.Lock()
	due := time.Since(f.lastExchange) >= exchangeInterval
	if due {
		f.lastExchange = time.Now()
	}
	f.mu.Unlock()
	if h, ok := f.d.members.Lookup(name); due && ok {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
			defer cancel()
			f.exchange(ctx, h)
		}()
	}
}

// exchange synchronises pending withdrawals with another host in both directions.
func (f *fleetDriver) exchange(ctx context.Context, h membership.Host) {
	received, err := f.client(h.Peer).Withdraw(ctx, withdrawalsMessage(f.withdrawals.Pending()))
	if err == nil {
		_ = f.addWithdrawals(received)
	}
}

func withdrawalsMessage(items []keys.Withdrawal) *fleetpb.Withdrawals {
	out := &fleetpb.Withdrawals{}
	for _, w := range items {
		out.Items = append(out.Items, &fleetpb.Withdrawal{KeyId: w.KeyID, Operator: w.Operator})
	}
	return out
}

// addWithdrawals puts withdrawals from another host in force.
func (f *fleetDriver) addWithdrawals(in *fleetpb.Withdrawals) error {
	var items []keys.Withdrawal
	for _, w := range in.GetItems() {
		items = append(items, keys.Withdrawal{KeyID: w.GetKeyId(), Operator: w.GetOperator()})
	}
	added, err := f.withdrawals.Add(items...)
	if err != nil {
		f.d.log.WithError(err).Error("withdrawal is in force but not durable on this host")
	}
	if added > 0 {
		f.d.events.Record(timeline.Event{Kind: "withdrawals_added", Detail: fmt.Sprint(added)})
	}
	return err
}

// pullLoop fetches newer states from hosts that are ahead.
func (f *fleetDriver) pullLoop(ctx context.Context) error {
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.pullWake:
		case <-ticker.C:
		}
		if f.started.Load() {
			f.pullNewest(ctx)
		}
	}
}

func (f *fleetDriver) pullNewest(ctx context.Context) {
	failed := map[string]bool{}
	for ctx.Err() == nil {
		h, ok := f.d.members.HostWithNewerState(f.d.replica.View().Index, f.d.settings.DataCentre, failed)
		if !ok {
			return
		}
		failed[h.Name] = f.pullFrom(ctx, h) != nil
	}
}

// pullFrom fetches and installs the changes that the host has and this one lacks.
func (f *fleetDriver) pullFrom(ctx context.Context, h membership.Host) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	index := f.d.replica.View().Index
	out, err := f.client(h.Peer).Pull(ctx, &fleetpb.PullRequest{Index: index})
	if err != nil {
		return err
	}
	installed, err := f.d.replica.Merge(out)
	if errors.Is(err, fleet.ErrGap) || errors.Is(err, fleet.ErrBadChange) {
		// The changes do not follow on the local state: index 0 requests the full state.
		if out, err = f.client(h.Peer).Pull(ctx, &fleetpb.PullRequest{}); err == nil {
			installed, err = f.d.replica.Merge(out)
		}
	}
	if err != nil {
		f.d.log.WithError(err).WithField("from", h.Name).Error("published state refused")
		return err
	}
	if !installed && f.d.replica.View().Index == index {
		return fmt.Errorf("daemon: host %s has no state newer than index %d", h.Name, index)
	}
	return nil
}

// proposeLoop proposes pending withdrawals to the control log until they are committed.
func (f *fleetDriver) proposeLoop(ctx context.Context) error {
	ticker := time.NewTicker(proposeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.proposeWake:
		case <-ticker.C:
		}
		for _, w := range f.withdrawals.Pending() {
			if f.proposalDue(w.KeyID) {
				f.proposeWithdrawal(ctx, w)
			}
		}
	}
}

func (f *fleetDriver) proposalDue(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	due, known := f.dueProposals[id]
	if !known {
		due = time.Now().Add(proposeDelay + rand.N(proposeJitter))
		f.dueProposals[id] = due
	}
	return !time.Now().Before(due)
}

func (f *fleetDriver) proposeWithdrawal(ctx context.Context, w keys.Withdrawal) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := fleet.Propose(ctx, f.d.controlLog, &fleetpb.Command{Kind: &fleetpb.Command_WithdrawKey{
		WithdrawKey: &fleetpb.WithdrawKey{KeyId: w.KeyID, Operator: w.Operator},
	}})
	if err != nil {
		f.d.count("keys.propose_failed")
		return
	}
	// If the withdrawal is still pending after proposeDelay, it is proposed again.
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dueProposals[w.KeyID] = time.Now().Add(proposeDelay)
}

// registerLoop keeps this host registered in the replicated list of hosts.
func (f *fleetDriver) registerLoop(ctx context.Context) error {
	s := f.d.settings.Self()
	self := &fleetpb.Host{Name: s.Name, DataCentre: s.DataCentre, Region: s.Region, Http: s.HTTP, Peer: s.Peer}
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	for !f.started.Load() {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	ticker.Reset(registerInterval)
	for {
		view := f.d.replica.View()
		listed := slices.ContainsFunc(view.State.Hosts, func(h *fleetpb.Host) bool { return proto.Equal(h, self) })
		if !listed {
			callCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
			_, _ = fleet.Propose(callCtx, f.d.controlLog, &fleetpb.Command{After: &view.Index, Kind: &fleetpb.Command_PutHost{PutHost: self}})
			cancel()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Withdraw puts the withdrawal in force on this host and sends it to all other hosts at
// once. proposeLoop proposes it in the background.
func (f *fleetDriver) Withdraw(ctx context.Context, w keys.Withdrawal) (fleet.WithdrawResponse, error) {
	_, err := f.withdrawals.Add(w)
	if errors.Is(err, keys.ErrInvalidID) {
		return fleet.WithdrawResponse{}, err
	}
	f.mu.Lock()
	f.dueProposals[w.KeyID] = time.Time{}
	f.mu.Unlock()
	wake(f.proposeWake)
	f.d.events.Record(timeline.Event{Kind: "key_withdrawn", Detail: w.KeyID})
	response := fleet.WithdrawResponse{Accepted: true, KeyID: w.KeyID, Durable: f.withdrawals.Durable()}
	self := fleet.HostReach{Name: f.d.settings.Name, DataCentre: f.d.settings.DataCentre, Reached: err == nil}
	if err != nil {
		self.State = "not stored: " + err.Error()
	}
	response.Hosts = append(response.Hosts, self)
	message := withdrawalsMessage([]keys.Withdrawal{w})
	var mu sync.Mutex
	f.forEachHost(ctx, slices.DeleteFunc(f.otherHosts(), f.removed), pushTimeout, func(ctx context.Context, h membership.Host) {
		_, err := f.client(h.Peer).Withdraw(ctx, message)
		mu.Lock()
		defer mu.Unlock()
		response.Hosts = append(response.Hosts, hostReach(h, err == nil))
	})
	fleet.SortReach(response.Hosts)
	return response, nil
}

// removed reports whether the host is dead and was removed by an operator. Withdrawals
// are not sent to such a host, and Reach does not report it.
func (f *fleetDriver) removed(h membership.Host) bool {
	return h.Dead && slices.Contains(f.d.replica.View().State.RemovedHosts, h.Name)
}

func hostReach(h membership.Host, reached bool) fleet.HostReach {
	out := fleet.HostReach{Name: h.Name, DataCentre: h.DataCentre, Reached: reached}
	switch {
	case reached:
	case h.Dead:
		out.State = "dead"
	default:
		out.State = "no answer"
	}
	return out
}

// Reach queries the index of every known host and reports whether the given index is in
// force there.
func (f *fleetDriver) Reach(ctx context.Context, index uint64) []fleet.HostReach {
	indexes := f.queryIndexes(ctx, f.otherHosts())
	indexes[f.d.settings.Name] = f.d.replica.View().Index
	var out []fleet.HostReach
	for _, h := range f.d.members.All() {
		if f.removed(h) {
			continue
		}
		hostIndex, responded := indexes[h.Name]
		r := hostReach(h, responded && hostIndex >= index)
		if r.Index = hostIndex; responded && hostIndex < index {
			r.State = "behind"
		}
		out = append(out, r)
	}
	fleet.SortReach(out)
	return out
}

// fleetService implements the fleet RPC service for other hosts.
type fleetService struct{ f *fleetDriver }

// Pull implements the drpc service.
func (s fleetService) Pull(_ context.Context, in *fleetpb.PullRequest) (*fleetpb.PullResponse, error) {
	return s.f.d.replica.Since(in.GetIndex()), nil
}

// Push implements the drpc service. A host that has not started ignores pushes,
// because it determines the highest state first.
func (s fleetService) Push(_ context.Context, in *fleetpb.PushRequest) (*fleetpb.Position, error) {
	f := s.f
	if f.started.Load() {
		forward, pull, err := f.publisher.HandlePush(in, f.liveHosts())
		if err != nil {
			f.d.log.WithError(err).Error("published state refused")
		}
		f.sendPushes(forward)
		if pull {
			wake(f.pullWake)
		}
	}
	return &fleetpb.Position{Index: f.d.replica.View().Index}, nil
}

// Withdraw implements the drpc service.
func (s fleetService) Withdraw(_ context.Context, in *fleetpb.Withdrawals) (*fleetpb.Withdrawals, error) {
	if err := s.f.addWithdrawals(in); err != nil {
		return nil, err
	}
	return withdrawalsMessage(s.f.withdrawals.Pending()), nil
}

// Where implements the drpc service. It ignores the caller's index: if that shows that
// this host is behind, the next membership probe triggers a pull.
func (s fleetService) Where(context.Context, *fleetpb.Position) (*fleetpb.Position, error) {
	return &fleetpb.Position{Index: s.f.d.replica.View().Index}, nil
}
