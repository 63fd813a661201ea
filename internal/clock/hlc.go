package clock

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Stamp is a hybrid logical timestamp: wall-clock milliseconds and a counter that
// orders events within the same millisecond.
type Stamp struct {
	WallMS  int64  `json:"wall_ms"`
	Counter uint32 `json:"counter"`
}

// Before reports whether s is ordered before o.
func (s Stamp) Before(o Stamp) bool {
	if s.WallMS != o.WallMS {
		return s.WallMS < o.WallMS
	}
	return s.Counter < o.Counter
}

func (s Stamp) String() string {
	return fmt.Sprintf("%d.%d", s.WallMS, s.Counter)
}

// ParseStamp parses the format that Stamp.String produces.
func ParseStamp(text string) (Stamp, error) {
	wall, counter, ok := strings.Cut(text, ".")
	if !ok {
		return Stamp{}, fmt.Errorf("clock: stamp %q has no counter", text)
	}
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return Stamp{}, fmt.Errorf("clock: stamp %q: %w", text, err)
	}
	c, err := strconv.ParseUint(counter, 10, 32)
	if err != nil {
		return Stamp{}, fmt.Errorf("clock: stamp %q: %w", text, err)
	}
	return Stamp{WallMS: w, Counter: uint32(c)}, nil
}

// maxAheadMS bounds how far a timestamp from a peer may move this clock ahead of the
// local wall clock, so that one host with a wrong clock does not shift the clocks of
// all hosts.
const maxAheadMS = 60_000

// HLC is a hybrid logical clock, safe for concurrent use. The timestamps that one
// clock issues strictly increase.
type HLC struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a timestamp later than every one that this clock issued or observed.
func (h *HLC) Now() Stamp {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(Stamp{WallMS: time.Now().UnixMilli()})
	return h.last
}

// Observe advances the clock to a timestamp received from another host, so that the
// next one issued is later. It ignores a timestamp that is more than maxAheadMS ahead
// of the local wall clock.
func (h *HLC) Observe(s Stamp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.WallMS > time.Now().UnixMilli()+maxAheadMS {
		return
	}
	if h.last.Before(s) {
		h.last = s
	}
}

func (h *HLC) advance(wall Stamp) {
	if h.last.Before(wall) {
		h.last = wall
		return
	}
	h.last.Counter++
}
