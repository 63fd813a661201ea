package daemon

import (
	"time"

	"geraniumturn.example/geraniumturn/internal/admission"
	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/routing"
	"geraniumturn.example/geraniumturn/internal/targets"
)

// buildAdmission wraps the router and the attempt observer with the admission queue.
func (d *Daemon) buildAdmission(router dispatch.Chooser, observer dispatch.Observer) *admission.Admission {
	d.admission = admission.New(router, observer, freeCapacity{d.targets, d.router}, d.workspaceWeight, d.metrics)
	return d.admission
}

func (d *Daemon) workspaceWeight(workspace string) int {
	if w := d.replica.View().Rules.Workspaces[workspace]; w != nil {
		return w.Weight
	}
	return 1
}

// freeCapacity reports to admission how many requests can start now: on the local
// targets, or in other data centres if this one has no target of the pool.
type freeCapacity struct {
	table  *targets.Table
	router *routing.Router
}

// FreeSlots implements admission.CapacitySource.
func (r freeCapacity) FreeSlots(req *dispatch.Request) int {
	local := r.table.Capacity(time.Now(), &targets.Query{Pool: req.Pool, Model: req.Model, Residency: req.Residency})
	if local.Targets > 0 || local.Room > 0 {
		return local.Room
	}
	_, remote := r.router.Room(req)
	return remote
}
