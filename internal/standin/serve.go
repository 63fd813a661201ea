package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
)

const defaultMaxTokens = 16

func (t *Target) serveService(w http.ResponseWriter, r *http.Request, count int) {
	if !clock.Sleep(r.Context(), t.config.ServiceTime) {
		t.add(func(s *Totals) { s.Cancelled++ })
		return
	}
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
	CachedTokens     int `json:"cached_tokens"`
}

func (t *Target) serveEngine(w http.ResponseWriter, r *http.Request, body []byte) {
	var in engineRequest
	if err := json.Unmarshal(body, &in); err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	if in.MaxTokens == 0 {
		in.MaxTokens = defaultMaxTokens
	}
	prompt := append(append([]byte{}, in.Messages...), in.Prompt...)
	cached, added, evicted := t.cache.use(in.Model, prompt)
	t.publishCache(added, evicted)
	used := usage{PromptTokens: len(prompt)/bytesPerToken + 1, CompletionTokens: in.MaxTokens, CachedTokens: cached}
	if !clock.Sleep(r.Context(), time.Duration(used.PromptTokens-cached)*t.config.PrefillPerToken) {
		t.add(func(s *Totals) { s.Cancelled++ })
		return
	}
	t.add(func(s *Totals) {
		s.PromptTokens += int64(used.PromptTokens)
		s.CachedTokens += int64(cached)
	})
	if in.Stream {
		t.stream(w, r, used)
		return
	}
	t.answer(w, r, in, used)
}

// interval is the time to the next output token with the present batch.
func (t *Target) interval() time.Duration {
	load := float64(t.running.Load()) / float64(t.config.Slots)
	return time.Duration(float64(t.config.TokenInterval) * (1 + load))
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, in engineRequest, used usage) {
	if !t.decode(r.Context(), used.CompletionTokens, func(int) {}) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	content := strings.Repeat("word ", in.MaxTokens)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"model": in.Model, "usage": used,
		"choices": []any{map[string]any{"message": map[string]any{"role": "assistant", "content": content}}},
	})
}

func (t *Target) stream(w http.ResponseWriter, r *http.Request, used usage) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	whole := t.decode(r.Context(), used.CompletionTokens, func(i int) {
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word%d \"}}]}\n\n", i)
		_ = controller.Flush()
	})
	if !whole {
		return
	}
	final, _ := json.Marshal(map[string]any{"choices": []any{}, "usage": used})
	fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", final)
}

// decode makes output tokens until all are made or the caller has gone.
func (t *Target) decode(ctx context.Context, tokens int, emit func(int)) bool {
	for i := range tokens {
		if !clock.Sleep(ctx, t.interval()) {
			t.add(func(s *Totals) { s.Cancelled++ })
			return false
		}
		emit(i)
		t.add(func(s *Totals) { s.OutputTokens++ })
	}
	return true
}
