package daemon

import (
	"context"
	"time"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/dispatch/dispatchpb"
	"geraniumturn.example/geraniumturn/internal/entry"
	"geraniumturn.example/geraniumturn/internal/routing"
	"geraniumturn.example/geraniumturn/internal/settings"
	"geraniumturn.example/geraniumturn/internal/targets"
	"geraniumturn.example/geraniumturn/internal/targets/targetspb"
)

const relayTimeout = time.Second

func (d *Daemon) buildTargets() error {
	return d.transport.Register(targets.Service{Table: d.targets}, targetspb.DRPCTargetsDescription{})
}

// relayAnnouncement passes an announcement on to the hosts of this data centre.
func (d *Daemon) relayAnnouncement(data []byte, _ bool) {
	for _, h := range d.settings.AllHosts()[1:] {
		if h.DataCentre == d.settings.DataCentre {
			go d.relayTo(h, data)
		}
	}
}

func (d *Daemon) relayTo(h settings.Host, data []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	client := targetspb.NewDRPCTargetsClient(d.transport.Dial(h.Peer))
	if _, err := client.Relay(ctx, &targetspb.RelayRequest{Announcement: data}); err != nil {
		d.count("targets.relay_failed")
	}
}

func (d *Daemon) buildDispatch() error {
	self := d.settings.Self()
	router := routing.New(self.DataCentre, self.Region, d.targets, d.sites)
	host := dispatch.Host{Name: self.Name, DataCentre: self.DataCentre, Peer: self.Peer}
	admitted := d.admit(router, attemptObserver{d.targets})
	d.dispatcher = dispatch.New(host, admitted, admitted, d.events, d.transport.Dial)
	service := dispatch.Service{Dispatcher: d.dispatcher, Draining: func() bool { return d.entry.Draining() }}
	return d.transport.Register(service, dispatchpb.DRPCDispatchDescription{})
}

// sites lists the hosts of other data centres.
func (d *Daemon) sites() []routing.Site {
	var out []routing.Site
	for _, h := range d.settings.AllHosts()[1:] {
		if h.DataCentre != d.settings.DataCentre {
			out = append(out, routing.Site{
				Host:   dispatch.Host{Name: h.Name, DataCentre: h.DataCentre, Peer: h.Peer},
				Region: h.Region,
			})
		}
	}
	return out
}

type attemptObserver struct{ table *targets.Table }

func (o attemptObserver) AttemptBegins(_ *dispatch.Request, t *targets.Target) { o.table.Begin(t.Name) }
func (o attemptObserver) AttemptEnded(out dispatch.Outcome)                    { o.table.End(out.Target) }

// placement implements entry.Placement from the settings.
type placement struct{ settings *settings.Settings }

func (p placement) DataCentre() string { return p.settings.DataCentre }

func (p placement) HostsFor(residency []string, home string) []entry.HostEntry {
	var first, rest []entry.HostEntry
	for _, h := range p.settings.AllHosts() {
		if !allows(residency, h.DataCentre) {
			continue
		}
		e := entry.HostEntry{Name: h.Name, Address: h.HTTP, DataCentre: h.DataCentre, Region: h.Region}
		if h.DataCentre == home {
			first = append(first, e)
		} else {
			rest = append(rest, e)
		}
	}
	return append(first, rest...)
}

func allows(residency []string, dataCentre string) bool {
	if len(residency) == 0 {
		return true
	}
	for _, dc := range residency {
		if dc == dataCentre {
			return true
		}
	}
	return false
}
