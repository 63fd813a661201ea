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

// bound is the history of what a workspace may spend.
type bound struct {
	at    time.Duration
	share Share
	order uint64
}

var boundsMu sync.Mutex
var boundsOf = map[*world]map[string][]bound{}

func (w *world) bounds(workspace string, share Share) {
	boundsMu.Lock()
	defer boundsMu.Unlock()
	if boundsOf[w] == nil {
		boundsOf[w] = map[string][]bound{}
	}
	boundsOf[w][workspace] = append(boundsOf[w][workspace], bound{w.now, share, w.order})
}

// tolerance covers rounding in the ideal bucket, which is in floating point.
const tolerance = float64(TokenUnit) / 100

// outside replays all admissions against one ideal bucket: in each window of
// length t at most burst + rate*t may be used.
func (w *world) outside() error {
	boundsMu.Lock()
	history := boundsOf[w]
	delete(boundsOf, w)
	boundsMu.Unlock()
	ideal := map[string]*idealBucket{}
	next := map[string]int{}
	for _, a := range w.admitted {
		b := ideal[a.workspace]
		if b == nil {
			b = &idealBucket{last: a.at}
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

// conserve checks at the present instant that all that can be spent is within
// the bound, and that each spendable loan is counted by its lender.
func (w *world) conserve() error {
	for name, ideal := range w.ideal {
		var sum Amount
		var parts []string
		for _, h := range w.hosts {
			if !h.alive {
				continue
			}
			spendable, err := w.spendableOn(h, name)
			if err != nil {
				return err
			}
			sum += spendable
			parts = append(parts, fmt.Sprintf("%s=%d (floor %d, elastic term %d, frozen %v)", h.name, spendable,
				inForce(h.host.records[name], h.name).Burst, h.host.elastic.term, h.frozen))
		}
		if sum > ideal.share.Burst {
			return fmt.Errorf("%s at %v: spendable %d exceeds burst %d: %v; record %v", name, w.now, sum, ideal.share.Burst, parts, w.truth.records[name])
		}
	}
	return nil
}

func (w *world) spendableOn(h *simHost, name string) (Amount, error) {
	var sum Amount
	now := h.clock(w.now)
	if a := h.host.accounts[name]; a != nil {
		if a.floor != nil {
			if !h.frozen {
				a.floor.Advance(now)
			}
			sum += a.floor.Spendable()
		}
		for _, l := range a.held {
			if l.closed || now >= l.expires || l.left == 0 {
				continue
			}
			counted, gone := w.counted(l, name)
			if !counted && !gone {
				return 0, fmt.Errorf("%s at %v: %s can spend a loan that %q no longer counts", name, w.now, h.name, l.lender)
			}
			if gone {
				sum += l.left
			}
		}
	} else {
		sum += inForce(h.host.records[name], h.name).Burst
	}
	if h.host.elastic.buckets != nil && (w.elasticTerm == h.host.elastic.term || w.lease(h) == h.host.elastic.term) {
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
	b := NewBucket(inForce(h.records[name], elastic), h.elastic.since+LenderLoanTTL)
	b.Advance(now)
	return b.Level()
}

// counted reports whether the lender counts the loan as outstanding; gone is
// true when the lending bucket no longer exists.
func (w *world) counted(l *held, name string) (counted, gone bool) {
	gone = true
	for _, h := range w.hosts {
		if !h.alive {
			continue
		}
		var b *Bucket
		if l.lender == elastic {
			b = h.host.elastic.buckets[name]
		} else if a := h.host.accounts[name]; a != nil && h.name == l.lender {
			b = a.floor
		}
		if b == nil {
			continue
		}
		if found, ok := b.lent[l.id]; ok {
			return !found.ended || h.frozen, false
		}
	}
	return false, gone
}

// fault starts one random fault and ends it later.
func (w *world) fault() {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	length := time.Duration(w.rng.Int64N(int64(3 * time.Second)))
	switch w.rng.IntN(7) {
	case 0, 1: // restart
		h.alive = false
		w.at(length/4, func() {
			if !h.alive && w.listed(h) {
				w.boot(h)
			}
		})
	case 2: // freeze and wake with old loans
		h.frozen = true
		w.at(length, func() {
			h.frozen = false
			w.wake(h)
			for _, ws := range w.workspaces { // before the process notices that time has passed
				w.request(h, ws.Name, 10*TokenUnit, 10*TokenUnit, 0, nil)
			}
		})
	case 3: // partition of a data centre
		centre := h.dataCentre
		w.partition(centre, true)
		w.at(length, func() { w.partition(centre, false) })
	case 4: // leader change
		w.at(time.Second, func() { w.elect(h) })
	case 5: // new rates
		i := w.rng.IntN(len(w.workspaces))
		w.workspaces[i].Rate = 50 + w.rng.Int64N(1500)
		w.workspaces[i].Burst = 50 + w.rng.Int64N(2000)
	case 6: // a holder is removed or added again
		w.changeMembers(h)
	}
}

func (w *world) wake(h *simHost) {
	deferred := h.deferred
	h.deferred = nil
	for _, do := range deferred {
		w.at(time.Duration(w.rng.Int64N(int64(5*time.Millisecond))), do)
	}
}

func (w *world) partition(centre string, cut bool) {
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			if (a.dataCentre == centre) != (b.dataCentre == centre) {
				w.cut[[2]string{a.name, b.name}] = cut
			}
		}
	}
}

// changeMembers stops a host that is no voter and removes it from the host
// list, as an operator does, or brings it back.
func (w *world) changeMembers(h *simHost) {
	if h.voter != nil {
		return
	}
	if !w.listed(h) {
		w.members = append(w.members, Member{h.name, h.dataCentre})
		w.boot(h)
		return
	}
	h.alive = false
	w.members = slices.DeleteFunc(slices.Clone(w.members), func(m Member) bool { return m.Name == h.name })
	w.at(4*time.Second, func() {
		if !w.listed(h) {
			w.changeMembers(h)
		}
	})
}

func (w *world) listed(h *simHost) bool {
	return slices.ContainsFunc(w.members, func(m Member) bool { return m.Name == h.name })
}

func randomWorld(seed uint64) *world {
	w := newWorld(seed, cantabricoMembers(), []Workspace{
		{Name: "a", Rate: 600, Burst: 1000}, {Name: "b", Rate: 300, Burst: 200},
		{Name: "c", Rate: 400, Burst: 900, Residency: []string{"dc1", "dc2"}}}, 0.01)
	w.loss, w.duplicate = w.rng.Float64()*0.1, w.rng.Float64()*0.1
	if seed%4 == 0 {
		w.delay = func(_, _ *simHost) time.Duration { return time.Duration(w.rng.Int64N(int64(120 * time.Millisecond))) }
	}
	load := 0.3 + 4*w.rng.Float64()
	var arrive, disturb func()
	arrive = func() {
		workspace := w.workspaces[w.rng.IntN(len(w.workspaces))].Name
		cost := 1 + w.rng.Int64N(60)
		if w.rng.IntN(100) == 0 {
			cost = 1 + w.rng.Int64N(1000)
		}
		used := w.rng.Int64N(cost*TokenUnit + 1)
		w.request(w.hosts[w.rng.IntN(len(w.hosts))], workspace, cost*TokenUnit, used, time.Duration(w.rng.ExpFloat64()*float64(time.Second)), nil)
		w.at(time.Duration(w.rng.ExpFloat64()*float64(20*time.Millisecond)/load), arrive)
	}
	disturb = func() {
		w.fault()
		w.at(time.Duration(w.rng.ExpFloat64()*float64(600*time.Millisecond)), disturb)
	}
	var govern func()
	govern = func() { // elects a reachable voter when there is no lease
		if w.now >= w.leaseUntil+time.Duration(w.rng.Int64N(int64(time.Second))) {
			w.elect(w.hosts[w.rng.IntN(len(w.hosts))])
		}
		w.at(100*time.Millisecond, govern)
	}
	var check func()
	check = func() {
		if err := w.conserve(); err != nil && w.failure == "" {
			w.failure = err.Error()
		}
		w.at(7*time.Millisecond, check)
	}
	w.at(0, arrive)
	w.at(2*time.Second, disturb)
	w.at(0, govern)
	w.at(0, check)
	return w
}

func cantabricoMembers() []Member {
	return []Member{{"g1", "dc1"}, {"s1", "dc2"}, {"b1", "dc3"}, {"g2", "dc1"}}
}

func runSchedule(seed uint64) (admitted int, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
		}
	}()
	w := randomWorld(seed)
	w.run(20 * time.Second)
	if w.failure != "" {
		return 0, fmt.Errorf("%s", w.failure)
	}
	return len(w.admitted), w.outside()
}

// Guards against tokens that are created by loss, delay, duplication,
// partitions, freezes, restarts, leader changes, rate changes, epochs or clock
// drift: spendable exceeds the burst, or a window admits more than burst + rate*t.
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
