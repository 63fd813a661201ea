package room

import (
	"math"
	"time"
)

const (
	// returnShare is the part of the room that callers who were told a time are expected to
	// find; the other part is for those who come for the first time meanwhile.
	returnShare = 0.5
	// minReturnRate is the rate of returning requests per second below which no room is
	// expected.
	minReturnRate = 0.05
	// minDecisions is the number of recent decisions below which nothing is known of the room.
	minDecisions = 4
	// competingTime is how long after its latest request a level counts as competing.
	competingTime = 10 * time.Second
)

// Schedule names the times at which refused callers should come back, so that those named by
// this host fit the room that its callers have found lately. As each host keeps to what its own
// callers find, the times of all hosts together fit the room of all. It promises nothing: a caller
// that comes back is decided on like others. Its state is lost with the host, and so are only
// the positions of times that were named.
type Schedule struct{ queues map[scheduleKey]*returnQueue }

type scheduleKey struct {
	service string
	level   Level
}

type returnQueue struct {
	accepted counter       // asked counts the accepted requests
	refused  counter       // asked counts the refused ones
	next     time.Duration // position of the next time
	seenAt   time.Duration // when a request last arrived
}

// NewSchedule returns an empty Schedule.
func NewSchedule() *Schedule { return &Schedule{queues: map[scheduleKey]*returnQueue{}} }

func (s *Schedule) queue(service string, level Level) *returnQueue {
	k := scheduleKey{service, level}
	q := s.queues[k]
	if q == nil {
		q = &returnQueue{}
		s.queues[k] = q
	}
	return q
}

// Arrived records that a request of a level arrived, and reports whether it competes with
// requests of other levels. Without them no times are named here.
func (s *Schedule) Arrived(now time.Duration, service string, level Level) bool {
	s.queue(service, level).seenAt = now
	for l := range Level(LevelCount) {
		if q := s.queues[scheduleKey{service, l}]; q != nil && l != level && now-q.seenAt < competingTime {
			return true
		}
	}
	return false
}

// Accepted records that a request found room.
func (s *Schedule) Accepted(now time.Duration, service string, level Level) {
	q := s.queue(service, level)
	q.accepted.decayTo(now)
	q.accepted.asked++
}

// Return is what is known of the return of a refused request.
type Return struct {
	// Soonest is when it may come back at the earliest, Needs how long its response takes, and
	// Left its time until its deadline.
	Soonest, Needs, Left time.Duration
	// Honoured is the longest time that its caller keeps to; it comes back then if told more.
	Honoured time.Duration
	// Draw, from 0 to 1, is random for each request.
	Draw float64
}

// spreadFrom is the part of the honoured time from which on requests are spread that have no
// position within it.
const spreadFrom = 0.5

// spread returns a time up to the honoured one, so that those without a position do not return at once.
func (r *Return) spread() time.Duration {
	longest := max(r.Soonest, r.Honoured)
	from := max(r.Soonest, time.Duration(spreadFrom*float64(longest)))
	return from + time.Duration(r.Draw*float64(longest-from))
}

// Name returns how long after now a refused request should come back, at most the time that its
// caller keeps to, unless Soonest is longer. Without room within its time it returns false. A request
// whose position lies past the named time takes none from others. After few decisions the room is
// unknown, and it may come at once.
func (s *Schedule) Name(now time.Duration, service string, level Level, r Return) (time.Duration, bool) {
	q := s.queue(service, level)
	q.accepted.decayTo(now)
	q.refused.decayTo(now)
	q.refused.asked++
	if q.accepted.asked+q.refused.asked < minDecisions {
		return r.Soonest, true
	}
	rate := q.accepted.asked / sampleTime.Seconds() * returnShare
	wait := max(q.next-now, r.Soonest)
	if rate < minReturnRate || wait+r.Needs > r.Left {
		return r.spread(), false
	}
	if wait > max(r.Soonest, r.Honoured) {
		return r.spread(), true
	}
	q.next = max(q.next, now) + time.Duration(math.Round(float64(time.Second)/rate))
	return wait, true
}
