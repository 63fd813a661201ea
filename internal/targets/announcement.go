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

// ErrInvalid means that an announcement, a cache event or a relay message is malformed.
var ErrInvalid = errors.New("targets: invalid message")

// ErrStale means that an announcement has an older incarnation than the table, or
// that a cache event is for another incarnation or an unknown target.
var ErrStale = errors.New("targets: stale incarnation")

// ErrFull means that the target cannot be added: the table has MaxTargets
// entries, or its ID, a digest of the name, collides with that of another target.
var ErrFull = errors.New("targets: table is full")

// SilenceLimit is the time without an announcement after which a target gets no
// new requests. Targets announce themselves every AnnounceInterval.
const SilenceLimit = 3 * time.Second

const (
	// AnnounceInterval is the time between two announcements of a target.
	AnnounceInterval = time.Second

	// transitAllowance is the longest time that an announcement may take to reach
	// a host, or that a relayed one may take to the next host. Hosts stop sending
	// new requests this much before SilenceLimit. So if a target announces to one
	// host that it is leaving, a host that is partitioned from that one also stops
	// within SilenceLimit.
	transitAllowance = 200 * time.Millisecond
	newWorkLimit     = SilenceLimit - transitAllowance

	maxSlots     = 100_000
	maxNameBytes = 128
	maxListItems = 256
	maxKVTokens  = 1 << 40
	maxLagMS     = 3_600_000
)

// Announcement is the heartbeat of a target, sent every AnnounceInterval.
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
	// Slots is the number of requests that the target runs concurrently.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// FreeKVTokens is the free KV cache, in tokens. A target that never reports
	// more than zero is treated as having no KV cache limit.
	FreeKVTokens int64 `json:"free_kv_tokens,omitempty"`
	// LagMS is the age of the reported load, in milliseconds.
	LagMS int64 `json:"lag_ms,omitempty"`
	// Features lists optional features: priority, resume, cancel, kv_export, echo_request_id.
	Features []string `json:"features,omitempty"`
	// Software is the version of the target's software. A stream is resumed only on a
	// target with the version that began it.
	Software string `json:"software,omitempty"`
	// HonoursFencing is true when the target rejects requests with an outdated fencing token.
	HonoursFencing bool `json:"honours_fencing,omitempty"`
	// Leaving is true while the target drains: it must get no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// DecodeAnnouncement parses and validates one JSON announcement. Unknown fields
// are ignored, so that newer targets can report more.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	if len(data) > MaxAnnouncementBytes {
		return a, fmt.Errorf("%w: longer than %d bytes", ErrInvalid, MaxAnnouncementBytes)
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, fmt.Errorf("%w: not valid JSON: %v", ErrInvalid, err)
	}
	return a, a.Validate()
}

// Validate checks the fields of the announcement. It does not use the table.
func (a *Announcement) Validate() error {
	for field, value := range map[string]string{"name": a.Name, "pool": a.Pool, "data_centre": a.DataCentre} {
		if !validName(value) {
			return fmt.Errorf("%w: %s must have 1 to %d printable ASCII characters without spaces", ErrInvalid, field, maxNameBytes)
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
		return fmt.Errorf("%w: slots must be from 1 to %d; running, queued, free_kv_tokens and lag_ms must be within their limits", ErrInvalid, maxSlots)
	}
	for _, list := range [][]string{a.Models, a.Adapters, a.Features} {
		if len(list) > maxListItems {
			return fmt.Errorf("%w: models, adapters or features has more than %d items", ErrInvalid, maxListItems)
		}
		for _, item := range list {
			if !validName(item) {
				return fmt.Errorf("%w: invalid name %q in models, adapters or features", ErrInvalid, item)
			}
		}
	}
	if a.Software != "" && !validName(a.Software) {
		return fmt.Errorf("%w: software %q must have at most %d printable ASCII characters without spaces", ErrInvalid, a.Software, maxNameBytes)
	}
	return nil
}

func validLoad(running, queued int, freeKV, lagMS int64) bool {
	return running >= 0 && running <= maxSlots && queued >= 0 && queued <= maxSlots &&
		freeKV >= 0 && freeKV <= maxKVTokens && lagMS >= 0 && lagMS <= maxLagMS
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
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

// Serves reports whether the target serves the model. Plain services have an
// empty model, which every target of the pool serves.
func (a *Announcement) Serves(model string) bool {
	return model == "" || slices.Contains(a.Models, model)
}

// stateDigest returns a digest of all fields except the load and the sequence.
// Hosts compare digests to detect that their entries of a target differ.
func (a *Announcement) stateDigest() uint64 {
	b := *a
	b.Sequence, b.Running, b.Queued, b.FreeKVTokens, b.LagMS = 0, 0, 0, 0, 0
	data, err := json.Marshal(b)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
