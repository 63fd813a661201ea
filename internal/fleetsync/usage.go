package fleetsync

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
)

const (
	// usageInterval is the shortest time between reports. It is multiplied by the number
	// of peers divided by peersAtBaseInterval, rounded down and at least 1, so that the
	// cost for each host stays the same.
	usageInterval = 100 * time.Millisecond
	// CrossRegionUsageInterval is the time between reports to hosts of other regions.
	CrossRegionUsageInterval = 300 * time.Millisecond
	peersAtBaseInterval      = 5
	usageTimeout             = 400 * time.Millisecond
)

// UsageReporter reports the requests in progress on this entry host, and the prompts that
// it sent to targets, to other entry hosts.
type UsageReporter struct {
	Dial func(address string) drpc.Conn
	// Interval is the time between reports; 0 means 100 ms.
	Interval time.Duration
	// Peers returns the addresses of the other hosts, Report the report to send them.
	Peers  func() []string
	Report func() *syncpb.UsageReport
}

// Run sends reports until ctx ends. A host whose previous call is still in progress is
// skipped.
func (s *UsageReporter) Run(ctx context.Context) error {
	var mu sync.Mutex
	inFlight := map[string]bool{}
	for ctx.Err() == nil {
		peers := s.Peers()
		if len(peers) > 0 {
			report := s.Report()
			empty := len(report.GetTargets()) == 0 && len(report.GetPrompts()) == 0 && len(report.GetCrashes()) == 0 &&
				len(report.GetServed()) == 0 && len(report.GetQuarantined()) == 0
			if empty && s.Interval == CrossRegionUsageInterval {
				peers = nil
			}
			for _, a := range peers {
				mu.Lock()
				idle := !inFlight[a]
				inFlight[a] = true
				mu.Unlock()
				if !idle {
					continue
				}
				go func() {
					s.send(ctx, a, report)
					mu.Lock()
					delete(inFlight, a)
					mu.Unlock()
				}()
			}
		}
		clock.Sleep(ctx, max(usageInterval, s.Interval)*time.Duration(max(1, len(peers)/peersAtBaseInterval)))
	}
	return nil
}

func (s *UsageReporter) send(ctx context.Context, address string, report *syncpb.UsageReport) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	// The error is ignored: the next report replaces a lost one, and receivers expire
	// the usage of a silent host after a short time.
	_, _ = syncpb.NewDRPCUsageClient(s.Dial(address)).Share(ctx, report)
}
