package daemon

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	runtimemetrics "runtime/metrics"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/control"
	"geraniumturn.example/geraniumturn/internal/control/controlpb"
	"geraniumturn.example/geraniumturn/internal/controlplane"
	"geraniumturn.example/geraniumturn/internal/departures"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/intake"
	"geraniumturn.example/geraniumturn/internal/registry"
	"geraniumturn.example/geraniumturn/platform"
)

const (
	// directoryTTL is how long callers may cache a response of the directory. A
	// shorter TTL causes more directory queries, a longer one more attempts to reach
	// hosts that have left.
	directoryTTL = 2 * time.Second
	// resignDelay is how long a stopping control host continues to serve after it has
	// resigned as leader, so that other hosts learn of the next leader.
	resignDelay = 400 * time.Millisecond
	// controlDrainTime is the time that calls in progress have to complete.
	controlDrainTime = 300 * time.Millisecond
)

// buildControl builds a control host and returns the function that stops it
// gracefully.
func (d *deploymentDaemon) buildControl() (func(context.Context), error) {
	s := d.settings
	p := s.Deployment
	presence := fleetsync.NewPresence()
	config := control.Config{Host: p.PeerAddress(), Dir: filepath.Join(s.DataDir, controlFolder), Dial: d.transport.Dial,
		Logger: d.log, Metrics: d.metrics, ReopenAfterDiskFailure: true, VoterCount: 2*p.LostDisks + 1,
		DiscoverVoters: func() []control.Voter { return voterCandidates(presence) }}
	if p.Bootstrap {
		config.InitialVoters = p.SeedPeerAddresses()
	}
	node, err := control.NewNode(config)
	if err != nil {
		return nil, err
	}
	machine := document.NewMachine()
	node.Register(document.MachineName, machine)
	table := d.newTargetTable()
	store, err := d.loadDepartures(table)
	if err != nil {
		return nil, err
	}
	server := &fleetsync.Server{Self: &syncpb.ControlHost{Peer: p.PeerAddress(), Region: s.Region, DataCentre: s.DataCentre, Documents: true, Control: p.Control}, Leadership: node, Document: machine,
		Targets: table, Presence: presence, Dial: d.transport.Dial, InvalidRecords: d.logInvalidRecords, OnPanic: d.logPanic("relay"), RegionCount: p.CountRegions(), Incarnation: rand.Uint64(),
		Departures: store, LostDisks: p.LostDisks, OnDeparture: d.logDeparture, OnDepartureError: func(err error) { d.log.WithError(err).Error("departures not stored") }}
	server.Init()
	d.registerControlGauges(server)
	plane := &controlplane.Service{Node: node, Document: machine, Decoder: platform.ConfigurationDecoder{}, Targets: table, Presence: presence, Departures: server, Logger: d.log,
		Owners: controlplane.Owners{Self: p.Control}, RegionByDataCentre: p.Regions}
	if err := d.transport.Register(node.Service(), controlpb.DRPCControlDescription{}); err != nil {
		return nil, err
	}
	if err := d.transport.Register(server, syncpb.DRPCDocumentsDescription{}); err != nil {
		return nil, err
	}
	d.addSourceMetrics(server.DocumentStats)
	if err := d.servePeers(server, syncpb.DRPCSyncDescription{}); err != nil {
		return nil, err
	}
	addLoop(&d.group, node.Run)
	addLoop(&d.group, plane.LogChanges)
	addLoop(&d.group, func(ctx context.Context) error { return server.Run(ctx, d.seedPeers) })
	front, err := d.addServer(p.Control, intake.Operators, intake.Handler(platform.ControlHandler(plane)))
	if err != nil {
		return nil, err
	}
	directory, err := d.addServer(p.Directory, intake.Callers, intake.Handler(platform.DirectoryHandler(plane, min(directoryTTL, clock.Seconds(p.Bounds.DirectoryTTLS)))))
	return func(ctx context.Context) { d.stopControl(ctx, node, front, directory) }, err
}

// registerControlGauges registers gauges of what a control host keeps, which bounds its memory.
func (d *deploymentDaemon) registerControlGauges(s *fleetsync.Server) {
	for name, value := range map[string]func() int64{
		"control.targets":         func() int64 { return int64(s.Targets.Len()) },
		"control.entry_hosts":     func() int64 { return int64(s.Presence.Len()) },
		"control.kept_records":    func() int64 { return int64(s.KeptRecords()) },
		"control.large_responses": s.LargeResponses,
		"control.peer_bytes_sent": func() int64 { return d.transport.Traffic().BytesSent },
		"control.heap_bytes": func() int64 {
			sample := []runtimemetrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
			runtimemetrics.Read(sample)
			return int64(sample[0].Value.Uint64())
		},
	} {
		metrics.NewRegisteredFunctionalGauge(name, d.metrics, value)
	}
}

// loadDepartures opens the store of departures and adds what it has to the table. Without
// what cannot be read, this host learns of departures from the others, as after the loss of
// its disk.
func (d *deploymentDaemon) loadDepartures(table *registry.Table) (*departures.Store, error) {
	store, err := departures.OpenStore(d.settings.DataDir)
	if err != nil {
		return nil, err
	}
	records, err := store.Load()
	if err != nil {
		d.log.WithError(err).Error("departures not loaded")
		return store, nil
	}
	now := clock.SinceBoot()
	for _, r := range records {
		table.Merge(now, r)
	}
	d.log.WithField("departures", len(records)).Info("departures loaded")
	return store, nil
}

// logDeparture logs a departure that another control host has told this one.
func (d *deploymentDaemon) logDeparture(r registry.Record, control string) {
	d.log.WithFields(logrus.Fields{"target": r.ID, "born": r.StartMillis, "sequence": r.Sequence, "state": r.State.String(), "control": control}).Info("target changed")
}

// voterCandidates returns the control hosts that are present, which the control log
// may make voters.
func voterCandidates(presence *fleetsync.Presence) []control.Voter {
	var out []control.Voter
	for _, c := range presence.Controls(clock.SinceBoot()) {
		out = append(out, control.Voter{Host: c.GetPeer(), Address: c.GetPeer()})
	}
	return out
}

// stopControl resigns as leader, closes the listeners and gives calls in progress time
// to complete.
func (d *deploymentDaemon) stopControl(ctx context.Context, node *control.Node, servers ...*server) {
	node.Resign(ctx)
	clock.Sleep(ctx, resignDelay)
	for _, s := range servers {
		s.refuseConnections()
	}
	clock.Sleep(ctx, controlDrainTime)
}
