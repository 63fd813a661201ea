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

// rateRetryDelay is the delay before a rate-limited request is sent again.
const rateRetryDelay = 50 * time.Millisecond

// handlerTarget is a target whose responses are written by a handler of the test.
type handlerTarget struct {
	server     *httptest.Server
	mu         sync.Mutex
	runsByBody map[string]int
	// stop stops the announcements.
	stop         func()
	announcement targets.Announcement
}

func readRules() (string, error) {
	text, err := os.ReadFile("../../examples/cantabrico.rules")
	return string(text), err
}

// startHandlerTarget starts a target that counts each request by its body and passes it
// to serve. It returns when the first of the hosts has learnt of the target.
func startHandlerTarget(t testing.TB, f *proctest.Fleet, a targets.Announcement, serve func(w http.ResponseWriter, r *http.Request, body string), hosts ...string) *handlerTarget {
	t.Helper()
	h := &handlerTarget{runsByBody: map[string]int{}, announcement: a}
	h.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		h.mu.Lock()
		h.runsByBody[string(body)]++
		h.mu.Unlock()
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		serve(w, r, string(body))
	}))
	t.Cleanup(h.server.Close)
	h.announcement.Address = strings.TrimPrefix(h.server.URL, "http://")
	h.stop = f.Announce(h.announcement, hosts...)
	awaitTarget(t, f, a.Name, hosts[0])
	return h
}

// awaitTarget waits until the target is in the status report of the host.
func awaitTarget(t testing.TB, f *proctest.Fleet, name, host string) {
	t.Helper()
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		var status struct {
			Targets []targets.Target `json:"targets"`
		}
		if err := f.Admin(host).Call(t.Context(), "GET", "/admin/v1/status", nil, &status); err != nil {
			return err
		}
		for _, target := range status.Targets {
			if target.Name == name {
				return nil
			}
		}
		return fmt.Errorf("%s does not list target %s", host, name)
	})
}

func (h *handlerTarget) count(body string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runsByBody[body]
}

func (h *handlerTarget) total() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, c := range h.runsByBody {
		n += c
	}
	return n
}

// reply is a response as a caller receives it.
type reply struct {
	status  int
	header  http.Header
	body    string
	code    refusal.Code
	ran     refusal.Ran
	err     error
	latency time.Duration
}

// send sends one request on a connection of its own. The err field of the reply is set
// if the request fails or the response is truncated. A rate-limited request is retried
// until StartTimeout has passed, because the token buckets of a new fleet are empty.
func send(t testing.TB, f *proctest.Fleet, host, method, path, body string, header map[string]string) reply {
	t.Helper()
	limit := time.Now().Add(proctest.StartTimeout)
	for {
		got := sendOnce(t.Context(), t, f, host, method, path, body, header)
		if got.code != refusal.RateLimited || time.Now().After(limit) {
			return got
		}
		time.Sleep(rateRetryDelay)
	}
}

func sendOnce(ctx context.Context, t testing.TB, f *proctest.Fleet, host, method, path, body string, header map[string]string) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.HTTP(host)+path, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return reply{err: err}
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	start := time.Now()
	response, err := transport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	out := reply{status: response.StatusCode, header: response.Header, body: string(data), err: err, latency: time.Since(start)}
	var refusalBody refusal.Body
	if json.Unmarshal(data, &refusalBody) == nil {
		out.code, out.ran = refusalBody.Error.Code, refusalBody.Error.Ran
	}
	return out
}

func bearerHeader(key string) map[string]string {
	return map[string]string{"Authorization": "Bearer " + key}
}

func operationHeader(key, operation string) map[string]string {
	return map[string]string{"Authorization": "Bearer " + key, "Idempotency-Key": operation, "Content-Type": "application/json"}
}

func serviceTarget(name, dataCentre string) targets.Announcement {
	return targets.Announcement{Name: name, Pool: "registro", DataCentre: dataCentre, Features: []string{"echo_request_id"}}
}

func engineTarget(name, dataCentre string) targets.Announcement {
	return targets.Announcement{Name: name, Pool: "llegadas", DataCentre: dataCentre, Models: []string{"modelo-llegadas"},
		Features: []string{"echo_request_id"}}
}
