package dispatch

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"

	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rules"
)

// headerResumeAfter asks a target that announces the feature resume to
// continue a stream: it sends the events after the given number of events. The
// target confirms by the same header with the same number in its answer; an
// answer without it would repeat events and is not used.
const headerResumeAfter = "Geraniumturn-Resume-After"

const (
	featureResume = "resume"
	// maxEventBytes bounds one event that is held until it is whole.
	maxEventBytes = 1 << 20
)

// answerSink passes the answer of all attempts of a request to the caller. Of
// a stream that can be resumed only whole events pass, and they are counted.
type answerSink struct {
	sink    Sink
	started bool
	// byEvent is true when the answer is a stream of events.
	byEvent bool
	// whole is true while nothing but whole events was passed on.
	whole   bool
	events  int
	partial []byte
}

func (s *answerSink) start(status int, header map[string]string) error {
	if s.started {
		return nil
	}
	s.started = true
	return s.sink.Start(status, header)
}

// restart begins an attempt: what the last one left of an event is dropped,
// since a resumed stream sends the event again as a whole.
func (s *answerSink) restart(byEvent bool) {
	s.partial = nil
	if !s.started {
		s.byEvent, s.whole, s.events = byEvent, byEvent, 0
	}
}

func (s *answerSink) write(p []byte) error {
	if !s.byEvent || !s.whole {
		return s.sink.Write(p)
	}
	s.partial = append(s.partial, p...)
	end, events := wholeEvents(s.partial)
	if end == 0 && len(s.partial) > maxEventBytes {
		s.whole = false // too long to hold; such a stream is not resumed
		return s.flush()
	}
	if end == 0 {
		return nil
	}
	s.events += events
	ready := s.partial[:end]
	if err := s.sink.Write(ready); err != nil {
		return err
	}
	s.partial = append([]byte(nil), s.partial[end:]...)
	return nil
}

// flush passes on what is left after the last whole event.
func (s *answerSink) flush() error {
	left := s.partial
	s.partial = nil
	if len(left) == 0 {
		return nil
	}
	return s.sink.Write(left)
}

// wholeEvents returns the length of the whole events at the start of p and
// their number. An event ends with an empty line; lines without data are none.
func wholeEvents(p []byte) (end, events int) {
	hasData := false
	for rest := p; ; {
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			return end, events
		}
		line := bytes.TrimSuffix(rest[:i], []byte("\r"))
		rest = rest[i+1:]
		switch {
		case bytes.HasPrefix(line, []byte("data:")):
			hasData = true
		case len(line) == 0:
			end = len(p) - len(rest)
			if hasData {
				events++
			}
			hasData = false
		}
	}
}

// resumable reports whether the started answer can go on with another attempt.
func (r *run) resumable() bool {
	return r.req.Idempotent && r.req.Kind == rules.Engine && r.out.byEvent && r.out.whole
}

// resumed checks that a target continues where the caller's stream ended.
func resumed(response *http.Response, after int) error {
	got := response.Header.Get(headerResumeAfter)
	if response.StatusCode != http.StatusOK || got != strconv.Itoa(after) {
		return &attemptError{err: fmt.Errorf("%w: status %d, resume after %q instead of %d", errFailed, response.StatusCode, got, after),
			ran: refusal.Unknown, started: true, retry: true}
	}
	return nil
}
