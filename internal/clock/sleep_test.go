package clock_test

import (
	"context"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
)

// Guards against a sleep that continues after its context has ended, and against one
// that reports a completed wait as cancelled.
func TestSleep(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for name, c := range map[string]struct {
		ctx  context.Context
		wait time.Duration
		want bool
	}{
		"full duration":               {t.Context(), time.Millisecond, true},
		"zero duration":               {t.Context(), 0, true},
		"ended context":               {ended, time.Hour, false},
		"ended context, no wait time": {ended, -time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := clock.Sleep(c.ctx, c.wait); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
