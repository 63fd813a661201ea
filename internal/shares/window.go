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

// RetryBudget bounds the retries of one host for one service. The retries of all hosts in
// any window stay within ratio x requests + slack.
type RetryBudget struct {
	requests, retries *Window
	ratio, slack      float64
	fullSlackAt       time.Duration
}

const (
	// retryRatioShare is the part of the ratio that is used. The remainder covers the
	// offset between the windows of the hosts.
	retryRatioShare = 0.8
	// runningSlackShare is the part of the slack that running hosts divide. A host that
	// has started less than a window ago has a share of startingSlackShare only, because
	// its previous processes may have spent theirs in the same window. The parts cover
	// four starts of each host in a window.
	runningSlackShare  = 0.6
	startingSlackShare = 0.1
)

// NewRetryBudget returns the budget of a host that started at a time. ratio and slack
// are those of all hosts together.
func NewRetryBudget(startedAt, window time.Duration, ratio, slack float64) *RetryBudget {
	return &RetryBudget{requests: NewWindow(window), retries: NewWindow(window), ratio: ratio * retryRatioShare, slack: slack,
		fullSlackAt: startedAt + window}
}

// RecordRequest counts a request. Each request of a caller must be counted once over all
// hosts, however often it is sent.
func (b *RetryBudget) RecordRequest(now time.Duration) { b.requests.Add(now, 1) }

// TakeRetry takes one retry from the budget. It returns false if the budget is
// exhausted. hosts is the number of hosts that divide the slack, or 0 if it is unknown.
func (b *RetryBudget) TakeRetry(now time.Duration, hosts int) bool {
	if float64(b.retries.Count(now)+1) > b.ratio*float64(b.requests.Count(now))+b.slackShare(now, hosts) {
		return false
	}
	b.retries.Add(now, 1)
	return true
}

func (b *RetryBudget) slackShare(now time.Duration, hosts int) float64 {
	switch {
	case hosts == 0:
		return 0
	case now < b.fullSlackAt:
		return b.slack * startingSlackShare / float64(hosts)
	}
	return b.slack * runningSlackShare / float64(hosts)
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
