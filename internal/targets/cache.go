package targets

import (
	"encoding/json"
	"fmt"
	"strconv"
)

const (
	// maxIndexBlocks bounds the prefix index of one target. A block stands for
	// about 256 tokens, so the index covers 2 million cached tokens.
	maxIndexBlocks = 8192
	// maxIndexTotal bounds the index over all targets: about 40 bytes a block,
	// so 10 MB of the 64 MB that a node may use.
	maxIndexTotal = 262_144
	// MaxCacheEventBytes bounds the body of a cache event.
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

// CacheEvent tells which prompt prefixes a target stored or removed.
type CacheEvent struct {
	Target      string `json:"target"`
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases by one with each event of an incarnation.
	Sequence uint64   `json:"sequence"`
	Stored   []Prefix `json:"stored,omitempty"`
	Removed  []Prefix `json:"removed,omitempty"`
	// Cleared means that the whole cache was dropped before Stored.
	Cleared bool `json:"cleared,omitempty"`
}

// DecodeCacheEvent reads and checks one JSON cache event.
func DecodeCacheEvent(data []byte) (CacheEvent, error) {
	var e CacheEvent
	if len(data) > MaxCacheEventBytes {
		return e, fmt.Errorf("%w: longer than %d bytes", ErrInvalid, MaxCacheEventBytes)
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("%w: no valid JSON: %v", ErrInvalid, err)
	}
	if !validName(e.Target) || e.Incarnation == 0 || e.Sequence == 0 {
		return e, fmt.Errorf("%w: target, incarnation and sequence are required", ErrInvalid)
	}
	if len(e.Stored)+len(e.Removed) > maxEventBlocks {
		return e, fmt.Errorf("%w: more than %d prefixes", ErrInvalid, maxEventBlocks)
	}
	return e, nil
}

// cacheIndex is the set of prefixes that a target is believed to hold. It is
// bounded and evicts in order of insertion. It is a hint: a wrong entry costs
// prefill time and nothing else.
type cacheIndex struct {
	blocks map[uint64]int // prefix to its position in ring
	ring   []uint64
	next   int
	// sequence of the last event; zero before the first.
	sequence uint64
}

// apply takes an event and reports whether a gap made it drop the index.
func (c *cacheIndex) apply(e *CacheEvent, limit int) (gap bool) {
	if e.Sequence <= c.sequence {
		return false // late or repeated
	}
	gap = c.sequence != 0 && e.Sequence != c.sequence+1
	if gap || e.Cleared {
		c.drop()
	}
	c.sequence = e.Sequence
	for _, p := range e.Removed {
		delete(c.blocks, uint64(p))
	}
	for _, p := range e.Stored {
		c.add(uint64(p), limit)
	}
	return gap
}

func (c *cacheIndex) drop() { c.blocks, c.ring, c.next = nil, nil, 0 }

func (c *cacheIndex) add(p uint64, limit int) {
	if _, ok := c.blocks[p]; ok || limit < 1 {
		return
	}
	if c.blocks == nil {
		c.blocks = map[uint64]int{}
	}
	if len(c.ring) < limit {
		c.blocks[p] = len(c.ring)
		c.ring = append(c.ring, p)
		return
	}
	c.next %= len(c.ring)
	if old := c.ring[c.next]; c.blocks[old] == c.next {
		delete(c.blocks, old)
	}
	c.ring[c.next], c.blocks[p] = p, c.next
	c.next++
}

// match returns how many of the growing prefixes are held, from the first on.
func (c *cacheIndex) match(prefixes []uint64) int {
	if len(c.blocks) == 0 {
		return 0
	}
	for i, p := range prefixes {
		if _, ok := c.blocks[p]; !ok {
			return i
		}
	}
	return len(prefixes)
}
