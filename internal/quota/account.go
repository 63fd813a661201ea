package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"geraniumturn.example/geraniumturn/internal/quota/quotapb"
)

const (
	// demandWindow is the time constant of the exponentially decaying demand
	// estimate.
	demandWindow = time.Second
	// prefetchHorizon is how far ahead a host borrows: it keeps enough tokens
	// available for this much time at the estimated demand.
	prefetchHorizon = 300 * time.Millisecond
	// WaitLimit bounds how long a request waits for loans before it is refused.
	// With 400 ms, demand that moves between data centres was refused two to
	// three times as often.
	WaitLimit = 800 * time.Millisecond
	// loanRequestTimeout is the age at which an unanswered loan request is no
	// longer counted as tokens that will arrive.
	loanRequestTimeout = 180 * time.Millisecond
	// lenderBackoff is how long no loan is requested from a lender that failed.
	lenderBackoff = time.Second
	// accountIdleTimeout is how long a workspace without demand keeps its demand
	// estimate and the levels reported by its lenders.
	accountIdleTimeout = 5 * time.Second
	minRetryAfter      = 50 * time.Millisecond
	maxWaiters         = 1024
)

// borrowedLoan is a loan as the borrower tracks it.
type borrowedLoan struct {
	id        LoanID
	lender    string
	amount    Amount
	remaining Amount
	spent     Amount
	expires   time.Duration
	// openReservations counts the open reservations that may still refund into
	// the loan.
	openReservations int
	closed           bool
}

// lender is the state that a borrower keeps about one lender of a workspace.
type lender struct {
	name           string
	share          Share
	sameDataCentre bool
	// level is the amount that the lender reported as available in its last
	// response.
	level        Amount
	reportedAt   time.Duration
	reported     bool
	backoffUntil time.Duration
	// requestID identifies the loan request in flight; requestedAmount is 0 when
	// there is none.
	requestID       LoanID
	requestedAmount Amount
	requestedAt     time.Duration
}

// estimatedLevel estimates what the lender can lend now: nothing during its
// backoff, its whole burst without a recent report, and otherwise the reported
// level plus the refill since then.
func (l *lender) estimatedLevel(now time.Duration) Amount {
	switch {
	case now < l.backoffUntil:
		return 0
	case !l.reported || now-l.reportedAt > BorrowerLoanTTL:
		return l.share.Burst
	}
	earned := float64(l.share.Rate) * (now - l.reportedAt).Seconds()
	return min(l.share.Burst, l.level+Amount(earned))
}

// account is the state of one workspace on a host.
type account struct {
	workspace string
	// floor is nil when the host holds no floor share of the workspace.
	floor   *Bucket
	loans   []*borrowedLoan
	lenders []*lender
	// demand is the estimated demand, in amount per second, as of demandAt.
	demand     float64
	demandAt   time.Duration
	waiters    []*Waiter
	queuedCost Amount
}

// Waiter is a request that waits for loans. Ready is closed when either
// Reservation or Refusal is set.
type Waiter struct {
	Ready       chan struct{}
	Reservation *Reservation
	Refusal     *Refusal
	cost        Amount
	deadline    time.Duration
	done        bool
}

// Refusal says why tokens were not reserved.
type Refusal struct {
	// TooLarge is true when the cost exceeds the burst, so that no wait helps.
	TooLarge   bool
	RetryAfter time.Duration
}

// Reservation is the amount reserved for one request. It comes from the floor,
// from loans, or from both.
type Reservation struct {
	workspace string
	cost      Amount
	floor     *Bucket
	credit    *Credit
	loanParts []loanPart
	closed    bool
}

type loanPart struct {
	loan   *borrowedLoan
	amount Amount
}

func (a *account) setLenders(r *quotapb.Record, self, dataCentre string) {
	existing := map[string]*lender{}
	for _, l := range a.lenders {
		existing[l.name] = l
	}
	a.lenders = nil
	add := func(name string, sameDataCentre bool) {
		share := effectiveShare(r, name)
		if share.Burst <= 0 || name == self {
			return
		}
		l := existing[name]
		if l == nil {
			l = &lender{name: name, sameDataCentre: sameDataCentre}
		}
		l.share = share
		a.lenders = append(a.lenders, l)
	}
	add(elasticName, false)
	for _, site := range r.GetSettled().GetSites() {
		for _, holder := range site.Holders {
			add(holder, site.DataCentre == dataCentre)
		}
	}
}

func (a *account) lender(name string) *lender {
	for _, l := range a.lenders {
		if l.name == name {
			return l
		}
	}
	return nil
}

// recordDemand adds a request to the demand estimate.
func (a *account) recordDemand(now time.Duration, cost Amount) {
	a.decayDemand(now)
	a.demand += float64(cost) / demandWindow.Seconds()
}

func (a *account) decayDemand(now time.Duration) {
	if now > a.demandAt {
		a.demand *= math.Exp(-(now - a.demandAt).Seconds() / demandWindow.Seconds())
		a.demandAt = now
	}
}

// available returns the amount that this host can spend without borrowing more.
func (a *account) available(now time.Duration) Amount {
	var sum Amount
	for _, l := range a.loans {
		if !l.closed && now < l.expires {
			sum += l.remaining
		}
	}
	if a.floor != nil {
		a.floor.Advance(now)
		sum += a.floor.Level()
	}
	return sum
}

// spend takes the cost from loans first, because they expire, and then from
// the floor. It returns nil when less than the cost is available. Invariant: no
// loan is spent at or after its expiry.
func (a *account) spend(now time.Duration, cost Amount) *Reservation {
	if a.available(now) < cost {
		return nil
	}
	r := &Reservation{workspace: a.workspace, cost: cost}
	remaining := cost
	for _, l := range a.loans {
		taken := min(remaining, l.remaining)
		if l.closed || now >= l.expires || taken <= 0 {
			continue
		}
		l.remaining -= taken
		l.spent += taken
		l.openReservations++
		r.loanParts = append(r.loanParts, loanPart{l, taken})
		remaining -= taken
	}
	if remaining > 0 {
		r.floor = a.floor
		r.credit = a.floor.Reserve(now, remaining)
	}
	return r
}

// reachableRate is the rate of the floor and of the lenders that are not in
// backoff.
func (a *account) reachableRate(now time.Duration) Amount {
	var rate Amount
	if a.floor != nil {
		rate = a.floor.share.Rate
	}
	for _, l := range a.lenders {
		if now >= l.backoffUntil {
			rate += l.share.Rate
		}
	}
	return rate
}

// estimateWait estimates the time until the buckets of all hosts can cover the
// cost after that of all waiters. It is 0 when they probably can now.
func (a *account) estimateWait(now time.Duration, cost Amount) time.Duration {
	shortfall := a.queuedCost + cost - a.available(now)
	for _, l := range a.lenders {
		shortfall -= l.estimatedLevel(now)
	}
	if shortfall <= 0 {
		return 0
	}
	rate := a.reachableRate(now)
	if rate <= 0 {
		return time.Hour
	}
	return time.Duration(float64(shortfall) / float64(rate) * float64(time.Second))
}

// borrowOrder sorts lenders: those in the host's own data centre first, then by
// estimated level, highest first.
func (a *account) borrowOrder(now time.Duration) []*lender {
	out := slices.Clone(a.lenders)
	slices.SortStableFunc(out, func(x, y *lender) int {
		if x.sameDataCentre != y.sameDataCentre {
			if x.sameDataCentre {
				return -1
			}
			return 1
		}
		return cmp.Compare(y.estimatedLevel(now), x.estimatedLevel(now))
	})
	return out
}

// active reports whether the account needs Tick at TickInterval. A floor that
// only refills does not.
func (a *account) active(now time.Duration) bool {
	if len(a.loans) > 0 || len(a.waiters) > 0 || now-a.demandAt < prefetchHorizon {
		return true
	}
	return slices.ContainsFunc(a.lenders, func(l *lender) bool { return l.requestedAmount > 0 })
}

// idle reports whether the account can be dropped. A dropped floor counts as
// full, so it must be full now.
func (a *account) idle(now time.Duration) bool {
	if len(a.loans) > 0 || len(a.waiters) > 0 || now-a.demandAt < accountIdleTimeout {
		return false
	}
	if a.floor == nil {
		return true
	}
	a.floor.Advance(now)
	return a.floor.droppable()
}
