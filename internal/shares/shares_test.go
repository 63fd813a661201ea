package shares_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumturn.example/geraniumturn/internal/shares"
)

const (
	ms     = time.Millisecond
	second = time.Second
)

// Guards against fractions that add up to more than the whole: hosts would together
// exceed the rate. Hosts come and go, lose contact and restart; what a host may
// still use counts until its lease has ended.
func TestAllocatorNeverGrantsMoreThanTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type host struct{ held, until float64 }
		now := 100 * second
		a := shares.NewAllocator(now, 3)
		hosts := map[string]*host{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * ms
			name := fmt.Sprint("h", rapid.IntRange(0, 4).Draw(t, "host"))
			h := hosts[name]
			if h == nil {
				h = &host{}
				hosts[name] = h
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 || now.Seconds() >= h.until {
				h.held = 0
			}
			demand := rapid.Float64Range(0, 1000).Draw(t, "demand")
			granted := a.Report(now, name, time.Hour, []shares.Demand{{Workspace: "w", PerSecond: demand, HeldFraction: h.held}})[0].Fraction
			if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
				continue // the answer is lost: the host keeps what it holds until its lease ends
			}
			h.held, h.until = granted, (now + shares.LeaseDuration).Seconds()
			sum := 0.0
			for _, other := range hosts {
				if now.Seconds() < other.until {
					sum += other.held
				}
			}
			if sum > 1+1e-9 {
				t.Fatalf("hosts hold %.3f of the rate", sum)
			}
		}
	})
}

// Guards against a new allocator that grants what hosts out of contact still hold,
// and against one that keeps a reserve although the whole system has just started.
func TestAllocatorStart(t *testing.T) {
	demand := []shares.Demand{{Workspace: "w", PerSecond: 10}}
	a := shares.NewAllocator(0, 1)
	if got := a.Report(100*ms, "a", time.Minute, demand)[0].Fraction; got != 0 {
		t.Errorf("%.2f granted before hosts in contact could report", got)
	}
	if got := a.Report(2*second, "a", time.Minute, demand)[0].Fraction; got > 0.65+1e-9 || got <= 0 {
		t.Errorf("%.2f granted while leases of an earlier allocator may hold", got)
	}
	if got := a.Report(6*second, "a", time.Minute, demand)[0].Fraction; got != 1 {
		t.Errorf("%.2f granted after them", got)
	}
	fresh := shares.NewAllocator(0, 1)
	if got := fresh.Report(100*ms, "a", second, demand)[0].Fraction; got != 1 {
		t.Errorf("%.2f granted after a start of the whole system", got)
	}
}

// Load: callers of all regions come back after a start of the whole system. Guards
// against a first host that gets the whole rate, so that the other regions refuse all
// requests until it has given the rest back.
func TestAllocatorSharesTheStart(t *testing.T) {
	a := shares.NewAllocator(0, 3)
	held := map[string]float64{}
	for now, step := 100*ms, 0; step < 12; now, step = now+200*ms, step+1 {
		for _, host := range []string{"a", "b", "c"} {
			demand := map[string]float64{"a": 80, "b": 10, "c": 10}[host]
			held[host] = a.Report(now, host, now, []shares.Demand{{Workspace: "w", PerSecond: demand, HeldFraction: held[host]}})[0].Fraction
			if held[host] < 0.15 {
				t.Errorf("host %s holds %.2f at %s", host, held[host], now)
			}
		}
	}
	if held["a"] < 0.6 {
		t.Errorf("the busy region holds %.2f after 2.4 s", held["a"])
	}
	// A region that does not come back leaves its part to the others.
	alone := shares.NewAllocator(0, 3)
	for now := 100 * ms; now < 3*second; now += 200 * ms {
		held["a"] = alone.Report(now, "a", now, []shares.Demand{{Workspace: "w", PerSecond: 80, HeldFraction: held["a"]}})[0].Fraction
	}
	if held["a"] != 1 {
		t.Errorf("the only region holds %.2f after 3 s", held["a"])
	}
}

// Guards against a host that keeps the share of one whose demand has moved to it.
func TestAllocatorFollowsDemand(t *testing.T) {
	a := shares.NewAllocator(0, 1)
	held := map[string]float64{}
	for now, step := 10*second, 0; step < 40; now, step = now+200*ms, step+1 {
		for host, d := range map[string]float64{"busy": 90, "idle": 10} {
			held[host] = a.Report(now, host, time.Hour, []shares.Demand{{Workspace: "w", PerSecond: d, HeldFraction: held[host]}})[0].Fraction
		}
	}
	if held["busy"] < 0.7 || held["idle"] < 0.1 || held["busy"]+held["idle"] < 0.99 {
		t.Errorf("fractions %v", held)
	}
}

// Guards against a workspace that gets more than its rate, burst and spare in any
// window, from changing fractions and limits.
func TestBucketWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst, spare = 1000.0, 1000.0, 200.0
		var b shares.Bucket
		now := 50 * second
		b.SetLimits(now, rate, burst)
		b.SetSlack(spare)
		b.SetFraction(now, 0.5, now+time.Hour)
		type taken struct {
			at     time.Duration
			tokens float64
		}
		var log []taken
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * ms
			if rapid.IntRange(0, 9).Draw(t, "move") == 0 {
				b.SetFraction(now, rapid.Float64Range(0.05, 0.5).Draw(t, "fraction"), now+time.Hour)
			}
			cost := rapid.Float64Range(1, 600).Draw(t, "cost")
			if ok, wait := b.Take(now, cost, true); ok {
				log = append(log, taken{now, cost})
			} else if wait <= 0 {
				t.Fatalf("refused without a time to come back")
			}
		}
		for i := range log {
			sum := 0.0
			for j := i; j < len(log) && log[j].at-log[i].at < 8*second; j++ {
				sum += log[j].tokens
			}
			// The host holds at most half of the rate; one request may leave a debt.
			if limit := 0.5*(rate*8*1.03+burst) + spare + 600; sum > limit+1 {
				t.Fatalf("%.0f tokens in 8 s, at most %.0f", sum, limit)
			}
		}
	})
}

// Guards against a host that goes on with a fraction whose lease has ended.
func TestBucketLeaseEnds(t *testing.T) {
	var b shares.Bucket
	b.SetLimits(0, 100, 100)
	b.SetFraction(0, 1, 2*second)
	if ok, _ := b.Take(second, 100, true); !ok {
		t.Fatal("refused within the burst")
	}
	if ok, wait := b.Take(time.Hour, 150, true); ok || wait <= 0 {
		t.Error("tokens came in after the lease")
	}
	if b.HeldFraction(3*second) != 0 {
		t.Error("a fraction is held after its lease")
	}
}

// Guards against a request above a small fraction of the burst that can never pass.
func TestBucketLargeRequest(t *testing.T) {
	var b shares.Bucket
	b.SetLimits(0, 1000, 1000)
	b.SetSlack(10)
	b.SetFraction(0, 0.1, time.Hour)
	now := time.Duration(0)
	for range 100 {
		now += 20 * ms
		if ok, _ := b.Take(now, 500, true); ok {
			return
		}
	}
	t.Error("a request of 500 tokens never passed a fraction of 100")
}

// Guards against a pace that allows more than its limit in some second.
func TestPace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p shares.Pacer
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		now := time.Duration(0)
		var sent []time.Duration
		for range 100 {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			if p.Allows(now, limit) {
				p.Add(now)
				sent = append(sent, now)
			}
		}
		for i := range sent {
			if i+limit < len(sent) && sent[i+limit]-sent[i] < second {
				t.Fatalf("%d requests within %s", limit+1, sent[i+limit]-sent[i])
			}
		}
	})
}

// Guards against repeats above the budget in any window.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, ratio, slack = 10 * second, 0.2, 5.0
		b := shares.NewRetryBudget(window, ratio)
		now := time.Duration(0)
		var firsts, repeats []time.Duration
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * ms
			if rapid.Bool().Draw(t, "first") {
				b.RecordRequest(now)
				firsts = append(firsts, now)
			} else if b.TakeRetry(now, slack) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			// The window of the budget is at most one slot longer than it should be.
			first, repeat := 0, 0
			for _, at := range firsts {
				if at <= end && end-at <= window+window/20 {
					first++
				}
			}
			for _, at := range repeats {
				if at <= end && end-at < window {
					repeat++
				}
			}
			if float64(repeat) > math.Ceil(ratio*float64(first)+slack) {
				t.Fatalf("%d repeats of %d requests in a window", repeat, first)
			}
		}
	})
}

// Load: all hosts start again and their callers come back at once. Guards against
// refusals within the rate until the first fraction arrives, and against tokens that
// are given twice.
func TestBucketFirstTokens(t *testing.T) {
	var b shares.Bucket
	b.SetLimits(second, 900, 900)
	b.SetSlack(10)
	b.SetInitialTokens(300)
	b.SetLimits(second, 900, 900)
	for i := range 3 {
		if ok, _ := b.Take(second, 100, true); !ok {
			t.Fatalf("request %d was refused before the first fraction", i)
		}
	}
	if ok, wait := b.Take(second, 100, true); ok || wait <= 0 {
		t.Error("more than the first tokens were spent without a fraction")
	}
	b.SetFraction(2*second, 0.33, time.Hour)
	b.SetInitialTokens(300)
	if ok, _ := b.Take(2*second, 100, true); ok {
		t.Error("the first fraction gave the first tokens again")
	}
}

// Guards against a wait that overflows or is not positive: a host whose fraction is
// the rounding error of what others hold would ask again and again without a pause.
func TestBucketWaitIsBounded(t *testing.T) {
	for _, fraction := range []float64{0, 1e-17, 1e-9, 1e-3, 1} {
		for _, spare := range []float64{0, 100} {
			var b shares.Bucket
			b.SetLimits(0, 1000, 1000)
			b.SetSlack(spare)
			b.SetFraction(0, fraction, 5*second)
			for now := time.Duration(0); now < second; now += 10 * ms {
				ok, wait := b.Take(now, 5000, now == 0)
				if !ok && (wait <= 0 || wait > shares.MaxWait) {
					t.Fatalf("wait %s with fraction %g and spare %g", wait, fraction, spare)
				}
			}
		}
	}
}
