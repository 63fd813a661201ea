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
	memberTick = 100 * time.Millisecond
	// memberTimeout is longer than any probe timeout, so that a late answer
	// still proves that the host is alive.
	memberTimeout = 2 * time.Second
	// drainGrace is how long a stopping host still answers new requests with a
	// refusal that names other hosts: the lifetime of an answer of discovery
	// and a second for the news to reach all hosts.
	drainGrace = 6 * time.Second
)

func memberOf(h settings.Host) membership.Host {
	return membership.Host{Name: h.Name, DataCentre: h.DataCentre, Region: h.Region, HTTP: h.HTTP, Peer: h.Peer}
}

func (d *Daemon) buildMembership() error {
	self := memberOf(d.settings.Self())
	self.Draining = true // until the state in force is known; see startLoop
	// The wall clock makes the incarnation of a restarted host higher; if the
	// clock went back, the host refutes its old record instead.
	self.Incarnation = uint64(time.Now().UnixMilli())
	var others []membership.Host
	for _, h := range d.settings.Hosts {
		others = append(others, memberOf(h))
	}
	d.members = membership.New(self, others, self.Incarnation)
	return d.transport.Register(memberService{d}, membershippb.DRPCMembershipDescription{})
}

// membershipLoop drives the failure detector.
func (d *Daemon) membershipLoop(ctx context.Context) error {
	ticker := time.NewTicker(memberTick)
	defer ticker.Stop()
	dead := map[string]bool{}
	for {
		beacon := membership.Beacon{Index: d.copy.View().Index, Withdrawals: d.fleet.withdrawals.Digest()}
		d.sendMembers(d.members.Tick(beacon))
		d.logDeaths(dead)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Daemon) logDeaths(dead map[string]bool) {
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

func (d *Daemon) sendMembers(sends []membership.Send) {
	for _, s := range sends {
		if s.Address != "" {
			go d.sendMember(s)
		}
	}
}

func (d *Daemon) sendMember(s membership.Send) {
	ctx, cancel := context.WithTimeout(context.Background(), memberTimeout)
	defer cancel()
	reply, err := membershippb.NewDRPCMembershipClient(d.transport.Dial(s.Address)).Send(ctx, s.Message)
	switch {
	case err != nil && s.Message.Kind == membershippb.Kind_PING:
		d.sendMembers(d.members.Failed(s.Message.Sequence))
	case err == nil && reply.GetKind() != membershippb.Kind_NONE:
		d.sendMembers(d.receiveMember(reply))
	}
}

func (d *Daemon) receiveMember(in *membershippb.Message) []membership.Send {
	sends := d.members.Receive(in)
	d.fleet.beacon(in.GetSender().GetName(), membership.Beacon{Index: in.GetIndex(), Withdrawals: in.GetWithdrawals()})
	return sends
}

type memberService struct{ d *Daemon }

// Send implements the drpc service. The reply to the sender is the answer.
func (s memberService) Send(_ context.Context, in *membershippb.Message) (*membershippb.Message, error) {
	sends := s.d.receiveMember(in)
	if len(sends) > 0 && sends[0].To == in.GetSender().GetName() {
		s.d.sendMembers(sends[1:])
		return sends[0].Message, nil
	}
	s.d.sendMembers(sends)
	return &membershippb.Message{}, nil
}

// drain announces that this host stops, and answers callers until discovery no
// longer names it anywhere.
func (d *Daemon) drain() {
	d.entry.Drain()
	d.sendMembers(d.members.SetDraining(true))
	d.log.Info("draining")
	timer := time.NewTimer(drainGrace)
	defer timer.Stop()
	<-timer.C
}

// sites lists the hosts of other data centres that take requests.
func (d *Daemon) sites() []routing.RemoteHost {
	var out []routing.RemoteHost
	for _, h := range d.members.All() {
		if h.DataCentre == d.settings.DataCentre || h.Dead || h.Suspect || h.Draining {
			continue
		}
		out = append(out, routing.RemoteHost{Name: h.Name, DataCentre: h.DataCentre, Region: h.Region, Peer: h.Peer})
	}
	return out
}

// placement implements entry.Placement from the membership.
type entryPlacement struct {
	self  settings.Host
	hosts func() []membership.Host
}

func (p entryPlacement) DataCentre() string { return p.self.DataCentre }

// HostsFor names hosts that are alive, not draining and allowed, ranked by home
// data centre, own data centre, own region, rest; this host leads its rank. A
// suspected host is named only when there is no other.
func (p entryPlacement) HostsFor(residency []string, home string) []entry.HostEntry {
	var good, doubtful []membership.Host
	for _, h := range p.hosts() {
		switch {
		case h.Dead || h.Draining || !rules.Allows(residency, h.DataCentre):
		case h.Suspect:
			doubtful = append(doubtful, h)
		default:
			good = append(good, h)
		}
	}
	if len(good) == 0 {
		good = doubtful
	}
	slices.SortStableFunc(good, func(a, b membership.Host) int { return p.rank(a, home) - p.rank(b, home) })
	out := make([]entry.HostEntry, len(good))
	for i, h := range good {
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
