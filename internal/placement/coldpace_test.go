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
	// coldAllowed is the number of requests that a cold target survives in a second,
	// coldLimit what the hosts together aim at.
	coldAllowed, coldLimit = 7, 6

	paceStep     = 20 * ms
	paceDuration = 20 * second
	paceReport   = 200 * ms // between the reports of a host
)

// paceHost is one process of an entry host in a schedule.
type paceHost struct {
	name        string
	startedAt   time.Duration
	frozenUntil time.Duration
	cutUntil    time.Duration // from the control hosts
	nextReport  time.Duration
	placer      *placement.Placer
	lease       shares.PartitionLease
	held        shares.PartitionSet // at the last step
	unsent      []*paceSend
}

// paceSend is a request between the choice of its target and the moment of sending.
type paceSend struct {
	attempt   *placement.Attempt
	checkAt   time.Duration // when the attempt is checked before a connection is taken
	sendAt    time.Duration
	isChecked bool
	// writeAt is when the request leaves, and writtenAt when its host knows that it has.
	began              bool
	writeAt, writtenAt time.Duration
	left               bool
}

// paceReply is a grant on its way to a process.
type paceReply struct {
	to            *paceHost
	held          shares.PartitionSet
	sentAt, dueAt time.Duration
}

// paceQuery is the report of a process on its way to the leader.
type paceQuery struct {
	from          *paceHost
	held          shares.PartitionSet
	sentAt, dueAt time.Duration
}

// paceSchedule plays several hosts that send to one cold target. Hosts start, are killed,
// stand still, are slow, and are cut from the control hosts, whose leader changes. Reports
// and grants are delayed, overtake each other and outlive the process that sent them.
type paceSchedule struct {
	// delays are those between choice and send; in disagreement, hosts have different
	// views of each other.
	delays, disagreement bool

	rand    *rand.Rand
	now     time.Duration
	hosts   []*paceHost
	leader  *shares.PartitionAllocator
	queries []paceQuery
	replies []paceReply
	sent    []time.Duration
}

func (s *paceSchedule) chance(p float64) bool { return s.rand.Float64() < p }

func (s *paceSchedule) upTo(d time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(d)))
}

func (s *paceSchedule) newHost(name string) *paceHost {
	h := &paceHost{name: name, startedAt: s.now, placer: newPlacer(nil)}
	h.placer.PaceShare = func(now time.Duration, target string, limit int) int { return h.lease.Held(now).Permits(target, limit) }
	h.placer.SetTargets([]placement.Spec{{ID: "cold", Address: "10.0.0.1", Service: "s", Slots: 64, Paced: true, ColdLimit: coldLimit, ColdUntil: time.Hour}})
	return h
}

// messageDelay returns how long a report or a grant takes.
func (s *paceSchedule) messageDelay() time.Duration {
	if s.disagreement && s.chance(0.05) {
		return s.upTo(3 * second)
	}
	return s.upTo(200 * ms)
}

// report sends a report to the leader.
func (s *paceSchedule) report(h *paceHost) {
	h.nextReport = s.now + paceReport + s.upTo(100*ms)
	if s.now >= h.cutUntil {
		s.queries = append(s.queries, paceQuery{h, h.lease.Held(s.now), s.now, s.now + s.messageDelay()})
	}
}

// exchange delivers reports to the leader and grants to hosts.
func (s *paceSchedule) exchange() {
	s.queries = slices.DeleteFunc(s.queries, func(q paceQuery) bool {
		if s.now < q.dueAt {
			return false
		}
		granted := s.leader.Report(s.now, "region", shares.Holder{Host: q.from.name, StartMillis: q.from.startedAt.Milliseconds()}, q.held)
		s.replies = append(s.replies, paceReply{q.from, granted, q.sentAt, s.now + s.messageDelay()})
		return true
	})
	s.replies = slices.DeleteFunc(s.replies, func(r paceReply) bool {
		if s.now < r.dueAt || s.now < r.to.frozenUntil {
			return false
		}
		if s.now >= r.to.cutUntil {
			r.to.lease.Grant(r.held, r.sentAt)
		}
		return true
	})
}

func (s *paceSchedule) choose(h *paceHost) {
	r := &placement.Request{Service: "s", Objective: second}
	c, ok := h.placer.Choose(s.now, r, nil)
	if !ok {
		return
	}
	send := &paceSend{attempt: h.placer.Start(s.now, c.Target, r), checkAt: s.now, sendAt: s.now + s.upTo(10*ms)}
	switch {
	case !s.delays:
		send.sendAt = s.now
	case s.chance(0.1): // a new connection
		send.sendAt = s.now + s.upTo(300*ms)
	case s.chance(0.1): // a body that arrives slowly
		send.checkAt = s.now + s.upTo(2*second)
		send.sendAt = send.checkAt + s.upTo(10*ms)
	}
	h.unsent = append(h.unsent, send)
}

// send sends the requests of a host that are due.
func (s *paceSchedule) send(h *paceHost) {
	h.unsent = slices.DeleteFunc(h.unsent, func(u *paceSend) bool {
		if !u.isChecked && s.now >= u.checkAt {
			if u.isChecked = true; !h.placer.Accepts(s.now, u.attempt) {
				h.placer.Done(s.now, u.attempt, placement.Cancelled)
				return true
			}
		}
		if !u.isChecked || s.now < u.sendAt {
			return false
		}
		if !u.began {
			if !h.placer.BeginSend(s.now, u.attempt) {
				h.placer.Done(s.now, u.attempt, placement.Cancelled)
				return true
			}
			u.began, u.writeAt = true, s.now
			if s.delays && s.chance(0.1) {
				u.writeAt += s.upTo(60 * ms)
			}
			u.writtenAt = u.writeAt
			if s.delays && s.chance(0.1) {
				u.writtenAt += s.upTo(second) // a blocked connection
			}
		}
		if s.now >= u.writeAt && !u.left {
			u.left = true
			s.sent = append(s.sent, s.now)
		}
		if s.now < u.writtenAt {
			return false
		}
		h.placer.EndSend(s.now, u.attempt)
		h.placer.Done(s.now, u.attempt, placement.Served)
		return true
	})
}

func (s *paceSchedule) step() {
	if s.disagreement && s.chance(0.001) {
		s.leader = shares.NewPartitionAllocator(s.now)
	}
	s.exchange()
	for i, h := range s.hosts {
		if s.now < h.frozenUntil {
			continue
		}
		switch {
		case s.disagreement && s.chance(0.0005): // the process is killed and starts again
			s.hosts[i] = s.newHost(h.name)
			continue
		case s.delays && s.chance(0.0015):
			h.frozenUntil = s.now + s.upTo(8*second)
			continue
		case s.delays && s.chance(0.002): // a slow host stands still for short times
			h.frozenUntil = s.now + s.upTo(600*ms)
			continue
		case s.disagreement && s.chance(0.001):
			h.cutUntil = s.now + s.upTo(15*second)
		}
		if s.now >= h.nextReport {
			s.report(h)
		}
		s.send(h)
		for range 1 + s.rand.IntN(2) {
			if s.chance(0.3) {
				s.choose(h)
			}
		}
		s.send(h)
	}
}

// play returns the largest number of requests in any second, and when it began.
func (s *paceSchedule) play() (most int, at time.Duration) {
	for i := range 2 + s.rand.IntN(10) {
		h := s.newHost(fmt.Sprint("host-", i))
		h.startedAt += s.upTo(3 * second)
		s.hosts = append(s.hosts, h)
	}
	s.leader = shares.NewPartitionAllocator(s.now)
	for s.now = second; s.now < paceDuration; s.now += paceStep {
		s.step()
	}
	first := 0
	for i, t := range s.sent {
		for t-s.sent[first] >= second {
			first++
		}
		if n := i - first + 1; n > most {
			most, at = n, s.sent[first]
		}
	}
	return most, at
}

// Guards against a cold target that gets more requests in a second than it survives
// because its hosts disagree, stand still between choice and send, or have just started.
func TestColdPaceOfAllHosts(t *testing.T) {
	const schedules = 1000
	for name, kind := range map[string]paceSchedule{"delays": {delays: true}, "disagreement": {disagreement: true}, "both": {delays: true, disagreement: true}} {
		t.Run(name, func(t *testing.T) {
			failed, served := 0, 0
			for seed := range uint64(schedules) {
				s := kind
				s.rand = rand.New(rand.NewPCG(seed, 32))
				most, at := s.play()
				served += len(s.sent)
				if most <= coldAllowed {
					continue
				}
				if failed++; failed <= 3 {
					t.Errorf("seed %d: %d requests in the second from %v, %d allowed", seed, most, at, coldAllowed)
				}
			}
			t.Logf("%d of %d schedules exceed the limit; %.2f requests a second are served", failed, schedules, float64(served)/schedules/paceDuration.Seconds())
		})
	}
}
