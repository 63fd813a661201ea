package dispatch

import (
	"slices"

	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rules"
)

// SetCounter sets the function that increments a counter. Call it before the
// first request.
func (d *Dispatcher) SetCounter(count func(name string)) { d.count = count }

// checkInvariants refuses, immediately before an attempt, a second forward and a
// data centre outside the residency. The chooser must not return such a choice, so
// each violation is counted as a fault.
func (r *requestRun) checkInvariants(choice Choice) *refusal.Error {
	dataCentre := r.d.self.DataCentre
	if choice.Host != nil {
		dataCentre = choice.Host.DataCentre
		if r.req.Forwarded() || choice.Host.Name == r.d.self.Name || slices.Contains(r.req.Visited, choice.Host.Name) {
			r.d.count("invariant.dispatch.loop")
			return refusal.New(refusal.Loop, r.ran, "request would be forwarded a second time")
		}
	}
	if choice.Target != nil {
		dataCentre = choice.Target.DataCentre
	}
	if !rules.Allows(r.req.Residency, dataCentre) {
		r.d.count("invariant.dispatch.residency")
		return refusal.New(refusal.NoTarget, r.ran, "data centre %s is outside the workspace's residency", dataCentre)
	}
	return nil
}
