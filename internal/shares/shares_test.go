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

// Guards against fractions that add up to more than 1, with which the hosts would
// together exceed the rate. Hosts join, lose contact and restart; a fraction counts until
// its lease has expired or its process has ended. The last report of an ended process may
// arrive behind the first one of the next.
func TestAllocatorGrantsAtMostOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type host struct {
			fraction, leaseEnd float64
			shares.Holder
			startedAt time.Duration
		}
		now := 100 * second
		a := shares.NewAllocator(now, 3)
		hosts := map[string]*host{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * ms
			name := fmt.Sprint("h", rapid.IntRange(0, 4).Draw(t, "host"))
			h := hosts[name]
			if h == nil {
				h = &host{Holder: shares.Holder{Host: name}}
				hosts[name] = h
			}
			if now.Seconds() >= h.leaseEnd {
				h.fraction = 0
			}
			demand := rapid.Float64Range(0, 1000).Draw(t, "demand")
			report := []shares.Demand{{Workspace: "w", PerSecond: demand, HeldFraction: h.fraction}}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				late, lateUptime := h.Holder, now-h.startedAt
				h.StartMillis, h.startedAt, h.fraction = rapid.Int64Range(1, 1e9).Draw(t, "start"), now, 0
				if rapid.Bool().Draw(t, "late") {
					a.Report(now, h.Holder, 0, nil)
					a.Report(now, late, lateUptime, report)
				}
				report[0].HeldFraction = 0
			}
			granted := a.Report(now, h.Holder, now-h.startedAt, report)[0].Fraction
			if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
				continue // the response is lost: the host keeps its fraction until its lease expires
			}
			h.fraction, h.leaseEnd = granted, (now + shares.LeaseDuration).Seconds()
			sum := 0.0
			for _, other := range hosts {
				if now.Seconds() < other.leaseEnd {
					sum += other.fraction
				}
			}
			if sum > 1+1e-9 {
				t.Fatalf("hosts hold %.3f of the rate", sum)
			}
		}
	})
}

// Guards against a new allocator that grants fractions still leased to hosts without
// contact, and against one that keeps a reserve although the whole system has just
// started.
func TestAllocatorAfterLeaderChange(t *testing.T) {
	demand := []shares.Demand{{Workspace: "w", PerSecond: 10}}
	a := shares.NewAllocator(0, 1)
	if got := a.Report(100*ms, shares.Holder{Host: "a"}, time.Minute, demand)[0].Fraction; got != 0 {
		t.Errorf("%.2f granted before all hosts in contact could report", got)
	}
	if got := a.Report(2*second, shares.Holder{Host: "a"}, time.Minute, demand)[0].Fraction; got > 0.65+1e-9 || got <= 0 {
		t.Errorf("%.2f granted while leases of an earlier allocator may be valid", got)
	}
	if got := a.Report(6*second, shares.Holder{Host: "a"}, time.Minute, demand)[0].Fraction; got != 1 {
		t.Errorf("%.2f granted after all earlier leases have expired", got)
	}
	fresh := shares.NewAllocator(0, 1)
	if got := fresh.Report(100*ms, shares.Holder{Host: "a"}, second, demand)[0].Fraction; got != 1 {
		t.Errorf("%.2f granted after a start of the whole system", got)
	}
}

// Load: callers of all regions reconnect after a start of the whole system. Guards
// against granting the whole rate to the first host that reports, so that the other
// regions refuse all requests until it has released the excess.
func TestAllocatorAfterSystemStart(t *testing.T) {
	a := shares.NewAllocator(0, 3)
	fractions := map[string]float64{}
	for now, step := 100*ms, 0; step < 12; now, step = now+200*ms, step+1 {
		for _, host := range []string{"a", "b", "c"} {
			demand := map[string]float64{"a": 80, "b": 10, "c": 10}[host]
			fractions[host] = a.Report(now, shares.Holder{Host: host}, now, []shares.Demand{{Workspace: "w", PerSecond: demand, HeldFraction: fractions[host]}})[0].Fraction
			if fractions[host] < 0.15 {
				t.Errorf("host %s holds %.2f at %s", host, fractions[host], now)
			}
		}
	}
	if fractions["a"] < 0.6 {
		t.Errorf("the busy region holds %.2f after 2.4 s", fractions["a"])
	}
	// The share of a region that stays down goes to the others.
	single := shares.NewAllocator(0, 3)
	for now := 100 * ms; now < 3*second; now += 200 * ms {
		fractions["a"] = single.Report(now, shares.Holder{Host: "a"}, now, []shares.Demand{{Workspace: "w", PerSecond: 80, HeldFraction: fractions["a"]}})[0].Fraction
	}
	if fractions["a"] != 1 {
		t.Errorf("the only region holds %.2f after 3 s", fractions["a"])
	}
}

// Load: all hosts are killed and start again under one leader. Guards against requests that
// are refused until the leases of the ended processes expire.
func TestAllocatorAfterRestartOfHosts(t *testing.T) {
	a := shares.NewAllocator(0, 2)
	demand := []shares.Demand{{Workspace: "w", PerSecond: 10}}
	for now := 10 * second; now < 13*second; now += 200 * ms {
		for _, host := range []string{"a1", "b1"} { // the holder of each region
			a.Report(now, shares.Holder{Host: host, StartMillis: 1}, now, demand)
		}
	}
	// Other hosts hold the shares of the regions now; those of before have no demand.
	for _, host := range []string{"a1", "b1"} {
		a.Report(13500*ms, shares.Holder{Host: host, StartMillis: 2}, 100*ms, nil)
	}
	sum := 0.0
	for _, host := range []string{"a2", "b2"} {
		sum += a.Report(13500*ms, shares.Holder{Host: host, StartMillis: 2}, 100*ms, demand)[0].Fraction
	}
	if sum < 0.99 {
		t.Errorf("the started hosts hold %.2f of the rate", sum)
	}
}

// Guards against a host that gets nothing for good, because a delayed report of a process
// that ran for a shorter time than the delay was taken for that of a later one.
func TestAllocatorAfterDelayedReport(t *testing.T) {
	a := shares.NewAllocator(0, 1)
	demand := []shares.Demand{{Workspace: "w", PerSecond: 10}}
	a.Report(20*second, shares.Holder{Host: "a", StartMillis: 1}, 500*ms, demand) // sent 4 s ago
	var got []shares.Grant
	for now := 20 * second; now < 27*second; now += 200 * ms {
		got = a.Report(now, shares.Holder{Host: "a", StartMillis: 2}, now-16*second, demand)
	}
	if len(got) == 0 || got[0].Fraction < 0.99 {
		t.Errorf("granted %v", got)
	}
}

// Guards against fractions that do not follow the demand of the hosts.
func TestAllocatorFollowsDemand(t *testing.T) {
	a := shares.NewAllocator(0, 1)
	fractions := map[string]float64{}
	for now, step := 10*second, 0; step < 40; now, step = now+200*ms, step+1 {
		for host, d := range map[string]float64{"busy": 90, "idle": 10} {
			fractions[host] = a.Report(now, shares.Holder{Host: host}, time.Hour, []shares.Demand{{Workspace: "w", PerSecond: d, HeldFraction: fractions[host]}})[0].Fraction
		}
	}
	if fractions["busy"] < 0.7 || fractions["idle"] < 0.1 || fractions["busy"]+fractions["idle"] < 0.99 {
		t.Errorf("fractions %v", fractions)
	}
}

// Guards against a workspace that exceeds its rate, burst and slack in any window while
// fractions change.
func TestBucketWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst, slack = 1000.0, 1000.0, 200.0
		var b shares.Bucket
		now := 50 * second
		b.SetLimits(now, rate, burst)
		b.SetSlack(slack)
		b.SetFraction(now, 0.5, now+time.Hour)
		type spend struct {
			at     time.Duration
			tokens float64
		}
		var spent []spend
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * ms
			if rapid.IntRange(0, 9).Draw(t, "move") == 0 {
				b.SetFraction(now, rapid.Float64Range(0.05, 0.5).Draw(t, "fraction"), now+time.Hour)
			}
			cost := rapid.Float64Range(1, 600).Draw(t, "cost")
			if ok, wait := b.Take(now, cost, true); ok {
				spent = append(spent, spend{now, cost})
			} else if wait <= 0 {
				t.Fatalf("refused without a wait")
			}
		}
		for i := range spent {
			sum := 0.0
			for j := i; j < len(spent) && spent[j].at-spent[i].at < 8*second; j++ {
				sum += spent[j].tokens
			}
			// The host holds at most half of the rate; one request may leave a negative
			// level.
			if limit := 0.5*(rate*8*1.03+burst) + slack + 600; sum > limit+1 {
				t.Fatalf("%.0f tokens in 8 s, at most %.0f", sum, limit)
			}
		}
	})
}

// Guards against a host that uses a fraction after its lease has expired.
func TestBucketLeaseEnds(t *testing.T) {
	var b shares.Bucket
	b.SetLimits(0, 100, 100)
	b.SetFraction(0, 1, 2*second)
	if ok, _ := b.Take(second, 100, true); !ok {
		t.Fatal("refused within the burst")
	}
	if ok, wait := b.Take(time.Hour, 150, true); ok || wait <= 0 {
		t.Error("the bucket was refilled after the lease expired")
	}
	if b.HeldFraction(3*second) != 0 {
		t.Error("the fraction is held after its lease expired")
	}
}

// Guards against a request that exceeds the host's fraction of the burst and is never
// accepted.
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
	t.Error("a request of 500 tokens was never accepted with a burst fraction of 100")
}

// Guards against a pacer that allows more than its limit in any second, at whatever moment
// between Begin and End the requests leave, and against slots that are never free again.
func TestPacer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p shares.Pacer
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		now := time.Duration(0)
		var sent []time.Duration
		reserved := 0
		wait := func(most int) { now += time.Duration(rapid.IntRange(0, most).Draw(t, "ms")) * ms }
		for range 100 {
			wait(400)
			if p.Allows(now, limit) && rapid.Bool().Draw(t, "reserve") {
				p.Reserve()
				reserved++
			}
			isReserved := reserved > 0 && rapid.Bool().Draw(t, "reserved")
			if !p.Begin(now, limit, isReserved) {
				continue
			}
			if isReserved {
				reserved--
			}
			if p.Begin(now, limit, false) {
				t.Fatal("two requests are written at once")
			}
			wait(300)
			sent = append(sent, now)
			wait(300)
			p.End(now)
		}
		for i := range sent {
			if i+limit < len(sent) && sent[i+limit]-sent[i] < second {
				t.Fatalf("%d requests within %s", limit+1, sent[i+limit]-sent[i])
			}
		}
		for range reserved {
			p.Release()
		}
		if now += 2 * second; !p.Idle(now) || !p.Allows(now, limit) {
			t.Fatal("slots are not free again")
		}
	})
}

// Guards against retries above the budget in any window.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, ratio, slack = 10 * second, 0.2, 5.0
		b := shares.NewRetryBudget(0, window, ratio, slack)
		now := time.Duration(0)
		var requests, retries []time.Duration
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * ms
			if rapid.Bool().Draw(t, "first") {
				b.RecordRequest(now)
				requests = append(requests, now)
			} else if b.TakeRetry(now, 1) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			// The window of the budget is at most one slot longer than it should be.
			requestCount, retryCount := 0, 0
			for _, at := range requests {
				if at <= end && end-at <= window+window/20 {
					requestCount++
				}
			}
			for _, at := range retries {
				if at <= end && end-at < window {
					retryCount++
				}
			}
			if float64(retryCount) > math.Ceil(ratio*float64(requestCount)+slack) {
				t.Fatalf("%d retries of %d requests in a window", retryCount, requestCount)
			}
		}
	})
}

// Load: the whole system starts and callers come at once. Guards against a bucket that fills
// only at its rate although nobody has spent the burst, and against a process that has just
// started and spends a burst that the one before may have spent, or fills its bucket twice.
func TestBucketFirstFraction(t *testing.T) {
	served := func(b *shares.Bucket, now time.Duration) (n int) {
		for range 10 {
			if ok, wait := b.Take(now, 100, true); !ok && wait <= 0 {
				t.Fatal("refused without a wait")
			} else if ok {
				n++
			}
		}
		return n
	}
	newBucket := func() *shares.Bucket {
		b := &shares.Bucket{}
		b.SetLimits(second, 900, 900)
		b.SetSlack(110)
		return b
	}
	started := newBucket()
	if n := served(started, second); n != 1 {
		t.Errorf("%d requests without a fraction, the slack is for 1", n)
	}
	started.SetFirstFraction(2*second, 0.33, time.Hour)
	if n := served(started, 2*second); n != 3 {
		t.Errorf("%d requests of an unspent fraction of the burst, want 3", n)
	}
	started.SetFirstFraction(2*second, 0.33, time.Hour)
	if n := served(started, 2*second); n != 0 {
		t.Errorf("%d requests when the same grant arrives again", n)
	}
	restarted := newBucket()
	restarted.SetFraction(2*second, 0.33, time.Hour)
	if n := served(restarted, 2*second); n != 1 {
		t.Errorf("%d requests of a fraction that may be spent, the slack is for 1", n)
	}
	if n := served(restarted, 3*second); n != 3 {
		t.Errorf("%d requests a second later, the rate is for 3", n)
	}
	large := newBucket()
	if ok, _ := large.Take(2*second, 5000, true); ok {
		t.Error("a host without a fraction exceeds its slack")
	}
}

// Guards against a burst that is told to be unspent to a process that has started again, to a
// second holder of a region, or while hosts from before the allocator may have spent it.
func TestUnspentBurstIsGrantedOnce(t *testing.T) {
	report := func(a *shares.Allocator, now time.Duration, host string, uptime time.Duration, held float64) shares.Grant {
		return a.Report(now, shares.Holder{Host: host, StartMillis: int64(now - uptime)}, uptime, []shares.Demand{{Workspace: "w", PerSecond: 10, HeldFraction: held}})[0]
	}
	a := shares.NewAllocator(0, 3)
	sum := 0.0
	for _, host := range []string{"a", "b", "c"} {
		g := report(a, 100*ms, host, 100*ms, 0)
		if !g.Unspent {
			t.Errorf("%s: %+v after a start of the whole system", host, g)
		}
		sum += g.Fraction
	}
	if sum > 1+1e-9 {
		t.Errorf("%.2f of the burst is unspent", sum)
	}
	if g := report(a, 200*ms, "a", 200*ms, 0); !g.Unspent {
		t.Error("the grant is not repeated although its response may be lost")
	}
	if g := report(a, 300*ms, "b", 10*ms, 0); g.Unspent {
		t.Error("a process that has started again has an unspent burst")
	}
	if g := report(a, 400*ms, "a", 400*ms, 0.3); g.Unspent {
		t.Error("unspent after the host has used its fraction")
	}
	a.Report(500*ms, shares.Holder{Host: "c"}, 500*ms, []shares.Demand{{Workspace: "w", Released: true}})
	if g := report(a, 600*ms, "d", 600*ms, 0); g.Unspent {
		t.Error("the holder after another one has an unspent burst")
	}
	running := shares.NewAllocator(0, 1)
	report(running, 100*ms, "old", time.Minute, 0)
	if g := report(running, 6*second, "new", 100*ms, 0); g.Unspent {
		t.Error("a host that starts in a running system has an unspent burst")
	}
}

// Guards against a wait that overflows or is not positive: a host whose fraction is the
// rounding error of the other fractions would retry without a pause.
func TestBucketWaitIsBounded(t *testing.T) {
	for _, fraction := range []float64{0, 1e-17, 1e-9, 1e-3, 1} {
		for _, slack := range []float64{0, 100} {
			var b shares.Bucket
			b.SetLimits(0, 1000, 1000)
			b.SetSlack(slack)
			b.SetFraction(0, fraction, 5*second)
			for now := time.Duration(0); now < second; now += 10 * ms {
				ok, wait := b.Take(now, 5000, now == 0)
				if !ok && (wait <= 0 || wait > shares.MaxWait) {
					t.Fatalf("wait %s with fraction %g and slack %g", wait, fraction, slack)
				}
			}
		}
	}
}
