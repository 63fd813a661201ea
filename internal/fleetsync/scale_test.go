package fleetsync

import (
	"context"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/registry"
)

const (
	simStep       = 50 * time.Millisecond
	simHeartbeat  = 1200 * time.Millisecond
	simRegions    = 3
	simControls   = 6
	simWorkspaces = 16
	// simSilence is the silence timeout of targets, simTold the time from a change at a
	// control host until all entry hosts have it: a relay round and an exchange.
	simSilence = 3 * time.Second
	simTold    = relayInterval + 2*sameRegionInterval + 2*simStep
)

// fleetSim runs control hosts, entry hosts and targets in steps of virtual time. Calls take
// no time; a call to a host that is down or cut off fails.
type fleetSim struct {
	t        *testing.T
	now      time.Duration
	controls []*simControl
	entries  []*simEntry
	targets  []*simTarget
	// cut reports whether two regions cannot reach each other.
	cut func(a, b int) bool
	// isPairCut means that the two control hosts of region 0 cannot reach each other.
	isPairCut bool
}

type simControl struct {
	*Server
	index, region  int
	down, isLegacy bool
	round          int
	// sent counts the bytes of requests and responses, told the records of targets in them.
	sent, told int
}

type simEntry struct {
	name     string
	region   int
	isLegacy bool
	table    *registry.Table
	states   []*controlState
	cursors  [][2]uint64 // table and cursor
	nextPoll []time.Duration
	wantedAt time.Duration
	hosts    map[string]time.Duration // when each host was heard
	started  int64
}

type simTarget struct {
	registry.Record
	region, control int
	nextBeat        time.Duration
	beatAt          time.Duration // the last one
	dead            bool
}

type simLog struct {
	alwaysLeader
	leader, self string
}

func (l simLog) Lease() (uint64, bool) { return 1, l.leader == l.self }
func (l simLog) LeaderHost() string    { return l.leader }

func newFleetSim(t *testing.T, entries, targets int) *fleetSim {
	s := &fleetSim{t: t, now: time.Hour, cut: func(int, int) bool { return false }}
	for i := range simControls {
		s.controls = append(s.controls, s.newControl(i, uint64(i+1)))
	}
	for i := range entries {
		e := &simEntry{name: fmt.Sprintf("edge-region%d-a-%d", i%simRegions, i), region: i % simRegions, table: registry.NewTable(), hosts: map[string]time.Duration{}, started: 1_700_000_000_000,
			cursors: make([][2]uint64, simControls), nextPoll: make([]time.Duration, simControls)}
		for j := range simControls {
			e.states = append(e.states, newControlState(fmt.Sprint("region", e.region), controlName(j)))
			e.nextPoll[j] = s.now + time.Duration(i*37+j*71)%400*time.Millisecond
		}
		s.entries = append(s.entries, e)
	}
	for i := range targets {
		s.addTarget(i)
	}
	return s
}

func controlName(i int) string { return fmt.Sprintf("10.%d.0.1%d:7600", i%simRegions, i) }

func (s *fleetSim) addTarget(i int) *simTarget {
	x := &simTarget{Record: registry.Record{ID: fmt.Sprintf("i-7f3a91c2%d", i), StartMillis: 1_700_000_000_000, Service: "claims-model", Address: fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250+1),
		DataCentre: fmt.Sprintf("region%d-a", i%simRegions), Software: "v1", Slots: 32, State: registry.Ready}, region: i % simRegions, control: i / simRegions % 2 * simRegions}
	x.control += x.region
	x.nextBeat = s.now + time.Duration(i*53%1200)*time.Millisecond
	s.targets = append(s.targets, x)
	return x
}

func (s *fleetSim) newControl(i int, incarnation uint64) *simControl {
	c := &simControl{Server: &Server{Self: &syncpb.ControlHost{Peer: controlName(i), Region: fmt.Sprint("region", i%simRegions)}, Leadership: simLog{leader: controlName(0), self: controlName(i)},
		Document: document.NewMachine(), Targets: registry.NewTable(), Presence: NewPresence(), Incarnation: incarnation, RegionCount: simRegions, LostDisks: 2,
		InvalidRecords: func(_ string, err error) { s.t.Error(err) }, OnDeparture: func(registry.Record, string) {}}, index: i, region: i % simRegions}
	c.Init()
	c.startedAt = s.now
	return c
}

// run runs the fleet for some time. each is called after every step and ends the run by
// returning true.
func (s *fleetSim) run(d time.Duration, each func() bool) {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		s.beat()
		for _, c := range s.controls {
			if !c.down && (s.now/simStep+time.Duration(c.index))%(relayInterval/simStep) == 0 {
				s.relay(c)
			}
		}
		for _, e := range s.entries {
			s.poll(e)
		}
		if each != nil && each() {
			return
		}
	}
}

func (s *fleetSim) beat() {
	for _, x := range s.targets {
		if x.dead || s.now < x.nextBeat {
			continue
		}
		c := s.controls[x.control]
		if c.down || s.cut(x.region, c.region) {
			x.control = (x.control + simRegions) % simControls // the caller gives up after a second
			if s.controls[x.control].down {
				x.control = (x.control + 1) % simControls
			}
			x.nextBeat += time.Second
			continue
		}
		x.Sequence++
		x.nextBeat, x.beatAt = x.nextBeat+simHeartbeat, s.now
		c.Targets.Heartbeat(s.now, x.Record)
	}
}

func (s *fleetSim) relay(c *simControl) {
	var seeds []string
	for i := range simControls {
		seeds = append(seeds, controlName(i))
	}
	c.Targets.Expire(s.now)
	c.Presence.RecordControl(s.now, c.Self, true)
	for _, w := range c.ledger.NextCalls(s.now, c.otherControls(s.now, seeds)) {
		s.call(c, relayMessage{address: w.Address, request: &syncpb.RelayRequest{From: c.Self, Targets: encodeRecords(s.now, w.Records)}}, func(out *syncpb.RelayResponse, err error) {
			c.ledger.Called(s.now, w, out.GetProcess(), err)
		})
	}
	for _, m := range c.nextRelays(s.now, seeds, c.round%roundsPerPresenceReport == 0) {
		s.call(c, m, func(out *syncpb.RelayResponse, err error) {
			if err != nil {
				c.demandsLost(m)
				return
			}
			c.relayed(s.now, s.now, m, out)
		})
	}
	c.round++
}

func (s *fleetSim) call(c *simControl, m relayMessage, done func(*syncpb.RelayResponse, error)) {
	to := s.controls[slices.IndexFunc(s.controls, func(o *simControl) bool { return o.Self.GetPeer() == m.address })]
	c.sent, c.told = c.sent+proto.Size(m.request), c.told+len(m.request.GetTargets())
	if to.down || s.cut(c.region, to.region) || s.isPairCut && c.region == 0 && to.region == 0 {
		done(nil, context.DeadlineExceeded)
		return
	}
	out, err := to.receiveRelay(context.Background(), s.now, m.request)
	if err != nil {
		s.t.Fatal(err)
	}
	if to.isLegacy || c.isLegacy {
		out.TakesRefs = false
	}
	to.sent += proto.Size(out)
	done(out, nil)
}

func (s *fleetSim) poll(e *simEntry) {
	c := Client{Name: e.name, Region: fmt.Sprint("region", e.region), regionByControl: map[string]string{}, responds: map[string]bool{}}
	for _, o := range s.controls {
		c.regionByControl[o.Self.GetPeer()], c.responds[o.Self.GetPeer()] = o.Self.GetRegion(), !o.down && !s.cut(e.region, o.region)
	}
	primary := c.primary()
	for j, c := range s.controls {
		if s.now < e.nextPoll[j] {
			continue
		}
		if c.down || s.cut(e.region, c.region) {
			e.nextPoll[j] = s.now + retryInterval
			continue
		}
		own := c.region == e.region
		in := &syncpb.ExchangeRequest{Table: e.cursors[j][0], Cursor: e.cursors[j][1]}
		if own {
			in.Host = &syncpb.EntryHost{Name: e.name, Region: fmt.Sprint("region", e.region), DataCentre: fmt.Sprintf("region%d-a", e.region), Front: "10.1.0.25:8221", Forward: "10.1.0.25:7601", Peer: "10.1.0.25:7600",
				Started: e.started, Serving: true, UsageRelay: true, PaceLease: true,
				Loads: []*syncpb.Load{{Service: "claims-model", WaitMs: int64(s.now/simStep) % 500, TokenUs: 4000}, {Service: "claims-desk", WaitMs: 30, TokenUs: 1}}}
			for w := range simWorkspaces {
				in.Demands = append(in.Demands, &syncpb.Demand{Workspace: fmt.Sprintf("huka%d", w), Released: true})
			}
			if in.WantHosts = s.now-e.wantedAt >= 500*time.Millisecond; in.WantHosts {
				e.wantedAt = s.now
			}
		}
		if !e.isLegacy && !c.isLegacy {
			e.states[j].prepare(in, e.table.Digests, controlName(j) != primary)
		}
		out := c.exchange(s.now, in)
		c.sent, c.told = c.sent+proto.Size(out), c.told+len(out.GetTargets())
		if !e.isLegacy {
			e.states[j].apply(out)
		}
		records, err := decodeRecords(s.now, out.GetTargets())
		if err != nil {
			s.t.Fatal(err)
		}
		for _, r := range records {
			e.table.Merge(s.now, r)
		}
		for _, h := range out.GetHosts() {
			e.hosts[h.GetName()] = max(e.hosts[h.GetName()], s.now-time.Duration(h.GetHeardMs())*time.Millisecond)
		}
		e.cursors[j] = [2]uint64{out.GetTable(), out.GetCursor()}
		e.nextPoll[j] = s.now + 2*crossRegionInterval
		if own {
			e.nextPoll[j] = s.now + 2*sameRegionInterval
		}
		if wantsMoreNow(in, out) {
			e.nextPoll[j] = s.now + resyncPause
		}
	}
}

// everywhere reports whether a condition holds for the record of a target at all control and
// entry hosts.
func (s *fleetSim) everywhere(id string, ok func(r registry.Record, known bool) bool) bool {
	for _, c := range s.controls {
		if r, known := c.Targets.Get(id); !c.down && !ok(r, known) {
			return false
		}
	}
	for _, e := range s.entries {
		if r, known := e.table.Get(id); !ok(r, known) {
			return false
		}
	}
	return true
}

func isReady(r registry.Record, known bool) bool {
	return known && r.State == registry.Ready && !r.Silent
}
func isSilent(r registry.Record, known bool) bool { return known && r.Silent }
func hasLeft(r registry.Record, known bool) bool  { return known && r.State == registry.Left }

// awaitAll runs until all targets are ready everywhere, for limit at most.
func (s *fleetSim) awaitAll(limit time.Duration) {
	s.t.Helper()
	s.await(limit, func() bool {
		for _, x := range s.targets {
			if !x.dead && !s.everywhere(x.ID, isReady) {
				return false
			}
		}
		return true
	})
}

func (s *fleetSim) await(limit time.Duration, done func() bool) {
	s.t.Helper()
	reached := false
	s.run(limit, func() bool { reached = done(); return reached })
	if !reached {
		s.t.Errorf("not known everywhere after %v", limit)
	}
}

// bytesPerSecond runs for some time and returns what the busiest control host sent.
func (s *fleetSim) bytesPerSecond(d time.Duration) float64 {
	for _, c := range s.controls {
		c.sent = 0
	}
	s.run(d, nil)
	most := 0
	for _, c := range s.controls {
		most = max(most, c.sent)
	}
	return float64(most) / d.Seconds()
}

func (s *fleetSim) checkNoneSilent() {
	s.t.Helper()
	for _, x := range s.targets {
		if !x.dead && !s.everywhere(x.ID, isReady) {
			s.t.Fatalf("target %s is not ready everywhere", x.ID)
		}
	}
}

// Answers the load of 30 to 300 hosts with ten targets each in a calm time: what a control
// host sends grows in proportion to them.
func TestCalmFleetCostsInProportion(t *testing.T) {
	var small, large float64
	for _, entries := range []int{24, 294} {
		s := newFleetSim(t, entries, 10*(entries+simControls))
		s.awaitAll(simHeartbeat + 2*time.Second)
		s.run(releaseRetention+2*time.Second, nil) // until nothing of the start is told any more
		large = s.bytesPerSecond(4 * time.Second)
		t.Logf("%d hosts, %d targets: %.0f bytes/s", entries+simControls, len(s.targets), large)
		s.checkNoneSilent()
		if entries == 24 {
			small = large
		}
		for _, e := range s.entries {
			if len(e.hosts) < entries/simRegions+2*hostsPerOtherRegion {
				t.Fatalf("%s knows %d hosts", e.name, len(e.hosts))
			}
			for _, other := range s.entries {
				if age := s.now - e.hosts[other.name]; other.region == e.region && age > entryTimeout {
					t.Fatalf("%s has not heard of %s for %v", e.name, other.name, age)
				}
			}
		}
	}
	if power := math.Log(large/small) / math.Log(10); power > 1.1 {
		t.Errorf("the bytes of a control host grow with the power %.2f of the hosts", power)
	}
}

// restartControls replaces control hosts by new processes that know nothing.
func (s *fleetSim) restartControls(indices ...int) {
	for _, i := range indices {
		isLegacy := s.controls[i].isLegacy
		s.controls[i] = s.newControl(i, s.controls[i].Incarnation+simControls)
		s.controls[i].isLegacy = isLegacy
	}
}

// toldRecords returns the number of records of targets that control hosts have told.
func (s *fleetSim) toldRecords() (n int) {
	for _, c := range s.controls {
		n += c.told
		c.told = 0
	}
	return n
}

// Answers targets that die, start and leave, the loss of a control host, a cut between
// regions and the return of all at once, at 30, 300 and 3,000 targets, and beside hosts of an
// earlier build: every host knows as soon as when each heartbeat was told to all.
func TestEveryHostLearnsOfTargets(t *testing.T) {
	for _, size := range []struct {
		entries, targets int
		mixed            bool
	}{{24, 30, false}, {24, 30, true}, {94, 300, false}, {244, 3000, false}} {
		t.Run(fmt.Sprintf("%d targets, mixed builds %v", size.targets, size.mixed), func(t *testing.T) {
			s := newFleetSim(t, size.entries, size.targets)
			if size.mixed {
				s.controls[1].isLegacy, s.controls[5].isLegacy = true, true
				for i := 0; i < size.entries; i += 3 {
					s.entries[i].isLegacy = true
				}
			}
			s.awaitAll(simHeartbeat + simTold)
			s.run(4*time.Second, nil)
			s.checkTargets()
			s.checkTargetThatOneControlLacks()
			s.checkLostControl()
			s.checkCutRegion()
			s.checkRestartOfAll(size.mixed)
		})
	}
}

func (s *fleetSim) checkTargets() {
	s.t.Helper()
	dead := s.targets[7]
	dead.dead = true
	s.await(simSilence+simTold, func() bool { return s.everywhere(dead.ID, isSilent) })
	added := s.addTarget(len(s.targets))
	added.nextBeat = s.now
	s.await(simTold+simStep, func() bool { return s.everywhere(added.ID, isReady) })
	left := s.targets[8]
	left.dead = true
	s.controls[left.control].Targets.Deregister(s.now, left.ID, left.StartMillis)
	s.await(simTold, func() bool { return s.everywhere(left.ID, hasLeft) })
	left.Sequence += 5
	s.controls[(left.control+1)%simControls].Targets.Heartbeat(s.now, left.Record) // was delayed on its way
	s.run(simTold, nil)
	if !s.everywhere(left.ID, hasLeft) {
		s.t.Error("a heartbeat outranks a departure")
	}
	s.checkNoneSilent()
}

// checkTargetThatOneControlLacks has a target start and die at a control host that does not
// reach the other one of its region.
func (s *fleetSim) checkTargetThatOneControlLacks() {
	s.t.Helper()
	const limit = simTold + time.Second + 2*sameRegionInterval
	s.isPairCut = true
	x := s.addTarget(len(s.targets) + simControls - len(s.targets)%simControls)
	x.nextBeat = s.now
	atEntries := func(ok func(registry.Record, bool) bool) func() bool {
		return func() bool {
			for _, e := range s.entries {
				if r, known := e.table.Get(x.ID); !ok(r, known) {
					return false
				}
			}
			return true
		}
	}
	s.await(limit, atEntries(isReady))
	x.dead = true
	s.await(simSilence+limit, atEntries(isSilent))
	s.isPairCut = false
	s.awaitAll(simHeartbeat + simTold)
}

// checkLostControl expects that no target falls silent but those whose last heartbeat a
// control host had not relayed yet when it was lost: their next one is late.
func (s *fleetSim) checkLostControl() {
	s.t.Helper()
	s.controls[1].down = true
	unrelayed := map[string]bool{}
	for _, x := range s.targets {
		if x.control == 1 && s.now-x.beatAt < relayInterval {
			unrelayed[x.ID] = true
		}
	}
	for range 14 {
		s.run(500*time.Millisecond, nil)
		for i := 0; i < len(s.targets); i += len(s.targets)/300 + 1 {
			x := s.targets[i]
			if !x.dead && !unrelayed[x.ID] && !s.everywhere(x.ID, isReady) {
				s.t.Fatalf("target %s fell silent as its control host was lost", x.ID)
			}
		}
	}
	s.checkNoneSilent()
	s.restartControls(1)
	s.awaitAll(simHeartbeat + simTold + retryInterval)
}

func (s *fleetSim) checkCutRegion() {
	s.t.Helper()
	s.cut = func(a, b int) bool { return (a == 0) != (b == 0) }
	s.run(2*time.Second, nil)
	left := s.targets[9] // of the region that is cut off
	left.dead = true
	s.controls[0].Targets.Deregister(s.now, left.ID, left.StartMillis)
	s.run(6*time.Second, nil)
	for _, x := range s.targets {
		for _, e := range s.entries {
			r, known := e.table.Get(x.ID)
			if e.region == x.region && !x.dead && !isReady(r, known) {
				s.t.Fatalf("%s lost target %s of its region", e.name, x.ID)
			}
		}
	}
	s.cut = func(int, int) bool { return false }
	s.awaitAll(simHeartbeat + simTold + retryInterval)
	s.await(simTold, func() bool { return s.everywhere(left.ID, hasLeft) })
}

// checkRestartOfAll bounds what all hosts are told by twice what they lack.
func (s *fleetSim) checkRestartOfAll(mixed bool) {
	s.t.Helper()
	s.restartControls(0, 1, 2, 3, 4, 5)
	s.toldRecords()
	s.awaitAll(simHeartbeat + simTold + retryInterval)
	s.run(3*time.Second, nil)
	lacking := len(s.targets) * (len(s.entries) + simControls)
	if told := s.toldRecords(); !mixed && told > 2*lacking {
		s.t.Errorf("control hosts that returned told %d records, %d were unknown to them", told, lacking)
	}
	for _, e := range s.entries {
		e.table, e.cursors = registry.NewTable(), make([][2]uint64, simControls)
		for j := range e.states {
			e.states[j] = newControlState(fmt.Sprint("region", e.region), controlName(j))
		}
	}
	s.awaitAll(2 * time.Second)
	s.run(3*time.Second, nil)
	if told := s.toldRecords(); !mixed && told > 2*lacking {
		s.t.Errorf("entry hosts that returned were told %d records, they lacked %d", told, lacking)
	}
}
