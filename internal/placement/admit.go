package placement

import "time"

var (
	// callerTimeoutFractions limit the expected TTFB to a fraction of the caller's
	// timeout, indexed by the priority of the route. The remainder covers what
	// the model does not account for.
	callerTimeoutFractions = []float64{0.8, 0.55, 0.45}
	// objectiveFractions limit the expected TTFB to a fraction of the objective, indexed
	// by the priority of the route. Under overload, a request that begins late takes the
	// slot of one that could begin in time. Less urgent routes are refused earlier.
	objectiveFractions = []float64{0.95, 0.8, 0.8}
)

// queueFraction of the objective may always be spent queueing behind other requests.
// Without it, large prompts would always be refused: their prefill alone takes longer
// than the objective on an idle target.
const queueFraction = 0.25

// FirstByteLimit returns the longest expected TTFB at which a request is accepted.
// callerTimeout is the time after which the caller gives up without a first byte,
// idleTTFB the expected TTFB at an idle target.
func FirstByteLimit(priority int, objective, callerTimeout, idleTTFB time.Duration) time.Duration {
	index := min(max(0, priority), len(callerTimeoutFractions)-1)
	limit := scale(callerTimeoutFractions[index], callerTimeout)
	if objective <= 0 {
		return limit
	}
	return min(limit, max(scale(objectiveFractions[index], objective), QueueLimit(objective, idleTTFB)))
}

// QueueLimit returns the expected TTFB up to which a request is accepted even if its
// TTFB at an idle target exceeds the objective.
func QueueLimit(objective, idleTTFB time.Duration) time.Duration {
	return idleTTFB + scale(queueFraction, objective)
}

func scale(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}
