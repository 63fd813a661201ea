package room

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	boundUrgent = Level(0)
	freeUrgent  = Level(1)
	freeLate    = Level(5) // priority 2
)

// Pattern: bound urgent work beside less urgent work that may go anywhere.
func TestPressureFollowsLevels(t *testing.T) {
	t.Parallel()
	s := NewShortages()
	for range 100 {
		s.Record(0, "s", boundUrgent, 1, 400*time.Millisecond)
		s.Record(0, "s", freeLate, 0, 1600*time.Millisecond)
		s.Record(0, "other", boundUrgent, 0, 0)
	}
	for _, c := range []struct {
		service string
		level   Level
		want    Pressure
	}{
		{"s", boundUrgent, Pressure{}},
		{"s", freeUrgent, Pressure{Move: 1}},
		{"s", LevelOf(1, true), Pressure{Move: 1, Yield: 1, Wait: 400 * time.Millisecond}},
		{"s", freeLate, Pressure{Move: 1, Yield: 1, Wait: 400 * time.Millisecond}},
		{"other", freeLate, Pressure{}},
		{"unknown", freeLate, Pressure{}},
	} {
		if got := s.Pressure(0, c.service, c.level); got != c.want {
			t.Errorf("service %s, level %d: %+v, want %+v", c.service, c.level, got, c.want)
		}
	}
	if p := s.Pressure(30*time.Second, "s", freeLate); p.Yield > 0.01 {
		t.Errorf("pressure of %.2f after 30 s without requests", p.Yield)
	}
}

// Pattern: a few urgent requests are late while nothing is short.
func TestFewRequestsAreNoShortage(t *testing.T) {
	t.Parallel()
	s := NewShortages()
	s.Record(0, "s", boundUrgent, 1, time.Second)
	if p := s.Pressure(0, "s", freeLate); p.Yield > 0.7 {
		t.Errorf("one late request has pressure %.2f", p.Yield)
	}
	for range 40 {
		s.Record(time.Second, "s", boundUrgent, 0, time.Second)
	}
	if p := s.Pressure(time.Second, "s", freeLate); p.Yield > 0.05 {
		t.Errorf("one late request among 40 has pressure %.2f", p.Yield)
	}
}

// Pattern: callers leave urgent requests less time than an idle target needs, or hardly more.
func TestUnattainableRequestsAreNoShortage(t *testing.T) {
	t.Parallel()
	idle := 200 * time.Millisecond
	for _, c := range []struct {
		limit time.Duration
		want  Pressure
	}{{180 * time.Millisecond, Pressure{}}, {idle, Pressure{}}, {205 * time.Millisecond, Pressure{Move: 1, Yield: 1, Wait: minPressingWait}}} {
		s := NewShortages()
		for range 30 {
			s.Record(0, "s", boundUrgent, Shortness(210*time.Millisecond, idle, c.limit), c.limit-idle)
		}
		if got := s.Pressure(0, "s", freeLate); got != c.want {
			t.Errorf("limit %s: %+v, want %+v", c.limit, got, c.want)
		}
	}
}

// Pattern: a host is cut off, and reports arrive out of order.
func TestReportsAge(t *testing.T) {
	t.Parallel()
	s := NewShortages()
	short := []Count{{"s", boundUrgent, 50, 50, 400 * time.Millisecond}, {"s", Level(99), 1, 1, 0}, {"s", boundUrgent, math.NaN(), 1, 0}}
	s.Merge("a", time.Second, short)
	s.Merge("a", 900*time.Millisecond, nil) // older
	if p := s.Pressure(time.Second, "s", freeLate); p.Yield != 1 {
		t.Fatalf("pressure of %.2f of the report of another host", p.Yield)
	}
	if p := s.Pressure(time.Second+maxReportAge+time.Millisecond, "s", freeLate); p.Yield != 0 {
		t.Errorf("pressure of %.2f of a host that is no longer heard", p.Yield)
	}
}

// Pattern: the load of urgent work rises from little to more than the targets can take.
func TestLimitUnderPressure(t *testing.T) {
	t.Parallel()
	idle, limit := 100*time.Millisecond, 1700*time.Millisecond
	for _, c := range []struct {
		yield float64
		want  time.Duration
	}{{0, limit}, {0.25, 402 * time.Millisecond}, {0.5, 304 * time.Millisecond}, {1, 108 * time.Millisecond}} {
		if got := (Pressure{Yield: c.yield, Wait: 400 * time.Millisecond}).LimitAt(limit, idle, 0.5); got.Round(time.Microsecond) != c.want {
			t.Errorf("yield %.2f: limit %s, want %s", c.yield, got, c.want)
		}
	}
	if got := (Pressure{Yield: 0.1, Wait: 3 * time.Second}).LimitAt(limit, idle, 1); got > limit {
		t.Errorf("the limit rose to %s", got)
	}
	if got := (Pressure{Yield: 1}).LimitAt(-time.Second, idle, 0.9); got != -time.Second {
		t.Errorf("a limit that has passed became %s", got)
	}
}

// simulated is a region of hosts that send to one queue of work. Each knows the queue, and
// what the others counted, as it was some time ago.
type simulated struct {
	hosts  []*Shortages
	frozen map[int]bool
	queue  float64         // seconds of work
	past   []float64       // queue by step
	told   [][][]Count     // counts by step and host
	delays []time.Duration // by host
	now    time.Duration
}

const (
	simStep    = 10 * time.Millisecond
	simTargets = 20 // each of which has the queue ahead of new work
)

// step lets requests of both levels arrive and returns the numbers that were asked and refused, by
// level. Urgent ones take 20 ms of the queue, less urgent ones 100 ms.
func (s *simulated) step(r *rand.Rand, urgent, late float64) (asked, refused [LevelCount]int) {
	s.now += simStep
	s.past = append(s.past, s.queue)
	var told [][]Count
	for _, h := range s.hosts {
		told = append(told, h.Report(s.now))
	}
	s.told = append(s.told, told)
	for i, h := range s.hosts {
		if s.frozen[i] {
			continue
		}
		back := max(0, len(s.past)-1-int(s.delays[i]/simStep))
		for j := range s.hosts {
			if j != i && !s.frozen[j] {
				h.Merge(fmt.Sprint(j), time.Duration(back+1)*simStep, s.told[back][j])
			}
		}
		for _, kind := range []struct {
			level Level
			rate  float64
		}{{boundUrgent, urgent}, {freeLate, late}} {
			level, rate := kind.level, kind.rate
			if r.Float64() >= rate*simTargets*simStep.Seconds()/float64(len(s.hosts)) {
				continue
			}
			asked[level]++
			idle, limit, work := 20*time.Millisecond, 475*time.Millisecond, 0.020
			if level == freeLate {
				idle, limit, work = 100*time.Millisecond, 1600*time.Millisecond, 0.100
			}
			ttfb := idle + time.Duration(s.past[back]*float64(time.Second))
			h.Record(s.now, "s", level, Shortness(ttfb, idle, limit), limit-idle)
			d := Decide(&Inputs{Here: &Place{TTFB: ttfb, Idle: idle, Limit: limit}, Pressure: h.Pressure(s.now, "s", level), Draw: r.Float64(), EndsIn: NoEnd})
			if d.Action == Refuse {
				refused[level]++
				continue
			}
			s.queue += work / simTargets
		}
	}
	s.queue = max(0, s.queue-simStep.Seconds())
	return asked, refused
}

func (s *simulated) run(r *rand.Rand, d time.Duration, urgent, late float64) (asked, refused [LevelCount]float64, queue []float64) {
	for range int(d / simStep) {
		a, b := s.step(r, urgent, late)
		for l := range a {
			asked[l], refused[l] = asked[l]+float64(a[l]), refused[l]+float64(b[l])
		}
		queue = append(queue, s.queue)
	}
	return asked, refused, queue
}

func newSimulated(hosts int, r *rand.Rand, minDelay, maxDelay time.Duration) *simulated {
	s := &simulated{frozen: map[int]bool{}}
	for range hosts {
		s.hosts = append(s.hosts, NewShortages())
		s.delays = append(s.delays, minDelay+time.Duration(r.Int64N(int64(maxDelay-minDelay))))
	}
	return s
}

// Pattern: bound urgent work and less urgent work together exceed the targets; 28 or 100 hosts
// with views that are 0.2 to 0.5 s old.
func TestUrgentIsRefusedLastByManyHosts(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{28, 100} {
		r := rand.New(rand.NewPCG(1, uint64(hosts)))
		s := newSimulated(hosts, r, 200*time.Millisecond, 500*time.Millisecond)
		s.run(r, 4*time.Second, 35, 9)
		// Urgent requests need 0.7 of the targets, the others 0.9.
		asked, refused, queue := s.run(r, 10*time.Second, 35, 9)
		urgent, late := refused[boundUrgent]/asked[boundUrgent], refused[freeLate]/asked[freeLate]
		mean, deviation, idle := 0.0, 0.0, 0.0
		for _, q := range queue {
			mean += q / float64(len(queue))
			if q <= 0 {
				idle += 1 / float64(len(queue))
			}
		}
		for _, q := range queue {
			deviation += (q - mean) * (q - mean) / float64(len(queue))
		}
		deviation = math.Sqrt(deviation)
		t.Logf("%d hosts: refused %.3f of urgent and %.3f of less urgent ones; queue %.3f s, deviation %.3f s, idle %.3f", hosts, urgent, late, mean, deviation, idle)
		if urgent > 0.01 || late > 0.72 || idle > 0.01 || deviation > 0.1 {
			t.Errorf("%d hosts: refused %.3f of urgent and %.3f of less urgent ones; deviation of the queue %.3f s, idle %.3f", hosts, urgent, late, deviation, idle)
		}
	}
}

// Pattern: a host stands still for 4 s under load and wakes.
func TestHostFreezes(t *testing.T) {
	t.Parallel()
	r := rand.New(rand.NewPCG(2, 2))
	s := newSimulated(28, r, 200*time.Millisecond, 500*time.Millisecond)
	s.run(r, 4*time.Second, 35, 9)
	s.frozen[0] = true
	s.run(r, 4*time.Second, 35, 9)
	delete(s.frozen, 0)
	for _, after := range []time.Duration{100 * time.Millisecond, time.Second} {
		s.run(r, after, 35, 9)
		woken, other := s.hosts[0].Pressure(s.now, "s", freeLate), s.hosts[1].Pressure(s.now, "s", freeLate)
		if math.Abs(woken.Yield-other.Yield) > 0.25 {
			t.Errorf("%s after it woke, the host had pressure %.2f, where another has %.2f", after, woken.Yield, other.Yield)
		}
	}
}
