package gateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/shares"
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

// PermitClient takes permits for targets from the host that grants them, the grantor.
type PermitClient interface {
	Permit(ctx context.Context, peer string, in *syncpb.PermitRequest) (*syncpb.PermitResponse, error)
}

const (
	// permitTimeout bounds a call to the host that grants the permits, which is in this region.
	permitTimeout = 100 * time.Millisecond
	// silentGrantorPause is how long a host asks no permit again for a target whose grantor did
	// not answer.
	silentGrantorPause = 500 * time.Millisecond
	// maxPermitTargets bounds the targets for which a forwarded request asks for a permit.
	maxPermitTargets = 3
)

// errNoPermit means that a target states a rate limit and that there is no permit for it now.
var errNoPermit = errors.New("gateway: no permit for a target with a rate limit")

// takePermit takes a permit for an attempt whose target states a rate limit, unless it has one.
func (g *Gateway) takePermit(ctx context.Context, x *requestState, s *sendAttempt) error {
	if s.attempt == nil {
		return nil
	}
	asked := sinceBoot()
	limit, grantor, needed := g.permitFor(asked, s)
	if !needed {
		return nil
	}
	var granted bool
	var wait time.Duration
	if grantor != nil {
		granted, wait = g.askPermit(ctx, grantor, asked, limit)
	} else {
		granted, wait = g.takeOwnPermit(asked, limit)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := sinceBoot()
	if _, needed = g.placer.LimitOf(now, s.attempt); granted || !needed { // the limit may have ended
		g.placer.SetPermit(s.attempt, asked)
		return nil
	}
	g.placer.SetNoPermit(s.attempt, now+wait)
	g.requestMetrics.limitedWithheld.Inc(1)
	return &attemptError{ran: refusal.NotRun, unsent: true, retryAfter: g.localWait(now, x), err: errNoPermit}
}

// permitFor returns the limit for which an attempt needs a permit, and the host that grants it,
// nil for this one. needed is false if it needs none.
func (g *Gateway) permitFor(now time.Duration, s *sendAttempt) (limit placement.LimitedTarget, grantor *peerHost, needed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit, needed = g.placer.LimitOf(now, s.attempt); !needed || g.placer.GrantsPermits(now, limit.Target) {
		return limit, nil, needed
	}
	for _, h := range g.hosts {
		if h.GetRegion() == g.Region && h.GetPeer() != "" && now-h.partitionsAt <= hostTimeout && h.partitions.Grants(limit.Target) && (grantor == nil || h.partitionsAt > grantor.partitionsAt) {
			grantor = h
		}
	}
	return limit, grantor, true
}

// takeOwnPermit takes a permit that this host grants. It fails if it grants none for the target.
func (g *Gateway) takeOwnPermit(now time.Duration, limit placement.LimitedTarget) (granted bool, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer.TakePermit(now, limit.Target, limit.StartMillis)
}

// choosePermitted chooses a target of this region for a forwarded request and takes a permit for
// it if it states a rate limit. If there is none, it chooses another target.
func (g *Gateway) choosePermitted(ctx context.Context, x *requestState, firstByteLimit time.Duration) (*sendAttempt, error) {
	for n := 1; ; n++ {
		s, err := g.chooseLocalTarget(x, firstByteLimit)
		if err != nil {
			return nil, err
		}
		if err = g.takePermit(ctx, x, s); err == nil {
			return s, nil
		}
		g.finishAttempt(x, s, placement.Cancelled)
		if n == maxPermitTargets {
			return nil, err
		}
	}
}

// askPermit asks another host for a permit.
func (g *Gateway) askPermit(ctx context.Context, grantor *peerHost, now time.Duration, limit placement.LimitedTarget) (granted bool, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	out, err := g.PermitClient.Permit(ctx, grantor.GetPeer(), &syncpb.PermitRequest{Limit: encodeLimit(now, limit), Host: g.Name})
	if err != nil {
		g.Log.WithFields(logrus.Fields{"target": limit.Target, "host": grantor.GetName()}).WithError(err).Info("permits not reached")
		return false, silentGrantorPause
	}
	if ended := out.GetEnded(); ended != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.recordLimit(now, grantor.GetName(), ended)
	}
	return out.GetGranted(), clock.Millis(float64(out.GetWaitMs()))
}

// Permit implements the drpc service for the other hosts of the region.
func (g *Gateway) Permit(_ context.Context, in *syncpb.PermitRequest) (*syncpb.PermitResponse, error) {
	limit := in.GetLimit()
	if limit.GetTarget() == "" {
		return nil, errors.New("gateway: permit without a target")
	}
	now := sinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordLimit(now, in.GetHost(), limit)
	granted, wait := g.placer.TakePermit(now, limit.GetTarget(), limit.GetBorn())
	out := &syncpb.PermitResponse{Granted: granted, WaitMs: int64(wait/time.Millisecond) + 1}
	if ended, ok := g.placer.EndedLimit(limit.GetTarget(), limit.GetBorn()); ok {
		out.Ended = encodeLimit(now, ended)
	}
	return out, nil
}

// addLimits adds the rate limits that targets have stated to a report for the hosts of this
// region. g.mu must be held.
func (g *Gateway) addLimits(now time.Duration, out *syncpb.UsageReport) {
	for _, l := range g.placer.LimitReports(now) {
		out.Limits = append(out.Limits, encodeLimit(now, l))
	}
	if g.placer.LimitedTargets() > 0 {
		out.Partitions = uint64(g.paceLease.Held(now))
	}
}

// mergeLimits applies what another host said of rate limits and its partitions. g.mu must be
// held.
func (g *Gateway) mergeLimits(now time.Duration, in *syncpb.UsageReport) {
	for _, l := range in.GetLimits() {
		g.recordLimit(now, in.GetHost(), l)
	}
	if h := g.hosts[in.GetHost()]; h != nil {
		h.partitions, h.partitionsAt = shares.PartitionSet(in.GetPartitions()), now
	}
}

func encodeLimit(now time.Duration, l placement.LimitedTarget) *syncpb.TargetLimit {
	return &syncpb.TargetLimit{Target: l.Target, Born: l.StartMillis, PerSecond: l.PerSecond, SentAgeMs: (now - l.SentAt).Milliseconds(), HeardAgeMs: (now - l.HeardAt).Milliseconds()}
}

// recordLimit records what another host said that a target has stated. An invalid limit is
// ignored. g.mu must be held.
func (g *Gateway) recordLimit(now time.Duration, host string, l *syncpb.TargetLimit) {
	if rate := l.GetPerSecond(); !(rate >= 0) || math.IsInf(rate, 0) || l.GetHeardAgeMs() < 0 || l.GetSentAgeMs() < l.GetHeardAgeMs() {
		g.Log.WithFields(logrus.Fields{"target": l.GetTarget(), "per_second": fmt.Sprint(rate), "reported_by": host}).Warn("invalid target limit")
		return
	}
	limit := placement.LimitedTarget{Target: l.GetTarget(), StartMillis: l.GetBorn(), RateLimit: placement.RateLimit{PerSecond: l.GetPerSecond(),
		SentAt: now - clock.Millis(float64(l.GetSentAgeMs())), HeardAt: now - clock.Millis(float64(l.GetHeardAgeMs()))}}
	if c, changed := g.placer.RecordLimit(now, limit); changed {
		g.logChanges(now, host, c)
	}
}
