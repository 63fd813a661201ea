package shares

import "time"

// Window counts events in a sliding window, with the resolution of a slot.
type Window struct {
	slotLength time.Duration
	slots      []int
	lastSlot   int64
	total      int
}

// windowSlots is the number of slots in the length of a window.
const windowSlots = 20

// NewWindow returns an empty window of the given length.
func NewWindow(length time.Duration) *Window {
	return &Window{slotLength: max(time.Millisecond, length/windowSlots), slots: make([]int, windowSlots+1)}
}

func (w *Window) advance(now time.Duration) {
	slot := int64(now / w.slotLength)
	for steps := min(slot-w.lastSlot, int64(len(w.slots))); steps > 0; steps-- {
		i := int((slot - steps + 1) % int64(len(w.slots)))
		w.total -= w.slots[i]
		w.slots[i] = 0
	}
	w.lastSlot = max(w.lastSlot, slot)
}

// Add counts n events.
func (w *Window) Add(now time.Duration, n int) {
	w.advance(now)
	w.slots[w.lastSlot%int64(len(w.slots))] += n
	w.total += n
}

// Count returns the number of events in the window and at most one further slot.
func (w *Window) Count(now time.Duration) int {
	w.advance(now)
	return w.total
}

// RetryBudget bounds the retries of one host for one service. The sum over all hosts
// stays within ratio x requests + slack if each host uses only its share of the slack.
type RetryBudget struct {
	requests, retries *Window
	ratio             float64
}

// NewRetryBudget returns a budget over a sliding window.
func NewRetryBudget(window time.Duration, ratio float64) *RetryBudget {
	return &RetryBudget{requests: NewWindow(window), retries: NewWindow(window), ratio: ratio}
}

// RecordRequest counts the first attempt of a request.
func (b *RetryBudget) RecordRequest(now time.Duration) { b.requests.Add(now, 1) }

// HasRetry reports whether the budget has a retry left. slack is this host's share of the
// slack.
func (b *RetryBudget) HasRetry(now time.Duration, slack float64) bool {
	return float64(b.retries.Count(now)+1) <= b.ratio*float64(b.requests.Count(now))+slack
}

// TakeRetry takes one retry from the budget. It returns false if the budget is
// exhausted. slack is this host's share of the slack.
func (b *RetryBudget) TakeRetry(now time.Duration, slack float64) bool {
	if !b.HasRetry(now, slack) {
		return false
	}
	b.retries.Add(now, 1)
	return true
}

// Pacer bounds the requests to one target in any second. Invariant: if only
// allowed requests are sent and each is added, no second has more than limit requests.
type Pacer struct{ sent []time.Duration }

// pacerWindow is longer than the second of the limit, because variable network delay
// changes the intervals between requests at the target.
const pacerWindow = 1100 * time.Millisecond

// Allows reports whether one more request is within the limit.
func (p *Pacer) Allows(now time.Duration, limit int) bool {
	for len(p.sent) > 0 && now-p.sent[0] >= pacerWindow {
		p.sent = p.sent[1:]
	}
	return len(p.sent) < limit
}

// Add counts a request.
func (p *Pacer) Add(now time.Duration) { p.sent = append(p.sent, now) }
