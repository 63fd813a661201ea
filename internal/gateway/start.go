package gateway

import (
	"context"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/room"
)

const (
	// usualConfigDelay is the usual time from the start of a host to its first
	// configuration. clusterConfigDelay is the time if the control hosts start at the
	// same time, which includes connecting, an election and a commit across regions.
	usualConfigDelay   = 300 * time.Millisecond
	clusterConfigDelay = 1600 * time.Millisecond
	// targetDiscoveryTime is how long after its start a host may not know all ready
	// targets: control hosts that started at the same time discover them by heartbeats.
	targetDiscoveryTime = 2500 * time.Millisecond
	// startWaitShare is the part of a caller's timeout that a request may spend waiting
	// for a host that has just started.
	startWaitShare = 0.3
	// maxStartWaiters bounds the requests that wait for the start, because their headers
	// and unread bodies take memory.
	maxStartWaiters = 512
	// targetPollInterval is the interval between attempts to choose a target during the
	// start.
	targetPollInterval = 50 * time.Millisecond
)

// awaitConfiguration blocks a request until the first configuration of a host that has
// just started arrives, or for a limited time. A refusal would cost the caller more time
// than the wait.
func (g *Gateway) awaitConfiguration(x *requestState) {
	limit := g.startWaitLeft(x, clusterConfigDelay)
	if g.Views.usable() || limit <= 0 || g.awaitingConfig.Load() >= maxStartWaiters {
		return
	}
	g.awaitingConfig.Add(1)
	defer g.awaitingConfig.Add(-1)
	began := sinceBoot()
	defer func() { x.hostWait += sinceBoot() - began }()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-g.Views.FirstLoaded():
	case <-timer.C:
	case <-x.request.Context().Done():
	}
}

// startWaitLeft returns how much longer a request may wait for a start that takes
// startTime.
func (g *Gateway) startWaitLeft(x *requestState, startTime time.Duration) time.Duration {
	now := sinceBoot()
	left := g.startedAt + startTime - now
	if x.call.Timeout > 0 {
		left = min(left, x.started+time.Duration(startWaitShare*float64(x.call.Timeout))-now)
	}
	return left
}

// awaitTarget delays a request that found no target while the host has just started and
// may not know all targets. It reports whether to choose a target again.
func (g *Gateway) awaitTarget(ctx context.Context, x *requestState, refused *refusal.Error) bool {
	if !g.mayAwaitTarget(x, refused.Code) {
		return false
	}
	began := sinceBoot()
	defer func() { x.hostWait += sinceBoot() - began }()
	return clock.Sleep(ctx, targetPollInterval)
}

// mayAwaitTarget reports whether a request that was refused waits for targets to become known.
func (g *Gateway) mayAwaitTarget(x *requestState, code refusal.Code) bool {
	return x.sends == 0 && x.decision.Reason != room.ReasonYields && (code == refusal.NoTarget || code == refusal.Overloaded) && g.startWaitLeft(x, targetDiscoveryTime) > 0
}

// startRetryAfter returns the Retry-After of a host that has no configuration yet: a
// short one at first, in case the control hosts are running, and then the time until
// control hosts that started at the same time have probably elected a leader.
func (g *Gateway) startRetryAfter() time.Duration {
	uptime := sinceBoot() - g.startedAt
	if uptime < usualConfigDelay {
		return usualConfigDelay
	}
	return max(stateRetryAfter, clusterConfigDelay-uptime)
}
