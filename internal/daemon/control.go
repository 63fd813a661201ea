package daemon

import (
	"geraniumturn.example/geraniumturn/internal/control"
	"geraniumturn.example/geraniumturn/internal/control/controlpb"
	"geraniumturn.example/geraniumturn/internal/fleet"
	"geraniumturn.example/geraniumturn/internal/operations"
	"storj.io/drpc"
)

func (d *Daemon) buildControl() error {
	first := d.settings.Control.Voters[0]
	if first != d.settings.Name {
		voter, _ := d.settings.Host(first)
		d.controlLog = control.Remote{Dial: func() drpc.Conn { return d.transport.Dial(voter.Peer) }}
		return nil
	}
	d.machine = fleet.NewMachine()
	d.controlLog = control.NewSequencer(map[string]control.Machine{
		fleet.MachineName:      d.machine,
		operations.MachineName: operations.NewMachine(),
	})
	return d.transport.Register(control.Service{Log: d.controlLog}, controlpb.DRPCControlDescription{})
}
