package gateway

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/engine"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
)

const (
	// Observations of engines are in all reports while the host is younger than
	// engineReportAlways, and later in those of one engineReportPeriod in engineReportOneIn:
	// long enough that each reader gets one, whatever its interval.
	engineReportAlways = 15 * time.Second
	engineReportPeriod = 500 * time.Millisecond
	engineReportOneIn  = 4
	// engineGaugeInterval is the time between two updates of the gauges of engines, and
	// engineLogChange the change of the time per prompt token or event that is logged.
	engineGaugeInterval = time.Second
	engineLogChange     = 0.25
)

// loggedRates are the rates of a service that were logged last.
type loggedRates struct{ read, event float64 }

// addEngineReports adds what this host has observed of engines. g.mu must be held.
func (g *Gateway) addEngineReports(now time.Duration, out *syncpb.UsageReport) {
	if now-g.engineGaugesAt >= engineGaugeInterval {
		g.engineGaugesAt = now
		g.showEngines(now)
	}
	if age := now - g.startedAt; age > engineReportAlways && int64(age/engineReportPeriod)%engineReportOneIn != 0 {
		return
	}
	for service, sums := range g.placer.EngineReports(now) {
		out.Engines = append(out.Engines, &syncpb.EngineObservations{Service: service, Sums: sums, Format: engine.ReportFormat})
	}
}

// mergeEngines applies what another host has observed of engines. g.mu must be held.
func (g *Gateway) mergeEngines(at time.Duration, in *syncpb.UsageReport) {
	for _, e := range in.GetEngines() {
		if !engine.KnownFormat(e.GetFormat()) {
			g.Log.WithFields(logrus.Fields{"host": in.GetHost(), "format": e.GetFormat()}).Debug("observations of engines in an unknown format")
			continue
		}
		if !g.placer.MergeEngineReport(at, in.GetHost(), e.GetService(), e.GetSums()) {
			g.Log.WithFields(logrus.Fields{"host": in.GetHost(), "service": e.GetService(), "values": len(e.GetSums())}).Warn("invalid observations of engines")
		}
	}
}

// showEngines updates the gauges of the learnt rates, and logs those that have changed.
// g.mu must be held.
func (g *Gateway) showEngines(now time.Duration) {
	for service := range g.placer.EngineReports(now) {
		r, e := g.placer.EngineRates(now, service)
		for name, value := range map[string]float64{"read_ns": r.Read, "event_us": r.Event / 1e3, "first_us": float64(r.First.Microseconds()),
			"hidden_us": float64(r.Hidden.Microseconds()), "queue_percent": 100 * r.QueueScale, "stream_percent": 100 * r.StreamScale, "first_error_percent": 100 * e.First.Size, "stream_error_percent": 100 * e.Stream.Size} {
			metrics.GetOrRegisterGauge("engines."+service+"."+name, g.Metrics).Update(int64(value))
		}
		old, current := g.engineRates[service], loggedRates{r.Read, r.Event}
		if !changed(old.read, current.read) && !changed(old.event, current.event) {
			continue
		}
		g.engineRates[service] = current
		g.logEngine(service, r, e)
	}
}

func (g *Gateway) logEngine(service string, r engine.Rates, e engine.Errors) {
	g.Log.WithFields(logrus.Fields{"service": service, "first_ms": r.First.Milliseconds(), "read_ns": int64(r.Read), "read_per_running_ns": int64(r.ReadPerRunning),
		"event_us": int64(r.Event / 1e3), "event_per_running_us": int64(r.EventPerRunning / 1e3), "events_per_token": r.EventsPerToken,
		"queue_scale": r.QueueScale, "hidden_ms": r.Hidden.Milliseconds(), "deviation_ms": r.Deviation.Milliseconds(), "stream_scale": r.StreamScale, "first_error": e.First.Size, "first_bias": e.First.Bias,
		"stream_error": e.Stream.Size, "stream_bias": e.Stream.Bias}).Info("engine rates")
}

func changed(old, current float64) bool { return math.Abs(current-old) > engineLogChange*old }
