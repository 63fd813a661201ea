package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/gateway"
	"geraniumturn.example/geraniumturn/internal/intake"
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/usagerelay"
	"geraniumturn.example/geraniumturn/platform"
)

const (
	// drainTime is how long a stopping entry host still accepts new requests. It covers
	// the time for which callers cache a directory response, and leaves most accepted
	// requests enough of the grace time to complete.
	drainTime = 2500 * time.Millisecond
	// connectionSettleTime covers a connection that was being opened from another region
	// when the listener was closed, and the first request on it.
	connectionSettleTime = 400 * time.Millisecond
	openPollInterval     = 20 * time.Millisecond
	// endTime is how long the answers to requests that the end of the stop interrupts may
	// take.
	endTime = 200 * time.Millisecond
	// flushTime is the time to write the end of a response, which the server sends after
	// the request has stopped counting as open.
	flushTime = 150 * time.Millisecond
	// alwaysLocal is the data centre policy that keeps requests in their region.
	alwaysLocal = "always_local"
	// equalRoom is the room policy under which no request gives way to others.
	equalRoom = "equal"
	// clockDriftMargin is subtracted from the lifetimes of keys and of the configuration
	// to allow for clock drift.
	clockDriftMargin = 100 * time.Millisecond
)

// buildEntry builds an entry host and returns the function that stops it gracefully.
func (d *deploymentDaemon) buildEntry() (func(context.Context), error) {
	s := d.settings
	p := s.Deployment
	g := &gateway.Gateway{
		Name: s.Name, DataCentre: s.DataCentre, Region: s.Region, RegionByDataCentre: p.Regions,
		Bounds: gateway.Bounds{
			KeyMaxStaleness: clock.Millis(p.Bounds.RevocationMS) - clockDriftMargin, DenyMaxStaleness: clock.Millis(p.Bounds.ConfigurationMS) - clockDriftMargin,
			RetryRatio: p.Bounds.RetryRatio, RetryWindow: clock.Seconds(p.Bounds.RetryWindowS), RetrySlack: p.Bounds.RetrySlack,
			RateSlack: p.Bounds.RateSlack, ColdOverrun: p.Bounds.ColdOverrun, ColdSlack: p.Bounds.ColdSlack,
		},
		CallerProtocol: platform.CallerProtocol{}, HonouredShare: platform.HonouredShare, TargetProtocol: platform.TargetProtocol{}, Views: gateway.NewViewStore(platform.ConfigurationDecoder{}),
		Table: d.newTargetTable(), Log: d.log, Metrics: d.metrics, Front: p.Front, Forward: p.ForwardAddress(), Peer: p.PeerAddress(), RateClient: usageClient{d.transport.Dial}, PermitClient: usageClient{d.transport.Dial},
		Started: time.Now().UnixMilli(), MaxBodyMemory: d.gate.Account.Limits().Account, MaxResponseMemory: d.gate.Account.Limits().Responses,
	}
	g.Init(p.PrefillTokensPerMS * float64(time.Second/time.Millisecond))
	g.SetPolicy(placement.Policy(s.Policy.Target))
	g.LocalOnly = s.Policy.DataCentre == alwaysLocal
	g.EqualUrgency = s.Policy.Room == equalRoom
	client := &fleetsync.Client{Name: s.Name, Region: s.Region, Dial: d.transport.Dial, NewRequest: g.ExchangeRequest, Apply: g.Apply, ConfigurationFresh: g.ConfigurationFresh,
		InvalidRecords: d.logInvalidRecords, TargetDigests: g.Table.Digests,
		ReachabilityChanged: func(control string, reachable bool, err error) {
			entry := d.log.WithFields(logrus.Fields{"control": control, "reachable": reachable})
			if err != nil {
				entry = entry.WithError(err)
			}
			entry.Info("control host")
		}}
	client.Documents = d.newDocuments(g)
	g.OriginClient = client
	front, err := d.addServer(p.Front, intake.Callers, g)
	if err != nil {
		return nil, err
	}
	if _, err := d.addServer(p.ForwardListenAddress(), intake.Hosts, g.ForwardHandler()); err != nil {
		return nil, err
	}
	if _, err := d.addServer(p.Ready, intake.Operators, intake.Handler(platform.ReadyHandler(g.Ready))); err != nil {
		return nil, err
	}
	addLoop(&d.group, func(ctx context.Context) error { return client.Run(ctx, d.seedPeers) })
	if err := d.transport.Register(client.Documents, syncpb.DRPCDocumentsDescription{}); err != nil {
		return nil, err
	}
	if err := d.servePeers(g, syncpb.DRPCUsageDescription{}); err != nil {
		return nil, err
	}
	usage := &usagerelay.Reporter{Dial: d.transport.Dial, Node: g, OnPanic: d.logPanic("usage reports")}
	addLoop(&d.group, usage.Run)
	addLoop(&d.group, usage.RunCrossRegion)
	return func(ctx context.Context) {
		d.stopEntry(ctx, g, front)
		g.Close()
	}, nil
}

// usageClient takes tokens of a workspace's rate, and permits for targets, from the hosts that
// hold them.
type usageClient struct {
	dial func(address string) drpc.Conn
}

func (c usageClient) Take(ctx context.Context, peer string, in *syncpb.TakeRequest) (*syncpb.TakeResponse, error) {
	return syncpb.NewDRPCUsageClient(c.dial(peer)).Take(ctx, in)
}

func (c usageClient) Permit(ctx context.Context, peer string, in *syncpb.PermitRequest) (*syncpb.PermitResponse, error) {
	return syncpb.NewDRPCUsageClient(c.dial(peer)).Permit(ctx, in)
}

// stopEntry drains the host: it tells callers to use other hosts, continues to accept
// requests while callers may still send them, and then waits for the requests in
// progress, and for those of which a part has arrived.
func (d *deploymentDaemon) stopEntry(ctx context.Context, g *gateway.Gateway, front *server) {
	started := clock.SinceBoot()
	if limit, ok := ctx.Deadline(); ok {
		g.StopsAt(started + time.Until(limit))
	}
	g.Drain()
	clock.Sleep(ctx, drainTime)
	g.RefuseNew()
	front.refuseConnections()
	clock.Sleep(ctx, connectionSettleTime)
	for open := g.InFlight() + front.busy.Load(); open > 0 && ctx.Err() == nil; {
		clock.Sleep(ctx, openPollInterval)
		if open = g.InFlight() + front.busy.Load(); open == 0 {
			clock.Sleep(ctx, flushTime)
		}
	}
	cut := g.InFlight()
	if cut > 0 {
		g.EndRequests()
		limit, cancel := context.WithTimeout(context.Background(), endTime)
		defer cancel()
		for g.InFlight() > 0 && clock.Sleep(limit, openPollInterval) {
		}
		clock.Sleep(limit, flushTime)
	}
	d.log.WithFields(logrus.Fields{"took_ms": (clock.SinceBoot() - started).Milliseconds(), "cut": cut, "unread": front.busy.Load()}).Info("drained")
}
