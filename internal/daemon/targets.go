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
	// relayTick is how often the relay looks for messages that are due.
	relayTick = 100 * time.Millisecond
	// gaugeTicks is the number of relay ticks between updates of the gauges.
	gaugeTicks = 10
)

func (d *Daemon) buildTargets() error {
	d.relay = targets.NewRelay(d.targets, relayPeers{d.settings.Name, d.settings.DataCentre, d.members})
	d.relayWake = make(chan struct{}, 1)
	return d.transport.Register(targets.Service{Table: d.targets}, targetspb.DRPCTargetsDescription{})
}

// relayPeers lists the live hosts that announcements are relayed to.
type relayPeers struct {
	self    string
	home    string
	members *membership.Members
}

func (p relayPeers) Local() []string { return p.In(p.home) }

func (p relayPeers) In(dataCentre string) []string {
	var out []string
	for _, h := range p.members.Live(dataCentre) {
		if h.Name != p.self {
			out = append(out, h.Name)
		}
	}
	return out
}

// urgentAnnouncement relays an announcement at once.
func (d *Daemon) urgentAnnouncement(a *targets.Announcement) {
	d.relay.Urgent(a)
	d.wakeRelay()
}

func (d *Daemon) wakeRelay() {
	select {
	case d.relayWake <- struct{}{}:
	default:
	}
}

// LeaseTarget takes an exclusive lease of a target and announces it to the
// other hosts of the data centre. Wait for Alone before the request is sent.
func (d *Daemon) LeaseTarget(q *targets.Query, length time.Duration) (*targets.Lease, error) {
	lease, err := d.targets.Lease(time.Now(), q, length)
	if err != nil {
		return nil, err
	}
	d.relay.Hurry()
	d.wakeRelay()
	return lease, nil
}

// relayLoop sends what the relay decides.
func (d *Daemon) relayLoop(ctx context.Context) error {
	ticker := time.NewTicker(relayTick)
	defer ticker.Stop()
	var sends sync.WaitGroup
	defer sends.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-d.relayWake:
		}
		d.targets.Tick(time.Now())
		for _, m := range d.relay.Tick(time.Now()) {
			sends.Go(func() { d.sendRelay(ctx, m) })
		}
		if n%gaugeTicks == 0 {
			d.targetGauges()
		}
	}
}

func (d *Daemon) sendRelay(ctx context.Context, m targets.Message) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var response *targetspb.RelayResponse
	if h, ok := d.members.Lookup(m.Host); ok {
		client := targetspb.NewDRPCTargetsClient(d.transport.Dial(h.Peer))
		if out, err := client.Relay(ctx, m.Request); err == nil {
			response = out
		}
	}
	d.relay.Sent(proto.Size(m.Request))
	d.relay.Done(time.Now(), m, response)
	if response.GetDiffers() {
		d.wakeRelay()
	}
}

// exchangeLoop asks the other data centres for their summaries.
func (d *Daemon) exchangeLoop(ctx context.Context) error {
	ticker := time.NewTicker(routing.ExchangeInterval)
	defer ticker.Stop()
	var asks sync.WaitGroup
	defer asks.Wait()
	for {
		for _, q := range d.router.Questions() {
			asks.Go(func() { d.askSummary(ctx, q) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Daemon) askSummary(ctx context.Context, q routing.Question) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := routingpb.NewDRPCRoutingClient(d.transport.Dial(q.Host.Peer)).Summary(ctx, q.Request)
	if err != nil {
		answer = nil
	}
	if err := d.router.Answered(q, answer); err != nil {
		d.count("routing.invalid_summary")
	}
}

// targetGauges publishes the counters of the table, the relay and the router.
func (d *Daemon) targetGauges() {
	t, l, r := d.targets.Stats(), d.relay.Stats(), d.router.Stats()
	for name, value := range map[string]int64{
		"targets.known": int64(len(d.targets.All())), "targets.stale": t.Stale, "targets.full": t.Full,
		"targets.ejections": t.Ejections, "targets.returns": t.Returns, "targets.cache_gaps": t.CacheGaps,
		"targets.expired": t.Expired, "invariant.negative_in_flight": t.NegativeInFlight, "invariant.leaving": t.LeavingWork,
		"relay.messages": l.Messages, "relay.failures": l.Failures, "relay.repairs": l.Repairs, "relay.bytes": l.BytesSent,
		"routing.local": r.Local, "routing.forwarded": r.Forwarded, "routing.forwarded_unknown": r.Unknown,
		"routing.no_target": r.NoTarget, "routing.no_room": r.NoRoom, "routing.probes": r.Probes,
		"routing.exchanges": r.Exchanges, "routing.exchanges_failed": r.ExchangesFailed, "routing.summary_bytes": r.BytesAsked,
		"invariant.residency": r.ResidencyViolations, "invariant.reach": r.ReachViolations,
	} {
		metrics.GetOrRegisterGauge(name, d.metrics).Update(value)
	}
}

func (d *Daemon) buildDispatch() error {
	self := d.settings.Self()
	policy, err := routing.PolicyNamed(d.settings.Policy.Target)
	if err != nil {
		return fmt.Errorf("settings: policy.target: %w", err)
	}
	sitePolicy, err := routing.SitePolicyNamed(d.settings.Policy.DataCentre)
	if err != nil {
		return fmt.Errorf("settings: policy.data_centre: %w", err)
	}
	d.router = routing.New(routing.Config{Host: self.Name, DataCentre: self.DataCentre, Region: self.Region,
		Table: d.targets, Hosts: routing.HostsFunc(d.sites), Policy: policy, SitePolicy: sitePolicy,
		Queued: func(pool string) int { return d.admission.Waiting(pool) }})
	if err := d.transport.Register(routing.Service{Router: d.router}, routingpb.DRPCRoutingDescription{}); err != nil {
		return err
	}
	host := dispatch.Host{Name: self.Name, DataCentre: self.DataCentre, Peer: self.Peer}
	d.buildAdmission()
	d.dispatcher = dispatch.New(host, d.admission, d.admission, d.events, d.transport.Dial)
	service := dispatch.Service{Dispatcher: d.dispatcher, Draining: func() bool { return d.entry.Draining() }}
	return d.transport.Register(service, dispatchpb.DRPCDispatchDescription{})
}
