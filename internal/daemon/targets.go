package daemon

import (
	"context"
	"time"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/dispatch/dispatchpb"
	"geraniumturn.example/geraniumturn/internal/routing"
	"geraniumturn.example/geraniumturn/internal/targets"
	"geraniumturn.example/geraniumturn/internal/targets/targetspb"
)

const relayTimeout = time.Second

func (d *Daemon) buildTargets() error {
	return d.transport.Register(targets.Service{Table: d.targets}, targetspb.DRPCTargetsDescription{})
}

// relayAnnouncement passes an announcement on to the hosts of this data centre.
func (d *Daemon) relayAnnouncement(data []byte, _ bool) {
	for _, h := range d.members.Live(d.settings.DataCentre) {
		if h.Name != d.settings.Name {
			go d.relayTo(h.Peer, data)
		}
	}
}

func (d *Daemon) relayTo(address string, data []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	client := targetspb.NewDRPCTargetsClient(d.transport.Dial(address))
	if _, err := client.Relay(ctx, &targetspb.RelayRequest{Announcement: data}); err != nil {
		d.count("targets.relay_failed")
	}
}

func (d *Daemon) buildDispatch() error {
	self := d.settings.Self()
	router := routing.New(self.DataCentre, self.Region, d.targets, d.sites)
	host := dispatch.Host{Name: self.Name, DataCentre: self.DataCentre, Peer: self.Peer}
	d.dispatcher = dispatch.New(host, router, attemptObserver{d.targets}, d.events, d.transport.Dial)
	service := dispatch.Service{Dispatcher: d.dispatcher, Draining: func() bool { return d.entry.Draining() }}
	return d.transport.Register(service, dispatchpb.DRPCDispatchDescription{})
}

type attemptObserver struct{ table *targets.Table }

func (o attemptObserver) AttemptBegins(_ *dispatch.Request, t *targets.Target) { o.table.Begin(t.Name) }
func (o attemptObserver) AttemptEnded(out dispatch.Outcome)                    { o.table.End(out.Target) }
