package targets

import "time"

const (
	// ejectAfterConsecutive consecutive failures eject a target, and so do
	// ejectWindowFailures failures among the last outcomeWindow outcomes.
	ejectAfterConsecutive = 5
	outcomeWindow         = 20
	ejectWindowFailures   = outcomeWindow / 2

	// ProbeInterval is the time from an ejection to the first probe. It doubles
	// after each failed probe, up to MaxProbeInterval.
	ProbeInterval    = 5 * time.Second
	MaxProbeInterval = 60 * time.Second
	// probeClaimTimeout is how long a claimed probe may take to begin before
	// another request may claim it.
	probeClaimTimeout = time.Second

	// slowStartStep is the time after which the concurrency limit of a target in
	// slow start doubles.
	slowStartStep = 2 * time.Second
)

// Result is the outcome of an attempt, as it counts for the health of the target.
type Result int

const (
	// Neutral does not count: the attempt was cancelled, or refused because of load.
	Neutral Result = iota
	// Succeeded means that the response arrived complete.
	Succeeded
	// Failed means that the response was cut off, invalid or missing.
	Failed
)

// health ejects a target on the outcomes of the attempts of this host (outlier
// detection), and readmits it after a successful probe.
type health struct {
	outcomes            [outcomeWindow]bool // ring buffer; true is a failure
	outcomeCount        int
	nextOutcome         int
	consecutiveFailures int

	ejected       bool
	probeInterval time.Duration
	// probeAt is when the next probe may begin.
	probeAt time.Time
	// claimedAt is when a request claimed the probe; zero if none did.
	claimedAt time.Time
	// probing is true while the probe is in flight.
	probing bool
}

func (h *health) reset() { *h = health{} }

// probeDue reports whether an ejected target may get a probe.
func (h *health) probeDue(now time.Time) bool {
	return h.ejected && !h.probing && !now.Before(h.probeAt) && now.Sub(h.claimedAt) >= probeClaimTimeout
}

// claimedProbeRoom returns the room of an ejected target: 1 while a claimed probe
// has not begun, otherwise 0.
func (h *health) claimedProbeRoom(now time.Time) int {
	if h.probing || h.claimedAt.IsZero() || now.Sub(h.claimedAt) >= probeClaimTimeout {
		return 0
	}
	return 1
}

// recordOutcome adds the outcome of an attempt and reports whether it ended an ejection.
func (h *health) recordOutcome(now time.Time, r Result, probe bool) (readmitted bool) {
	if h.ejected {
		if probe {
			return h.recordProbe(now, r)
		}
		return false // the attempt began before the ejection
	}
	if r == Neutral {
		return false
	}
	h.outcomes[h.nextOutcome] = r == Failed
	h.nextOutcome = (h.nextOutcome + 1) % outcomeWindow
	h.outcomeCount = min(h.outcomeCount+1, outcomeWindow)
	if r == Succeeded {
		h.consecutiveFailures = 0
	} else {
		h.consecutiveFailures++
	}
	if h.consecutiveFailures >= ejectAfterConsecutive || (h.outcomeCount == outcomeWindow && h.failures() >= ejectWindowFailures) {
		h.eject(now, ProbeInterval)
	}
	return false
}

func (h *health) recordProbe(now time.Time, r Result) bool {
	h.probing, h.claimedAt = false, time.Time{}
	switch r {
	case Succeeded:
		h.reset()
		return true
	case Failed:
		h.eject(now, min(2*h.probeInterval, MaxProbeInterval))
	}
	return false
}

func (h *health) eject(now time.Time, interval time.Duration) {
	*h = health{ejected: true, probeInterval: interval, probeAt: now.Add(interval)}
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

// slowStartLimit returns the concurrency limit of a target at the given time since
// its slow start began: 1 at first, doubled every slowStartStep up to its slots.
func slowStartLimit(since time.Duration, slots int) int {
	steps := int(max(since, 0) / slowStartStep)
	if steps >= 20 {
		return slots
	}
	return min(1<<steps, slots)
}
