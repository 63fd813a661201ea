package shares

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Partitions is the number of partitions of a region. Each permit of a limit belongs to a
// partition, and each partition is leased to at most one host. It exceeds the number of
// hosts of most regions, so that all of them have a share.
const Partitions = 64

// PartitionSet is a set of partitions, one bit each.
type PartitionSet uint64

func partition(i int) PartitionSet { return 1 << i }

// Len returns the number of partitions in the set.
func (s PartitionSet) Len() int { return bits.OnesCount64(uint64(s)) }

// permitStride is the distance between the partitions of consecutive permits. It is odd, so
// that the first Partitions permits of a key are in different ones.
const permitStride = 11

// Permits returns how many permits of a limit belong to the set. The permits of each key
// are in other partitions.
func (s PartitionSet) Permits(key string, limit int) int {
	first := xxhash.Sum64String(key)
	n := limit / Partitions * s.Len()
	for i := range uint64(limit % Partitions) {
		if s&partition(int((first+i*permitStride)%Partitions)) != 0 {
			n++
		}
	}
	return n
}

// PartitionLease is what a host may use of the partitions of its region. It is not safe for
// concurrent use.
type PartitionLease struct {
	held PartitionSet
	asOf time.Duration
}

// Grant records the partitions that were granted for a report that this host sent at asOf.
// They replace those of earlier reports.
func (l *PartitionLease) Grant(held PartitionSet, asOf time.Duration) {
	if asOf >= l.asOf {
		l.held, l.asOf = held, asOf
	}
}

// Held returns the partitions that this host may use now.
func (l *PartitionLease) Held(now time.Duration) PartitionSet {
	if l.Remaining(now) == 0 {
		return 0
	}
	return l.held
}

// Remaining returns how long the lease still holds.
func (l *PartitionLease) Remaining(now time.Duration) time.Duration {
	if l.held == 0 {
		return 0
	}
	return max(0, l.asOf+LeaseDuration-now)
}

// Holder is one process of a host. A process that starts again has none of the permits of
// the earlier one, whose last use is unknown.
type Holder struct {
	Host        string
	StartMillis int64
}

// partitionReserve is how long after a report its holder may still have an effect: the
// lease on its clock, and the window in which its last permits count.
const partitionReserve = LeaseDuration + leaseMargin + pacerWindow

// PartitionAllocator leases the partitions of each region to its hosts. It runs on the
// control leader. Invariant: a partition is granted to a process only if no other has used
// it within the last pacerWindow and none may use it until the grant ends.
type PartitionAllocator struct {
	startedAt time.Duration
	regions   map[string]*regionPartitions
}

type regionPartitions struct {
	owners [Partitions]partitionOwner
	// reportedAt is when each process last reported.
	reportedAt map[Holder]time.Duration
}

type partitionOwner struct {
	Holder
	// until is the end of the time for which the partition is reserved for the holder.
	until time.Duration
}

// NewPartitionAllocator returns an allocator that knows no holder. Until the leases of an
// earlier allocator have ended it only renews what holders report.
func NewPartitionAllocator(now time.Duration) *PartitionAllocator {
	return &PartitionAllocator{startedAt: now, regions: map[string]*regionPartitions{}}
}

// Report processes the report of a process that holds some partitions, and returns those
// that it may use for LeaseDuration from the time at which it sent the report.
func (a *PartitionAllocator) Report(now time.Duration, region string, h Holder, held PartitionSet) PartitionSet {
	r := a.regions[region]
	if r == nil {
		r = &regionPartitions{reportedAt: map[Holder]time.Duration{}}
		a.regions[region] = r
	}
	r.reportedAt[h] = now
	for other, at := range r.reportedAt {
		if now-at > LeaseDuration {
			delete(r.reportedAt, other)
		}
	}
	if now-a.startedAt < partitionReserve {
		return r.renew(now, h, held)
	}
	return r.grant(now, h)
}

// renew grants what a process holds of an earlier allocator.
func (r *regionPartitions) renew(now time.Duration, h Holder, held PartitionSet) (granted PartitionSet) {
	for i := range r.owners {
		o := &r.owners[i]
		if free := o.until == 0; o.Holder == h || free && held&partition(i) != 0 {
			*o = partitionOwner{h, now + partitionReserve}
			granted |= partition(i)
		}
	}
	return granted
}

// grant renews the partitions of a process. It leaves out those beyond an even share, and
// adds free ones up to it.
func (r *regionPartitions) grant(now time.Duration, h Holder) (granted PartitionSet) {
	quota := r.quota(now, h)
	take := func(i int) {
		if granted.Len() < quota {
			r.owners[i] = partitionOwner{h, now + partitionReserve}
			granted |= partition(i)
		}
	}
	for i, o := range r.owners {
		if o.Holder == h && o.until > now {
			take(i)
		}
	}
	for i, o := range r.owners {
		if o.until <= now {
			take(i)
		}
	}
	return granted
}

// quota returns the number of partitions of an even share, rounded up while no process has
// less than one rounded down.
func (r *regionPartitions) quota(now time.Duration, h Holder) int {
	hosts := len(r.reportedAt)
	owned := make(map[Holder]int, hosts)
	for i := range r.owners {
		if o := &r.owners[i]; o.until > now {
			owned[o.Holder]++
		}
	}
	even := Partitions / hosts
	if Partitions%hosts == 0 {
		return even
	}
	for other := range r.reportedAt {
		if other != h && owned[other] < even {
			return even
		}
	}
	return even + 1
}
