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
		t.updateTotals(func(s *Totals) { s.Cancelled++ })
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
	cached, added, evicted := t.cache.lookupAndInsert(in.Model, prompt)
	t.publishCache(added, evicted)
	tokenUsage := usage{PromptTokens: len(prompt)/bytesPerToken + 1, CompletionTokens: in.MaxTokens, CachedTokens: cached}
	if !clock.Sleep(r.Context(), time.Duration(tokenUsage.PromptTokens-cached)*t.config.PrefillPerToken) {
		t.updateTotals(func(s *Totals) { s.Cancelled++ })
		return
	}
	t.updateTotals(func(s *Totals) {
		s.PromptTokens += int64(tokenUsage.PromptTokens)
		s.CachedTokens += int64(cached)
	})
	if in.Stream {
		t.streamCompletion(w, r, tokenUsage)
		return
	}
	t.writeCompletion(w, r, in, tokenUsage)
}

// currentTokenInterval returns the time to the next output token at the current
// batch size.
func (t *Target) currentTokenInterval() time.Duration {
	load := float64(t.running.Load()) / float64(t.config.Slots)
	return time.Duration(float64(t.config.TokenInterval) * (1 + load))
}

func (t *Target) writeCompletion(w http.ResponseWriter, r *http.Request, in engineRequest, tokenUsage usage) {
	if !t.decode(r.Context(), tokenUsage.CompletionTokens, func(int) {}) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	content := strings.Repeat("word ", in.MaxTokens)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"model": in.Model, "usage": tokenUsage,
		"choices": []any{map[string]any{"message": map[string]any{"role": "assistant", "content": content}}},
	})
}

func (t *Target) streamCompletion(w http.ResponseWriter, r *http.Request, tokenUsage usage) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	completed := t.decode(r.Context(), tokenUsage.CompletionTokens, func(i int) {
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word%d \"}}]}\n\n", i)
		_ = controller.Flush()
	})
	if !completed {
		return
	}
	final, _ := json.Marshal(map[string]any{"choices": []any{}, "usage": tokenUsage})
	fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", final)
}

// decode generates the output tokens and calls emit for each. It returns false if
// ctx ends before the last token.
func (t *Target) decode(ctx context.Context, tokens int, emit func(int)) bool {
	for i := range tokens {
		if !clock.Sleep(ctx, t.currentTokenInterval()) {
			t.updateTotals(func(s *Totals) { s.Cancelled++ })
			return false
		}
		emit(i)
		t.updateTotals(func(s *Totals) { s.OutputTokens++ })
	}
	return true
}
