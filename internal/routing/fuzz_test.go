package routing

import (
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/routing/routingpb"
	"geraniumturn.example/geraniumturn/internal/targets"
)

// Guards against summaries and questions that crash a host or grow its memory.
func FuzzSummary(f *testing.F) {
	f.Add(appendRow(nil, keyOf("pool", "model"), Row{Room: 5, Wait: time.Second, Service: time.Second, Prefill: time.Millisecond}))
	f.Add([]byte{1, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := New(Config{Host: "h", DataCentre: "here", Region: "r", Table: targets.NewTable("h", "here"), Seed: 1,
			Hosts: HostsFunc(func() []RemoteHost { return []RemoteHost{{Name: "o", DataCentre: "there", Region: "r"}} })})
		if _, err := r.BuildSummary("o", &routingpb.SummaryRequest{Wants: data}); err == nil && len(r.askers) > maxRows {
			t.Fatalf("%d keys are remembered", len(r.askers))
		}
		q := r.PrepareSummaryCalls()[0]
		if err := r.CompleteSummaryCall(q, &routingpb.SummaryResponse{Rows: data}); err != nil {
			return
		}
		for k, row := range r.sites[0].rows {
			again, err := parseRows(appendRow(nil, k, row))
			if err != nil || again[k] != row {
				t.Fatalf("%+v became %+v (%v)", row, again[k], err)
			}
		}
	})
}
