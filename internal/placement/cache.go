package placement

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// Part is a piece of a prompt, as the caller named it.
type PromptSegment struct {
	ID     string
	Tokens int64
}

// chain returns for each part a key that stands for it and all parts before it,
// since an engine reuses a part only behind the same ones.
func chain(model string, parts []PromptSegment) []uint64 {
	out := make([]uint64, len(parts))
	h := xxhash.New()
	_, _ = h.WriteString(model) // never fails
	for i, p := range parts {
		_, _ = h.WriteString("\x00" + p.ID)
		out[i] = h.Sum64()
	}
	return out
}

func tokensOf(parts []PromptSegment) []int64 {
	out := make([]int64, len(parts))
	for i, p := range parts {
		out[i] = p.Tokens
	}
	return out
}

// prefixCache models the prompt parts that a target keeps, least recently used
// parts leaving first.
type prefixCache struct {
	capacity, size int64
	order          *list.List // front is the latest used
	parts          map[uint64]*list.Element
}

type cached struct {
	key    uint64
	tokens int64
}

func newPrefixCache(capacity int64) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), parts: map[uint64]*list.Element{}}
}

// hit returns the tokens of the leading parts that are cached.
func (c *prefixCache) hit(keys []uint64, parts []PromptSegment) int64 {
	var tokens int64
	for i, k := range keys {
		if c.parts[k] == nil {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}

// use marks parts as just used and adds those that are new.
func (c *prefixCache) use(keys []uint64, tokens []int64, running int64) {
	for i := len(keys) - 1; i >= 0; i-- {
		if e := c.parts[keys[i]]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[keys[i]] = c.order.PushFront(cached{keys[i], tokens[i]})
		c.size += tokens[i]
	}
	for c.size > max(0, c.capacity-running) && c.order.Len() > 0 {
		last := c.order.Back()
		gone := c.order.Remove(last).(cached)
		delete(c.parts, gone.key)
		c.size -= gone.tokens
	}
}
