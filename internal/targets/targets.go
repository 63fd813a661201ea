package targets

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// ErrInvalid means that an announcement cannot be accepted as it is.
var ErrInvalid = errors.New("targets: invalid announcement")

// ErrStale means that a newer incarnation of the target is known.
var ErrStale = errors.New("targets: stale incarnation")

// SilenceLimit is how long a target may be silent before it gets no new work.
// Targets announce themselves each second.
const SilenceLimit = 3 * time.Second

const maxSlots = 100_000

// Announcement is what a target reports each second.
type Announcement struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Incarnation increases at each start of the target.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Address is IP:port of the target's HTTP server.
	Address    string   `json:"address"`
	Pool       string   `json:"pool"`
	DataCentre string   `json:"data_centre"`
	Models     []string `json:"models,omitempty"`
	Adapters   []string `json:"adapters,omitempty"`
	// Slots is how many requests the target runs at once.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// FreeKVTokens is the free KV-cache room, in tokens.
	FreeKVTokens int64 `json:"free_kv_tokens,omitempty"`
	// LagMS is the age of the reported load, in milliseconds.
	LagMS int64 `json:"lag_ms,omitempty"`
	// Features: priority, resume, cancel, kv_export, echo_request_id.
	Features []string `json:"features,omitempty"`
	// HonoursFencing is true when the target refuses orders with an old fencing number.
	HonoursFencing bool `json:"honours_fencing,omitempty"`
	// Leaving asks for no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Validate checks the announcement on its own.
func (a *Announcement) Validate() error {
	if a.Name == "" || a.Pool == "" || a.DataCentre == "" {
		return fmt.Errorf("%w: name, pool and data_centre are required", ErrInvalid)
	}
	host, port, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return fmt.Errorf("%w: address %q must be an IP number and a port", ErrInvalid, a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots || a.Running < 0 || a.Queued < 0 {
		return fmt.Errorf("%w: slots must be from 1 to %d, running and queued at least 0", ErrInvalid, maxSlots)
	}
	return nil
}

// HasFeature reports whether the target announced the feature.
func (a *Announcement) HasFeature(name string) bool { return slices.Contains(a.Features, name) }

// Serves reports whether the target serves the model. An empty model, on
// plain services, is served by every target of the pool.
func (a *Announcement) Serves(model string) bool {
	return model == "" || slices.Contains(a.Models, model)
}

// Target is a known target.
type Target struct {
	Announcement
	// Heard is when the last announcement arrived.
	Heard time.Time
	// InFlight is the number of requests that this host runs on the target.
	InFlight int
}

// Table is the set of known targets. It does no I/O; callers pass the time.
type Table struct {
	mu      sync.Mutex
	targets map[string]*Target
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{targets: map[string]*Target{}} }

// Announce takes an announcement. It reports whether it says something that
// other hosts must learn at once: a new target, incarnation or leaving state.
func (t *Table) Announce(now time.Time, a Announcement) (urgent bool, err error) {
	if err := a.Validate(); err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.targets[a.Name]
	if !ok {
		t.targets[a.Name] = &Target{Announcement: a, Heard: now}
		return true, nil
	}
	if a.Incarnation < old.Incarnation {
		return false, fmt.Errorf("%w: %s has incarnation %d, not %d", ErrStale, a.Name, old.Incarnation, a.Incarnation)
	}
	if a.Incarnation == old.Incarnation && a.Sequence <= old.Sequence {
		return false, nil
	}
	urgent = a.Incarnation != old.Incarnation || a.Leaving != old.Leaving
	old.Announcement, old.Heard = a, now
	return urgent, nil
}

// Available returns copies of the targets of the pool that serve the model and
// may get new work, in order of name.
func (t *Table) Available(now time.Time, pool, model string) []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Target
	for _, target := range t.targets {
		if target.Pool == pool && target.Serves(model) && !target.Leaving && now.Sub(target.Heard) < SilenceLimit {
			out = append(out, *target)
		}
	}
	slices.SortFunc(out, func(a, b Target) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// All returns copies of all known targets.
func (t *Table) All() []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Target, 0, len(t.targets))
	for _, target := range t.targets {
		out = append(out, *target)
	}
	return out
}

// Begin counts a request that this host starts on the target.
func (t *Table) Begin(name string) { t.add(name, 1) }

// End counts a request that ended.
func (t *Table) End(name string) { t.add(name, -1) }

func (t *Table) add(name string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if target, ok := t.targets[name]; ok {
		target.InFlight += n
	}
}
