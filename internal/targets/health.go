package targets

import "time"

const (
	// ejectAfter failures in a row eject a target, and so do ejectShare
	// failures among the last window outcomes.
	ejectAfter = 5
	window     = 20
	ejectShare = window / 2

	// ProbeInterval is the time from an ejection to the first probe. It
	// doubles after each failed probe up to MaxProbeInterval.
	ProbeInterval    = 5 * time.Second
	MaxProbeInterval = 60 * time.Second
	// probeClaim is how long a chosen probe may take to begin before another
	// request may become the probe.
	probeClaim = time.Second

	// slowStartStep is the time in which the limit of a new target doubles.
	slowStartStep = 2 * time.Second
)

// Result is what an attempt showed about its target.
type Result int

const (
	// Neutral says nothing about the target: cancelled, or refused for load.
	Neutral Result = iota
	// Succeeded means that a whole answer arrived.
	Succeeded
	// Failed means that the target broke off, answered wrongly or not at all.
	Failed
)

// health decides about ejection from the outcomes that this host saw.
type health struct {
	outcomes [window]bool // true is a failure
	count    int
	next     int
	inRow    int

	ejected  bool
	interval time.Duration
	// probeAt is when the next probe may begin.
	probeAt time.Time
	// claimed is when a request was chosen as the probe; zero without one.
	claimed time.Time
	// probing is true while the probe runs.
	probing bool
}

func (h *health) reset() { *h = health{} }

// probeDue reports whether an ejected target may get its next single request.
func (h *health) probeDue(now time.Time) bool {
	return h.ejected && !h.probing && !now.Before(h.probeAt) && now.Sub(h.claimed) >= probeClaim
}

// claimedRoom is the room of an ejected target: one for a probe that was
// chosen and has not begun.
func (h *health) claimedRoom(now time.Time) int {
	if h.probing || h.claimed.IsZero() || now.Sub(h.claimed) >= probeClaim {
		return 0
	}
	return 1
}

// record takes an outcome and reports whether the target came back from ejection.
func (h *health) record(now time.Time, r Result, probe bool) (returned bool) {
	if h.ejected {
		if probe {
			return h.recordProbe(now, r)
		}
		return false // work that began before the ejection
	}
	if r == Neutral {
		return false
	}
	h.outcomes[h.next] = r == Failed
	h.next = (h.next + 1) % window
	h.count = min(h.count+1, window)
	if r == Succeeded {
		h.inRow = 0
	} else {
		h.inRow++
	}
	if h.inRow >= ejectAfter || (h.count == window && h.failures() >= ejectShare) {
		h.eject(now, ProbeInterval)
	}
	return false
}

func (h *health) recordProbe(now time.Time, r Result) bool {
	h.probing, h.claimed = false, time.Time{}
	switch r {
	case Succeeded:
		h.reset()
		return true
	case Failed:
		h.eject(now, min(2*h.interval, MaxProbeInterval))
	}
	return false
}

func (h *health) eject(now time.Time, interval time.Duration) {
	*h = health{ejected: true, interval: interval, probeAt: now.Add(interval)}
}

func (h *health) failures() int {
	n := 0
	for _, failed := range h.outcomes {
		if failed {
			n++
		}
	}
	return n
}

// slowStartLimit is how many requests a target may have in flight that long
// after its start: one at first, doubled each slowStartStep.
func slowStartLimit(since time.Duration, slots int) int {
	steps := int(max(since, 0) / slowStartStep)
	if steps >= 20 {
		return slots
	}
	return min(1<<steps, slots)
}
