package daemon

import (
	"context"
	"time"

	"geraniumturn.example/geraniumturn/internal/fleet"
	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
	"geraniumturn.example/geraniumturn/internal/keys"
	"geraniumturn.example/geraniumturn/internal/timeline"
)

const (
	pullInterval = 250 * time.Millisecond
	pullTimeout  = 2 * time.Second
)

func (d *Daemon) buildFleet() error {
	d.copy.OnChange(func(v *fleet.View) {
		granted := make([]keys.Key, len(v.State.Keys))
		for i, k := range v.State.Keys {
			granted[i] = keys.Key{ID: k.Id, Workspace: k.Workspace, SecretHash: k.SecretHash}
		}
		d.keys.Replace(granted, v.State.Withdrawn)
		d.events.Record(timeline.Event{Kind: "state_installed", Revision: v.Revision})
		d.log.WithField("revision", v.Revision).WithField("index", v.Index).Info("published state installed")
	})
	return d.transport.Register(fleet.Service{Copy: d.copy}, fleetpb.DRPCFleetDescription{})
}

// pullLoop keeps this host's copy of the published state up to date.
func (d *Daemon) pullLoop(ctx context.Context) error {
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for {
		if state := d.newerState(ctx); state != nil {
			if _, err := d.copy.Install(state); err != nil {
				d.log.WithError(err).Error("published state refused")
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Daemon) newerState(ctx context.Context) *fleetpb.State {
	index := d.copy.View().Index
	if d.machine != nil {
		if d.machine.Index() > index {
			return d.machine.State()
		}
		return nil
	}
	for _, h := range d.settings.AllHosts()[1:] {
		callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		out, err := fleetpb.NewDRPCFleetClient(d.transport.Dial(h.Peer)).Pull(callCtx, &fleetpb.PullRequest{Index: index})
		cancel()
		if err == nil && out.GetState() != nil {
			return out.GetState()
		}
	}
	return nil
}
