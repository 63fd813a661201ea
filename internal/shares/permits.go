package shares

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PermitTTL is how long after it was asked for a permit may be used.
const PermitTTL = 500 * time.Millisecond

const (
	// permitBurst is the time whose permits may be granted at once, and at least one.
	permitBurst = time.Second
	// maxPermitWait bounds the time after which a host is told to ask again. More hosts than
	// the permits of that time ask too early, and are told again.
	maxPermitWait = 2 * time.Second
)

// Grants reports whether the holder of the set grants the permits of a key.
func (s PartitionSet) Grants(key string) bool {
	return s&partition(int(xxhash.Sum64String(key)%Partitions)) != 0
}

// PermitBucket grants the permits of a rate to all hosts, one request each. It belongs to the
// process that holds the partition of its key. It begins empty, because another process may
// have granted permits until just before. Invariant: at most rate x span and the permits of
// permitBurst, or one, are granted in any span.
type PermitBucket struct {
	rate       float64 // permits per second
	level      float64
	refilledAt time.Duration
	// expected is the number of hosts that were told to ask again and have not had their turn.
	expected float64
}

// NewPermitBucket returns an empty bucket.
func NewPermitBucket(now time.Duration) *PermitBucket { return &PermitBucket{refilledAt: now} }

// Take takes a permit at a rate, which must be positive. If there is none, it returns the time
// after which the asking host should ask again: hosts that ask at the same time get times one
// after the other.
func (b *PermitBucket) Take(now time.Duration, rate float64) (ok bool, wait time.Duration) {
	b.refill(now)
	b.rate = rate
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	seconds := min(maxPermitWait.Seconds(), (1-b.level+b.expected)/rate)
	b.expected++
	return false, time.Duration(seconds * float64(time.Second))
}

func (b *PermitBucket) refill(now time.Duration) {
	permits := b.rate * max(0, now-b.refilledAt).Seconds()
	b.refilledAt = max(b.refilledAt, now)
	b.level = min(max(1, b.rate*permitBurst.Seconds()), b.level+permits)
	b.expected = max(0, b.expected-permits)
}
