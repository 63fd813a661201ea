package gateway

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/sockets"
)

// observe records what a response of a local target says about its process.
func (g *Gateway) observe(s *sendAttempt, c Classification) {
	// A misdirected response comes from another process at the address.
	if s.attempt == nil || c.Misdirected {
		return
	}
	now := sinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logChanges(now, "", g.placer.Observe(now, s.attempt, placement.Statement{Leaving: c.Leaving, Pause: c.RetryAfter, Brittle: c.Brittle, Limit: c.Limit, LimitUnreadable: c.LimitUnreadable, Rejected: c.NotRun})...)
	if c.LimitUnreadable {
		g.Log.WithField("target", s.target).Warn("unreadable target limit")
	}
}

// logChanges logs targets that are left out or used again. host is the host that reported
// them, "" for this one.
func (g *Gateway) logChanges(now time.Duration, host string, changes ...placement.Change) {
	for _, c := range changes {
		fields := logrus.Fields{"service": c.Service}
		if c.Cause == placement.CauseBrittle {
			fields["limit"], fields["brittle"] = c.Limit, !c.Ended
			g.Log.WithFields(fields).Info("brittle service")
			continue
		}
		if c.Cause == placement.CauseLimit {
			g.logLimit(fields, host, c)
			continue
		}
		fields["target"], fields["cause"] = c.Target, string(c.Cause)
		if c.Ended {
			g.Log.WithFields(fields).Info("target used again")
			continue
		}
		if c.Until > 0 {
			fields["until_ms"] = (c.Until - now).Milliseconds()
		}
		if host != "" {
			fields["reported_by"] = host
		}
		g.requestMetrics.leftOut[c.Cause].Inc(1)
		g.Log.WithFields(fields).Info("target left out")
	}
}

// logPolledChanges logs the changes that no response has brought. g.mu must be held.
func (g *Gateway) logPolledChanges(now time.Duration) {
	g.logChanges(now, "", g.placer.Poll(now)...)
}

// shareTargets tells the placer which hosts send to the same targets. It knows none while
// this host may not know all of them. g.mu must be held.
func (g *Gateway) shareTargets(hosts []string) {
	if len(hosts) == 0 {
		g.placer.SetHosts(nil, nil)
		return
	}
	others := slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return host == g.Name })
	g.placer.SetHosts(others, func(key string, limit int) int { return g.peerSet.LimitShare(key, limit, hosts) })
}

// errNotAccepted means that a target has stopped taking requests since it was chosen.
var errNotAccepted = errors.New("gateway: target no longer takes requests")

// checkAccepted returns errNotAccepted if the target has stopped taking requests since it was
// chosen, and errOutOfStep if this host may not know its software any more. This process may
// have stood still in between.
func (g *Gateway) checkAccepted(now time.Duration, x *requestState, s *sendAttempt) error {
	if s.attempt == nil {
		return nil
	}
	if err := g.checkInStep(now, x); err != nil {
		return &attemptError{ran: refusal.NotRun, unsent: true, err: err}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.placer.Accepts(now, s.attempt) {
		return nil
	}
	return &attemptError{ran: refusal.NotRun, unsent: true, err: errNotAccepted}
}

// beginSend runs right before the request of an attempt is written. It checks every
// permission that may have ended since the attempt began: this process may have stood
// still, and the connection may have taken long. An error means that nothing is sent.
func (g *Gateway) beginSend(x *requestState, s *sendAttempt) error {
	if s.beforeWrite != nil {
		if err := s.beforeWrite(); err != nil {
			return err
		}
	}
	if sockets.IsClosed(x.request.Context()) {
		// The context ends only when a goroutine has read the end of the connection.
		return errCallerGone
	}
	now := sinceBoot()
	if err := g.checkKeyLease(now, x); err != nil {
		return err
	}
	if err := g.refuseLate(now, x, 0); err != nil {
		return err
	}
	if s.attempt == nil {
		return nil
	}
	if err := g.checkInStep(now, x); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	allowed := g.placer.BeginSend(now, s.attempt)
	g.logColdSend(now, x, s, allowed)
	g.logLimitedSend(now, x, s, allowed)
	if !allowed {
		return errNotAccepted
	}
	return nil
}

// endSend runs when the request of an attempt has been written.
func (g *Gateway) endSend(s *sendAttempt) {
	if s.attempt == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.EndSend(sinceBoot(), s.attempt)
}

// logColdSend logs and counts a request to a cold target that is sent now, or withheld.
// g.mu must be held.
func (g *Gateway) logColdSend(now time.Duration, x *requestState, s *sendAttempt, allowed bool) {
	send, cold := g.placer.ColdSend(now, s.attempt)
	if !cold {
		return
	}
	if allowed {
		g.requestMetrics.coldSends.Inc(1)
	} else {
		g.requestMetrics.coldWithheld.Inc(1)
	}
	viewAge, _ := g.Views.Age(now)
	g.Log.WithFields(logrus.Fields{"id": x.call.ID, "target": s.target, "sends": x.sends, "withheld": !allowed, "chosen_ms": send.SinceChoice.Milliseconds(), "reserved": send.Reserved,
		"limit": send.Limit, "partitions": g.paceLease.Held(now).Len(), "lease_ms": g.paceLease.Remaining(now).Milliseconds(), "cold_ms": send.ColdLeft.Milliseconds(),
		"config_age_ms": viewAge.Milliseconds(), "uptime_ms": (now - g.startedAt).Milliseconds()}).Info("request to cold target")
}

// errOutOfStep means that a stream is not continued because this host has not heard from
// the control hosts for some time. A target may have started again meanwhile, under its id
// and with other software.
var errOutOfStep = errors.New("gateway: targets not confirmed by the control hosts")

// maxSoftwareAge is how long after the last confirmation by the control hosts the software
// of targets counts as known.
const maxSoftwareAge = 2 * time.Second

// checkInStep returns errOutOfStep if the request continues a stream on given software and
// this host may not know which targets have it.
func (g *Gateway) checkInStep(now time.Duration, x *requestState) error {
	if x.placementRequest.Software == nil {
		return nil
	}
	if age, known := g.Views.Age(now); !known || age > maxSoftwareAge {
		return fmt.Errorf("%w for %s", errOutOfStep, age)
	}
	return nil
}

// closeIfLeaving closes the idle connections to a leaving target. g.mu must be held.
func (g *Gateway) closeIfLeaving(s *sendAttempt) {
	if g.placer.Leaving(s.attempt) {
		g.localPool.CloseIdle(s.address)
	}
}

// localWait returns the time until a target of this region that may serve the request
// takes requests again; 0 if one does now or none is expected to. g.mu must be held.
func (g *Gateway) localWait(now time.Duration, x *requestState) time.Duration {
	if !document.AllowsRegion(x.route, x.workspace, g.Region) {
		return 0
	}
	wait, _ := g.placer.AvailableIn(now, &x.placementRequest)
	return wait
}

// availableIn is localWait for callers that do not hold g.mu.
func (g *Gateway) availableIn(x *requestState) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.localWait(sinceBoot(), x)
}

// addAvailability adds what targets have told this host about themselves to a report for
// the hosts of this region. g.mu must be held.
func (g *Gateway) addAvailability(now time.Duration, out *syncpb.UsageReport) {
	for _, l := range g.placer.RecentlyLeaving(now) {
		out.Availability = append(out.Availability, &syncpb.TargetAvailability{Target: l.Target, Born: l.StartMillis, Leaving: true})
	}
	for _, e := range g.placer.RecentlyEnded(now) {
		out.Availability = append(out.Availability, &syncpb.TargetAvailability{Target: e.Target, Born: e.StartMillis, Ended: true, AgeMs: (now - e.At).Milliseconds()})
	}
	for _, b := range g.placer.RecentlyBrittle(now) {
		out.Availability = append(out.Availability, &syncpb.TargetAvailability{Target: b.Target, Born: b.StartMillis, Brittle: int64(b.Limit), AgeMs: (now - b.StatedAt).Milliseconds()})
	}
}

// mergeAvailability applies what targets have told another host. g.mu must be held.
func (g *Gateway) mergeAvailability(now time.Duration, in *syncpb.UsageReport) {
	for _, a := range in.GetAvailability() {
		if a.GetBrittle() > 0 {
			g.placer.RecordBrittle(placement.BrittleTarget{Target: a.GetTarget(), StartMillis: a.GetBorn(), Limit: int(a.GetBrittle()), StatedAt: now - clock.Millis(float64(a.GetAgeMs()))})
		}
		if a.GetEnded() {
			g.placer.RecordEnded(placement.EndedTarget{Target: a.GetTarget(), StartMillis: a.GetBorn(), At: now - clock.Millis(float64(a.GetAgeMs()))})
		}
		if !a.GetLeaving() {
			continue
		}
		if c, changed := g.placer.RecordLeaving(now, placement.LeavingTarget{Target: a.GetTarget(), StartMillis: a.GetBorn()}); changed {
			g.logChanges(now, in.GetHost(), c)
		}
	}
}
