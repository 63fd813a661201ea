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

// fakeTarget is a target whose announcements and answers the test controls.
type fakeTarget struct {
	t          *testing.T
	config     targets.Announcement
	announceTo []string
	server     *http.Server
	stop       chan struct{}
	stopped    sync.WaitGroup

	mu         sync.Mutex
	starts     []time.Time
	workspaces map[string]int
	status     int
	leaving    bool
	acceptedBy string
	leftAt     time.Time
}

const announceToken = "announce-token-of-the-test" // as package proctest sets it

func startFake(t *testing.T, name, dc string, announceTo ...string) *fakeTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeTarget{t: t, announceTo: announceTo, stop: make(chan struct{}), workspaces: map[string]int{}, status: http.StatusOK,
		config: targets.Announcement{Name: name, Incarnation: 1, Address: listener.Addr().String(), Pool: "llegadas", DataCentre: dc,
			Models: []string{"modelo-llegadas"}, Slots: 16, Features: []string{"echo_request_id"}}}
	f.config.Sequence = 100 // an older target, so that no slow start disturbs the test
	f.server = &http.Server{Handler: http.HandlerFunc(f.serve), ReadHeaderTimeout: time.Second}
	f.stopped.Go(func() { _ = f.server.Serve(listener) })
	f.stopped.Go(f.run)
	t.Cleanup(f.kill)
	return f
}

// kill ends the target as SIGKILL does: no announcement, all connections cut.
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
		if leaving && f.leftAt.IsZero() {
			f.leftAt = time.Now()
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
	f.starts = append(f.starts, time.Now())
	f.workspaces[r.Header.Get("Geraniumturn-Workspace")]++
	status := f.status
	f.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"served_by":%q,"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1}}`, f.config.Name)
}

func (f *fakeTarget) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeTarget) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts)
}

// metric reads one figure of a host's /metrics; 0 when it does not exist yet.
func metric(t *testing.T, f *proctest.Fleet, host, name string) int64 {
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

// shortRequest sends a request whose deadline is 3 s away, so that an endless
// loop ends in a failed test.
func shortRequest(t *testing.T, f *proctest.Fleet, host, key string) (int, string) {
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

// answers sends n requests through the host and fails the test at the first
// that is not answered.
func answers(t *testing.T, f *proctest.Fleet, host, key string, n int) {
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
			if n := metric(t, f, host, name); n != 0 {
				t.Errorf("%s of %s is %d", name, host, n)
			}
		}
	}
}

var allHosts = []string{"gijon-1", "gijon-2", "santander-1", "bilbao-1"}

// Guards G11: a leaving target gets no new work 3 s after one host learnt it,
// through any host, also by a forward from another data centre; and no request
// is lost over it.
func TestLeavingTargetUnderLoad(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	leaving := startFake(t, "e1", "gijon-a", f.HTTP("gijon-1"))
	startFake(t, "e2", "gijon-a", f.HTTP("gijon-2"))
	key := f.Grant("ferris")
	for _, host := range allHosts {
		awaitAnswer(t, f, host, key)
	}
	proctest.Eventually(t, 10*time.Second, func() error {
		answers(t, f, "gijon-2", key, 4)
		if leaving.count() == 0 {
			return fmt.Errorf("e1 gets no work")
		}
		return nil
	})
	leaving.set(func() { leaving.leaving = true })
	proctest.Eventually(t, 5*time.Second, func() error {
		leaving.mu.Lock()
		defer leaving.mu.Unlock()
		if leaving.leftAt.IsZero() {
			return fmt.Errorf("the leaving announcement is not accepted yet")
		}
		return nil
	})
	// The load runs past the bound, so that late work would show.
	for end := leaving.leftAt.Add(targets.SilenceLimit + time.Second); time.Now().Before(end); {
		for _, host := range allHosts {
			answers(t, f, host, key, 2)
		}
	}
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	last := leaving.starts[len(leaving.starts)-1]
	t.Logf("last new work %v after the leaving announcement", last.Sub(leaving.leftAt))
	if late := last.Sub(leaving.leftAt); late > targets.SilenceLimit {
		t.Errorf("new work %v after the leaving announcement", late)
	}
	checkInvariants(t, f, allHosts...)
}

// Guards against requests lost with a target that is killed, and against a
// target that stays in use or does not come back after its restart.
func TestKilledTarget(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	killed := startFake(t, "e1", "gijon-a", f.HTTP("gijon-1"))
	startFake(t, "e2", "gijon-a", f.HTTP("gijon-2"))
	key := f.Grant("ferris")
	proctest.Eventually(t, 10*time.Second, func() error {
		awaitAnswer(t, f, "gijon-2", key)
		if killed.count() == 0 {
			return fmt.Errorf("e1 gets no work")
		}
		return nil
	})
	killed.kill()
	for _, host := range []string{"gijon-1", "gijon-2", "santander-1"} {
		answers(t, f, host, key, 10)
	}
	again := startFake(t, "e1", "gijon-a", f.HTTP("gijon-2"))
	again.set(func() { again.config.Incarnation = 2 })
	proctest.Eventually(t, 10*time.Second, func() error {
		answers(t, f, "gijon-1", key, 4)
		if again.count() == 0 {
			return fmt.Errorf("the restarted target gets no work")
		}
		return nil
	})
	checkInvariants(t, f, allHosts...)
}

// Guards against a target that announces itself but fails its work: it must be
// ejected, probed, and used again once it works.
func TestHalfBrokenTarget(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	broken := startFake(t, "e1", "gijon-a", f.HTTP("gijon-1"))
	startFake(t, "e2", "gijon-a", f.HTTP("gijon-1"))
	key := f.Grant("ferris")
	awaitAnswer(t, f, "gijon-1", key)
	broken.set(func() { broken.status = http.StatusInternalServerError })
	proctest.Eventually(t, 10*time.Second, func() error {
		answers(t, f, "gijon-1", key, 5)
		if metric(t, f, "gijon-1", "targets.ejections") == 0 {
			return fmt.Errorf("the failing target is not ejected")
		}
		return nil
	})
	before := broken.count()
	answers(t, f, "gijon-1", key, 50)
	if probes := broken.count() - before; probes > 1 {
		t.Errorf("the ejected target got %d of 50 requests", probes)
	}
	broken.set(func() { broken.status = http.StatusOK })
	proctest.Eventually(t, 30*time.Second, func() error {
		answers(t, f, "gijon-1", key, 2)
		if metric(t, f, "gijon-1", "targets.returns") == 0 {
			return fmt.Errorf("the repaired target does not return")
		}
		return nil
	})
	checkInvariants(t, f, allHosts...)
}

// Guards against capacity that is lost with the hosts of its data centre, and
// G1: an adopted target keeps its own data centre for residency.
func TestAllHostsOfADataCentreLost(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	target := startFake(t, "e1", "gijon-a", f.HTTP("gijon-1"), f.HTTP("gijon-2"), f.HTTP("bilbao-1"))
	free, bound := f.Grant("ferris"), f.Grant("turismo-euskadi")
	awaitAnswer(t, f, "gijon-2", free)
	f.Kill("gijon-1")
	f.Kill("gijon-2")
	for _, host := range []string{"bilbao-1", "santander-1"} {
		awaitAnswer(t, f, host, free)
		answers(t, f, host, free, 5)
	}
	for range 10 {
		if status, body := post(t, f, "bilbao-1", bound, "/v1/chat/completions", chatBody); status != http.StatusServiceUnavailable {
			t.Errorf("bound workspace: %d %s", status, body)
		}
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	if n := target.workspaces["turismo-euskadi"]; n != 0 {
		t.Errorf("%d requests bound to bilbao-a ran on a target of gijon-a", n)
	}
	checkInvariants(t, f, "bilbao-1", "santander-1")
}

// Guards G3: an isolated data centre goes on serving from its own targets, and
// the others without it; after the partition it forwards again.
func TestIsolatedDataCentreServes(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	inside := startFake(t, "e1", "bilbao-a", f.HTTP("bilbao-1"))
	startFake(t, "e2", "gijon-a", f.HTTP("gijon-1"))
	key := f.Grant("ferris")
	for _, host := range allHosts {
		awaitAnswer(t, f, host, key)
	}
	f.Isolate("bilbao-1")
	proctest.Eventually(t, 10*time.Second, func() error {
		if metric(t, f, "bilbao-1", "routing.exchanges_failed") == 0 {
			return fmt.Errorf("the partition is not seen yet")
		}
		return nil
	})
	// The load runs until all knowledge of the other data centres has expired.
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		start := time.Now()
		for _, host := range allHosts {
			answers(t, f, host, key, 2)
		}
		if d := time.Since(start); d > 5*time.Second {
			t.Errorf("8 requests took %v during the partition", d)
		}
	}
	f.Heal()
	inside.kill()
	awaitAnswer(t, f, "bilbao-1", key)
	checkInvariants(t, f, allHosts...)
}

// Guards G2 and the truth of not_run: without any target a request visits other
// data centres at most once, from its entry host only, and is refused soon.
func TestForwardNeverLoops(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	key := f.Grant("ferris")
	proctest.Eventually(t, 10*time.Second, func() error { // buckets start empty
		if status, body := shortRequest(t, f, "santander-1", key); status == http.StatusTooManyRequests {
			return fmt.Errorf("%d %s", status, body)
		}
		return nil
	})
	before := metric(t, f, "santander-1", "routing.forwarded")
	for range 5 {
		start := time.Now()
		status, body := shortRequest(t, f, "santander-1", key)
		if status != http.StatusServiceUnavailable || !strings.Contains(body, `"not_run"`) {
			t.Errorf("%d %s", status, body)
		}
		if d := time.Since(start); d > 5*time.Second {
			t.Errorf("the refusal took %v", d)
		}
	}
	proctest.Eventually(t, 5*time.Second, func() error {
		if n := metric(t, f, "santander-1", "routing.forwarded") - before; n == 0 || n > 2*5 {
			return fmt.Errorf("%d forwards of 5 requests to 2 other data centres", n)
		}
		return nil
	})
	for _, host := range []string{"gijon-1", "gijon-2", "bilbao-1"} {
		if n := metric(t, f, host, "routing.forwarded"); n != 0 {
			t.Errorf("%s forwarded %d requests that were forwarded to it", host, n)
		}
	}
}
