package standin

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken = 4
	// blockBytes is the step of cached prefixes. It equals the step of the
	// gateway's prefix digests, so that cache events name the same prefixes.
	blockBytes  = 1024
	blockTokens = blockBytes / bytesPerToken
)

// prefixCache remembers prompt prefixes in blocks and evicts the least
// recently used ones.
type prefixCache struct {
	mu     sync.Mutex
	blocks int
	order  *list.List // of uint64, most recently used first
	known  map[uint64]*list.Element
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{blocks: tokens / blockTokens, order: list.New(), known: map[uint64]*list.Element{}}
}

// use returns how many tokens of the prompt were cached and caches the rest.
// It also returns the digests of the blocks that were added and evicted.
func (c *prefixCache) use(model string, prompt []byte) (cached int, added, evicted []uint64) {
	if c.blocks == 0 {
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
		element, ok := c.known[sum]
		hit = hit && ok
		if hit {
			cached += blockTokens
		}
		if ok {
			c.order.MoveToFront(element)
			continue
		}
		c.known[sum] = c.order.PushFront(sum)
		added = append(added, sum)
	}
	for c.order.Len() > c.blocks {
		last := c.order.Back()
		sum := c.order.Remove(last).(uint64)
		delete(c.known, sum)
		evicted = append(evicted, sum)
	}
	return cached, added, evicted
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.Init()
	clear(c.known)
}
