package gateway

import (
	"fmt"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/rendezvous"
	"geraniumturn.example/geraniumturn/internal/room"
)

// addPressure adds the pressure on a request in this region, and counts a request that has just
// come from its caller. A stream that has begun, or that was sent already, does not give way.
// g.mu must be held.
func (g *Gateway) addPressure(now time.Duration, x *requestState, p *places) {
	if x.sends > 0 || x.responseStarted || x.placementRequest.Software != nil || g.path.Detached() ||
		!document.AllowsRegion(x.route, x.workspace, g.Region) {
		return
	}
	if p.Here != nil {
		g.recordShortage(now, x, p.here.Estimate, p.HereLimit)
	}
	p.Draw = drawOf("draw", x.call.ID)
	p.Pressure = g.pressureOn(now, x)
}

// pressureOn returns the pressure on a request in this region. g.mu must be held.
func (g *Gateway) pressureOn(now time.Duration, x *requestState) room.Pressure {
	return g.pressureAt(now, x.service, x.level)
}

// pressureAt returns the pressure on the requests of a level. g.mu must be held.
func (g *Gateway) pressureAt(now time.Duration, service string, level room.Level) room.Pressure {
	if g.EqualUrgency {
		return room.Pressure{}
	}
	return g.shortages.Pressure(now, service, level)
}

// drawOf returns a random number from 0 to 1 that follows from the id of a request and a
// purpose. It differs from those by which its hosts are chosen.
func drawOf(purpose, id string) float64 {
	return float64(rendezvous.Weight(purpose, id)) / math.MaxUint64
}

// recordShortage counts a request at its first choice. g.mu must be held.
func (g *Gateway) recordShortage(now time.Duration, x *requestState, e placement.Estimate, limit time.Duration) {
	if x.shortageKnown {
		return
	}
	x.shortageKnown = true
	g.shortages.Record(now, x.service, x.level, room.Shortness(e.TTFB, e.IdleTTFB, limit), limit-e.IdleTTFB)
}

// granted reports whether this host may send a request to another region to make room here.
// g.mu must be held.
func (g *Gateway) granted(now time.Duration, x *requestState, region string) bool {
	hosts := 1
	for _, h := range g.hosts {
		if h.GetRegion() == g.Region && now-h.lastHeard < hostTimeout {
			hosts++
		}
	}
	return region != g.Region && g.offers.Granted(now, region, x.service, hosts, x.placementRequest.Work(), drawOf("offer", x.call.ID))
}

// recordDecision counts a request that gives way, and notes one that has found room. g.mu must be held.
func (g *Gateway) recordDecision(x *requestState, p *places, d room.Decision) {
	if d.Action != room.Refuse && x.sends == 0 {
		g.schedule.Arrived(sinceBoot(), x.service, x.level)
		x.foundRoom = true
	}
	switch d.Reason {
	case room.ReasonDisplaced:
		g.requestMetrics.displaced.Inc(1)
		g.offers.Take(p.spare.GetRegion(), x.service)
	case room.ReasonYields:
		g.requestMetrics.yielded.Inc(1)
	}
}

// recordAccepted counts a request once that a target or another host has taken.
func (g *Gateway) recordAccepted(x *requestState) {
	if !x.foundRoom {
		return
	}
	x.foundRoom = false
	g.mu.Lock()
	defer g.mu.Unlock()
	g.schedule.Accepted(sinceBoot(), x.service, x.level)
}

// nameReturn returns the time after which a refused request should come back, and what to tell
// its caller if no room is expected until its deadline. g.mu must be held.
func (g *Gateway) nameReturn(now time.Duration, x *requestState, d room.Decision) (time.Duration, string) {
	soonest := max(minRetryAfter, d.RetryIn)
	if g.schedule.Arrived(now, x.service, x.level) && !g.EqualUrgency {
		left := max(0, x.deadline-now)
		honoured := left
		if g.HonouredShare > 0 {
			honoured = time.Duration(g.HonouredShare * float64(left))
		}
		wait, fits := g.schedule.Name(now, x.service, x.level, room.Return{Soonest: soonest, Needs: d.Place.Idle, Left: left, Honoured: honoured, Draw: drawOf("return", x.call.ID)})
		if !fits {
			g.requestMetrics.hopeless.Inc(1)
			return wait, "; no room is expected within its time"
		}
		return wait, ""
	}
	return soonest, ""
}

// addRoomFields adds the latest decision on a request, and the pressure that it was under.
func addRoomFields(fields logrus.Fields, x *requestState) {
	if x.decision.Reason != "" && x.decision.Reason != room.ReasonFits {
		fields["decision"] = string(x.decision.Reason)
	}
	if x.pressure.Move > 0 {
		fields["yield"], fields["move"] = x.pressure.Yield, x.pressure.Move
	}
}

// encodeLoad returns the load of a service for the hosts of other regions. What more urgent
// requests need here is not offered. g.mu must be held.
func (g *Gateway) encodeLoad(now time.Duration, service string, l placement.Load) *syncpb.Load {
	pressure := g.pressureAt(now, service, room.LevelCount)
	g.logRoom(now, service, pressure.Move)
	spare := g.placer.Room(now, service) * (1 - pressure.Move)
	if pressure.Move <= 0 {
		spare = max(spare, leastRoom)
	}
	return &syncpb.Load{Service: service, WaitMs: l.TTFB.Milliseconds(), TokenUs: l.TimePerToken.Microseconds(), ShortWaitMs: l.Short.Milliseconds(), LongWaitMs: l.Long.Milliseconds(),
		Room: float32(spare), Pressure: float32(pressure.Move)}
}

// leastRoom is told instead of no room by a region without pressure. It is too little for any
// request, but differs from a load of an earlier release, which tells neither.
const leastRoom = 1e-6

// tellsRoom reports whether a load is from a host that tells room and pressure. Those of others
// must not replace what hosts of the same region told.
func tellsRoom(l *syncpb.Load) bool { return l.GetRoom() != 0 || l.GetPressure() != 0 }

// pressureSteps is the number of steps of the pressure that are logged.
const pressureSteps = 4

// logRoom logs that the pressure in this region has reached another step. It is called once in
// an exchange with the control hosts. g.mu must be held.
func (g *Gateway) logRoom(now time.Duration, service string, pressure float64) {
	step := int(pressure * pressureSteps)
	if step == g.loggedRoom[service] {
		return
	}
	g.loggedRoom[service] = step
	fields := logrus.Fields{"service": service, "pressure": pressure, "room": g.placer.Room(now, service)}
	for _, c := range g.shortages.Total(now, service) {
		fields[fmt.Sprintf("level_%d", c.Level)] = fmt.Sprintf("%.1f of %.1f short", c.Short, c.Asked)
	}
	g.Log.WithFields(fields).Info("room")
}

func encodeShortages(counts []room.Count) []*syncpb.Shortage {
	var out []*syncpb.Shortage
	for _, c := range counts {
		out = append(out, &syncpb.Shortage{Service: c.Service, Level: int32(c.Level), AskedTenths: tenths(c.Asked), ShortTenths: tenths(c.Short), WaitMs: c.AllowedWait.Milliseconds()})
	}
	return out
}

func tenths(n float64) uint32 { return uint32(math.Round(10 * n)) }

func decodeShortages(in []*syncpb.Shortage) []room.Count {
	var out []room.Count
	for _, c := range in {
		out = append(out, room.Count{Service: c.GetService(), Level: room.Level(c.GetLevel()), Asked: float64(c.GetAskedTenths()) / 10, Short: float64(c.GetShortTenths()) / 10, AllowedWait: time.Duration(c.GetWaitMs()) * time.Millisecond})
	}
	return out
}
