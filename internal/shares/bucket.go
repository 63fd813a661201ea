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
	spare    float64
	fraction float64
	until    time.Duration
	level    float64
	at       time.Duration
	// asked counts what callers asked since the last call of Demand.
	asked   float64
	askedAt time.Duration
	demand  float64
}

// demandWeight is the weight of the newest interval in the demand.
const demandWeight = 0.08

// SetLimits changes the rate and burst of the whole workspace.
func (b *Bucket) SetLimits(now time.Duration, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	if b.until > 0 {
		b.level = min(b.level, b.depth())
	}
}

// depth is the most that the host may use at once.
func (b *Bucket) depth() float64 { return b.burst*b.fraction + b.spare }

// SetSpare changes this host's part of the tolerance, in tokens. It lets a host
// with a small fraction serve a large request at once, and a host that has just
// started serve some before it holds a fraction.
func (b *Bucket) SetSlack(tokens float64) {
	if b.spare == 0 {
		b.level += tokens
	}
	b.spare = tokens
}

const (
	// MaxWait bounds the wait that Take returns: within it the fractions follow the
	// demand, also one that is as small as the rounding error of what others hold.
	MaxWait = 2500 * time.Millisecond
	// leastWait keeps callers from asking again at once.
	leastWait = time.Millisecond
)

// noShareRetry is when a host without a fraction is likely to have one.
const noShareRetry = 500 * time.Millisecond

// SetFraction changes the part that the host may use until the lease ends. A
// larger part raises the level only with time, except for the first one.
func (b *Bucket) SetFraction(now time.Duration, fraction float64, until time.Duration) {
	b.refill(now)
	b.fraction, b.until = fraction, max(b.until, until)
	b.level = min(b.level, b.depth())
}

// Release gives up the fraction, so that another host may hold it.
func (b *Bucket) Release(now time.Duration) {
	b.refill(now)
	b.fraction, b.until = 0, min(b.until, now)
	b.level = min(b.level, b.spare)
}

// SetFirst gives a host that has just started tokens to spend before it holds a
// fraction. While it was down, for longer than the burst takes to refill, nothing was
// spent of its part.
func (b *Bucket) SetInitialTokens(tokens float64) {
	if b.until == 0 {
		b.level = tokens
	}
}

// Held returns the fraction that the host may use now.
func (b *Bucket) HeldFraction(now time.Duration) float64 {
	if now >= b.until {
		return 0
	}
	return b.fraction
}

func (b *Bucket) refill(now time.Duration) {
	if end := min(now, b.until); end > b.at {
		b.level = min(b.depth(), b.level+b.rate*rateMargin*b.fraction*(end-b.at).Seconds())
	}
	b.at = max(b.at, now)
	if now >= b.until && b.until > 0 {
		b.level = min(b.level, b.spare) // the rest may be another host's by now
	}
}

// Take takes the cost of a request. Otherwise it returns the time after which the
// cost is expected to be there. first is false when the same request asks again.
func (b *Bucket) Take(now time.Duration, cost float64, first bool) (ok bool, wait time.Duration) {
	b.refill(now)
	if first {
		b.asked += cost
	}
	// A request that is larger than the host's part of the burst needs a full
	// bucket and leaves a debt.
	need := min(cost, b.depth())
	if b.level >= need && need > 0 {
		b.level -= cost
		return true, 0
	}
	perSecond := b.rate * b.HeldFraction(now)
	if perSecond <= 0 {
		return false, noShareRetry
	}
	seconds := (need - b.level) / perSecond
	return false, max(leastWait, time.Duration(min(seconds, MaxWait.Seconds())*float64(time.Second)))
}

// Return gives back what a request did not use.
func (b *Bucket) Refund(tokens float64) { b.level = min(b.depth(), b.level+tokens) }

// Demand returns what callers ask per second, averaged over recent calls.
func (b *Bucket) Demand(now time.Duration) float64 {
	if interval := (now - b.askedAt).Seconds(); interval >= demandInterval.Seconds() {
		b.demand += demandWeight * (b.asked/interval - b.demand)
		b.asked, b.askedAt = 0, now
	}
	return b.demand
}

// demandInterval is the shortest interval that counts for the demand.
const demandInterval = 200 * time.Millisecond
