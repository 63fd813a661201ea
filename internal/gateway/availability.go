package gateway

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/refusal"
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
	g.logChanges("", g.placer.Observe(now, s.attempt, placement.Statement{Leaving: c.Leaving})...)
}

// logChanges logs targets that are left out. host is the host that reported
// them, "" for this one.
func (g *Gateway) logChanges(host string, changes ...placement.Change) {
	for _, c := range changes {
		fields := logrus.Fields{"target": c.Target, "service": c.Service, "cause": string(c.Cause)}
		if host != "" {
			fields["reported_by"] = host
		}
		g.requestMetrics.leftOut[c.Cause].Inc(1)
		g.Log.WithFields(fields).Info("target left out")
	}
}

// checkAccepted returns an error if the target has stopped taking requests since it was
// chosen.
func (g *Gateway) checkAccepted(s *sendAttempt) error {
	if s.attempt == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.placer.Accepts(s.attempt) {
		return nil
	}
	return &attemptError{ran: refusal.NotRun, unsent: true, err: fmt.Errorf("target %s no longer takes requests", s.target)}
}

// closeIfLeaving closes the idle connections to a leaving target. g.mu must be held.
func (g *Gateway) closeIfLeaving(s *sendAttempt) {
	if g.placer.Leaving(s.attempt) {
		g.localPool.CloseIdle(s.address)
	}
}

// addAvailability adds what targets have told this host about themselves to a report for
// the hosts of this region. g.mu must be held.
func (g *Gateway) addAvailability(now time.Duration, out *syncpb.UsageReport) {
	for _, l := range g.placer.RecentlyLeaving(now) {
		out.Availability = append(out.Availability, &syncpb.TargetAvailability{Target: l.Target, Born: l.StartMillis, Leaving: true})
	}
}

// mergeAvailability applies what targets have told another host. g.mu must be held.
func (g *Gateway) mergeAvailability(now time.Duration, in *syncpb.UsageReport) {
	for _, a := range in.GetAvailability() {
		if !a.GetLeaving() {
			continue
		}
		if c, changed := g.placer.RecordLeaving(now, placement.LeavingTarget{Target: a.GetTarget(), StartMillis: a.GetBorn()}); changed {
			g.logChanges(in.GetHost(), c)
		}
	}
}
