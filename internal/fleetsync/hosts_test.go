package fleetsync

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/registry"
	"geraniumturn.example/geraniumturn/internal/shares"
)

// Uses a fleet of 300 hosts. Guards against a response that grows with the whole fleet,
// and against one that omits a host of the same region, even a silent one: the hosts of a
// region divide the rate limits of cold targets and the rates of workspaces among
// themselves.
func TestHostsForRegion(t *testing.T) {
	var all []*syncpb.EntryHost
	for i := range 300 {
		all = append(all, &syncpb.EntryHost{Name: fmt.Sprintf("h%03d", i), Region: fmt.Sprint("r", i%3), Serving: i != 1,
			Loads: []*syncpb.Load{{Service: "s", WaitMs: int64(300 - i)}}})
	}
	// The least loaded hosts of two regions no longer report.
	all = append(all, &syncpb.EntryHost{Name: "silent0", Region: "r0", HeardMs: 20_000}, &syncpb.EntryHost{Name: "silent1", Region: "r1", HeardMs: 20_000, Serving: true,
		Loads: []*syncpb.Load{{Service: "s", WaitMs: 1}}})
	got := hostsForRegion(all, "r0")
	count := map[string]int{}
	for _, h := range got {
		count[h.GetRegion()]++
		if h.GetRegion() != "r0" && (h.GetLoads()[0].GetWaitMs() > 12 || !h.GetServing()) {
			t.Errorf("%s with a wait of %d ms is listed before less loaded ones", h.GetName(), h.GetLoads()[0].GetWaitMs())
		}
	}
	if slices.ContainsFunc(got, func(h *syncpb.EntryHost) bool { return h.GetName() == "silent1" }) {
		t.Error("a silent host of another region is listed")
	}
	if count["r0"] != 101 || count["r1"] != hostsPerOtherRegion || count["r2"] != hostsPerOtherRegion {
		t.Errorf("hosts by region: %v", count)
	}
}

// Guards against entry hosts that start together with the control hosts and each use the
// whole of a limit that all hosts divide: the first to report would be the only one known.
func TestNumberOfHostsIsUnknownAfterStart(t *testing.T) {
	s := &Server{Leadership: alwaysLeader{}, Presence: NewPresence(), Targets: registry.NewTable(), Document: document.NewMachine()}
	s.Init()
	total := func() int64 {
		out, err := s.Exchange(context.Background(), &syncpb.ExchangeRequest{Host: &syncpb.EntryHost{Name: "e"}, WantHosts: true})
		if err != nil {
			t.Fatal(err)
		}
		return out.GetTotalHosts()
	}
	if got := total(); got != 0 {
		t.Errorf("%d hosts right after the start, want unknown", got)
	}
	s.startedAt -= shares.DiscoveryPeriod
	if got := total(); got != 1 {
		t.Errorf("%d hosts after the discovery period, want 1", got)
	}
}

// alwaysLeader is a Leadership of which this host is the leader.
type alwaysLeader struct{}

func (alwaysLeader) Lease() (uint64, bool)           { return 1, true }
func (alwaysLeader) LeaderHost() string              { return "" }
func (alwaysLeader) StateAge() (time.Duration, bool) { return 0, true }
func (alwaysLeader) MemberHosts() []string           { return nil }

// Guards against a report that another control host relays late and that makes the
// leader replace newer demands of the host with older ones.
func TestStaleReportIsIgnored(t *testing.T) {
	s := &Server{Leadership: alwaysLeader{}, Presence: NewPresence(), Targets: registry.NewTable(), Document: document.NewMachine()}
	s.Init()
	report := func(perSecond float64, age int64) *syncpb.HostDemands {
		return &syncpb.HostDemands{Host: "e", AgeMs: age, Demands: []*syncpb.Demand{{Workspace: "w", PerSecond: perSecond}}}
	}
	relay := func(d *syncpb.HostDemands) int {
		out, err := s.Relay(context.Background(), &syncpb.RelayRequest{Demands: []*syncpb.HostDemands{d}})
		if err != nil {
			t.Fatal(err)
		}
		return len(out.GetGrants())
	}
	if relay(report(100, 0)) != 1 {
		t.Fatal("a new report got no grant")
	}
	if relay(report(0, 1500)) != 0 {
		t.Error("a report that is 1.5 s older got a grant")
	}
}

// Guards against a directory of another region that learns later than callers that an
// entry host serves, and against a relay of hosts that have not changed.
func TestServingChangeIsRelayedAtOnce(t *testing.T) {
	p := NewPresence()
	report := func(started int64, serving bool) []*syncpb.EntryHost {
		p.RecordEntry(time.Second, &syncpb.EntryHost{Name: "e", Started: started, Serving: serving}, true)
		select {
		case <-p.changed:
			return p.TakeChangedEntries(time.Second)
		default:
			return nil
		}
	}
	for i, step := range []struct {
		started int64
		serving bool
		relayed bool
	}{{1, false, true}, {1, false, false}, {1, true, true}, {1, true, false}, {2, true, true}, {2, false, true}} {
		if got := report(step.started, step.serving); (len(got) == 1) != step.relayed || step.relayed && got[0].GetServing() != step.serving {
			t.Errorf("report %d: relayed %v, want %v", i, got, step.relayed)
		}
	}
	if got := p.TakeDirectEntries(time.Second); len(got) != 1 {
		t.Errorf("the regular report has %d hosts", len(got))
	}
}

// Guards against hosts that learn late that another one has lost or regained the path to
// its targets.
func TestDetachedChangeIsRelayedAtOnce(t *testing.T) {
	p := NewPresence()
	for i, detached := range []bool{false, true, true, false} {
		p.RecordEntry(time.Second, &syncpb.EntryHost{Name: "e", Started: 1, Serving: true, Detached: detached}, true)
		relayed := p.TakeChangedEntries(time.Second)
		if changed := i != 2; (len(relayed) == 1) != changed || changed && relayed[0].GetDetached() != detached {
			t.Errorf("report %d: relayed %v", i, relayed)
		}
	}
}
