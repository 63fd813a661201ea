package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/dispatch/dispatchpb"
	"geraniumturn.example/geraniumturn/internal/membership"
	"geraniumturn.example/geraniumturn/internal/routing"
	"geraniumturn.example/geraniumturn/internal/routing/routingpb"
	"geraniumturn.example/geraniumturn/internal/targets"
	"geraniumturn.example/geraniumturn/internal/targets/targetspb"
)

const (
	relayTimeout    = time.Second
	exchangeTimeout = 2 * time.Second
	// relayTick is the interval at which the relay checks for messages that are due.
	// Batches are due each second; urgent messages wake the relay at once.
	relayTick = 250 * time.Millisecond
)

func (d *Daemon) buildTargets() error {
	d.relay = targets.NewRelay(d.targets, relayPeers{d.settings.Name, d.settings.DataCentre, d.members})
	d.relayWake = make(chan struct{}, 1)
	return d.transport.Register(targets.Service{Table: d.targets}, targetspb.DRPCTargetsDescription{})
}

// relayPeers provides the live hosts to which announcements are relayed.
type relayPeers struct {
	self       string
	dataCentre string
	members    *membership.Members
}

func (p relayPeers) Local() []string { return p.In(p.dataCentre) }

func (p relayPeers) In(dataCentre string) []string {
	var out []string
	for _, h := range p.members.Live(dataCentre) {
		if h.Name != p.self {
			out = append(out, h.Name)
		}
	}
	return out
}

// urgentAnnouncement relays an announcement without waiting for the next batch.
func (d *Daemon) urgentAnnouncement(a *targets.Announcement) {
	d.relay.QueueUrgent(a)
	d.wakeRelay()
}

func (d *Daemon) wakeRelay() {
	select {
	case d.relayWake <- struct{}{}:
	default:
	}
}

// LeaseTarget takes an exclusive lease of a target and announces it to the
// other hosts of the data centre. The caller must wait until Lease.Exclusive returns
// true before it sends the request.
func (d *Daemon) LeaseTarget(q *targets.Query, length time.Duration) (*targets.Lease, error) {
	lease, err := d.targets.Lease(time.Now(), q, length)
	if err != nil {
		return nil, err
	}
	d.relay.ForceBatch()
	d.wakeRelay()
	return lease, nil
}

// relayLoop sends the relay messages that are due, at each tick and when woken.
func (d *Daemon) relayLoop(ctx context.Context) error {
	ticker := time.NewTicker(relayTick)
	defer ticker.Stop()
	var sends sync.WaitGroup
	defer sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-d.relayWake:
		}
		d.targets.Tick(time.Now())
		for _, m := range d.relay.Tick(time.Now()) {
			sends.Go(func() { d.sendRelayMessage(ctx, m) })
		}
	}
}

func (d *Daemon) sendRelayMessage(ctx context.Context, m targets.Message) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var response *targetspb.RelayResponse
	if h, ok := d.members.Lookup(m.Host); ok {
		client := targetspb.NewDRPCTargetsClient(d.transport.Dial(h.Peer))
		if out, err := client.Relay(ctx, m.Request); err == nil {
			response = out
		}
	}
	d.relay.AddBytesSent(proto.Size(m.Request))
	d.relay.Done(time.Now(), m, response)
	if response.GetDiffers() {
		d.wakeRelay()
	}
}

// exchangeLoop periodically requests the routing summaries of the other data centres.
func (d *Daemon) exchangeLoop(ctx context.Context) error {
	ticker := time.NewTicker(routing.ExchangeInterval)
	defer ticker.Stop()
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		for _, call := range d.router.PrepareSummaryCalls() {
			requests.Go(func() { d.requestSummary(ctx, call) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Daemon) requestSummary(ctx context.Context, call routing.SummaryCall) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := routingpb.NewDRPCRoutingClient(d.transport.Dial(call.Host.Peer)).Summary(ctx, call.Request)
	if err != nil {
		response = nil
	}
	if err := d.router.CompleteSummaryCall(call, response); err != nil {
		d.count("routing.invalid_summary")
	}
}

// registerTargetGauges registers gauges for the counters of the target table, the
// relay and the router. They are evaluated when /metrics is read.
func (d *Daemon) registerTargetGauges() {
	gauge := func(name string, value func() int64) {
		d.metrics.GetOrRegister(name, metrics.NewFunctionalGauge(value))
	}
	for name, pick := range map[string]func(targets.Stats) int64{
		"targets.stale": func(s targets.Stats) int64 { return s.Stale }, "targets.full": func(s targets.Stats) int64 { return s.Full },
		"targets.ejections": func(s targets.Stats) int64 { return s.Ejections }, "targets.returns": func(s targets.Stats) int64 { return s.Readmissions },
		"targets.cache_gaps": func(s targets.Stats) int64 { return s.CacheGaps }, "targets.expired": func(s targets.Stats) int64 { return s.Expired },
		"invariant.negative_in_flight": func(s targets.Stats) int64 { return s.NegativeInFlight },
		"invariant.leaving":            func(s targets.Stats) int64 { return s.BegunWhileLeaving },
	} {
		gauge(name, func() int64 { return pick(d.targets.Stats()) })
	}
	for name, pick := range map[string]func(targets.RelayStats) int64{
		"relay.messages": func(s targets.RelayStats) int64 { return s.Messages }, "relay.failures": func(s targets.RelayStats) int64 { return s.Failures },
		"relay.repairs": func(s targets.RelayStats) int64 { return s.Repairs }, "relay.bytes": func(s targets.RelayStats) int64 { return s.BytesSent },
	} {
		gauge(name, func() int64 { return pick(d.relay.Stats()) })
	}
	for name, pick := range map[string]func(routing.Stats) int64{
		"routing.local": func(s routing.Stats) int64 { return s.Local }, "routing.forwarded": func(s routing.Stats) int64 { return s.Forwarded },
		"routing.forwarded_unknown": func(s routing.Stats) int64 { return s.ForwardedUnknown }, "routing.no_target": func(s routing.Stats) int64 { return s.NoTarget },
		"routing.no_room": func(s routing.Stats) int64 { return s.NoRoom }, "routing.probes": func(s routing.Stats) int64 { return s.Probes },
		"routing.exchanges":        func(s routing.Stats) int64 { return s.Exchanges },
		"routing.exchanges_failed": func(s routing.Stats) int64 { return s.ExchangesFailed },
		"routing.summary_bytes":    func(s routing.Stats) int64 { return s.SummaryBytes },
		"invariant.residency":      func(s routing.Stats) int64 { return s.ResidencyViolations },
		"invariant.reach":          func(s routing.Stats) int64 { return s.ReachViolations },
	} {
		gauge(name, func() int64 { return pick(d.router.Stats()) })
	}
	gauge("targets.known", func() int64 { return int64(len(d.targets.All())) })
}

func (d *Daemon) buildDispatch() error {
	self := d.settings.Self()
	policy, err := routing.PolicyByName(d.settings.Policy.Target)
	if err != nil {
		return fmt.Errorf("settings: policy.target: %w", err)
	}
	dataCentrePolicy, err := routing.DataCentrePolicyByName(d.settings.Policy.DataCentre)
	if err != nil {
		return fmt.Errorf("settings: policy.data_centre: %w", err)
	}
	d.router = routing.New(routing.Config{Host: self.Name, DataCentre: self.DataCentre, Region: self.Region,
		Table: d.targets, Hosts: routing.HostsFunc(d.remoteHosts), Policy: policy, DataCentrePolicy: dataCentrePolicy,
		Queued: func(pool string) int { return d.admission.QueueLength(pool) }})
	d.registerTargetGauges()
	if err := d.transport.Register(routing.Service{Router: d.router}, routingpb.DRPCRoutingDescription{}); err != nil {
		return err
	}
	host := dispatch.Host{Name: self.Name, DataCentre: self.DataCentre, PeerAddress: self.Peer}
	queue := d.buildAdmission(d.router, d.router)
	guard, err := d.buildSuspects(queue, queue)
	if err != nil {
		return err
	}
	d.dispatcher = dispatch.New(host, guard, guard, d.events, d.transport.Dial)
	d.forwards = &dispatch.Service{Dispatcher: d.dispatcher, Draining: func() bool { return d.entry.Draining() }}
	return d.transport.Register(d.forwards, dispatchpb.DRPCDispatchDescription{})
}
