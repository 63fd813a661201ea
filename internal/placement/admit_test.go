package placement_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/placement"
)

// endTimes is a min-heap of the times at which running requests end.
type endTimes []time.Duration

func (e endTimes) Len() int           { return len(e) }
func (e endTimes) Less(i, j int) bool { return e[i] < e[j] }
func (e endTimes) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endTimes) Push(x any)        { *e = append(*e, x.(time.Duration)) }
func (e *endTimes) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Load: for 30 s, requests arrive at twice the capacity. Guards against a queue in
// which every response begins late. If requests whose responses would begin late are
// refused, as many are served in total, and their responses begin in time.
func TestSustainedOverload(t *testing.T) {
	const (
		slots         = 64
		duration      = 2500 * ms
		objective     = 600 * ms
		callerTimeout = 2400 * ms
		idleTTFB      = 90 * ms
	)
	r := rand.New(rand.NewPCG(3, 4))
	free := make(endTimes, slots) // when each slot is free
	served, inTime := 0, 0
	for now := time.Duration(0); now < 30*second; now += time.Duration(r.ExpFloat64() * float64(duration) / (2 * slots)) {
		wait := idleTTFB + max(0, free[0]-now)
		if wait > placement.FirstByteLimit(0, objective, callerTimeout, idleTTFB) {
			continue
		}
		free[0] = now + wait + time.Duration((0.5+r.Float64())*float64(duration))
		heap.Fix(&free, 0)
		served++
		if wait <= objective {
			inTime++
		}
	}
	capacity := int(slots * 30 * second / duration)
	if served < capacity*95/100 {
		t.Errorf("served %d requests with a capacity of %d", served, capacity)
	}
	if inTime < served*85/100 {
		t.Errorf("%d of %d served requests began in time", inTime, served)
	}
}

// Guards against refusing large prompts at idle targets because their prefill alone
// takes longer than the objective, and against less urgent routes that may wait as long
// as urgent ones.
func TestFirstByteLimit(t *testing.T) {
	for name, c := range map[string]struct {
		priority                           int
		objective, callerTimeout, idleTTFB time.Duration
		least, most                        time.Duration
	}{
		"typical":                {0, 600 * ms, 2400 * ms, 90 * ms, 500 * ms, 600 * ms},
		"less urgent":            {1, 600 * ms, 2400 * ms, 90 * ms, 400 * ms, 600 * ms},
		"large prompt":           {1, 800 * ms, 3200 * ms, 900 * ms, 1000 * ms, 1200 * ms},
		"prefill beyond timeout": {1, 800 * ms, 3200 * ms, 3 * second, second, 1800 * ms},
		"no objective":           {0, 0, 2 * second, 90 * ms, 1500 * ms, 1700 * ms},
		"unknown priority":       {99, 600 * ms, 2400 * ms, 90 * ms, 400 * ms, 600 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			if got := placement.FirstByteLimit(c.priority, c.objective, c.callerTimeout, c.idleTTFB); got < c.least || got > c.most {
				t.Errorf("limit %s, want %s to %s", got, c.least, c.most)
			}
		})
	}
}

// Load: two hosts forward to a region that has just become busy. Guards against
// requests that are sent there based on an outdated load, and against an estimate that
// ignores the prefill time of a large prompt.
func TestEstimateRemote(t *testing.T) {
	p := newPlacer(engines(1))
	region := placement.NewRemoteRegion()
	region.UpdateLoad("llm", placement.Load{TTFB: 100 * ms, TimePerToken: 8 * ms, MeasuredAt: second})
	ttfb := func(now time.Duration, r *placement.Request) time.Duration {
		t.Helper()
		e, ok := p.EstimateRemote(now, region, r)
		if !ok {
			t.Fatal("no estimate")
		}
		return e.TTFB
	}
	small, large := ttfb(1100*ms, shortRequest(1)), ttfb(1100*ms, longRequest(1, 1))
	if small < 200*ms || small > 260*ms || large < small+30*ms {
		t.Errorf("TTFB %s for a short request, %s for a long one", small, large)
	}
	for range 20 {
		region.RecordSent(1100 * ms)
	}
	if got := ttfb(1150*ms, shortRequest(1)); got < small+200*ms {
		t.Errorf("TTFB %s after 20 sent requests, %s before", got, small)
	}
	region.UpdateLoad("llm", placement.Load{TTFB: 900 * ms, MeasuredAt: 1300 * ms})
	region.UpdateLoad("llm", placement.Load{TTFB: 50 * ms, MeasuredAt: 1200 * ms}) // an older report
	if got := ttfb(1350*ms, shortRequest(1)); got < second || got > 1100*ms {
		t.Errorf("TTFB %s after a reported load of 900 ms", got)
	}
	if _, ok := p.EstimateRemote(5*second, region, shortRequest(1)); ok {
		t.Error("an expired load is used")
	}
}
