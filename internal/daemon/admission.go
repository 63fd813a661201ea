package daemon

import (
	"time"

	"geraniumturn.example/geraniumturn/internal/admission"
	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/routing"
	"geraniumturn.example/geraniumturn/internal/targets"
)

// buildAdmission puts the admission queue around the router.
func (d *Daemon) buildAdmission() {
	d.admission = admission.New(d.router, d.router, rooms{d.targets, d.router}, d.weightOf, d.metrics)
}

func (d *Daemon) weightOf(workspace string) int {
	if w := d.copy.View().Rules.Workspaces[workspace]; w != nil {
		return w.Weight
	}
	return 1
}

// rooms implements admission.Rooms. Local takes only the table's lock, because
// the router asks admission while it holds its own.
type rooms struct {
	table  *targets.Table
	router *routing.Router
}

// Local implements admission.Rooms.
func (r rooms) Local(req *dispatch.Request) (count, room int) {
	c := r.table.Capacity(time.Now(), &targets.Query{Pool: req.Pool, Model: req.Model, Residency: req.Residency})
	return c.Targets, c.Room
}

// Away implements admission.Rooms.
func (r rooms) Away(req *dispatch.Request) int {
	_, away := r.router.Room(req)
	return away
}
