package targets

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ErrInvalid means that an announcement or cache event cannot be accepted as it is.
var ErrInvalid = errors.New("targets: invalid announcement")

// ErrStale means that a newer incarnation of the target is known.
var ErrStale = errors.New("targets: stale incarnation")

// ErrFull means that the table holds as many targets as it may.
var ErrFull = errors.New("targets: table is full")

// SilenceLimit is how long a target may be silent before it gets no new work.
// Targets announce themselves each second.
const SilenceLimit = 3 * time.Second

const (
	// AnnounceInterval is how often a target announces itself.
	AnnounceInterval = time.Second

	// transitAllowance is how long an announcement may take to a host, and a
	// relayed one to the next. Work stops that much before SilenceLimit, so that
	// 3 s after one host learnt that a target leaves, hosts that are cut off
	// from that host have stopped as well.
	transitAllowance = 200 * time.Millisecond
	workLimit        = SilenceLimit - transitAllowance

	maxSlots     = 100_000
	maxName      = 128
	maxListItems = 256
	maxKVTokens  = 1 << 40
	maxLagMS     = 3_600_000
)

// Announcement is what a target reports each second.
type Announcement struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Incarnation increases at each start of the target.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases by one with each announcement of an incarnation and starts at 1.
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
	// FreeKVTokens is the free KV-cache room, in tokens. A target that never
	// reports more than zero is taken to have no such limit.
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

// DecodeAnnouncement reads and checks one JSON announcement. Unknown fields
// are permitted, so that newer targets can report more.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	if len(data) > MaxAnnouncementBytes {
		return a, fmt.Errorf("%w: longer than %d bytes", ErrInvalid, MaxAnnouncementBytes)
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, fmt.Errorf("%w: no valid JSON: %v", ErrInvalid, err)
	}
	return a, a.Validate()
}

// Validate checks the announcement on its own.
func (a *Announcement) Validate() error {
	for field, value := range map[string]string{"name": a.Name, "pool": a.Pool, "data_centre": a.DataCentre} {
		if !validName(value) {
			return fmt.Errorf("%w: %s must have 1 to %d printable ASCII characters without spaces", ErrInvalid, field, maxName)
		}
	}
	if a.Incarnation == 0 || a.Sequence == 0 {
		return fmt.Errorf("%w: incarnation and sequence must be at least 1", ErrInvalid)
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Port() == 0 {
		return fmt.Errorf("%w: address %q must be an IP number and a port", ErrInvalid, a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots || !validLoad(a.Running, a.Queued, a.FreeKVTokens, a.LagMS) {
		return fmt.Errorf("%w: slots must be from 1 to %d, load figures at least 0 and plausible", ErrInvalid, maxSlots)
	}
	for _, list := range [][]string{a.Models, a.Adapters, a.Features} {
		if len(list) > maxListItems {
			return fmt.Errorf("%w: a list has more than %d items", ErrInvalid, maxListItems)
		}
		for _, item := range list {
			if !validName(item) {
				return fmt.Errorf("%w: list item %q", ErrInvalid, item)
			}
		}
	}
	return nil
}

func validLoad(running, queued int, freeKV, lagMS int64) bool {
	return running >= 0 && running <= maxSlots && queued >= 0 && queued <= maxSlots &&
		freeKV >= 0 && freeKV <= maxKVTokens && lagMS >= 0 && lagMS <= maxLagMS
}

func validName(s string) bool {
	if s == "" || len(s) > maxName {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// HasFeature reports whether the target announced the feature.
func (a *Announcement) HasFeature(name string) bool { return slices.Contains(a.Features, name) }

// Serves reports whether the target serves the model. An empty model, on
// plain services, is served by every target of the pool.
func (a *Announcement) Serves(model string) bool {
	return model == "" || slices.Contains(a.Models, model)
}

// identity digests everything but the load and the sequence. Hosts compare it
// to find out that they know different things about a target.
func (a *Announcement) identity() uint64 {
	b := *a
	b.Sequence, b.Running, b.Queued, b.FreeKVTokens, b.LagMS = 0, 0, 0, 0, 0
	data, err := json.Marshal(b)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
