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
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/registry"
	"geraniumturn.example/geraniumturn/platform"
)

const (
	// drainTime is how long a stopping entry host takes new requests: callers keep
	// a directory answer for this long, and most requests that it takes can end
	// within the rest of the time.
	drainTime = 2500 * time.Millisecond
	// settleTime covers a connection that was being opened from another region when
	// the host stopped to take new ones, and its first request.
	settleTime = 400 * time.Millisecond
	openPoll   = 20 * time.Millisecond
	// flushTime is for the end of an answer, which the server writes after the
	// request no longer counts as open.
	flushTime = 150 * time.Millisecond
	// alwaysLocal is the policy that keeps requests in their region.
	alwaysLocal = "always_local"
	// keyMargin covers the drift of clocks in the life of keys.
	keyMargin = 100 * time.Millisecond
)

// buildEntry wires an entry host and returns its graceful stop.
func (d *deployment) buildEntry() (func(context.Context), error) {
	s := d.settings
	p := s.Deployment
	g := &gateway.Gateway{
		Name: s.Name, DataCentre: s.DataCentre, Region: s.Region, RegionByDataCentre: p.Regions,
		Bounds: gateway.Bounds{
			KeyMaxStaleness: clock.Millis(p.Bounds.RevocationMS) - keyMargin, DenyMaxStaleness: clock.Millis(p.Bounds.ConfigurationMS) - keyMargin,
			RetryRatio: p.Bounds.RetryRatio, RetryWindow: clock.Seconds(p.Bounds.RetryWindowS), RetrySlack: p.Bounds.RetrySlack,
			RateSlack: p.Bounds.RateSlack, ColdOverrun: p.Bounds.ColdOverrun, ColdSlack: p.Bounds.ColdSlack,
		},
		CallerProtocol: platform.CallerProtocol{}, TargetProtocol: platform.TargetProtocol{}, Views: gateway.NewViewStore(platform.ConfigurationDecoder{}),
		Table: registry.NewTable(), Log: d.log, Metrics: d.metrics, Front: p.Front, Forward: p.ForwardAddress(), Peer: p.PeerAddress(), RateClient: lender{d.transport.Dial},
		Started: time.Now().UnixMilli(),
	}
	g.Init(p.PrefillTokensPerMS * float64(time.Second/time.Millisecond))
	g.SetPolicy(placement.Policy(s.Policy.Target))
	g.LocalOnly = s.Policy.DataCentre == alwaysLocal
	client := &fleetsync.Client{Region: s.Region, Dial: d.transport.Dial, NewRequest: g.ExchangeRequest, Apply: g.Apply, ConfigurationFresh: g.ConfigurationFresh,
		ReachabilityChanged: func(control string, reachable bool, err error) {
			entry := d.log.WithFields(logrus.Fields{"control": control, "reachable": reachable})
			if err != nil {
				entry = entry.WithError(err)
			}
			entry.Info("control host")
		}}
	front, err := d.addServer(p.Front, g)
	if err != nil {
		return nil, err
	}
	if _, err := d.addServer(p.ForwardListenAddress(), g.ForwardHandler()); err != nil {
		return nil, err
	}
	if _, err := d.addServer(p.Ready, platform.ReadyHandler(g.Ready)); err != nil {
		return nil, err
	}
	addLoop(&d.group, func(ctx context.Context) error { return client.Run(ctx, d.seedPeers) })
	if err := d.servePeers(g, syncpb.DRPCUsageDescription{}); err != nil {
		return nil, err
	}
	for scope, interval := range map[placement.Scope]time.Duration{placement.SameRegion: 0, placement.OtherRegions: fleetsync.CrossRegionUsageInterval} {
		usage := &fleetsync.UsageReporter{Dial: d.transport.Dial, Interval: interval, Peers: func() []string { return g.UsagePeers(scope) },
			Report: func() *syncpb.UsageReport { return g.UsageReport(scope) }}
		addLoop(&d.group, usage.Run)
	}
	return func(ctx context.Context) { d.stopEntry(ctx, g, front) }, nil
}

// lender calls the holders of rates.
type lender struct {
	dial func(address string) drpc.Conn
}

func (l lender) Take(ctx context.Context, peer string, in *syncpb.TakeRequest) (*syncpb.TakeResponse, error) {
	return syncpb.NewDRPCUsageClient(l.dial(peer)).Take(ctx, in)
}

// stopEntry asks callers to go elsewhere, goes on serving while they may still come,
// and waits for the requests in progress.
func (d *deployment) stopEntry(ctx context.Context, g *gateway.Gateway, front *server) {
	started := clock.SinceBoot()
	g.Drain()
	clock.Sleep(ctx, drainTime)
	g.RefuseNew()
	front.refuseConnections()
	clock.Sleep(ctx, settleTime)
	for g.InFlight() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, openPoll)
		if g.InFlight() == 0 {
			clock.Sleep(ctx, flushTime)
		}
	}
	d.log.WithFields(logrus.Fields{"took_ms": (clock.SinceBoot() - started).Milliseconds(), "cut": g.InFlight()}).Info("drained")
}
