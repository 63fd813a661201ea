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
	// BorrowerLoanTTL is how long a borrower may spend a loan, counted on its own
	// clock from when it sent the request.
	BorrowerLoanTTL = time.Second
	// LenderLoanTTL is how long a lender counts a loan as outstanding, on its own
	// clock from when it received the request. Two clocks that each drift by
	// 1 % differ by 2.02 % over the validity; 10 ms cover rounding.
	LenderLoanTTL = 1031 * time.Millisecond
	// refillDivisor scales nanoseconds to seconds and slows the refill by the
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

// exceeds reports whether s is larger than o in either part.
func (s Share) exceeds(o Share) bool { return s.Rate > o.Rate || s.Burst > o.Burst }

// LoanID identifies a loan over all processes of the fleet.
type LoanID struct {
	Host        string
	Incarnation uint64
	Sequence    uint64
}

// Credit is what may still be refunded of a reservation or of a spent loan.
type Credit struct {
	remaining  Amount
	prev, next *Credit
	loan       *lentLoan
}

// lentLoan is a loan on the lender's side.
type lentLoan struct {
	id       LoanID
	amount   Amount
	returned Amount
	expires  time.Duration
	// ended is true when the loan is settled or has certainly expired; the
	// spent part is then a credit.
	ended  bool
	credit Credit
}

// Bucket is one token bucket. Invariant: level + credits + loans <= burst of
// the share, except that loans given before a decrease run on while level and
// credits are zero.
type Bucket struct {
	share   Share
	level   Amount
	credits Amount
	loans   Amount
	// refillRemainder is the remainder of the refill, in millionths times refillDivisor.
	refillRemainder uint64
	// refilledAt is the time up to which the bucket was refilled.
	refilledAt time.Duration
	// nextShare is a later increase of the share.
	nextShare   Share
	nextShareAt time.Duration
	// creditRing is the ring of credits; creditRing.next is the oldest.
	creditRing    Credit
	lentLoans     map[LoanID]*lentLoan
	loansByExpiry []*lentLoan // loans by expiry
}

// NewBucket returns an empty bucket whose refill begins at the given time.
func NewBucket(share Share, begin time.Duration) *Bucket {
	b := &Bucket{share: share, refilledAt: begin, nextShare: share}
	b.creditRing.prev, b.creditRing.next = &b.creditRing, &b.creditRing
	return b
}

// newFullBucket returns a bucket that was dropped when it was full.
func newFullBucket(share Share, now time.Duration) *Bucket {
	b := NewBucket(share, now)
	b.level = share.Burst
	return b
}

// Advance refills the bucket and ends loans that have certainly expired.
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

// refillAmount is the refill of the elapsed time; it is at most the burst.
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

// trimCredits drops the oldest credits until the bucket fits its burst.
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

// Refund gives the unused part of a reservation back as far as its credit lasts.
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

// Lend grants up to the amount, keeping the reserve. A repeated request with
// the same id gets the first answer.
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

// SettleLoan notes that spent is all that was used of the loan. It may be
// repeated with a lower amount after refunds.
func (b *Bucket) SettleLoan(now time.Duration, id LoanID, spent Amount) {
	b.Advance(now)
	l, ok := b.lentLoans[id]
	if !ok || spent < 0 || spent > l.amount {
		return
	}
	b.endLoan(l)
	if unspent := l.amount - spent - l.returned; unspent > 0 {
		l.returned += unspent
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

// SetShare applies a decrease at once and an increase at growAt.
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

// WithinShare reports whether all that can be spent fits the share; it is false
// while loans that were given before a decrease exceed it.
func (b *Bucket) WithinShare() bool { return b.loans <= b.share.Burst }

// Level is what can be reserved or lent now.
func (b *Bucket) Level() Amount { return b.level }

// Spendable is the level with refundable credits and outstanding loans.
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
