package fleetsync

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/registry"
)

const (
	// nearInterval and farInterval space the exchanges with control hosts of the
	// own and of other regions.
	nearInterval = 200 * time.Millisecond
	farInterval  = 500 * time.Millisecond
	// startInterval spaces them until the host has a configuration.
	startInterval = 100 * time.Millisecond
	// failedInterval spaces the tries of a control host that does not answer.
	failedInterval  = time.Second
	exchangeTimeout = 700 * time.Millisecond
	// startTimeout replaces it until the host has a configuration: a connection to
	// a host that is just starting is best tried anew.
	startTimeout = 300 * time.Millisecond
	// nearSilence is the silence of the control hosts of the own region after which
	// others get full reports.
	nearSilence = 800 * time.Millisecond
	// discoverInterval spaces the checks for new control hosts.
	discoverInterval = 100 * time.Millisecond
)

// Update is what an exchange brought.
type Update struct {
	// SentAt is when the request left, Control the host that answered.
	SentAt         time.Duration
	ControlAddress string
	// Region is that of the control host, or "" before it is known.
	Region string
	*syncpb.ExchangeResponse
	Records []registry.Record
}

// Client is the part of an entry host.
type Client struct {
	Region string
	Dial   func(address string) drpc.Conn
	// NewRequest returns the report of this host; the client adds the position in
	// the target table. A full report goes to control hosts of the own region, which
	// relay it; to others it goes only while none of those answers.
	NewRequest func(now time.Duration, full bool) *syncpb.ExchangeRequest
	// ConfigurationFresh reports whether the host can serve with what it knows.
	ConfigurationFresh func() bool
	// Apply takes an answer. Calls are serialised.
	Apply func(now time.Duration, u Update)
	// ReachabilityChanged reports a control host that stops or starts answering.
	ReachabilityChanged func(control string, reachable bool, err error)

	mu       sync.Mutex
	controls map[string]string // region by peer address
	near     time.Duration     // when a control host of the own region last answered
	running  map[string]bool
	applying sync.Mutex
}

// Run exchanges with every known control host until ctx ends.
func (c *Client) Run(ctx context.Context, seeds func() []string) error {
	c.controls, c.running = map[string]string{}, map[string]bool{}
	ticker := time.NewTicker(discoverInterval)
	defer ticker.Stop()
	var pollers sync.WaitGroup
	defer pollers.Wait()
	for {
		c.mu.Lock()
		for _, a := range seeds() {
			if _, known := c.controls[a]; !known {
				c.controls[a] = ""
			}
		}
		for a := range c.controls {
			if !c.running[a] {
				c.running[a] = true
				pollers.Go(func() { c.poll(ctx, a, seeds) })
			}
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// poll exchanges with one control host until ctx ends or the host is forgotten.
func (c *Client) poll(ctx context.Context, address string, seeds func() []string) {
	var table, cursor uint64
	reachable := true
	heard := clock.SinceBoot()
	for ctx.Err() == nil {
		sent := clock.SinceBoot()
		in := c.NewRequest(sent, c.needsFull(address, sent))
		in.Table, in.Cursor = table, cursor
		timeout := exchangeTimeout
		if !c.ConfigurationFresh() {
			timeout = startTimeout
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		out, err := syncpb.NewDRPCSyncClient(c.Dial(address)).Exchange(callCtx, in)
		cancel()
		now := clock.SinceBoot()
		if ok := err == nil; ok != reachable && ctx.Err() == nil {
			reachable = ok
			c.ReachabilityChanged(address, ok, err)
		}
		wait := failedInterval
		if err == nil {
			table, cursor, heard = out.GetTable(), out.GetCursor(), now
			c.learn(out.GetControls())
			c.noteHeard(address, now)
			c.applying.Lock()
			c.Apply(now, Update{SentAt: sent, ControlAddress: address, Region: c.regionOf(address), ExchangeResponse: out, Records: decodeRecords(now, out.GetTargets())})
			c.applying.Unlock()
			wait = c.interval(address)
		} else if !c.ConfigurationFresh() {
			wait = nearInterval
		} else if now-heard > controlMemory && c.forget(address, seeds()) {
			return
		}
		clock.Sleep(ctx, wait)
	}
}

func (c *Client) learn(controls []*syncpb.ControlHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range controls {
		if h.GetRegion() != "" || c.controls[h.GetPeer()] == "" {
			c.controls[h.GetPeer()] = h.GetRegion()
		}
	}
}

func (c *Client) interval(address string) time.Duration {
	if !c.ConfigurationFresh() {
		return startInterval
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.controls[address] == c.Region {
		return nearInterval
	}
	return farInterval
}

func (c *Client) regionOf(address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controls[address]
}

// noteHeard records an answer.
func (c *Client) noteHeard(address string, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.controls[address] == c.Region {
		c.near = now
	}
}

// needsFull reports whether a control host gets the full report.
func (c *Client) needsFull(address string, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controls[address] == c.Region || now-c.near > nearSilence
}

// forget drops a control host that is not among the seeds.
func (c *Client) forget(address string, seeds []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range seeds {
		if s == address {
			return false
		}
	}
	delete(c.controls, address)
	delete(c.running, address)
	return true
}
