package proof

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/standin"
)

const (
	quotaRate    = 1000 // tokens per second
	quotaBurst   = 2000
	quotaCost    = 20
	quotaWorkers = 12 // concurrent callers per host
	// quotaTolerance is in tokens. It covers requests that were admitted but had not
	// reached their target when a sample was taken.
	quotaTolerance = 4 * 6 * quotaCost
	quotaBody      = "ticket"
	quotaRules     = `
workspace shop rate=1000/s burst=2000 # test
pool counter kind=service # test
route /counter/* pool=counter idempotent=yes reach=dc cost=20 timeout=5s # test
`
)

// loadGenerator sends concurrent requests through all hosts at several times the rate.
type loadGenerator struct {
	t       *testing.T
	fleet   *proctest.Fleet
	targets map[string]*standin.Target
	key     string
	sent    atomic.Int64
	samples []sample
}

// sample is the cost in tokens of all requests that the targets have run up to a time.
type sample struct {
	at     time.Time
	tokens int64
}

func startLoad(t *testing.T) *loadGenerator {
	f := &loadGenerator{t: t, fleet: proctest.Start(t, proctest.ExampleHosts()), targets: map[string]*standin.Target{}}
	f.fleet.Apply(quotaRules)
	f.key = f.fleet.Grant("shop")
	for dataCentre, hosts := range map[string][]string{"gijon-a": {"gijon-1", "gijon-2"}, "santander-a": {"santander-1"}, "bilbao-a": {"bilbao-1"}} {
		f.targets[dataCentre] = f.fleet.StartTarget(standin.Config{Name: "counter-" + dataCentre, DataCentre: dataCentre, Pool: "counter", Slots: 64}, hosts...)
	}
	return f
}

// run generates load until scenario returns, and samples the targets.
func (f *loadGenerator) run(scenario func()) {
	ctx, cancel := context.WithCancel(f.t.Context())
	var group sync.WaitGroup
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: quotaWorkers}}
	for _, address := range f.fleet.Addresses() {
		for range quotaWorkers {
			group.Go(func() {
				for ctx.Err() == nil {
					f.call(ctx, client, address)
				}
			})
		}
	}
	group.Go(func() {
		for ctx.Err() == nil {
			f.samples = append(f.samples, sample{time.Now(), f.tokens()})
			clock.Sleep(ctx, 10*time.Millisecond)
		}
	})
	scenario()
	cancel()
	group.Wait()
	client.CloseIdleConnections()
}

func (f *loadGenerator) call(ctx context.Context, client *http.Client, address string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/counter/x", strings.NewReader(quotaBody))
	if err != nil {
		f.t.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+f.key)
	f.sent.Add(1)
	response, err := client.Do(req)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err != nil || response.StatusCode != http.StatusOK {
		clock.Sleep(ctx, 10*time.Millisecond)
	}
}

func (f *loadGenerator) tokens() int64 {
	var sum int64
	for _, t := range f.targets {
		sum += int64(t.Runs(quotaBody)) * quotaCost
	}
	return sum
}

// awaitTokens waits until all targets, or the one of the given data centre, have run
// further requests that cost the given number of tokens.
func (f *loadGenerator) awaitTokens(dataCentre string, additional int64) {
	f.t.Helper()
	consumed := func() int64 {
		if dataCentre == "" {
			return f.tokens()
		}
		return int64(f.targets[dataCentre].Runs(quotaBody)) * quotaCost
	}
	before := consumed()
	proctest.Eventually(f.t, 30*time.Second, func() error {
		if got := consumed() - before; got < additional {
			return fmt.Errorf("targets %s received %d of %d further tokens", dataCentre, got, additional)
		}
		return nil
	})
}

// check replays the samples against a single token bucket for the whole fleet, and fails
// the test if its level falls below -quotaTolerance.
func (f *loadGenerator) check() {
	f.t.Helper()
	level, lowest := float64(quotaBurst), float64(quotaBurst)
	for i := 1; i < len(f.samples); i++ {
		a, b := f.samples[i-1], f.samples[i]
		level = min(quotaBurst, level+quotaRate*b.at.Sub(a.at).Seconds()) - float64(b.tokens-a.tokens)
		lowest = min(lowest, level)
	}
	first, last := f.samples[0], f.samples[len(f.samples)-1]
	seconds := last.at.Sub(first.at).Seconds()
	served := float64(last.tokens - first.tokens)
	f.t.Logf("%.1f s: offered %.1f times the rate, served %.3f of rate*t, lowest level of the ideal bucket %.0f",
		seconds, float64(f.sent.Load()*quotaCost)/quotaRate/seconds, served/seconds/quotaRate, lowest)
	if lowest < -quotaTolerance {
		f.t.Errorf("targets received %.0f tokens more than burst + rate*t allows", -lowest)
	}
	if offered := float64(f.sent.Load() * quotaCost); offered < 3*quotaRate*seconds {
		f.t.Errorf("the load was only %.1f times the rate", offered/quotaRate/seconds)
	}
}

// Guards against a workspace that exceeds its rate and burst because a host is killed,
// is restarted repeatedly, or is paused for longer than its lease (gijon-1 may be the
// leader), and against an isolated data centre that stops serving or spends more than
// its floor.
func TestQuotaHoldsOverFaults(t *testing.T) {
	f := startLoad(t)
	f.run(func() {
		f.awaitTokens("", 3*quotaRate)
		f.fleet.Kill("bilbao-1")
		f.awaitTokens("", quotaRate)
		f.fleet.Launch("bilbao-1")
		f.fleet.AwaitHealthy("bilbao-1")
		for range 4 {
			f.fleet.Kill("gijon-2")
			f.fleet.Launch("gijon-2")
			f.fleet.AwaitHealthy("gijon-2")
			f.awaitTokens("", quotaRate/4)
		}
		f.awaitTokens("", quotaRate)

		f.fleet.Isolate("santander-1")
		f.awaitTokens("santander-a", quotaBurst/2/3+quotaRate/2)
		f.fleet.Heal()
		f.awaitTokens("", quotaRate)

		f.fleet.Signal("gijon-1", syscall.SIGSTOP)
		f.awaitTokens("", quotaRate) // paid from the floors of the other hosts; this takes longer than the lease and the loans last
		f.fleet.Signal("gijon-1", syscall.SIGCONT)
		f.awaitTokens("", 2*quotaRate)
	})
	f.check()
}

// Guards against a request whose cost equals the burst that is refused in an idle fleet,
// against a request above the burst that is not refused with 413, and against a
// rate-limit refusal without a retry time.
func TestRequestOfFullBurst(t *testing.T) {
	f := startLoad(t)
	rules := strings.Replace(quotaRules, "cost=20", "cost=2000", 1) +
		"route /above/* pool=counter idempotent=yes reach=dc cost=2001 timeout=5s # test\n"
	f.fleet.Apply(rules)
	proctest.Eventually(t, 30*time.Second, func() error {
		status, answer := post(t, f.fleet, "bilbao-1", f.key, "/counter/x", quotaBody)
		if status == http.StatusOK {
			return nil
		}
		if status == http.StatusTooManyRequests && !strings.Contains(answer, "retry_after_ms") {
			t.Errorf("refusal without a retry time: %s", answer)
		}
		clock.Sleep(t.Context(), time.Second) // each attempt counts as demand; frequent ones would make the host prefetch tokens
		return fmt.Errorf("%d %s", status, answer)
	})
	status, answer := post(t, f.fleet, "bilbao-1", f.key, "/above/x", quotaBody)
	if status != http.StatusRequestEntityTooLarge || !strings.Contains(answer, "not_run") {
		t.Errorf("request above the burst: %d %s", status, answer)
	}
}
