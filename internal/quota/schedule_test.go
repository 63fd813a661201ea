package quota

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"
)

var schedules = flag.Int("quota.schedules", 25, "number of randomised schedules")
var firstSeed = flag.Uint64("quota.seed", 1, "seed of the first schedule")

// boundChange is a change of the share that bounds the spending of a workspace.
type boundChange struct {
	at    time.Duration
	share Share
	order uint64
}

var boundsMu sync.Mutex
var boundHistory = map[*simulation]map[string][]boundChange{}

func (s *simulation) recordBound(workspace string, share Share) {
	boundsMu.Lock()
	defer boundsMu.Unlock()
	if boundHistory[s] == nil {
		boundHistory[s] = map[string][]boundChange{}
	}
	boundHistory[s][workspace] = append(boundHistory[s][workspace], boundChange{s.now, share, s.lastOrder})
}

// tolerance covers rounding in the ideal bucket, which uses floating point.
const tolerance = float64(TokenUnit) / 100

// checkAdmissions replays all admissions against one ideal bucket: in each window
// of length t at most burst + rate*t may be used.
func (s *simulation) checkAdmissions() error {
	boundsMu.Lock()
	history := boundHistory[s]
	delete(boundHistory, s)
	boundsMu.Unlock()
	ideal := map[string]*idealBucket{}
	next := map[string]int{}
	for _, a := range s.admitted {
		b := ideal[a.workspace]
		if b == nil {
			b = &idealBucket{updatedAt: a.at}
			ideal[a.workspace] = b
		}
		b.advance(a.at)
		if a.used < 0 {
			change := history[a.workspace][next[a.workspace]]
			next[a.workspace]++
			if b.share == (Share{}) {
				b.level = float64(change.share.Burst)
			}
			b.share = change.share
			b.advance(a.at)
			continue
		}
		b.level -= float64(a.used)
		if b.level < -tolerance {
			return fmt.Errorf("%s at %v: admitted %.3f tokens more than burst + rate*t", a.workspace, a.at, -b.level/float64(TokenUnit))
		}
	}
	return nil
}

// checkSpendable checks that the spendable amount of all hosts is now within the
// burst, and that each spendable loan is still counted by its lender.
func (s *simulation) checkSpendable() error {
	for name, ideal := range s.ideal {
		var sum Amount
		var details []string
		for _, h := range s.hosts {
			if !h.alive {
				continue
			}
			spendable, err := s.spendableOn(h, name)
			if err != nil {
				return err
			}
			sum += spendable
			details = append(details, fmt.Sprintf("%s=%d (floor %d, elastic term %d, frozen %v)", h.name, spendable,
				effectiveShare(h.host.records[name], h.name).Burst, h.host.elastic.term, h.frozen))
		}
		if sum > ideal.share.Burst {
			return fmt.Errorf("%s at %v: spendable %d exceeds burst %d: %v; record %v", name, s.now, sum, ideal.share.Burst, details, s.reference.records[name])
		}
	}
	return nil
}

func (s *simulation) spendableOn(h *simHost, name string) (Amount, error) {
	var sum Amount
	now := h.clock(s.now)
	if a := h.host.accounts[name]; a != nil {
		if a.floor != nil {
			if !h.frozen {
				a.floor.Advance(now)
			}
			sum += a.floor.Spendable()
		}
		for _, l := range a.loans {
			if l.closed || now >= l.expires || l.remaining == 0 {
				continue
			}
			counted, lenderGone := s.countedByLender(l, name)
			if !counted && !lenderGone {
				return 0, fmt.Errorf("%s at %v: %s can spend a loan that %q no longer counts", name, s.now, h.name, l.lender)
			}
			if lenderGone {
				sum += l.remaining
			}
		}
	} else {
		sum += effectiveShare(h.host.records[name], h.name).Burst
	}
	if h.host.elastic.buckets != nil && (s.elasticTerm == h.host.elastic.term || s.lease(h) == h.host.elastic.term) {
		if b := h.host.elastic.buckets[name]; b != nil {
			if !h.frozen {
				b.Advance(now)
			}
			sum += b.Spendable()
		} else if r := h.host.records[name]; r != nil && !h.frozen {
			sum += h.host.elasticBucketLevel(now, name)
		}
	}
	return sum, nil
}

// elasticBucketLevel is the level of a bucket that was not created yet.
func (h *Host) elasticBucketLevel(now time.Duration, name string) Amount {
	b := NewBucket(effectiveShare(h.records[name], elasticName), h.elastic.since+LenderLoanTTL)
	b.Advance(now)
	return b.Level()
}

// countedByLender reports whether the lender counts the loan as outstanding;
// lenderGone is true when the lending bucket no longer exists.
func (s *simulation) countedByLender(l *borrowedLoan, name string) (counted, lenderGone bool) {
	lenderGone = true
	for _, h := range s.hosts {
		if !h.alive {
			continue
		}
		var b *Bucket
		if l.lender == elasticName {
			b = h.host.elastic.buckets[name]
		} else if a := h.host.accounts[name]; a != nil && h.name == l.lender {
			b = a.floor
		}
		if b == nil {
			continue
		}
		if found, ok := b.lentLoans[l.id]; ok {
			return !found.ended || h.frozen, false
		}
	}
	return false, lenderGone
}

// injectFault starts one random fault and ends it later.
func (s *simulation) injectFault() {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	length := time.Duration(s.rng.Int64N(int64(3 * time.Second)))
	switch s.rng.IntN(7) {
	case 0, 1: // restart
		h.alive = false
		s.after(length/4, func() {
			if !h.alive && s.listed(h) {
				s.startHost(h)
			}
		})
	case 2: // suspend the process, which may resume with expired loans
		h.frozen = true
		s.after(length, func() {
			h.frozen = false
			s.unfreeze(h)
			for _, ws := range s.workspaces { // before the first Tick after the suspension
				s.request(h, ws.Name, 10*TokenUnit, 10*TokenUnit, 0, nil)
			}
		})
	case 3: // partition of a data centre
		centre := h.dataCentre
		s.partition(centre, true)
		s.after(length, func() { s.partition(centre, false) })
	case 4: // leader change
		s.after(time.Second, func() { s.elect(h) })
	case 5: // new rates
		i := s.rng.IntN(len(s.workspaces))
		s.workspaces[i].Rate = 50 + s.rng.Int64N(1500)
		s.workspaces[i].Burst = 50 + s.rng.Int64N(2000)
	case 6: // removal or return of a host that is not a voter
		s.changeMembers(h)
	}
}

func (s *simulation) unfreeze(h *simHost) {
	deferred := h.deferredCalls
	h.deferredCalls = nil
	for _, do := range deferred {
		s.after(time.Duration(s.rng.Int64N(int64(5*time.Millisecond))), do)
	}
}

func (s *simulation) partition(centre string, cut bool) {
	for _, a := range s.hosts {
		for _, b := range s.hosts {
			if (a.dataCentre == centre) != (b.dataCentre == centre) {
				s.cut[[2]string{a.name, b.name}] = cut
			}
		}
	}
}

// changeMembers stops a host that is not a voter and removes it from the host
// list, as an operator does, or adds and starts it again.
func (s *simulation) changeMembers(h *simHost) {
	if h.voter != nil {
		return
	}
	if !s.listed(h) {
		s.members = append(s.members, Member{h.name, h.dataCentre})
		s.startHost(h)
		return
	}
	h.alive = false
	s.members = slices.DeleteFunc(slices.Clone(s.members), func(m Member) bool { return m.Name == h.name })
	s.after(4*time.Second, func() {
		if !s.listed(h) {
			s.changeMembers(h)
		}
	})
}

func (s *simulation) listed(h *simHost) bool {
	return slices.ContainsFunc(s.members, func(m Member) bool { return m.Name == h.name })
}

func randomSimulation(seed uint64) *simulation {
	s := newSimulation(seed, threeCentreMembers(), []Workspace{
		{Name: "a", Rate: 600, Burst: 1000}, {Name: "b", Rate: 300, Burst: 200},
		{Name: "c", Rate: 400, Burst: 900, Residency: []string{"dc1", "dc2"}}}, 0.01)
	s.loss, s.duplicate = s.rng.Float64()*0.1, s.rng.Float64()*0.1
	if seed%4 == 0 {
		s.delay = func(_, _ *simHost) time.Duration { return time.Duration(s.rng.Int64N(int64(120 * time.Millisecond))) }
	}
	load := 0.3 + 4*s.rng.Float64()
	var arrive, injectFaults func()
	arrive = func() {
		workspace := s.workspaces[s.rng.IntN(len(s.workspaces))].Name
		cost := 1 + s.rng.Int64N(60)
		if s.rng.IntN(100) == 0 {
			cost = 1 + s.rng.Int64N(1000)
		}
		used := s.rng.Int64N(cost*TokenUnit + 1)
		s.request(s.hosts[s.rng.IntN(len(s.hosts))], workspace, cost*TokenUnit, used, time.Duration(s.rng.ExpFloat64()*float64(time.Second)), nil)
		s.after(time.Duration(s.rng.ExpFloat64()*float64(20*time.Millisecond)/load), arrive)
	}
	injectFaults = func() {
		s.injectFault()
		s.after(time.Duration(s.rng.ExpFloat64()*float64(600*time.Millisecond)), injectFaults)
	}
	var maintainLeader func()
	maintainLeader = func() { // elects a random voter when there is no lease
		if s.now >= s.leaseUntil+time.Duration(s.rng.Int64N(int64(time.Second))) {
			s.elect(s.hosts[s.rng.IntN(len(s.hosts))])
		}
		s.after(100*time.Millisecond, maintainLeader)
	}
	var check func()
	check = func() {
		if err := s.checkSpendable(); err != nil && s.failure == "" {
			s.failure = err.Error()
		}
		s.after(7*time.Millisecond, check)
	}
	s.after(0, arrive)
	s.after(2*time.Second, injectFaults)
	s.after(0, maintainLeader)
	s.after(0, check)
	return s
}

func threeCentreMembers() []Member {
	return []Member{{"g1", "dc1"}, {"s1", "dc2"}, {"b1", "dc3"}, {"g2", "dc1"}}
}

func runSchedule(seed uint64) (admitted int, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
		}
	}()
	s := randomSimulation(seed)
	s.run(20 * time.Second)
	if s.failure != "" {
		return 0, fmt.Errorf("%s", s.failure)
	}
	return len(s.admitted), s.checkAdmissions()
}

// Guards against tokens that are created by loss, delay, duplication, partitions,
// suspended processes, restarts, leader changes, rate changes, epochs or clock
// drift: the spendable amount exceeds the burst, or a window admits more than
// burst + rate*t.
// Run many: go test ./internal/quota -run TestSchedules -quota.schedules=10000
func TestSchedules(t *testing.T) {
	seeds := make(chan uint64)
	var group sync.WaitGroup
	var total sync.Map
	for range min(3, runtime.GOMAXPROCS(0)) {
		group.Go(func() {
			for seed := range seeds {
				admitted, err := runSchedule(seed)
				if err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
				total.Store(seed, admitted)
			}
		})
	}
	for i := range *schedules {
		seeds <- *firstSeed + uint64(i)
	}
	close(seeds)
	group.Wait()
	sum := 0
	total.Range(func(_, v any) bool { sum += v.(int); return true })
	t.Logf("%d schedules from seed %d, %d admissions", *schedules, *firstSeed, sum)
}
