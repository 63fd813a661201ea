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

const maxBody = 16 << 20

// Totals are what a target has done since its start.
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
	config      Config
	address     string
	slots       chan struct{}
	cache       *prefixCache
	queued      atomic.Int64
	running     atomic.Int64
	leaving     atomic.Bool
	failing     atomic.Bool
	silent      atomic.Bool
	sequence    atomic.Uint64
	incarnation atomic.Uint64

	mu     sync.Mutex
	server *http.Server
	totals Totals
	// runs counts executions by request body.
	runs map[string]int
	// headers keeps the headers of the last request.
	headers http.Header
	// loads are past load readings, for reports with a lag.
	loads  []loadReading
	closed bool
}

type loadReading struct {
	at              time.Time
	running, queued int
}

// Start opens the listener and serves. Announce separately with Run.
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

// Address is the target's IP:port.
func (t *Target) Address() string { return t.address }

// Name is the target's name.
func (t *Target) Name() string { return t.config.Name }

// DataCentre is where the target stands.
func (t *Target) DataCentre() string { return t.config.DataCentre }

// Close cuts all connections.
func (t *Target) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	_ = t.server.Close()
}

// Leave makes the following announcements ask for no new work.
func (t *Target) Leave() { t.leaving.Store(true) }

// SetFailing makes the target answer every request with status 500 while it
// goes on announcing itself.
func (t *Target) SetFailing(failing bool) { t.failing.Store(failing) }

// SetSilent stops or resumes the announcements.
func (t *Target) SetSilent(silent bool) { t.silent.Store(silent) }

// Runs returns how often the body was executed.
func (t *Target) Runs(body string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[body]
}

// RunsByBody returns how often each body was executed.
func (t *Target) RunsByBody() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.runs)
}

// LastHeaders returns the headers of the last request.
func (t *Target) LastHeaders() http.Header {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.headers.Clone()
}

// Totals returns what the target has done.
func (t *Target) Totals() Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totals
}

func (t *Target) add(change func(*Totals)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.totals)
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if t.failing.Load() {
		http.Error(w, "simulated failure", http.StatusInternalServerError)
		return
	}
	count := t.noteRun(r, string(body))
	if t.config.CrashOn != "" && strings.Contains(string(body), t.config.CrashOn) {
		t.crash()
		panic(http.ErrAbortHandler)
	}
	if !t.takeSlot(r.Context()) {
		t.add(func(s *Totals) { s.Cancelled++ })
		return
	}
	defer t.freeSlot(time.Now())
	if len(t.config.Models) == 0 {
		t.serveService(w, r, count)
		return
	}
	t.serveEngine(w, r, body)
}

func (t *Target) noteRun(r *http.Request, body string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.Requests++
	t.runs[body]++
	t.headers = r.Header.Clone()
	return t.runs[body]
}

func (t *Target) takeSlot(ctx context.Context) bool {
	start := time.Now()
	t.queued.Add(1)
	defer t.queued.Add(-1)
	select {
	case t.slots <- struct{}{}:
		t.running.Add(1)
		t.add(func(s *Totals) { s.WaitingMicros += time.Since(start).Microseconds() })
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) freeSlot(start time.Time) {
	t.running.Add(-1)
	<-t.slots
	t.add(func(s *Totals) { s.BusyMicros += time.Since(start).Microseconds() })
}

// Crash makes the target crash now.
func (t *Target) Crash() { t.crash() }

// crash cuts all connections and comes back later on the same address, with a
// new incarnation and an empty cache.
func (t *Target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	t.totals.Crashes++
	_ = t.server.Close()
	t.silent.Store(true)
	time.AfterFunc(t.config.RestartDelay, t.comeBack)
}

func (t *Target) comeBack() {
	t.mu.Lock()
	closed := t.closed
	t.mu.Unlock()
	if closed {
		return
	}
	t.cache.clear()
	t.incarnation.Add(1)
	if t.listen(t.address) == nil {
		t.silent.Store(false)
	}
}
