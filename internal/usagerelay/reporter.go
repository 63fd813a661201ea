package usagerelay

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/recovery"
)

const (
	// directInterval is the shortest time between direct reports. It is multiplied by the
	// number of peers divided by peersAtDirectInterval, rounded down and at least 1, so
	// that the cost for each host stays the same.
	directInterval        = 100 * time.Millisecond
	peersAtDirectInterval = 5
	// relayInterval is the time between reports to a relay, and between batches to the
	// other relays.
	relayInterval = 150 * time.Millisecond
	// crossRegionInterval is the time between reports to hosts of other regions.
	crossRegionInterval = 300 * time.Millisecond
	callTimeout         = 400 * time.Millisecond
	// maxPendingPrompts bounds the prompts that wait for the next direct report.
	maxPendingPrompts = 512
)

// Node is the entry host whose reports are spread.
type Node interface {
	// UsagePlan returns to whom the reports for hosts of this region go.
	UsagePlan() Plan
	// UsageFailed records that a relay did not respond.
	UsageFailed(address string)
	// RegionReport and CrossRegionReport return the reports for the hosts of this region
	// and of other regions. Each has the prompts since the previous one.
	RegionReport() *syncpb.UsageReport
	CrossRegionReport() *syncpb.UsageReport
	// CrossRegionPeers returns the hosts of other regions that get reports.
	CrossRegionPeers() []string
	// RecordOwnUsage records the own report as one of those that this host relays, and
	// takes it over.
	RecordOwnUsage(report *syncpb.UsageReport)
	// CollectedUsage returns what this host has collected as a relay after a position.
	CollectedUsage(after uint64) *syncpb.UsageBatch
	// ApplyUsage applies what a relay has passed on.
	ApplyUsage(in *syncpb.UsageBatch)
}

// Reporter reports the requests in progress on this entry host, and the prompts that it
// sent to targets, to other entry hosts. Errors of calls are not logged: the next report
// replaces a lost one, and receivers ignore the usage of a silent host after a short time.
type Reporter struct {
	Dial func(address string) drpc.Conn
	Node Node
	// OnPanic is called with an unexpected error, which ends one call only.
	OnPanic func(err error)

	mu       sync.Mutex
	inFlight map[string]bool     // calls of this region, by address
	received map[string]position // last batch from each relay, by address
	// sent is the position up to which other relays have what this host collected, by
	// address.
	sent map[string]uint64
	// directAt is when the next direct reports are due, pending the prompts for them.
	directAt time.Duration
	pending  []*syncpb.PlacedPrompt
}

// position is a position in what a process of a relay has received.
type position struct{ relay, next uint64 }

// Run reports to the hosts of this region until ctx ends.
func (s *Reporter) Run(ctx context.Context) error {
	s.inFlight, s.received, s.sent = map[string]bool{}, map[string]position{}, map[string]uint64{}
	for ctx.Err() == nil {
		wait := relayInterval
		err := recovery.Do(func() error { wait = s.round(ctx, clock.SinceBoot()); return nil })
		if err != nil {
			s.OnPanic(err)
		}
		clock.Sleep(ctx, wait)
	}
	return nil
}

// round sends the reports that are due and returns the time until the next round.
func (s *Reporter) round(ctx context.Context, now time.Duration) time.Duration {
	plan := s.Node.UsagePlan()
	interval := directInterval * time.Duration(max(1, len(plan.Direct)/peersAtDirectInterval))
	relayed := plan.Relay != "" || plan.IsRelay
	if !relayed && len(plan.Direct) == 0 {
		return directInterval
	}
	report := s.Node.RegionReport()
	if len(plan.Direct) > 0 {
		s.pending = append(s.pending, report.GetPrompts()...)
		s.pending = s.pending[max(0, len(s.pending)-maxPendingPrompts):]
		if now >= s.directAt {
			s.directAt = now + interval
			s.reportDirectly(ctx, plan.Direct, report)
		}
	}
	if !relayed {
		return interval
	}
	s.reportByRelay(ctx, plan, report)
	return relayInterval
}

// reportDirectly sends a report with all pending prompts.
func (s *Reporter) reportDirectly(ctx context.Context, peers []string, report *syncpb.UsageReport) {
	direct := proto.CloneOf(report)
	direct.Prompts, s.pending = s.pending, nil
	for _, a := range peers {
		s.call(ctx, a, func(ctx context.Context, client syncpb.DRPCUsageClient) error {
			_, err := client.Share(ctx, direct)
			return err
		})
	}
}

func (s *Reporter) reportByRelay(ctx context.Context, plan Plan, report *syncpb.UsageReport) {
	if plan.Relay != "" {
		s.call(ctx, plan.Relay, func(ctx context.Context, client syncpb.DRPCUsageClient) error {
			return s.collect(ctx, client, plan.Relay, report)
		})
	} else {
		s.Node.RecordOwnUsage(report)
	}
	for _, a := range plan.Spread {
		s.call(ctx, a, func(ctx context.Context, client syncpb.DRPCUsageClient) error { return s.spread(ctx, client, a) })
	}
}

// collect delivers a report to a relay and applies what the relay has from other hosts.
func (s *Reporter) collect(ctx context.Context, client syncpb.DRPCUsageClient, relay string, report *syncpb.UsageReport) error {
	s.mu.Lock()
	last := s.received[relay]
	s.mu.Unlock()
	batch, err := client.Collect(ctx, &syncpb.CollectRequest{Report: report, Relay: last.relay, After: last.next})
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.received[relay] = position{batch.GetRelay(), batch.GetNext()}
	s.mu.Unlock()
	s.Node.ApplyUsage(batch)
	return nil
}

// spread delivers to another relay what it does not have yet.
func (s *Reporter) spread(ctx context.Context, client syncpb.DRPCUsageClient, relay string) error {
	s.mu.Lock()
	after := s.sent[relay]
	s.mu.Unlock()
	batch := s.Node.CollectedUsage(after)
	if _, err := client.Spread(ctx, batch); err != nil {
		return err
	}
	s.mu.Lock()
	s.sent[relay] = batch.GetNext()
	s.mu.Unlock()
	return nil
}

// call calls a host of this region, unless the previous call to it is still in progress.
func (s *Reporter) call(ctx context.Context, address string, f func(context.Context, syncpb.DRPCUsageClient) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[address] {
		return
	}
	s.inFlight[address] = true
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := recovery.Do(func() error { return f(callCtx, syncpb.NewDRPCUsageClient(s.Dial(address))) })
		cancel()
		if errors.Is(err, recovery.ErrPanic) {
			s.OnPanic(err)
		}
		if err != nil && ctx.Err() == nil {
			s.Node.UsageFailed(address)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.inFlight, address)
	}()
}

// RunCrossRegion reports to hosts of other regions until ctx ends.
func (s *Reporter) RunCrossRegion(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		if peers := s.Node.CrossRegionPeers(); len(peers) > 0 {
			if report := s.Node.CrossRegionReport(); !isEmpty(report) {
				for _, a := range peers {
					calls.Go(func() {
						callCtx, cancel := context.WithTimeout(ctx, callTimeout)
						defer cancel()
						_, _ = syncpb.NewDRPCUsageClient(s.Dial(a)).Share(callCtx, report)
					})
				}
			}
		}
		clock.Sleep(ctx, crossRegionInterval)
	}
	return nil
}

func isEmpty(r *syncpb.UsageReport) bool {
	return len(r.GetTargets()) == 0 && len(r.GetPrompts()) == 0 && len(r.GetCrashes()) == 0 && len(r.GetServed()) == 0 && len(r.GetQuarantined()) == 0
}
