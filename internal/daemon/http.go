package daemon

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"geraniumturn.example/geraniumturn/internal/bytebudget"
	"geraniumturn.example/geraniumturn/internal/entry"
	"geraniumturn.example/geraniumturn/internal/fleet"
	"geraniumturn.example/geraniumturn/internal/intake"
	"geraniumturn.example/geraniumturn/internal/peer"
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
		Bodies: bytebudget.Budget{Limit: d.gate.Account.Limits().Account},
		Fleet:  d.replica, Keys: d.keys, Placement: entryPlacement{d.settings.Self(), d.members.All}, Runner: d.dispatcher,
		Quota: quotaAdapter{d.quota}, Operations: operationsAdapter{d.operations}, Fingerprints: fingerprints{d.suspects},
		Events: d.events, Metrics: d.metrics,
		Ready:    func() bool { return d.fleet.started.Load() && d.replica.View().Revision > 0 },
		Starting: func() bool { return !d.fleet.started.Load() },
	}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	d.entry.Register(e)
	admin := e.Group("/admin/v1", echo.WrapMiddleware(intake.Handler), entry.RequireToken(operatorToken))
	(&fleet.Admin{Log: d.controlLog, Replica: d.replica, Propagator: d.fleet}).Register(admin)
	d.events.Register(admin)
	d.operations.Register(admin)
	d.quota.Register(admin)
	admin.GET("/status", d.status)
	d.registerControl(admin)
	targets.Register(e.Group("/targets/v1", echo.WrapMiddleware(intake.Handler), entry.RequireToken(announceToken)), d.targets, d.urgentAnnouncement)
	d.echo = e
	d.registerTrafficGauges()
	return nil
}

// registerTrafficGauges registers gauges of the connections between hosts.
func (d *Daemon) registerTrafficGauges() {
	for name, value := range map[string]func(peer.Traffic) int64{
		"peer.bytes_sent":     func(t peer.Traffic) int64 { return t.BytesSent },
		"peer.bytes_received": func(t peer.Traffic) int64 { return t.BytesReceived },
		"peer.connections":    func(t peer.Traffic) int64 { return t.Connections },
	} {
		metrics.NewRegisteredFunctionalGauge(name, d.metrics, func() int64 { return value(d.transport.Traffic()) })
	}
}

// Status is the response body of GET /admin/v1/status.
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
	v := d.replica.View()
	return c.JSON(http.StatusOK, Status{
		Host: d.settings.Name, DataCentre: d.settings.DataCentre, Region: d.settings.Region,
		Revision: v.Revision, Index: v.Index, Draining: d.entry.Draining(), Targets: d.targets.All(),
	})
}

func (d *Daemon) count(name string) {
	metrics.GetOrRegisterCounter(name, d.metrics).Inc(1)
}
