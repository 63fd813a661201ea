package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// ExchangeInterval is how often a host asks each other data centre.
	ExchangeInterval = time.Second
	// summaryLimit is the age from which a summary no longer counts.
	summaryLimit = 4 * time.Second
	// avoidHost is how long a host that failed is avoided.
	avoidHost = 3 * time.Second
	// unknownLimit bounds requests under way to a data centre that has said
	// nothing about their pool, where no other place is known.
	unknownLimit = 4
	// linkBits is the capacity of a link between regions, in bits per second
	// and direction, shared by all traffic.
	linkBits = 2_000_000_000
	// bytesPerToken estimates the size of an answer on the link.
	bytesPerToken = 4
	// maxSentPrefixes bounds the remembered prefixes per data centre and generation.
	maxSentPrefixes = 8192
	// defaultDelay stands for the one-way delay until it is measured.
	defaultDelay = 55 * time.Millisecond
)

// site is what this host knows of another data centre.
type site struct {
	name   string
	region string
	hosts  []RemoteHost
	rows   map[key]Row
	heard  time.Time
	// delay is the measured one-way delay.
	delay time.Duration
	// flows count this host's requests under way by pool and model.
	flows map[key]*flow
	total int
	sent  sentPrefixes
}

// flow is the requests of one pool and model that are under way to a site.
type flow struct {
	outstanding int
	// base is outstanding when the last summary was made; the site's stated
	// room already takes those into account.
	base int
	// closed is set when the site refused for load, until its next summary.
	closed bool
	used   time.Time
}

func (s *site) flow(k key) *flow {
	f, ok := s.flows[k]
	if !ok {
		f = &flow{}
		s.flows[k] = f
	}
	return f
}

// room is how many more requests may be sent to the site now.
func (s *site) room(now time.Time, k key) (room int, row Row, known bool) {
	row, known = s.rows[k]
	if !known || now.Sub(s.heard) >= summaryLimit {
		return 0, row, false
	}
	f := s.flows[k]
	if f == nil {
		return row.Room, row, true
	}
	if f.closed {
		return 0, row, true
	}
	return max(row.Room-max(f.outstanding-f.base, 0), 0), row, true
}

// sentPrefixes remembers which prompt prefixes were sent to a site, in two
// generations of bounded size.
type sentPrefixes struct{ young, old map[uint64]struct{} }

func (p *sentPrefixes) add(prefixes []uint64) {
	for _, v := range prefixes {
		if len(p.young) >= maxSentPrefixes {
			p.young, p.old = nil, p.young
		}
		if p.young == nil {
			p.young = map[uint64]struct{}{}
		}
		p.young[v] = struct{}{}
	}
}

func (p *sentPrefixes) match(prefixes []uint64) int {
	for i, v := range prefixes {
		_, young := p.young[v]
		_, old := p.old[v]
		if !young && !old {
			return i
		}
	}
	return len(prefixes)
}

// hostState is what this host's own calls showed about another host.
type hostState struct{ failed time.Time }

// RemoteHost is a host of another data centre.
type RemoteHost struct {
	Name       string
	DataCentre string
	Region     string
	Peer       string
}

// Hosts lists the hosts of other data centres that are believed alive.
type Hosts interface{ RemoteHosts() []RemoteHost }

// HostsFunc adapts a function to Hosts.
type HostsFunc func() []RemoteHost

// RemoteHosts implements Hosts.
func (f HostsFunc) RemoteHosts() []RemoteHost { return f() }

// refreshSites takes the current host list. Callers hold r.mu.
func (r *Router) refreshSites() {
	byDC := map[string][]RemoteHost{}
	for _, h := range r.config.Hosts.RemoteHosts() {
		byDC[h.DataCentre] = append(byDC[h.DataCentre], h)
	}
	for name, hosts := range byDC {
		i, found := slices.BinarySearchFunc(r.sites, name, func(s *site, name string) int {
			if s.name < name {
				return -1
			}
			if s.name > name {
				return 1
			}
			return 0
		})
		if !found {
			r.sites = slices.Insert(r.sites, i, &site{name: name, delay: defaultDelay, flows: map[key]*flow{}})
		}
		r.sites[i].hosts, r.sites[i].region = hosts, hosts[0].Region
	}
	r.sites = slices.DeleteFunc(r.sites, func(s *site) bool {
		if byDC[s.name] == nil {
			s.hosts = nil
		}
		return s.hosts == nil && s.total == 0
	})
	for name, state := range r.hosts {
		if r.now().Sub(state.failed) >= avoidHost {
			delete(r.hosts, name)
		}
	}
}

// pickHost returns a random host of the site that did not just fail.
func (r *Router) pickHost(random *rand.Rand, s *site, now time.Time) (RemoteHost, bool) {
	n, picked := 0, -1
	for i, h := range s.hosts {
		if state, ok := r.hosts[h.Name]; ok && now.Sub(state.failed) < avoidHost {
			continue
		}
		if n++; random.IntN(n) == 0 {
			picked = i
		}
	}
	if picked < 0 {
		return RemoteHost{}, false
	}
	return s.hosts[picked], true
}

// anyHost returns a random host of the site, a failed one if there is no other.
func (r *Router) anyHost(s *site, now time.Time) RemoteHost {
	if h, ok := r.pickHost(r.random, s, now); ok {
		return h
	}
	return s.hosts[r.random.IntN(len(s.hosts))]
}

func (r *Router) hostFailed(name string, now time.Time) { r.hosts[name] = hostState{failed: now} }

// DataCentreView is what a SitePolicy sees of a place: this data centre or another one.
type DataCentreView struct {
	Name string
	// Room is how many more requests can start there now.
	Room int
	// Slots is only known of this data centre; 0 elsewhere.
	Slots int
	// Expected is the estimated time to the whole answer for this request.
	Expected time.Duration
	// Cached is how many prefixes of the request are believed to be cached there.
	Cached int
}

// DataCentrePolicy chooses between this data centre and others. It returns -1 for
// this one. Sites all have room; local has targets.
type DataCentrePolicy interface {
	Pick(random *rand.Rand, pool *PoolState, now time.Time, local DataCentreView, sites []DataCentreView) int
}

// AlwaysLocal stays while this data centre has any target.
type AlwaysLocal struct{}

// Pick implements DataCentrePolicy.
func (AlwaysLocal) Pick(*rand.Rand, *PoolState, time.Time, DataCentreView, []DataCentreView) int {
	return -1
}

// LeastLoaded takes the place with the most room.
type LeastLoaded struct{}

// Pick implements DataCentrePolicy.
func (LeastLoaded) Pick(_ *rand.Rand, _ *PoolState, _ time.Time, local DataCentreView, sites []DataCentreView) int {
	best, room := -1, local.Room
	for i := range sites {
		if sites[i].Room > room {
			best, room = i, sites[i].Room
		}
	}
	return best
}

// PoolState is the hysteresis of one pool and model on this host.
type PoolState struct {
	// fullAt is when this data centre last had no room.
	fullAt time.Time
}

// ExpectedTime stays while this data centre has room. Without room it takes the
// place with the least expected time, if that is better by RelativeMargin and AbsoluteMargin.
// After a time without room, requests whose prefix is warm elsewhere come back
// in growing shares: InitialReturnShare at first, doubled each ReturnDoublingTime.
type ExpectedTime struct {
	// RelativeMargin is the relative advantage that another place must have.
	RelativeMargin float64
	// AbsoluteMargin is the absolute advantage that another place must have.
	AbsoluteMargin time.Duration
	// InitialReturnShare is the first share that comes back; 1 brings back all at once.
	InitialReturnShare float64
	// ReturnDoublingTime is the time in which that share doubles.
	ReturnDoublingTime time.Duration
}

// DefaultExpectedTime has the parameters that docs/POLICY.md gives the figures for.
var DefaultExpectedTime = ExpectedTime{RelativeMargin: 0.05, InitialReturnShare: 0.25, ReturnDoublingTime: 2 * time.Second}

// Pick implements DataCentrePolicy.
func (p ExpectedTime) Pick(random *rand.Rand, pool *PoolState, now time.Time, local DataCentreView, sites []DataCentreView) int {
	best := -1
	for i := range sites {
		if best < 0 || sites[i].Expected < sites[best].Expected {
			best = i
		}
	}
	if local.Room == 0 {
		pool.fullAt = now
		if best >= 0 && time.Duration(float64(sites[best].Expected)*(1+p.RelativeMargin))+p.AbsoluteMargin < local.Expected {
			return best
		}
		return -1
	}
	if pool.fullAt.IsZero() || p.returns(random, now.Sub(pool.fullAt)) {
		return -1
	}
	warm := -1
	for i := range sites {
		if sites[i].Cached > local.Cached && (warm < 0 || sites[i].Cached > sites[warm].Cached) {
			warm = i
		}
	}
	return warm
}

func (p ExpectedTime) returns(random *rand.Rand, since time.Duration) bool {
	share := p.InitialReturnShare
	for step := since; step >= p.ReturnDoublingTime && share < 1; step -= p.ReturnDoublingTime {
		share *= 2
	}
	return random.Float64() < share
}
