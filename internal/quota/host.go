package quota

import (
	"maps"
	"slices"
	"time"

	"geraniumturn.example/geraniumturn/internal/quota/quotapb"
)

// Message is something to send to another host. Exactly one of Borrow and
// Settle is set.
type Message struct {
	// To names the lender; empty means the elastic bucket of the leader.
	To     string
	Borrow *quotapb.BorrowRequest
	Settle *quotapb.SettleRequest
}

// Confirmation is a set of epochs whose decreases are in force here.
type Confirmation struct {
	Host      string
	Term      uint64
	Confirmed []*quotapb.Confirmed
}

// Host is the quota state of one host. It does no I/O; callers pass the
// reading of the monotonic clock and serialise the calls. Invariant: a holder
// without an account for a workspace has a full bucket.
type Host struct {
	name        string
	dataCentre  string
	incarnation uint64
	start       time.Duration
	sequence    uint64
	index       uint64
	records     map[string]*quotapb.Record
	accounts    map[string]*account
	// deciding holds the workspaces whose next allocation is pending.
	deciding map[string]bool
	elastic  elasticLender
	out      []Message
	// settlements are gathered by lender until settleAt.
	settlements map[string][]*quotapb.Settlement
	settleAt    time.Duration
	sweepAt     time.Duration
	// active is false when the next Tick may come after idleTick.
	active bool
}

const (
	// settleInterval is how long settlements are gathered.
	settleInterval = 100 * time.Millisecond
	// sweepInterval is how often full elastic buckets are dropped.
	sweepInterval = time.Second
	// probeInterval is how often a lender is asked against its estimate when
	// requests wait, since refunds that it received are not known here.
	probeInterval = 100 * time.Millisecond
)

// elasticLender holds the elastic buckets of one term as leader.
type elasticLender struct {
	term    uint64
	since   time.Duration
	buckets map[string]*Bucket
}

// NewHost returns the state of a host that has just started.
func NewHost(name, dataCentre string, incarnation uint64, now time.Duration) *Host {
	return &Host{name: name, dataCentre: dataCentre, incarnation: incarnation, start: now,
		records: map[string]*quotapb.Record{}, accounts: map[string]*account{}, deciding: map[string]bool{}}
}

// Index is the log index up to which the host knows all records.
func (h *Host) Index() uint64 { return h.index }

// HasAllocation reports whether the workspace has an allocation.
func (h *Host) HasAllocation(workspace string) bool { return h.records[workspace] != nil }

// TakeMessages returns the messages to send since the last call.
func (h *Host) TakeMessages() []Message {
	out := h.out
	h.out = nil
	return out
}

// Apply installs records from the replicated state. Decreases are in force at
// once; increases too, but not before the loans that this host's former process
// gave have certainly expired.
func (h *Host) Apply(now time.Duration, index uint64, records []*quotapb.Record) {
	if index <= h.index {
		return
	}
	h.index = index
	for _, r := range records {
		old := h.records[r.Workspace]
		if old != nil && old.Changed >= r.Changed {
			continue
		}
		h.applyFloor(now, old, r)
		h.applyElastic(now, old, r)
		h.records[r.Workspace] = r
		delete(h.deciding, r.Workspace)
		if r.Next != nil {
			h.deciding[r.Workspace] = true
		}
		if a := h.accounts[r.Workspace]; a != nil {
			a.setLenders(r, h.name, h.dataCentre)
		}
	}
}

func (h *Host) applyFloor(now time.Duration, old, r *quotapb.Record) {
	before, after := inForce(old, h.name), inForce(r, h.name)
	if before == after {
		return
	}
	a := h.accounts[r.Workspace]
	if a == nil {
		a = &account{workspace: r.Workspace, seenAt: now}
		h.accounts[r.Workspace] = a
	}
	if a.floor == nil {
		a.floor = newFullBucket(before, now)
	}
	a.floor.SetShare(now, after, max(now, h.start+LenderLoanTTL))
}

func (h *Host) applyElastic(now time.Duration, old, r *quotapb.Record) {
	before, after := inForce(old, elastic), inForce(r, elastic)
	if h.elastic.buckets == nil || before == after {
		return
	}
	h.elasticBucket(r.Workspace, before).SetShare(now, after, max(now, h.elastic.since+LenderLoanTTL))
}

// StartElastic makes this host the lender of elastic tokens for its term as
// leader. The buckets start empty and refill only when all loans of the last
// leader have certainly expired. Call it only after a command of the same term
// was applied, so that all records of earlier terms are known.
func (h *Host) StartElastic(now time.Duration, term uint64) {
	h.elastic = elasticLender{term: term, since: now, buckets: map[string]*Bucket{}}
}

// ElasticTerm is the term of the elastic buckets of this host.
func (h *Host) ElasticTerm() uint64 { return h.elastic.term }

// elasticBucket returns the bucket of the workspace. A missing one was full
// when it was dropped, or untouched since the start of the term.
func (h *Host) elasticBucket(workspace string, share Share) *Bucket {
	b := h.elastic.buckets[workspace]
	if b == nil {
		b = NewBucket(share, h.elastic.since+LenderLoanTTL)
		h.elastic.buckets[workspace] = b
	}
	return b
}

// account returns the state of the workspace, or nil when it is unknown.
func (h *Host) account(now time.Duration, workspace string) *account {
	a := h.accounts[workspace]
	r := h.records[workspace]
	if r == nil {
		return nil
	}
	if a == nil {
		a = &account{workspace: workspace, seenAt: now}
		if share := inForce(r, h.name); share != (Share{}) {
			a.floor = newFullBucket(share, now)
		}
		h.accounts[workspace] = a
	}
	if a.lenders == nil {
		a.setLenders(r, h.name, h.dataCentre)
	}
	return a
}

// Reserve takes the cost at once, or returns a waiter or a refusal.
func (h *Host) Reserve(now time.Duration, workspace string, cost Amount) (*Reservation, *Waiter, *Refusal) {
	a := h.account(now, workspace)
	if a == nil {
		return nil, nil, &Refusal{RetryAfter: time.Second}
	}
	if burst := min(h.records[workspace].Settled.GetBurst(), newest(h.records[workspace]).GetBurst()); cost > burst && burst > 0 {
		return nil, nil, &Refusal{TooLarge: true}
	}
	a.note(now, cost)
	h.active = true
	if len(a.waiters) == 0 {
		if r := a.spend(now, cost); r != nil {
			h.plan(now, a)
			return r, nil, nil
		}
	}
	if wait := a.shortage(now, cost); wait > WaitLimit || len(a.waiters) >= maxWaiters {
		return nil, nil, &Refusal{RetryAfter: retryAfter(wait)}
	}
	w := &Waiter{Ready: make(chan struct{}), cost: cost, deadline: now + WaitLimit}
	a.waiters = append(a.waiters, w)
	a.queued += cost
	h.plan(now, a)
	return nil, w, nil
}

func retryAfter(wait time.Duration) time.Duration { return max(minRetry, min(wait, time.Hour)) }

// CancelWait ends the wait of a request whose caller has gone.
func (h *Host) CancelWait(now time.Duration, workspace string, w *Waiter) {
	if w.Reservation != nil {
		h.Settle(now, w.Reservation, 0)
		return
	}
	if a := h.accounts[workspace]; a != nil && !w.done {
		a.finish(w, nil, &Refusal{RetryAfter: minRetry})
		a.waiters = slices.DeleteFunc(a.waiters, func(o *Waiter) bool { return o == w })
	}
}

func (a *account) finish(w *Waiter, r *Reservation, refused *Refusal) {
	w.Reservation, w.Refusal, w.done = r, refused, true
	a.queued -= w.cost
	close(w.Ready)
}

// serve gives tokens to waiters in order and refuses those that waited too long.
func (h *Host) serve(now time.Duration, a *account) {
	n := 0
	for n < len(a.waiters) {
		w := a.waiters[n]
		if r := a.spend(now, w.cost); r != nil {
			a.finish(w, r, nil)
		} else if now >= w.deadline {
			a.finish(w, nil, &Refusal{RetryAfter: retryAfter(a.shortage(now, 0))})
		} else {
			break
		}
		n++
	}
	if n > 0 {
		a.waiters = slices.Delete(a.waiters, 0, n)
	}
}

// Settle ends a reservation: what was not used returns to where it came from,
// as far as it is still refundable.
func (h *Host) Settle(now time.Duration, r *Reservation, used Amount) {
	if r.closed {
		return
	}
	r.closed = true
	unused := max(0, r.cost-used)
	if r.credit != nil {
		r.floor.Advance(now)
		back := min(unused, r.credit.left)
		r.floor.Refund(now, r.credit, back)
		unused -= back
	}
	for _, p := range r.parts {
		back := min(unused, p.amount)
		unused -= back
		h.refundLoan(now, r.workspace, p.loan, back)
	}
	if a := h.accounts[r.workspace]; a != nil && len(a.waiters) > 0 {
		h.serve(now, a)
	}
}

func (h *Host) refundLoan(now time.Duration, workspace string, l *held, back Amount) {
	l.users--
	l.spent -= back
	if !l.closed && now < l.expires {
		l.left += back
		return
	}
	if l.closed && back > 0 {
		h.settleLoan(workspace, l)
	}
}

func (h *Host) settleLoan(workspace string, l *held) {
	s := &quotapb.Settlement{Id: idToProto(l.id), Workspace: workspace, Elastic: l.lender == elastic, Spent: l.spent}
	if h.settlements == nil {
		h.settlements = map[string][]*quotapb.Settlement{}
	}
	h.settlements[l.lender] = append(h.settlements[l.lender], s)
}

// sendSettlements sends what has gathered, in batches to save messages.
func (h *Host) sendSettlements(now time.Duration) {
	if now < h.settleAt {
		return
	}
	h.settleAt = now + settleInterval
	for _, to := range slices.Sorted(maps.Keys(h.settlements)) {
		h.out = append(h.out, Message{To: to, Settle: &quotapb.SettleRequest{Settlements: h.settlements[to]}})
	}
	clear(h.settlements)
}

// plan asks lenders for what waiters need and for the demand of the near future.
func (h *Host) plan(now time.Duration, a *account) {
	// Refused requests count as demand too, so it is bounded by the rate.
	demand := min(a.demand, float64(h.records[a.workspace].GetSettled().GetRate()))
	prefetch := Amount(demand * prefetchHorizon.Seconds())
	missing := a.queued + prefetch - a.available(now)
	for _, l := range a.lenders {
		if l.askFor > 0 && now-l.sentAt < askLate {
			missing -= l.askFor
		}
	}
	// A small shortage of the prefetch alone is not worth a message.
	if missing <= 0 || (a.queued == 0 && missing < prefetch/3) {
		return
	}
	for _, l := range a.borrowOrder(now) {
		if missing <= 0 {
			return
		}
		amount := min(missing, l.estimate(now))
		if l.askFor > 0 || amount < min(missing, TokenUnit) {
			continue
		}
		h.ask(now, a, l, amount)
		missing -= amount
	}
	if a.queued == 0 {
		return
	}
	for _, l := range a.borrowOrder(now) {
		if missing <= 0 {
			return
		}
		if l.askFor > 0 || now < l.downUntil || now-l.reportedAt < probeInterval {
			continue
		}
		amount := min(missing, l.share.Burst)
		h.ask(now, a, l, amount)
		missing -= amount
	}
}

func (h *Host) ask(now time.Duration, a *account, l *lender, amount Amount) {
	h.sequence++
	l.asked = LoanID{Host: h.name, Incarnation: h.incarnation, Sequence: h.sequence}
	l.askFor, l.sentAt = amount, now
	h.out = append(h.out, Message{To: l.name, Borrow: &quotapb.BorrowRequest{
		Id: idToProto(l.asked), Workspace: a.workspace, Amount: amount, Elastic: l.name == elastic,
		Epoch: h.records[a.workspace].GetEpoch(),
	}})
}

// HandleBorrowResponse takes the answer of a lender. A loan that arrives too late is
// settled as unspent.
func (h *Host) HandleBorrowResponse(now time.Duration, to string, request *quotapb.BorrowRequest, answer *quotapb.BorrowResponse) {
	id := idFromProto(request.Id)
	a := h.accounts[request.Workspace]
	var l *lender
	if a != nil {
		l = a.lender(to)
	}
	// A repeated answer must not settle a loan that was spent, so what is not
	// expected is left to expire at the lender.
	if l == nil || l.asked != id || l.askFor == 0 {
		return
	}
	l.askFor = 0
	l.level, l.reportedAt, l.reported = max(0, answer.GetLevel()), now, true
	if answer.GetNotLeader() {
		l.level = 0
	}
	if granted := min(answer.GetGranted(), request.Amount); granted > 0 {
		loan := &held{id: id, lender: to, amount: granted, left: granted, expires: l.sentAt + BorrowerLoanTTL}
		if now >= loan.expires {
			h.settleLoan(request.Workspace, &held{id: id, lender: to, amount: granted})
			return
		}
		a.held = append(a.held, loan)
	}
	h.serve(now, a)
	if len(a.waiters) > 0 {
		h.plan(now, a)
	}
}

// HandleBorrowFailure notes that a lender did not answer.
func (h *Host) HandleBorrowFailure(now time.Duration, to string, request *quotapb.BorrowRequest) {
	a := h.accounts[request.Workspace]
	if a == nil {
		return
	}
	if l := a.lender(to); l != nil && l.asked == idFromProto(request.Id) && l.askFor > 0 {
		l.askFor = 0
		l.downUntil = now + lenderBackoff
		h.plan(now, a)
	}
}

// Lend answers a request for a loan. leaseTerm is the term of the valid leader
// lease, checked immediately before the call; zero without a lease.
func (h *Host) Lend(now time.Duration, in *quotapb.BorrowRequest, leaseTerm uint64) *quotapb.BorrowResponse {
	r := h.records[in.GetWorkspace()]
	out := &quotapb.BorrowResponse{Epoch: r.GetEpoch()}
	if in.GetElastic() && leaseTerm == 0 {
		out.NotLeader = true
		return out
	}
	bucket, reserve := h.lendingBucket(now, r, in.GetElastic(), leaseTerm)
	if bucket == nil {
		return out
	}
	out.Granted = bucket.Lend(now, idFromProto(in.GetId()), in.GetAmount(), reserve)
	out.Level = max(0, bucket.Level()-reserve)
	return out
}

// lendingBucket returns the bucket to lend from and what it keeps back: a floor
// keeps the near demand of its own host, but at most half.
func (h *Host) lendingBucket(now time.Duration, r *quotapb.Record, fromElastic bool, leaseTerm uint64) (*Bucket, Amount) {
	if r == nil {
		return nil, 0
	}
	if fromElastic {
		if h.elastic.buckets == nil || h.elastic.term != leaseTerm {
			return nil, 0
		}
		return h.elasticBucket(r.Workspace, inForce(r, elastic)), 0
	}
	a := h.account(now, r.Workspace)
	if a.floor == nil {
		return nil, 0
	}
	a.decay(now)
	reserve := a.queued + Amount(a.demand*prefetchHorizon.Seconds())
	return a.floor, min(reserve, a.floor.share.Burst/2)
}

// HandleSettlements takes settlements of loans that this host gave.
func (h *Host) HandleSettlements(now time.Duration, in *quotapb.SettleRequest) {
	for _, s := range in.GetSettlements() {
		var bucket *Bucket
		if s.GetElastic() {
			bucket = h.elastic.buckets[s.GetWorkspace()]
		} else if a := h.accounts[s.GetWorkspace()]; a != nil {
			bucket = a.floor
		}
		if bucket != nil {
			bucket.SettleLoan(now, idFromProto(s.GetId()), s.GetSpent())
		}
	}
}

// Tick returns expired loans, serves waiters, prefetches, and drops idle state.
// Call it every TickInterval.
func (h *Host) Tick(now time.Duration) {
	h.sendSettlements(now)
	h.active = len(h.settlements) > 0
	for name, a := range h.accounts {
		h.tickAccount(now, a)
		h.active = h.active || a.active(now)
		if a.idle(now) {
			delete(h.accounts, name)
		}
	}
	if now < h.sweepAt {
		return
	}
	h.sweepAt = now + sweepInterval
	for name, b := range h.elastic.buckets {
		b.Advance(now)
		if b.droppable() && now-h.elastic.since > h.fillTime(name) {
			delete(h.elastic.buckets, name)
		}
	}
}

// Idle reports whether no workspace had waiters, loans or recent demand at the
// last Tick and none was reserved from since.
func (h *Host) Idle() bool { return !h.active }

// TickInterval is the longest time between two calls of Tick.
const TickInterval = 25 * time.Millisecond

// fillTime is how long an elastic bucket takes until it is full; a bucket that
// is created anew after this time is full again.
func (h *Host) fillTime(workspace string) time.Duration {
	share := inForce(h.records[workspace], elastic)
	if share.Rate <= 0 {
		return 0
	}
	return LenderLoanTTL + time.Duration(1.02*float64(share.Burst)/float64(share.Rate)*float64(time.Second))
}

func (h *Host) tickAccount(now time.Duration, a *account) {
	for _, l := range a.held {
		if !l.closed && now >= l.expires {
			l.closed = true
			if l.left > 0 { // a loan that was spent ends at the lender by itself
				l.left = 0
				h.settleLoan(a.workspace, l)
			}
		}
	}
	a.held = slices.DeleteFunc(a.held, func(l *held) bool { return l.closed })
	for _, l := range a.lenders {
		if l.askFor > 0 && now-l.sentAt >= BorrowerLoanTTL {
			l.askFor, l.downUntil = 0, now+lenderBackoff
		}
	}
	if len(a.waiters) > 0 {
		h.serve(now, a)
	}
	if len(a.waiters) > 0 || now-a.seenAt < prefetchHorizon {
		h.plan(now, a)
	}
}

// Confirmations lists the epochs whose decreases are in force on this host. A
// host that has just started waits until the loans of its former process have
// certainly expired.
func (h *Host) Confirmations(now time.Duration, leaseTerm uint64) []Confirmation {
	own := Confirmation{Host: h.name}
	leader := Confirmation{Host: elastic, Term: leaseTerm}
	for _, name := range slices.Sorted(maps.Keys(h.deciding)) {
		r := h.records[name]
		done := &quotapb.Confirmed{Workspace: name, Epoch: r.Epoch}
		if slices.Contains(r.Pending, h.name) && now >= h.start+LenderLoanTTL && h.floorInForce(now, name) {
			own.Confirmed = append(own.Confirmed, done)
		}
		if slices.Contains(r.Pending, elastic) && h.elasticInForce(now, name, leaseTerm) {
			leader.Confirmed = append(leader.Confirmed, done)
		}
	}
	return slices.DeleteFunc([]Confirmation{own, leader}, func(c Confirmation) bool { return len(c.Confirmed) == 0 })
}

func (h *Host) floorInForce(now time.Duration, workspace string) bool {
	a := h.accounts[workspace]
	if a == nil || a.floor == nil {
		return true
	}
	a.floor.Advance(now)
	return a.floor.WithinShare()
}

func (h *Host) elasticInForce(now time.Duration, workspace string, leaseTerm uint64) bool {
	if leaseTerm == 0 || h.elastic.term != leaseTerm || now < h.elastic.since+LenderLoanTTL {
		return false
	}
	b := h.elastic.buckets[workspace]
	if b == nil {
		return true
	}
	b.Advance(now)
	return b.WithinShare()
}

func idToProto(id LoanID) *quotapb.LoanID {
	return &quotapb.LoanID{Host: id.Host, Incarnation: id.Incarnation, Sequence: id.Sequence}
}

func idFromProto(id *quotapb.LoanID) LoanID {
	return LoanID{Host: id.GetHost(), Incarnation: id.GetIncarnation(), Sequence: id.GetSequence()}
}
