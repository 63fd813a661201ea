package standin

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken = 4
	// blockBytes is the granularity of cached prefixes. It equals the block size of
	// the gateway's prefix digests, so that cache events refer to the same prefixes.
	blockBytes  = 1024
	blockTokens = blockBytes / bytesPerToken
)

// prefixCache is an LRU cache of prompt prefixes, in blocks of blockBytes.
type prefixCache struct {
	mu       sync.Mutex
	capacity int
	recency  *list.List // of uint64, most recently used first
	elements map[uint64]*list.Element
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{capacity: tokens / blockTokens, recency: list.New(), elements: map[uint64]*list.Element{}}
}

// lookupAndInsert returns how many tokens of the prompt were cached, and caches its
// other full blocks. It also returns the digests of the blocks added and evicted.
func (c *prefixCache) lookupAndInsert(model string, prompt []byte) (cached int, added, evicted []uint64) {
	if c.capacity == 0 {
		return 0, nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	hit := true
	for len(prompt) >= blockBytes {
		_, _ = digest.Write(prompt[:blockBytes])
		prompt = prompt[blockBytes:]
		sum := digest.Sum64()
		element, ok := c.elements[sum]
		hit = hit && ok
		if hit {
			cached += blockTokens
		}
		if ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.elements[sum] = c.recency.PushFront(sum)
		added = append(added, sum)
	}
	for c.recency.Len() > c.capacity {
		last := c.recency.Back()
		sum := c.recency.Remove(last).(uint64)
		delete(c.elements, sum)
		evicted = append(evicted, sum)
	}
	return cached, added, evicted
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recency.Init()
	clear(c.elements)
}
