package processors_test

import (
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/processors"
)

// Load: an idle host, then requests, then pauses between them. Guards against a busy
// host that stays on one processor, and against a number of processors that changes at
// each pause.
func TestGovernor(t *testing.T) {
	g := processors.NewGovernor(6)
	for i, step := range []struct {
		at   time.Duration
		used float64
		want int
	}{
		{0, 0.01, 1},
		{time.Second, 0.3, 1},
		{2 * time.Second, 0.9, 6},
		{3 * time.Second, 0.1, 6},
		{4 * time.Second, 0.3, 6},
		{5500 * time.Millisecond, 0.1, 6},
		{6 * time.Second, 0.1, 1},
		{7 * time.Second, 5, 6},
	} {
		if got := g.Sample(step.at, step.used); got != step.want {
			t.Errorf("step %d: %d processors, want %d", i, got, step.want)
		}
	}
}
