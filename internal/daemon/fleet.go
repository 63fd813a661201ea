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
	// pullTimeout lets a whole state of 1 MB through a slow link.
	pullTimeout  = 5 * time.Second
	pushTimeout  = 2 * time.Second
	queryTimeout = time.Second
	// queryConcurrency bounds the hosts that one host asks at once.
	queryConcurrency = 64
	// commitInterval finds commits whose signal was lost to a lease change.
	commitInterval = 250 * time.Millisecond
	// voterTimeout is how long a host without a stored state waits for a voter
	// before it serves with what its data centre holds.
	voterTimeout      = 3 * time.Second
	startPollInterval = 50 * time.Millisecond

	proposeInterval = time.Second
	proposeTimeout  = 5 * time.Second
	// proposeDelay and proposeSpread delay proposals of withdrawals that came
	// from another host, which proposes them itself at once.
	proposeDelay  = 5 * time.Second
	proposeJitter = 10 * time.Second
	// exchangeInterval bounds how often pending withdrawals are compared with
	// other hosts that report another digest.
	exchangeInterval = 200 * time.Millisecond
	registerInterval = 5 * time.Second
)

// fleetDriver connects the published state and the withdrawals of this host to
// its disk and to the other hosts.
type fleetDriver struct {
	d           *Daemon
	publisher   fleet.Publisher
	withdrawals *keys.Withdrawals
	// started is set when this host knows which state to serve from.
	started atomic.Bool
	// hasStoredState tells that a state was found on the disk.
	hasStoredState bool
	pullWake       chan struct{}
	proposeWake    chan struct{}

	mu           sync.Mutex
	lastExchange time.Time
	dueProposals map[string]time.Time
	// known counts the keys and withdrawals of the state that are in the key
	// table; both lists only grow.
	installedKeys, installedWithdrawals int
}

func (d *Daemon) buildFleet() error {
	f := &fleetDriver{
		d: d, withdrawals: keys.NewWithdrawals(d.keys), publisher: fleet.Publisher{Self: d.settings.Name, Copy: d.copy},
		pullWake: make(chan struct{}, 1), proposeWake: make(chan struct{}, 1), dueProposals: map[string]time.Time{},
	}
	d.fleet = f
	d.copy.OnChange(f.onInstall)
	if err := f.openDisk(); err != nil {
		return err
	}
	return d.transport.Register(fleetService{f}, fleetpb.DRPCFleetDescription{})
}

// openDisk loads what this host has stored. Damaged files are set aside and
// reported; the host then starts like one without a disk.
func (f *fleetDriver) openDisk() error {
	if f.d.settings.DataDir == "" {
		return nil
	}
	dir := filepath.Join(f.d.settings.DataDir, "fleet")
	store, err := fleet.OpenStore(dir)
	if err != nil {
		return err
	}
	journal, withdrawn, err := keys.OpenFile(filepath.Join(dir, "withdrawals"))
	if errors.Is(err, keys.ErrDamaged) {
		f.d.log.WithError(err).Error("withdrawals file is damaged: set aside, its valid records are in force")
	} else if err != nil {
		return err
	}
	f.withdrawals.Load(withdrawn, journal)
	state, err := store.Load()
	switch {
	case errors.Is(err, fleet.ErrDamaged):
		f.d.log.WithError(err).Error("stored state is damaged: set aside and not used")
		if err := store.SetAside(); err != nil {
			return err
		}
	case err != nil:
		return err
	case state != nil:
		if _, err := f.d.copy.Install(state); err != nil {
			return err
		}
		f.hasStoredState = true
	}
	f.d.copy.Keep(store)
	return nil
}

// onInstall brings the key table up to a new state.
func (f *fleetDriver) onInstall(v *fleet.View) {
	f.mu.Lock()
	newKeys, newWithdrawn := v.State.Keys[f.installedKeys:], v.State.Withdrawn[f.installedWithdrawals:]
	f.installedKeys, f.installedWithdrawals = len(v.State.Keys), len(v.State.Withdrawn)
	f.mu.Unlock()
	for _, id := range newWithdrawn {
		f.d.keys.Withdraw(id)
	}
	f.withdrawals.Published(newWithdrawn...)
	for _, k := range newKeys {
		f.d.keys.Grant(keys.Key{ID: k.Id, Workspace: k.Workspace, SecretHash: k.SecretHash})
	}
	f.d.events.Record(timeline.Event{Kind: "state_installed", Revision: v.Revision})
	f.d.log.WithField("revision", v.Revision).WithField("index", v.Index).Info("published state installed")
}

func (f *fleetDriver) client(address string) fleetpb.DRPCFleetClient {
	return fleetpb.NewDRPCFleetClient(f.d.transport.Dial(address))
}

func (f *fleetDriver) liveHosts() []fleet.Place {
	var out []fleet.Place
	for _, h := range f.d.members.Live("") {
		out = append(out, fleet.Place{Name: h.Name, DataCentre: h.DataCentre})
	}
	return out
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// startLoop applies the start rule of a host without a stored state: it takes
// the highest state of all hosts it reaches, and waits for a voter up to a
// limit, after which its own data centre's state must do.
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
	f.d.log.WithField("index", f.d.copy.View().Index).Info("started")
	if !f.d.entry.Draining() {
		f.d.sendMembershipMessages(f.d.members.SetDraining(false))
	}
	<-ctx.Done()
	return nil
}

func (f *fleetDriver) tryStart(ctx context.Context, late bool) bool {
	voters := f.d.settings.Control.Voters
	if f.hasStoredState || (len(voters) == 1 && voters[0] == f.d.settings.Name) {
		return true
	}
	positions := f.queryIndexes(ctx, f.otherHosts())
	best, voter := fleet.StartChoice(f.d.copy.View().Index, positions, voters, late)
	if best != "" {
		if h, ok := f.d.members.Lookup(best); ok && f.pullFrom(ctx, h) != nil && !late {
			return false
		}
	}
	if voter {
		f.exchangeWithOne(ctx, positions)
	}
	return voter
}

// exchangeWithOne fetches the withdrawals that are not published yet.
func (f *fleetDriver) exchangeWithOne(ctx context.Context, positions map[string]uint64) {
	for name := range positions {
		if h, ok := f.d.members.Lookup(name); ok && h.DataCentre == f.d.settings.DataCentre {
			f.exchange(ctx, h)
			return
		}
	}
	for name := range positions {
		if h, ok := f.d.members.Lookup(name); ok {
			f.exchange(ctx, h)
			return
		}
	}
}

func (f *fleetDriver) otherHosts() []membership.Host {
	return slices.DeleteFunc(slices.Clone(f.d.members.All()), func(h membership.Host) bool { return h.Name == f.d.settings.Name })
}

// queryIndexes returns the index in force on each host that answers.
func (f *fleetDriver) queryIndexes(ctx context.Context, hosts []membership.Host) map[string]uint64 {
	var mu sync.Mutex
	out := map[string]uint64{}
	f.forEachHost(ctx, hosts, queryTimeout, func(ctx context.Context, h membership.Host) {
		position, err := f.client(h.Peer).Where(ctx, &fleetpb.Position{Index: f.d.copy.View().Index})
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
	_ = g.Wait() // do reports by itself
}

// commitLoop publishes what the machine of this voter applies.
func (f *fleetDriver) commitLoop(ctx context.Context) error {
	if f.d.machine == nil {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(commitInterval)
	defer ticker.Stop()
	for {
		_, leader := f.d.controlLog.Lease()
		pushes, err := f.publisher.Committed(f.d.machine, leader, f.liveHosts())
		if err != nil {
			f.d.log.WithError(err).Error("published state refused")
		}
		f.sendPushes(pushes)
		select {
		case <-ctx.Done():
			return nil
		case <-f.d.machine.Changed():
		case <-ticker.C:
		}
	}
}

func (f *fleetDriver) sendPushes(out []fleet.Outgoing) {
	for _, o := range out {
		go f.sendPush(o)
	}
}

func (f *fleetDriver) sendPush(o fleet.Outgoing) {
	h, ok := f.d.members.Lookup(o.To)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	if _, err := f.client(h.Peer).Push(ctx, o.Push); err != nil {
		f.d.count("fleet.push_failed")
		f.sendPushes(f.publisher.Unreached(o, f.liveHosts()))
	}
}

// handleBeacon reacts to what another host says about its published state.
func (f *fleetDriver) handleBeacon(name string, b membership.Beacon) {
	if b.Index > f.d.copy.View().Index {
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

// exchange merges pending withdrawals with another host, both ways.
func (f *fleetDriver) exchange(ctx context.Context, h membership.Host) {
	theirs, err := f.client(h.Peer).Withdraw(ctx, withdrawalsMessage(f.withdrawals.Pending()))
	if err == nil {
		_ = f.addWithdrawals(theirs)
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
		h, ok := f.d.members.Ahead(f.d.copy.View().Index, f.d.settings.DataCentre, failed)
		if !ok {
			return
		}
		failed[h.Name] = f.pullFrom(ctx, h) != nil
	}
}

// pullFrom installs what the host has beyond this one.
func (f *fleetDriver) pullFrom(ctx context.Context, h membership.Host) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	index := f.d.copy.View().Index
	out, err := f.client(h.Peer).Pull(ctx, &fleetpb.PullRequest{Index: index})
	if err != nil {
		return err
	}
	installed, err := f.d.copy.Merge(out)
	if errors.Is(err, fleet.ErrGap) || errors.Is(err, fleet.ErrBadChange) {
		// The changes do not fit: index 0 asks for the whole state.
		if out, err = f.client(h.Peer).Pull(ctx, &fleetpb.PullRequest{}); err == nil {
			installed, err = f.d.copy.Merge(out)
		}
	}
	if err != nil {
		f.d.log.WithError(err).WithField("from", h.Name).Error("published state refused")
		return err
	}
	if !installed && f.d.copy.View().Index == index {
		return fmt.Errorf("daemon: %s has nothing beyond index %d", h.Name, index)
	}
	return nil
}

// proposeLoop proposes pending withdrawals until the log has them.
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
				f.proposeOne(ctx, w)
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

func (f *fleetDriver) proposeOne(ctx context.Context, w keys.Withdrawal) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := fleet.Propose(ctx, f.d.controlLog, &fleetpb.Command{Kind: &fleetpb.Command_WithdrawKey{
		WithdrawKey: &fleetpb.WithdrawKey{KeyId: w.KeyID, Operator: w.Operator},
	}})
	if err != nil {
		f.d.count("keys.propose_failed")
		return
	}
	// The published state usually has it soon; otherwise it is proposed again.
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dueProposals[w.KeyID] = time.Now().Add(proposeDelay)
}

// registerLoop puts this host into the replicated list of hosts.
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
		listed := slices.ContainsFunc(f.d.copy.View().State.Hosts, func(h *fleetpb.Host) bool { return proto.Equal(h, self) })
		if !listed {
			callCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
			_, _ = fleet.Propose(callCtx, f.d.controlLog, &fleetpb.Command{Kind: &fleetpb.Command_PutHost{PutHost: self}})
			cancel()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Withdraw implements fleet.Spread: it puts the withdrawal in force here, tells
// all hosts at once, and leaves the proposal to the background.
func (f *fleetDriver) Withdraw(ctx context.Context, w keys.Withdrawal) (fleet.WithdrawAnswer, error) {
	_, err := f.withdrawals.Add(w)
	if errors.Is(err, keys.ErrInvalidID) {
		return fleet.WithdrawAnswer{}, err
	}
	f.mu.Lock()
	f.dueProposals[w.KeyID] = time.Time{}
	f.mu.Unlock()
	wake(f.proposeWake)
	f.d.events.Record(timeline.Event{Kind: "key_withdrawn", Detail: w.KeyID})
	answer := fleet.WithdrawAnswer{Accepted: true, KeyID: w.KeyID, Durable: f.withdrawals.Durable()}
	self := fleet.HostReach{Name: f.d.settings.Name, DataCentre: f.d.settings.DataCentre, Reached: err == nil}
	if err != nil {
		self.State = "not stored: " + err.Error()
	}
	answer.Hosts = append(answer.Hosts, self)
	message := withdrawalsMessage([]keys.Withdrawal{w})
	var mu sync.Mutex
	f.forEachHost(ctx, slices.DeleteFunc(f.otherHosts(), f.removed), pushTimeout, func(ctx context.Context, h membership.Host) {
		_, err := f.client(h.Peer).Withdraw(ctx, message)
		mu.Lock()
		defer mu.Unlock()
		answer.Hosts = append(answer.Hosts, hostReach(h, err == nil))
	})
	fleet.SortReach(answer.Hosts)
	return answer, nil
}

// removed reports whether a dead host was removed by an operator, so that nobody
// waits for it.
func (f *fleetDriver) removed(h membership.Host) bool {
	return h.Dead && slices.Contains(f.d.copy.View().State.RemovedHosts, h.Name)
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

// Reach implements fleet.Spread: it asks every known host for its index.
func (f *fleetDriver) Reach(ctx context.Context, index uint64) []fleet.HostReach {
	positions := f.queryIndexes(ctx, f.otherHosts())
	positions[f.d.settings.Name] = f.d.copy.View().Index
	var out []fleet.HostReach
	for _, h := range f.d.members.All() {
		if f.removed(h) {
			continue
		}
		at, answered := positions[h.Name]
		r := hostReach(h, answered && at >= index)
		if r.Index = at; answered && at < index {
			r.State = "behind"
		}
		out = append(out, r)
	}
	fleet.SortReach(out)
	return out
}

// fleetService answers other hosts.
type fleetService struct{ f *fleetDriver }

// Pull implements the drpc service.
func (s fleetService) Pull(_ context.Context, in *fleetpb.PullRequest) (*fleetpb.PullResponse, error) {
	return s.f.d.copy.Since(in.GetIndex()), nil
}

// Push implements the drpc service. A host that is starting ignores pushes,
// because it first determines the highest state.
func (s fleetService) Push(_ context.Context, in *fleetpb.PushRequest) (*fleetpb.Position, error) {
	f := s.f
	if f.started.Load() {
		forward, pull, err := f.publisher.Pushed(in, f.liveHosts())
		if err != nil {
			f.d.log.WithError(err).Error("published state refused")
		}
		f.sendPushes(forward)
		if pull {
			wake(f.pullWake)
		}
	}
	return &fleetpb.Position{Index: f.d.copy.View().Index}, nil
}

// Withdraw implements the drpc service.
func (s fleetService) Withdraw(_ context.Context, in *fleetpb.Withdrawals) (*fleetpb.Withdrawals, error) {
	if err := s.f.addWithdrawals(in); err != nil {
		return nil, err
	}
	return withdrawalsMessage(s.f.withdrawals.Pending()), nil
}

// Where implements the drpc service. The caller's index may show that this host
// is behind; it then learns by the next probe from whom to pull.
func (s fleetService) Where(context.Context, *fleetpb.Position) (*fleetpb.Position, error) {
	return &fleetpb.Position{Index: s.f.d.copy.View().Index}, nil
}
