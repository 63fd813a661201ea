package fleetsync

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/references"
	"geraniumturn.example/geraniumturn/internal/registry"
	"geraniumturn.example/geraniumturn/internal/shares"
)

const (
	// idleDemandInterval is the time between relays of a host that neither demands nor holds
	// anything new. Its grants stay below maxGrantAge.
	idleDemandInterval = 900 * time.Millisecond
	// releaseRetention is how long a released rate is relayed: until a reservation of which
	// the leader was told before has surely ended.
	releaseRetention = shares.LeaseDuration + time.Second
)

// relayState is what control hosts tell each other by reference.
type relayState struct {
	beats       *references.Sender[registry.Key, registry.Record]
	reports     *references.Sender[string, *syncpb.EntryHost]
	toldBeats   *references.Receiver[registry.Record]
	toldReports *references.Receiver[*syncpb.EntryHost]
	// again has the targets and entry hosts that other control hosts, by address, did not
	// know by their refs. Server.mu guards it.
	again map[string]*toldAgain
}

type toldAgain struct {
	targets []registry.Key
	hosts   []string
}

func newRelayState() relayState {
	return relayState{
		beats: references.NewSender[registry.Key](func(r, earlier registry.Record, now time.Duration) bool { return r.Repeats(earlier, now) }),
		reports: references.NewSender[string](func(h, earlier *syncpb.EntryHost, _ time.Duration) bool {
			return sameEntry(h, earlier)
		}),
		toldBeats: references.NewReceiver[registry.Record](), toldReports: references.NewReceiver[*syncpb.EntryHost](),
		again: map[string]*toldAgain{},
	}
}

// KeptRecords returns the number of records that this host keeps by their refs for other
// control hosts.
func (s *Server) KeptRecords() int { return s.refs.toldBeats.Len() + s.refs.toldReports.Len() }

// LargeResponses returns the number of responses with many targets that are not written yet.
func (s *Server) LargeResponses() int64 { return s.largeResponses.Load() }

// relayMessage is a request to another control host with what its response confirms.
type relayMessage struct {
	address string
	request *syncpb.RelayRequest
	// beatRefs and reportRefs are those whose values the request tells in full.
	beatRefs, reportRefs []uint32
	originsNext          uint64
}

// nextRelays returns the messages of a relay round: what this host received since the last
// round. Demands of entry hosts go to the leader only.
func (s *Server) nextRelays(now time.Duration, seeds []string, withPresence bool) []relayMessage {
	controls := s.Presence.Controls(now)
	addresses := map[string]bool{}
	for _, c := range controls {
		addresses[c.GetPeer()] = true
	}
	for _, a := range seeds {
		addresses[a] = true
	}
	delete(addresses, s.Self.GetPeer())
	s.refs.prune(now, addresses)
	records := s.Targets.TakeHeartbeats()
	var hosts []*syncpb.EntryHost
	if withPresence {
		hosts = s.Presence.TakeDirectEntries(now)
	} else {
		controls = nil
	}
	leader := s.Leadership.LeaderHost()
	var out []relayMessage
	for a := range addresses {
		again := s.takeAgain(a)
		m := relayMessage{address: a, request: &syncpb.RelayRequest{From: s.Self, Process: s.Incarnation, Controls: controls}}
		s.addBeats(now, &m, append(s.recordsOf(again.targets), records...))
		s.addReports(now, &m, append(s.Presence.entriesOf(now, again.hosts), hosts...))
		if a == leader {
			m.request.Demands = s.dueDemands(now, leader)
		}
		m.request.Origins, m.originsNext = s.originsFor(now, a)
		in := m.request
		if a == leader || withPresence || len(in.GetTargets())+len(in.GetBeats())+len(in.GetOrigins())+len(in.GetHosts())+len(in.GetReports()) > 0 {
			out = append(out, m)
		}
	}
	return out
}

func (r *relayState) prune(now time.Duration, addresses map[string]bool) {
	r.beats.Prune(now, addresses)
	r.reports.Prune(now, addresses)
	r.toldBeats.Prune(now)
	r.toldReports.Prune(now)
}

func (s *Server) takeAgain(address string) toldAgain {
	s.mu.Lock()
	defer s.mu.Unlock()
	again := s.refs.again[address]
	if again == nil {
		return toldAgain{}
	}
	delete(s.refs.again, address)
	return *again
}

func (s *Server) recordsOf(keys []registry.Key) []registry.Record {
	var out []registry.Record
	for _, k := range keys {
		if r, ok := s.Targets.Lookup(k); ok {
			out = append(out, r)
		}
	}
	return out
}

// addBeats adds the targets from which this host has received heartbeats. Only targets that
// are ready go by reference: a departure is told in full each time.
func (s *Server) addBeats(now time.Duration, m *relayMessage, records []registry.Record) {
	for _, r := range records {
		if r.State != registry.Ready || r.Silent || !s.refs.beats.TakesRefs(m.address) {
			m.request.Targets = append(m.request.Targets, encodeRecords(now, []registry.Record{r})...)
			continue
		}
		ref, told := s.refs.beats.Ref(now, r.Key(), r)
		if !s.refs.beats.Knows(m.address, ref) {
			encoded := encodeRecords(now, []registry.Record{told})
			if len(encoded) == 0 {
				continue // invalid
			}
			encoded[0].Ref = ref
			m.request.Targets = append(m.request.Targets, encoded...)
			m.beatRefs = append(m.beatRefs, ref)
		}
		m.request.Beats = append(m.request.Beats, ref)
		m.request.Steps = append(m.request.Steps, r.Sequence-told.Sequence)
	}
}

// addReports adds the entry hosts that have reported to this host.
func (s *Server) addReports(now time.Duration, m *relayMessage, hosts []*syncpb.EntryHost) {
	for _, h := range hosts {
		if !s.refs.reports.TakesRefs(m.address) {
			m.request.Hosts = append(m.request.Hosts, h)
			continue
		}
		ref, _ := s.refs.reports.Ref(now, h.GetName(), h)
		if !s.refs.reports.Knows(m.address, ref) {
			full := copyEntry(h)
			full.Ref = ref
			m.request.Hosts = append(m.request.Hosts, full)
			m.reportRefs = append(m.reportRefs, ref)
			continue
		}
		m.request.Reports = append(m.request.Reports, &syncpb.HostAge{Ref: ref, HeardMs: h.GetHeardMs(), Loads: h.GetLoads()})
	}
}

// mergeBeats records the targets of a request and returns the refs that this host does not
// know. Departures are merged again from each host that tells them, since that is what its
// ledger waits for.
func (s *Server) mergeBeats(now time.Duration, in *syncpb.RelayRequest) (unknown []uint32) {
	peer, process := in.GetFrom().GetPeer(), in.GetProcess()
	var invalid error
	for _, t := range in.GetTargets() {
		r, err := decodeRecord(now, t)
		if err != nil {
			invalid = errors.Join(invalid, err)
			continue
		}
		if s.Targets.Merge(now, r) && r.State != registry.Ready {
			s.OnDeparture(r, peer)
		}
		if r.State == registry.Ready && !r.Silent {
			s.refs.toldBeats.Put(now, peer, process, t.GetRef(), r)
		}
	}
	if invalid != nil {
		s.InvalidRecords(peer, invalid)
	}
	if len(in.GetBeats()) != len(in.GetSteps()) {
		return in.GetBeats()
	}
	for i, ref := range in.GetBeats() {
		r, ok := s.refs.toldBeats.Get(now, peer, process, ref)
		if !ok {
			unknown = append(unknown, ref)
			continue
		}
		if step := in.GetSteps()[i]; step <= math.MaxInt64-r.Sequence {
			r.Sequence += step
		}
		if r.Validate() == nil {
			s.Targets.Merge(now, r)
		}
	}
	return unknown
}

// mergeReports records the entry hosts of a request and returns the refs that this host does
// not know.
func (s *Server) mergeReports(now time.Duration, in *syncpb.RelayRequest) (unknown []uint32) {
	peer, process := in.GetFrom().GetPeer(), in.GetProcess()
	for _, h := range in.GetHosts() {
		s.refs.toldReports.Put(now, peer, process, h.GetRef(), h)
		s.Presence.RecordEntry(now-clock.Millis(float64(h.GetHeardMs())), h, false)
	}
	for _, report := range in.GetReports() {
		told, ok := s.refs.toldReports.Get(now, peer, process, report.GetRef())
		if !ok {
			unknown = append(unknown, report.GetRef())
			continue
		}
		h := copyEntry(told)
		h.Loads = report.GetLoads()
		s.Presence.RecordEntry(now-clock.Millis(float64(report.GetHeardMs())), h, false)
	}
	return unknown
}

// relayed records the response of another control host to a message that was sent at sent.
func (s *Server) relayed(now, sent time.Duration, m relayMessage, out *syncpb.RelayResponse) {
	s.recordRelayResponse(now, sent, m.address, out)
	process := out.GetProcess()
	s.ledger.Observe(m.address, process)
	targets := s.refs.beats.Confirm(m.address, process, out.GetTakesRefs(), m.beatRefs, out.GetUnknownBeats())
	hosts := s.refs.reports.Confirm(m.address, process, out.GetTakesRefs(), m.reportRefs, out.GetUnknownReports())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRelayed(m.address, process, m.originsNext)
	if len(targets)+len(hosts) > 0 {
		again := s.refs.again[m.address]
		if again == nil {
			again = &toldAgain{}
			s.refs.again[m.address] = again
		}
		again.targets, again.hosts = append(again.targets, targets...), append(again.hosts, hosts...)
	}
}

// relay sends the messages of a round. They have a timeout and are not waited for: a slow
// host must not delay the next round.
func (s *Server) relay(ctx context.Context, now time.Duration, seeds []string, withPresence bool) {
	for _, m := range s.nextRelays(now, seeds, withPresence) {
		go func() {
			out, err := s.callRelay(ctx, m.address, m.request)
			if err != nil {
				s.demandsLost(m) // the next rounds relay later heartbeats and reports
				return
			}
			s.relayed(clock.SinceBoot(), now, m, out)
		}()
	}
}

// dueDemands returns the demands of entry hosts that the leader has to be told now: of hosts
// that demand a rate with each round, of others each report once, or less often if it says
// nothing new.
func (s *Server) dueDemands(now time.Duration, leader string) []*syncpb.HostDemands {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*syncpb.HostDemands
	for host, d := range s.demands {
		age := now - d.heardAt
		if age > releaseRetention {
			delete(s.demands, host)
			continue
		}
		if age > maxGrantAge || !d.due(now, leader) {
			continue
		}
		d.relayedTo, d.relayedAt, d.relayedReport = leader, now, d.HostDemands
		out = append(out, &syncpb.HostDemands{Host: host, Demands: d.unreleased(now), UptimeMs: d.GetUptimeMs(), AgeMs: age.Milliseconds(),
			Region: d.GetRegion(), Started: d.GetStarted(), Partitions: d.GetPartitions()})
	}
	return out
}

// demandsLost makes the demands of a message that was not delivered due again.
func (s *Server) demandsLost(m relayMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range m.request.GetDemands() {
		if known := s.demands[d.GetHost()]; known != nil {
			known.relayedTo = ""
		}
	}
}

// recordDemands records the report of an entry host. s.mu must be held.
func (s *Server) recordDemands(now time.Duration, in *syncpb.HostDemands) {
	d := s.demands[in.GetHost()]
	if d == nil || d.GetStarted() != in.GetStarted() {
		d = &hostDemands{unreleasedAt: map[string]time.Duration{}}
		s.demands[in.GetHost()] = d
	}
	d.HostDemands, d.heardAt = in, now
	for _, w := range in.GetDemands() {
		if _, known := d.unreleasedAt[w.GetWorkspace()]; !known || !w.GetReleased() {
			d.unreleasedAt[w.GetWorkspace()] = now
		}
	}
}

type hostDemands struct {
	*syncpb.HostDemands
	heardAt time.Duration
	// unreleasedAt is when the host last reported a demand for each workspace, or reported it
	// for the first time.
	unreleasedAt map[string]time.Duration
	// relayedReport was relayed to a leader at relayedAt.
	relayedReport *syncpb.HostDemands
	relayedTo     string
	relayedAt     time.Duration
}

func (d *hostDemands) due(now time.Duration, leader string) bool {
	switch {
	case d.relayedTo != leader || d.demandsRate():
		return true
	case d.relayedReport == d.HostDemands:
		return false
	}
	return now-d.relayedAt >= idleDemandInterval || d.GetPartitions() != d.relayedReport.GetPartitions() || len(d.unreleased(now)) > 0
}

// demandsRate reports whether the host demands or holds a rate. Its report is relayed with each
// round, because what the leader can grant changes with the reports of others: a holder that
// waits for its next report would get its fraction seconds after the one before it has left.
func (d *hostDemands) demandsRate() bool {
	return slices.ContainsFunc(d.GetDemands(), func(w *syncpb.Demand) bool { return !w.GetReleased() })
}

// unreleased returns the demands without those that were released before releaseRetention: an
// allocator has no reservation left for them.
func (d *hostDemands) unreleased(now time.Duration) []*syncpb.Demand {
	return slices.DeleteFunc(slices.Clone(d.GetDemands()), func(w *syncpb.Demand) bool {
		return w.GetReleased() && now-d.unreleasedAt[w.GetWorkspace()] > releaseRetention
	})
}

func copyEntry(h *syncpb.EntryHost) *syncpb.EntryHost { return proto.Clone(h).(*syncpb.EntryHost) }
