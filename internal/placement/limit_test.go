package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/shares"
)

const (
	limitWindow  = 4 * second
	limitContact = 5 * second // after the first statement nothing is counted
	// limitTold is how long after a process has passed on a first statement its requests count.
	limitTold     = 500 * ms
	limitDuration = 24 * second
	limitStep     = 10 * ms
	limitFrom     = 7 * second
	limitTo       = 20 * second
)

// limitSchedule plays several hosts that send to one target, which states a rate limit from
// limitFrom to limitTo. It disturbs them like paceSchedule, and also delays and loses the
// calls for permits and the reports between hosts.
type limitSchedule struct {
	paceSchedule
	perSecond float64
	// oneHost means that one host has all the callers.
	oneHost   bool
	messages  []limitMessage
	requests  []*limitRequest
	arrivals  []time.Duration // from hosts whose callers know of the limit, see limitTold
	said      map[*paceHost]time.Duration
	firstSaid time.Duration
}

// limitMessage is a report or a call between hosts, which takes effect at dueAt.
type limitMessage struct {
	to    *paceHost
	dueAt time.Duration
	apply func()
}

// limitRequest is a request from the choice of its target to its response.
type limitRequest struct {
	host          *paceHost
	attempt       *placement.Attempt
	sendAt        time.Duration
	sent          bool
	respondAt     time.Duration
	statedPerSent float64
}

func (s *limitSchedule) newHost(name string) *paceHost {
	h := &paceHost{name: name, startedAt: s.now, placer: newPlacer(nil)}
	h.placer.HeldPartitions = h.lease.Held
	h.placer.SetTargets([]placement.Spec{{ID: "limited", Address: "10.0.0.1", Service: "s", Slots: 64}})
	return h
}

// post delivers a message after a delay, unless its receiver has been replaced by then.
func (s *limitSchedule) post(to *paceHost, delay time.Duration, apply func()) {
	if s.disagreement && s.chance(0.05) {
		delay += s.upTo(second)
	}
	s.messages = append(s.messages, limitMessage{to, s.now + delay, apply})
}

func (s *limitSchedule) deliver() {
	due := s.messages
	s.messages = nil
	for _, m := range due {
		switch {
		case !slices.Contains(s.hosts, m.to):
		case s.now < m.dueAt || s.now < m.to.frozenUntil:
			s.messages = append(s.messages, m)
		default:
			m.apply()
		}
	}
}

// tell sends what a host has heard to the others.
func (s *limitSchedule) tell(h *paceHost) {
	for _, l := range h.placer.LimitReports(s.now) {
		sent, heard := s.now-l.SentAt, s.now-l.HeardAt
		for _, to := range s.hosts {
			if to != h {
				s.post(to, s.upTo(100*ms), func() {
					l.SentAt, l.HeardAt = s.now-sent, s.now-heard
					to.placer.RecordLimit(s.now, l)
				})
			}
		}
	}
}

// call starts a request at a host.
func (s *limitSchedule) call(h *paceHost) {
	r := &placement.Request{Service: "s", Objective: second}
	c, ok := h.placer.Choose(s.now, r, nil)
	if !ok {
		return
	}
	q := &limitRequest{host: h, attempt: h.placer.Start(s.now, c.Target, r), sendAt: s.now + s.upTo(5*ms)}
	if s.delays && s.chance(0.1) {
		q.sendAt = s.now + s.upTo(400*ms)
	}
	limit, needed := h.placer.LimitOf(s.now, q.attempt)
	if !needed {
		s.requests = append(s.requests, q)
		return
	}
	asked := s.now
	answer := func(granted bool, wait time.Duration) {
		if granted {
			h.placer.SetPermit(q.attempt, asked)
			q.sendAt = max(q.sendAt, s.now)
			s.requests = append(s.requests, q)
			return
		}
		h.placer.SetNoPermit(q.attempt, s.now+wait)
		h.placer.Done(s.now, q.attempt, placement.Cancelled)
	}
	if h.placer.GrantsPermits(s.now, limit.Target) {
		answer(h.placer.TakePermit(s.now, limit.Target, limit.StartMillis))
		return
	}
	// Whoever has held the partition may be asked, also after its lease has ended.
	for _, other := range s.hosts {
		if other != h && other.lease.Held(s.now-s.upTo(2*second)).Grants(limit.Target) {
			s.post(other, s.upTo(4*ms), func() {
				other.placer.RecordLimit(s.now, limit)
				granted, wait := other.placer.TakePermit(s.now, limit.Target, limit.StartMillis)
				s.post(h, s.upTo(4*ms), func() { answer(granted, wait) })
			})
			return
		}
	}
	answer(false, 200*ms)
}

// progress sends requests that are due and delivers responses.
func (s *limitSchedule) progress() {
	s.requests = slices.DeleteFunc(s.requests, func(q *limitRequest) bool {
		h := q.host
		switch {
		case !slices.Contains(s.hosts, h):
			return true
		case s.now < h.frozenUntil:
			return false
		case !q.sent && s.now >= q.sendAt:
			if !h.placer.BeginSend(s.now, q.attempt) {
				h.placer.Done(s.now, q.attempt, placement.Cancelled)
				return true
			}
			h.placer.EndSend(s.now, q.attempt)
			if said := s.said[h]; said > 0 && s.now >= said+limitTold || !s.limited() {
				s.arrivals = append(s.arrivals, s.now)
			}
			q.sent, q.respondAt = true, s.now+s.upTo(300*ms)
			if s.limited() {
				q.statedPerSent = s.perSecond // the head is ready early, the way takes time
			}
		case q.sent && s.now >= q.respondAt:
			if q.statedPerSent > 0 {
				if s.firstSaid == 0 {
					s.firstSaid = s.now
				}
				if s.said[h] == 0 {
					s.said[h] = s.now
				}
			}
			h.placer.Observe(s.now, q.attempt, placement.Statement{Limit: q.statedPerSent})
			h.placer.Done(s.now, q.attempt, placement.Served)
			return true
		}
		return false
	})
}

func (s *limitSchedule) limited() bool { return s.now >= limitFrom && s.now < limitTo }

func (s *limitSchedule) disturb(i int) {
	h := s.hosts[i]
	switch {
	case s.disagreement && s.chance(0.0003):
		s.hosts[i] = s.newHost(h.name)
	case s.delays && s.chance(0.0008):
		h.frozenUntil = s.now + s.upTo(8*second)
	case s.disagreement && s.chance(0.0005):
		h.cutUntil = s.now + s.upTo(15*second)
	}
}

// play returns the most requests in any window of the limit that counts, those that came while
// the limit counted, and those in the last second, after its end.
func (s *limitSchedule) play() (most, counted, after int) {
	for i := range 2 + s.rand.IntN(8) {
		s.hosts = append(s.hosts, s.newHost(fmt.Sprint("host-", i)))
	}
	s.leader, s.said = shares.NewPartitionAllocator(s.now), map[*paceHost]time.Duration{}
	for s.now = ms; s.now < limitDuration; s.now += limitStep {
		if s.disagreement && s.chance(0.0003) {
			s.leader = shares.NewPartitionAllocator(s.now)
		}
		s.exchange()
		s.deliver()
		for i, h := range s.hosts {
			if s.now < h.frozenUntil {
				continue
			}
			if s.disturb(i); s.hosts[i] != h {
				continue
			}
			if held := h.lease.Held(s.now); held != 0 {
				h.placer.ForgetPermits(held &^ h.held)
				h.held = held
			} else {
				h.held = 0
			}
			if s.now >= h.nextReport {
				s.report(h)
				s.tell(h)
			}
			if s.chance(0.25) && (i == 0 || !s.oneHost) {
				s.call(h)
			}
		}
		s.progress()
	}
	from, first := s.firstSaid+limitContact, 0
	for i, at := range s.arrivals {
		switch {
		case at >= limitDuration-second:
			after++
		case at < from || at >= limitTo:
			continue
		}
		if at >= limitTo {
			continue
		}
		counted++
		for first = max(first, 0); s.arrivals[first] < from || at-s.arrivals[first] >= limitWindow; first++ {
		}
		most = max(most, i-first+1)
	}
	return most, counted, after
}

// Guards against a target that gets more requests than the rate limit that it states for all
// hosts together, because they are disturbed, disagree or learn of it late, against a limit that
// is left unused, and against one that hosts keep to after it has ended.
func TestStatedLimitOfAllHosts(t *testing.T) {
	const schedules = 200
	for name, kind := range map[string]limitSchedule{"undisturbed": {}, "one host has all callers": {oneHost: true}, "delays": {paceSchedule: paceSchedule{delays: true}},
		"disagreement": {paceSchedule: paceSchedule{disagreement: true}}, "both": {paceSchedule: paceSchedule{delays: true, disagreement: true}}} {
		t.Run(name, func(t *testing.T) {
			calm, failed, used := !kind.delays && !kind.disagreement, 0, 0.0
			for seed := range uint64(schedules) {
				s := kind
				s.rand = rand.New(rand.NewPCG(seed, 54))
				s.perSecond = []float64{0.5, 1, 2.4, 10}[seed%4]
				most, counted, after := s.play()
				countedTime := (limitTo - s.firstSaid - limitContact).Seconds()
				used += float64(counted) / (s.perSecond * countedTime)
				if allowed := int(1.5*s.perSecond*limitWindow.Seconds() + 5); most > allowed {
					if failed++; failed <= 3 {
						t.Errorf("seed %d: %d requests in %s at %.1f a second, %d allowed", seed, most, limitWindow, s.perSecond, allowed)
					}
				}
				if calm && float64(counted) < s.perSecond*countedTime/2-1 {
					t.Errorf("seed %d: %d requests in %.1f s at a limit of %.1f a second", seed, counted, countedTime, s.perSecond)
				}
				if calm && float64(after) < 1.5*s.perSecond+1 {
					t.Errorf("seed %d: %d requests in the last second, after a limit of %.1f a second has ended", seed, after, s.perSecond)
				}
			}
			t.Logf("%d of %d schedules exceed the limit; %.2f of it is used", failed, schedules, used/schedules)
		})
	}
}
