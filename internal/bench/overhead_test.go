package bench

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/standin"
)

var overheadFlag = flag.Bool("overhead", false, "measure at full size instead of a short check")

const overheadRules = `
workspace w rate=1000000000/s burst=1000000000 # benchmark
pool llegadas kind=engine                      # benchmark
pool registro kind=service                     # benchmark
model m pool=llegadas                          # benchmark
route /v1/completions idempotent=yes           # benchmark
route /registro/* pool=registro idempotent=yes # benchmark
`

// endpoint is an address at which the target is called: its own, or that of a host that
// serves the request or forwards it.
type endpoint struct{ name, address, key string }

// TestOverhead measures the overhead of the gateway against direct calls of the same
// target in the same run: latency through one host and through a forward, throughput
// at saturation, and memory per open stream. It guards against lost requests and
// incomplete streams.
func TestOverhead(t *testing.T) {
	requests, streams, seconds, tokens := 200, 50, 1, 4
	if *overheadFlag {
		requests, streams, seconds, tokens = 20_000, 5_000, 10, 20
	}
	hosts := []proctest.Host{
		{Name: "a1", DataCentre: "a", Region: "a", Control: true},
		{Name: "b1", DataCentre: "b", Region: "b"},
	}
	f := proctest.Start(t, hosts)
	f.Apply(overheadRules)
	service := f.StartTarget(standin.Config{Name: "s", DataCentre: "a", Pool: "registro", Slots: 1000}, "a1")
	engine := f.StartTarget(standin.Config{Name: "e", DataCentre: "a", Pool: "llegadas", Models: []string{"m"},
		Slots: 10_000, TokenInterval: 500 * time.Millisecond}, "a1")
	key := f.Grant("w")
	endpoints := []endpoint{
		{"direct", service.Address(), ""},
		{"one host", f.HTTP("a1"), key},
		{"forwarded", f.HTTP("b1"), key},
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	for _, p := range endpoints[1:] {
		proctest.Eventually(t, proctest.StartTimeout, func() error { return call(client, p, io.Discard) })
	}
	for _, p := range endpoints {
		measureLatency(t, client, p, requests)
	}
	for _, p := range endpoints {
		measureSaturation(t, client, p, seconds)
	}
	measureOpenStreams(t, f, engine, endpoint{"one host", f.HTTP("a1"), key}, streams, tokens)
}

func newRequest(p endpoint, path, body string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.address+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if p.key != "" {
		req.Header.Set("Authorization", "Bearer "+p.key)
	}
	return req
}

func call(client *http.Client, p endpoint, out io.Writer) error {
	response, err := client.Do(newRequest(p, "/registro/x", `{"a":1}`))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(out, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// measureLatency sends requests over a few connections, far below saturation.
func measureLatency(t *testing.T, client *http.Client, p endpoint, requests int) {
	t.Helper()
	const callers = 4
	var mu sync.Mutex
	histogram := hdrhistogram.New(1, histogramMaxMicros*1000, histogramDigits)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range requests / callers {
				start := time.Now()
				if err := call(client, p, io.Discard); err != nil {
					t.Errorf("%s: %v", p.name, err)
					return
				}
				mu.Lock()
				_ = histogram.RecordValue(time.Since(start).Nanoseconds())
				mu.Unlock()
			}
		})
	}
	group.Wait()
	t.Logf("latency %-10s p50 %6.0f us  p99 %6.0f us  (%d requests, %d callers)", p.name,
		float64(histogram.ValueAtQuantile(50))/1000, float64(histogram.ValueAtQuantile(99))/1000, histogram.TotalCount(), callers)
}

// measureSaturation sends requests over many connections for the given time.
func measureSaturation(t *testing.T, client *http.Client, p endpoint, seconds int) {
	t.Helper()
	const callers = 128
	var succeeded, failed atomic.Int64
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for time.Now().Before(end) {
				if call(client, p, io.Discard) != nil {
					failed.Add(1)
				} else {
					succeeded.Add(1)
				}
			}
		})
	}
	group.Wait()
	if failed.Load() > 0 {
		t.Errorf("%s: %d requests failed", p.name, failed.Load())
	}
	t.Logf("saturation %-10s %6d requests/s (%d callers)", p.name, succeeded.Load()/int64(seconds), callers)
}

// measureOpenStreams opens the streams concurrently, samples the memory of the host
// until all are open, and reads each stream to its end.
func measureOpenStreams(t *testing.T, f *proctest.Fleet, engine *standin.Target, p endpoint, streams, tokens int) {
	t.Helper()
	before := f.Memory("a1")
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	body := fmt.Sprintf(`{"model":"m","max_tokens":%d,"stream":true,"prompt":"x"}`, tokens)
	var open, completed atomic.Int64
	var peak int64
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			response, err := client.Do(newRequest(p, "/v1/completions", body))
			if err != nil {
				t.Error(err)
				return
			}
			defer response.Body.Close()
			open.Add(1)
			if endsWithDone(response.Body) {
				completed.Add(1)
			}
		})
	}
	proctest.Eventually(t, 60*time.Second, func() error {
		peak = max(peak, f.Memory("a1"))
		if open.Load() < int64(streams) {
			return fmt.Errorf("%d of %d streams open", open.Load(), streams)
		}
		return nil
	})
	peak = max(peak, f.Memory("a1"))
	group.Wait()
	if completed.Load() != int64(streams) {
		t.Errorf("%d of %d streams were complete", completed.Load(), streams)
	}
	t.Logf("streams: %d open at once, %d complete, %.1f KiB resident memory each (engine served %d)",
		streams, completed.Load(), float64(peak-before)/float64(streams)/1024, engine.Totals().Requests)
}

func endsWithDone(body io.Reader) bool {
	last := ""
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		if scanner.Text() != "" {
			last = scanner.Text()
		}
	}
	return scanner.Err() == nil && last == "data: [DONE]"
}
