package shares_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumturn.example/geraniumturn/internal/shares"
)

// Load: all hosts of a region restart together after a power loss, while targets are
// cold. Guards against hosts that each use the whole limit of a cold target because they
// have not discovered each other yet.
func TestPeerSetAfterCommonStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "hosts")
		limit := rapid.IntRange(0, 9).Draw(t, "limit")
		peerSets := make([]*shares.PeerSet, n)
		started := make([]time.Duration, n)
		for i := range peerSets {
			started[i] = time.Duration(rapid.IntRange(0, 1500).Draw(t, "start")) * ms
			peerSets[i] = shares.NewPeerSet(fmt.Sprint("host", i), started[i])
		}
		lag := time.Duration(rapid.IntRange(100, 1400).Draw(t, "lag")) * ms
		for now := time.Duration(0); now < 8*second; now += 100 * ms {
			sum := 0
			for i, p := range peerSets {
				if now < started[i] {
					continue
				}
				for j := range peerSets {
					if j != i && now >= started[j]+lag {
						p.RecordHeard(fmt.Sprint("host", j), now-lag)
					}
				}
				sum += p.LimitShare("target", limit, p.ActiveHosts(now))
			}
			if sum > limit {
				t.Fatalf("shares add up to %d of %d at %s", sum, limit, now)
			}
			if now > 5*second && sum != limit {
				t.Fatalf("shares add up to %d of %d at %s", sum, limit, now)
			}
		}
	})
}

// Guards against a host that takes over the share of a host that it has lost contact
// with and that is still sending.
func TestPeerSetKeepsSilentHosts(t *testing.T) {
	p := shares.NewPeerSet("a", 0)
	p.RecordHeard("b", 4*second)
	for _, c := range []struct {
		at   time.Duration
		want int
	}{{second, 0}, {5 * second, 2}, {33 * second, 2}, {40 * second, 4}} {
		if got := p.LimitShare("t", 4, p.ActiveHosts(c.at)); got != c.want {
			t.Errorf("share %d at %s, want %d", got, c.at, c.want)
		}
	}
}
