package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/entry"
	"geraniumturn.example/geraniumturn/internal/membership"
	"geraniumturn.example/geraniumturn/internal/membership/membershippb"
	"geraniumturn.example/geraniumturn/internal/routing"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/settings"
)

const (
	membershipTick = 100 * time.Millisecond
	// membershipTimeout is longer than any probe timeout, so that a late reply
	// still proves that the host is alive.
	membershipTimeout = 2 * time.Second
	// drainGrace is how long a stopping host continues to refuse new requests with a
	// response that names other hosts. It is the TTL of a discovery response plus one
	// second for the draining state to reach all hosts.
	drainGrace = 6 * time.Second
)

func membershipHost(h settings.Host) membership.Host {
	return membership.Host{Name: h.Name, DataCentre: h.DataCentre, Region: h.Region, HTTP: h.HTTP, Peer: h.Peer}
}

func (d *Daemon) buildMembership() error {
	self := membershipHost(d.settings.Self())
	self.Draining = true // until this host has a state to serve from; see startLoop
	// The wall clock gives a restarted host a higher incarnation than before. If the
	// clock was set back, the host refutes its previous record instead.
	self.Incarnation = uint64(time.Now().UnixMilli())
	var others []membership.Host
	for _, h := range d.settings.Hosts {
		others = append(others, membershipHost(h))
	}
	d.members = membership.New(self, others, self.Incarnation)
	return d.transport.Register(membershipService{d}, membershippb.DRPCMembershipDescription{})
}

// membershipLoop runs the failure detector and sends its messages.
func (d *Daemon) membershipLoop(ctx context.Context) error {
	ticker := time.NewTicker(membershipTick)
	defer ticker.Stop()
	dead := map[string]bool{}
	for {
		beacon := membership.Beacon{Index: d.replica.View().Index, Withdrawals: d.fleet.withdrawals.Digest()}
		d.sendMembershipMessages(d.members.Tick(beacon))
		d.logLivenessChanges(dead)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Daemon) logLivenessChanges(dead map[string]bool) {
	for _, h := range d.members.All() {
		if h.Dead == dead[h.Name] {
			continue
		}
		dead[h.Name] = h.Dead
		entry := d.log.WithFields(logrus.Fields{"host": h.Name, "data_centre": h.DataCentre})
		if h.Dead {
			entry.Warn("host does not answer, taken as dead")
		} else {
			entry.Info("host is back")
		}
	}
}

func (d *Daemon) sendMembershipMessages(sends []membership.Envelope) {
	for _, s := range sends {
		if s.Address != "" {
			go d.sendMembershipMessage(s)
		}
	}
}

func (d *Daemon) sendMembershipMessage(s membership.Envelope) {
	ctx, cancel := context.WithTimeout(context.Background(), membershipTimeout)
	defer cancel()
	reply, err := membershippb.NewDRPCMembershipClient(d.transport.Dial(s.Address)).Send(ctx, s.Message)
	switch {
	case err != nil && s.Message.Kind == membershippb.Kind_PING:
		d.sendMembershipMessages(d.members.SendFailed(s.Message.Sequence))
	case err == nil && reply.GetKind() != membershippb.Kind_NONE:
		d.sendMembershipMessages(d.receiveMembershipMessage(reply))
	}
}

func (d *Daemon) receiveMembershipMessage(in *membershippb.Message) []membership.Envelope {
	sends := d.members.Receive(in)
	d.fleet.handleBeacon(in.GetSender().GetName(), membership.Beacon{Index: in.GetIndex(), Withdrawals: in.GetWithdrawals()})
	return sends
}

type membershipService struct{ d *Daemon }

// Send implements the drpc service. If the first message to send is for the sender, it
// is returned as the response.
func (s membershipService) Send(_ context.Context, in *membershippb.Message) (*membershippb.Message, error) {
	sends := s.d.receiveMembershipMessage(in)
	if len(sends) > 0 && sends[0].To == in.GetSender().GetName() {
		s.d.sendMembershipMessages(sends[1:])
		return sends[0].Message, nil
	}
	s.d.sendMembershipMessages(sends)
	return &membershippb.Message{}, nil
}

// drain announces that this host is stopping, and waits until no discovery response
// that callers may still cache names it.
func (d *Daemon) drain() {
	d.entry.Drain()
	d.sendMembershipMessages(d.members.SetDraining(true))
	d.log.Info("draining")
	timer := time.NewTimer(drainGrace)
	defer timer.Stop()
	<-timer.C
}

// remoteHosts returns the hosts of other data centres that accept requests.
func (d *Daemon) remoteHosts() []routing.RemoteHost {
	var out []routing.RemoteHost
	for _, h := range d.members.All() {
		if h.DataCentre == d.settings.DataCentre || h.Dead || h.Suspect || h.Draining {
			continue
		}
		out = append(out, routing.RemoteHost{Name: h.Name, DataCentre: h.DataCentre, Region: h.Region, Peer: h.Peer})
	}
	return out
}

// entryPlacement implements entry.Placement with the membership list.
type entryPlacement struct {
	self  settings.Host
	hosts func() []membership.Host
}

func (p entryPlacement) DataCentre() string { return p.self.DataCentre }

// HostsFor returns the hosts that are alive, not draining and allowed by residency.
// They are ordered by rank: home data centre, data centre of this host, region of this
// host, all others; this host comes first within its rank. Suspected hosts are
// returned only if there are no others.
func (p entryPlacement) HostsFor(residency []string, home string) []entry.HostEntry {
	var hosts, suspected []membership.Host
	for _, h := range p.hosts() {
		switch {
		case h.Dead || h.Draining || !rules.Allows(residency, h.DataCentre):
		case h.Suspect:
			suspected = append(suspected, h)
		default:
			hosts = append(hosts, h)
		}
	}
	if len(hosts) == 0 {
		hosts = suspected
	}
	slices.SortStableFunc(hosts, func(a, b membership.Host) int { return p.rank(a, home) - p.rank(b, home) })
	out := make([]entry.HostEntry, len(hosts))
	for i, h := range hosts {
		out[i] = entry.HostEntry{Name: h.Name, Address: h.HTTP, DataCentre: h.DataCentre, Region: h.Region}
	}
	return out
}

func (p entryPlacement) rank(h membership.Host, home string) int {
	rank := 6
	switch {
	case h.DataCentre == home:
		rank = 0
	case h.DataCentre == p.self.DataCentre:
		rank = 2
	case h.Region == p.self.Region:
		rank = 4
	}
	if h.Name != p.self.Name {
		rank++
	}
	return rank
}
