package room

import (
	"fmt"
	"testing"
	"time"
)

// take lets hosts with the offers send what they may for a time, in requests of 500 units of
// work, and returns the work. tell is called every 500 ms.
func take(hosts []*Offers, from, until time.Duration, ownHosts int, tell func(now time.Duration, o *Offers)) float64 {
	total := 0.0
	for now := from; now < until; now += 10 * time.Millisecond {
		for _, o := range hosts {
			if (now-from)%(500*time.Millisecond) == 0 && tell != nil {
				tell(now, o)
			}
			for o.Granted(now, "there", "s", ownHosts) {
				o.Take("there", "s", 500)
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
	if o.Granted(0, "there", "s", 1) {
		t.Error("granted without an offer")
	}
	for i, rate := range []float64{0, -1} {
		region := fmt.Sprint(i)
		o.Tell(region, "s", time.Second, rate, 0)
		if o.Granted(5*time.Second, region, "s", 1) || o.Granted(3*time.Second, region, "s", 1) {
			t.Errorf("granted at an offer of %.0f", rate)
		}
	}
	o.Tell("there", "s", 2*time.Second, 0, 0)
	o.Tell("there", "s", time.Second, 1000, 0)
	if o.Granted(3*time.Second, "there", "s", 1) {
		t.Error("granted by an older offer")
	}
}
