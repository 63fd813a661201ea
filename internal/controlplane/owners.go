package controlplane

import (
	"sync"
	"time"

	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/rendezvous"
)

const (
	// returnWindow is the time after a target was told another control host in which its next
	// heartbeat here means that it did not reach that host.
	returnWindow = 10 * time.Second
	// returnPause is how long a target that came back is left here.
	returnPause = time.Minute
	// namedPerSecond bounds the targets that this host sends on, each of which opens a
	// connection to its owner: after a start or a loss they move over some seconds.
	namedPerSecond = 50
)

// Owners decides which control host gets the heartbeats of a target: one of the target's
// region that has been heard from, by rendezvous, so that targets are spread evenly and each
// stays on one connection. It is safe for concurrent use.
type Owners struct {
	// Self is the address of this host for targets.
	Self string

	mu    sync.Mutex
	named map[string]*namedOwner // by target
	// window began when the last namedPerSecond targets began to be sent on.
	window      time.Duration
	windowCount int
	// prunedAt is when records of targets that stayed away were last removed.
	prunedAt time.Duration
}

type namedOwner struct {
	address    string
	at         time.Duration
	pauseUntil time.Duration
}

// Choose returns the address for later heartbeats of a target of the region, or "" if it
// should stay here. controls are the control hosts that were heard from recently.
func (o *Owners) Choose(now time.Duration, target, region string, controls []*syncpb.ControlHost) string {
	owner, maxWeight := "", uint64(0)
	for _, c := range controls {
		if c.GetControl() == "" || c.GetRegion() != region {
			continue
		}
		if weight := rendezvous.Weight(target, c.GetControl()); owner == "" || weight > maxWeight {
			owner, maxWeight = c.GetControl(), weight
		}
	}
	if owner == "" || owner == o.Self {
		return ""
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.named == nil {
		o.named = map[string]*namedOwner{}
	}
	o.prune(now)
	n := o.named[target]
	switch {
	case n == nil:
		n = &namedOwner{}
		o.named[target] = n
	case now < n.pauseUntil:
		return ""
	case n.address == owner && now-n.at < returnWindow:
		n.pauseUntil = now + returnPause // this target does not reach the owner, though this host does
		return ""
	}
	if now-o.window >= time.Second {
		o.window, o.windowCount = now, 0
	}
	if o.windowCount == namedPerSecond {
		return ""
	}
	o.windowCount++
	n.address, n.at = owner, now
	return owner
}

// prune removes the records that have no effect any more. o.mu must be held.
func (o *Owners) prune(now time.Duration) {
	if now-o.prunedAt < returnWindow {
		return
	}
	o.prunedAt = now
	for target, n := range o.named {
		if now >= n.pauseUntil && now-n.at >= returnWindow {
			delete(o.named, target)
		}
	}
}
