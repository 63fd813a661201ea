package gateway

import (
	"github.com/rcrowley/go-metrics"

	"geraniumturn.example/geraniumturn/internal/recovery"
)

// guarded runs f. A panic of it is logged and counted, and ends only f; it reports false then.
func (g *Gateway) guarded(what string, f func()) bool {
	err := recovery.Do(func() error { f(); return nil })
	if err == nil {
		return true
	}
	metrics.GetOrRegisterCounter("panics", g.Metrics).Inc(1)
	g.Log.WithError(err).WithField("in", what).Error("unexpected error")
	return false
}

// probe connects to a target; the pool reports the outcome to recordPath.
func (g *Gateway) probe(address string) {
	g.guarded("probe", func() { _ = g.localPool.Connect(g.ctx, address) })
}
