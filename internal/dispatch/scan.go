package dispatch

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"geraniumturn.example/geraniumturn/internal/rules"
)

// maxScanBytes bounds what is kept of an answer to find its usage.
const maxScanBytes = 1 << 20

// scanner reads usage out of an engine's answer as it passes, and tells
// whether a stream of events has reached its terminator.
type scanner struct {
	engine bool
	events bool
	line   []byte
	body   []byte
	// deltas counts events with content, as an estimate without usage.
	deltas     int64
	done       bool
	prompt     int64
	completion int64
}

type usageBody struct {
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

func newScanner(req *Request, response *http.Response) *scanner {
	engine := req.Kind == rules.Engine && response.StatusCode < 300
	return &scanner{
		engine: engine,
		events: engine && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"),
	}
}

func (s *scanner) feed(p []byte) {
	switch {
	case !s.engine:
	case s.events:
		s.feedEvents(p)
	case len(s.body)+len(p) <= maxScanBytes:
		s.body = append(s.body, p...)
	}
}

func (s *scanner) feedEvents(p []byte) {
	for {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			if len(s.line)+len(p) <= maxScanBytes {
				s.line = append(s.line, p...)
			}
			return
		}
		line := p[:i]
		if len(s.line) > 0 {
			line = append(s.line, line...)
		}
		s.event(bytes.TrimRight(line, "\r"))
		s.line = s.line[:0]
		p = p[i+1:]
	}
}

func (s *scanner) event(line []byte) {
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return
	}
	data = bytes.TrimSpace(data)
	if string(data) == "[DONE]" {
		s.done = true
		return
	}
	s.deltas++
	if bytes.Contains(data, []byte(`"usage"`)) {
		s.readUsage(data)
	}
}

func (s *scanner) readUsage(data []byte) {
	var u usageBody
	if json.Unmarshal(data, &u) == nil && u.Usage != nil {
		s.prompt, s.completion = u.Usage.PromptTokens, u.Usage.CompletionTokens
	}
}

// complete reports whether the end of the answer was seen. For answers that
// are no event stream the framing has already told.
func (s *scanner) complete() bool { return !s.events || s.done }

// usage returns prompt and completion tokens; zero when the target gave none.
func (s *scanner) usage() (prompt, completion int64) {
	if s.engine && !s.events {
		s.readUsage(s.body)
	}
	if s.events && s.completion == 0 {
		s.completion = s.deltas
	}
	return s.prompt, s.completion
}
