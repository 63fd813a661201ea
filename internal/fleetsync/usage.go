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
	// usageInterval spaces the reports to a few hosts. With more than usagePeers
	// it grows with their number, so that the cost of a host stays the same.
	usageInterval = 100 * time.Millisecond
	// CrossRegionUsageInterval is the interval of reports to hosts of other regions.
	CrossRegionUsageInterval = 300 * time.Millisecond
	usagePeers               = 5
	usageTimeout             = 400 * time.Millisecond
)

// UsageReporter tells the entry hosts of a region what this one has in progress.
type UsageReporter struct {
	Dial func(address string) drpc.Conn
	// Interval spaces the reports; 0 means 100 ms.
	Interval time.Duration
	// Peers returns the addresses of the other hosts, Report what to tell them.
	Peers  func() []string
	Report func() *syncpb.UsageReport
}

// Run sends reports until ctx ends. A host that does not answer gets the next
// report when its call has ended.
func (s *UsageReporter) Run(ctx context.Context) error {
	var mu sync.Mutex
	busy := map[string]bool{}
	for ctx.Err() == nil {
		peers := s.Peers()
		if len(peers) > 0 {
			report := s.Report()
			if len(report.GetTargets()) == 0 && len(report.GetPrompts()) == 0 && s.Interval == CrossRegionUsageInterval {
				peers = nil
			}
			for _, a := range peers {
				mu.Lock()
				free := !busy[a]
				busy[a] = true
				mu.Unlock()
				if !free {
					continue
				}
				go func() {
					s.send(ctx, a, report)
					mu.Lock()
					delete(busy, a)
					mu.Unlock()
				}()
			}
		}
		clock.Sleep(ctx, max(usageInterval, s.Interval)*time.Duration(max(1, len(peers)/usagePeers)))
	}
	return nil
}

func (s *UsageReporter) send(ctx context.Context, address string, report *syncpb.UsageReport) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	// A lost report is replaced by the next one; what a silent host uses is
	// forgotten after a short time.
	_, _ = syncpb.NewDRPCUsageClient(s.Dial(address)).Share(ctx, report)
}
