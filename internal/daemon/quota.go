package daemon

import (
	"context"
	"slices"
	"strings"

	"storj.io/drpc"

	"geraniumturn.example/geraniumturn/internal/entry"
	"geraniumturn.example/geraniumturn/internal/quota"
	"geraniumturn.example/geraniumturn/internal/quota/quotapb"
	"geraniumturn.example/geraniumturn/internal/rules"
)

func (d *Daemon) buildQuota() error {
	hosts := &quotaHosts{d: d, listed: map[string]bool{}}
	d.quota = quota.NewRuntime(quota.Config{
		Name: d.settings.Name, DataCentre: d.settings.DataCentre,
		Voters: d.nearestVoters(), Machine: d.quotaMachine, Log: d.controlLog,
		Dial: d.dialHost, Members: hosts.Members, Rules: d.quotaRules, Metrics: d.metrics,
	})
	return d.transport.Register(d.quota, quotapb.DRPCQuotaDescription{})
}

// nearestVoters returns the names of the voters, those of this data centre first.
func (d *Daemon) nearestVoters() []string {
	var near, far []string
	for _, name := range d.settings.Control.Voters {
		if h, ok := d.settings.Host(name); ok && h.DataCentre == d.settings.DataCentre {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	return append(near, far...)
}

func (d *Daemon) dialHost(name string) (drpc.Conn, bool) {
	h, ok := d.members.Lookup(name)
	if !ok {
		return nil, false
	}
	return d.transport.Dial(h.Peer), true
}

// quotaHosts provides the list of hosts among which quota is divided: the replicated
// host list, and the hosts of the settings that were never in it. The latter count
// because a host may have a quota share before it has registered. A host counts as
// removed only if it was in the replicated list and no longer is.
type quotaHosts struct {
	d *Daemon
	// listed has the hosts that were ever seen in the replicated list.
	listed map[string]bool
}

// Members returns the hosts, sorted by name.
func (q *quotaHosts) Members() []quota.Member {
	var out []quota.Member
	for _, h := range q.d.replica.View().State.Hosts {
		q.listed[h.Name] = true
		out = append(out, quota.Member{Name: h.Name, DataCentre: h.DataCentre})
	}
	for _, h := range q.d.settings.AllHosts() {
		if !q.listed[h.Name] {
			out = append(out, quota.Member{Name: h.Name, DataCentre: h.DataCentre})
		}
	}
	slices.SortFunc(out, func(a, b quota.Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (d *Daemon) quotaRules() (uint64, []quota.Workspace) {
	view := d.replica.View()
	out := make([]quota.Workspace, 0, len(view.Rules.Workspaces))
	for _, w := range view.Rules.Workspaces {
		out = append(out, quota.Workspace{Name: w.Name, Rate: w.Rate, Burst: w.Burst, Residency: w.Residency})
	}
	return view.Revision, out
}

// quotaAdapter implements entry.Quota.
type quotaAdapter struct{ runtime *quota.Runtime }

// Reserve implements entry.Quota.
func (q quotaAdapter) Reserve(ctx context.Context, workspace *rules.Workspace, cost int64) (entry.Reservation, error) {
	reservation, err := q.runtime.Reserve(ctx, workspace.Name, cost)
	if err != nil {
		return nil, err
	}
	return reservation, nil
}
