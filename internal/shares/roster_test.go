package shares_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumturn.example/geraniumturn/internal/shares"
)

// Load: the hosts of a region come back together from a loss of power, beside targets
// that are cold. Guards against hosts that each take the whole pace of a cold target
// because they have not heard of each other yet.
func TestRosterAfterCommonStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "hosts")
		limit := rapid.IntRange(0, 9).Draw(t, "limit")
		rosters := make([]*shares.PeerSet, n)
		started := make([]time.Duration, n)
		for i := range rosters {
			started[i] = time.Duration(rapid.IntRange(0, 1500).Draw(t, "start")) * ms
			rosters[i] = shares.NewPeerSet(fmt.Sprint("host", i), started[i])
		}
		lag := time.Duration(rapid.IntRange(100, 1400).Draw(t, "lag")) * ms
		for now := time.Duration(0); now < 8*second; now += 100 * ms {
			sum := 0
			for i, r := range rosters {
				if now < started[i] {
					continue
				}
				for j := range rosters {
					if j != i && now >= started[j]+lag {
						r.RecordHeard(fmt.Sprint("host", j), now-lag)
					}
				}
				sum += r.LimitShare("target", limit, r.ActiveHosts(now))
			}
			if sum > limit {
				t.Fatalf("parts add up to %d of %d at %s", sum, limit, now)
			}
			if now > 5*second && sum != limit {
				t.Fatalf("parts add up to %d of %d at %s", sum, limit, now)
			}
		}
	})
}

// Guards against a host that takes over the part of one that it has lost contact with
// and that still sends.
func TestRosterKeepsSilentHosts(t *testing.T) {
	r := shares.NewPeerSet("a", 0)
	r.RecordHeard("b", 4*second)
	for _, c := range []struct {
		at   time.Duration
		want int
	}{{second, 0}, {5 * second, 2}, {33 * second, 2}, {40 * second, 4}} {
		if got := r.LimitShare("t", 4, r.ActiveHosts(c.at)); got != c.want {
			t.Errorf("part %d at %s, want %d", got, c.at, c.want)
		}
	}
}
