package quota

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"
)

// WorkspaceReport is the quota of one workspace on this host, in whole tokens.
type WorkspaceReport struct {
	Workspace string `json:"workspace"`
	// FloorRate, in tokens per second, and FloorBurst are the share that this
	// host can spend while it is cut off from all others. Both are 0 when it
	// holds no floor share.
	FloorRate  int64 `json:"floor_rate"`
	FloorBurst int64 `json:"floor_burst"`
	FloorLevel int64 `json:"floor_level"`
	// ElasticLevel is the amount that this host can lend as the control leader.
	ElasticLevel int64 `json:"elastic_level"`
	// Lenders is how many buckets this host can borrow from.
	Lenders int `json:"lenders"`
	// Changing is true while a newer allocation is in the replicated log but not
	// yet confirmed by all hosts whose share decreases.
	Changing bool `json:"changing"`
}

// Report lists the workspaces that have an allocation, sorted by name.
func (r *Runtime) Report() []WorkspaceReport {
	out := []WorkspaceReport{}
	r.withHost(func(now time.Duration) {
		for name, record := range r.host.records {
			out = append(out, r.host.report(now, name, record.Next != nil))
		}
	})
	slices.SortFunc(out, func(a, b WorkspaceReport) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}

func (h *Host) report(now time.Duration, workspace string, changing bool) WorkspaceReport {
	share := effectiveShare(h.records[workspace], h.name)
	w := WorkspaceReport{Workspace: workspace, FloorRate: int64(share.Rate / TokenUnit),
		FloorBurst: int64(share.Burst / TokenUnit), Changing: changing}
	if a := h.accounts[workspace]; a != nil {
		w.Lenders = len(a.lenders)
		if a.floor != nil {
			a.floor.Advance(now)
			w.FloorLevel = int64(a.floor.Level() / TokenUnit)
		}
	}
	if b := h.elastic.buckets[workspace]; b != nil {
		b.Advance(now)
		w.ElasticLevel = int64(b.Level() / TokenUnit)
	}
	return w
}

// Register adds GET /quota to the group for /admin/v1.
func (r *Runtime) Register(g *echo.Group) {
	g.GET("/quota", func(c echo.Context) error { return c.JSON(http.StatusOK, r.Report()) })
}
