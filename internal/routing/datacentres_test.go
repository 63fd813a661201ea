package routing

import (
	"context"
	"fmt"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/routing/routingpb"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/targets"
)

// TestRoomIsDividedAndRespected guards against a data centre that offers the same room
// to several hosts, and against hosts that forward more requests than their share.
func TestRoomIsDividedAndRespected(t *testing.T) {
	t.Run("local target is full", func(t *testing.T) { testRoomIsDividedAndRespected(t, true) })
	t.Run("no local target", func(t *testing.T) { testRoomIsDividedAndRespected(t, false) })
}

func testRoomIsDividedAndRespected(t *testing.T, hasLocalTarget bool) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	table := targets.NewTable("there-1", "there")
	if _, err := table.Announce(now, targets.Announcement{Name: "t", Incarnation: 1, Sequence: 100, Address: "127.0.0.1:9",
		Pool: "pool", DataCentre: "there", Models: []string{"model"}, Slots: 10}); err != nil {
		t.Fatal(err)
	}
	remote := New(Config{Host: "there-1", DataCentre: "there", Region: "r", Table: table, Now: clock, Seed: 1, Hosts: HostsFunc(func() []RemoteHost { return nil })})
	var hosts []*Router
	ids := 0
	newRequest := func() *dispatch.Request {
		ids++
		return &dispatch.Request{ID: fmt.Sprint(ids), Pool: "pool", Model: "model", Reach: rules.ReachAny, Visited: []string{"here"}}
	}
	for i := range 3 {
		dc := fmt.Sprint("dc", i)
		localTable := targets.NewTable(fmt.Sprint("h", i), dc)
		// With a local target that has no room, forwarding is faster, but serving
		// locally is possible.
		if hasLocalTarget {
			if _, err := localTable.Announce(now, targets.Announcement{Name: "own", Incarnation: 1, Sequence: 100, Address: "127.0.0.1:9",
				Pool: "pool", DataCentre: dc, Models: []string{"model"}, Slots: 1, Running: 1, Queued: 20}); err != nil {
				t.Fatal(err)
			}
		}
		hosts = append(hosts, New(Config{Host: fmt.Sprint("h", i), DataCentre: dc, Region: "r", Now: clock, Seed: 1,
			Table: localTable, Hosts: HostsFunc(func() []RemoteHost { return []RemoteHost{{Name: "there-1", DataCentre: "there", Region: "r"}} })}))
	}
	exchange := func() {
		for i, h := range hosts {
			for _, call := range h.PrepareSummaryCalls() {
				response, err := remote.BuildSummary(fmt.Sprint("h", i), call.Request)
				if err != nil {
					t.Fatal(err)
				}
				if err := h.CompleteSummaryCall(call, response); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	exchange()
	for _, h := range hosts { // records demand for room
		_, _ = h.Choose(context.Background(), newRequest(), dispatch.Tried{})
		h.mu.Lock()
		h.endStep(now, fmt.Sprint(ids), false)
		h.mu.Unlock()
	}
	exchange()
	exchange()
	forwarded := 0
	for _, h := range hosts {
		for range 20 {
			if choice, err := h.Choose(context.Background(), newRequest(), dispatch.Tried{}); err == nil && choice.Host != nil {
				forwarded++
			}
		}
	}
	if forwarded == 0 || forwarded > 10 {
		t.Errorf("%d requests were forwarded to a data centre with room for 10, want 1 to 10", forwarded)
	}
}

// TestSummarySize guards against rows with more room than there is, and against
// summaries above 3 KB/s per host with 10 data centres and 27 models.
func TestSummarySize(t *testing.T) {
	for room := range 5000 {
		rows, err := parseRows(appendRow(nil, 7, Row{Room: room}))
		if err != nil || rows[7].Room > room || rows[7].Room < room*9/10-1 {
			t.Fatalf("room %d was decoded as %d (%v)", room, rows[7].Room, err)
		}
	}
	table, now := targets.NewTable("h", "here"), time.Now()
	for i := range 27 {
		if _, err := table.Announce(now, targets.Announcement{Name: fmt.Sprint("t", i), Incarnation: 1, Sequence: 1, Address: "127.0.0.1:9",
			Pool: "pool", DataCentre: "here", Models: []string{fmt.Sprint("model-", i)}, Slots: 10}); err != nil {
			t.Fatal(err)
		}
	}
	r := New(Config{Host: "h", DataCentre: "here", Region: "r", Table: table, Hosts: HostsFunc(func() []RemoteHost { return nil })})
	response, err := r.BuildSummary("o", &routingpb.SummaryRequest{})
	if err != nil {
		t.Fatal(err)
	}
	const others, overhead = 9, 100 // other data centres; framing and metadata of a call
	if perSecond := others * (len(response.Rows) + overhead); perSecond >= 3000 {
		t.Errorf("summaries take %d bytes per second, want less than 3000", perSecond)
	}
}

// TestDefaultPoliciesBeatBaselines guards against regressions of the default policies:
// in a short simulation they must be better than their baselines. docs/POLICY.md has
// the full measurements.
func TestDefaultPoliciesBeatBaselines(t *testing.T) {
	steady := scenario{period: time.Minute, loadFactor: 1, length: 10 * time.Second}
	two := tanoa.run(1, func() Policy { return TwoChoices{} }, AlwaysLocal{}, steady)
	affinity := tanoa.run(1, func() Policy { return DefaultAffinity }, AlwaysLocal{}, steady)
	if float64(affinity.prefill) > 0.8*float64(two.prefill) || quantile(affinity.latencies, 0.99) > quantile(two.latencies, 0.99) {
		t.Errorf("affinity: %s\ntwo choices: %s", affinity.tableRow(), two.tableRow())
	}
	loss := scenario{period: time.Minute, loadFactor: 1, halvedDC: "suva-a", halvedAt: 0, restoredAt: time.Hour, length: 10 * time.Second}
	local := tanoa.run(1, func() Policy { return DefaultAffinity }, AlwaysLocal{}, loss)
	expected := tanoa.run(1, func() Policy { return DefaultAffinity }, DefaultExpectedTime, loss)
	if 2*expected.worstWorkspaceP99() > local.worstWorkspaceP99() || expected.refused > 0 {
		t.Errorf("expected time: %s\nalways local: %s", expected.tableRow(), local.tableRow())
	}
}
