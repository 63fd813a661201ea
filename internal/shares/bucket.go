package shares

import "time"

// rateMargin uses part of the tolerance of the limit, so that uneven demand
// between hosts does not cause refusals within the rate.
const rateMargin = 1.03

// Bucket is a host's part of a workspace's rate and burst. Invariant: the level
// never exceeds the host's fraction of the burst and its spare, and rises by its fraction of the
// rate.
type Bucket struct {
	rate, burst float64
	// spare is this host's part of the tolerance of the limit.
	slack      float64
	fraction   float64
	leaseEnd   time.Duration
	level      float64
	refilledAt time.Duration
	// asked counts what callers asked since the last call of Demand.
	requested       float64
	demandUpdatedAt time.Duration
	demand          float64
}

// demandWeight is the weight of the newest interval in the demand.
const demandWeight = 0.08

// SetLimits changes the rate and burst of the whole workspace.
func (b *Bucket) SetLimits(now time.Duration, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	if b.leaseEnd > 0 {
		b.level = min(b.level, b.capacity())
	}
}

// depth is the most that the host may use at once.
func (b *Bucket) capacity() float64 { return b.burst*b.fraction + b.slack }

// SetSpare changes this host's part of the tolerance, in tokens. It lets a host
// with a small fraction serve a large request at once, and a host that has just
// started serve some before it holds a fraction.
func (b *Bucket) SetSlack(tokens float64) {
	if b.slack == 0 {
		b.level += tokens
	}
	b.slack = tokens
}

const (
	// MaxWait bounds the wait that Take returns: within it the fractions follow the
	// demand, also one that is as small as the rounding error of what others hold.
	MaxWait = 2500 * time.Millisecond
	// leastWait keeps callers from asking again at once.
	minWait = time.Millisecond
)

// noShareRetry is when a host without a fraction is likely to have one.
const noFractionRetry = 500 * time.Millisecond

// SetFraction changes the part that the host may use until the lease ends. A
// larger part raises the level only with time, except for the first one.
func (b *Bucket) SetFraction(now time.Duration, fraction float64, leaseEnd time.Duration) {
	b.refill(now)
	b.fraction, b.leaseEnd = fraction, max(b.leaseEnd, leaseEnd)
	b.level = min(b.level, b.capacity())
}

// Release gives up the fraction, so that another host may hold it.
func (b *Bucket) Release(now time.Duration) {
	b.refill(now)
	b.fraction, b.leaseEnd = 0, min(b.leaseEnd, now)
	b.level = min(b.level, b.slack)
}

// SetFirst gives a host that has just started tokens to spend before it holds a
// fraction. While it was down, for longer than the burst takes to refill, nothing was
// spent of its part.
func (b *Bucket) SetInitialTokens(tokens float64) {
	if b.leaseEnd == 0 {
		b.level = tokens
	}
}

// Held returns the fraction that the host may use now.
func (b *Bucket) HeldFraction(now time.Duration) float64 {
	if now >= b.leaseEnd {
		return 0
	}
	return b.fraction
}

func (b *Bucket) refill(now time.Duration) {
	if end := min(now, b.leaseEnd); end > b.refilledAt {
		b.level = min(b.capacity(), b.level+b.rate*rateMargin*b.fraction*(end-b.refilledAt).Seconds())
	}
	b.refilledAt = max(b.refilledAt, now)
	if now >= b.leaseEnd && b.leaseEnd > 0 {
		b.level = min(b.level, b.slack) // the rest may be another host's by now
	}
}

// Take takes the cost of a request. Otherwise it returns the time after which the
// cost is expected to be there. first is false when the same request asks again.
func (b *Bucket) Take(now time.Duration, cost float64, firstTry bool) (ok bool, wait time.Duration) {
	b.refill(now)
	if firstTry {
		b.requested += cost
	}
	// A request that is larger than the host's part of the burst needs a full
	// bucket and leaves a debt.
	need := min(cost, b.capacity())
	if b.level >= need && need > 0 {
		b.level -= cost
		return true, 0
	}
	perSecond := b.rate * b.HeldFraction(now)
	if perSecond <= 0 {
		return false, noFractionRetry
	}
	seconds := (need - b.level) / perSecond
	return false, max(minWait, time.Duration(min(seconds, MaxWait.Seconds())*float64(time.Second)))
}

// Return gives back what a request did not use.
func (b *Bucket) Refund(tokens float64) { b.level = min(b.capacity(), b.level+tokens) }

// Demand returns what callers ask per second, averaged over recent calls.
func (b *Bucket) Demand(now time.Duration) float64 {
	if interval := (now - b.demandUpdatedAt).Seconds(); interval >= minDemandInterval.Seconds() {
		b.demand += demandWeight * (b.requested/interval - b.demand)
		b.requested, b.demandUpdatedAt = 0, now
	}
	return b.demand
}

// demandInterval is the shortest interval that counts for the demand.
const minDemandInterval = 200 * time.Millisecond
