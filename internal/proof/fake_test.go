package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/targets"
)

// rateRetry is the pause after a refusal for the rate.
const rateRetry = 50 * time.Millisecond

// fake is a target whose behaviour a test gives.
type fake struct {
	server *httptest.Server
	mu     sync.Mutex
	runs   map[string]int
	// stop ends the announcements.
	stop func()
	at   targets.Announcement
}

func readRules() (string, error) {
	text, err := os.ReadFile("../../examples/cantabrico.rules")
	return string(text), err
}

// newFake starts a target that counts requests by body and then calls serve.
func newFake(t testing.TB, f *proctest.Fleet, a targets.Announcement, serve func(w http.ResponseWriter, r *http.Request, body string), hosts ...string) *fake {
	t.Helper()
	k := &fake{runs: map[string]int{}, at: a}
	k.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		k.mu.Lock()
		k.runs[string(body)]++
		k.mu.Unlock()
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		serve(w, r, string(body))
	}))
	t.Cleanup(k.server.Close)
	k.at.Address = strings.TrimPrefix(k.server.URL, "http://")
	k.stop = f.Announce(k.at, hosts...)
	awaitTarget(t, f, a.Name, hosts[0])
	return k
}

// awaitTarget waits until the host knows the target.
func awaitTarget(t testing.TB, f *proctest.Fleet, name, host string) {
	t.Helper()
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		var status struct {
			Targets []targets.Target `json:"targets"`
		}
		if err := f.Admin(host).Call(t.Context(), "GET", "/admin/v1/status", nil, &status); err != nil {
			return err
		}
		for _, k := range status.Targets {
			if k.Name == name {
				return nil
			}
		}
		return fmt.Errorf("%s does not know %s", host, name)
	})
}

func (k *fake) count(body string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runs[body]
}

func (k *fake) total() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, c := range k.runs {
		n += c
	}
	return n
}

// reply is an answer as a caller sees it.
type reply struct {
	status  int
	header  http.Header
	body    string
	code    refusal.Code
	ran     refusal.Ran
	broken  error
	latency time.Duration
}

// send sends one request on a connection of its own. An answer that breaks off
// is in broken. A refusal for the rate is repeated for a bounded time, because
// the buckets of a new fleet are empty.
func send(t testing.TB, f *proctest.Fleet, host, method, path, body string, header map[string]string) reply {
	t.Helper()
	limit := time.Now().Add(proctest.StartTimeout)
	for {
		got := sendContext(t.Context(), t, f, host, method, path, body, header)
		if got.code != refusal.RateLimited || time.Now().After(limit) {
			return got
		}
		time.Sleep(rateRetry)
	}
}

func sendContext(ctx context.Context, t testing.TB, f *proctest.Fleet, host, method, path, body string, header map[string]string) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.HTTP(host)+path, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return reply{broken: err}
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	start := time.Now()
	response, err := transport.RoundTrip(req)
	if err != nil {
		return reply{broken: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	out := reply{status: response.StatusCode, header: response.Header, body: string(data), broken: err, latency: time.Since(start)}
	var refused refusal.Body
	if json.Unmarshal(data, &refused) == nil {
		out.code, out.ran = refused.Error.Code, refused.Error.Ran
	}
	return out
}

func bearerOf(key string) map[string]string {
	return map[string]string{"Authorization": "Bearer " + key}
}

func filing(key, operation string) map[string]string {
	return map[string]string{"Authorization": "Bearer " + key, "Idempotency-Key": operation, "Content-Type": "application/json"}
}

func service(name, dataCentre string) targets.Announcement {
	return targets.Announcement{Name: name, Pool: "registro", DataCentre: dataCentre, Features: []string{"echo_request_id"}}
}

func engine(name, dataCentre string) targets.Announcement {
	return targets.Announcement{Name: name, Pool: "llegadas", DataCentre: dataCentre, Models: []string{"modelo-llegadas"},
		Features: []string{"echo_request_id"}}
}
