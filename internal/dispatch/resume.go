package dispatch

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"

	"geraniumturn.example/geraniumturn/internal/bytebudget"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rules"
)

// headerResumeAfter asks a target that announces the feature resume to continue a
// stream after the given number of events. The target confirms with the same
// header and number in its response. A response without it is not used, since it
// would repeat events.
const headerResumeAfter = "Geraniumturn-Resume-After"

const (
	featureResume = "resume"
	// maxEventBytes limits the buffer for an incomplete event.
	maxEventBytes = 1 << 20
)

// responseSink writes the response of all attempts of a request to the caller. Of
// a stream that can be resumed it writes complete events only, and counts them.
type responseSink struct {
	sink    Sink
	started bool
	// isEventStream is true when the response is a stream of events.
	isEventStream bool
	// onlyCompleteEvents is true while no part of an incomplete event was written.
	onlyCompleteEvents bool
	eventsSent         int
	partialEvent       []byte
	part               bytebudget.Buffer // of partialEvent
}

func (s *responseSink) start(status int, header map[string]string) error {
	if s.started {
		return nil
	}
	s.started = true
	return s.sink.Start(status, header)
}

// beginAttempt prepares for the response of a new attempt. It drops the incomplete
// event of the last attempt, since a resumed stream sends it again.
func (s *responseSink) beginAttempt(isEventStream bool) {
	s.keep(nil)
	if !s.started {
		s.isEventStream, s.onlyCompleteEvents, s.eventsSent = isEventStream, isEventStream, 0
	}
}

func (s *responseSink) write(p []byte) error {
	if !s.isEventStream || !s.onlyCompleteEvents {
		return s.sink.Write(p)
	}
	s.partialEvent = append(s.partialEvent, p...)
	end, events := completeEvents(s.partialEvent)
	if end == 0 {
		if len(s.partialEvent) > maxEventBytes || !s.part.Resize(len(s.partialEvent)) {
			s.onlyCompleteEvents = false // the event exceeds the buffer; such a stream is not resumed
			return s.flush()
		}
		return nil
	}
	s.eventsSent += events
	complete := s.partialEvent[:end]
	if err := s.sink.Write(complete); err != nil {
		return err
	}
	s.keep(append([]byte(nil), s.partialEvent[end:]...))
	return nil
}

// keep replaces the incomplete event with one that is no longer.
func (s *responseSink) keep(event []byte) {
	s.partialEvent = event
	s.part.Resize(len(event))
}

// flush writes what follows the last complete event.
func (s *responseSink) flush() error {
	remainder := s.partialEvent
	s.keep(nil)
	if len(remainder) == 0 {
		return nil
	}
	return s.sink.Write(remainder)
}

// completeEvents returns the length of the complete events at the start of p and
// their number. An event ends with an empty line and counts only if it has a data
// field.
func completeEvents(p []byte) (end, events int) {
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

// canResume reports whether another attempt can continue the started response.
func (r *requestRun) canResume() bool {
	return r.req.Idempotent && r.req.Kind == rules.Engine && r.out.isEventStream && r.out.onlyCompleteEvents
}

// checkResumed checks that the target continues the stream after the given number
// of events.
func checkResumed(response *http.Response, after int) error {
	got := response.Header.Get(headerResumeAfter)
	if response.StatusCode != http.StatusOK || got != strconv.Itoa(after) || !isEventStream(response) {
		return &attemptError{err: fmt.Errorf("%w: status %d, %q, resume after %q instead of %d", errTargetFailed, response.StatusCode, response.Header.Get("Content-Type"), got, after),
			ran: refusal.Unknown, started: true, retryable: true}
	}
	return nil
}
