package gateway

import (
	"context"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/refusal"
)

const (
	// quickStart is how long a host usually takes to its first configuration, and
	// slowStart how long when the control hosts start at the same time: connections,
	// an election and a commit between regions.
	quickStart = 300 * time.Millisecond
	slowStart  = 1600 * time.Millisecond
	// targetsStart is how long a host that has just started may not know targets that
	// serve: control hosts that started with it learn of them by heartbeats.
	targetsStart = 2500 * time.Millisecond
	// startPart is the part of a caller's patience that may be spent on a host that
	// has just started.
	startPart = 0.3
	// startWaiters bounds the requests that wait for the start. Their heads and
	// unread bodies take memory.
	startWaiters = 512
	// targetsPoll spaces the looks for a target during the start.
	targetsPoll = 50 * time.Millisecond
)

// awaitConfiguration lets a request wait while the first configuration of a host that
// has just started is about to come. A refusal would cost the caller more time than
// the wait.
func (g *Gateway) awaitConfiguration(x *exchange) {
	limit := g.startLeft(x, slowStart)
	if g.Views.usable() || limit <= 0 || g.waiting.Load() >= startWaiters {
		return
	}
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-g.Views.FirstLoaded():
	case <-timer.C:
	case <-x.request.Context().Done():
	}
}

// startLeft is how long a request may still wait for a start that takes the time.
func (g *Gateway) startLeft(x *exchange, start time.Duration) time.Duration {
	now := sinceBoot()
	left := g.begun + start - now
	if x.call.Timeout > 0 {
		left = min(left, x.started+time.Duration(startPart*float64(x.call.Timeout))-now)
	}
	return left
}

// awaitTarget lets a request that was refused for want of a target wait while the
// host has just started and may not know all targets. It reports whether to look
// again.
func (g *Gateway) awaitTarget(ctx context.Context, x *exchange, refused *refusal.Error) bool {
	if x.sends > 0 || refused.Code != refusal.NoTarget && refused.Code != refusal.Overloaded || g.startLeft(x, targetsStart) <= 0 {
		return false
	}
	return clock.Sleep(ctx, targetsPoll)
}

// startRetry is when a host that has just started is likely to serve: at once when
// the control hosts run, otherwise after they have elected a leader.
func (g *Gateway) startRetry() time.Duration {
	up := sinceBoot() - g.begun
	if up < quickStart {
		return quickStart
	}
	return max(settleRetry, slowStart-up)
}
