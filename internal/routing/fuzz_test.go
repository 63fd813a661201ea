package routing

import (
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/routing/routingpb"
	"geraniumturn.example/geraniumturn/internal/targets"
)

// FuzzSummary guards against malformed summary requests and responses that crash a host
// or grow its memory without bound.
func FuzzSummary(f *testing.F) {
	f.Add(appendRow(nil, serviceKeyOf("pool", "model"), Row{Room: 5, Wait: time.Second, Service: time.Second, Prefill: time.Millisecond}))
	f.Add([]byte{1, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := New(Config{Host: "h", DataCentre: "here", Region: "r", Table: targets.NewTable("h", "here"), Seed: 1,
			Hosts: HostsFunc(func() []RemoteHost { return []RemoteHost{{Name: "o", DataCentre: "there", Region: "r"}} })})
		if _, err := r.BuildSummary("o", &routingpb.SummaryRequest{Wants: data}); err == nil && len(r.demand) > maxRows {
			t.Fatalf("%d keys of demand are stored, more than maxRows", len(r.demand))
		}
		call := r.PrepareSummaryCalls()[0]
		if err := r.CompleteSummaryCall(call, &routingpb.SummaryResponse{Rows: data}); err != nil {
			return
		}
		for k, row := range r.dataCentres[0].rows {
			decoded, err := parseRows(appendRow(nil, k, row))
			if err != nil || decoded[k] != row {
				t.Fatalf("row %+v was decoded as %+v (%v)", row, decoded[k], err)
			}
		}
	})
}
