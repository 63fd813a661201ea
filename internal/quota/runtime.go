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
	// syncInterval is how often a host asks a voter for changed allocations.
	syncInterval = 250 * time.Millisecond
	// settledInterval is the interval when no division is under way; a quarter of
	// the calls at rest were for this.
	settledInterval = time.Second
	borrowTimeout   = 400 * time.Millisecond
	proposeTimeout  = 2 * time.Second
	// maxSends bounds the calls to other hosts that run at once.
	maxSends = 256
	// setBatch bounds the workspaces in one command of the replicated log.
	setBatch = 200
	// maxCost keeps amounts far from overflow.
	maxCost = int64(1) << 40
)

var (
	// ErrNotApplied means that the voter has not applied the wanted index yet.
	ErrNotApplied = errors.New("quota: voter is behind")
	// ErrNotVoter means that this host does not hold the replicated state.
	ErrNotVoter = errors.New("quota: not a voter")
	// errNoLeader means that no voter has a valid lease.
	errNoLeader = errors.New("quota: no voter lends elastic tokens")
)

// Config connects a Runtime to the rest of the process.
type Config struct {
	Name       string
	DataCentre string
	// Voters are asked for allocations and elastic tokens, nearest first.
	Voters []string
	// Machine is nil on hosts that do not vote.
	Machine *Machine
	Log     control.Log
	// Dial returns a connection handle for the named host.
	Dial func(host string) (drpc.Conn, bool)
	// Members is the agreed host list.
	Members func() []Member
	// Rules returns the revision in force and its workspaces.
	Rules   func() (revision uint64, workspaces []Workspace)
	Metrics metrics.Registry
}

// Runtime drives the quota state of this process: it supplies the clock and
// carries the messages.
type Runtime struct {
	config Config
	began  time.Time
	sends  chan struct{}
	// demand wakes an idle Tick.
	demand chan struct{}

	mu      sync.Mutex
	host    *Host
	members StableMemberList
	// leader is the index of the voter that lent elastic tokens last.
	leader int
	joined bool
	// seen is the log index at which this process joined.
	seen uint64
}

// NewRuntime returns the runtime of a process that has just started.
func NewRuntime(config Config) *Runtime {
	r := &Runtime{config: config, began: time.Now(), sends: make(chan struct{}, maxSends), demand: make(chan struct{}, 1)}
	r.host = NewHost(config.Name, config.DataCentre, rand.Uint64(), r.now())
	return r
}

// now reads the monotonic clock. Callers hold mu and read it immediately before
// they use it, so that a process that was stopped sees its loans expired.
func (r *Runtime) now() time.Duration { return time.Since(r.began) }

// RequestReservation is quota taken for a request.
type RequestReservation struct {
	runtime     *Runtime
	reservation *Reservation
}

// Settle returns what was not used, in tokens.
func (h *RequestReservation) Settle(used int64) {
	used = min(max(0, used), maxCost)
	h.runtime.locked(func(now time.Duration) { h.runtime.host.Settle(now, h.reservation, used*TokenUnit) })
}

// Reserve takes the cost, in tokens. It may wait up to WaitLimit for loans.
func (r *Runtime) Reserve(ctx context.Context, workspace string, cost int64) (*RequestReservation, error) {
	if cost > maxCost {
		return nil, r.refuse(workspace, cost, &Refusal{TooLarge: true})
	}
	if err := r.awaitAllocation(ctx, workspace); err != nil {
		return nil, err
	}
	var reservation *Reservation
	var waiter *Waiter
	var refused *Refusal
	r.locked(func(now time.Duration) {
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
			r.locked(func(now time.Duration) { r.host.CancelWait(now, workspace, waiter) })
			return nil, refusal.New(refusal.Deadline, refusal.NotRun, "the deadline passed before tokens were available")
		}
	}
	if refused != nil {
		return nil, r.refuse(workspace, cost, refused)
	}
	r.count("reserved_tokens", cost)
	return &RequestReservation{runtime: r, reservation: reservation}, nil
}

// awaitAllocation waits for the first division of a workspace, so that requests
// right after the start of a fleet or a new rule are not refused within rate.
// Without an answer after allocationWait the reservation refuses.
func (r *Runtime) awaitAllocation(ctx context.Context, workspace string) error {
	ctx, cancel := context.WithTimeout(ctx, allocationWait)
	defer cancel()
	for first := true; ; first = false {
		known := false
		r.locked(func(time.Duration) { known = r.host.HasAllocation(workspace) })
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
			return refusal.New(refusal.RateLimited, refusal.NotRun, "no share of workspace %s is agreed yet", workspace).
				WithRetry(time.Second)
		case <-timer.C:
		}
	}
}

func (r *Runtime) refuse(workspace string, cost int64, why *Refusal) error {
	if why.TooLarge {
		r.count("too_large", 1)
		return refusal.New(refusal.TooLarge, refusal.NotRun, "cost of %d tokens exceeds the burst of workspace %s", cost, workspace)
	}
	r.count("rate_limited", 1)
	return refusal.New(refusal.RateLimited, refusal.NotRun, "workspace %s is over its rate", workspace).WithRetry(why.RetryAfter)
}

func (r *Runtime) count(name string, n int64) {
	metrics.GetOrRegisterCounter("quota."+name, r.config.Metrics).Inc(n)
}

// locked runs do on the host's state and sends what it asks for.
func (r *Runtime) locked(do func(now time.Duration)) {
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
	case r.sends <- struct{}{}:
		go func() {
			defer func() { <-r.sends }()
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
		if err := r.settleAt(ctx, m); err != nil {
			r.count("settle_failed", 1)
		}
		return
	}
	answer, err := r.borrowFrom(ctx, m)
	r.locked(func(now time.Duration) {
		if err != nil {
			r.host.HandleBorrowFailure(now, m.To, m.Borrow)
			return
		}
		r.host.HandleBorrowResponse(now, m.To, m.Borrow, answer)
	})
	if err != nil {
		r.count("borrow_failed", 1)
		return
	}
	r.count("borrowed", 1)
}

// lenderHost resolves the lender of a message. The elastic bucket is at the
// leader: this host when it has the lease, else the voter that lent last.
func (r *Runtime) lenderHost(to string) string {
	if to != elastic {
		return to
	}
	if _, ok := r.config.Log.Lease(); ok || len(r.config.Voters) == 0 {
		return r.config.Name
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.Voters[r.leader%len(r.config.Voters)]
}

func (r *Runtime) borrowFrom(ctx context.Context, m Message) (*quotapb.BorrowResponse, error) {
	if m.To != elastic {
		return r.borrowAt(ctx, m.To, m.Borrow)
	}
	for range max(1, len(r.config.Voters)) {
		host := r.lenderHost(elastic)
		answer, err := r.borrowAt(ctx, host, m.Borrow)
		if err == nil && !answer.GetNotLeader() {
			return answer, nil
		}
		r.mu.Lock()
		r.leader++
		r.mu.Unlock()
		if err != nil {
			return nil, err
		}
	}
	return nil, errNoLeader
}

func (r *Runtime) borrowAt(ctx context.Context, host string, in *quotapb.BorrowRequest) (*quotapb.BorrowResponse, error) {
	if host == r.config.Name {
		return r.Borrow(ctx, in)
	}
	conn, ok := r.config.Dial(host)
	if !ok {
		return nil, fmt.Errorf("quota: unknown host %q", host)
	}
	answer, err := quotapb.NewDRPCQuotaClient(conn).Borrow(ctx, in)
	if err != nil {
		return nil, fmt.Errorf("quota: borrow from %s: %w", host, err)
	}
	return answer, nil
}

func (r *Runtime) settleAt(ctx context.Context, m Message) error {
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

// Borrow implements the drpc service. The lease is checked immediately before
// the loan is given.
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
	r.locked(func(now time.Duration) { r.host.HandleSettlements(now, in) })
	return &quotapb.SettleResponse{}, nil
}

// Read implements the drpc service.
func (r *Runtime) Read(_ context.Context, in *quotapb.ReadRequest) (*quotapb.ReadResponse, error) {
	if r.config.Machine == nil {
		return nil, ErrNotVoter
	}
	index, records := r.config.Machine.ChangedSince(in.GetAfter())
	if index < in.GetAtLeast() {
		return nil, fmt.Errorf("%w: at %d of %d", ErrNotApplied, index, in.GetAtLeast())
	}
	return &quotapb.ReadResponse{Index: index, Records: records}, nil
}

// Tick advances the state until ctx ends.
func (r *Runtime) Tick(ctx context.Context) error {
	timer := time.NewTimer(TickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-r.demand:
		}
		idle := true
		r.locked(func(now time.Duration) {
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
	case r.demand <- struct{}{}:
	default:
	}
}

const (
	// allocationWait covers the first division of a new workspace, which takes
	// about LenderLoanTTL and two commands in the replicated log.
	allocationWait = 5 * time.Second
	allocationPoll = 20 * time.Millisecond
	// idleTick is the interval of Tick without any served workspace. Ticking at
	// TickInterval all the time took a third of the processor budget at rest.
	idleTick = 250 * time.Millisecond
)

// Sync keeps the allocations up to date, confirms decreases, and as leader
// proposes new allocations, until ctx ends.
func (r *Runtime) Sync(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		before := r.progress()
		if err := r.syncOnce(ctx); err != nil {
			r.count("sync_failed", 1)
		}
		after := r.progress()
		if after.settled && after == before {
			timer.Reset(settledInterval)
		} else {
			timer.Reset(syncInterval)
		}
	}
}

// progress tells whether a division of tokens is under way on this host.
type progress struct {
	index   uint64
	settled bool
}

func (r *Runtime) progress() progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return progress{index: r.host.Index(), settled: r.joined && len(r.host.deciding) == 0}
}

func (r *Runtime) syncOnce(ctx context.Context) error {
	if !r.joined {
		// Without an answer from the log this process cannot know which
		// decreases its host has confirmed, so it has no floor.
		index, err := r.propose(ctx, &quotapb.Command{Kind: &quotapb.Command_Join{Join: &quotapb.Join{Host: r.config.Name}}})
		if err != nil {
			return err
		}
		r.joined, r.seen = true, index
	}
	readErr := r.read(ctx)
	leadErr := r.lead(ctx)
	return errors.Join(readErr, leadErr, r.confirm(ctx))
}

func (r *Runtime) propose(ctx context.Context, c *quotapb.Command) (index uint64, err error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return 0, fmt.Errorf("quota: marshal command: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	answer, err := r.config.Log.Propose(ctx, MachineName, data)
	if err != nil {
		return 0, fmt.Errorf("quota: propose: %w", err)
	}
	var result quotapb.Result
	if err := proto.Unmarshal(answer, &result); err != nil {
		return 0, fmt.Errorf("quota: result: %w", err)
	}
	if result.Error != "" {
		return 0, fmt.Errorf("quota: command refused: %s", result.Error)
	}
	return result.Index, nil
}

// read takes changed records from the own machine or from the nearest voter
// that answers.
func (r *Runtime) read(ctx context.Context) error {
	r.mu.Lock()
	in := &quotapb.ReadRequest{After: r.host.Index(), AtLeast: r.seen}
	r.mu.Unlock()
	if r.config.Machine != nil {
		out, err := r.Read(ctx, in)
		return r.install(out, err)
	}
	var failed error
	for _, voter := range r.config.Voters {
		conn, ok := r.config.Dial(voter)
		if !ok {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
		out, err := quotapb.NewDRPCQuotaClient(conn).Read(callCtx, in)
		cancel()
		if err == nil {
			return r.install(out, nil)
		}
		failed = errors.Join(failed, err)
	}
	return failed
}

func (r *Runtime) install(out *quotapb.ReadResponse, err error) error {
	if err != nil {
		return err
	}
	r.locked(func(now time.Duration) { r.host.Apply(now, out.GetIndex(), out.GetRecords()) })
	return nil
}

// lead starts the elastic buckets of a new term and proposes allocations.
func (r *Runtime) lead(ctx context.Context) error {
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
	set := r.config.Machine.ReconcileCommand(revision, asOf, members, workspaces, setBatch)
	if set == nil {
		return nil
	}
	if _, err := r.propose(ctx, &quotapb.Command{Kind: &quotapb.Command_Set{Set: set}}); err != nil {
		return err
	}
	return r.read(ctx)
}

func (r *Runtime) startElastic(ctx context.Context, term uint64) error {
	index, err := r.propose(ctx, &quotapb.Command{Kind: &quotapb.Command_StartElastic{StartElastic: &quotapb.StartElastic{Term: term}}})
	if err != nil {
		return err
	}
	if err := r.read(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now, ok := r.config.Log.Lease(); !ok || now != term || r.host.Index() < index {
		return ErrNotApplied
	}
	r.host.StartElastic(r.now(), term)
	return nil
}

func (r *Runtime) confirm(ctx context.Context) error {
	term, ok := r.config.Log.Lease()
	if !ok {
		term = 0
	}
	r.mu.Lock()
	confirmations := r.host.Confirmations(r.now(), term)
	r.mu.Unlock()
	var failed error
	for _, c := range confirmations {
		_, err := r.propose(ctx, &quotapb.Command{Kind: &quotapb.Command_Confirm{Confirm: &quotapb.Confirm{
			Host: c.Host, Term: c.Term, Confirmed: c.Confirmed}}})
		failed = errors.Join(failed, err)
	}
	return failed
}
