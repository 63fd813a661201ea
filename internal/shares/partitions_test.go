package shares_test

import (
	"fmt"
	"math/bits"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumturn.example/geraniumturn/internal/shares"
)

// leaseHolder is a process of a host.
type leaseHolder struct {
	shares.Holder
	lease shares.PartitionLease
	// lastHeld is when each partition was last held.
	lastHeld [shares.Partitions]time.Duration
}

// Guards against a partition that two processes may use within a second, over changes of
// the leader, processes that start again, and lost and delayed grants.
func TestPartitionHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := second
		leader := shares.NewPartitionAllocator(now)
		var holders []*leaseHolder
		for i := range rapid.IntRange(1, 6).Draw(t, "hosts") {
			holders = append(holders, &leaseHolder{Holder: shares.Holder{Host: fmt.Sprint("h", i), StartMillis: 1}})
		}
		processes := slices.Clone(holders)
		for range 300 {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * ms
			i := rapid.IntRange(0, len(holders)-1).Draw(t, "host")
			switch h := holders[i]; rapid.IntRange(0, 39).Draw(t, "event") {
			case 0:
				leader = shares.NewPartitionAllocator(now)
			case 1:
				holders[i] = &leaseHolder{Holder: shares.Holder{Host: h.Host, StartMillis: h.StartMillis + 1}}
				processes = append(processes, holders[i])
			case 2, 3, 4:
				leader.Report(now, "r", h.Holder, h.lease.Held(now)) // the grant is lost
			default:
				sentAt, held := now, h.lease.Held(now)
				now += time.Duration(rapid.IntRange(0, 100).Draw(t, "delay")) * ms
				h.lease.Grant(leader.Report(now, "r", h.Holder, held), sentAt)
			}
			for p := range shares.Partitions {
				var user *leaseHolder
				for _, h := range processes {
					if h.lease.Held(now)&(1<<p) == 0 {
						continue
					}
					if h.lastHeld[p] = now; user != nil {
						t.Fatalf("partition %d: %v and %v hold it", p, user.Holder, h.Holder)
					}
					user = h
				}
				for _, h := range processes {
					if user != nil && h != user && h.lastHeld[p] > 0 && now-h.lastHeld[p] < second {
						t.Fatalf("partition %d: %v holds it %s after %v", p, user.Holder, now-h.lastHeld[p], h.Holder)
					}
				}
			}
		}
	})
}

// Guards against hosts that get no part of a shared limit, or keep more than theirs when
// others join, and against partitions that nobody holds.
func TestPartitionsAreShared(t *testing.T) {
	for _, hosts := range []int{1, 2, 3, 11, 40, 64, 100} {
		leader, now := shares.NewPartitionAllocator(0), time.Duration(0)
		held := map[int]shares.PartitionSet{}
		run := func(from, to int, d time.Duration) {
			for end := now + d; now < end; now += 200 * ms {
				for i := from; i < to; i++ {
					held[i] = leader.Report(now, "r", shares.Holder{Host: fmt.Sprint("h", i)}, held[i])
				}
			}
		}
		run(0, (hosts+1)/2, 20*second)
		run(0, hosts, 20*second)
		var all shares.PartitionSet
		total := 0
		for i := range hosts {
			n := held[i].Len()
			if n < shares.Partitions/hosts || n > shares.Partitions/hosts+1 {
				t.Errorf("%d hosts: host %d has %d partitions", hosts, i, n)
			}
			all |= held[i]
			total += n
		}
		if bits.OnesCount64(uint64(all)) != shares.Partitions || total != shares.Partitions {
			t.Errorf("%d hosts hold %d partitions, %d different ones", hosts, total, all.Len())
		}
		sum := 0
		for i := range hosts {
			sum += held[i].Permits("target", 6) + held[i].Permits("target", 150)
		}
		if sum != 156 {
			t.Errorf("%d hosts have %d permits of 6 and of 150", hosts, sum)
		}
	}
}
