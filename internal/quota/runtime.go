package quota

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"geraniumturn.example/geraniumturn/internal/control"
	"geraniumturn.example/geraniumturn/internal/quota/quotapb"
	"geraniumturn.example/geraniumturn/internal/refusal"
)

const (
	// syncInterval is how often a host reads changed allocations from a voter.
	syncInterval = 250 * time.Millisecond
	// idleSyncInterval replaces syncInterval while no allocation changes. With
	// syncInterval, these reads were a quarter of the calls of an idle fleet.
	idleSyncInterval = time.Second
	borrowTimeout    = 400 * time.Millisecond
	proposeTimeout   = 2 * time.Second
	// maxConcurrentSends bounds the calls to other hosts that run at once.
	maxConcurrentSends = 256
	// maxSetWorkspaces bounds the workspaces in one command of the replicated log.
	maxSetWorkspaces = 200
	// maxCost bounds the cost of a request, in tokens. It keeps amounts, which are
	// in millionths of a token, far from integer overflow.
	maxCost = int64(1) << 40
)

var (
	// ErrNotApplied means that the voter has not applied the requested log index yet.
	ErrNotApplied = errors.New("quota: voter has not applied the requested log index")
	// ErrNotVoter means that this host is not a voter and has no replicated state.
	ErrNotVoter = errors.New("quota: not a voter")
	// errNoLeader means that no voter holds a valid leader lease.
	errNoLeader = errors.New("quota: no voter holds the leader lease")
)

// Config holds the settings of a Runtime and its connections to the other parts
// of the process.
type Config struct {
	Name       string
	DataCentre string
	// Voters are the hosts to read allocations and borrow elastic tokens from,
	// nearest first.
	Voters []string
	// Machine is nil on hosts that are not voters.
	Machine *Machine
	Log     control.Log
	// Dial returns a connection handle for the named host.
	Dial func(host string) (drpc.Conn, bool)
	// Members returns the replicated host list.
	Members func() []Member
	// Rules returns the revision and the workspaces of the rules in force.
	Rules   func() (revision uint64, workspaces []Workspace)
	Metrics metrics.Registry
}

// Runtime runs the quota state of this process: it reads the clock and sends and
// receives the messages.
type Runtime struct {
	config    Config
	startTime time.Time
	sendSlots chan struct{}
	// wake ends the wait of an idle Tick.
	wake chan struct{}

	mu      sync.Mutex
	host    *Host
	members StableMemberList
	// elasticVoter is the index of the voter that is tried first for elastic
	// tokens: the one that lent last.
	elasticVoter int
	joined       bool
	// joinIndex is the log index at which this process joined.
	joinIndex uint64
}

// NewRuntime returns the runtime of a process that has just started.
func NewRuntime(config Config) *Runtime {
	r := &Runtime{config: config, startTime: time.Now(), sendSlots: make(chan struct{}, maxConcurrentSends), wake: make(chan struct{}, 1)}
	r.host = NewHost(config.Name, config.DataCentre, rand.Uint64(), r.now())
	return r
}

// now reads the monotonic clock. Callers hold mu and read it immediately before
// they use it, so that a process that was suspended finds its loans expired.
func (r *Runtime) now() time.Duration { return time.Since(r.startTime) }

// RequestReservation is the quota reserved for a request.
type RequestReservation struct {
	runtime     *Runtime
	reservation *Reservation
}

// Settle ends the reservation and refunds all but the used tokens.
func (h *RequestReservation) Settle(used int64) {
	used = min(max(0, used), maxCost)
	h.runtime.withHost(func(now time.Duration) { h.runtime.host.Settle(now, h.reservation, used*TokenUnit) })
}

// Reserve takes the cost, in tokens. It may wait for the first allocation of the
// workspace and up to WaitLimit for loans.
func (r *Runtime) Reserve(ctx context.Context, workspace string, cost int64) (*RequestReservation, error) {
	if cost > maxCost {
		return nil, r.refusalError(workspace, cost, &Refusal{TooLarge: true})
	}
	if err := r.awaitAllocation(ctx, workspace); err != nil {
		return nil, err
	}
	var reservation *Reservation
	var waiter *Waiter
	var refused *Refusal
	r.withHost(func(now time.Duration) {
		wake := r.host.Idle()
		reservation, waiter, refused = r.host.Reserve(now, workspace, max(0, cost)*TokenUnit)
		if wake {
			r.wakeTick()
		}
	})
	if waiter != nil {
		r.count("waited", 1)
		select {
		case <-waiter.Ready:
			reservation, refused = waiter.Reservation, waiter.Refusal
		case <-ctx.Done():
			r.withHost(func(now time.Duration) { r.host.CancelWait(now, workspace, waiter) })
			return nil, refusal.New(refusal.Deadline, refusal.NotRun, "the deadline passed before tokens were available")
		}
	}
	if refused != nil {
		return nil, r.refusalError(workspace, cost, refused)
	}
	r.count("reserved_tokens", cost)
	return &RequestReservation{runtime: r, reservation: reservation}, nil
}

// awaitAllocation waits for the first allocation of a workspace, so that requests
// right after the start of a fleet or a new rule are not refused although they are
// within the rate. It returns a refusal when there is none after allocationWait.
func (r *Runtime) awaitAllocation(ctx context.Context, workspace string) error {
	ctx, cancel := context.WithTimeout(ctx, allocationWait)
	defer cancel()
	for first := true; ; first = false {
		known := false
		r.withHost(func(time.Duration) { known = r.host.HasAllocation(workspace) })
		if known {
			return nil
		}
		if first {
			r.count("awaited_allocation", 1)
		}
		timer := time.NewTimer(allocationPoll)
		select {
		case <-ctx.Done():
			timer.Stop()
			return refusal.New(refusal.RateLimited, refusal.NotRun, "workspace %s has no quota allocation yet", workspace).
				WithRetry(time.Second)
		case <-timer.C:
		}
	}
}

func (r *Runtime) refusalError(workspace string, cost int64, refused *Refusal) error {
	if refused.TooLarge {
		r.count("too_large", 1)
		return refusal.New(refusal.TooLarge, refusal.NotRun, "cost of %d tokens exceeds the burst of workspace %s", cost, workspace)
	}
	r.count("rate_limited", 1)
	return refusal.New(refusal.RateLimited, refusal.NotRun, "workspace %s is over its rate", workspace).WithRetry(refused.RetryAfter)
}

func (r *Runtime) count(name string, n int64) {
	metrics.GetOrRegisterCounter("quota."+name, r.config.Metrics).Inc(n)
}

// withHost calls do with the host state locked, and then sends the messages that
// it produced.
func (r *Runtime) withHost(do func(now time.Duration)) {
	r.mu.Lock()
	do(r.now())
	messages := r.host.TakeMessages()
	r.mu.Unlock()
	for _, m := range messages {
		r.send(m)
	}
}

func (r *Runtime) send(m Message) {
	select {
	case r.sendSlots <- struct{}{}:
		go func() {
			defer func() { <-r.sendSlots }()
			r.deliver(m)
		}()
	default:
		r.count("sends_dropped", 1)
		if m.Borrow != nil {
			r.mu.Lock()
			r.host.HandleBorrowFailure(r.now(), m.To, m.Borrow)
			r.mu.Unlock()
		}
	}
}

func (r *Runtime) deliver(m Message) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	if m.Settle != nil {
		if err := r.sendSettlements(ctx, m); err != nil {
			r.count("settle_failed", 1)
		}
		return
	}
	response, err := r.requestLoan(ctx, m)
	r.withHost(func(now time.Duration) {
		if err != nil {
			r.host.HandleBorrowFailure(now, m.To, m.Borrow)
			return
		}
		r.host.HandleBorrowResponse(now, m.To, m.Borrow, response)
	})
	if err != nil {
		r.count("borrow_failed", 1)
		return
	}
	r.count("borrowed", 1)
}

// lenderHost returns the host that a message to the lender is sent to. The elastic
// bucket is at the leader: this host when it has the lease, else the voter that
// lent last.
func (r *Runtime) lenderHost(lenderName string) string {
	if lenderName != elasticName {
		return lenderName
	}
	if _, ok := r.config.Log.Lease(); ok || len(r.config.Voters) == 0 {
		return r.config.Name
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.Voters[r.elasticVoter%len(r.config.Voters)]
}

func (r *Runtime) requestLoan(ctx context.Context, m Message) (*quotapb.BorrowResponse, error) {
	if m.To != elasticName {
		return r.borrowFromHost(ctx, m.To, m.Borrow)
	}
	for range max(1, len(r.config.Voters)) {
		host := r.lenderHost(elasticName)
		response, err := r.borrowFromHost(ctx, host, m.Borrow)
		if err == nil && !response.GetNotLeader() {
			return response, nil
		}
		r.mu.Lock()
		r.elasticVoter++
		r.mu.Unlock()
		if err != nil {
			return nil, err
		}
	}
	return nil, errNoLeader
}

func (r *Runtime) borrowFromHost(ctx context.Context, host string, in *quotapb.BorrowRequest) (*quotapb.BorrowResponse, error) {
	if host == r.config.Name {
		return r.Borrow(ctx, in)
	}
	conn, ok := r.config.Dial(host)
	if !ok {
		return nil, fmt.Errorf("quota: unknown host %q", host)
	}
	response, err := quotapb.NewDRPCQuotaClient(conn).Borrow(ctx, in)
	if err != nil {
		return nil, fmt.Errorf("quota: borrow from %s: %w", host, err)
	}
	return response, nil
}

func (r *Runtime) sendSettlements(ctx context.Context, m Message) error {
	host := r.lenderHost(m.To)
	if host == r.config.Name {
		_, err := r.Settle(ctx, m.Settle)
		return err
	}
	conn, ok := r.config.Dial(host)
	if !ok {
		return fmt.Errorf("quota: unknown host %q", host)
	}
	_, err := quotapb.NewDRPCQuotaClient(conn).Settle(ctx, m.Settle)
	return err
}

// Borrow implements the drpc service. It checks the lease immediately before it
// grants the loan.
func (r *Runtime) Borrow(_ context.Context, in *quotapb.BorrowRequest) (*quotapb.BorrowResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	term, ok := r.config.Log.Lease()
	if !ok {
		term = 0
	}
	out := r.host.Lend(now, in, term)
	r.count("lent", 1)
	return out, nil
}

// Settle implements the drpc service.
func (r *Runtime) Settle(_ context.Context, in *quotapb.SettleRequest) (*quotapb.SettleResponse, error) {
	r.withHost(func(now time.Duration) { r.host.HandleSettlements(now, in) })
	return &quotapb.SettleResponse{}, nil
}

// Read implements the drpc service.
func (r *Runtime) Read(_ context.Context, in *quotapb.ReadRequest) (*quotapb.ReadResponse, error) {
	if r.config.Machine == nil {
		return nil, ErrNotVoter
	}
	index, records := r.config.Machine.ChangedSince(in.GetAfter())
	if index < in.GetAtLeast() {
		return nil, fmt.Errorf("%w: applied %d, requested %d", ErrNotApplied, index, in.GetAtLeast())
	}
	return &quotapb.ReadResponse{Index: index, Records: records}, nil
}

// Tick calls Host.Tick periodically until ctx ends.
func (r *Runtime) Tick(ctx context.Context) error {
	timer := time.NewTimer(TickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-r.wake:
		}
		idle := true
		r.withHost(func(now time.Duration) {
			r.host.Tick(now)
			idle = r.host.Idle()
		})
		if idle {
			timer.Reset(idleTick)
		} else {
			timer.Reset(TickInterval)
		}
	}
}

// wakeTick makes an idle Tick run again at once.
func (r *Runtime) wakeTick() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

const (
	// allocationWait covers the first allocation of a new workspace, which takes
	// about LenderLoanTTL and two commands in the replicated log.
	allocationWait = 5 * time.Second
	allocationPoll = 20 * time.Millisecond
	// idleTick is the interval of Tick while no workspace is active. Calls at
	// TickInterval took a third of the processor budget of an idle host.
	idleTick = 250 * time.Millisecond
)

// Sync reads changed allocations, confirms decreases, and proposes new allocations
// while this host is the leader, until ctx ends.
func (r *Runtime) Sync(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		before := r.syncProgress()
		if err := r.syncOnce(ctx); err != nil {
			r.count("sync_failed", 1)
		}
		after := r.syncProgress()
		if after.settled && after == before {
			timer.Reset(idleSyncInterval)
		} else {
			timer.Reset(syncInterval)
		}
	}
}

// syncProgress is the log index up to which this host has records, and whether it has
// joined and no allocation change is pending (settled). While it is settled and does
// not change, Sync polls at idleSyncInterval.
type syncProgress struct {
	index   uint64
	settled bool
}

func (r *Runtime) syncProgress() syncProgress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return syncProgress{index: r.host.Index(), settled: r.joined && len(r.host.changing) == 0}
}

func (r *Runtime) syncOnce(ctx context.Context) error {
	if !r.joined {
		// Without a response from the log, this process cannot know which
		// decreases its host has confirmed, so it must not use a floor share.
		index, err := r.propose(ctx, &quotapb.Command{Kind: &quotapb.Command_Join{Join: &quotapb.Join{Host: r.config.Name}}})
		if err != nil {
			return err
		}
		r.joined, r.joinIndex = true, index
	}
	readErr := r.readRecords(ctx)
	leadErr := r.runLeaderDuties(ctx)
	return errors.Join(readErr, leadErr, r.proposeConfirmations(ctx))
}

func (r *Runtime) propose(ctx context.Context, c *quotapb.Command) (index uint64, err error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return 0, fmt.Errorf("quota: marshal command: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	resultData, err := r.config.Log.Propose(ctx, MachineName, data)
	if err != nil {
		return 0, fmt.Errorf("quota: propose: %w", err)
	}
	var result quotapb.Result
	if err := proto.Unmarshal(resultData, &result); err != nil {
		return 0, fmt.Errorf("quota: unmarshal result: %w", err)
	}
	if result.Error != "" {
		return 0, fmt.Errorf("quota: command refused: %s", result.Error)
	}
	return result.Index, nil
}

// readRecords reads changed records from the local machine or from the nearest
// voter that answers.
func (r *Runtime) readRecords(ctx context.Context) error {
	r.mu.Lock()
	in := &quotapb.ReadRequest{After: r.host.Index(), AtLeast: r.joinIndex}
	r.mu.Unlock()
	if r.config.Machine != nil {
		out, err := r.Read(ctx, in)
		return r.applyRecords(out, err)
	}
	var errs error
	for _, voter := range r.config.Voters {
		conn, ok := r.config.Dial(voter)
		if !ok {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
		out, err := quotapb.NewDRPCQuotaClient(conn).Read(callCtx, in)
		cancel()
		if err == nil {
			return r.applyRecords(out, nil)
		}
		errs = errors.Join(errs, err)
	}
	return errs
}

func (r *Runtime) applyRecords(out *quotapb.ReadResponse, err error) error {
	if err != nil {
		return err
	}
	r.withHost(func(now time.Duration) { r.host.Apply(now, out.GetIndex(), out.GetRecords()) })
	return nil
}

// runLeaderDuties starts the elastic buckets of a new term and proposes the
// allocations that the rules and the host list require.
func (r *Runtime) runLeaderDuties(ctx context.Context) error {
	r.mu.Lock()
	members, asOf := r.members.Observe(r.now(), r.host.Index(), r.config.Members())
	elasticTerm := r.host.ElasticTerm()
	r.mu.Unlock()
	term, ok := r.config.Log.Lease()
	if !ok || r.config.Machine == nil {
		return nil
	}
	if elasticTerm != term {
		if err := r.startElastic(ctx, term); err != nil {
			return err
		}
	}
	revision, workspaces := r.config.Rules()
	if revision == 0 || members == nil {
		return nil
	}
	set := r.config.Machine.ReconcileCommand(revision, asOf, members, workspaces, maxSetWorkspaces)
	if set == nil {
		return nil
	}
	if _, err := r.propose(ctx, &quotapb.Command{Kind: &quotapb.Command_Set{Set: set}}); err != nil {
		return err
	}
	return r.readRecords(ctx)
}

func (r *Runtime) startElastic(ctx context.Context, term uint64) error {
	index, err := r.propose(ctx, &quotapb.Command{Kind: &quotapb.Command_StartElastic{StartElastic: &quotapb.StartElastic{Term: term}}})
	if err != nil {
		return err
	}
	if err := r.readRecords(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if currentTerm, ok := r.config.Log.Lease(); !ok || currentTerm != term || r.host.Index() < index {
		return ErrNotApplied
	}
	r.host.StartElastic(r.now(), term)
	return nil
}

func (r *Runtime) proposeConfirmations(ctx context.Context) error {
	term, ok := r.config.Log.Lease()
	if !ok {
		term = 0
	}
	r.mu.Lock()
	confirmations := r.host.Confirmations(r.now(), term)
	r.mu.Unlock()
	var errs error
	for _, c := range confirmations {
		_, err := r.propose(ctx, &quotapb.Command{Kind: &quotapb.Command_Confirm{Confirm: &quotapb.Confirm{
			Host: c.Host, Term: c.Term, Confirmed: c.Confirmed}}})
		errs = errors.Join(errs, err)
	}
	return errs
}
