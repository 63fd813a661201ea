package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"geraniumturn.example/geraniumturn/internal/proctest"
)

// Guards against a panic in a check whether a target has crashed that ends the process, or
// after which crashes of that target are no longer found.
func TestPanicInCrashCheck(t *testing.T) {
	s := newTarget(t, hangUp, hangUp)
	f := newFixture(t)
	f.update(0, s)
	f.Table = nil // the check panics where it looks the target up
	for checks := int64(1); checks <= 2; checks++ {
		if got := f.call(t, "/safe/"); got.err == nil && got.status == 200 {
			t.Fatalf("%+v", got)
		}
		proctest.Eventually(t, 5*time.Second, func() error {
			if n := metrics.GetOrRegisterCounter("panics", f.Metrics).Count(); n < checks {
				return fmt.Errorf("%d panics, want %d", n, checks)
			}
			return nil
		})
	}
}
