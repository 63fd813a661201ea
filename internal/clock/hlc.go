package clock

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Stamp is a hybrid logical time: wall-clock milliseconds and a counter that
// orders events within the same millisecond.
type Stamp struct {
	WallMS  int64  `json:"wall_ms"`
	Counter uint32 `json:"counter"`
}

// Before reports whether s comes before o.
func (s Stamp) Before(o Stamp) bool {
	if s.WallMS != o.WallMS {
		return s.WallMS < o.WallMS
	}
	return s.Counter < o.Counter
}

func (s Stamp) String() string {
	return fmt.Sprintf("%d.%d", s.WallMS, s.Counter)
}

// ParseStamp reads the form that String writes.
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

// maxAheadMS bounds how far a peer's stamp may pull this clock ahead of its
// own wall clock, so that one host with a wrong clock does not shift all.
const maxAheadMS = 60_000

// HLC is a hybrid logical clock. Stamps from one clock strictly increase.
type HLC struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp after all that were issued or observed before.
func (h *HLC) Now() Stamp {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(Stamp{WallMS: time.Now().UnixMilli()})
	return h.last
}

// Observe moves the clock past a stamp received from another host.
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
