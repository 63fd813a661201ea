package fleetsync

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/departures"
	"geraniumturn.example/geraniumturn/internal/doctransfer"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/origins"
	"geraniumturn.example/geraniumturn/internal/recovery"
	"geraniumturn.example/geraniumturn/internal/registry"
	"geraniumturn.example/geraniumturn/internal/shares"
)

const (
	// relayInterval is the time between relay rounds among control hosts. All of them
	// know that a target has left after at most this time plus one network delay.
	relayInterval = 150 * time.Millisecond
	relayTimeout  = 700 * time.Millisecond
	// roundsPerPresenceReport is the number of relay rounds per report of the entry
	// hosts. entryTimeout covers several such reports.
	roundsPerPresenceReport = 4
	// maxGrantAge bounds the age of the demands that are relayed to the leader and of
	// the grants that are returned to entry hosts.
	maxGrantAge = 2 * time.Second
)

// Leadership reports the state of the replicated log on this host.
type Leadership interface {
	// Lease returns the term in which this host leads; false if it does not lead now.
	Lease() (term uint64, ok bool)
	// LeaderHost returns the peer address of the leader, or "" if it is unknown.
	LeaderHost() string
	// StateAge returns an upper bound on the age of the applied state; false means
	// that the age is unknown.
	StateAge() (time.Duration, bool)
	// MemberHosts returns the peer addresses of the members of the log.
	MemberHosts() []string
}

// DepartureStore stores the departures of targets on the disk of this host.
type DepartureStore interface {
	// Save replaces what is stored. The records are durable when it returns.
	Save([]registry.Record) error
}

// Server serves the RPCs of entry hosts and of other control hosts on a control host.
type Server struct {
	Self       *syncpb.ControlHost
	Leadership Leadership
	Document   *document.Machine
	Targets    *registry.Table
	Presence   *Presence
	Dial       func(address string) drpc.Conn
	// InvalidRecords is called with the address of a control host that sent records that
	// were skipped.
	InvalidRecords func(control string, err error)
	// OnPanic is called with an unexpected error, which ends one relay round only.
	OnPanic func(err error)
	// Departures stores the departures that this host acknowledges. Load the table from it
	// before the server starts.
	Departures DepartureStore
	// LostDisks is the number of control hosts with their disks whose loss an acknowledged
	// departure outlives.
	LostDisks int
	// OnDeparture is called with the first record of a departure that another control host
	// has told, and with its address.
	OnDeparture func(r registry.Record, control string)
	// OnDepartureError is called when departures could not be stored.
	OnDepartureError func(err error)
	// RegionCount is the number of regions of the deployment.
	RegionCount int
	// Incarnation identifies this process, so that a cursor issued by an earlier one
	// is not used.
	Incarnation uint64
	startedAt   time.Duration
	origins     *origins.Store // of the streams that entry hosts have reported
	documents   *doctransfer.Source
	mu          sync.Mutex
	// allocator and partitions are those of the term in which this host last led.
	allocator  *shares.Allocator
	partitions *shares.PartitionAllocator
	term       uint64
	// newestReport is the time at which each host sent the newest report that the
	// allocator has processed.
	newestReport map[string]time.Duration
	demands      map[string]*hostDemands // to relay to the leader, by host
	grants       map[string]*hostGrants  // from the leader, by host
	// originCursors are by the address of the control host.
	originCursors map[string]relayCursor
	ledger        *departures.Ledger
	refs          relayState
	// largeResponses is the number of responses with many targets that are not written yet.
	largeResponses atomic.Int64
	// departureWake receives when departures may have to be stored or told.
	departureWake chan struct{}
}

type hostGrants struct {
	*syncpb.HostGrants
	// asOf is when the host sent the demands for which the grants were made.
	asOf time.Duration
}

// Init prepares the server. It must run before the server is registered for calls.
func (s *Server) Init() {
	s.startedAt, s.origins, s.originCursors = clock.SinceBoot(), origins.NewStore(), map[string]relayCursor{}
	s.documents = doctransfer.NewSource(controlTransfers, controlContentBytes)
	s.refs = newRelayState()
	s.ledger = departures.NewLedger(s.Targets, departures.Control{Address: s.Self.GetPeer(), Region: s.Self.GetRegion()}, s.LostDisks)
	s.departureWake = make(chan struct{}, 1)
	s.demands, s.grants, s.newestReport = map[string]*hostDemands{}, map[string]*hostGrants{}, map[string]time.Duration{}
}

// Exchange implements the drpc service.
func (s *Server) Exchange(ctx context.Context, in *syncpb.ExchangeRequest) (*syncpb.ExchangeResponse, error) {
	out := s.exchange(clock.SinceBoot(), in)
	if len(out.GetTargets()) >= largeResponse {
		s.largeResponses.Add(1)
		context.AfterFunc(ctx, func() { s.largeResponses.Add(-1) }) // the RPC ends when the response is written
	}
	return out, nil
}

func (s *Server) exchange(now time.Duration, in *syncpb.ExchangeRequest) *syncpb.ExchangeResponse {
	s.Presence.RecordEntry(now, in.GetHost(), true)
	addOrigins(now, in.GetOrigins(), s.origins.Record)
	out := &syncpb.ExchangeResponse{}
	s.addControls(now, in, out)
	// The age is read before the state, so that it is an upper bound on the age of the
	// state.
	age, known := s.Leadership.StateAge()
	state, _ := s.Document.State()
	out.Known, out.AgeMs, out.Index, out.Version = known, age.Milliseconds()+1, state.Index, state.Version
	s.addContent(in, state, out)
	out.Evacuated, out.Restored = encodeEvacuations(state.Evacuated), encodeEvacuations(state.Restored)
	s.addTargets(now, in, out)
	switch {
	case in.GetWantHosts() && in.GetDelta():
		s.addHosts(now, in, out)
	case in.GetWantHosts():
		// A silent host may still send requests to targets, so the other hosts of its
		// region go on reserving its part of the shared limits.
		all := s.Presence.entriesHeardWithin(now, entryRetention)
		out.Hosts = hostsForRegion(all, in.GetHost().GetRegion())
		if now-s.startedAt >= shares.DiscoveryPeriod {
			out.TotalHosts = int64(len(all))
		}
	}
	if in.GetHost().GetName() == "" {
		return out
	}
	if g := s.grantsFor(now, demandsOf(in)); g != nil {
		out.Granted, out.Grants, out.Partitions, out.GrantsAgeMs = true, g.GetGrants(), g.GetPartitions(), g.GetAgeMs()
	}
	return out
}

// demandsOf returns what an entry host reports of its part of shared limits.
func demandsOf(in *syncpb.ExchangeRequest) *syncpb.HostDemands {
	h := in.GetHost()
	out := &syncpb.HostDemands{Host: h.GetName(), Demands: in.GetDemands(), UptimeMs: in.GetUptimeMs(), Started: h.GetStarted()}
	if h.GetPaceLease() {
		out.Region, out.Partitions = h.GetRegion(), in.GetPartitions()
	}
	return out
}

// hostsPerOtherRegion is the number of hosts of each other region in a response.
const hostsPerOtherRegion = 4

// hostsForRegion returns the hosts that an entry host of the region needs. Of its own
// region these are all hosts, including silent ones; their loads are omitted, because they
// are those of the same targets. Of each other region they are the least loaded hosts that
// reported within entryTimeout, so that the response does not grow with the fleet.
func hostsForRegion(all []*syncpb.EntryHost, region string) []*syncpb.EntryHost {
	var out []*syncpb.EntryHost
	otherRegions := map[string][]*syncpb.EntryHost{}
	for _, h := range all {
		if h.GetRegion() == region {
			h.Loads = nil
			out = append(out, h)
		} else if h.GetHeardMs() <= entryTimeout.Milliseconds() {
			otherRegions[h.GetRegion()] = append(otherRegions[h.GetRegion()], h)
		}
	}
	for _, hosts := range otherRegions {
		slices.SortStableFunc(hosts, func(a, b *syncpb.EntryHost) int { return cmp.Compare(totalWait(a), totalWait(b)) })
		out = append(out, hosts[:min(len(hosts), hostsPerOtherRegion)]...)
	}
	return out
}

// totalWait returns the sort key for hosts by load: the sum of the expected waits of
// their services. Hosts that do not serve come last.
func totalWait(h *syncpb.EntryHost) int64 {
	if !h.GetServing() || len(h.GetLoads()) == 0 {
		return math.MaxInt64
	}
	var sum int64
	for _, l := range h.GetLoads() {
		sum += l.GetWaitMs()
	}
	return sum
}

func encodeEvacuations(m map[string]uint64) []*syncpb.Evacuation {
	var out []*syncpb.Evacuation
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, &syncpb.Evacuation{DataCentre: name, Index: m[name]})
	}
	return out
}

// grantsFor returns the grants for a host's demands, or nil. The leader allocates them at
// once; a follower returns those that the leader granted for an earlier report.
func (s *Server) grantsFor(now time.Duration, d *syncpb.HostDemands) *syncpb.HostGrants {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term, leads := s.Leadership.Lease(); leads {
		return s.allocate(now, term, d)
	}
	s.recordDemands(now, d)
	g := s.grants[d.GetHost()]
	if g == nil || now-g.asOf > maxGrantAge {
		return nil
	}
	if g.GetStarted() != d.GetStarted() {
		return nil // they are for an earlier process of the host
	}
	return &syncpb.HostGrants{Grants: g.GetGrants(), Partitions: g.GetPartitions(), AgeMs: (now - g.asOf).Milliseconds() + 1}
}

// allocate runs the allocators on the leader, with s.mu held. Those of an earlier term are
// not used: another host may have led in between. A host may report to several control
// hosts, so reports can arrive out of order; one that is older than the newest processed
// report is ignored, because its demands and fractions are out of date.
func (s *Server) allocate(now time.Duration, term uint64, d *syncpb.HostDemands) *syncpb.HostGrants {
	asOf := now - time.Duration(d.GetAgeMs())*time.Millisecond
	if asOf < s.newestReport[d.GetHost()] {
		return nil
	}
	s.newestReport[d.GetHost()] = asOf
	if s.allocator == nil || term != s.term {
		s.allocator, s.partitions, s.term = shares.NewAllocator(now, s.RegionCount), shares.NewPartitionAllocator(now), term
	}
	in := make([]shares.Demand, len(d.GetDemands()))
	for i, w := range d.GetDemands() {
		in[i] = shares.Demand{Workspace: w.GetWorkspace(), PerSecond: w.GetPerSecond(), HeldFraction: w.GetHeld(), Released: w.GetReleased()}
	}
	out := &syncpb.HostGrants{Host: d.GetHost(), AgeMs: d.GetAgeMs(), Started: d.GetStarted()}
	holder := shares.Holder{Host: d.GetHost(), StartMillis: d.GetStarted()}
	for _, g := range s.allocator.Report(now, holder, time.Duration(d.GetUptimeMs()+d.GetAgeMs())*time.Millisecond, in) {
		out.Grants = append(out.Grants, &syncpb.Grant{Workspace: g.Workspace, Fraction: g.Fraction, Unspent: g.Unspent})
	}
	if d.GetRegion() != "" && !s.Presence.lacksPaceLease(now, d.GetRegion()) {
		out.Partitions = uint64(s.partitions.Report(now, d.GetRegion(), holder, shares.PartitionSet(d.GetPartitions())))
	}
	return out
}

// Relay implements the drpc service.
func (s *Server) Relay(ctx context.Context, in *syncpb.RelayRequest) (*syncpb.RelayResponse, error) {
	return s.receiveRelay(ctx, clock.SinceBoot(), in)
}

func (s *Server) receiveRelay(ctx context.Context, now time.Duration, in *syncpb.RelayRequest) (*syncpb.RelayResponse, error) {
	s.Presence.RecordControl(now, in.GetFrom(), true)
	for _, c := range in.GetControls() {
		s.Presence.RecordControl(now, c, false)
	}
	unknownBeats, unknownReports := s.mergeBeats(now, in), s.mergeReports(now, in)
	addOrigins(now, in.GetOrigins(), s.origins.Merge)
	if in.GetStore() {
		if err := s.awaitStored(ctx); err != nil {
			return nil, err
		}
	}
	out := &syncpb.RelayResponse{Controls: s.Presence.Controls(now), Process: s.Incarnation, TakesRefs: true, UnknownBeats: unknownBeats, UnknownReports: unknownReports}
	s.mu.Lock()
	defer s.mu.Unlock()
	term, leads := s.Leadership.Lease()
	if !leads {
		return out, nil
	}
	for _, d := range in.GetDemands() {
		if d.GetAgeMs() < maxGrantAge.Milliseconds() {
			if granted := s.allocate(now, term, d); granted != nil {
				out.Grants = append(out.Grants, granted)
			}
		}
	}
	return out, nil
}

// Run relays to the other control hosts until ctx ends. seeds returns the peer
// addresses from the settings.
func (s *Server) Run(ctx context.Context, seeds func() []string) error {
	var background sync.WaitGroup
	defer background.Wait()
	background.Go(func() { s.keepDepartures(ctx, seeds) })
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		now := clock.SinceBoot()
		s.Targets.Expire(now)
		s.Presence.RecordControl(now, s.Self, true)
		for _, a := range seeds() {
			s.Presence.RecordControl(now, &syncpb.ControlHost{Peer: a}, false)
		}
		if err := recovery.Do(func() error { s.relay(ctx, now, seeds(), round%roundsPerPresenceReport == 0); return nil }); err != nil {
			s.OnPanic(err)
		}
		if !s.awaitRound(ctx, ticker) {
			return nil
		}
	}
}

// awaitRound waits for the next relay round. Until then it relays entry hosts that start
// or stop serving: the directory of every region must not learn of them later than
// callers. It reports false when ctx ends.
func (s *Server) awaitRound(ctx context.Context, ticker *time.Ticker) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
			return true
		case <-s.Presence.changed:
			now := clock.SinceBoot()
			request := &syncpb.RelayRequest{From: s.Self, Hosts: s.Presence.TakeChangedEntries(now)}
			for _, c := range s.Presence.Controls(now) {
				if address := c.GetPeer(); address != s.Self.GetPeer() && len(request.GetHosts()) > 0 {
					go func() { _, _ = s.relayTo(ctx, address, request) }() // the next round relays them again
				}
			}
		}
	}
}

// relayTo returns the process of the other control host.
func (s *Server) relayTo(ctx context.Context, address string, in *syncpb.RelayRequest) (process uint64, err error) {
	sent := clock.SinceBoot()
	out, err := s.callRelay(ctx, address, in)
	if err != nil {
		return 0, err
	}
	s.recordRelayResponse(clock.SinceBoot(), sent, address, out)
	return out.GetProcess(), nil
}

func (s *Server) callRelay(ctx context.Context, address string, in *syncpb.RelayRequest) (*syncpb.RelayResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return syncpb.NewDRPCSyncClient(s.Dial(address)).Relay(ctx, in)
}

// recordRelayResponse records what each response of a control host has.
func (s *Server) recordRelayResponse(now, sent time.Duration, address string, out *syncpb.RelayResponse) {
	for _, c := range out.GetControls() {
		s.Presence.RecordControl(now, c, c.GetPeer() == address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range out.GetGrants() {
		asOf := sent - time.Duration(g.GetAgeMs())*time.Millisecond
		if old := s.grants[g.GetHost()]; old == nil || asOf > old.asOf {
			s.grants[g.GetHost()] = &hostGrants{g, asOf}
		}
	}
}

// encodeRecords leaves out records that protobuf would refuse together with the whole
// message.
func encodeRecords(now time.Duration, records []registry.Record) []*syncpb.Target {
	out := make([]*syncpb.Target, 0, len(records))
	for _, r := range records {
		if r.Validate() != nil {
			continue
		}
		out = append(out, &syncpb.Target{Id: r.ID, Born: r.StartMillis, Sequence: r.Sequence, Service: r.Service, Address: r.Address,
			DataCentre: r.DataCentre, Software: r.Software, Slots: int32(r.Slots), State: uint32(r.State),
			ColdMs: warmupMillis(r.ColdUntil - now), Silent: r.Silent, Established: r.Established})
	}
	return out
}

// warmupMillis returns the rest of a warm-up, rounded up: if it ends early at another host, too
// many requests reach a target that is still cold.
func warmupMillis(rest time.Duration) int64 {
	if rest > registry.MaxWarmup {
		return rest.Milliseconds()
	}
	return int64((max(0, rest) + time.Millisecond - 1) / time.Millisecond)
}

// decodeRecords returns the valid records and an error that names the others.
func decodeRecords(now time.Duration, targets []*syncpb.Target) ([]registry.Record, error) {
	out := make([]registry.Record, 0, len(targets))
	var invalid error
	for _, t := range targets {
		r, err := decodeRecord(now, t)
		if err != nil {
			invalid = errors.Join(invalid, err)
			continue
		}
		out = append(out, r)
	}
	return out, invalid
}

func decodeRecord(now time.Duration, t *syncpb.Target) (registry.Record, error) {
	r := registry.Record{ID: t.GetId(), StartMillis: t.GetBorn(), Sequence: t.GetSequence(), Service: t.GetService(),
		Address: t.GetAddress(), DataCentre: t.GetDataCentre(), Software: t.GetSoftware(), Slots: int(t.GetSlots()),
		State: registry.State(min(t.GetState(), math.MaxUint8)), Silent: t.GetSilent(), Established: t.GetEstablished()}
	if err := r.Validate(); err != nil {
		return r, err
	}
	if t.GetColdMs() > registry.MaxWarmup.Milliseconds() {
		return r, fmt.Errorf("%w: target %q: cold for %d ms", registry.ErrInvalid, r.ID, t.GetColdMs())
	}
	if t.GetColdMs() > 0 {
		r.ColdUntil = now + time.Duration(t.GetColdMs())*time.Millisecond
	}
	return r, nil
}
