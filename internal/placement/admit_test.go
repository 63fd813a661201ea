package placement_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/placement"
)

// ends are the times at which running answers end.
type ends []time.Duration

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i] < e[j] }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(time.Duration)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Load: for half a minute twice as many questions come as the engines can answer.
// Guards against a queue in which every answer begins late: as many are served when
// those that would be late are refused, and they begin in time.
func TestSustainedOverload(t *testing.T) {
	const (
		slots     = 64
		length    = 2500 * ms
		objective = 600 * ms
		leave     = 2400 * ms
		alone     = 90 * ms
	)
	r := rand.New(rand.NewPCG(3, 4))
	free := make(ends, slots) // when each slot is free
	served, inTime := 0, 0
	for now := time.Duration(0); now < 30*second; now += time.Duration(r.ExpFloat64() * float64(length) / (2 * slots)) {
		wait := alone + max(0, free[0]-now)
		if wait > placement.FirstByteLimit(0, objective, leave, alone) {
			continue
		}
		free[0] = now + wait + time.Duration((0.5+r.Float64())*float64(length))
		heap.Fix(&free, 0)
		served++
		if wait <= objective {
			inTime++
		}
	}
	capacity := int(slots * 30 * second / length)
	if served < capacity*95/100 {
		t.Errorf("%d of %d are served", served, capacity)
	}
	if inTime < served*85/100 {
		t.Errorf("%d of %d begin in time", inTime, served)
	}
}

// Guards against large prompts that are refused by idle targets because reading them
// takes longer than the objective, and against less urgent routes that wait as long as
// urgent ones.
func TestFirstByteLimit(t *testing.T) {
	for name, c := range map[string]struct {
		priority                int
		objective, leave, alone time.Duration
		least, most             time.Duration
	}{
		"usual":                  {0, 600 * ms, 2400 * ms, 90 * ms, 500 * ms, 600 * ms},
		"less urgent":            {1, 600 * ms, 2400 * ms, 90 * ms, 400 * ms, 600 * ms},
		"large prompt":           {1, 800 * ms, 3200 * ms, 900 * ms, 1000 * ms, 1200 * ms},
		"larger than the caller": {1, 800 * ms, 3200 * ms, 3 * second, second, 1800 * ms},
		"no objective":           {0, 0, 2 * second, 90 * ms, 1500 * ms, 1700 * ms},
		"unknown priority":       {99, 600 * ms, 2400 * ms, 90 * ms, 400 * ms, 600 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			if got := placement.FirstByteLimit(c.priority, c.objective, c.leave, c.alone); got < c.least || got > c.most {
				t.Errorf("limit %s, want %s to %s", got, c.least, c.most)
			}
		})
	}
}

// Load: two hosts that forward to a region that has just filled up. Guards against
// requests that are sent there on an old report, and against a large prompt that is
// expected to begin as early as a usual one.
func TestExpectIn(t *testing.T) {
	p := newPlacer(engines(1))
	region := placement.NewRemoteRegion()
	region.UpdateLoad("llm", placement.Load{TTFB: 100 * ms, TimePerToken: 8 * ms, MeasuredAt: second})
	expect := func(now time.Duration, r *placement.Request) time.Duration {
		t.Helper()
		e, ok := p.EstimateRemote(now, region, r)
		if !ok {
			t.Fatal("no expectation")
		}
		return e.TTFB
	}
	small, large := expect(1100*ms, question(1)), expect(1100*ms, digest(1, 1))
	if small < 200*ms || small > 260*ms || large < small+30*ms {
		t.Errorf("a question waits %s, a digest %s", small, large)
	}
	for range 20 {
		region.RecordSent(1100 * ms)
	}
	if got := expect(1150*ms, question(1)); got < small+200*ms {
		t.Errorf("wait %s after 20 requests, %s before", got, small)
	}
	region.UpdateLoad("llm", placement.Load{TTFB: 900 * ms, MeasuredAt: 1300 * ms})
	region.UpdateLoad("llm", placement.Load{TTFB: 50 * ms, MeasuredAt: 1200 * ms}) // an older report
	if got := expect(1350*ms, question(1)); got < second || got > 1100*ms {
		t.Errorf("wait %s after an answer that said 900 ms", got)
	}
	if _, ok := p.EstimateRemote(5*second, region, question(1)); ok {
		t.Error("an old load counts")
	}
}
