package daemon

import (
	"time"

	"geraniumturn.example/geraniumturn/internal/admission"
	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/targets"
)

// admit puts the admission queue around routing and the attempt observer.
func (d *Daemon) admit(router dispatch.Chooser, observer dispatch.Observer) *admission.Admission {
	d.admission = admission.New(router, observer, localRooms{d.targets}, d.weightOf, d.metrics)
	return d.admission
}

func (d *Daemon) weightOf(workspace string) int {
	if w := d.copy.View().Rules.Workspaces[workspace]; w != nil {
		return w.Weight
	}
	return 1
}

// localRooms counts the free slots of the local targets as this host knows
// them: slots minus its own requests in flight.
type localRooms struct{ table *targets.Table }

// Room implements admission.Rooms.
func (r localRooms) Room(req *dispatch.Request) int {
	room := 0
	for _, t := range r.table.Available(time.Now(), req.Pool, req.Model) {
		if allows(req.Residency, t.DataCentre) {
			room += max(0, t.Slots-t.InFlight)
		}
	}
	return room
}
