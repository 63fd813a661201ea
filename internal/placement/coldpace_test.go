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
	peers       *shares.PeerSet
	unsent      []*paceSend
}

// paceSend is a request between the choice of its target and the moment of sending.
type paceSend struct {
	attempt   *placement.Attempt
	checkAt   time.Duration // when the attempt is checked before a connection is taken
	sendAt    time.Duration
	isChecked bool
}

// paceSchedule plays several hosts that send to one cold target. Hosts start, are killed,
// stand still, are slow, and are cut from the control host, which forgets what it knows
// when it starts again.
type paceSchedule struct {
	// delays are those between choice and send; in disagreement, hosts have different
	// views of each other.
	delays, disagreement bool

	rand  *rand.Rand
	now   time.Duration
	hosts []*paceHost
	heard map[string]time.Duration // by the control host
	sent  []time.Duration
}

func (s *paceSchedule) chance(p float64) bool { return s.rand.Float64() < p }

func (s *paceSchedule) upTo(d time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(d)))
}

func (s *paceSchedule) newHost(name string) *paceHost {
	return &paceHost{name: name, startedAt: s.now, placer: newPlacer(nil), peers: shares.NewPeerSet(name, s.now)}
}

// report exchanges with the control host.
func (s *paceSchedule) report(h *paceHost) {
	h.nextReport = s.now + paceReport + s.upTo(100*ms)
	if s.now >= h.cutUntil {
		s.heard[h.name] = s.now
		for name, at := range s.heard {
			h.peers.RecordHeard(name, at)
		}
	}
	share := h.peers.LimitShare("cold", coldLimit, h.peers.ActiveHosts(s.now))
	h.placer.SetTargets([]placement.Spec{{ID: "cold", Address: "10.0.0.1", Service: "s", Slots: 64, Paced: true, ColdLimit: share, ColdUntil: time.Hour}})
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
		s.sent = append(s.sent, s.now)
		h.placer.Done(s.now, u.attempt, placement.Served)
		return true
	})
}

func (s *paceSchedule) step() {
	if s.disagreement && s.chance(0.001) {
		clear(s.heard) // the control host starts again
	}
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
				s.rand, s.heard = rand.New(rand.NewPCG(seed, 32)), map[string]time.Duration{}
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
