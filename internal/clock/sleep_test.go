package clock_test

import (
	"context"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
)

// Guards against a wait that outlives its context, and against one that reports its
// end as an interruption.
func TestSleep(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for name, c := range map[string]struct {
		ctx  context.Context
		wait time.Duration
		want bool
	}{
		"whole":             {t.Context(), time.Millisecond, true},
		"none":              {t.Context(), 0, true},
		"ended context":     {ended, time.Hour, false},
		"ended, no waiting": {ended, -time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := clock.Sleep(c.ctx, c.wait); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
