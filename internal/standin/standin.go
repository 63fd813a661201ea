package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"geraniumturn.example/geraniumturn/internal/targets"
)

const (
	announceInterval = time.Second
	announceTimeout  = 2 * time.Second
	bytesPerToken    = 4
	maxBody          = 16 << 20
)

// Config describes a simulated target.
type Config struct {
	Name       string
	DataCentre string
	Pool       string
	// Models makes it an engine; without models it is a plain service.
	Models []string
	// Listen is IP:port; port 0 takes a free one.
	Listen string
	// AnnounceTo are HTTP addresses of entry hosts, own data centre first.
	AnnounceTo []string
	Token      string
	Slots      int
	// PrefillPerToken and TokenInterval set the engine's speed.
	PrefillPerToken time.Duration
	TokenInterval   time.Duration
	Incarnation     uint64
}

// Target is a running simulated target.
type Target struct {
	config   Config
	listener net.Listener
	server   *http.Server
	running  atomic.Int64
	leaving  atomic.Bool
	sequence atomic.Uint64

	mu sync.Mutex
	// runs counts executions by request body.
	runs map[string]int
	// headers keeps the headers of the last request.
	headers http.Header
}

// Start opens the listener and serves. Announce separately with Run.
func Start(config Config) (*Target, error) {
	if config.Incarnation == 0 {
		config.Incarnation = uint64(time.Now().UnixNano())
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	t := &Target{config: config, listener: listener, runs: map[string]int{}}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = t.server.Serve(listener) }()
	return t, nil
}

// Address is the target's IP:port.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Close cuts all connections.
func (t *Target) Close() { _ = t.server.Close() }

// Leave makes the following announcements ask for no new work.
func (t *Target) Leave() { t.leaving.Store(true) }

// Runs returns how often the body was executed.
func (t *Target) Runs(body string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[body]
}

// LastHeaders returns the headers of the last request.
func (t *Target) LastHeaders() http.Header {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.headers.Clone()
}

// Run announces the target each second until ctx ends.
func (t *Target) Run(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		t.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announce tells the first entry host that answers.
func (t *Target) announce(ctx context.Context) {
	body, err := json.Marshal(targets.Announcement{
		Name: t.config.Name, Incarnation: t.config.Incarnation, Sequence: t.sequence.Add(1),
		Address: t.Address(), Pool: t.config.Pool, DataCentre: t.config.DataCentre, Models: t.config.Models,
		Slots: t.config.Slots, Running: int(t.running.Load()), Features: []string{"priority", "cancel", "echo_request_id"},
		Leaving: t.leaving.Load(),
	})
	if err != nil {
		return
	}
	for _, address := range t.config.AnnounceTo {
		if t.post(ctx, address, body) == nil {
			return
		}
	}
}

func (t *Target) post(ctx context.Context, address string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/targets/v1/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+t.config.Token)
	req.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= 300 {
		return fmt.Errorf("standin: announcement got status %d", response.StatusCode)
	}
	return nil
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	t.mu.Lock()
	t.runs[string(body)]++
	count := t.runs[string(body)]
	t.headers = r.Header.Clone()
	t.mu.Unlock()
	t.running.Add(1)
	defer t.running.Add(-1)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if len(t.config.Models) == 0 {
		t.serveService(w, r, count)
		return
	}
	t.serveEngine(w, r, body)
}

func (t *Target) serveService(w http.ResponseWriter, r *http.Request, count int) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"served_by": t.config.Name, "path": r.URL.Path, "runs": count})
}

type engineRequest struct {
	Model     string          `json:"model"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

func (t *Target) serveEngine(w http.ResponseWriter, r *http.Request, body []byte) {
	var in engineRequest
	if err := json.Unmarshal(body, &in); err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	if in.MaxTokens == 0 {
		in.MaxTokens = 16
	}
	used := usage{PromptTokens: (len(in.Prompt)+len(in.Messages))/bytesPerToken + 1, CompletionTokens: in.MaxTokens}
	if !sleep(r.Context(), time.Duration(used.PromptTokens)*t.config.PrefillPerToken) {
		return
	}
	if in.Stream {
		t.stream(w, r, used)
		return
	}
	if !sleep(r.Context(), time.Duration(in.MaxTokens)*t.config.TokenInterval) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"model": in.Model, "usage": used,
		"choices": []any{map[string]any{"message": map[string]any{"role": "assistant", "content": strings.Repeat("word ", in.MaxTokens)}}},
	})
}

func (t *Target) stream(w http.ResponseWriter, r *http.Request, used usage) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := range used.CompletionTokens {
		if !sleep(r.Context(), t.config.TokenInterval) {
			return
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word%d \"}}]}\n\n", i)
		_ = controller.Flush()
	}
	final, _ := json.Marshal(map[string]any{"choices": []any{}, "usage": used})
	fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", final)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
