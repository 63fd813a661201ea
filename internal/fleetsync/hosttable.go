package fleetsync

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/shares"
)

const (
	// viewInterval is the time for which the responses of a control host share one view of
	// the ages of the entry hosts. A change of a host makes a new view at once.
	viewInterval = 100 * time.Millisecond
	// choiceInterval is the time between choices of the hosts that other regions are told.
	choiceInterval = time.Second
	// ExchangeResponse.ages counts in steps of ageStep up to fineAges and then of coarseAgeStep,
	// so that the age of a host is told as long as the host is listed.
	// emptyPlace stands for the age of a free place.
	ageStep       = 100 * time.Millisecond
	fineAges      = 200
	coarseAgeStep = time.Second
	emptyPlace    = 255
)

// hostTable is the part of Presence that tells entry hosts what has changed. An entry host
// gets each record of its region once, by a cursor, and the ages of all in a byte each. Of
// each other region it gets the chosen hosts, with their loads.
type hostTable struct {
	revision uint64
	// places has the names of the hosts of each region; "" if a place is free.
	places map[string][]string
	// gone are hosts that were removed, which is told for entryRetention.
	gone   map[string]goneEntry
	chosen map[string]*chosenHosts // by region
	views  map[string]*hostView    // by the region of the caller
	viewed viewKey
}

type viewKey struct {
	at       time.Duration
	revision uint64
}

type goneEntry struct {
	region   string
	revision uint64
	at       time.Duration
}

type chosenHosts struct {
	names []string
	at    time.Duration
}

// hostView is what the callers of a region are told; it is not changed once made.
type hostView struct {
	viewKey
	own    []entryRecord
	gone   map[string]goneEntry
	ages   []byte
	digest uint64
	others []*syncpb.HostAge
	// chosen are the records of others.
	chosen []entryRecord
	total  int
}

func newHostTable() hostTable {
	return hostTable{places: map[string][]string{}, gone: map[string]goneEntry{}, chosen: map[string]*chosenHosts{}}
}

// placeEntry gives a record its place and its revision. old is the one before, or nil. p.mu
// must be held.
func (p *Presence) placeEntry(e, old *entryRecord) {
	region := e.host.GetRegion()
	if old != nil && old.host.GetRegion() == region {
		e.place, e.revision, e.chosenAt = old.place, old.revision, old.chosenAt
		if sameEntry(e.host, old.host) {
			return
		}
	} else {
		if old != nil {
			p.freePlace(old)
		}
		delete(p.gone, e.host.GetName())
		names := p.places[region]
		if e.place = slices.Index(names, ""); e.place < 0 {
			e.place = len(names)
			names = append(names, "")
		}
		names[e.place] = e.host.GetName()
		p.places[region] = names
	}
	p.revision++
	e.revision = p.revision
}

func (p *Presence) freePlace(e *entryRecord) {
	p.places[e.host.GetRegion()][e.place] = ""
}

// removeEntry removes a host whose retention has ended. p.mu must be held.
func (p *Presence) removeEntry(now time.Duration, name string) {
	e := p.entries[name]
	delete(p.entries, name)
	p.freePlace(e)
	p.revision++
	p.gone[name] = goneEntry{e.host.GetRegion(), p.revision, now}
}

// view returns what callers of a region are told.
func (p *Presence) view(now time.Duration, region string) *hostView {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.views[region]; v != nil && p.viewed.revision == p.revision && now-p.viewed.at <= viewInterval {
		return v
	}
	for name, e := range p.entries {
		if now-e.heardAt > entryRetention {
			p.removeEntry(now, name)
		}
	}
	maps.DeleteFunc(p.gone, func(_ string, g goneEntry) bool { return now-g.at > entryRetention })
	byRegion := map[string][]*entryRecord{region: nil}
	for _, e := range p.entries {
		byRegion[e.host.GetRegion()] = append(byRegion[e.host.GetRegion()], e)
	}
	for r, hosts := range byRegion {
		p.choose(now, r, hosts)
	}
	p.viewed, p.views = viewKey{now, p.revision}, map[string]*hostView{}
	for r, hosts := range byRegion {
		v := &hostView{viewKey: p.viewed, own: make([]entryRecord, len(hosts)), gone: maps.Clone(p.gone), ages: make([]byte, len(p.places[r])), total: len(p.entries)}
		for i := range v.ages {
			v.ages[i] = emptyPlace
		}
		for i, e := range hosts {
			v.own[i] = *e
			v.ages[e.place] = encodeAge(now - e.heardAt)
			v.digest += entryDigest(e.host.GetName(), e.revision)
		}
		p.views[r] = v
	}
	for r, v := range p.views {
		for other, c := range p.chosen {
			if other == r {
				continue
			}
			for _, name := range c.names {
				e := p.entries[name]
				if e == nil || now-e.heardAt > entryTimeout {
					continue
				}
				a := &syncpb.HostAge{Name: name, HeardMs: (now - e.heardAt).Milliseconds(), Loads: e.host.GetLoads()}
				v.others, v.chosen = append(v.others, a), append(v.chosen, *e)
			}
		}
	}
	return p.views[region]
}

// choose chooses the least loaded hosts of a region that have reported within entryTimeout.
// The choice holds for choiceInterval, unless one of them stops serving or is silent. p.mu
// must be held.
func (p *Presence) choose(now time.Duration, region string, hosts []*entryRecord) {
	c := p.chosen[region]
	if c == nil {
		c = &chosenHosts{}
		p.chosen[region] = c
	}
	keep := len(c.names) == min(hostsPerOtherRegion, len(hosts)) && now-c.at < choiceInterval
	for _, name := range c.names {
		e := p.entries[name]
		keep = keep && e != nil && now-e.heardAt <= entryTimeout && e.host.GetServing() && !e.host.GetDetached()
	}
	if keep {
		return
	}
	recent := slices.DeleteFunc(slices.Clone(hosts), func(e *entryRecord) bool { return now-e.heardAt > entryTimeout })
	slices.SortFunc(recent, func(a, b *entryRecord) int {
		return cmp.Or(cmp.Compare(totalWait(a.host), totalWait(b.host)), cmp.Compare(a.host.GetName(), b.host.GetName()))
	})
	before := c.names
	c.names, c.at = nil, now
	for _, e := range recent[:min(len(recent), hostsPerOtherRegion)] {
		name := e.host.GetName()
		c.names = append(c.names, name)
		if !slices.Contains(before, name) {
			p.revision++
			e.chosenAt = p.revision
		}
	}
}

// encodeAge rounds up, so that nobody takes a host for heard later than it was.
func encodeAge(age time.Duration) byte {
	age = max(0, age)
	if age <= fineAges*ageStep {
		return byte((age + ageStep - 1) / ageStep)
	}
	return byte(min(fineAges+(age-fineAges*ageStep+coarseAgeStep-1)/coarseAgeStep, emptyPlace-1))
}

func decodeAge(b byte) time.Duration {
	return time.Duration(min(b, fineAges))*ageStep + time.Duration(max(b, fineAges)-fineAges)*coarseAgeStep
}

func entryDigest(name string, revision uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(name), revision))
}

// addHosts adds the changes of the list of hosts after the caller's cursor.
func (s *Server) addHosts(now time.Duration, in *syncpb.ExchangeRequest, out *syncpb.ExchangeResponse) {
	v := s.Presence.view(now, in.GetHost().GetRegion())
	cursor := in.GetHostCursor()
	if in.GetHostTable() != s.Incarnation {
		cursor = 0
	}
	tell := func(e *entryRecord) {
		h := copyWithAge(e, v.at)
		h.Ref, h.Revision = uint32(e.place+1), e.revision
		out.Hosts = append(out.Hosts, h)
	}
	if cursor != v.revision {
		for i := range v.own {
			if v.own[i].revision > cursor {
				tell(&v.own[i])
			}
		}
		for name, g := range v.gone {
			if g.revision > cursor && g.region == in.GetHost().GetRegion() && cursor > 0 {
				out.Hosts = append(out.Hosts, &syncpb.EntryHost{Name: name, Region: g.region, Gone: true})
			}
		}
		for i := range v.chosen {
			if max(v.chosen[i].revision, v.chosen[i].chosenAt) > cursor {
				tell(&v.chosen[i])
			}
		}
	}
	out.HasHosts, out.HostTable, out.HostCursor, out.HostDigest = true, s.Incarnation, v.revision, v.digest
	out.ViewAgeMs, out.Ages, out.Others = (now - v.at).Milliseconds(), v.ages, v.others
	if now-s.startedAt >= shares.DiscoveryPeriod {
		out.TotalHosts = int64(v.total)
	}
}
