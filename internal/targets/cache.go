package targets

import (
	"encoding/json"
	"fmt"
	"strconv"
)

const (
	// maxIndexBlocks bounds the prefix index of one target. A block is about
	// 256 tokens, so the index covers about 2 million cached tokens.
	maxIndexBlocks = 8192
	// maxTotalIndexBlocks bounds the indexes of all targets together. At about 40
	// bytes a block they use 10 MB of the 64 MB that a host may use.
	maxTotalIndexBlocks = 262_144
	// MaxCacheEventBytes limits the body of a cache event.
	MaxCacheEventBytes = 256 << 10
	maxEventBlocks     = 8192
)

// Prefix is the digest of a prompt prefix. In JSON it is a string of 16
// hexadecimal digits, since JSON numbers lose precision above 2^53.
type Prefix uint64

// MarshalJSON implements json.Marshaler.
func (p Prefix) MarshalJSON() ([]byte, error) {
	return fmt.Appendf(nil, `"%016x"`, uint64(p)), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Prefix) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return fmt.Errorf("%w: prefix %q must have 16 hexadecimal digits", ErrInvalid, text)
	}
	*p = Prefix(v)
	return nil
}

// CacheEvent lists the prompt prefixes that a target added to its cache or evicted.
type CacheEvent struct {
	Target      string `json:"target"`
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases by one with each event of an incarnation.
	Sequence uint64   `json:"sequence"`
	Stored   []Prefix `json:"stored,omitempty"`
	Removed  []Prefix `json:"removed,omitempty"`
	// Cleared means that the cache was emptied before the prefixes in Stored were added.
	Cleared bool `json:"cleared,omitempty"`
}

// DecodeCacheEvent parses and validates one JSON cache event.
func DecodeCacheEvent(data []byte) (CacheEvent, error) {
	var e CacheEvent
	if len(data) > MaxCacheEventBytes {
		return e, fmt.Errorf("%w: longer than %d bytes", ErrInvalid, MaxCacheEventBytes)
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("%w: not valid JSON: %v", ErrInvalid, err)
	}
	if !validName(e.Target) || e.Incarnation == 0 || e.Sequence == 0 {
		return e, fmt.Errorf("%w: target, incarnation and sequence are required", ErrInvalid)
	}
	if len(e.Stored)+len(e.Removed) > maxEventBlocks {
		return e, fmt.Errorf("%w: more than %d prefixes", ErrInvalid, maxEventBlocks)
	}
	return e, nil
}

// cacheIndex estimates which prefixes a target has in its cache. It is bounded
// and evicts in order of insertion. It is only a hint: a wrong entry costs
// prefill time.
type cacheIndex struct {
	positions map[uint64]int // from prefix to its index in ring
	ring      []uint64
	next      int
	// sequence is that of the last event; 0 before the first.
	sequence uint64
}

// apply updates the index from an event. It reports whether events were missed;
// the index is then cleared first, because it may lack evictions.
func (c *cacheIndex) apply(e *CacheEvent, limit int) (gap bool) {
	if e.Sequence <= c.sequence {
		return false // reordered or duplicate
	}
	gap = c.sequence != 0 && e.Sequence != c.sequence+1
	if gap || e.Cleared {
		c.clear()
	}
	c.sequence = e.Sequence
	for _, p := range e.Removed {
		delete(c.positions, uint64(p))
	}
	for _, p := range e.Stored {
		c.add(uint64(p), limit)
	}
	return gap
}

func (c *cacheIndex) clear() { c.positions, c.ring, c.next = nil, nil, 0 }

func (c *cacheIndex) add(p uint64, limit int) {
	if _, ok := c.positions[p]; ok || limit < 1 {
		return
	}
	if c.positions == nil {
		c.positions = map[uint64]int{}
	}
	if len(c.ring) < limit {
		c.positions[p] = len(c.ring)
		c.ring = append(c.ring, p)
		return
	}
	c.next %= len(c.ring)
	if old := c.ring[c.next]; c.positions[old] == c.next {
		delete(c.positions, old)
	}
	c.ring[c.next], c.positions[p] = p, c.next
	c.next++
}

// match returns the length of the longest run of prefixes, from the first on, that
// are in the index.
func (c *cacheIndex) match(prefixes []uint64) int {
	if len(c.positions) == 0 {
		return 0
	}
	for i, p := range prefixes {
		if _, ok := c.positions[p]; !ok {
			return i
		}
	}
	return len(prefixes)
}
