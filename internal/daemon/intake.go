package daemon

import (
	"cmp"
	"runtime/debug"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/intake"
	"geraniumturn.example/geraniumturn/internal/settings"
)

// newGate builds the account of what others make this process hold, and sets the soft limit
// of the garbage collector from the same memory.
func newGate(s *settings.Settings, log *logrus.Logger, registry metrics.Registry) (*intake.Gate, error) {
	shares := intake.ControlShares
	if s.HasRole(settings.RoleEntry) || s.Configuration != settings.SourceDocument {
		shares = intake.EntryShares
	}
	memory := int64(cmp.Or(s.Deployment.MemoryMB, s.Limits.MemoryMB)) << 20
	if memory == 0 {
		var err error
		if memory, err = intake.MachineMemory(); err != nil {
			return nil, err
		}
	}
	descriptors, err := intake.Descriptors()
	if err != nil {
		return nil, err
	}
	limits := intake.LimitsFor(memory, descriptors, s.Limits.Connections, shares)
	debug.SetMemoryLimit(int64(intake.CollectorFraction * float64(memory)))
	log.WithFields(logrus.Fields{"memory": memory, "descriptors": descriptors, "account": limits.Account, "responses": limits.Responses,
		"connections": limits.Connections}).Info("limits")
	return intake.NewGate(limits, log, registry), nil
}
