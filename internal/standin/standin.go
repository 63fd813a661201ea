package standin

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const maxBodyBytes = 16 << 20

// Totals are the counters of a target since its start.
type Totals struct {
	Requests      int64
	PromptTokens  int64
	CachedTokens  int64
	OutputTokens  int64
	Cancelled     int64
	Crashes       int64
	BusyMicros    int64
	WaitingMicros int64
}

// Target is a running simulated target.
type Target struct {
	config           Config
	address          string
	slots            chan struct{}
	cache            *prefixCache
	queued           atomic.Int64
	running          atomic.Int64
	draining         atomic.Bool
	failAll          atomic.Bool
	announcementsOff atomic.Bool
	sequence         atomic.Uint64
	incarnation      atomic.Uint64

	mu     sync.Mutex
	server *http.Server
	totals Totals
	// runs is the number of executions by request body.
	runs map[string]int
	// lastHeaders holds the headers of the most recent request.
	lastHeaders http.Header
	// loadHistory holds load readings, oldest first, for reports with a ReportLag.
	loadHistory []loadReading
	closed      bool
}

type loadReading struct {
	at              time.Time
	running, queued int
}

// Start opens the listener and serves requests. Run sends the announcements.
func Start(config Config) (*Target, error) {
	config.setDefaults()
	t := &Target{
		config: config, slots: make(chan struct{}, config.Slots),
		cache: newPrefixCache(config.CacheTokens), runs: map[string]int{},
	}
	t.incarnation.Store(config.Incarnation)
	if err := t.listen(config.Listen); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Target) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: 10 * time.Second}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.address, t.server = listener.Addr().String(), server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Address returns the IP:port of the target.
func (t *Target) Address() string { return t.address }

func (t *Target) Name() string { return t.config.Name }

func (t *Target) DataCentre() string { return t.config.DataCentre }

// Close stops the server and closes all connections.
func (t *Target) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	_ = t.server.Close()
}

// Leave marks the target as leaving in the announcements that follow, so that the
// gateway sends it no new requests.
func (t *Target) Leave() { t.draining.Store(true) }

// SetFailing makes the target respond to every request with status 500. The
// announcements continue.
func (t *Target) SetFailing(failing bool) { t.failAll.Store(failing) }

// SetSilent stops or resumes the announcements.
func (t *Target) SetSilent(silent bool) { t.announcementsOff.Store(silent) }

// Runs returns the number of executions of the request body.
func (t *Target) Runs(body string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[body]
}

// RunsByBody returns the number of executions of each request body.
func (t *Target) RunsByBody() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.runs)
}

// LastHeaders returns a copy of the headers of the most recent request.
func (t *Target) LastHeaders() http.Header {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastHeaders.Clone()
}

// Totals returns a copy of the counters.
func (t *Target) Totals() Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totals
}

func (t *Target) updateTotals(change func(*Totals)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.totals)
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if t.failAll.Load() {
		http.Error(w, "simulated failure", http.StatusInternalServerError)
		return
	}
	count := t.recordRun(r, string(body))
	if t.config.CrashOn != "" && strings.Contains(string(body), t.config.CrashOn) {
		t.crash()
		panic(http.ErrAbortHandler)
	}
	if !t.acquireSlot(r.Context()) {
		t.updateTotals(func(s *Totals) { s.Cancelled++ })
		return
	}
	defer t.releaseSlot(time.Now())
	if len(t.config.Models) == 0 {
		t.serveService(w, r, count)
		return
	}
	t.serveEngine(w, r, body)
}

func (t *Target) recordRun(r *http.Request, body string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.Requests++
	t.runs[body]++
	t.lastHeaders = r.Header.Clone()
	return t.runs[body]
}

func (t *Target) acquireSlot(ctx context.Context) bool {
	start := time.Now()
	t.queued.Add(1)
	defer t.queued.Add(-1)
	select {
	case t.slots <- struct{}{}:
		t.running.Add(1)
		t.updateTotals(func(s *Totals) { s.WaitingMicros += time.Since(start).Microseconds() })
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) releaseSlot(start time.Time) {
	t.running.Add(-1)
	<-t.slots
	t.updateTotals(func(s *Totals) { s.BusyMicros += time.Since(start).Microseconds() })
}

// Crash simulates a crash and a restart after the RestartDelay.
func (t *Target) Crash() { t.crash() }

// crash closes all connections and stops the announcements. The target restarts on
// the same address after RestartDelay, with a new incarnation and an empty cache.
func (t *Target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	t.totals.Crashes++
	_ = t.server.Close()
	t.announcementsOff.Store(true)
	time.AfterFunc(t.config.RestartDelay, t.restart)
}

func (t *Target) restart() {
	t.mu.Lock()
	closed := t.closed
	t.mu.Unlock()
	if closed {
		return
	}
	t.cache.clear()
	t.incarnation.Add(1)
	if t.listen(t.address) == nil {
		t.announcementsOff.Store(false)
	}
}
