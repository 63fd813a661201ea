package shares

import "time"

// Window counts events in a sliding window of whole slots.
type Window struct {
	slot  time.Duration
	slots []int
	last  int64
	total int
}

// windowSlots is the resolution of a window.
const windowSlots = 20

// NewWindow returns an empty window of the length.
func NewWindow(length time.Duration) *Window {
	return &Window{slot: max(time.Millisecond, length/windowSlots), slots: make([]int, windowSlots+1)}
}

func (w *Window) advance(now time.Duration) {
	n := int64(now / w.slot)
	for steps := min(n-w.last, int64(len(w.slots))); steps > 0; steps-- {
		i := int((n - steps + 1) % int64(len(w.slots)))
		w.total -= w.slots[i]
		w.slots[i] = 0
	}
	w.last = max(w.last, n)
}

// Add counts events.
func (w *Window) Add(now time.Duration, n int) {
	w.advance(now)
	w.slots[w.last%int64(len(w.slots))] += n
	w.total += n
}

// Count returns the events in the window, or slightly more.
func (w *Window) Count(now time.Duration) int {
	w.advance(now)
	return w.total
}

// Budget bounds the repeats of one host for one service. The sum over all hosts
// stays within ratio x requests + slack when each host has its part of the slack.
type RetryBudget struct {
	firsts, repeats *Window
	ratio           float64
}

// NewBudget returns a budget over the window.
func NewRetryBudget(window time.Duration, ratio float64) *RetryBudget {
	return &RetryBudget{firsts: NewWindow(window), repeats: NewWindow(window), ratio: ratio}
}

// First counts the first dispatch of a request.
func (b *RetryBudget) RecordRequest(now time.Duration) { b.firsts.Add(now, 1) }

// Repeat takes one repeat, if there is one left. slack is this host's part.
func (b *RetryBudget) TakeRetry(now time.Duration, slack float64) bool {
	if float64(b.repeats.Count(now)+1) > b.ratio*float64(b.firsts.Count(now))+slack {
		return false
	}
	b.repeats.Add(now, 1)
	return true
}

// Pace bounds the requests to one target in any second. Invariant: no second has
// more than limit requests.
type Pacer struct{ sent []time.Duration }

// paceWindow is longer than the second that counts, because requests are spread
// by the way to the target.
const paceWindow = 1100 * time.Millisecond

// Allows reports whether one more request keeps the limit.
func (p *Pacer) Allows(now time.Duration, limit int) bool {
	for len(p.sent) > 0 && now-p.sent[0] >= paceWindow {
		p.sent = p.sent[1:]
	}
	return len(p.sent) < limit
}

// Add counts a request.
func (p *Pacer) Add(now time.Duration) { p.sent = append(p.sent, now) }
