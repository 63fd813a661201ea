package shares

import "time"

// rateMargin raises the refill rate by a part of the limit's tolerance, so that uneven
// demand between hosts does not cause refusals within the rate.
const rateMargin = 1.03

// Bucket is a token bucket for a host's fraction of a workspace's rate and burst.
// Invariant: the level is at most the host's fraction of the burst plus its slack, and
// without a fraction at most its slack. A refill adds the host's fraction of the rate, times
// rateMargin.
type Bucket struct {
	rate, burst float64
	// slack is this host's share of the limit's tolerance, in tokens.
	slack      float64
	fraction   float64
	leaseEnd   time.Duration
	level      float64
	refilledAt time.Duration
	// requested is the cost of all requests since demand was last updated.
	requested       float64
	demandUpdatedAt time.Duration
	demand          float64
}

// demandWeight is the weight of the newest interval in the moving average of the
// demand.
const demandWeight = 0.08

// SetLimits sets the rate and burst of the whole workspace.
func (b *Bucket) SetLimits(now time.Duration, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, b.capacity())
}

// capacity is the maximum level of the bucket.
func (b *Bucket) capacity() float64 { return b.burst*b.fraction + b.slack }

// SetSlack sets this host's share of the limit's tolerance, in tokens. It lets a host
// with a small fraction serve a large request at once, and a host without a fraction some
// requests.
func (b *Bucket) SetSlack(tokens float64) {
	if b.slack == 0 {
		b.level += tokens
	}
	b.slack = tokens
}

const (
	// MaxWait bounds the wait that Take returns. Within this time the allocator adapts
	// the fractions to the demand, even if this host's fraction is only the rounding
	// error of the others and would give an extremely long wait.
	MaxWait = 2500 * time.Millisecond
	// minWait keeps callers from retrying immediately.
	minWait = time.Millisecond
)

// noFractionRetry is the time within which a host without a fraction is likely to get
// one.
const noFractionRetry = 500 * time.Millisecond

// SetFraction sets the fraction that the host may use until the end of the lease. A
// larger fraction does not raise the level at once, only the refill rate and the
// capacity.
func (b *Bucket) SetFraction(now time.Duration, fraction float64, leaseEnd time.Duration) {
	b.refill(now)
	b.fraction, b.leaseEnd = fraction, max(b.leaseEnd, leaseEnd)
	b.level = min(b.level, b.capacity())
}

// Release gives up the fraction, so that it can be granted to another host.
func (b *Bucket) Release(now time.Duration) {
	b.refill(now)
	b.fraction, b.leaseEnd = 0, min(b.leaseEnd, now)
	b.level = min(b.level, b.slack)
}

// SetFirstFraction is SetFraction for a fraction of the burst that nobody has spent. It
// fills the bucket, unless the host has held a fraction before.
func (b *Bucket) SetFirstFraction(now time.Duration, fraction float64, leaseEnd time.Duration) {
	isFirst := b.leaseEnd == 0
	b.SetFraction(now, fraction, leaseEnd)
	if isFirst {
		b.level = min(b.capacity(), b.level+b.burst*fraction)
	}
}

// HeldFraction returns the fraction that the host may use now.
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
	if now >= b.leaseEnd {
		b.level = min(b.level, b.slack) // the rest may have been granted to another host
	}
}

// Take takes the cost of a request from the bucket. If the level is too low, it returns
// false and the time after which the request is expected to succeed. firstTry is false
// for a retry of the same request, which is not counted as demand again.
func (b *Bucket) Take(now time.Duration, cost float64, firstTry bool) (ok bool, wait time.Duration) {
	b.refill(now)
	if firstTry {
		b.requested += cost
	}
	// A request that exceeds the capacity needs a full bucket and leaves a negative
	// level. Without a fraction nothing would make up for it.
	need := cost
	if b.HeldFraction(now) > 0 {
		need = min(cost, b.capacity())
	}
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

// Refund returns the unused tokens of a request.
func (b *Bucket) Refund(tokens float64) { b.level = min(b.capacity(), b.level+tokens) }

// Demand returns the requested cost per second as a moving average over recent calls.
func (b *Bucket) Demand(now time.Duration) float64 {
	if interval := (now - b.demandUpdatedAt).Seconds(); interval >= minDemandInterval.Seconds() {
		b.demand += demandWeight * (b.requested/interval - b.demand)
		b.requested, b.demandUpdatedAt = 0, now
	}
	return b.demand
}

// minDemandInterval is the shortest interval after which the demand is updated.
const minDemandInterval = 200 * time.Millisecond
