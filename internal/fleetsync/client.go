package fleetsync

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/recovery"
	"geraniumturn.example/geraniumturn/internal/registry"
	"geraniumturn.example/geraniumturn/internal/rendezvous"
)

const (
	// sameRegionInterval and crossRegionInterval are the times between exchanges with
	// the control hosts of the same region and of another one. A region's control hosts
	// relay to each other, so the exchanges are divided among them.
	sameRegionInterval  = 200 * time.Millisecond
	crossRegionInterval = 500 * time.Millisecond
	// startupInterval applies instead until the host has a current configuration.
	startupInterval = 100 * time.Millisecond
	// retryInterval is the time between attempts to reach a control host that does
	// not respond.
	retryInterval   = time.Second
	exchangeTimeout = 700 * time.Millisecond
	// startupTimeout replaces exchangeTimeout until the host has a current
	// configuration. A connection to a control host that is still starting may hang,
	// and a new attempt succeeds sooner.
	startupTimeout = 300 * time.Millisecond
	// sameRegionSilenceTimeout is the time without a response from any control host of
	// the same region after which those of other regions get full reports.
	sameRegionSilenceTimeout = 800 * time.Millisecond
	// discoverInterval is the time between checks for new control hosts, and
	// startupDiscoverInterval that until the host has a current configuration.
	discoverInterval        = 500 * time.Millisecond
	startupDiscoverInterval = 100 * time.Millisecond
)

// Update is the result of one exchange.
type Update struct {
	// SentAt is when the request was sent, ControlAddress the peer address of the
	// control host that responded.
	SentAt         time.Duration
	ControlAddress string
	// Region is the region of the control host, or "" before it is known.
	Region string
	*syncpb.ExchangeResponse
	Records []registry.Record
}

// Client exchanges reports with control hosts on behalf of an entry host.
type Client struct {
	Name, Region string
	Dial         func(address string) drpc.Conn
	// NewRequest returns the report of this host, with the origins of streams after a
	// cursor; the client adds its position in the target table. Control hosts of the same region get full reports and relay them.
	// Those of other regions get full reports only while none of the same region
	// responds.
	NewRequest func(now time.Duration, full bool, originCursor uint64) *syncpb.ExchangeRequest
	// TargetDigests returns the digests of this host's table of targets. If it is nil, control
	// hosts tell everything in full, as to earlier builds.
	TargetDigests func() []uint64
	// ConfigurationFresh reports whether the configuration is recent enough to serve.
	ConfigurationFresh func() bool
	// Apply processes an update. Calls are serialised.
	Apply func(now time.Duration, u Update)
	// ReachabilityChanged is called when a control host stops or starts responding.
	ReachabilityChanged func(control string, reachable bool, err error)
	// InvalidRecords is called with the address of a control host that sent records that
	// were skipped.
	InvalidRecords func(control string, err error)
	// Documents fetches the content of configurations. Without it the control hosts send
	// it with their responses.
	Documents *Documents

	mu                sync.Mutex
	regionByControl   map[string]string // region by peer address
	sameRegionHeardAt time.Duration     // when a control host of the same region last responded
	polling           map[string]bool   // by peer address
	responds          map[string]bool   // whether the last exchange succeeded, by peer address
	applyMu           sync.Mutex        // serialises Apply
	released          releasedRates
}

// Run exchanges with the seeds and every control host that they announce until ctx
// ends.
func (c *Client) Run(ctx context.Context, seeds func() []string) error {
	c.regionByControl, c.polling, c.responds = map[string]string{}, map[string]bool{}, map[string]bool{}
	var pollers sync.WaitGroup
	defer pollers.Wait()
	if c.Documents != nil {
		pollers.Go(func() { c.fetchDocuments(ctx) })
	}
	for {
		c.mu.Lock()
		for _, a := range seeds() {
			if _, known := c.regionByControl[a]; !known {
				c.regionByControl[a] = ""
			}
		}
		for a := range c.regionByControl {
			if !c.polling[a] {
				c.polling[a] = true
				pollers.Go(func() { c.poll(ctx, a, seeds) })
			}
		}
		c.mu.Unlock()
		interval := startupDiscoverInterval
		if c.ConfigurationFresh() {
			interval = discoverInterval
		}
		if !clock.Sleep(ctx, interval) {
			return nil
		}
	}
}

// poll exchanges with one control host until ctx ends or the host is removed.
func (c *Client) poll(ctx context.Context, address string, seeds func() []string) {
	var table, cursor, originCursor uint64
	state := newControlState(c.Region, address)
	reachable := true
	respondedAt := clock.SinceBoot()
	for ctx.Err() == nil {
		sentAt := clock.SinceBoot()
		in := c.NewRequest(sentAt, c.needsFullReport(address, sentAt), originCursor)
		in.Table, in.Cursor = table, cursor
		c.requestDocument(in, address, sentAt)
		if c.TargetDigests != nil {
			c.released.trim(sentAt, in)
			state.prepare(in, c.TargetDigests, c.primary() != address)
		}
		timeout := exchangeTimeout
		if !c.ConfigurationFresh() {
			timeout = startupTimeout
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		out, err := syncpb.NewDRPCSyncClient(c.Dial(address)).Exchange(callCtx, in)
		cancel()
		now := clock.SinceBoot()
		wasFresh := c.ConfigurationFresh()
		if err == nil {
			// A response that cannot be applied fails like one that did not arrive.
			err = recovery.Do(func() error {
				state.apply(out)
				c.applyResponse(now, sentAt, address, in.GetVersion(), out)
				return nil
			})
		}
		c.recordOutcome(address, err == nil)
		if ok := err == nil; ok != reachable && ctx.Err() == nil {
			reachable = ok
			c.ReachabilityChanged(address, ok, err)
		}
		wait := retryInterval
		if err == nil {
			originCursor = in.GetOriginCursor()
			if out.GetTable() != table {
				originCursor = 0 // a new process of the control host, which has no origins yet
			}
			table, cursor, respondedAt = out.GetTable(), out.GetCursor(), now
			wait = c.pollInterval(address)
			if wantsMoreNow(in, out) {
				wait = resyncPause
			}
			if !wasFresh && c.ConfigurationFresh() {
				wait = 0 // report at once that this host serves
			}
		} else if !c.ConfigurationFresh() {
			wait = sameRegionInterval
		} else if now-respondedAt > controlRetention && c.removeControl(address, seeds()) {
			return
		}
		c.pause(ctx, wait)
	}
}

// applyResponse applies the response to a request of a host that had a version of the
// configuration.
func (c *Client) applyResponse(now, sentAt time.Duration, address string, version uint64, out *syncpb.ExchangeResponse) {
	c.addControls(out.GetControls())
	c.recordResponse(address, now)
	fetch := c.receiveDocument(sentAt, address, version, out)
	records, invalid := decodeRecords(now, out.GetTargets())
	if invalid != nil {
		c.InvalidRecords(address, invalid)
	}
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	c.Apply(now, Update{SentAt: sentAt, ControlAddress: address, Region: c.regionOf(address), ExchangeResponse: out, Records: records})
	fetch()
}

func (c *Client) addControls(controls []*syncpb.ControlHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range controls {
		if h.GetRegion() != "" || c.regionByControl[h.GetPeer()] == "" {
			c.regionByControl[h.GetPeer()] = h.GetRegion()
		}
	}
}

func (c *Client) pollInterval(address string) time.Duration {
	if !c.ConfigurationFresh() {
		return startupInterval
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	interval, region := crossRegionInterval, c.regionByControl[address]
	if region == c.Region {
		interval = sameRegionInterval
	}
	inRegion := 0
	for a, other := range c.regionByControl {
		if other == region && (a == address || c.responds[a]) {
			inRegion++
		}
	}
	return interval * time.Duration(inRegion)
}

// primary returns the control host that tells this host all changes of targets: one of its
// region that responds, or else another one. Hosts are spread over them by rendezvous.
func (c *Client) primary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	best, bestWeight, bestRank := "", uint64(0), -1
	for a, region := range c.regionByControl {
		rank := 0
		if c.responds[a] {
			rank = 1
			if region == c.Region {
				rank = 2
			}
		}
		if weight := rendezvous.Weight(c.Name, a); rank > bestRank || rank == bestRank && weight > bestWeight {
			best, bestWeight, bestRank = a, weight, rank
		}
	}
	return best
}

func (c *Client) regionOf(address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.regionByControl[address]
}

// recordResponse records the time of a response from a control host of the same region.
func (c *Client) recordResponse(address string, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.regionByControl[address] == c.Region {
		c.sameRegionHeardAt = now
	}
}

func (c *Client) recordOutcome(address string, responded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responds[address] = responded
}

// needsFullReport reports whether a control host gets a full report.
func (c *Client) needsFullReport(address string, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.regionByControl[address] == c.Region || now-c.sameRegionHeardAt > sameRegionSilenceTimeout
}

// removeControl removes a control host and reports true, unless it is one of the seeds.
func (c *Client) removeControl(address string, seeds []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range seeds {
		if s == address {
			return false
		}
	}
	delete(c.regionByControl, address)
	delete(c.polling, address)
	delete(c.responds, address)
	return true
}
