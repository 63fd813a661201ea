package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// ExchangeInterval is the time between summary requests to each other data centre.
	ExchangeInterval = time.Second
	// summaryTTL is the age at which a summary expires.
	summaryTTL = 4 * time.Second
	// failedHostCooldown is how long a host gets no forwards after a failure.
	failedHostCooldown = 3 * time.Second
	// maxForwardsWithoutSummary bounds the forwards in flight for one pool and model
	// to a data centre that has no current summary row for them.
	maxForwardsWithoutSummary = 4
	// linkBitsPerSecond is the capacity of an inter-region link in each direction,
	// shared by all traffic.
	linkBitsPerSecond = 2_000_000_000
	// bytesPerToken is the assumed size of a token as text.
	bytesPerToken = 4
	// maxSentPrefixes bounds the prefixes in each generation of a prefixSet.
	maxSentPrefixes = 8192
	// defaultDelay is the assumed one-way network delay until it is measured.
	defaultDelay = 55 * time.Millisecond
)

// remoteDataCentre is the state that this host keeps for another data centre.
type remoteDataCentre struct {
	name   string
	region string
	hosts  []RemoteHost
	rows   map[serviceKey]Row
	// summaryTime is when the last summary was built, estimated as its arrival
	// time less the one-way delay.
	summaryTime time.Time
	// delay is the measured one-way network delay.
	delay time.Duration
	// flows counts the forwards of this host in flight by pool and model.
	flows map[serviceKey]*flow
	// totalOutstanding is the sum of outstanding over all flows.
	totalOutstanding int
	sentPrefixes     prefixSet
}

// flow counts the forwards of one pool and model to another data centre.
type flow struct {
	outstanding int
	// outstandingAtSummary is the part of outstanding that was already in flight
	// at the last summary, so that the room in the summary accounts for it.
	outstandingAtSummary int
	// blocked is set when a forward failed and no other host could be used. The
	// next summary clears it.
	blocked  bool
	lastUsed time.Time
}

func (dc *remoteDataCentre) flow(k serviceKey) *flow {
	f, ok := dc.flows[k]
	if !ok {
		f = &flow{}
		dc.flows[k] = f
	}
	return f
}

// room returns how many more requests may be forwarded to the data centre now. known
// is false if there is no current summary row for the pool and model.
func (dc *remoteDataCentre) room(now time.Time, k serviceKey) (room int, row Row, known bool) {
	row, known = dc.rows[k]
	if !known || now.Sub(dc.summaryTime) >= summaryTTL {
		return 0, row, false
	}
	f := dc.flows[k]
	if f == nil {
		return row.Room, row, true
	}
	if f.blocked {
		return 0, row, true
	}
	return max(row.Room-max(f.outstanding-f.outstandingAtSummary, 0), 0), row, true
}

// prefixSet is the set of prompt prefixes recently sent to a data centre. It has two
// generations of bounded size; a full young generation replaces the old one.
type prefixSet struct{ young, old map[uint64]struct{} }

func (p *prefixSet) add(prefixes []uint64) {
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

// match returns how many of the leading prefixes are in the set.
func (p *prefixSet) match(prefixes []uint64) int {
	for i, v := range prefixes {
		_, young := p.young[v]
		_, old := p.old[v]
		if !young && !old {
			return i
		}
	}
	return len(prefixes)
}

// hostState is the state of a remote host as observed by the calls of this host.
type hostState struct{ failedAt time.Time }

// RemoteHost is a host of another data centre.
type RemoteHost struct {
	Name       string
	DataCentre string
	Region     string
	Peer       string
}

// Hosts lists the live hosts of other data centres.
type Hosts interface{ RemoteHosts() []RemoteHost }

// HostsFunc adapts a function to Hosts.
type HostsFunc func() []RemoteHost

// RemoteHosts implements Hosts.
func (f HostsFunc) RemoteHosts() []RemoteHost { return f() }

// refreshDataCentres updates r.dataCentres from the current host list and removes
// ended cooldowns. Callers hold r.mu.
func (r *Router) refreshDataCentres() {
	byDC := map[string][]RemoteHost{}
	for _, h := range r.config.Hosts.RemoteHosts() {
		byDC[h.DataCentre] = append(byDC[h.DataCentre], h)
	}
	for name, hosts := range byDC {
		i, found := slices.BinarySearchFunc(r.dataCentres, name, func(dc *remoteDataCentre, name string) int {
			if dc.name < name {
				return -1
			}
			if dc.name > name {
				return 1
			}
			return 0
		})
		if !found {
			r.dataCentres = slices.Insert(r.dataCentres, i, &remoteDataCentre{name: name, delay: defaultDelay, flows: map[serviceKey]*flow{}})
		}
		r.dataCentres[i].hosts, r.dataCentres[i].region = hosts, hosts[0].Region
	}
	r.dataCentres = slices.DeleteFunc(r.dataCentres, func(dc *remoteDataCentre) bool {
		if byDC[dc.name] == nil {
			dc.hosts = nil
		}
		return dc.hosts == nil && dc.totalOutstanding == 0
	})
	for name, state := range r.hostStates {
		if r.now().Sub(state.failedAt) >= failedHostCooldown {
			delete(r.hostStates, name)
		}
	}
}

// pickHost returns a random host of the data centre that is not in its cooldown after
// a failure.
func (r *Router) pickHost(random *rand.Rand, dc *remoteDataCentre, now time.Time) (RemoteHost, bool) {
	eligible, picked := 0, -1
	for i, h := range dc.hosts {
		if state, ok := r.hostStates[h.Name]; ok && now.Sub(state.failedAt) < failedHostCooldown {
			continue
		}
		if eligible++; random.IntN(eligible) == 0 {
			picked = i
		}
	}
	if picked < 0 {
		return RemoteHost{}, false
	}
	return dc.hosts[picked], true
}

// anyHost returns a random host of the data centre, preferring hosts that pickHost
// accepts.
func (r *Router) anyHost(dc *remoteDataCentre, now time.Time) RemoteHost {
	if h, ok := r.pickHost(r.random, dc, now); ok {
		return h
	}
	return dc.hosts[r.random.IntN(len(dc.hosts))]
}

func (r *Router) markHostFailed(name string, now time.Time) {
	r.hostStates[name] = hostState{failedAt: now}
}

// DataCentreView is the input to a DataCentrePolicy for one data centre, local or
// remote.
type DataCentreView struct {
	Name string
	// Room is how many more requests can start there now.
	Room int
	// Slots is the number of slots; it is known only of the local data centre and
	// is 0 for others.
	Slots int
	// Expected is the estimated time to the complete response for this request.
	Expected time.Duration
	// Cached is the estimated number of the request's prefixes that are cached there.
	Cached int
}

// DataCentrePolicy chooses between the local data centre and others. Pick returns an
// index into remotes, or -1 for the local one. All remotes have room; local has
// targets.
type DataCentrePolicy interface {
	Pick(random *rand.Rand, pool *PoolState, now time.Time, local DataCentreView, remotes []DataCentreView) int
}

// AlwaysLocal chooses the local data centre while it has any target.
type AlwaysLocal struct{}

// Pick implements DataCentrePolicy.
func (AlwaysLocal) Pick(*rand.Rand, *PoolState, time.Time, DataCentreView, []DataCentreView) int {
	return -1
}

// LeastLoaded chooses the data centre with the most room.
type LeastLoaded struct{}

// Pick implements DataCentrePolicy.
func (LeastLoaded) Pick(_ *rand.Rand, _ *PoolState, _ time.Time, local DataCentreView, remotes []DataCentreView) int {
	best, maxRoom := -1, local.Room
	for i := range remotes {
		if remotes[i].Room > maxRoom {
			best, maxRoom = i, remotes[i].Room
		}
	}
	return best
}

// PoolState is the hysteresis state of one pool and model on this host.
type PoolState struct {
	// lastFull is when the local data centre last had no room.
	lastFull time.Time
}

// ExpectedTime chooses the local data centre while it has room. Without local room it
// chooses the data centre with the least expected time, if that is better than the
// local one by RelativeMargin and AbsoluteMargin. After local room is available
// again, requests whose prefixes are cached in another data centre return in growing
// shares: InitialReturnShare at first, doubled every ReturnDoublingTime.
type ExpectedTime struct {
	// RelativeMargin is how much faster another data centre must be, as a share of
	// its expected time.
	RelativeMargin float64
	// AbsoluteMargin is how much faster another data centre must be, added to
	// RelativeMargin.
	AbsoluteMargin time.Duration
	// InitialReturnShare is the share that returns at first; with 1 all requests
	// return at once.
	InitialReturnShare float64
	// ReturnDoublingTime is the time in which that share doubles.
	ReturnDoublingTime time.Duration
}

// DefaultExpectedTime has the default parameters; docs/POLICY.md lists their
// measurements.
var DefaultExpectedTime = ExpectedTime{RelativeMargin: 0.05, InitialReturnShare: 0.25, ReturnDoublingTime: 2 * time.Second}

// Pick implements DataCentrePolicy.
func (p ExpectedTime) Pick(random *rand.Rand, pool *PoolState, now time.Time, local DataCentreView, remotes []DataCentreView) int {
	fastest := -1
	for i := range remotes {
		if fastest < 0 || remotes[i].Expected < remotes[fastest].Expected {
			fastest = i
		}
	}
	if local.Room == 0 {
		pool.lastFull = now
		if fastest >= 0 && time.Duration(float64(remotes[fastest].Expected)*(1+p.RelativeMargin))+p.AbsoluteMargin < local.Expected {
			return fastest
		}
		return -1
	}
	if pool.lastFull.IsZero() || p.returnsLocal(random, now.Sub(pool.lastFull)) {
		return -1
	}
	mostCached := -1
	for i := range remotes {
		if remotes[i].Cached > local.Cached && (mostCached < 0 || remotes[i].Cached > remotes[mostCached].Cached) {
			mostCached = i
		}
	}
	return mostCached
}

// returnsLocal reports whether a request returns to the local data centre when it last
// had no room elapsed ago.
func (p ExpectedTime) returnsLocal(random *rand.Rand, elapsed time.Duration) bool {
	share := p.InitialReturnShare
	for remaining := elapsed; remaining >= p.ReturnDoublingTime && share < 1; remaining -= p.ReturnDoublingTime {
		share *= 2
	}
	return random.Float64() < share
}
