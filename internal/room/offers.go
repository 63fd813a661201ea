package room

import "time"

const (
	// MaxOfferAge is the age from which an offer is ignored.
	MaxOfferAge = 2500 * time.Millisecond
	// offerRamp is the time in which the offer of a region that was not heard from for
	// MaxOfferAge, or never, rises from nothing to all of it.
	offerRamp = 3 * time.Second
	// offerBurst is the time for which this host's part of an offer accumulates.
	offerBurst = 400 * time.Millisecond
	// minAskPressure is the pressure from which on the hosts of a region count as asking.
	minAskPressure = 0.05
)

// Offers holds what other regions offer of their room, and this host's part of it.
type Offers struct{ grants map[offerKey]*grant }

type offerKey struct{ region, service string }

type grant struct {
	rate      float64       // of the whole offer, in work per second
	at, since time.Duration // of the offer, and of the first one without a gap
	pressure  float64       // in that region, on its least urgent requests
	left      float64       // of this host's part
	filledAt  time.Duration
	// turn is the part of the next granted request that this host's part has paid for; it starts at
	// random, so that many hosts with small parts do not send their requests at once.
	turn    float64
	started bool
}

// NewOffers returns an empty Offers.
func NewOffers() *Offers { return &Offers{grants: map[offerKey]*grant{}} }

// Tell records what a region offered for a service at a time, in work per second, and the
// pressure there.
func (o *Offers) Tell(region, service string, at time.Duration, rate, pressure float64) {
	k := offerKey{region, service}
	g := o.grants[k]
	if g == nil {
		g = &grant{since: at, filledAt: at}
		o.grants[k] = g
	} else if at <= g.at {
		return
	}
	if at-g.at > MaxOfferAge {
		g.since, g.filledAt, g.left, g.started = at, at, 0, false
	}
	g.rate, g.at, g.pressure = rate, at, pressure
}

// Granted reports whether this host may send a request beyond its own regions' needs to a region.
// ownHosts is the number of hosts of this region: each of them, and as many of every other region that
// is short of room, may use an equal part of the offer. What the part has saved up pays for a fraction of
// the work of each request that asks, and the request with which the fractions reach 1 is granted.
// draw, from 0 to 1, is random for each request.
func (o *Offers) Granted(now time.Duration, region, service string, ownHosts int, work, draw float64) bool {
	g := o.grants[offerKey{region, service}]
	if g == nil || now-g.at > MaxOfferAge {
		return false
	}
	asking := 1
	for k, other := range o.grants {
		if k.service == service && k.region != region && now-other.at <= MaxOfferAge && other.pressure >= minAskPressure {
			asking++
		}
	}
	part := g.rate / float64(max(1, ownHosts)*asking) * min(1, (now-g.since).Seconds()/offerRamp.Seconds())
	if elapsed := now - g.filledAt; elapsed > 0 {
		g.left = min(g.left+part*elapsed.Seconds(), part*offerBurst.Seconds())
		g.filledAt = now
	}
	if part <= 0 {
		return false
	}
	if !g.started {
		g.started, g.turn = true, draw
	}
	if g.turn < 1 {
		paid := min(g.left, work)
		g.left -= paid
		g.turn += paid / work
	}
	return g.turn >= 1
}

// Take records that a granted request is sent.
func (o *Offers) Take(region, service string) {
	if g := o.grants[offerKey{region, service}]; g != nil {
		g.turn--
	}
}
