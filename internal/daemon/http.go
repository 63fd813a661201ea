package daemon

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"geraniumturn.example/geraniumturn/internal/entry"
	"geraniumturn.example/geraniumturn/internal/fleet"
	"geraniumturn.example/geraniumturn/internal/settings"
	"geraniumturn.example/geraniumturn/internal/targets"
)

func (d *Daemon) buildHTTP() error {
	operatorToken, err := settings.ReadSecret(d.settings.Security.OperatorTokenFile, minTokenBytes)
	if err != nil {
		return err
	}
	announceToken, err := settings.ReadSecret(d.settings.Security.AnnounceTokenFile, minTokenBytes)
	if err != nil {
		return err
	}
	d.entry = &entry.Server{
		Copy: d.copy, Keys: d.keys, Placement: placement{d.settings}, Runner: d.dispatcher,
		Operations: operationsHook{d.operations}, Events: d.events, Metrics: d.metrics,
		Ready: func() bool { return d.copy.View().Revision > 0 },
	}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	d.entry.Register(e)
	admin := e.Group("/admin/v1", entry.RequireToken(operatorToken))
	(&fleet.Admin{Log: d.controlLog, Copy: d.copy}).Register(admin)
	d.events.Register(admin)
	d.operations.Register(admin)
	admin.GET("/status", d.status)
	targets.Register(e.Group("/targets/v1", entry.RequireToken(announceToken)), d.targets, d.relayAnnouncement)
	d.echo = e
	return nil
}

// Status is the answer of GET /admin/v1/status.
type Status struct {
	Host       string           `json:"host"`
	DataCentre string           `json:"data_centre"`
	Region     string           `json:"region"`
	Revision   uint64           `json:"revision"`
	Index      uint64           `json:"index"`
	Draining   bool             `json:"draining"`
	Targets    []targets.Target `json:"targets"`
}

func (d *Daemon) status(c echo.Context) error {
	v := d.copy.View()
	return c.JSON(http.StatusOK, Status{
		Host: d.settings.Name, DataCentre: d.settings.DataCentre, Region: d.settings.Region,
		Revision: v.Revision, Index: v.Index, Draining: d.entry.Draining(), Targets: d.targets.All(),
	})
}

func (d *Daemon) count(name string) {
	metrics.GetOrRegisterCounter(name, d.metrics).Inc(1)
}
