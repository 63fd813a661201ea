package quota

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/quota/quotapb"
	"geraniumturn.example/geraniumturn/internal/rendezvous"
	"geraniumturn.example/geraniumturn/internal/rules"
)

// holdersPerDataCentre bounds how many hosts of a data centre hold a floor share
// of the same workspace.
const holdersPerDataCentre = 2

// Member is a host of the replicated host list, whether it is up or down.
type Member struct {
	Name       string
	DataCentre string
}

// StableMemberList delays changes of the host list: the loans of a removed host
// must have expired before its share may be given to other hosts.
type StableMemberList struct {
	stableList, latestList   []Member
	stableIndex, latestIndex uint64
	latestSince              time.Duration
}

// Observe records the current host list as of the log index. It returns the
// newest list that has been unchanged for LenderLoanTTL, or nil when there is
// none yet, and the log index at which that list was first observed.
func (l *StableMemberList) Observe(now time.Duration, index uint64, members []Member) ([]Member, uint64) {
	if l.latestList == nil || !slices.Equal(l.latestList, members) {
		l.latestList, l.latestSince, l.latestIndex = slices.Clone(members), now, index
	}
	if now-l.latestSince >= LenderLoanTTL {
		l.stableList, l.stableIndex = l.latestList, l.latestIndex
	}
	return l.stableList, l.stableIndex
}

// Workspace is the rate, burst and residency of a workspace in the rules, in
// whole tokens.
type Workspace struct {
	Name  string
	Rate  int64
	Burst int64
	// Residency lists the data centres that may use it; empty means all.
	Residency []string
}

// Allocate divides a workspace over the members. In each data centre that the
// residency allows, the hosts with the highest rendezvous weights for the
// workspace become its holders.
func Allocate(w Workspace, members []Member) *quotapb.Allocation {
	hostsByCentre := map[string][]string{}
	for _, m := range members {
		if rules.Allows(w.Residency, m.DataCentre) {
			hostsByCentre[m.DataCentre] = append(hostsByCentre[m.DataCentre], m.Name)
		}
	}
	out := &quotapb.Allocation{Rate: w.Rate * TokenUnit, Burst: w.Burst * TokenUnit}
	for centre, hosts := range hostsByCentre {
		slices.SortFunc(hosts, func(a, b string) int {
			return cmp.Or(cmp.Compare(rendezvous.Weight(w.Name, b), rendezvous.Weight(w.Name, a)), cmp.Compare(a, b))
		})
		holders := slices.Clone(hosts[:min(len(hosts), holdersPerDataCentre)])
		slices.Sort(holders)
		out.Sites = append(out.Sites, &quotapb.Site{DataCentre: centre, Holders: holders})
	}
	slices.SortFunc(out.Sites, func(a, b *quotapb.Site) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// floorShare is the guaranteed share of the host. Half of the rate and burst is
// divided evenly over the data centres, and within each evenly over its holders.
func floorShare(a *quotapb.Allocation, host string) Share {
	for _, site := range a.GetSites() {
		if slices.Contains(site.Holders, host) {
			n := Amount(len(a.Sites)) * Amount(len(site.Holders))
			return Share{Rate: a.Rate / 2 / n, Burst: a.Burst / 2 / n}
		}
	}
	return Share{}
}

// elasticShare is what the floors leave, so that all shares add up to the rate
// and burst of the allocation.
func elasticShare(a *quotapb.Allocation) Share {
	out := Share{Rate: a.GetRate(), Burst: a.GetBurst()}
	for _, site := range a.GetSites() {
		for _, holder := range site.Holders {
			floor := floorShare(a, holder)
			out.Rate -= floor.Rate
			out.Burst -= floor.Burst
		}
	}
	return out
}

// shareOf is the share of a host, or of the elastic bucket for elasticName.
func shareOf(a *quotapb.Allocation, host string) Share {
	if host == elasticName {
		return elasticShare(a)
	}
	return floorShare(a, host)
}

// effectiveShare is the share that the record permits. While a next allocation is
// pending, it is the smaller one of the settled and the next share.
func effectiveShare(r *quotapb.Record, host string) Share {
	settled := shareOf(r.GetSettled(), host)
	if r.GetNext() == nil {
		return settled
	}
	return settled.min(shareOf(r.Next, host))
}

// decreasedHolders lists the holders whose share is smaller in to than in from and
// that must confirm the decrease before to can become the settled allocation. The
// elastic bucket is listed as elasticName.
func decreasedHolders(from, to *quotapb.Allocation, mustConfirm func(string) bool) []string {
	var out []string
	if elasticShare(from).exceeds(elasticShare(to)) {
		out = append(out, elasticName)
	}
	for _, site := range from.GetSites() {
		for _, holder := range site.Holders {
			if mustConfirm(holder) && floorShare(from, holder).exceeds(floorShare(to, holder)) {
				out = append(out, holder)
			}
		}
	}
	return out
}

func equalAllocations(a, b *quotapb.Allocation) bool { return proto.Equal(a, b) }
