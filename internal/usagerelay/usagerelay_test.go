package usagerelay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
)

// simHost is an entry host in simulated time. Its reports have the number of the round in
// which they were made, so that a test can tell how old the view of another host is.
type simHost struct {
	Host
	planner  *Planner
	hub      *Hub
	nextAt   time.Duration
	received map[string]position
	sent     map[string]uint64
	view     map[string]time.Duration // time of the newest report of each other host
	prompts  map[uint64]int           // how often each prompt has arrived
	calls    int                      // sent and received
	bytes    int
	down     bool
}

// simRegion is a region whose hosts call each other without delay. reaches decides which
// hosts are connected.
type simRegion struct {
	t       *testing.T
	rand    *rand.Rand
	now     time.Duration
	hosts   map[string]*simHost // by address
	order   []*simHost
	reaches func(a, b *simHost) bool
	prompt  uint64
}

func newSimRegion(t *testing.T, n, legacy int, seed uint64) *simRegion {
	t.Logf("seed %d", seed)
	r := &simRegion{t: t, rand: rand.New(rand.NewPCG(seed, seed)), hosts: map[string]*simHost{}, reaches: func(_, _ *simHost) bool { return true }}
	for i := range n {
		r.add(fmt.Sprintf("host-%03d", i), i >= legacy)
	}
	return r
}

func (r *simRegion) add(name string, relays bool) {
	h := &simHost{Host: Host{Name: name, Address: name + ":1", Relays: relays}}
	h.start(r)
	r.hosts[h.Address] = h
	r.order = append(r.order, h)
}

func (h *simHost) start(r *simRegion) {
	h.planner, h.hub = NewPlanner(h.Name), NewHub(r.rand.Uint64())
	h.received, h.sent, h.view, h.prompts = map[string]position{}, map[string]uint64{}, map[string]time.Duration{}, map[uint64]int{}
	h.nextAt, h.down = r.now+time.Duration(r.rand.Int64N(int64(relayInterval))), false
}

// report returns a report with a new prompt.
func (h *simHost) report(r *simRegion) *syncpb.UsageReport {
	out := &syncpb.UsageReport{Host: h.Name}
	for range 6 {
		out.Targets = append(out.Targets, &syncpb.TargetUsage{Target: fmt.Sprintf("i-%08x", r.rand.IntN(36)), Running: 3, Memory: 30_000, Unread: 900})
	}
	r.prompt++
	out.Prompts = append(out.Prompts, &syncpb.PlacedPrompt{Target: fmt.Sprintf("i-%08x", r.rand.IntN(36)), Keys: []uint64{r.prompt}, Tokens: []int64{9}})
	return out
}

func (h *simHost) apply(at time.Duration, report *syncpb.UsageReport) {
	if report.GetHost() != h.Name {
		h.view[report.GetHost()] = max(h.view[report.GetHost()], at)
	}
}

func (h *simHost) countPrompts(prompts []*syncpb.PlacedPrompt) {
	for _, p := range prompts {
		h.prompts[p.GetKeys()[0]]++
	}
}

func (h *simHost) applyBatch(r *simRegion, batch *syncpb.UsageBatch) {
	if len(r.order) <= maxEncodedHosts { // as on the wire
		data, err := proto.Marshal(batch)
		if err != nil {
			r.t.Fatal(err)
		}
		h.bytes += len(data)
		batch = &syncpb.UsageBatch{}
		if err := proto.Unmarshal(data, batch); err != nil {
			r.t.Fatal(err)
		}
	}
	reports, prompts, err := Decode(r.now, batch)
	if err != nil {
		r.t.Fatal(err)
	}
	h.countPrompts(prompts)
	for _, report := range reports {
		h.apply(report.At, report.UsageReport)
		h.hub.Record(r.now, report.At, report.UsageReport, false)
	}
	h.hub.RecordPrompts(r.now, prompts)
}

// maxEncodedHosts is the size of a region from which on batches are not encoded and decoded,
// which takes most of the time of a test.
const maxEncodedHosts = 100

// peer returns the host at an address if a call to it succeeds.
func (r *simRegion) peer(h *simHost, address string) *simHost {
	h.calls++
	p := r.hosts[address]
	if p.down || !r.reaches(h, p) {
		h.planner.RecordFailure(r.now, address)
		return nil
	}
	p.calls++
	return p
}

func (r *simRegion) round(h *simHost) {
	var others []Host
	for _, p := range r.order {
		if p != h {
			others = append(others, p.Host) // hosts that are down are still listed
		}
	}
	plan := h.planner.Plan(r.now, others, h.hub.Serving(r.now, h.Name))
	report := h.report(r)
	for _, a := range plan.Direct {
		if p := r.peer(h, a); p != nil {
			p.apply(r.now, report)
			p.countPrompts(report.GetPrompts())
		}
	}
	if plan.Relay != "" {
		if p := r.peer(h, plan.Relay); p != nil {
			p.apply(r.now, report)
			p.countPrompts(report.GetPrompts())
			p.hub.Record(r.now, r.now, proto.CloneOf(report), true)
			last := h.received[plan.Relay]
			batch := p.hub.For(r.now, h.Name, last.relay, last.next)
			h.received[plan.Relay] = position{batch.GetRelay(), batch.GetNext()}
			h.applyBatch(r, batch)
		}
	}
	if plan.IsRelay {
		h.hub.Record(r.now, r.now, proto.CloneOf(report), true)
	}
	for _, a := range plan.Spread {
		if p := r.peer(h, a); p != nil {
			batch := h.hub.Collected(r.now, h.sent[a])
			h.sent[a] = batch.GetNext()
			p.applyBatch(r, batch)
		}
	}
}

func (r *simRegion) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := r.now + d; r.now < end; r.now += step {
		for _, h := range r.order {
			if !h.down && r.now >= h.nextAt {
				r.round(h)
				h.nextAt = r.now + relayInterval
			}
		}
	}
}

// oldestView returns the age of the oldest view that a running host has of another one
// which it should know.
func (r *simRegion) oldestView(knows func(a, b *simHost) bool) (oldest time.Duration) {
	for _, a := range r.order {
		for _, b := range r.order {
			if a != b && !a.down && !b.down && knows(a, b) {
				oldest = max(oldest, r.now-a.view[b.Name])
			}
		}
	}
	return oldest
}

func all(_, _ *simHost) bool { return true }

// maxViewAge is the time in which a report reaches every host: three waits of an interval
// each, and the steps of the simulation.
const maxViewAge = 3*relayInterval + 50*time.Millisecond

// Guards against a cost for each host that grows with the number of hosts, as it did when
// every host reported to every other one, and against views that are older for it.
func TestCostAndAgeByNumberOfHosts(t *testing.T) {
	previousCalls := 0.0
	for _, n := range []int{10, 40, 100, 400} {
		r := newSimRegion(t, n, 0, uint64(n))
		r.run(5 * relayInterval)
		for _, h := range r.order {
			h.calls, h.bytes = 0, 0
		}
		const measured = 4 * relayInterval
		r.run(measured)
		most, total, bytes := 0, 0, 0
		for _, h := range r.order {
			most, total, bytes = max(most, h.calls), total+h.calls, max(bytes, h.bytes)
		}
		perSecond := float64(most) / measured.Seconds()
		t.Logf("%3d hosts: calls/s of a host %.0f in the mean, %.0f at most; %d bytes/s received at most; oldest view %s",
			n, float64(total)/float64(n)/measured.Seconds(), perSecond, int(float64(bytes)/measured.Seconds()), r.oldestView(all))
		if age := r.oldestView(all); age > maxViewAge {
			t.Errorf("%d hosts: a view is %s old", n, age)
		}
		// Directly, the calls of each host would be 2 (n - 1) in an interval.
		if direct := float64(2*(n-1)) / relayInterval.Seconds(); n > maxDirectPeers+1 && perSecond > direct {
			t.Errorf("%d hosts: %.0f calls/s at the busiest host, more than %.0f directly", n, perSecond, direct)
		}
		if n == 400 && perSecond > 2.5*previousCalls {
			t.Errorf("four times the hosts raise the calls of the busiest host from %.0f/s to %.0f/s", previousCalls, perSecond)
		}
		previousCalls = perSecond
	}
}

// Guards against prompts that are lost or arrive several times on the way over two relays.
func TestPromptsArriveOnce(t *testing.T) {
	r := newSimRegion(t, 40, 0, 3)
	r.run(time.Second)
	first := r.prompt
	r.run(2 * time.Second)
	last := r.prompt
	r.run(maxViewAge)
	for _, h := range r.order {
		missing, repeated := 0, 0
		for p := first; p < last; p++ {
			switch h.prompts[p] {
			case 0:
				missing++
			case 1:
			default:
				repeated++
			}
		}
		// The host's own prompts do not come back to it.
		if own := int(last-first) / len(r.order); missing > own+2*len(r.order) || repeated > 0 {
			t.Errorf("%s: %d of %d prompts missing (own %d), %d repeated", h.Name, missing, last-first, own, repeated)
		}
	}
}

// Guards against hosts that learn nothing any more after their relay, or all relays, have
// gone.
func TestRelaysFail(t *testing.T) {
	for _, lost := range []int{1, 5} {
		r := newSimRegion(t, 40, 0, uint64(lost))
		r.run(time.Second)
		ranked := slices.Clone(r.order)
		slices.SortFunc(ranked, func(a, b *simHost) int {
			hosts := []Host{a.Host, b.Host}
			if rank(relayKey, hosts); hosts[0].Name == a.Name {
				return -1
			}
			return 1
		})
		for _, h := range ranked[:lost] {
			h.down = true
		}
		r.run(2 * time.Second)
		if age := r.oldestView(all); age > 2*maxViewAge {
			t.Errorf("%d relays lost: a view is %s old after 2 s", lost, age)
		}
		for _, h := range ranked[:lost] {
			h.start(r)
		}
		r.run(failureTime + time.Second)
		if age := r.oldestView(all); age > maxViewAge {
			t.Errorf("%d relays back: a view is %s old", lost, age)
		}
	}
}

// Guards against a half of a region that is cut off from the other one, with most or all of
// the relays on the other side.
func TestRegionIsCut(t *testing.T) {
	for seed := range uint64(2) {
		r := newSimRegion(t, 40, 0, seed)
		side := map[*simHost]bool{}
		for _, h := range r.order {
			side[h] = r.rand.IntN(2) == 0
		}
		r.run(time.Second)
		connected := func(a, b *simHost) bool { return side[a] == side[b] }
		r.reaches = connected
		r.run(3 * time.Second)
		if age := r.oldestView(connected); age > 2*maxViewAge {
			t.Errorf("seed %d: a view within one half is %s old 3 s after the cut", seed, age)
		}
		r.reaches = all
		r.run(failureTime + time.Second)
		if age := r.oldestView(all); age > maxViewAge {
			t.Errorf("seed %d: a view is %s old after the cut", seed, age)
		}
	}
}

// Guards against hosts of the earlier build that get no reports, or whose reports are lost,
// while hosts are replaced one after the other.
func TestEarlierBuildsReportDirectly(t *testing.T) {
	for _, legacy := range []int{1, 20, 39, 40} {
		r := newSimRegion(t, 40, legacy, uint64(legacy))
		// Hosts of the earlier build report to all others.
		for _, h := range r.order[:legacy] {
			h.nextAt = time.Hour
		}
		for range 20 {
			r.run(100 * time.Millisecond)
			for _, h := range r.order[:legacy] {
				for _, p := range r.order {
					p.apply(r.now, &syncpb.UsageReport{Host: h.Name})
				}
			}
		}
		if age := r.oldestView(all); age > maxViewAge+100*time.Millisecond {
			t.Errorf("%d hosts of the earlier build: a view is %s old", legacy, age)
		}
	}
}

// Guards against an older report that arrives later over another relay.
func TestOlderReportIsIgnored(t *testing.T) {
	h := NewHub(1)
	h.Record(time.Second, time.Second, &syncpb.UsageReport{Host: "a", Targets: []*syncpb.TargetUsage{{Target: "t", Running: 2}}}, false)
	h.Record(time.Second, 900*time.Millisecond, &syncpb.UsageReport{Host: "a", Targets: []*syncpb.TargetUsage{{Target: "t", Running: 1}}}, false)
	reports, _, err := Decode(time.Second, h.For(time.Second, "b", 0, 0))
	if err != nil || len(reports) != 1 || reports[0].GetTargets()[0].GetRunning() != 2 {
		t.Errorf("reports %v, error %v", reports, err)
	}
}

// Guards against usage of a silent host that is passed on for ever.
func TestReportsExpire(t *testing.T) {
	h := NewHub(1)
	h.Record(0, 0, &syncpb.UsageReport{Host: "a", Prompts: []*syncpb.PlacedPrompt{{Target: "t"}}}, true)
	if now := 2*promptTTL + reportTTL; len(h.For(now, "b", 0, 0).GetReports())+len(h.For(now, "b", 0, 0).GetPrompts()) > 0 || h.Serving(now, "b") {
		t.Error("an expired report is passed on")
	}
}

// Guards against a batch of another build, or a damaged one, that ends the process or
// assigns usage to the wrong target.
func FuzzDecode(f *testing.F) {
	valid, err := proto.Marshal(&syncpb.UsageBatch{Relay: 1, Next: 2, Targets: []string{"a", "b"},
		Reports: []*syncpb.RelayedReport{{Report: &syncpb.UsageReport{Host: "h"}, Targets: []uint32{1}, Running: []uint32{1}, Memory: []uint64{1}, Unread: []uint64{1}}},
		Prompts: []*syncpb.RelayedPrompt{{Target: 0, Keys: []uint64{1}, Tokens: []uint64{1}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	outside, err := proto.Marshal(&syncpb.UsageBatch{Reports: []*syncpb.RelayedReport{{Report: &syncpb.UsageReport{}, Targets: []uint32{1 << 31}, Running: []uint32{1}, Memory: []uint64{1}, Unread: []uint64{1}}, {}},
		Prompts: []*syncpb.RelayedPrompt{{Target: 1 << 31}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(outside)
	f.Fuzz(func(t *testing.T, data []byte) {
		var batch syncpb.UsageBatch
		if proto.Unmarshal(data, &batch) != nil {
			return
		}
		targets := slices.Clone(batch.GetTargets())
		reports, prompts, _ := Decode(time.Minute, &batch)
		for _, r := range reports {
			if r.At > time.Minute || time.Minute-r.At > reportTTL {
				t.Errorf("report made at %s", r.At)
			}
			for _, u := range r.GetTargets() {
				if !slices.Contains(targets, u.GetTarget()) {
					t.Errorf("unknown target %q", u.GetTarget())
				}
			}
		}
		for _, p := range prompts {
			if !slices.Contains(targets, p.GetTarget()) {
				t.Errorf("unknown target %q", p.GetTarget())
			}
		}
	})
}

// A relay passes on what hosts learn of engines; batches of earlier builds lack it.
func TestEngineObservationsAreRelayed(t *testing.T) {
	h := NewHub(1)
	h.Record(time.Second, time.Second, &syncpb.UsageReport{Host: "a", Engines: []*syncpb.EngineObservations{{Service: "s", Sums: []float32{1, 2}}},
		Targets: []*syncpb.TargetUsage{{Target: "t", Running: 2, Arriving: 5000, PacePercent: 130}}}, true)
	batch := h.For(time.Second, "b", 0, 0)
	reports, _, err := Decode(time.Second, batch)
	if err != nil || len(reports) != 1 {
		t.Fatalf("%v reports, %v", reports, err)
	}
	if u, e := reports[0].GetTargets()[0], reports[0].GetEngines(); u.GetArriving() != 5000 || u.GetPacePercent() != 130 || len(e) != 1 || len(e[0].GetSums()) != 2 {
		t.Errorf("decoded %v, %v", u, e)
	}
	batch.Reports[0].Arriving, batch.Reports[0].PacePercent = nil, nil
	reports, _, err = Decode(time.Second, batch)
	if err != nil || len(reports) != 1 || reports[0].GetTargets()[0].GetRunning() != 2 || reports[0].GetTargets()[0].GetPacePercent() != 0 {
		t.Errorf("from an earlier build: %v, %v", reports, err)
	}
}

// Guards against a field of a report that the hosts behind a relay do not get.
func TestRelayedReportHasAllFields(t *testing.T) {
	report := &syncpb.UsageReport{Host: "a", Targets: []*syncpb.TargetUsage{{Target: "t"}}}
	fields := report.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		switch f := fields.Get(i); {
		case report.ProtoReflect().Has(f) || f.Name() == "prompts": // prompts are relayed apart
		case f.IsList():
			l := report.ProtoReflect().Mutable(f).List()
			l.Append(l.NewElement())
		case f.Kind() == protoreflect.BoolKind:
			report.ProtoReflect().Set(f, protoreflect.ValueOfBool(true))
		case f.Kind() == protoreflect.Fixed64Kind:
			report.ProtoReflect().Set(f, protoreflect.ValueOfUint64(1))
		default:
			t.Fatalf("field %s: no value for this kind", f.Name())
		}
	}
	hub, want := NewHub(1), proto.CloneOf(report)
	hub.Record(time.Second, time.Second, report, true)
	reports, _, err := Decode(time.Second, hub.Collected(time.Second, 0))
	if err != nil || len(reports) != 1 || !proto.Equal(reports[0].UsageReport, want) {
		t.Errorf("%v, %v, want %v", reports, err, want)
	}
}
