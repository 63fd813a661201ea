package gateway

import (
	"context"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/refusal"
)

const (
	// usualConfigDelay is how long a host usually takes to its first configuration, and
	// slowStart how long when the control hosts start at the same time: connections,
	// an election and a commit between regions.
	usualConfigDelay   = 300 * time.Millisecond
	clusterConfigDelay = 1600 * time.Millisecond
	// targetDiscoveryTime is how long a host that has just started may not know targets that
	// serve: control hosts that started with it learn of them by heartbeats.
	targetDiscoveryTime = 2500 * time.Millisecond
	// startWaitShare is the part of a caller's patience that may be spent on a host that
	// has just started.
	startWaitShare = 0.3
	// maxStartWaiters bounds the requests that wait for the start. Their heads and
	// unread bodies take memory.
	maxStartWaiters = 512
	// targetPollInterval spaces the looks for a target during the start.
	targetPollInterval = 50 * time.Millisecond
)

// awaitConfiguration lets a request wait while the first configuration of a host that
// has just started is about to come. A refusal would cost the caller more time than
// the wait.
func (g *Gateway) awaitConfiguration(x *requestState) {
	limit := g.startWaitLeft(x, clusterConfigDelay)
	if g.Views.usable() || limit <= 0 || g.awaitingConfig.Load() >= maxStartWaiters {
		return
	}
	g.awaitingConfig.Add(1)
	defer g.awaitingConfig.Add(-1)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-g.Views.FirstLoaded():
	case <-timer.C:
	case <-x.request.Context().Done():
	}
}

// startWaitLeft is how long a request may still wait for a start that takes the time.
func (g *Gateway) startWaitLeft(x *requestState, start time.Duration) time.Duration {
	now := sinceBoot()
	left := g.startedAt + start - now
	if x.call.Timeout > 0 {
		left = min(left, x.started+time.Duration(startWaitShare*float64(x.call.Timeout))-now)
	}
	return left
}

// awaitTarget lets a request that was refused for want of a target wait while the
// host has just started and may not know all targets. It reports whether to look
// again.
func (g *Gateway) awaitTarget(ctx context.Context, x *requestState, refused *refusal.Error) bool {
	if x.sends > 0 || refused.Code != refusal.NoTarget && refused.Code != refusal.Overloaded || g.startWaitLeft(x, targetDiscoveryTime) <= 0 {
		return false
	}
	return clock.Sleep(ctx, targetPollInterval)
}

// startRetryAfter is when a host that has just started is likely to serve: at once when
// the control hosts run, otherwise after they have elected a leader.
func (g *Gateway) startRetryAfter() time.Duration {
	up := sinceBoot() - g.startedAt
	if up < usualConfigDelay {
		return usualConfigDelay
	}
	return max(stateRetryAfter, clusterConfigDelay-up)
}
