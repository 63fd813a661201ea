package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/attachment"
	"geraniumturn.example/geraniumturn/internal/bytebudget"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/intake"
	"geraniumturn.example/geraniumturn/internal/origins"
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/registry"
	"geraniumturn.example/geraniumturn/internal/requestbody"
	"geraniumturn.example/geraniumturn/internal/room"
	"geraniumturn.example/geraniumturn/internal/shares"
	"geraniumturn.example/geraniumturn/internal/suspects"
	"geraniumturn.example/geraniumturn/internal/upstream"
	"geraniumturn.example/geraniumturn/internal/usagerelay"
)

// Bounds are the limits that the gateway enforces for the deployment.
type Bounds struct {
	// KeyMaxStaleness is the maximum age of a configuration that cannot be confirmed
	// and on which keys are still accepted. It must be below the time within which a
	// withdrawn key must stop working.
	KeyMaxStaleness time.Duration
	// DenyMaxStaleness is the maximum age of a configuration on which a request may be
	// denied for a missing route or key. A newer configuration may contain it.
	DenyMaxStaleness time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the retries of all hosts together.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// RateSlack is the number of tokens by which all hosts together may exceed a
	// workspace's rate and burst in a window.
	RateSlack float64
	// ColdOverrun and ColdSlack bound the requests per second of all hosts together to
	// a cold target: rate x overrun + slack.
	ColdOverrun, ColdSlack float64
}

const (
	// callerDeadlineMargin ends a request before the caller's timeout, so that the final
	// response still reaches the caller.
	callerDeadlineMargin = 40 * time.Millisecond
	// targetDeadlineMargin is subtracted from the time that a target is given. It covers
	// the transfer of the response.
	targetDeadlineMargin = 10 * time.Millisecond
	// stateRetryAfter is the Retry-After of refusals by a host that does not have the
	// current configuration or targets yet.
	stateRetryAfter = 500 * time.Millisecond
	// regionTimeout is how long the control hosts of another region, which are polled
	// every 0.5 s, may fail to respond before the region counts as unreachable.
	regionTimeout = 1300 * time.Millisecond
	// minRetryAfter is the minimum Retry-After of refusals because of load.
	minRetryAfter = 250 * time.Millisecond
	// defaultMaxBodyBytes bounds a request body when the configuration sets no limit.
	defaultMaxBodyBytes = 8 << 20
	defaultBodyMemory   = 256 << 20
	// bodyRetryAfter is the time after which a caller whose body finds no memory may come
	// back. Bodies that need much memory take long to arrive.
	bodyRetryAfter = 500 * time.Millisecond
	// localDialTimeout and remoteDialTimeout bound the time to connect within the region
	// and to another region.
	localDialTimeout  = 300 * time.Millisecond
	remoteDialTimeout = 700 * time.Millisecond
)

// Gateway serves the callers of one entry host.
type Gateway struct {
	Name, DataCentre, Region string
	// RegionByDataCentre maps data centres to regions.
	RegionByDataCentre map[string]string
	Bounds             Bounds
	CallerProtocol     CallerProtocol
	// HonouredShare is the part of its time left for which a caller waits if it is told to come
	// back later; 0 means all of it.
	HonouredShare  float64
	TargetProtocol TargetProtocol
	Views          *ViewStore
	Table          *registry.Table
	Log            *logrus.Logger
	Metrics        metrics.Registry
	// LocalOnly disables forwarding to other regions. It is a baseline for measurements.
	LocalOnly bool
	// EqualUrgency means that no request gives way to a more urgent one.
	EqualUrgency bool
	// RateClient takes tokens from the rate holders on other hosts, PermitClient permits from
	// those that grant them.
	RateClient   RateClient
	PermitClient PermitClient
	// OriginClient asks the control hosts which software began a stream.
	OriginClient OriginClient
	// Front, Forward and Peer are the addresses of this host for callers, for
	// forwarded requests and for RPCs from other hosts.
	Front, Forward, Peer string
	// Started is the start time of the process in Unix milliseconds.
	Started int64
	// MaxBodyMemory bounds the memory of the request bodies that are being received or
	// sent, in bytes; 0 means defaultBodyMemory. MaxResponseMemory is the same for responses;
	// 0 means bytebudget.DefaultLimit.
	MaxBodyMemory, MaxResponseMemory int64

	localPool, remotePool *upstream.Pool
	// ctx ends with Close.
	ctx  context.Context
	stop context.CancelFunc
	// requestsCtx ends the requests in progress.
	requestsCtx    context.Context
	endRequests    context.CancelFunc
	stopsAt        atomic.Int64 // see StopsAt
	startedAt      time.Duration
	engineGaugesAt time.Duration
	engineRates    map[string]loggedRates // by service
	draining       atomic.Bool
	refuseNew      atomic.Bool
	inFlight       atomic.Int64
	awaitingConfig atomic.Int64 // requests that wait for the first configuration
	requestMetrics requestMetrics

	mu               sync.Mutex
	placer           *placement.Placer
	path             *attachment.Monitor // to the targets of this region
	probing          bool                // probeTargets runs
	buckets          map[string]*shares.Bucket
	retryBudgets     map[string]*shares.RetryBudget
	hosts            map[string]*peerHost
	remoteRegions    map[string]*placement.RemoteRegion // other regions, by name
	endedEvacuations map[string]endedEvacuation
	// regionLastHeard is when a control host of a region last responded.
	regionLastHeard map[string]time.Duration
	// hostsRequestedAt is when the list of hosts was last requested. totalHosts is the
	// number of entry hosts, including those that the list omits; 0 if it is unknown.
	hostsRequestedAt time.Duration
	// departuresForgottenAt is when old departures were last removed from the table.
	departuresForgottenAt time.Duration
	totalHosts            int
	appliedAt             time.Duration // time of the last response of a control host
	contact               time.Duration // time in contact since targets were last confirmed
	placedRevision        uint64        // revision of Table that the placer uses
	// peerSet has the entry hosts of this region, which send to the same targets. sharingHosts
	// are those among which the slots of brittle targets were last divided.
	peerSet      *shares.PeerSet
	sharingHosts []string
	paceLease    shares.PartitionLease // of the pace of cold targets, and of the permits of limited ones
	buffers      bytebudget.Budget     // of the parts of responses that are kept
	bodies       bytebudget.Budget     // of the bodies of requests
	origins      *origins.Store        // of the streams that began at this host
	quarantine   *suspects.Quarantine
	shortages    *room.Shortages // of the services in this region
	offers       *room.Offers    // of other regions
	schedule     *room.Schedule  // of the callers that come back
	loggedRoom   map[string]int  // the step of the pressure that was last logged, by service
	usagePlanner *usagerelay.Planner
	usagePlan    usagerelay.Plan // the latest one
	usageHub     *usagerelay.Hub
	usageAt      map[string]time.Duration // of the newest usage report, by host
	crashChecks  map[string]*crashCheck   // by target
}

// peerHost is another entry host.
type peerHost struct {
	*syncpb.EntryHost
	lastHeard  time.Duration
	detachment detachment
	// partitions are those that the host said at partitionsAt that it holds.
	partitions   shares.PartitionSet
	partitionsAt time.Duration
}

// endedEvacuation records the end of an evacuation of a data centre.
type endedEvacuation struct {
	index uint64
	at    time.Duration
}

type requestMetrics struct {
	requests, served, refused, broken, retries, forwarded, resumed, quarantined, unframed, keptSilent, detached, displaced, yielded, hopeless, coldSends, coldWithheld, limitedSends, limitedWithheld metrics.Counter
	firstByte, total                                                                                                                                                                                  metrics.Timer
	leftOut                                                                                                                                                                                           map[placement.Cause]metrics.Counter
}

// Init prepares the gateway after its fields are set. prefillSpeed is the prefill speed
// of an engine in prompt tokens per second.
func (g *Gateway) Init(prefillSpeed float64) {
	g.startedAt, g.engineRates = sinceBoot(), map[string]loggedRates{}
	g.bodies.Limit, g.buffers.Limit = cmp.Or(g.MaxBodyMemory, defaultBodyMemory), g.MaxResponseMemory
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.requestsCtx, g.endRequests = context.WithCancel(context.Background())
	g.localPool, g.remotePool = upstream.NewPool(localDialTimeout), upstream.NewPool(remoteDialTimeout)
	g.path = attachment.NewMonitor()
	dials := metrics.GetOrRegisterCounter("gateway.connections_opened", g.Metrics)
	g.localPool.OnDial, g.localPool.OnPath = func() { dials.Inc(1) }, g.recordPath
	g.placer = placement.New(placement.DefaultEngine(prefillSpeed), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	g.placer.DataCentre = g.DataCentre
	g.buckets, g.retryBudgets = map[string]*shares.Bucket{}, map[string]*shares.RetryBudget{}
	g.hosts, g.remoteRegions, g.endedEvacuations = map[string]*peerHost{}, map[string]*placement.RemoteRegion{}, map[string]endedEvacuation{}
	g.regionLastHeard = map[string]time.Duration{}
	g.origins = origins.NewStore()
	g.quarantine, g.crashChecks = suspects.NewQuarantine(), map[string]*crashCheck{}
	g.shortages, g.offers = room.NewShortages(), room.NewOffers()
	g.schedule, g.loggedRoom = room.NewSchedule(), map[string]int{}
	g.usagePlanner, g.usageHub, g.usageAt = usagerelay.NewPlanner(g.Name), usagerelay.NewHub(rand.Uint64()), map[string]time.Duration{}
	g.peerSet = shares.NewPeerSet(g.Name, g.startedAt)
	g.placer.PaceShare = func(now time.Duration, target string, limit int) int {
		return g.paceLease.Held(now).Permits(target, limit)
	}
	g.placer.HeldPartitions = g.paceLease.Held
	g.placer.Reachable = func(now time.Duration, region string) bool { return now-g.regionLastHeard[region] < regionTimeout }
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("gateway."+name, g.Metrics)
	}
	g.requestMetrics = requestMetrics{requests: counter("requests"), served: counter("served"), refused: counter("refused"),
		broken: counter("broken"), retries: counter("retries"), forwarded: counter("forwarded"), resumed: counter("resumed"), quarantined: counter("quarantined"), unframed: counter("unframed_responses"), keptSilent: counter("silent_targets_kept"), detached: counter("detached"), displaced: counter("displaced"), yielded: counter("yielded"), hopeless: counter("refused_without_room"), coldSends: counter("cold_sends"), coldWithheld: counter("cold_withheld"), limitedSends: counter("limited_sends"), limitedWithheld: counter("limited_withheld"),
		leftOut: map[placement.Cause]metrics.Counter{placement.CauseLeaving: counter("targets_leaving"), placement.CausePause: counter("targets_paused"),
			placement.CauseRejection: counter("brittle_rejections")},
		firstByte: metrics.GetOrRegisterTimer("gateway.first_byte", g.Metrics),
		total:     metrics.GetOrRegisterTimer("gateway.total", g.Metrics)}
}

// Close ends the probes of targets.
func (g *Gateway) Close() { g.stop() }

// SetPolicy sets the target selection policy. It must be called before the first request.
func (g *Gateway) SetPolicy(p placement.Policy) { g.placer.Policy = p }

// Drain starts draining: responses ask callers to close their connections, and Ready
// reports false.
func (g *Gateway) Drain() { g.draining.Store(true) }

// StopsAt sets the time at which a draining host ends the requests in progress.
func (g *Gateway) StopsAt(at time.Duration) { g.stopsAt.Store(int64(at)) }

// Draining reports whether Drain was called.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// Ready reports whether the host has a configuration and is not draining.
func (g *Gateway) Ready() bool {
	v := g.Views.Current()
	return v != nil && v.Config != nil && !g.Draining()
}

// RefuseNew makes the host refuse new requests, because they could not complete
// before it stops.
func (g *Gateway) RefuseNew() { g.refuseNew.Store(true) }

// EndRequests ends the requests in progress: their callers are told that it is unknown
// whether they ran. It is called at the end of a stop.
func (g *Gateway) EndRequests() { g.endRequests() }

// refuseLate returns a refusal if this host is stopping and would send a request, of which no
// target has got anything, so late that it may not end: after RefuseNew, or if it is expected
// to take longer than the host has left.
func (g *Gateway) refuseLate(now time.Duration, x *requestState, total time.Duration) error {
	if total > g.endsIn(now, x) {
		return errStopping()
	}
	return nil
}

// endsIn returns how long this host may still take for a request: until it stops, nothing
// after RefuseNew, and room.NoEnd if it is not stopping or a target may have got the request.
func (g *Gateway) endsIn(now time.Duration, x *requestState) time.Duration {
	if x.ran != refusal.NotRun || x.responseStarted || !g.Draining() {
		return room.NoEnd
	}
	if g.refuseNew.Load() {
		return -1
	}
	if stopsAt := time.Duration(g.stopsAt.Load()); stopsAt > 0 {
		return stopsAt - now
	}
	return room.NoEnd
}

func errStopping() error {
	return refusal.New(refusal.Draining, refusal.NotRun, "this host is shutting down").WithRetry(time.Millisecond)
}

// ConfigurationFresh reports whether the configuration is younger than half of
// KeyMaxStaleness, so that keys can still be accepted on it for some time.
func (g *Gateway) ConfigurationFresh() bool {
	age, known := g.Views.Age(sinceBoot())
	return known && age < g.Bounds.KeyMaxStaleness/2
}

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// requestState is the state of one caller's request.
type requestState struct {
	call             Call
	view             *View
	viewAge          time.Duration
	route            *document.Route
	workspace        *document.Workspace
	service          string
	urgency          int
	header           http.Header
	body             []byte
	bodyPart         bytebudget.Buffer
	bodyLate         bool // the deadline was reached before the end of the body
	request          *http.Request
	placementRequest placement.Request
	level            room.Level
	// decision and pressure are those of the latest choice. shortageKnown is set when the request
	// was counted among those that may be short of room.
	decision      room.Decision
	foundRoom     bool // and is not counted as accepted yet
	pressure      room.Pressure
	shortageKnown bool
	suspectKeys   []uint64
	started       time.Duration
	hostWait      time.Duration // spent waiting for the body or the start of this host, or for connections that failed
	silentWait    time.Duration // spent waiting for a target that does not acknowledge the request
	deadline      time.Duration
	reservation   *reservation

	sends           int // attempts that were sent to a target
	triedTargets    map[string]bool
	triedRegions    map[string]bool // regions that the request was forwarded to
	ran             refusal.Ran
	target          string
	software        string // of the latest target in this region
	forwardHost     string
	ttfb            time.Duration    // time to first byte
	choice          placement.Choice // the latest one, also if the request was then refused
	resumes         int
	status          int
	latest          *sendAttempt // nil before the first one
	responseStarted bool
	// replacement is the next attempt of a request whose target is silent; nil if none.
	replacement *sendAttempt
	form        responseForm // of the started response
	lastEvent   string       // id of the last event written to the caller
	unnumbered  bool         // an event with data but without id was written
	// origin is what began the stream; nil before its first event, or if it is unknown.
	origin *origins.Origin
	// originSource is how the origin of a stream that its caller resumes was found, or "".
	originSource string
	lastEventAt  time.Duration
	// unreachablePeers are the hosts of this region to which no connection was opened.
	unreachablePeers map[string]bool
}

// ServeHTTP serves a caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.requestMetrics.requests.Inc(1)
	defer g.abortOnPanic("request", r)
	x := &requestState{started: sinceBoot(), request: r, ran: refusal.NotRun, triedTargets: map[string]bool{}, triedRegions: map[string]bool{}}
	if g.Draining() {
		w.Header().Set("Connection", "close")
	}
	defer func() { x.bodyPart.Release() }()
	err := g.serve(w, x)
	g.finish(w, x, err)
}

// abortOnPanic logs and counts a panic of a handler, which ends only the connection of its
// request.
func (g *Gateway) abortOnPanic(what string, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		metrics.GetOrRegisterCounter("panics", g.Metrics).Inc(1)
		g.Log.WithFields(logrus.Fields{"in": what, "path": r.URL.Path, "stack": string(debug.Stack())}).Errorf("unexpected error: %v", v)
	}
	panic(http.ErrAbortHandler)
}

func (g *Gateway) serve(w http.ResponseWriter, x *requestState) error {
	if g.refuseNew.Load() {
		return errStopping()
	}
	var err error
	if x.call, err = g.CallerProtocol.Decode(x.request); err != nil {
		return refusal.New(refusal.InvalidRequest, refusal.NotRun, "%v", err)
	}
	if !intake.FromContext(x.request.Context()).Begin() {
		w.Header().Set("Connection", "close")
		return refusal.New(refusal.Overloaded, refusal.NotRun, "other requests use the memory").WithRetry(bodyRetryAfter)
	}
	g.awaitConfiguration(x)
	if err := g.identify(x); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(x.request.Context(), x.deadline-x.started)
	defer cancel()
	defer context.AfterFunc(g.requestsCtx, cancel)()
	if err := g.readBody(w, x); err != nil {
		return err
	}
	x.suspectKeys = suspectKeys(x)
	if err := g.checkQuarantine(x); err != nil {
		return err
	}
	if err := g.findOrigin(ctx, x); err != nil {
		return err
	}
	if err := g.reserve(ctx, x); err != nil {
		return err
	}
	err = g.run(ctx, w, x)
	if x.reservation != nil && err != nil && x.ran == refusal.NotRun && !x.responseStarted {
		g.refund(x.reservation)
	}
	if err != nil && !x.responseStarted && g.requestsCtx.Err() != nil && x.request.Context().Err() == nil {
		return refusal.New(refusal.Draining, x.ran, "this host is shutting down: %v", err).WithRetry(minRetryAfter)
	}
	if err != nil && !x.responseStarted && ctx.Err() != nil && x.request.Context().Err() == nil {
		return refusal.New(refusal.Deadline, x.ran, "request deadline exceeded: %v", err).WithRetry(minRetryAfter)
	}
	return err
}

// identify looks up route and workspace in the newest view and sets the deadline.
func (g *Gateway) identify(x *requestState) error {
	x.view = g.Views.Current()
	age, _ := g.Views.Age(x.started)
	x.viewAge = age
	if !g.Views.usable() {
		return refusal.New(refusal.Draining, refusal.NotRun, "this host has no configuration yet").WithRetry(g.startRetryAfter())
	}
	host := x.request.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path := intake.SentPath(x.request)
	x.route = x.view.Config.Route(host, path)
	if x.route == nil {
		return g.deny(age, refusal.New(refusal.NoRoute, refusal.NotRun, "no route for %s%s", host, path))
	}
	if err := g.authenticate(x, age); err != nil {
		return err
	}
	x.service, x.urgency = pickService(x.route.Split), g.urgency(x)
	limit := x.route.Timeout
	if timeout := x.call.Timeout; timeout > 0 && timeout-callerDeadlineMargin < limit {
		limit = timeout - callerDeadlineMargin
	}
	x.deadline = x.started + max(0, limit)
	x.level = room.LevelOf(x.route.Priority, len(x.route.HomeRegions) > 0 || x.workspace != nil && len(x.workspace.HomeRegions) > 0)
	x.placementRequest = placement.Request{Service: x.service, Model: x.call.Model, Segments: x.call.Segments, PromptTokens: x.call.PromptTokens, OutputTokens: x.call.MaxOutputTokens, ExpectedOutput: x.call.ExpectedOutput,
		Objective: x.route.FirstByteObjective, RegionBound: len(x.route.HomeRegions) > 0 || x.workspace != nil && len(x.workspace.HomeRegions) > 0}
	return nil
}

// deny returns the refusal e for a missing route or key if the view is fresh, and
// NoQuorum otherwise.
func (g *Gateway) deny(age time.Duration, e *refusal.Error) error {
	if age > g.Bounds.DenyMaxStaleness {
		return refusal.New(refusal.NoQuorum, refusal.NotRun, "configuration may be stale: last confirmed %s ago", age).WithRetry(stateRetryAfter)
	}
	return e
}

func (g *Gateway) authenticate(x *requestState, age time.Duration) error {
	x.workspace = x.view.Config.WorkspaceByKey(x.call.Key)
	if x.route.Public || len(x.view.Config.Workspaces) == 0 {
		return nil
	}
	if age > g.Bounds.KeyMaxStaleness {
		return refusal.New(refusal.NoQuorum, refusal.NotRun, "keys cannot be verified: configuration last confirmed %s ago", age).WithRetry(stateRetryAfter)
	}
	if x.workspace == nil {
		return g.deny(age, refusal.New(refusal.Unauthenticated, refusal.NotRun, "unknown key"))
	}
	return nil
}

// checkKeyLease returns a refusal if the time for which the key of a request counts as valid
// has run out since it was checked: this process may have stood still, or the caller may
// have sent its body slowly.
func (g *Gateway) checkKeyLease(now time.Duration, x *requestState) error {
	if x.workspace == nil || x.view == nil || x.route.Public {
		return nil
	}
	if age, known := g.Views.Age(now); !known || age > g.Bounds.KeyMaxStaleness {
		return refusal.New(refusal.NoQuorum, refusal.NotRun, "keys cannot be verified any more: configuration last confirmed %s ago", age).WithRetry(stateRetryAfter)
	}
	if w := g.Views.Current().Config.WorkspaceByKey(x.call.Key); w == nil || w.Name != x.workspace.Name {
		return refusal.New(refusal.NoQuorum, refusal.NotRun, "the key was withdrawn meanwhile").WithRetry(stateRetryAfter)
	}
	return nil
}

// pickService chooses a service at random by weight.
func pickService(split []document.WeightedService) string {
	total := 0
	for _, s := range split {
		total += s.Weight
	}
	n := rand.IntN(max(1, total))
	for _, s := range split {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return ""
}

// readBody reads the body of a request. All bodies together keep to MaxBodyMemory.
func (g *Gateway) readBody(w http.ResponseWriter, x *requestState) error {
	limit := x.view.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	began := sinceBoot()
	// A caller that sends slowly is late by itself; its targets are not overloaded for that.
	defer func() { x.hostWait += sinceBoot() - began }()
	var err error
	if account := intake.FromContext(x.request.Context()); account != nil {
		account.SetWorkspace(x.workspaceName())
		x.bodyPart = g.bodies.BufferOf(account)
	} else {
		x.bodyPart = g.bodies.Buffer()
	}
	x.body, err = requestbody.Read(w, x.request, limit, time.Now().Add(x.deadline-began), &x.bodyPart)
	switch {
	case errors.Is(err, requestbody.ErrTooLarge):
		return refusal.New(refusal.TooLarge, refusal.NotRun, "request body exceeds %d bytes", limit)
	case errors.Is(err, requestbody.ErrNoMemory):
		return refusal.New(refusal.Overloaded, refusal.NotRun, "%v", err).WithRetry(bodyRetryAfter)
	case errors.Is(err, requestbody.ErrDeadline):
		x.bodyLate = true
		return refusal.New(refusal.Deadline, refusal.NotRun, "%v", err).WithRetry(minRetryAfter)
	case err != nil:
		return fmt.Errorf("%w: read request body: %v", errCallerGone, err)
	}
	x.placementRequest.BodyBytes = len(x.body)
	x.header = g.TargetProtocol.RequestHeader(x.request.Header)
	return nil
}

var (
	// errCallerGone means that the caller has disconnected.
	errCallerGone = errors.New("gateway: caller disconnected")
	// errTruncated means that a response was started and cannot be completed.
	errTruncated = errors.New("gateway: response truncated")
)

// finish writes a refusal, or aborts the connection so that the caller notices a
// truncated response, and logs the request.
func (g *Gateway) finish(w http.ResponseWriter, x *requestState, err error) {
	// The HTTP server also ends the context when the deadline of a read is reached.
	callerGone := err != nil && (errors.Is(err, errCallerGone) || x.request.Context().Err() != nil && !x.bodyLate)
	outcome := "served"
	switch {
	case err == nil:
		g.requestMetrics.served.Inc(1)
	case callerGone:
		outcome = "caller_left"
	case x.responseStarted:
		outcome = "cut"
		g.requestMetrics.broken.Inc(1)
	default:
		e := refusal.From(err)
		e.Ran = weakerRan(x.ran, e.Ran)
		outcome = string(e.Code)
		g.requestMetrics.refused.Inc(1)
		metrics.GetOrRegisterCounter("gateway.refusals."+outcome, g.Metrics).Inc(1)
		if x.request.ProtoMinor == 0 || e.Code == refusal.InvalidRequest || e.Code == refusal.TooLarge {
			w.Header().Set("Connection", "close")
		}
		g.CallerProtocol.WriteRefusal(w, x.call.ID, e)
	}
	g.logRequest(x, outcome, err)
	if callerGone || outcome == "cut" {
		panic(http.ErrAbortHandler)
	}
}

// weakerRan returns the weaker of two guarantees about execution.
func weakerRan(a, b refusal.Ran) refusal.Ran {
	if a == refusal.NotRun {
		return b
	}
	return a
}

func (g *Gateway) logRequest(x *requestState, outcome string, err error) {
	total := sinceBoot() - x.started
	g.requestMetrics.total.Update(total)
	if x.ttfb > 0 {
		g.requestMetrics.firstByte.Update(x.ttfb)
	}
	fields := logrus.Fields{"id": x.call.ID, "outcome": outcome, "total_ms": total.Milliseconds()}
	if x.route != nil {
		fields["route"], fields["version"] = x.route.Name, x.view.Config.Version
		fields["config_age_ms"], fields["limit_ms"] = x.viewAge.Milliseconds(), (x.deadline - x.started).Milliseconds()
	}
	if x.workspace != nil {
		fields["workspace"] = x.workspace.Name
	}
	if x.target != "" {
		fields["target"], fields["sends"] = x.target, x.sends
		fields["first_ms"], fields["status"] = x.ttfb.Milliseconds(), x.status
	}
	addChoiceFields(fields, x.choice)
	addRoomFields(fields, x)
	if x.call.PromptTokens > 0 {
		fields["prompt"], fields["output"], fields["likely"] = x.call.PromptTokens, x.call.MaxOutputTokens, x.call.ExpectedOutput
	}
	if x.forwardHost != "" {
		fields["forward"] = x.forwardHost
	}
	if x.latest != nil {
		x.latest.addEndFields(fields)
	}
	if x.software != "" {
		fields["software"] = x.software
	}
	if x.call.LastEvent != "" {
		fields["after_event"], fields["resumed_attempt"], fields["origin"] = x.call.LastEvent, x.call.Resumes, x.originSource
	}
	if x.lastEvent != "" {
		fields["resumes"], fields["last_event"] = x.resumes, x.lastEvent
	}
	if err != nil {
		fields["ran"], fields["error"] = string(x.ran), err.Error()
	}
	g.Log.WithFields(fields).Info("request")
}

// addChoiceFields adds the estimates on which a target choice was based.
func addChoiceFields(fields logrus.Fields, c placement.Choice) {
	if c.TTFB == 0 {
		return
	}
	fields["expected_ms"], fields["expected_end_ms"] = c.TTFB.Milliseconds(), c.Total.Milliseconds()
	if c.Target != nil {
		fields["running"], fields["unread"], fields["memory"] = c.Usage.Running, int64(c.Usage.PrefillTokens), c.Usage.MemoryTokens
		fields["arriving"] = int64(c.Usage.Arriving)
		fields["usage_age_ms"], fields["cached"] = c.UsageAge.Milliseconds(), c.CachedTokens
	}
}
