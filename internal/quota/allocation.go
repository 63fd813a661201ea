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

// holdersPerDataCentre bounds how many hosts of a data centre share its floor.
const holdersPerDataCentre = 2

// Member is a host of the agreed host list, alive or not.
type Member struct {
	Name       string
	DataCentre string
}

// StableMemberList delays changes of the host list: the loans of a removed host must
// have expired before others may get its share.
type StableMemberList struct {
	stable, latest []Member
	asOf, changed  uint64
	since          time.Duration
}

// Observe takes the list that is known now, at the log index. It returns the
// newest list that has not changed for LenderLoanTTL, or nil when there is none yet,
// and the log index at which that list was first seen.
func (l *StableMemberList) Observe(now time.Duration, index uint64, members []Member) ([]Member, uint64) {
	if l.latest == nil || !slices.Equal(l.latest, members) {
		l.latest, l.since, l.changed = slices.Clone(members), now, index
	}
	if now-l.since >= LenderLoanTTL {
		l.stable, l.asOf = l.latest, l.changed
	}
	return l.stable, l.asOf
}

// Workspace is what the rules say about a workspace, in whole tokens.
type Workspace struct {
	Name  string
	Rate  int64
	Burst int64
	// Residency lists the data centres that may use it; empty means all.
	Residency []string
}

// Allocate divides a workspace over the members by rendezvous hashing.
func Allocate(w Workspace, members []Member) *quotapb.Allocation {
	byCentre := map[string][]string{}
	for _, m := range members {
		if rules.Allows(w.Residency, m.DataCentre) {
			byCentre[m.DataCentre] = append(byCentre[m.DataCentre], m.Name)
		}
	}
	out := &quotapb.Allocation{Rate: w.Rate * TokenUnit, Burst: w.Burst * TokenUnit}
	for centre, hosts := range byCentre {
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

// floorOf is the guaranteed share of the host. Half of rate and burst is
// divided evenly over the data centres and there over the holders.
func floorOf(a *quotapb.Allocation, host string) Share {
	for _, site := range a.GetSites() {
		if slices.Contains(site.Holders, host) {
			n := Amount(len(a.Sites)) * Amount(len(site.Holders))
			return Share{Rate: a.Rate / 2 / n, Burst: a.Burst / 2 / n}
		}
	}
	return Share{}
}

// elasticOf is what the floors leave; the shares add up to the whole.
func elasticOf(a *quotapb.Allocation) Share {
	out := Share{Rate: a.GetRate(), Burst: a.GetBurst()}
	for _, site := range a.GetSites() {
		for _, holder := range site.Holders {
			floor := floorOf(a, holder)
			out.Rate -= floor.Rate
			out.Burst -= floor.Burst
		}
	}
	return out
}

// shareOf is the share of a host, or of the elastic bucket for an empty name.
func shareOf(a *quotapb.Allocation, host string) Share {
	if host == elastic {
		return elasticOf(a)
	}
	return floorOf(a, host)
}

// inForce is the share that the record permits: while a next allocation is
// pending it is the smaller one of both.
func inForce(r *quotapb.Record, host string) Share {
	settled := shareOf(r.GetSettled(), host)
	if r.GetNext() == nil {
		return settled
	}
	return settled.min(shareOf(r.Next, host))
}

// decreasing lists who must confirm before to may replace from.
func decreasing(from, to *quotapb.Allocation, mustConfirm func(string) bool) []string {
	var out []string
	if elasticOf(from).exceeds(elasticOf(to)) {
		out = append(out, elastic)
	}
	for _, site := range from.GetSites() {
		for _, holder := range site.Holders {
			if mustConfirm(holder) && floorOf(from, holder).exceeds(floorOf(to, holder)) {
				out = append(out, holder)
			}
		}
	}
	return out
}

func equalAllocations(a, b *quotapb.Allocation) bool { return proto.Equal(a, b) }
