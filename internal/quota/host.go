package quota

import (
	"maps"
	"slices"
	"time"

	"geraniumturn.example/geraniumturn/internal/quota/quotapb"
)

// Message is a request to be sent to another host. Exactly one of Borrow and
// Settle is set.
type Message struct {
	// To names the lender; empty means the elastic bucket, which the leader holds.
	To     string
	Borrow *quotapb.BorrowRequest
	Settle *quotapb.SettleRequest
}

// Confirmation lists epochs whose decreases are in effect on a host, or in the
// leader's elastic buckets when Host is empty.
type Confirmation struct {
	Host      string
	Term      uint64
	Confirmed []*quotapb.Confirmed
}

// Host is the quota state of one host. It does no I/O; callers pass the
// reading of the monotonic clock and serialise the calls. Invariant: when a
// holder has no account for a workspace, its floor bucket is full.
type Host struct {
	name         string
	dataCentre   string
	incarnation  uint64
	start        time.Duration
	loanSequence uint64
	index        uint64
	records      map[string]*quotapb.Record
	accounts     map[string]*account
	// changing holds the workspaces whose next allocation is pending.
	changing map[string]bool
	elastic  elasticBuckets
	outbox   []Message
	// settlements are batched by lender until nextSettleAt.
	settlements  map[string][]*quotapb.Settlement
	nextSettleAt time.Duration
	nextSweepAt  time.Duration
	// active is false when the next Tick may come as late as idleTick.
	active bool
}

const (
	// settleInterval is how long settlements are batched before they are sent.
	settleInterval = 100 * time.Millisecond
	// sweepInterval is how often full elastic buckets are dropped.
	sweepInterval = time.Second
	// probeInterval is the minimum time from a lender's last report to a request for
	// more than its estimated level, which is sent only while requests wait. The
	// lender may have received refunds, which the estimate does not include.
	probeInterval = 100 * time.Millisecond
)

// elasticBuckets holds the elastic buckets that this host lends from during one
// term as leader.
type elasticBuckets struct {
	term    uint64
	since   time.Duration
	buckets map[string]*Bucket
}

// NewHost returns the state of a host that has just started.
func NewHost(name, dataCentre string, incarnation uint64, now time.Duration) *Host {
	return &Host{name: name, dataCentre: dataCentre, incarnation: incarnation, start: now,
		records: map[string]*quotapb.Record{}, accounts: map[string]*account{}, changing: map[string]bool{}}
}

// Index is the log index up to which the host has received all records.
func (h *Host) Index() uint64 { return h.index }

// HasAllocation reports whether the host has received an allocation of the
// workspace.
func (h *Host) HasAllocation(workspace string) bool { return h.records[workspace] != nil }

// TakeMessages returns the messages to send since the last call.
func (h *Host) TakeMessages() []Message {
	out := h.outbox
	h.outbox = nil
	return out
}

// Apply installs records from the replicated state. Decreases take effect at
// once; increases too, but not before the loans that a previous process of this
// host granted have expired.
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
		delete(h.changing, r.Workspace)
		if r.Next != nil {
			h.changing[r.Workspace] = true
		}
		if a := h.accounts[r.Workspace]; a != nil {
			a.setLenders(r, h.name, h.dataCentre)
		}
	}
}

func (h *Host) applyFloor(now time.Duration, old, r *quotapb.Record) {
	before, after := effectiveShare(old, h.name), effectiveShare(r, h.name)
	if before == after {
		return
	}
	a := h.accounts[r.Workspace]
	if a == nil {
		a = &account{workspace: r.Workspace, demandAt: now}
		h.accounts[r.Workspace] = a
	}
	if a.floor == nil {
		a.floor = newFullBucket(before, now)
	}
	a.floor.SetShare(now, after, max(now, h.start+LenderLoanTTL))
}

func (h *Host) applyElastic(now time.Duration, old, r *quotapb.Record) {
	before, after := effectiveShare(old, elasticName), effectiveShare(r, elasticName)
	if h.elastic.buckets == nil || before == after {
		return
	}
	h.elasticBucket(r.Workspace, before).SetShare(now, after, max(now, h.elastic.since+LenderLoanTTL))
}

// StartElastic makes this host the lender of elastic tokens for its term as
// leader. The buckets start empty and refill only when all loans of the previous
// leader have expired. Call it only after a command of the same term was
// applied, so that all records of earlier terms are known.
func (h *Host) StartElastic(now time.Duration, term uint64) {
	h.elastic = elasticBuckets{term: term, since: now, buckets: map[string]*Bucket{}}
}

// ElasticTerm is the term of the elastic buckets of this host; 0 means none.
func (h *Host) ElasticTerm() uint64 { return h.elastic.term }

// elasticBucket returns the bucket of the workspace. A missing one is created as
// if it had refilled since the start of the term: it was full when it was
// dropped, or has not been used in this term.
func (h *Host) elasticBucket(workspace string, share Share) *Bucket {
	b := h.elastic.buckets[workspace]
	if b == nil {
		b = NewBucket(share, h.elastic.since+LenderLoanTTL)
		h.elastic.buckets[workspace] = b
	}
	return b
}

// account returns the state of the workspace and creates it when needed. It
// returns nil when the workspace has no allocation.
func (h *Host) account(now time.Duration, workspace string) *account {
	a := h.accounts[workspace]
	r := h.records[workspace]
	if r == nil {
		return nil
	}
	if a == nil {
		a = &account{workspace: workspace, demandAt: now}
		if share := effectiveShare(r, h.name); share != (Share{}) {
			a.floor = newFullBucket(share, now)
		}
		h.accounts[workspace] = a
	}
	if a.lenders == nil {
		a.setLenders(r, h.name, h.dataCentre)
	}
	return a
}

// Reserve returns a reservation when the cost is available at once, a waiter when
// loans can probably cover it within WaitLimit, and a refusal otherwise.
func (h *Host) Reserve(now time.Duration, workspace string, cost Amount) (*Reservation, *Waiter, *Refusal) {
	a := h.account(now, workspace)
	if a == nil {
		return nil, nil, &Refusal{RetryAfter: time.Second}
	}
	if burst := min(h.records[workspace].Settled.GetBurst(), newestAllocation(h.records[workspace]).GetBurst()); cost > burst && burst > 0 {
		return nil, nil, &Refusal{TooLarge: true}
	}
	a.recordDemand(now, cost)
	h.active = true
	if len(a.waiters) == 0 {
		if r := a.spend(now, cost); r != nil {
			h.planLoans(now, a)
			return r, nil, nil
		}
	}
	if wait := a.estimateWait(now, cost); wait > WaitLimit || len(a.waiters) >= maxWaiters {
		return nil, nil, &Refusal{RetryAfter: retryAfter(wait)}
	}
	w := &Waiter{Ready: make(chan struct{}), cost: cost, deadline: now + WaitLimit}
	a.waiters = append(a.waiters, w)
	a.queuedCost += cost
	h.planLoans(now, a)
	return nil, w, nil
}

func retryAfter(wait time.Duration) time.Duration { return max(minRetryAfter, min(wait, time.Hour)) }

// CancelWait ends the wait of a request whose caller has left. It refunds a
// reservation that was made in the meantime.
func (h *Host) CancelWait(now time.Duration, workspace string, w *Waiter) {
	if w.Reservation != nil {
		h.Settle(now, w.Reservation, 0)
		return
	}
	if a := h.accounts[workspace]; a != nil && !w.done {
		a.completeWaiter(w, nil, &Refusal{RetryAfter: minRetryAfter})
		a.waiters = slices.DeleteFunc(a.waiters, func(o *Waiter) bool { return o == w })
	}
}

func (a *account) completeWaiter(w *Waiter, r *Reservation, refusal *Refusal) {
	w.Reservation, w.Refusal, w.done = r, refusal, true
	a.queuedCost -= w.cost
	close(w.Ready)
}

// serveWaiters reserves tokens for waiters in FIFO order and refuses those whose
// deadline has passed.
func (h *Host) serveWaiters(now time.Duration, a *account) {
	n := 0
	for n < len(a.waiters) {
		w := a.waiters[n]
		if r := a.spend(now, w.cost); r != nil {
			a.completeWaiter(w, r, nil)
		} else if now >= w.deadline {
			a.completeWaiter(w, nil, &Refusal{RetryAfter: retryAfter(a.estimateWait(now, 0))})
		} else {
			break
		}
		n++
	}
	if n > 0 {
		a.waiters = slices.Delete(a.waiters, 0, n)
	}
}

// Settle ends a reservation and returns what was not used to the floor and the
// loans that it came from, as far as it is still refundable.
func (h *Host) Settle(now time.Duration, r *Reservation, used Amount) {
	if r.closed {
		return
	}
	r.closed = true
	unused := max(0, r.cost-used)
	if r.credit != nil {
		r.floor.Advance(now)
		refunded := min(unused, r.credit.remaining)
		r.floor.Refund(now, r.credit, refunded)
		unused -= refunded
	}
	for _, p := range r.loanParts {
		refunded := min(unused, p.amount)
		unused -= refunded
		h.refundLoan(now, r.workspace, p.loan, refunded)
	}
	if a := h.accounts[r.workspace]; a != nil && len(a.waiters) > 0 {
		h.serveWaiters(now, a)
	}
}

func (h *Host) refundLoan(now time.Duration, workspace string, l *borrowedLoan, refunded Amount) {
	l.openReservations--
	l.spent -= refunded
	if !l.closed && now < l.expires {
		l.remaining += refunded
		return
	}
	if l.closed && refunded > 0 {
		h.queueSettlement(workspace, l)
	}
}

func (h *Host) queueSettlement(workspace string, l *borrowedLoan) {
	s := &quotapb.Settlement{Id: idToProto(l.id), Workspace: workspace, Elastic: l.lender == elasticName, Spent: l.spent}
	if h.settlements == nil {
		h.settlements = map[string][]*quotapb.Settlement{}
	}
	h.settlements[l.lender] = append(h.settlements[l.lender], s)
}

// sendSettlements queues one message per lender with the settlements of the last
// settleInterval.
func (h *Host) sendSettlements(now time.Duration) {
	if now < h.nextSettleAt {
		return
	}
	h.nextSettleAt = now + settleInterval
	for _, to := range slices.Sorted(maps.Keys(h.settlements)) {
		h.outbox = append(h.outbox, Message{To: to, Settle: &quotapb.SettleRequest{Settlements: h.settlements[to]}})
	}
	clear(h.settlements)
}

// planLoans requests loans for the cost of the waiters and for the estimated
// demand within prefetchHorizon.
func (h *Host) planLoans(now time.Duration, a *account) {
	// Refused requests count as demand too, so the demand is bounded by the rate.
	demand := min(a.demand, float64(h.records[a.workspace].GetSettled().GetRate()))
	prefetch := Amount(demand * prefetchHorizon.Seconds())
	shortfall := a.queuedCost + prefetch - a.available(now)
	for _, l := range a.lenders {
		if l.requestedAmount > 0 && now-l.requestedAt < loanRequestTimeout {
			shortfall -= l.requestedAmount
		}
	}
	// A small shortfall of the prefetch alone is not worth a message.
	if shortfall <= 0 || (a.queuedCost == 0 && shortfall < prefetch/3) {
		return
	}
	for _, l := range a.borrowOrder(now) {
		if shortfall <= 0 {
			return
		}
		amount := min(shortfall, l.estimatedLevel(now))
		if l.requestedAmount > 0 || amount < min(shortfall, TokenUnit) {
			continue
		}
		h.requestLoan(now, a, l, amount)
		shortfall -= amount
	}
	if a.queuedCost == 0 {
		return
	}
	for _, l := range a.borrowOrder(now) {
		if shortfall <= 0 {
			return
		}
		if l.requestedAmount > 0 || now < l.backoffUntil || now-l.reportedAt < probeInterval {
			continue
		}
		amount := min(shortfall, l.share.Burst)
		h.requestLoan(now, a, l, amount)
		shortfall -= amount
	}
}

func (h *Host) requestLoan(now time.Duration, a *account, l *lender, amount Amount) {
	h.loanSequence++
	l.requestID = LoanID{Host: h.name, Incarnation: h.incarnation, Sequence: h.loanSequence}
	l.requestedAmount, l.requestedAt = amount, now
	h.outbox = append(h.outbox, Message{To: l.name, Borrow: &quotapb.BorrowRequest{
		Id: idToProto(l.requestID), Workspace: a.workspace, Amount: amount, Elastic: l.name == elasticName,
		Epoch: h.records[a.workspace].GetEpoch(),
	}})
}

// HandleBorrowResponse processes a lender's response. A loan that arrives at or
// after its expiry is settled as unspent.
func (h *Host) HandleBorrowResponse(now time.Duration, lenderName string, request *quotapb.BorrowRequest, response *quotapb.BorrowResponse) {
	id := idFromProto(request.Id)
	a := h.accounts[request.Workspace]
	var l *lender
	if a != nil {
		l = a.lender(lenderName)
	}
	// A duplicate response must not settle a loan that was spent. A response
	// without a matching request is therefore ignored, and its loan expires at
	// the lender.
	if l == nil || l.requestID != id || l.requestedAmount == 0 {
		return
	}
	l.requestedAmount = 0
	l.level, l.reportedAt, l.reported = max(0, response.GetLevel()), now, true
	if response.GetNotLeader() {
		l.level = 0
	}
	if granted := min(response.GetGranted(), request.Amount); granted > 0 {
		loan := &borrowedLoan{id: id, lender: lenderName, amount: granted, remaining: granted, expires: l.requestedAt + BorrowerLoanTTL}
		if now >= loan.expires {
			h.queueSettlement(request.Workspace, &borrowedLoan{id: id, lender: lenderName, amount: granted})
			return
		}
		a.loans = append(a.loans, loan)
	}
	h.serveWaiters(now, a)
	if len(a.waiters) > 0 {
		h.planLoans(now, a)
	}
}

// HandleBorrowFailure puts a lender that did not respond into backoff and
// requests loans from other lenders.
func (h *Host) HandleBorrowFailure(now time.Duration, lenderName string, request *quotapb.BorrowRequest) {
	a := h.accounts[request.Workspace]
	if a == nil {
		return
	}
	if l := a.lender(lenderName); l != nil && l.requestID == idFromProto(request.Id) && l.requestedAmount > 0 {
		l.requestedAmount = 0
		l.backoffUntil = now + lenderBackoff
		h.planLoans(now, a)
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

// lendingBucket returns the bucket to lend from and the reserve to leave in it.
// A floor reserves the queued cost and the prefetch demand of its own host, but
// at most half of its burst.
func (h *Host) lendingBucket(now time.Duration, r *quotapb.Record, fromElastic bool, leaseTerm uint64) (*Bucket, Amount) {
	if r == nil {
		return nil, 0
	}
	if fromElastic {
		if h.elastic.buckets == nil || h.elastic.term != leaseTerm {
			return nil, 0
		}
		return h.elasticBucket(r.Workspace, effectiveShare(r, elasticName)), 0
	}
	a := h.account(now, r.Workspace)
	if a.floor == nil {
		return nil, 0
	}
	a.decayDemand(now)
	reserve := a.queuedCost + Amount(a.demand*prefetchHorizon.Seconds())
	return a.floor, min(reserve, a.floor.share.Burst/2)
}

// HandleSettlements applies settlements of loans that this host granted.
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

// Tick settles expired loans, serves waiters, prefetches tokens and drops idle
// state. Call it every TickInterval.
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
	if now < h.nextSweepAt {
		return
	}
	h.nextSweepAt = now + sweepInterval
	for name, b := range h.elastic.buckets {
		b.Advance(now)
		if b.droppable() && now-h.elastic.since > h.elasticFillTime(name) {
			delete(h.elastic.buckets, name)
		}
	}
}

// Idle reports whether no workspace had waiters, loans or recent demand at the
// last Tick and nothing was reserved since.
func (h *Host) Idle() bool { return !h.active }

// TickInterval is the longest time between two calls of Tick.
const TickInterval = 25 * time.Millisecond

// elasticFillTime is the time after the start of a term at which an elastic
// bucket is full. A bucket that is created again after this time is full too.
func (h *Host) elasticFillTime(workspace string) time.Duration {
	share := effectiveShare(h.records[workspace], elasticName)
	if share.Rate <= 0 {
		return 0
	}
	return LenderLoanTTL + time.Duration(1.02*float64(share.Burst)/float64(share.Rate)*float64(time.Second))
}

func (h *Host) tickAccount(now time.Duration, a *account) {
	for _, l := range a.loans {
		if !l.closed && now >= l.expires {
			l.closed = true
			if l.remaining > 0 { // a loan that was spent in full expires at the lender without a settlement
				l.remaining = 0
				h.queueSettlement(a.workspace, l)
			}
		}
	}
	a.loans = slices.DeleteFunc(a.loans, func(l *borrowedLoan) bool { return l.closed })
	for _, l := range a.lenders {
		if l.requestedAmount > 0 && now-l.requestedAt >= BorrowerLoanTTL {
			l.requestedAmount, l.backoffUntil = 0, now+lenderBackoff
		}
	}
	if len(a.waiters) > 0 {
		h.serveWaiters(now, a)
	}
	if len(a.waiters) > 0 || now-a.demandAt < prefetchHorizon {
		h.planLoans(now, a)
	}
}

// Confirmations lists the epochs whose decreases are in effect on this host. A
// host that has just started waits until the loans of its previous process have
// expired.
func (h *Host) Confirmations(now time.Duration, leaseTerm uint64) []Confirmation {
	own := Confirmation{Host: h.name}
	leader := Confirmation{Host: elasticName, Term: leaseTerm}
	for _, name := range slices.Sorted(maps.Keys(h.changing)) {
		r := h.records[name]
		confirmed := &quotapb.Confirmed{Workspace: name, Epoch: r.Epoch}
		if slices.Contains(r.Pending, h.name) && now >= h.start+LenderLoanTTL && h.floorWithinShare(now, name) {
			own.Confirmed = append(own.Confirmed, confirmed)
		}
		if slices.Contains(r.Pending, elasticName) && h.elasticWithinShare(now, name, leaseTerm) {
			leader.Confirmed = append(leader.Confirmed, confirmed)
		}
	}
	return slices.DeleteFunc([]Confirmation{own, leader}, func(c Confirmation) bool { return len(c.Confirmed) == 0 })
}

func (h *Host) floorWithinShare(now time.Duration, workspace string) bool {
	a := h.accounts[workspace]
	if a == nil || a.floor == nil {
		return true
	}
	a.floor.Advance(now)
	return a.floor.WithinShare()
}

func (h *Host) elasticWithinShare(now time.Duration, workspace string, leaseTerm uint64) bool {
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
