package fleet

import (
	"errors"

	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
)

// OutgoingPush is a push to a host.
type OutgoingPush struct {
	To   string
	Push *fleetpb.PushRequest
}

// Publisher decides which pushes a host sends and when it must pull. It does
// no I/O.
type Publisher struct {
	Self    string
	Replica *Replica
}

// ChangeSource gives the changes after an index: the machine on a voter, or a copy.
type ChangeSource interface {
	Since(index uint64) *fleetpb.PullResponse
}

// PublishCommitted installs what the machine of this voter has applied. With root it
// returns the pushes that start the tree; voters without the lease only install.
func (p *Publisher) PublishCommitted(machine ChangeSource, root bool, live []TreeNode) ([]OutgoingPush, error) {
	news := machine.Since(p.Replica.View().Index)
	installed, err := p.Replica.Merge(news)
	if err != nil || !installed || !root {
		return nil, err
	}
	return p.pass(p.Self, &fleetpb.PushRequest{Origin: p.Self, Changes: news.GetChanges()}, live), nil
}

// HandlePush handles a push. pull tells that the sender is ahead of what the push
// could bring, so that this host must pull from it.
func (p *Publisher) HandlePush(in *fleetpb.PushRequest, live []TreeNode) (forward []OutgoingPush, pull bool, err error) {
	if len(in.GetChanges()) == 0 {
		return nil, true, nil
	}
	installed, err := p.Replica.Merge(&fleetpb.PullResponse{Changes: in.Changes})
	if errors.Is(err, ErrGap) || errors.Is(err, ErrBadChange) {
		return p.pass(p.Self, in, live), true, nil
	}
	if err != nil || !installed {
		return nil, false, err
	}
	return p.pass(p.Self, in, live), false, nil
}

// HandlePushFailure returns the pushes that take the place of a push that failed: this
// host serves the children of the host that it did not reach.
func (p *Publisher) HandlePushFailure(failed OutgoingPush, live []TreeNode) []OutgoingPush {
	return p.pass(failed.To, failed.Push, live)
}

func (p *Publisher) pass(position string, push *fleetpb.PushRequest, live []TreeNode) []OutgoingPush {
	var out []OutgoingPush
	for _, name := range Children(push.Origin, position, live) {
		if name != p.Self {
			out = append(out, OutgoingPush{To: name, Push: push})
		}
	}
	return out
}
