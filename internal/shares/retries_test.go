package shares_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/shares"
)

// Load: targets reject 80 % of the requests. Guards against hosts that together retry
// more than the ratio and the slack allow: hosts start alone or all together, up to three
// times in a row, and the load moves between them.
func TestRetriesOfAllHostsStayWithinBudget(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkRetries(t, rand.New(rand.NewPCG(seed, 7))) })
	}
}

// retryHost is a host with the process that runs on it.
type retryHost struct {
	budget    *shares.RetryBudget
	startedAt time.Duration // in the future while the host is down
	share     float64       // of the requests
}

func checkRetries(t *testing.T, r *rand.Rand) {
	const window, ratio, slack = 10 * second, 0.2, 56.0
	const length, rejected, maxRetries = 60 * second, 0.8, 2
	hosts := make([]*retryHost, 2+r.IntN(10))
	controlStartedAt := time.Duration(0)
	start := func(h *retryHost, at time.Duration) {
		h.startedAt, h.budget = at, shares.NewRetryBudget(at, window, ratio, slack)
	}
	for i := range hosts {
		hosts[i] = &retryHost{share: r.Float64()}
		start(hosts[i], 0)
	}
	massStarts := map[int]bool{}
	for at := r.IntN(600); at < 600; at += 100 + r.IntN(400) { // in tenths of a second
		for range 1 + r.IntN(3) {
			massStarts[at] = true
			at += 2 + r.IntN(15)
		}
	}
	var requests, retries []time.Duration
	perSecond, total := 1+60*r.Float64(), 0.0
	for now := time.Duration(0); now < length; now += 10 * ms {
		if now%(100*ms) == 0 {
			if massStarts[int(now/(100*ms))] {
				controlStartedAt = now
				for _, h := range hosts {
					start(h, now+time.Duration(r.IntN(300))*ms)
				}
			}
			if r.IntN(40) == 0 {
				start(hosts[r.IntN(len(hosts))], now+time.Duration(r.IntN(1000))*ms)
			}
			if r.IntN(50) == 0 {
				perSecond = 1 + 60*r.Float64()
				for _, h := range hosts {
					h.share = r.Float64() * r.Float64()
				}
			}
		}
		total = 0
		for _, h := range hosts {
			total += h.share
		}
		for _, h := range hosts {
			if now < h.startedAt || r.Float64() > perSecond*0.01*h.share/total {
				continue
			}
			h.budget.RecordRequest(now)
			requests = append(requests, now)
			known := 0
			if now-controlStartedAt >= shares.DiscoveryPeriod {
				known = len(hosts)
			}
			for range maxRetries {
				if r.Float64() > rejected || !h.budget.TakeRetry(now, known) {
					break
				}
				retries = append(retries, now)
			}
		}
	}
	count := func(events []time.Duration, from, to time.Duration) (n int) {
		for _, at := range events {
			if from <= at && at < to {
				n++
			}
		}
		return n
	}
	for _, from := range retries {
		n := count(retries, from, from+window)
		sent := max(count(requests, from, from+window), count(requests, from-window, from), count(requests, from-window/2, from+window/2))
		if limit := ratio*float64(sent) + slack; float64(n) > limit {
			t.Fatalf("%d retries of %d requests at %d hosts in the window from %s, limit %.0f", n, sent, len(hosts), from, limit)
		}
	}
}
