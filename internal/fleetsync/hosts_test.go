package fleetsync

import (
	"fmt"
	"testing"

	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
)

// Load: a fleet of hundreds of hosts. Guards against answers that grow with the whole
// fleet, and against a host that misses one of its own region, with which it divides
// the pace of cold targets and the holders of rates.
func TestHostsFor(t *testing.T) {
	var all []*syncpb.EntryHost
	for i := range 300 {
		all = append(all, &syncpb.EntryHost{Name: fmt.Sprintf("h%03d", i), Region: fmt.Sprint("r", i%3), Serving: i != 1,
			Loads: []*syncpb.Load{{Service: "s", WaitMs: int64(300 - i)}}})
	}
	got := hostsFor(all, "r0")
	count := map[string]int{}
	for _, h := range got {
		count[h.GetRegion()]++
		if h.GetRegion() != "r0" && (h.GetLoads()[0].GetWaitMs() > 12 || !h.GetServing()) {
			t.Errorf("%s with a wait of %d ms is named before less loaded ones", h.GetName(), h.GetLoads()[0].GetWaitMs())
		}
	}
	if count["r0"] != 100 || count["r1"] != farHosts || count["r2"] != farHosts {
		t.Errorf("hosts by region: %v", count)
	}
}
