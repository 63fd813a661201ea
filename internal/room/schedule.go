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

// Name returns how long after now a refused request should come back. It needs service for
// its response and has left until its deadline. At the earliest it comes back after soonest.
// Without room within its time it returns false, and all of that time; such a request takes no
// position from others. After few decisions the room is unknown, and it may come at once.
func (s *Schedule) Name(now time.Duration, service string, level Level, soonest, needs, left time.Duration) (time.Duration, bool) {
	q := s.queue(service, level)
	q.accepted.decayTo(now)
	q.refused.decayTo(now)
	q.refused.asked++
	if q.accepted.asked+q.refused.asked < minDecisions {
		return soonest, true
	}
	rate := q.accepted.asked / sampleTime.Seconds() * returnShare
	at := max(q.next, now+soonest)
	if rate < minReturnRate || at-now+needs > left {
		return max(soonest, left), false
	}
	q.next = max(q.next, now) + time.Duration(math.Round(float64(time.Second)/rate))
	return at - now, true
}
