package quota

import (
	"fmt"
	"math/bits"
	"time"
)

// Amount is a number of tokens in millionths.
type Amount = int64

// TokenUnit is one token.
const TokenUnit Amount = 1_000_000

const (
	// BorrowerLoanTTL is how long a borrower may spend a loan, measured on its
	// own clock from when it sent the request.
	BorrowerLoanTTL = time.Second
	// LenderLoanTTL is how long a lender counts a loan as outstanding, measured
	// on its own clock from when it received the request. Two clocks that each
	// drift by 1 % differ by 2.02 % over BorrowerLoanTTL; 10 ms cover rounding.
	LenderLoanTTL = 1031 * time.Millisecond
	// refillDivisor converts nanoseconds to seconds and slows the refill by the
	// drift bound of 1 %, so that a fast clock does not exceed the rate.
	refillDivisor = uint64(time.Second) * 101 / 100
)

// Share is a part of a workspace's rate (per second) and burst.
type Share struct {
	Rate  Amount
	Burst Amount
}

func (s Share) min(o Share) Share {
	return Share{Rate: min(s.Rate, o.Rate), Burst: min(s.Burst, o.Burst)}
}

// exceeds reports whether s has a higher rate or a higher burst than o.
func (s Share) exceeds(o Share) bool { return s.Rate > o.Rate || s.Burst > o.Burst }

// LoanID identifies a loan uniquely across all hosts and their restarts.
type LoanID struct {
	Host        string
	Incarnation uint64
	Sequence    uint64
}

// Credit is the amount of a reservation or an ended loan that may still be
// refunded. Refill that would exceed the burst replaces the oldest credits.
type Credit struct {
	remaining  Amount
	prev, next *Credit
	loan       *lentLoan
}

// lentLoan is a loan as the lender tracks it.
type lentLoan struct {
	id       LoanID
	amount   Amount
	refunded Amount
	expires  time.Duration
	// ended is true when the loan is settled or can no longer be spent by the
	// borrower; its amount is then a credit.
	ended  bool
	credit Credit
}

// Bucket is one token bucket. Invariant: level + credits + loans <= burst of
// the share, except that loans granted before a decrease stay outstanding while
// level and credits are zero.
type Bucket struct {
	share   Share
	level   Amount
	credits Amount
	loans   Amount
	// refillRemainder is the remainder of the last refill: an amount times
	// refillDivisor.
	refillRemainder uint64
	// refilledAt is the time up to which the bucket was refilled.
	refilledAt time.Duration
	// nextShare replaces share at nextShareAt; this delays an increase.
	nextShare   Share
	nextShareAt time.Duration
	// creditRing is the sentinel of the ring of credits; creditRing.next is the
	// oldest credit.
	creditRing    Credit
	lentLoans     map[LoanID]*lentLoan
	loansByExpiry []*lentLoan // oldest expiry first
}

// NewBucket returns an empty bucket whose refill begins at the given time.
func NewBucket(share Share, begin time.Duration) *Bucket {
	b := &Bucket{share: share, refilledAt: begin, nextShare: share}
	b.creditRing.prev, b.creditRing.next = &b.creditRing, &b.creditRing
	return b
}

// newFullBucket returns a full bucket. It replaces one that was dropped while it
// was full.
func newFullBucket(share Share, now time.Duration) *Bucket {
	b := NewBucket(share, now)
	b.level = share.Burst
	return b
}

// Advance refills the bucket and ends the loans whose LenderLoanTTL has passed,
// which their borrowers can no longer spend.
func (b *Bucket) Advance(now time.Duration) {
	b.expireLoans(now)
	if b.share != b.nextShare && now >= b.nextShareAt {
		b.refill(b.nextShareAt)
		b.share = b.nextShare
	}
	b.refill(now)
	b.checkInvariant()
}

func (b *Bucket) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	added := b.refillAmount(uint64(now - b.refilledAt))
	b.refilledAt = now
	b.level = max(b.level, min(b.level+added, b.share.Burst-b.loans))
	b.trimCredits()
}

// refillAmount is the refill for the elapsed nanoseconds, at most the burst.
func (b *Bucket) refillAmount(elapsed uint64) Amount {
	high, low := bits.Mul64(uint64(b.share.Rate), elapsed)
	low, carry := bits.Add64(low, b.refillRemainder, 0)
	high += carry
	if high >= refillDivisor {
		b.refillRemainder = 0
		return b.share.Burst
	}
	quotient, remainder := bits.Div64(high, low, refillDivisor)
	b.refillRemainder = remainder
	return Amount(min(quotient, uint64(b.share.Burst)))
}

// trimCredits drops the oldest credits until level, credits and loans fit the
// burst.
func (b *Bucket) trimCredits() {
	for excess := b.level + b.credits + b.loans - b.share.Burst; excess > 0 && b.credits > 0; {
		oldest := b.creditRing.next
		dropped := min(excess, oldest.remaining)
		oldest.remaining -= dropped
		b.credits -= dropped
		excess -= dropped
		if oldest.remaining == 0 {
			b.removeCredit(oldest)
		}
	}
}

func (b *Bucket) addCredit(c *Credit, amount Amount) {
	if amount <= 0 {
		return
	}
	c.remaining = amount
	c.prev, c.next = b.creditRing.prev, &b.creditRing
	c.prev.next, c.next.prev = c, c
	b.credits += amount
}

func (b *Bucket) removeCredit(c *Credit) {
	if c.next != nil {
		c.prev.next, c.next.prev = c.next, c.prev
		c.prev, c.next = nil, nil
	}
	if c.loan != nil {
		delete(b.lentLoans, c.loan.id)
	}
}

// Reserve takes the amount and returns its refundable credit, or nil when the
// level is too low.
func (b *Bucket) Reserve(now time.Duration, amount Amount) *Credit {
	b.Advance(now)
	if amount > b.level {
		return nil
	}
	b.level -= amount
	c := &Credit{}
	b.addCredit(c, amount)
	b.checkInvariant()
	return c
}

// Refund returns the unused part of a reservation to the level, limited by what
// remains of its credit, and drops the credit.
func (b *Bucket) Refund(now time.Duration, c *Credit, unused Amount) {
	b.Advance(now)
	b.refund(c, unused)
	b.credits -= c.remaining
	c.remaining = 0
	b.removeCredit(c)
	b.checkInvariant()
}

func (b *Bucket) refund(c *Credit, amount Amount) {
	refunded := max(0, min(amount, c.remaining))
	c.remaining -= refunded
	b.credits -= refunded
	b.level += refunded
}

// Lend grants up to the amount and leaves the reserve in the bucket. For a repeated
// request with the same id it returns the same amount and lends nothing more.
func (b *Bucket) Lend(now time.Duration, id LoanID, amount, reserve Amount) Amount {
	b.Advance(now)
	if old, ok := b.lentLoans[id]; ok {
		return old.amount
	}
	granted := min(amount, b.level-reserve)
	if granted <= 0 {
		return 0
	}
	l := &lentLoan{id: id, amount: granted, expires: now + LenderLoanTTL}
	l.credit.loan = l
	if b.lentLoans == nil {
		b.lentLoans = map[LoanID]*lentLoan{}
	}
	b.lentLoans[id] = l
	b.loansByExpiry = append(b.loansByExpiry, l)
	b.level -= granted
	b.loans += granted
	b.checkInvariant()
	return granted
}

// SettleLoan ends a loan and refunds all but the spent amount, limited by what
// remains of its credit. It may be repeated with a lower spent amount after refunds;
// repeated and outdated settlements have no effect.
func (b *Bucket) SettleLoan(now time.Duration, id LoanID, spent Amount) {
	b.Advance(now)
	l, ok := b.lentLoans[id]
	if !ok || spent < 0 || spent > l.amount {
		return
	}
	b.endLoan(l)
	if unspent := l.amount - spent - l.refunded; unspent > 0 {
		l.refunded += unspent
		b.refund(&l.credit, unspent)
		if l.credit.remaining == 0 {
			b.removeCredit(&l.credit)
		}
	}
	b.checkInvariant()
}

// endLoan turns an outstanding loan into a credit.
func (b *Bucket) endLoan(l *lentLoan) {
	if l.ended {
		return
	}
	l.ended = true
	b.loans -= l.amount
	b.addCredit(&l.credit, l.amount)
	b.trimCredits()
}

func (b *Bucket) expireLoans(now time.Duration) {
	n := 0
	for n < len(b.loansByExpiry) && (b.loansByExpiry[n].ended || b.loansByExpiry[n].expires <= now) {
		b.endLoan(b.loansByExpiry[n])
		n++
	}
	if n > 0 {
		b.loansByExpiry = append(b.loansByExpiry[:0:0], b.loansByExpiry[n:]...)
	}
}

// SetShare applies a decrease at once and an increase at increaseAt.
func (b *Bucket) SetShare(now time.Duration, share Share, increaseAt time.Duration) {
	b.Advance(now)
	b.share = b.share.min(share)
	b.nextShare, b.nextShareAt = share, increaseAt
	if b.share.Rate == 0 {
		b.refillRemainder = 0
	}
	b.trimCredits()
	b.level = max(0, min(b.level, b.share.Burst-b.loans-b.credits))
	b.checkInvariant()
}

// WithinShare reports whether all that can be spent fits the share. It is false
// while loans that were granted before a decrease exceed it.
func (b *Bucket) WithinShare() bool { return b.loans <= b.share.Burst }

// Level is the amount that can be reserved or lent now.
func (b *Bucket) Level() Amount { return b.level }

// Spendable is the sum of the level, the refundable credits and the outstanding
// loans.
func (b *Bucket) Spendable() Amount { return b.level + b.credits + b.loans }

// droppable reports whether a full bucket of the same share can replace b.
func (b *Bucket) droppable() bool {
	return b.level == b.share.Burst && b.share == b.nextShare && len(b.lentLoans) == 0 && b.credits == 0
}

func (b *Bucket) checkInvariant() {
	exceeded := b.Spendable() > b.share.Burst && (b.level > 0 || b.credits > 0)
	if exceeded || b.level < 0 || b.credits < 0 || b.loans < 0 {
		panic(fmt.Sprintf("quota: level %d + credits %d + loans %d exceed burst %d", b.level, b.credits, b.loans, b.share.Burst))
	}
}
