package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"geraniumturn.example/geraniumturn/internal/quota/quotapb"
)

const (
	// demandWindow is the time constant of the demand estimate.
	demandWindow = time.Second
	// prefetchHorizon is how much recent demand a host keeps at hand.
	prefetchHorizon = 300 * time.Millisecond
	// WaitLimit bounds the wait for loans before a refusal. With 400 ms, demand
	// that moves between data centres was refused two to three times as often.
	WaitLimit = 800 * time.Millisecond
	// askLate is after what time an unanswered request for a loan no longer
	// counts as on its way.
	askLate = 180 * time.Millisecond
	// lenderBackoff is how long a lender that failed is not asked.
	lenderBackoff = time.Second
	// idleLimit is how long a workspace without demand keeps its estimates.
	idleLimit  = 5 * time.Second
	minRetry   = 50 * time.Millisecond
	maxWaiters = 1024
)

// held is a loan on the borrower's side.
type held struct {
	id      LoanID
	lender  string
	amount  Amount
	left    Amount
	spent   Amount
	expires time.Duration
	// users counts open reservations that may still refund into the loan.
	users  int
	closed bool
}

// lender is what a host knows of one lender of a workspace.
type lender struct {
	name  string
	share Share
	near  bool
	// level is what the lender could lend at the time of its last answer.
	level      Amount
	reportedAt time.Duration
	reported   bool
	downUntil  time.Duration
	// asked is the request for a loan that is on its way.
	asked  LoanID
	askFor Amount
	sentAt time.Duration
}

// estimate is what the lender can probably lend now.
func (l *lender) estimate(now time.Duration) Amount {
	switch {
	case now < l.downUntil:
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
	// floor is nil when the host is no holder.
	floor   *Bucket
	held    []*held
	lenders []*lender
	demand  float64
	seenAt  time.Duration
	waiters []*Waiter
	queued  Amount
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
	// TooLarge is true when the cost exceeds the burst.
	TooLarge   bool
	RetryAfter time.Duration
}

// Reservation is an amount taken for one request.
type Reservation struct {
	workspace string
	cost      Amount
	floor     *Bucket
	credit    *Credit
	parts     []part
	closed    bool
}

type part struct {
	loan   *held
	amount Amount
}

func (a *account) setLenders(r *quotapb.Record, self, dataCentre string) {
	known := map[string]*lender{}
	for _, l := range a.lenders {
		known[l.name] = l
	}
	a.lenders = nil
	add := func(name string, near bool) {
		share := inForce(r, name)
		if share.Burst <= 0 || name == self {
			return
		}
		l := known[name]
		if l == nil {
			l = &lender{name: name, near: near}
		}
		l.share = share
		a.lenders = append(a.lenders, l)
	}
	add(elastic, false)
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

// note adds a request to the demand estimate.
func (a *account) note(now time.Duration, cost Amount) {
	a.decay(now)
	a.demand += float64(cost) / demandWindow.Seconds()
}

func (a *account) decay(now time.Duration) {
	if now > a.seenAt {
		a.demand *= math.Exp(-(now - a.seenAt).Seconds() / demandWindow.Seconds())
		a.seenAt = now
	}
}

// available is what can be spent at once on this host.
func (a *account) available(now time.Duration) Amount {
	var sum Amount
	for _, l := range a.held {
		if !l.closed && now < l.expires {
			sum += l.left
		}
	}
	if a.floor != nil {
		a.floor.Advance(now)
		sum += a.floor.Level()
	}
	return sum
}

// spend takes the cost from loans first, because they expire, and then from
// the floor. Invariant: no loan is spent at or after its expiry.
func (a *account) spend(now time.Duration, cost Amount) *Reservation {
	if a.available(now) < cost {
		return nil
	}
	r := &Reservation{workspace: a.workspace, cost: cost}
	rest := cost
	for _, l := range a.held {
		take := min(rest, l.left)
		if l.closed || now >= l.expires || take <= 0 {
			continue
		}
		l.left -= take
		l.spent += take
		l.users++
		r.parts = append(r.parts, part{l, take})
		rest -= take
	}
	if rest > 0 {
		r.floor = a.floor
		r.credit = a.floor.Reserve(now, rest)
	}
	return r
}

// reachable is the rate of the floor and of the lenders that answer.
func (a *account) reachable(now time.Duration) Amount {
	var rate Amount
	if a.floor != nil {
		rate = a.floor.share.Rate
	}
	for _, l := range a.lenders {
		if now >= l.downUntil {
			rate += l.share.Rate
		}
	}
	return rate
}

// shortage estimates how long it takes until the fleet can cover the cost
// after all waiters; zero when it probably can now.
func (a *account) shortage(now time.Duration, cost Amount) time.Duration {
	missing := a.queued + cost - a.available(now)
	for _, l := range a.lenders {
		missing -= l.estimate(now)
	}
	if missing <= 0 {
		return 0
	}
	rate := a.reachable(now)
	if rate <= 0 {
		return time.Hour
	}
	return time.Duration(float64(missing) / float64(rate) * float64(time.Second))
}

// borrowOrder ranks lenders: near ones first, then those that have most.
func (a *account) borrowOrder(now time.Duration) []*lender {
	out := slices.Clone(a.lenders)
	slices.SortStableFunc(out, func(x, y *lender) int {
		if x.near != y.near {
			if x.near {
				return -1
			}
			return 1
		}
		return cmp.Compare(y.estimate(now), x.estimate(now))
	})
	return out
}

// idle reports whether nothing but a full bucket is lost when the account is dropped.
// active reports whether the account needs Tick at TickInterval. A floor that
// only refills does not.
func (a *account) active(now time.Duration) bool {
	if len(a.held) > 0 || len(a.waiters) > 0 || now-a.seenAt < prefetchHorizon {
		return true
	}
	return slices.ContainsFunc(a.lenders, func(l *lender) bool { return l.askFor > 0 })
}

func (a *account) idle(now time.Duration) bool {
	if len(a.held) > 0 || len(a.waiters) > 0 || now-a.seenAt < idleLimit {
		return false
	}
	if a.floor == nil {
		return true
	}
	a.floor.Advance(now)
	return a.floor.droppable()
}
