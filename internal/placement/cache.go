package placement

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// PromptSegment is a segment of a prompt, identified by an ID that the caller chose.
type PromptSegment struct {
	ID     string
	Tokens int64
}

// prefixKeys returns for each segment a hash of the model and of all segments up to
// and including it. An engine reuses a cached segment only after the same prefix.
func prefixKeys(model string, segments []PromptSegment) []uint64 {
	keys := make([]uint64, len(segments))
	h := xxhash.New()
	_, _ = h.WriteString(model) // never fails
	for i, segment := range segments {
		_, _ = h.WriteString("\x00" + segment.ID)
		keys[i] = h.Sum64()
	}
	return keys
}

func segmentTokens(segments []PromptSegment) []int64 {
	tokens := make([]int64, len(segments))
	for i, segment := range segments {
		tokens[i] = segment.Tokens
	}
	return tokens
}

// prefixCache models the prefix cache of a target as an LRU cache of prompt segments.
type prefixCache struct {
	capacity, size int64
	order          *list.List // front is the most recently used
	entries        map[uint64]*list.Element
}

type cacheEntry struct {
	key    uint64
	tokens int64
}

func newPrefixCache(capacity int64) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), entries: map[uint64]*list.Element{}}
}

// cachedTokens returns the number of tokens in the longest cached prefix.
func (c *prefixCache) cachedTokens(keys []uint64, segments []PromptSegment) int64 {
	var tokens int64
	for i, k := range keys {
		if c.entries[k] == nil {
			break
		}
		tokens += segments[i].Tokens
	}
	return tokens
}

// insert marks segments as most recently used and adds those that are new. Then it
// evicts segments until the cache fits beside the inUse tokens of running requests.
func (c *prefixCache) insert(keys []uint64, tokens []int64, inUse int64) {
	for i := len(keys) - 1; i >= 0; i-- {
		if e := c.entries[keys[i]]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[keys[i]] = c.order.PushFront(cacheEntry{keys[i], tokens[i]})
		c.size += tokens[i]
	}
	for c.size > max(0, c.capacity-inUse) && c.order.Len() > 0 {
		oldest := c.order.Back()
		evicted := c.order.Remove(oldest).(cacheEntry)
		delete(c.entries, evicted.key)
		c.size -= evicted.tokens
	}
}
