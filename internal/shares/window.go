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

// HasRetry reports whether the budget has a retry left. hosts is the number of hosts that
// divide the slack, or 0 if it is unknown.
func (b *RetryBudget) HasRetry(now time.Duration, hosts int) bool {
	return float64(b.retries.Count(now)+1) <= b.ratio*float64(b.requests.Count(now))+b.slackShare(now, hosts)
}

// TakeRetry takes one retry from the budget. It returns false if the budget is
// exhausted.
func (b *RetryBudget) TakeRetry(now time.Duration, hosts int) bool {
	if !b.HasRetry(now, hosts) {
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

// Pacer bounds the requests of this host to one target. A request reserves a slot when its
// target is chosen, and uses it from just before it is written until it is written: a
// process may stand still at any point in between. Invariant: one request at a time is
// being written, and at most limit requests end and begin to be written in any span of
// pacerWindow.
type Pacer struct {
	reserved int
	sending  bool
	sent     []time.Duration // when requests were written
}

// pacerWindow is longer than the second of the limit, because variable network delay
// changes the intervals between requests at the target.
const pacerWindow = 1100 * time.Millisecond

// Allows reports whether one more request may reserve a slot.
func (p *Pacer) Allows(now time.Duration, limit int) bool {
	used := p.reserved + p.recent(now)
	if p.sending {
		used++
	}
	return used < limit
}

// recent returns the number of requests that were written within the window.
func (p *Pacer) recent(now time.Duration) int {
	for len(p.sent) > 0 && now-p.sent[0] >= pacerWindow {
		p.sent = p.sent[1:]
	}
	return len(p.sent)
}

// Reserve reserves a slot.
func (p *Pacer) Reserve() { p.reserved++ }

// Release gives up a reserved slot that was not used.
func (p *Pacer) Release() { p.reserved-- }

// Begin reports whether a request, which may have reserved a slot, may be written now. If
// so, its reservation has ended and End must be called.
func (p *Pacer) Begin(now time.Duration, limit int, reserved bool) bool {
	if p.sending || p.recent(now) >= limit || !reserved && !p.Allows(now, limit) {
		return false
	}
	if p.sending = true; reserved {
		p.Release()
	}
	return true
}

// End records that the request has been written.
func (p *Pacer) End(now time.Duration) {
	p.sending = false
	p.sent = append(p.sent, now)
}

// Idle reports whether the pacer bounds nothing now.
func (p *Pacer) Idle(now time.Duration) bool {
	return !p.sending && p.reserved == 0 && p.recent(now) == 0
}
