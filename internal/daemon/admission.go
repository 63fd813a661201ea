package daemon

import (
	"time"

	"geraniumturn.example/geraniumturn/internal/admission"
	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/routing"
	"geraniumturn.example/geraniumturn/internal/targets"
)

// admit puts the admission queue around routing and the attempt observer.
func (d *Daemon) admit(router dispatch.Chooser, observer dispatch.Observer) *admission.Admission {
	d.admission = admission.New(router, observer, rooms{d.targets, d.router}, d.weightOf, d.metrics)
	return d.admission
}

func (d *Daemon) weightOf(workspace string) int {
	if w := d.copy.View().Rules.Workspaces[workspace]; w != nil {
		return w.Weight
	}
	return 1
}

// rooms tells admission how many requests can start now: on the local targets,
// or in other data centres when this one has no target of the pool.
type rooms struct {
	table  *targets.Table
	router *routing.Router
}

// Room implements admission.Rooms.
func (r rooms) Room(req *dispatch.Request) int {
	local := r.table.Capacity(time.Now(), &targets.Query{Pool: req.Pool, Model: req.Model, Residency: req.Residency})
	if local.Targets > 0 || local.Room > 0 {
		return local.Room
	}
	_, away := r.router.Room(req)
	return away
}
