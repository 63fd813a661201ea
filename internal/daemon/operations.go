package daemon

import (
	"context"
	"path/filepath"
	"time"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/entry"
	"geraniumturn.example/geraniumturn/internal/fleet"
	"geraniumturn.example/geraniumturn/internal/operations"
	"geraniumturn.example/geraniumturn/internal/operations/operationspb"
	"geraniumturn.example/geraniumturn/internal/settings"
)

const minDigestKeyBytes = 16

func (d *Daemon) buildOperations() error {
	key, err := settings.ReadSecret(d.settings.Security.DigestKeyFile, minDigestKeyBytes)
	if err != nil {
		return err
	}
	dir := ""
	if d.settings.DataDir != "" {
		dir = filepath.Join(d.settings.DataDir, "answers")
	}
	store, err := operations.OpenStore(dir, d.settings.DataCentre, d.mayStore, time.Now())
	if err != nil {
		return err
	}
	d.replica.OnChange(func(v *fleet.View) {
		if v.Revision > 0 {
			store.EnforceResidency(time.Now())
		}
	})
	d.dispatcher.SetCounter(d.count)
	self := d.settings.Self()
	d.operations = operations.NewService(operations.Config{
		Self: operations.Host{Name: self.Name, DataCentre: self.DataCentre, PeerAddress: self.Peer},
		Log:  d.controlLog, Store: store, DigestKey: []byte(key), Count: d.count,
		Peers: operations.RPCPeers{List: d.otherOperationHosts, Dial: d.transport.Dial},
		Ticks: d.settings.HasRole(settings.RoleControl),
	})
	return d.transport.Register(operations.RPC{Service: d.operations}, operationspb.DRPCOperationsDescription{})
}

// mayStore reports whether the rules in force allow data of the workspace to be stored
// in this data centre. It returns false for a workspace without a rule.
func (d *Daemon) mayStore(workspace string) bool {
	w := d.replica.View().Rules.Workspaces[workspace]
	return w != nil && w.Allows(d.settings.DataCentre)
}

func (d *Daemon) otherOperationHosts() []operations.Host {
	var out []operations.Host
	for _, h := range d.members.All() {
		if h.Name != d.settings.Name {
			out = append(out, operations.Host{Name: h.Name, DataCentre: h.DataCentre, PeerAddress: h.Peer, Dead: h.Dead})
		}
	}
	return out
}

// operationsAdapter implements entry.Operations with the operations service.
type operationsAdapter struct{ service *operations.Service }

func (o operationsAdapter) Do(ctx context.Context, op entry.Operation, sink dispatch.Sink, run func(context.Context, dispatch.Sink) (dispatch.Result, error)) (dispatch.Result, error) {
	return o.service.Do(ctx, operations.Operation{
		Workspace: op.Workspace, Key: op.Key, Method: op.Method, Path: op.Path, Query: op.Query, Body: op.Body,
		RequestID: op.RequestID, Residency: op.Residency, Deadline: op.Deadline,
	}, sink, run)
}
