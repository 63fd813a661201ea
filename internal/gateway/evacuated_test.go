package gateway

import (
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// Guards against targets that count as warm before the end of their warm-up when their data
// centre comes back from an evacuation and their heartbeats do not arrive.
func TestTargetsAreColdAfterEvacuation(t *testing.T) {
	const restoredAt, warmup = time.Minute, 3 * time.Second
	g := &Gateway{endedEvacuations: map[string]endedEvacuation{"dc": {at: restoredAt}}}
	for _, reported := range []time.Duration{0, restoredAt + time.Second, restoredAt + time.Hour} {
		spec := g.targetSpec(registry.Record{ID: "t", DataCentre: "dc", ColdUntil: reported}, &document.Service{ColdRate: 1, Warmup: warmup})
		if want := max(reported, restoredAt+warmup); spec.ColdUntil != want {
			t.Errorf("reported %v: cold until %v, want %v", reported, spec.ColdUntil, want)
		}
	}
}
