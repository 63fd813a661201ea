package room

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// take lets hosts with the offers send what they may for a time, in requests of 500 units of
// work, and returns the work. tell is called every 500 ms.
func take(hosts []*Offers, from, until time.Duration, ownHosts int, tell func(now time.Duration, o *Offers)) float64 {
	total, draw := 0.0, rand.New(rand.NewPCG(3, 3))
	for now := from; now < until; now += 10 * time.Millisecond {
		for _, o := range hosts {
			if (now-from)%(500*time.Millisecond) == 0 && tell != nil {
				tell(now, o)
			}
			for o.Granted(now, "there", "s", ownHosts, 500, draw.Float64()) {
				o.Take("there", "s")
				total += 500
			}
		}
	}
	return total
}

func offersOf(n int) []*Offers {
	var out []*Offers
	for range n {
		out = append(out, NewOffers())
	}
	return out
}

// Pattern: a hundred hosts with old views send what an idle region offers.
func TestManyHostsKeepToAnOffer(t *testing.T) {
	t.Parallel()
	hosts := offersOf(100)
	tell := func(now time.Duration, o *Offers) { o.Tell("there", "s", now-400*time.Millisecond, 600_000, 0) }
	take(hosts, time.Second, 5*time.Second, 100, tell) // the ramp
	if got := take(hosts, 5*time.Second, 15*time.Second, 100, tell); got < 5_400_000 || got > 6_600_000 {
		t.Errorf("%.0f units of work in 10 s at an offer of 600,000 per second", got)
	}
}

// Pattern: a hundred hosts with large prompts, some of them quiet before, find a small offer.
func TestManyHostsWithLargeRequestsKeepToAnOffer(t *testing.T) {
	t.Parallel()
	hosts, draw := offersOf(100), rand.New(rand.NewPCG(4, 4))
	const work, rate = 6000, 50_000
	total, second := 0.0, 0.0
	for now := time.Second; now < 21*time.Second; now += 10 * time.Millisecond {
		if now%time.Second == 0 {
			second = 0
		}
		for i, o := range hosts {
			if now%(500*time.Millisecond) == 0 {
				o.Tell("there", "s", now, rate, 0)
			}
			if (i%2 == 0 || now > 10*time.Second) && o.Granted(now, "there", "s", len(hosts), work, draw.Float64()) {
				o.Take("there", "s")
				second += work
				if now > 11*time.Second {
					total += work
				}
			}
		}
		if second > 2*rate {
			t.Fatalf("work of %.0f in one second at an offer of %d", second, rate)
		}
	}
	if total < 9*rate || total > 11*rate {
		t.Errorf("work of %.0f in 10 s at an offer of %d per second", total, rate)
	}
}

// Pattern: two regions are short of room at once.
func TestAskingRegionsShareAnOffer(t *testing.T) {
	t.Parallel()
	tell := func(pressure float64) func(now time.Duration, o *Offers) {
		return func(now time.Duration, o *Offers) {
			o.Tell("there", "s", now, 10_000, 0)
			o.Tell("third", "s", now, 0, pressure)
		}
	}
	alone, both := offersOf(1), offersOf(1)
	take(alone, time.Second, 5*time.Second, 1, tell(0))
	take(both, time.Second, 5*time.Second, 1, tell(0.5))
	a, b := take(alone, 5*time.Second, 15*time.Second, 1, tell(0)), take(both, 5*time.Second, 15*time.Second, 1, tell(0.5))
	if a < 99_000 || a > 102_000 || b < 49_000 || b > 52_000 {
		t.Errorf("work of %.0f alone and of %.0f beside another region", a, b)
	}
}

// Pattern: a region is cut off and returns; a host freezes meanwhile and wakes.
func TestCutRegionReturns(t *testing.T) {
	t.Parallel()
	hosts := offersOf(1)
	tell := func(now time.Duration, o *Offers) { o.Tell("there", "s", now, 10_000, 0) }
	take(hosts, time.Second, 6*time.Second, 1, tell)
	if got := take(hosts, 6*time.Second+MaxOfferAge, 20*time.Second, 1, nil); got > 0 {
		t.Errorf("work of %.0f for a region that is not heard any more", got)
	}
	if got := take(hosts, 20*time.Second, 20*time.Second+100*time.Millisecond, 1, tell); got > 500 {
		t.Errorf("work of %.0f in the first 100 ms after the return", got)
	}
	rising := take(hosts, 20100*time.Millisecond, 23*time.Second, 1, tell)
	if all := take(hosts, 23*time.Second, 25900*time.Millisecond, 1, tell); rising > 0.65*all {
		t.Errorf("work of %.0f while the offer rises, %.0f afterwards", rising, all)
	}
	// The host stands still for 2 s, less than MaxOfferAge: its part does not pile up.
	tell(27*time.Second, hosts[0])
	if got := take(hosts, 27900*time.Millisecond, 27910*time.Millisecond, 1, nil); got > 10_000*offerBurst.Seconds()+500 {
		t.Errorf("work of %.0f at once after a freeze", got)
	}
}

// Pattern: offers arrive out of order, and from hosts of an earlier release, which have none.
func TestNoOffer(t *testing.T) {
	t.Parallel()
	o := NewOffers()
	if o.Granted(0, "there", "s", 1, 500, 0.5) {
		t.Error("granted without an offer")
	}
	for i, rate := range []float64{0, -1} {
		region := fmt.Sprint(i)
		o.Tell(region, "s", time.Second, rate, 0)
		if o.Granted(5*time.Second, region, "s", 1, 500, 0.5) || o.Granted(3*time.Second, region, "s", 1, 500, 0.5) {
			t.Errorf("granted at an offer of %.0f", rate)
		}
	}
	o.Tell("there", "s", 2*time.Second, 0, 0)
	o.Tell("there", "s", time.Second, 1000, 0)
	if o.Granted(3*time.Second, "there", "s", 1, 500, 0.5) {
		t.Error("granted by an older offer")
	}
}
