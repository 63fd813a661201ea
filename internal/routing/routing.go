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

// Config configures a Router. Host, DataCentre, Region, Table and Hosts are required.
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
	// Queued returns how many requests wait for admission to the pool on this host.
	Queued func(pool string) int
	// Seed makes the random choices reproducible; 0 selects a random seed.
	Seed uint64
}

// Router chooses the target or the remote host for each attempt of a request. It
// implements dispatch.Chooser and dispatch.Observer.
type Router struct {
	config Config

	// mu guards the fields below.
	mu     sync.Mutex
	random *rand.Rand
	// dataCentres are the other data centres, sorted by name.
	dataCentres []*remoteDataCentre
	hostStates  map[string]hostState
	poolStates  map[serviceKey]*PoolState
	estimates   map[serviceKey]*timeEstimate
	// demand holds the remote hosts that want room, with the time of their last
	// summary request for it.
	demand map[serviceKey]map[string]time.Time
	// inFlight holds the forwards and attempts in progress by request ID.
	inFlight map[string]*inFlightStep
	// candidates, remoteViews and remoteViewDCs are buffers that each choice reuses.
	candidates    []targets.Candidate
	remoteViews   []DataCentreView
	remoteViewDCs []*remoteDataCentre
	stats         Stats
}

// Stats counts routing decisions and summary exchanges.
type Stats struct {
	Local, Forwarded, ForwardedUnknown, NoTarget, NoRoom, Probes int64
	// ResidencyViolations and ReachViolations count choices that verifyChoice
	// refused. Any value above 0 is a bug.
	ResidencyViolations, ReachViolations int64
	// Exchanges counts summary requests; ExchangesFailed counts those without a
	// response.
	Exchanges, ExchangesFailed int64
	// SummaryBytes is the size of the keys sent and the rows received, without
	// framing.
	SummaryBytes int64
}

// inFlightStep is the current step of a request: a forward to another data centre,
// or an attempt on a local target, for which dataCentre is nil.
type inFlightStep struct {
	dataCentre *remoteDataCentre
	key        serviceKey
	host       string
	// probe is true for the single probe request to an ejected target.
	probe bool
	// uncachedTokens is the number of prompt tokens that the target must prefill.
	uncachedTokens int64
	// hadRoom is true if the target had a free slot, so that the measured times
	// include no queueing.
	hadRoom bool
}

// New returns a Router and applies the defaults of Config.
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
	r := &Router{config: c, random: rand.New(rand.NewPCG(seed, 1)), hostStates: map[string]hostState{},
		poolStates: map[serviceKey]*PoolState{}, estimates: map[serviceKey]*timeEstimate{}, demand: map[serviceKey]map[string]time.Time{},
		inFlight: map[string]*inFlightStep{}}
	r.refreshDataCentres()
	return r
}

func (r *Router) now() time.Time { return r.config.Now() }

const (
	// noTargetRetry is the longest time that a live target takes to announce itself
	// again.
	noTargetRetry = targets.SilenceLimit
	// noRoomRetry is the time until the next summaries arrive.
	noRoomRetry = ExchangeInterval
	// maxInFlight bounds the tracked requests; an entry host has far fewer.
	maxInFlight = 1 << 16
)

// Choose implements dispatch.Chooser. A forward counts as in flight until ctx ends
// or Choose is called again for the request.
func (r *Router) Choose(ctx context.Context, req *dispatch.Request, tried dispatch.Tried) (dispatch.Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.endStep(now, req.ID, true)
	choice, err := r.choose(now, req, tried)
	if err != nil {
		return dispatch.Choice{}, err
	}
	if err := r.verifyChoice(req, choice); err != nil {
		r.endStep(now, req.ID, false)
		return dispatch.Choice{}, err
	}
	if choice.Host != nil && ctx.Done() != nil {
		id := req.ID
		context.AfterFunc(ctx, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.endStep(r.now(), id, false)
		})
	}
	return choice, nil
}

func (r *Router) choose(now time.Time, req *dispatch.Request, tried dispatch.Tried) (dispatch.Choice, error) {
	k := serviceKeyOf(req.Pool, req.Model)
	q := &targets.Query{Pool: req.Pool, Model: req.Model, Prefixes: req.Prefixes, Residency: req.Residency, Exclude: tried.Targets}
	r.candidates = r.config.Table.Candidates(r.candidates[:0], now, q)
	r.candidates = slices.DeleteFunc(r.candidates, func(c targets.Candidate) bool { return !r.withinReach(req, c.DataCentre) })
	profile := r.requestProfile(k, req)
	decayRemoteLoads(r.candidates, profile.Service)
	if dc := r.pickDataCentre(now, k, req, tried, profile); dc != nil {
		if choice, ok := r.forward(now, k, req, dc); ok {
			return choice, nil
		}
	}
	if choice, ok := r.chooseLocal(now, k, req, profile); ok {
		return choice, nil
	}
	return r.chooseWithoutSummary(now, k, req, tried)
}

// chooseLocal chooses a target of this data centre.
func (r *Router) chooseLocal(now time.Time, k serviceKey, req *dispatch.Request, profile *RequestProfile) (dispatch.Choice, bool) {
	for len(r.candidates) > 0 {
		i := r.pickTarget(req, profile)
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
		if len(r.inFlight) < maxInFlight {
			r.inFlight[req.ID] = &inFlightStep{key: k, uncachedTokens: profile.uncachedTokens(c.CachedPrefixes), hadRoom: c.Room() > 0}
		}
		return dispatch.Choice{Target: &target}, true
	}
	return dispatch.Choice{}, false
}

// pickTarget returns the index of the chosen candidate. An ejected target that is
// due for a probe gets this request if the request can be retried, or if there is
// no healthy candidate.
func (r *Router) pickTarget(req *dispatch.Request, profile *RequestProfile) int {
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
	return r.config.Policy.Pick(r.random, profile, r.candidates)
}

// pickDataCentre returns the data centre to forward the request to, or nil to serve
// it in this one.
func (r *Router) pickDataCentre(now time.Time, k serviceKey, req *dispatch.Request, tried dispatch.Tried, profile *RequestProfile) *remoteDataCentre {
	if req.Forwarded() || req.Reach == rules.ReachDataCentre {
		return nil
	}
	r.remoteViews, r.remoteViewDCs = r.remoteViews[:0], r.remoteViewDCs[:0]
	for _, dc := range r.dataCentres {
		if tried.DataCentres[dc.name] || !r.permitted(req, dc) {
			continue
		}
		room, row, known := dc.room(now, k)
		if !known || room == 0 {
			continue
		}
		if _, ok := r.pickHost(r.random, dc, now); !ok {
			continue
		}
		r.remoteViews = append(r.remoteViews, r.remoteView(now, dc, req, profile, row, room))
		r.remoteViewDCs = append(r.remoteViewDCs, dc)
	}
	if len(r.candidates) == 0 {
		if len(r.remoteViews) == 0 {
			return nil
		}
		return r.remoteViewDCs[fastest(r.remoteViews)]
	}
	local := r.localView(req, profile)
	if i := r.config.DataCentrePolicy.Pick(r.random, r.poolState(k), now, local, r.remoteViews); i >= 0 {
		return r.remoteViewDCs[i]
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

func (r *Router) poolState(k serviceKey) *PoolState {
	p, ok := r.poolStates[k]
	if !ok {
		if len(r.poolStates) >= maxServiceKeys {
			clear(r.poolStates)
		}
		p = &PoolState{}
		r.poolStates[k] = p
	}
	return p
}

// localView aggregates the candidates into the view of this data centre.
func (r *Router) localView(req *dispatch.Request, profile *RequestProfile) DataCentreView {
	v := DataCentreView{Name: r.config.DataCentre}
	excess := 0
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.Probe {
			continue
		}
		v.Room += c.Room()
		v.Slots += c.Limit
		excess += max(c.Load-c.Limit, 0)
		v.Cached = max(v.Cached, c.CachedPrefixes)
	}
	if r.config.Queued != nil {
		excess += r.config.Queued(req.Pool)
	}
	v.Room = max(v.Room-excess, 0)
	wait := time.Duration(0)
	if v.Room == 0 {
		wait = profile.Service * time.Duration(excess+1) / time.Duration(max(v.Slots, 1))
	}
	v.Expected = wait + time.Duration(profile.uncachedTokens(v.Cached))*profile.Prefill + profile.Service
	return v
}

// remoteView estimates the time to the complete response from another data centre.
// The wait in a summary is scaled up with the age of the summary, to twice its value
// at summaryTTL, because an older summary is less accurate.
func (r *Router) remoteView(now time.Time, dc *remoteDataCentre, req *dispatch.Request, profile *RequestProfile, row Row, room int) DataCentreView {
	v := DataCentreView{Name: dc.name, Room: room, Cached: dc.sentPrefixes.match(req.Prefixes)}
	age := float64(now.Sub(dc.summaryTime)) / float64(summaryTTL)
	wait := time.Duration(float64(row.Wait) * (1 + age))
	service, prefill := row.Service, row.Prefill
	if service == 0 {
		service = profile.Service
	}
	if prefill == 0 {
		prefill = profile.Prefill
	}
	bits := 8 * (int64(len(req.Body)) + profile.OutputTokens*bytesPerToken) * int64(dc.totalOutstanding+1)
	transfer := time.Duration(bits * int64(time.Second) / linkBitsPerSecond)
	v.Expected = wait + 2*dc.delay + transfer + time.Duration(profile.uncachedTokens(v.Cached))*prefill + service
	return v
}

// withinReach reports whether the request's reach covers a target of the data centre.
// That is another data centre than this host's if the target is adopted.
func (r *Router) withinReach(req *dispatch.Request, dataCentre string) bool {
	if dataCentre == r.config.DataCentre || req.Reach == rules.ReachAny || req.Reach == "" {
		return true
	}
	return req.Reach == rules.ReachRegion && slices.ContainsFunc(r.dataCentres, func(dc *remoteDataCentre) bool {
		return dc.name == dataCentre && dc.region == r.config.Region
	})
}

// permitted reports whether residency and reach allow the data centre.
func (r *Router) permitted(req *dispatch.Request, dc *remoteDataCentre) bool {
	if req.Reach == rules.ReachRegion && dc.region != r.config.Region {
		return false
	}
	return residencyAllows(req, dc.name)
}

func residencyAllows(req *dispatch.Request, dataCentre string) bool {
	return rules.Allows(req.Residency, dataCentre)
}

// forward picks a live host of the data centre and counts the request as in flight.
func (r *Router) forward(now time.Time, k serviceKey, req *dispatch.Request, dc *remoteDataCentre) (dispatch.Choice, bool) {
	h, ok := r.pickHost(r.random, dc, now)
	if !ok {
		return dispatch.Choice{}, false
	}
	if len(r.inFlight) < maxInFlight {
		f := dc.flow(k)
		f.outstanding++
		f.lastUsed = now
		dc.totalOutstanding++
		r.inFlight[req.ID] = &inFlightStep{dataCentre: dc, key: k, host: h.Name}
	}
	dc.sentPrefixes.add(req.Prefixes)
	r.stats.Forwarded++
	return dispatch.Choice{Host: &dispatch.Host{Name: h.Name, DataCentre: h.DataCentre, PeerAddress: h.Peer}}, true
}

// chooseWithoutSummary handles a request that no local target took and for which no
// other data centre is known to have room. It forwards to a data centre without a
// current summary row for the pool and model, since a target may have started there
// after the last summary. If there is none, it refuses the request.
func (r *Router) chooseWithoutSummary(now time.Time, k serviceKey, req *dispatch.Request, tried dispatch.Tried) (dispatch.Choice, error) {
	noRoom := false
	if !req.Forwarded() && req.Reach != rules.ReachDataCentre {
		for _, dc := range r.dataCentres {
			if tried.DataCentres[dc.name] || !r.permitted(req, dc) {
				continue
			}
			if _, _, known := dc.room(now, k); known {
				noRoom = true
				continue
			}
			if f := dc.flows[k]; f != nil && f.outstanding >= maxForwardsWithoutSummary {
				noRoom = true
				continue
			}
			if choice, ok := r.forward(now, k, req, dc); ok {
				r.stats.ForwardedUnknown++
				return choice, nil
			}
		}
	}
	if noRoom {
		r.stats.NoRoom++
		return dispatch.Choice{}, refusal.New(refusal.Overloaded, refusal.NotRun,
			"no data centre has room for pool %s", req.Pool).WithRetry(noRoomRetry)
	}
	r.stats.NoTarget++
	return dispatch.Choice{}, refusal.New(refusal.NoTarget, refusal.NotRun,
		"no target of pool %s is available", req.Pool).WithRetry(noTargetRetry)
}

// endStep removes the in-flight step of a request. failed is true if Choose is called
// again for the request, so that an earlier forward did not succeed.
func (r *Router) endStep(now time.Time, id string, failed bool) {
	step, ok := r.inFlight[id]
	if !ok {
		return
	}
	delete(r.inFlight, id)
	if step.dataCentre == nil {
		return
	}
	f := step.dataCentre.flow(step.key)
	f.outstanding = max(f.outstanding-1, 0)
	step.dataCentre.totalOutstanding = max(step.dataCentre.totalOutstanding-1, 0)
	if !failed {
		return
	}
	// The host failed, or refused the request because of load. Until its cooldown
	// ends, only other hosts of the data centre are used. If there is none, the
	// data centre gets no forwards of this pool and model until its next summary.
	if len(step.dataCentre.hosts) > 1 {
		r.markHostFailed(step.host, now)
	}
	if _, ok := r.pickHost(r.random, step.dataCentre, now); !ok || len(step.dataCentre.hosts) == 1 {
		f.blocked = true
	}
}

// verifyChoice checks residency and reach of the final choice, independently of the
// selection. A violation is a bug.
func (r *Router) verifyChoice(req *dispatch.Request, choice dispatch.Choice) error {
	dataCentre := ""
	if choice.Target != nil {
		dataCentre = choice.Target.DataCentre
	} else {
		dataCentre = choice.Host.DataCentre
	}
	if !residencyAllows(req, dataCentre) {
		r.stats.ResidencyViolations++
		return refusal.New(refusal.NoTarget, refusal.NotRun, "data centre %s is outside the workspace's residency", dataCentre)
	}
	if choice.Host != nil && (req.Forwarded() || req.Reach == rules.ReachDataCentre) {
		r.stats.ReachViolations++
		return refusal.New(refusal.NoTarget, refusal.NotRun, "data centre %s is beyond the request's reach", dataCentre)
	}
	return nil
}

// Room returns how many requests like req can start now on local targets, and in
// other data centres that residency and reach allow.
func (r *Router) Room(req *dispatch.Request) (local, remote int) {
	now := r.now()
	local = r.config.Table.Capacity(now, &targets.Query{Pool: req.Pool, Model: req.Model, Residency: req.Residency}).Room
	if req.Forwarded() || req.Reach == rules.ReachDataCentre {
		return local, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, dc := range r.dataCentres {
		if r.permitted(req, dc) {
			room, _, _ := dc.room(now, serviceKeyOf(req.Pool, req.Model))
			remote += room
		}
	}
	return local, remote
}

// Stats returns the counters.
func (r *Router) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}
