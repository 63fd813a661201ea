package routing

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/targets"
)

// Config is what a router needs. Host, DataCentre, Region, Table and Hosts are required.
type Config struct {
	Host       string
	DataCentre string
	Region     string
	Table      *targets.Table
	Hosts      Hosts
	// Now is the clock; the default is time.Now.
	Now func() time.Time
	// Policy chooses targets; the default is DefaultAffinity.
	Policy Policy
	// DataCentrePolicy chooses data centres; the default is DefaultExpectedTime.
	DataCentrePolicy DataCentrePolicy
	// Queued is how many requests wait for admission to the pool on this host.
	Queued func(pool string) int
	// Seed makes the random choices repeatable; 0 takes a random one.
	Seed uint64
}

// Router implements dispatch.Chooser and dispatch.Observer.
type Router struct {
	config Config

	mu     sync.Mutex
	random *rand.Rand
	// sites are in order of name.
	sites  []*site
	hosts  map[string]hostState
	pools  map[key]*PoolState
	models map[key]*estimate
	askers map[key]map[string]time.Time
	// under holds the forwards and attempts under way by request id.
	under      map[string]*underWay
	candidates []targets.Candidate
	views      []DataCentreView
	viewSites  []*site
	stats      Stats
}

// Stats counts decisions.
type Stats struct {
	Local, Forwarded, ForwardedUnknown, NoTarget, NoRoom, Probes int64
	// ResidencyViolations and ReachViolations are refused choices: bugs.
	ResidencyViolations, ReachViolations int64
	// Exchanges counts summaries asked; Failed those without an answer.
	Exchanges, ExchangesFailed int64
	// SummaryBytes counts rows and keys received and sent, without framing.
	SummaryBytes int64
}

// underWay is what the router remembers of a request's current step.
type underWay struct {
	site *site
	key  key
	host string
	// probe is true when the attempt is the single request of an ejected target.
	probe bool
	// uncached are the prompt tokens that its target must compute.
	uncached int64
	// room is true when the target had room, so that its times are not those of a queue.
	room bool
}

// New returns a router.
func New(c Config) *Router {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Policy == nil {
		c.Policy = DefaultAffinity
	}
	if c.DataCentrePolicy == nil {
		c.DataCentrePolicy = DefaultExpectedTime
	}
	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	r := &Router{config: c, random: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]hostState{},
		pools: map[key]*PoolState{}, models: map[key]*estimate{}, askers: map[key]map[string]time.Time{},
		under: map[string]*underWay{}}
	r.refreshSites()
	return r
}

func (r *Router) now() time.Time { return r.config.Now() }

const (
	// noTargetRetry is how long a target needs at most to announce itself anew.
	noTargetRetry = targets.SilenceLimit
	// noRoomRetry is the time to the next summaries.
	noRoomRetry = ExchangeInterval
	// maxUnderWay bounds the remembered requests; entry hosts hold far fewer.
	maxUnderWay = 1 << 16
)

// Choose implements dispatch.Chooser. A forward counts as under way until ctx
// ends or Choose is called again for the request.
func (r *Router) Choose(ctx context.Context, req *dispatch.Request, tried dispatch.Tried) (dispatch.Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.finish(now, req.ID, true)
	choice, err := r.choose(now, req, tried)
	if err != nil {
		return dispatch.Choice{}, err
	}
	if err := r.assert(req, choice); err != nil {
		r.finish(now, req.ID, false)
		return dispatch.Choice{}, err
	}
	if choice.Host != nil && ctx.Done() != nil {
		id := req.ID
		context.AfterFunc(ctx, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.finish(r.now(), id, false)
		})
	}
	return choice, nil
}

func (r *Router) choose(now time.Time, req *dispatch.Request, tried dispatch.Tried) (dispatch.Choice, error) {
	k := keyOf(req.Pool, req.Model)
	q := &targets.Query{Pool: req.Pool, Model: req.Model, Prefixes: req.Prefixes, Residency: req.Residency, Exclude: tried.Targets}
	r.candidates = r.config.Table.Candidates(r.candidates[:0], now, q)
	r.candidates = slices.DeleteFunc(r.candidates, func(c targets.Candidate) bool { return !r.reaches(req, c.DataCentre) })
	w := r.work(k, req)
	ageLoads(r.candidates, w.Service)
	if s := r.away(now, k, req, tried, w); s != nil {
		if choice, ok := r.forward(now, k, req, s); ok {
			return choice, nil
		}
	}
	if choice, ok := r.local(now, k, req, w); ok {
		return choice, nil
	}
	return r.lastResort(now, k, req, tried)
}

// local chooses a target of this data centre.
func (r *Router) local(now time.Time, k key, req *dispatch.Request, w *RequestProfile) (dispatch.Choice, bool) {
	for len(r.candidates) > 0 {
		i := r.pick(req, w)
		c := r.candidates[i]
		target, ok := r.config.Table.Claim(now, &c)
		if !ok {
			r.candidates = slices.Delete(r.candidates, i, i+1)
			continue
		}
		r.stats.Local++
		if c.Probe {
			r.stats.Probes++
		}
		if len(r.under) < maxUnderWay {
			r.under[req.ID] = &underWay{key: k, uncached: w.uncached(c.CachedPrefixes), room: c.Room() > 0}
		}
		return dispatch.Choice{Target: &target}, true
	}
	return dispatch.Choice{}, false
}

// pick returns the index of the chosen candidate. A request that may be
// repeated is used as the probe of an ejected target that is due for it.
func (r *Router) pick(req *dispatch.Request, w *RequestProfile) int {
	healthy := 0
	probe := -1
	for i := range r.candidates {
		if r.candidates[i].Probe {
			probe = i
		} else {
			healthy++
		}
	}
	if probe >= 0 && (healthy == 0 || (req.Idempotent && req.Budget > 1)) {
		return probe
	}
	if probe >= 0 {
		r.candidates = slices.DeleteFunc(r.candidates, func(c targets.Candidate) bool { return c.Probe })
	}
	return r.config.Policy.Pick(r.random, w, r.candidates)
}

// away returns the data centre to send the request to, or nil to stay.
func (r *Router) away(now time.Time, k key, req *dispatch.Request, tried dispatch.Tried, w *RequestProfile) *site {
	if req.Forwarded() || req.Reach == rules.ReachDataCentre {
		return nil
	}
	r.views, r.viewSites = r.views[:0], r.viewSites[:0]
	for _, s := range r.sites {
		if tried.DataCentres[s.name] || !r.permitted(req, s) {
			continue
		}
		room, row, known := s.room(now, k)
		if !known || room == 0 {
			continue
		}
		if _, ok := r.pickHost(r.random, s, now); !ok {
			continue
		}
		r.views = append(r.views, r.remoteView(now, s, req, w, row, room))
		r.viewSites = append(r.viewSites, s)
	}
	if len(r.candidates) == 0 {
		if len(r.views) == 0 {
			return nil
		}
		return r.viewSites[fastest(r.views)]
	}
	local := r.localView(req, w)
	if i := r.config.DataCentrePolicy.Pick(r.random, r.pool(k), now, local, r.views); i >= 0 {
		return r.viewSites[i]
	}
	return nil
}

func fastest(views []DataCentreView) int {
	best := 0
	for i := range views {
		if views[i].Expected < views[best].Expected {
			best = i
		}
	}
	return best
}

func (r *Router) pool(k key) *PoolState {
	p, ok := r.pools[k]
	if !ok {
		if len(r.pools) >= maxKeys {
			clear(r.pools)
		}
		p = &PoolState{}
		r.pools[k] = p
	}
	return p
}

// localView sums up the candidates.
func (r *Router) localView(req *dispatch.Request, w *RequestProfile) DataCentreView {
	v := DataCentreView{Name: r.config.DataCentre}
	over := 0
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.Probe {
			continue
		}
		v.Room += c.Room()
		v.Slots += c.Limit
		over += max(c.Load-c.Limit, 0)
		v.Cached = max(v.Cached, c.CachedPrefixes)
	}
	if r.config.Queued != nil {
		over += r.config.Queued(req.Pool)
	}
	v.Room = max(v.Room-over, 0)
	wait := time.Duration(0)
	if v.Room == 0 {
		wait = w.Service * time.Duration(over+1) / time.Duration(max(v.Slots, 1))
	}
	v.Expected = wait + time.Duration(w.uncached(v.Cached))*w.Prefill + w.Service
	return v
}

// remoteView estimates the time to the whole answer from another data centre.
// The wait that a summary states is doubled within its lifetime, because what
// it says becomes less certain.
func (r *Router) remoteView(now time.Time, s *site, req *dispatch.Request, w *RequestProfile, row Row, room int) DataCentreView {
	v := DataCentreView{Name: s.name, Room: room, Cached: s.sent.match(req.Prefixes)}
	age := float64(now.Sub(s.heard)) / float64(summaryLimit)
	wait := time.Duration(float64(row.Wait) * (1 + age))
	service, prefill := row.Service, row.Prefill
	if service == 0 {
		service = w.Service
	}
	if prefill == 0 {
		prefill = w.Prefill
	}
	bits := 8 * (int64(len(req.Body)) + w.OutputTokens*bytesPerToken) * int64(s.total+1)
	transfer := time.Duration(bits * int64(time.Second) / linkBits)
	v.Expected = wait + 2*s.delay + transfer + time.Duration(w.uncached(v.Cached))*prefill + service
	return v
}

// reaches reports whether the request's reach covers a target of the data
// centre, which is another one when the target was adopted.
func (r *Router) reaches(req *dispatch.Request, dataCentre string) bool {
	if dataCentre == r.config.DataCentre || req.Reach == rules.ReachAny || req.Reach == "" {
		return true
	}
	return req.Reach == rules.ReachRegion && slices.ContainsFunc(r.sites, func(s *site) bool {
		return s.name == dataCentre && s.region == r.config.Region
	})
}

// permitted reports whether residency and reach allow the data centre.
func (r *Router) permitted(req *dispatch.Request, s *site) bool {
	if req.Reach == rules.ReachRegion && s.region != r.config.Region {
		return false
	}
	return allowed(req, s.name)
}

func allowed(req *dispatch.Request, dataCentre string) bool {
	return rules.Allows(req.Residency, dataCentre)
}

// forward takes a live host of the site and counts the request as under way.
func (r *Router) forward(now time.Time, k key, req *dispatch.Request, s *site) (dispatch.Choice, bool) {
	h, ok := r.pickHost(r.random, s, now)
	if !ok {
		return dispatch.Choice{}, false
	}
	if len(r.under) < maxUnderWay {
		f := s.flow(k)
		f.outstanding++
		f.used = now
		s.total++
		r.under[req.ID] = &underWay{site: s, key: k, host: h.Name}
	}
	s.sent.add(req.Prefixes)
	r.stats.Forwarded++
	return dispatch.Choice{Host: &dispatch.Host{Name: h.Name, DataCentre: h.DataCentre, PeerAddress: h.Peer}}, true
}

// lastResort handles a request without any known place: a data centre that has
// said nothing about its pool may have got a target since.
func (r *Router) lastResort(now time.Time, k key, req *dispatch.Request, tried dispatch.Tried) (dispatch.Choice, error) {
	full := false
	if !req.Forwarded() && req.Reach != rules.ReachDataCentre {
		for _, s := range r.sites {
			if tried.DataCentres[s.name] || !r.permitted(req, s) {
				continue
			}
			if _, _, known := s.room(now, k); known {
				full = true
				continue
			}
			if f := s.flows[k]; f != nil && f.outstanding >= unknownLimit {
				full = true
				continue
			}
			if choice, ok := r.forward(now, k, req, s); ok {
				r.stats.ForwardedUnknown++
				return choice, nil
			}
		}
	}
	if full {
		r.stats.NoRoom++
		return dispatch.Choice{}, refusal.New(refusal.Overloaded, refusal.NotRun,
			"no data centre has room for pool %s", req.Pool).WithRetry(noRoomRetry)
	}
	r.stats.NoTarget++
	return dispatch.Choice{}, refusal.New(refusal.NoTarget, refusal.NotRun,
		"no target of pool %s is available", req.Pool).WithRetry(noTargetRetry)
}

// finish ends the current step of a request. A forward that is followed by
// another choice did not succeed there.
func (r *Router) finish(now time.Time, id string, failed bool) {
	u, ok := r.under[id]
	if !ok {
		return
	}
	delete(r.under, id)
	if u.site == nil {
		return
	}
	f := u.site.flow(u.key)
	f.outstanding = max(f.outstanding-1, 0)
	u.site.total = max(u.site.total-1, 0)
	if !failed {
		return
	}
	// The host failed or refused for load. Other hosts of the data centre are
	// used meanwhile; without one, nothing is sent until its next summary.
	if len(u.site.hosts) > 1 {
		r.hostFailed(u.host, now)
	}
	if _, ok := r.pickHost(r.random, u.site, now); !ok || len(u.site.hosts) == 1 {
		f.closed = true
	}
}

// assert checks residency and reach once more at the moment of the choice, by
// other means than the selection did. A violation is a bug.
func (r *Router) assert(req *dispatch.Request, choice dispatch.Choice) error {
	place := ""
	if choice.Target != nil {
		place = choice.Target.DataCentre
	} else {
		place = choice.Host.DataCentre
	}
	if !allowed(req, place) {
		r.stats.ResidencyViolations++
		return refusal.New(refusal.NoTarget, refusal.NotRun, "data centre %s is outside the workspace's residency", place)
	}
	if choice.Host != nil && (req.Forwarded() || req.Reach == rules.ReachDataCentre) {
		r.stats.ReachViolations++
		return refusal.New(refusal.NoTarget, refusal.NotRun, "data centre %s is beyond the request's reach", place)
	}
	return nil
}

// Room is how many requests like req can start now: on local targets, and in
// other data centres that residency and reach allow.
func (r *Router) Room(req *dispatch.Request) (local, away int) {
	now := r.now()
	local = r.config.Table.Capacity(now, &targets.Query{Pool: req.Pool, Model: req.Model, Residency: req.Residency}).Room
	if req.Forwarded() || req.Reach == rules.ReachDataCentre {
		return local, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sites {
		if r.permitted(req, s) {
			room, _, _ := s.room(now, keyOf(req.Pool, req.Model))
			away += room
		}
	}
	return local, away
}

// Stats returns the counters.
func (r *Router) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}
