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

// Guards against a data centre that promises the same room to several hosts,
// and against hosts that send more than they were told.
func TestStatedRoomIsSplitAndKept(t *testing.T) {
	t.Run("own target is full", func(t *testing.T) { statedRoomIsKept(t, true) })
	t.Run("no own target", func(t *testing.T) { statedRoomIsKept(t, false) })
}

func statedRoomIsKept(t *testing.T, ownTarget bool) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	table := targets.NewTable("there-1", "there")
	if _, err := table.Announce(now, targets.Announcement{Name: "t", Incarnation: 1, Sequence: 100, Address: "127.0.0.1:9",
		Pool: "pool", DataCentre: "there", Models: []string{"model"}, Slots: 10}); err != nil {
		t.Fatal(err)
	}
	there := New(Config{Host: "there-1", DataCentre: "there", Region: "r", Table: table, Now: clock, Seed: 1, Hosts: HostsFunc(func() []RemoteHost { return nil })})
	var hosts []*Router
	ids := 0
	request := func() *dispatch.Request {
		ids++
		return &dispatch.Request{ID: fmt.Sprint(ids), Pool: "pool", Model: "model", Reach: rules.ReachAny, Visited: []string{"here"}}
	}
	for i := range 3 {
		dc := fmt.Sprint("dc", i)
		own := targets.NewTable(fmt.Sprint("h", i), dc)
		// An own target without room: sending away is the better choice, and
		// staying is possible.
		if ownTarget {
			if _, err := own.Announce(now, targets.Announcement{Name: "own", Incarnation: 1, Sequence: 100, Address: "127.0.0.1:9",
				Pool: "pool", DataCentre: dc, Models: []string{"model"}, Slots: 1, Running: 1, Queued: 20}); err != nil {
				t.Fatal(err)
			}
		}
		hosts = append(hosts, New(Config{Host: fmt.Sprint("h", i), DataCentre: dc, Region: "r", Now: clock, Seed: 1,
			Table: own, Hosts: HostsFunc(func() []RemoteHost { return []RemoteHost{{Name: "there-1", DataCentre: "there", Region: "r"}} })}))
	}
	ask := func() {
		for i, h := range hosts {
			for _, q := range h.PrepareSummaryCalls() {
				answer, err := there.BuildSummary(fmt.Sprint("h", i), q.Request)
				if err != nil {
					t.Fatal(err)
				}
				if err := h.CompleteSummaryCall(q, answer); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	ask()
	for _, h := range hosts { // each shows that it wants room
		_, _ = h.Choose(context.Background(), request(), dispatch.Tried{})
		h.mu.Lock()
		h.finish(now, fmt.Sprint(ids), false)
		h.mu.Unlock()
	}
	ask()
	ask()
	sent := 0
	for _, h := range hosts {
		for range 20 {
			if choice, err := h.Choose(context.Background(), request(), dispatch.Tried{}); err == nil && choice.Host != nil {
				sent++
			}
		}
	}
	if sent == 0 || sent > 10 {
		t.Errorf("%d requests were sent to a data centre with room for 10", sent)
	}
}

// Guards against rows that state more room than there is, and against summaries
// over the bound of 3 KB/s per host at 10 data centres and 27 models.
func TestSummarySize(t *testing.T) {
	for room := range 5000 {
		rows, err := parseRows(appendRow(nil, 7, Row{Room: room}))
		if err != nil || rows[7].Room > room || rows[7].Room < room*9/10-1 {
			t.Fatalf("room %d became %d (%v)", room, rows[7].Room, err)
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
	answer, err := r.BuildSummary("o", &routingpb.SummaryRequest{})
	if err != nil {
		t.Fatal(err)
	}
	const others, frame = 9, 100 // other data centres; framing and metadata of a call
	if perSecond := others * (len(answer.Rows) + frame); perSecond >= 3000 {
		t.Errorf("%d bytes a second", perSecond)
	}
}

// Guards against regressions of the policies that docs/POLICY.md measures: the
// default must stay ahead of its baselines on a short run.
func TestDefaultPoliciesBeatBaselines(t *testing.T) {
	steady := scenario{period: time.Minute, scale: 1, length: 10 * time.Second}
	two := tanoa.run(1, func() Policy { return TwoChoices{} }, AlwaysLocal{}, steady)
	affinity := tanoa.run(1, func() Policy { return DefaultAffinity }, AlwaysLocal{}, steady)
	if float64(affinity.prefill) > 0.8*float64(two.prefill) || quantile(affinity.latencies, 0.99) > quantile(two.latencies, 0.99) {
		t.Errorf("affinity: %s\ntwo choices: %s", affinity.row(), two.row())
	}
	loss := scenario{period: time.Minute, scale: 1, halve: "suva-a", lossAt: 0, backAt: time.Hour, length: 10 * time.Second}
	local := tanoa.run(1, func() Policy { return DefaultAffinity }, AlwaysLocal{}, loss)
	expected := tanoa.run(1, func() Policy { return DefaultAffinity }, DefaultExpectedTime, loss)
	if 2*expected.worst() > local.worst() || expected.refused > 0 {
		t.Errorf("expected time: %s\nalways local: %s", expected.row(), local.row())
	}
}
