package fleet

import (
	"errors"

	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
)

// OutgoingPush is a push request and the host to send it to.
type OutgoingPush struct {
	To   string
	Push *fleetpb.PushRequest
}

// Publisher determines which pushes a host sends and when it must pull. The caller
// sends the requests; Publisher does no network I/O.
type Publisher struct {
	Self    string
	Replica *Replica
}

// ChangeSource returns the changes after an index. Machine and Replica implement it.
type ChangeSource interface {
	Since(index uint64) *fleetpb.PullResponse
}

// PublishCommitted installs the changes that the state machine of this voter has
// applied. If isRoot is true, it also returns the pushes from the root of the push
// tree. Voters without the lease only install the changes.
func (p *Publisher) PublishCommitted(machine ChangeSource, isRoot bool, liveHosts []TreeNode) ([]OutgoingPush, error) {
	update := machine.Since(p.Replica.View().Index)
	installed, err := p.Replica.Merge(update)
	if err != nil || !installed || !isRoot {
		return nil, err
	}
	return p.pushesFromPosition(p.Self, &fleetpb.PushRequest{Origin: p.Self, Changes: update.GetChanges()}, liveHosts), nil
}

// HandlePush installs the changes of a push and returns the pushes that forward it to
// this host's children. Changes that are already in force are not forwarded again. pull
// is true if the changes could not be applied, or if the push has none because its
// origin installed a full state; this host must then pull from the sender.
func (p *Publisher) HandlePush(req *fleetpb.PushRequest, liveHosts []TreeNode) (forward []OutgoingPush, pull bool, err error) {
	if len(req.GetChanges()) == 0 {
		return nil, true, nil
	}
	installed, err := p.Replica.Merge(&fleetpb.PullResponse{Changes: req.Changes})
	if errors.Is(err, ErrGap) || errors.Is(err, ErrBadChange) {
		return p.pushesFromPosition(p.Self, req, liveHosts), true, nil
	}
	if err != nil || !installed {
		return nil, false, err
	}
	return p.pushesFromPosition(p.Self, req, liveHosts), false, nil
}

// HandlePushFailure returns the pushes that replace a failed push: this host pushes
// to the children of the host that it could not reach.
func (p *Publisher) HandlePushFailure(failed OutgoingPush, liveHosts []TreeNode) []OutgoingPush {
	return p.pushesFromPosition(failed.To, failed.Push, liveHosts)
}

// pushesFromPosition returns the pushes to the children of the host at a position in
// the push tree, except to this host itself.
func (p *Publisher) pushesFromPosition(position string, push *fleetpb.PushRequest, liveHosts []TreeNode) []OutgoingPush {
	var out []OutgoingPush
	for _, name := range Children(push.Origin, position, liveHosts) {
		if name != p.Self {
			out = append(out, OutgoingPush{To: name, Push: push})
		}
	}
	return out
}
