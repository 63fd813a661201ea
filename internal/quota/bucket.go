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
	left       Amount
	prev, next *Credit
	loan       *lent
}

// lent is a loan on the lender's side.
type lent struct {
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
	// carry is the remainder of the refill, in millionths times refillDivisor.
	carry uint64
	// last is the time up to which the bucket was refilled.
	last time.Duration
	// grow is a later increase of the share.
	grow   Share
	growAt time.Duration
	// head is the ring of credits; head.next is the oldest.
	head    Credit
	lent    map[LoanID]*lent
	ordered []*lent // loans by expiry
}

// NewBucket returns an empty bucket whose refill begins at the given time.
func NewBucket(share Share, begin time.Duration) *Bucket {
	b := &Bucket{share: share, last: begin, grow: share}
	b.head.prev, b.head.next = &b.head, &b.head
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
	b.expire(now)
	if b.share != b.grow && now >= b.growAt {
		b.refill(b.growAt)
		b.share = b.grow
	}
	b.refill(now)
	b.check()
}

func (b *Bucket) refill(now time.Duration) {
	if now <= b.last {
		return
	}
	added := b.earned(uint64(now - b.last))
	b.last = now
	b.level = max(b.level, min(b.level+added, b.share.Burst-b.loans))
	b.trim()
}

// earned is the refill of the elapsed time; it is at most the burst.
func (b *Bucket) earned(elapsed uint64) Amount {
	high, low := bits.Mul64(uint64(b.share.Rate), elapsed)
	low, over := bits.Add64(low, b.carry, 0)
	high += over
	if high >= refillDivisor {
		b.carry = 0
		return b.share.Burst
	}
	quotient, remainder := bits.Div64(high, low, refillDivisor)
	b.carry = remainder
	return Amount(min(quotient, uint64(b.share.Burst)))
}

// trim drops the oldest credits until the bucket fits its burst.
func (b *Bucket) trim() {
	for over := b.level + b.credits + b.loans - b.share.Burst; over > 0 && b.credits > 0; {
		oldest := b.head.next
		dropped := min(over, oldest.left)
		oldest.left -= dropped
		b.credits -= dropped
		over -= dropped
		if oldest.left == 0 {
			b.unlink(oldest)
		}
	}
}

func (b *Bucket) push(c *Credit, amount Amount) {
	if amount <= 0 {
		return
	}
	c.left = amount
	c.prev, c.next = b.head.prev, &b.head
	c.prev.next, c.next.prev = c, c
	b.credits += amount
}

func (b *Bucket) unlink(c *Credit) {
	if c.next != nil {
		c.prev.next, c.next.prev = c.next, c.prev
		c.prev, c.next = nil, nil
	}
	if c.loan != nil {
		delete(b.lent, c.loan.id)
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
	b.push(c, amount)
	b.check()
	return c
}

// Refund gives the unused part of a reservation back as far as its credit lasts.
func (b *Bucket) Refund(now time.Duration, c *Credit, unused Amount) {
	b.Advance(now)
	b.refund(c, unused)
	b.credits -= c.left
	c.left = 0
	b.unlink(c)
	b.check()
}

func (b *Bucket) refund(c *Credit, amount Amount) {
	back := max(0, min(amount, c.left))
	c.left -= back
	b.credits -= back
	b.level += back
}

// Lend grants up to the amount, keeping the reserve. A repeated request with
// the same id gets the first answer.
func (b *Bucket) Lend(now time.Duration, id LoanID, amount, reserve Amount) Amount {
	b.Advance(now)
	if old, ok := b.lent[id]; ok {
		return old.amount
	}
	granted := min(amount, b.level-reserve)
	if granted <= 0 {
		return 0
	}
	l := &lent{id: id, amount: granted, expires: now + LenderLoanTTL}
	l.credit.loan = l
	if b.lent == nil {
		b.lent = map[LoanID]*lent{}
	}
	b.lent[id] = l
	b.ordered = append(b.ordered, l)
	b.level -= granted
	b.loans += granted
	b.check()
	return granted
}

// SettleLoan notes that spent is all that was used of the loan. It may be
// repeated with a lower amount after refunds.
func (b *Bucket) SettleLoan(now time.Duration, id LoanID, spent Amount) {
	b.Advance(now)
	l, ok := b.lent[id]
	if !ok || spent < 0 || spent > l.amount {
		return
	}
	b.end(l)
	if back := l.amount - spent - l.returned; back > 0 {
		l.returned += back
		b.refund(&l.credit, back)
		if l.credit.left == 0 {
			b.unlink(&l.credit)
		}
	}
	b.check()
}

// end turns an outstanding loan into a credit.
func (b *Bucket) end(l *lent) {
	if l.ended {
		return
	}
	l.ended = true
	b.loans -= l.amount
	b.push(&l.credit, l.amount)
	b.trim()
}

func (b *Bucket) expire(now time.Duration) {
	n := 0
	for n < len(b.ordered) && (b.ordered[n].ended || b.ordered[n].expires <= now) {
		b.end(b.ordered[n])
		n++
	}
	if n > 0 {
		b.ordered = append(b.ordered[:0:0], b.ordered[n:]...)
	}
}

// SetShare applies a decrease at once and an increase at growAt.
func (b *Bucket) SetShare(now time.Duration, share Share, growAt time.Duration) {
	b.Advance(now)
	b.share = b.share.min(share)
	b.grow, b.growAt = share, growAt
	if b.share.Rate == 0 {
		b.carry = 0
	}
	b.trim()
	b.level = max(0, min(b.level, b.share.Burst-b.loans-b.credits))
	b.check()
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
	return b.level == b.share.Burst && b.share == b.grow && len(b.lent) == 0 && b.credits == 0
}

func (b *Bucket) check() {
	over := b.Spendable() > b.share.Burst && (b.level > 0 || b.credits > 0)
	if over || b.level < 0 || b.credits < 0 || b.loans < 0 {
		panic(fmt.Sprintf("quota: level %d + credits %d + loans %d exceed burst %d", b.level, b.credits, b.loans, b.share.Burst))
	}
}
