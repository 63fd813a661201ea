package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/targets"
)

// fakeTarget is a target whose announcements and response status the test controls.
type fakeTarget struct {
	t          *testing.T
	config     targets.Announcement
	announceTo []string
	server     *http.Server
	stop       chan struct{}
	stopped    sync.WaitGroup

	mu                sync.Mutex
	startTimes        []time.Time
	workspaces        map[string]int
	status            int
	leaving           bool
	acceptedBy        string
	leavingAcceptedAt time.Time
}

const announceToken = "announce-token-of-the-test" // the value that package proctest configures

func startFakeTarget(t *testing.T, name, dc string, announceTo ...string) *fakeTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeTarget{t: t, announceTo: announceTo, stop: make(chan struct{}), workspaces: map[string]int{}, status: http.StatusOK,
		config: targets.Announcement{Name: name, Incarnation: 1, Address: listener.Addr().String(), Pool: "llegadas", DataCentre: dc,
			Models: []string{"modelo-llegadas"}, Slots: 16, Features: []string{"echo_request_id"}}}
	f.config.Sequence = 100 // like a target that has run for a while, so that it gets no slow start
	f.server = &http.Server{Handler: http.HandlerFunc(f.serve), ReadHeaderTimeout: time.Second}
	f.stopped.Go(func() { _ = f.server.Serve(listener) })
	f.stopped.Go(f.run)
	t.Cleanup(f.kill)
	return f
}

// kill stops the target as SIGKILL would: it sends no leaving announcement, and all
// connections are closed.
func (f *fakeTarget) kill() {
	select {
	case <-f.stop:
	default:
		close(f.stop)
	}
	_ = f.server.Close()
	f.stopped.Wait()
}

func (f *fakeTarget) run() {
	ticker := time.NewTicker(targets.AnnounceInterval)
	defer ticker.Stop()
	for {
		f.announce()
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
	}
}

func (f *fakeTarget) announce() {
	f.mu.Lock()
	f.config.Sequence++
	f.config.Leaving = f.leaving
	body, err := json.Marshal(f.config)
	leaving := f.leaving
	f.mu.Unlock()
	if err != nil {
		return
	}
	for _, address := range f.announceTo {
		if f.post(address, body) != nil {
			continue
		}
		f.mu.Lock()
		f.acceptedBy = address
		if leaving && f.leavingAcceptedAt.IsZero() {
			f.leavingAcceptedAt = time.Now()
		}
		f.mu.Unlock()
		return
	}
}

func (f *fakeTarget) post(address string, body []byte) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/targets/v1/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+announceToken)
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

func (f *fakeTarget) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	f.startTimes = append(f.startTimes, time.Now())
	f.workspaces[r.Header.Get("Geraniumturn-Workspace")]++
	status := f.status
	f.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"served_by":%q,"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1}}`, f.config.Name)
}

func (f *fakeTarget) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeTarget) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.startTimes)
}

// readMetric returns one metric from /metrics of a host, or 0 if it does not exist yet.
func readMetric(t *testing.T, f *proctest.Fleet, host, name string) int64 {
	t.Helper()
	response, err := http.Get("http://" + f.HTTP(host) + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var all map[string]map[string]any
	if err := json.NewDecoder(response.Body).Decode(&all); err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{"value", "count"} {
		if v, ok := all[name][field].(float64); ok {
			return int64(v)
		}
	}
	return 0
}

// requestWithDeadline sends a request with a deadline of 3 s, so that a forwarding loop
// ends in a failed test.
func requestWithDeadline(t *testing.T, f *proctest.Fleet, host, key string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+f.HTTP(host)+"/v1/chat/completions", strings.NewReader(chatBody))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Geraniumturn-Timeout-Ms", "3000")
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// mustAnswer sends n requests through the host and fails the test at the first that is
// not served.
func mustAnswer(t *testing.T, f *proctest.Fleet, host, key string, n int) {
	t.Helper()
	for range n {
		if status, body := post(t, f, host, key, "/v1/chat/completions", chatBody); status != http.StatusOK {
			t.Fatalf("through %s: %d %s", host, status, body)
		}
	}
}

func awaitAnswer(t *testing.T, f *proctest.Fleet, host, key string) {
	t.Helper()
	proctest.Eventually(t, 10*time.Second, func() error {
		if status, body := post(t, f, host, key, "/v1/chat/completions", chatBody); status != http.StatusOK {
			return fmt.Errorf("through %s: %d %s", host, status, body)
		}
		return nil
	})
}

func checkInvariants(t *testing.T, f *proctest.Fleet, hosts ...string) {
	t.Helper()
	for _, host := range hosts {
		for _, name := range []string{"invariant.residency", "invariant.reach", "invariant.leaving", "invariant.negative_in_flight"} {
			if n := readMetric(t, f, host, name); n != 0 {
				t.Errorf("%s of %s is %d", name, host, n)
			}
		}
	}
}

var allHosts = []string{"gijon-1", "gijon-2", "santander-1", "bilbao-1"}

// Guards against new requests to a leaving target: it gets none later than 3 s after one
// host has accepted its leaving announcement, through any host, also forwarded from
// another data centre. No request fails because of it.
func TestLeavingTargetUnderLoad(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	leaving := startFakeTarget(t, "e1", "gijon-a", f.HTTP("gijon-1"))
	startFakeTarget(t, "e2", "gijon-a", f.HTTP("gijon-2"))
	key := f.Grant("ferris")
	for _, host := range allHosts {
		awaitAnswer(t, f, host, key)
	}
	proctest.Eventually(t, 10*time.Second, func() error {
		mustAnswer(t, f, "gijon-2", key, 4)
		if leaving.count() == 0 {
			return fmt.Errorf("e1 gets no requests")
		}
		return nil
	})
	leaving.update(func() { leaving.leaving = true })
	proctest.Eventually(t, 5*time.Second, func() error {
		leaving.mu.Lock()
		defer leaving.mu.Unlock()
		if leaving.leavingAcceptedAt.IsZero() {
			return fmt.Errorf("the leaving announcement has not been accepted yet")
		}
		return nil
	})
	// The load goes on past the limit, so that late requests would be seen.
	for end := leaving.leavingAcceptedAt.Add(targets.SilenceLimit + time.Second); time.Now().Before(end); {
		for _, host := range allHosts {
			mustAnswer(t, f, host, key, 2)
		}
	}
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	last := leaving.startTimes[len(leaving.startTimes)-1]
	t.Logf("last new request %v after the leaving announcement", last.Sub(leaving.leavingAcceptedAt))
	if late := last.Sub(leaving.leavingAcceptedAt); late > targets.SilenceLimit {
		t.Errorf("new request %v after the leaving announcement", late)
	}
	checkInvariants(t, f, allHosts...)
}

// Guards against requests that fail because a target is killed, against a killed target
// that stays in use, and against a restarted target that is not used.
func TestKilledTarget(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	killed := startFakeTarget(t, "e1", "gijon-a", f.HTTP("gijon-1"))
	startFakeTarget(t, "e2", "gijon-a", f.HTTP("gijon-2"))
	key := f.Grant("ferris")
	proctest.Eventually(t, 10*time.Second, func() error {
		awaitAnswer(t, f, "gijon-2", key)
		if killed.count() == 0 {
			return fmt.Errorf("e1 gets no requests")
		}
		return nil
	})
	killed.kill()
	for _, host := range []string{"gijon-1", "gijon-2", "santander-1"} {
		mustAnswer(t, f, host, key, 10)
	}
	restarted := startFakeTarget(t, "e1", "gijon-a", f.HTTP("gijon-2"))
	restarted.update(func() { restarted.config.Incarnation = 2 })
	proctest.Eventually(t, 10*time.Second, func() error {
		mustAnswer(t, f, "gijon-1", key, 4)
		if restarted.count() == 0 {
			return fmt.Errorf("the restarted target gets no requests")
		}
		return nil
	})
	checkInvariants(t, f, allHosts...)
}

// Guards against a target that announces itself but fails its requests: it must be
// ejected, probed, and used again once its requests succeed.
func TestFailingTargetIsEjected(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	failing := startFakeTarget(t, "e1", "gijon-a", f.HTTP("gijon-1"))
	startFakeTarget(t, "e2", "gijon-a", f.HTTP("gijon-1"))
	key := f.Grant("ferris")
	awaitAnswer(t, f, "gijon-1", key)
	failing.update(func() { failing.status = http.StatusInternalServerError })
	proctest.Eventually(t, 10*time.Second, func() error {
		mustAnswer(t, f, "gijon-1", key, 5)
		if readMetric(t, f, "gijon-1", "targets.ejections") == 0 {
			return fmt.Errorf("the failing target is not ejected")
		}
		return nil
	})
	before := failing.count()
	mustAnswer(t, f, "gijon-1", key, 50)
	if probes := failing.count() - before; probes > 1 {
		t.Errorf("the ejected target got %d of 50 requests", probes)
	}
	failing.update(func() { failing.status = http.StatusOK })
	proctest.Eventually(t, 30*time.Second, func() error {
		mustAnswer(t, f, "gijon-1", key, 2)
		if readMetric(t, f, "gijon-1", "targets.returns") == 0 {
			return fmt.Errorf("the recovered target is not used again")
		}
		return nil
	})
	checkInvariants(t, f, allHosts...)
}

// Guards against the loss of targets together with all hosts of their data centre: hosts
// of another data centre must use them. For residency such a target still counts as part
// of its own data centre, so that it serves no workspace whose residency is another one.
func TestAllHostsOfADataCentreLost(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	target := startFakeTarget(t, "e1", "gijon-a", f.HTTP("gijon-1"), f.HTTP("gijon-2"), f.HTTP("bilbao-1"))
	unbound, bound := f.Grant("ferris"), f.Grant("turismo-euskadi")
	awaitAnswer(t, f, "gijon-2", unbound)
	f.Kill("gijon-1")
	f.Kill("gijon-2")
	for _, host := range []string{"bilbao-1", "santander-1"} {
		awaitAnswer(t, f, host, unbound)
		mustAnswer(t, f, host, unbound, 5)
	}
	for range 10 {
		if status, body := post(t, f, "bilbao-1", bound, "/v1/chat/completions", chatBody); status != http.StatusServiceUnavailable {
			t.Errorf("workspace with residency in bilbao-a: %d %s", status, body)
		}
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	if n := target.workspaces["turismo-euskadi"]; n != 0 {
		t.Errorf("%d requests with residency in bilbao-a ran on a target of gijon-a", n)
	}
	checkInvariants(t, f, "bilbao-1", "santander-1")
}

// Guards against an outage caused by a partition: an isolated data centre continues to
// serve from its own targets, and the other data centres continue without it. After the
// partition it forwards again.
func TestIsolatedDataCentreServes(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	isolated := startFakeTarget(t, "e1", "bilbao-a", f.HTTP("bilbao-1"))
	startFakeTarget(t, "e2", "gijon-a", f.HTTP("gijon-1"))
	key := f.Grant("ferris")
	for _, host := range allHosts {
		awaitAnswer(t, f, host, key)
	}
	f.Isolate("bilbao-1")
	proctest.Eventually(t, 10*time.Second, func() error {
		if readMetric(t, f, "bilbao-1", "routing.exchanges_failed") == 0 {
			return fmt.Errorf("the partition has not been detected yet")
		}
		return nil
	})
	// The load goes on until the summaries of the other data centres have expired.
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		start := time.Now()
		for _, host := range allHosts {
			mustAnswer(t, f, host, key, 2)
		}
		if d := time.Since(start); d > 5*time.Second {
			t.Errorf("8 requests took %v during the partition", d)
		}
	}
	f.Heal()
	isolated.kill()
	awaitAnswer(t, f, "bilbao-1", key)
	checkInvariants(t, f, allHosts...)
}

// Guards against forwarding loops and slow refusals: without any target a request is
// forwarded to each other data centre at most once, only by its entry host, and is soon
// refused as not_run.
func TestForwardNeverLoops(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	key := f.Grant("ferris")
	proctest.Eventually(t, 10*time.Second, func() error { // token buckets start empty
		if status, body := requestWithDeadline(t, f, "santander-1", key); status == http.StatusTooManyRequests {
			return fmt.Errorf("%d %s", status, body)
		}
		return nil
	})
	before := readMetric(t, f, "santander-1", "routing.forwarded")
	for range 5 {
		start := time.Now()
		status, body := requestWithDeadline(t, f, "santander-1", key)
		if status != http.StatusServiceUnavailable || !strings.Contains(body, `"not_run"`) {
			t.Errorf("%d %s", status, body)
		}
		if d := time.Since(start); d > 5*time.Second {
			t.Errorf("the refusal took %v", d)
		}
	}
	proctest.Eventually(t, 5*time.Second, func() error {
		if n := readMetric(t, f, "santander-1", "routing.forwarded") - before; n == 0 || n > 2*5 {
			return fmt.Errorf("%d forwards of 5 requests to 2 other data centres", n)
		}
		return nil
	})
	for _, host := range []string{"gijon-1", "gijon-2", "bilbao-1"} {
		if n := readMetric(t, f, host, "routing.forwarded"); n != 0 {
			t.Errorf("%s forwarded %d requests that were forwarded to it", host, n)
		}
	}
}
