package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/placement"
)

// logLimit logs a change of the rate limit that a target states. host is the host that
// reported it, "" for this one. g.mu must be held.
func (g *Gateway) logLimit(fields logrus.Fields, host string, c placement.Change) {
	fields["target"], fields["per_second"] = c.Target, c.PerSecond
	if host != "" {
		fields["reported_by"] = host
	}
	metrics.GetOrRegisterGauge("gateway.limited_targets", g.Metrics).Update(int64(g.placer.LimitedTargets()))
	g.Log.WithFields(fields).Info("target limit")
}

// logLimitedSend logs and counts a request that is sent now, or withheld, to a target that
// states a rate limit. g.mu must be held.
func (g *Gateway) logLimitedSend(now time.Duration, x *requestState, s *sendAttempt, allowed bool) {
	send, limited := g.placer.LimitedSend(now, s.attempt)
	if !limited {
		return
	}
	if allowed {
		g.requestMetrics.limitedSends.Inc(1)
	} else {
		g.requestMetrics.limitedWithheld.Inc(1)
	}
	g.Log.WithFields(logrus.Fields{"id": x.call.ID, "target": s.target, "sends": x.sends, "resumes": x.resumes, "withheld": !allowed, "per_second": send.PerSecond,
		"stated_ms": send.SinceStated.Milliseconds(), "chosen_ms": send.SinceChoice.Milliseconds()}).Info("request to limited target")
}
