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
)

// Load: a fleet of hundreds of hosts. Guards against answers that grow with the whole
// fleet, and against a host that misses one of its own region, also a silent one, with
// which it divides the pace of cold targets and the holders of rates.
func TestHostsFor(t *testing.T) {
	var all []*syncpb.EntryHost
	for i := range 300 {
		all = append(all, &syncpb.EntryHost{Name: fmt.Sprintf("h%03d", i), Region: fmt.Sprint("r", i%3), Serving: i != 1,
			Loads: []*syncpb.Load{{Service: "s", WaitMs: int64(300 - i)}}})
	}
	// The least loaded hosts of two regions have fallen silent.
	all = append(all, &syncpb.EntryHost{Name: "silent0", Region: "r0", HeardMs: 20_000}, &syncpb.EntryHost{Name: "silent1", Region: "r1", HeardMs: 20_000, Serving: true,
		Loads: []*syncpb.Load{{Service: "s", WaitMs: 1}}})
	got := hostsFor(all, "r0")
	count := map[string]int{}
	for _, h := range got {
		count[h.GetRegion()]++
		if h.GetRegion() != "r0" && (h.GetLoads()[0].GetWaitMs() > 12 || !h.GetServing()) {
			t.Errorf("%s with a wait of %d ms is named before less loaded ones", h.GetName(), h.GetLoads()[0].GetWaitMs())
		}
	}
	if slices.ContainsFunc(got, func(h *syncpb.EntryHost) bool { return h.GetName() == "silent1" }) {
		t.Error("a silent host of another region is named")
	}
	if count["r0"] != 101 || count["r1"] != farHosts || count["r2"] != farHosts {
		t.Errorf("hosts by region: %v", count)
	}
}

// leading is a replicated log that this host leads.
type leading struct{}

func (leading) IsLeader() bool                  { return true }
func (leading) LeaderHost() string              { return "" }
func (leading) StateAge() (time.Duration, bool) { return 0, true }

// Guards against a report that another control host passes on late and that makes the
// leader take back what the host asked for since.
func TestOldReportIsPassedOver(t *testing.T) {
	s := &Server{Log: leading{}, Presence: NewPresence(), Targets: registry.NewTable(), Document: document.NewMachine()}
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
		t.Fatal("a fresh report got no fraction")
	}
	if relay(report(0, 1500)) != 0 {
		t.Error("a report from 1.5 s before was allocated for")
	}
}
