package dispatch

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"geraniumturn.example/geraniumturn/internal/bytebudget"
	"geraniumturn.example/geraniumturn/internal/rules"
)

// maxScanBytes limits the buffer of a response in which the usage is searched.
const maxScanBytes = 1 << 20

// usageScanner reads the token usage from an engine's response while the response
// is copied, and detects the terminator of an event stream.
type usageScanner struct {
	engine        bool
	isEventStream bool
	line          []byte
	body          []byte
	part          bytebudget.Buffer // of line or body
	// dataEvents counts the data lines other than the terminator. It is the estimate
	// of the completion tokens if the target reports none.
	dataEvents int64
	terminated bool
	// terminatorEnded is true when the empty line after the terminator was read too.
	terminatorEnded bool
	prompt          int64
	completion      int64
}

type usageBody struct {
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

func newScanner(req *Request, response *http.Response, buffers *bytebudget.Budget) *usageScanner {
	engine := req.Kind == rules.Engine && response.StatusCode < 300
	return &usageScanner{
		engine:        engine,
		isEventStream: engine && isEventStream(response),
		part:          buffers.Buffer(),
	}
}

func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

func (s *usageScanner) feed(p []byte) {
	switch {
	case !s.engine:
	case s.isEventStream:
		s.feedEvents(p)
	case len(s.body)+len(p) <= maxScanBytes && s.part.Resize(len(s.body)+len(p)):
		s.body = append(s.body, p...)
	}
}

func (s *usageScanner) feedEvents(p []byte) {
	for {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			if len(s.line)+len(p) <= maxScanBytes && s.part.Resize(len(s.line)+len(p)) {
				s.line = append(s.line, p...)
			}
			return
		}
		line := p[:i]
		if len(s.line) > 0 {
			line = append(s.line, line...)
		}
		s.scanLine(bytes.TrimRight(line, "\r"))
		if s.line = s.line[:0]; cap(s.line) > bytebudget.Free {
			s.line = nil
		}
		s.part.Resize(0)
		p = p[i+1:]
	}
}

func (s *usageScanner) scanLine(line []byte) {
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		s.terminatorEnded = s.terminatorEnded || s.terminated && len(line) == 0
		return
	}
	data = bytes.TrimSpace(data)
	if string(data) == "[DONE]" {
		s.terminated = true
		return
	}
	s.dataEvents++
	if bytes.Contains(data, []byte(`"usage"`)) {
		s.readUsage(data)
	}
}

func (s *usageScanner) readUsage(data []byte) {
	var u usageBody
	if json.Unmarshal(data, &u) == nil && u.Usage != nil {
		s.prompt, s.completion = u.Usage.PromptTokens, u.Usage.CompletionTokens
	}
}

// complete reports whether the end of the response was seen. For a response that
// is not an event stream, HTTP framing ensures it.
func (s *usageScanner) complete() bool { return !s.isEventStream || s.terminated }

// usage returns prompt and completion tokens. Without reported usage the prompt
// count is 0, and so is the completion count except for event streams, where it is
// estimated.
func (s *usageScanner) usage() (prompt, completion int64) {
	if s.engine && !s.isEventStream {
		s.readUsage(s.body)
	}
	if s.isEventStream && s.completion == 0 {
		s.completion = s.dataEvents
	}
	return s.prompt, s.completion
}
