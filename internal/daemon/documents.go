package daemon

import (
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/doctransfer"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/gateway"
)

// newDocuments builds the fetching of configurations on an entry host.
func (d *deploymentDaemon) newDocuments(g *gateway.Gateway) *fleetsync.Documents {
	out := fleetsync.NewDocuments(doctransfer.Host{Address: d.settings.Deployment.PeerAddress(), DataCentre: d.settings.DataCentre, Region: d.settings.Region})
	out.Peers, out.OnTransfer = g.DocumentPeers, d.recordTransfer
	out.OnFailure = func(source string, err error) {
		metrics.GetOrRegisterCounter("documents.failed", d.metrics).Inc(1)
		d.log.WithError(err).WithField("source", source).Warn("configuration not received")
	}
	d.addSourceMetrics(out.Stats)
	return out
}

// recordTransfer logs and counts a configuration that was fetched.
func (d *deploymentDaemon) recordTransfer(t *doctransfer.Transfer) {
	for name, n := range map[string]int{"transfers": 1, "bytes": t.Bytes, "busy": t.Busy, "absent": t.Absent, "unanswered": t.Failed, "resumed": t.Resumed} {
		metrics.GetOrRegisterCounter("documents."+name, d.metrics).Inc(int64(n))
	}
	d.log.WithFields(logrus.Fields{"version": t.Version, "length": t.Length, "bytes": t.Bytes, "delta": t.Delta, "parts": t.Parts, "busy": t.Busy, "absent": t.Absent,
		"unanswered": t.Failed, "resumed": t.Resumed, "source": t.From, "took_ms": t.Took.Milliseconds()}).Info("configuration fetched")
}

// addSourceMetrics registers gauges of what this host has handed out.
func (d *deploymentDaemon) addSourceMetrics(stats func() doctransfer.Stats) {
	for name, pick := range map[string]func(doctransfer.Stats) int64{
		"parts": func(s doctransfer.Stats) int64 { return s.Parts },
		"bytes": func(s doctransfer.Stats) int64 { return s.Bytes },
		"busy":  func(s doctransfer.Stats) int64 { return s.Busy },
	} {
		metrics.NewRegisteredFunctionalGauge("documents.served_"+name, d.metrics, func() int64 { return pick(stats()) })
	}
}
