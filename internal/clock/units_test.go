package clock_test

import (
	"math"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
)

// Guards against a number from outside that overflows a duration, or a sum of durations.
func TestLargeNumbersDoNotOverflow(t *testing.T) {
	for _, n := range []float64{1e13, 9e12, math.MaxInt64, 1e300, math.MaxFloat64, math.Inf(1)} {
		for name, d := range map[string]time.Duration{"ms": clock.Millis(n), "s": clock.Seconds(n)} {
			if now := clock.SinceBoot(); d < time.Hour || now+d < now || 8*d < d {
				t.Errorf("%g %s are %s", n, name, d)
			}
		}
		if d := clock.Millis(-n); d > -time.Hour || clock.SinceBoot()+d > 0 || 8*d > d {
			t.Errorf("%g ms are %s", -n, d)
		}
	}
	if got := clock.Millis(1500.5); got != 1500*time.Millisecond+500*time.Microsecond {
		t.Errorf("1500.5 ms are %s", got)
	}
	if got := clock.Seconds(-0.25); got != -250*time.Millisecond {
		t.Errorf("-0.25 s are %s", got)
	}
}
