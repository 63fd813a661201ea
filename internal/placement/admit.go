package placement

import "time"

var (
	// leaveParts are the parts of the time in which a caller leaves without a first
	// byte that may be planned for, by the priority of the route. The rest covers what
	// the model does not know.
	callerTimeoutFractions = []float64{0.8, 0.55, 0.45}
	// objectiveParts are the parts of the objective that may be planned for. While more
	// requests come than can be served, one that would begin late takes the place of
	// one that would begin in time. Less urgent routes yield earlier.
	objectiveFractions = []float64{0.95, 0.8, 0.8}
)

// queuePart of the objective may always be waited behind other requests: large
// prompts take longer than the objective on an idle target.
const queueFraction = 0.25

// FirstByteLimit is how long a request may be made to wait for its first byte. leave
// is when its caller leaves without one, alone the wait at a target without other
// work.
func FirstByteLimit(priority int, objective, callerTimeout, idleTTFB time.Duration) time.Duration {
	index := min(max(0, priority), len(callerTimeoutFractions)-1)
	limit := scale(callerTimeoutFractions[index], callerTimeout)
	if objective <= 0 {
		return limit
	}
	return min(limit, max(scale(objectiveFractions[index], objective), QueueLimit(objective, idleTTFB)))
}

// QueueLimit is how long any request may be made to wait, however long it would wait
// without other work.
func QueueLimit(objective, idleTTFB time.Duration) time.Duration {
	return idleTTFB + scale(queueFraction, objective)
}

func scale(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}
