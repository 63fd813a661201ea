package gateway

import (
	"bytes"
	"cmp"

	"github.com/sirupsen/logrus"
)

// addEndFields adds to a log line what is known of the end of the response to an attempt.
// Fields that would say nothing are left out.
func (s *sendAttempt) addEndFields(fields logrus.Fields) {
	if s.events.count > 0 {
		fields["events"], fields["last_event"] = s.events.count, s.events.last
	}
	res := s.received
	if res == nil {
		return
	}
	if err := res.WriteError(); err != nil {
		fields["write_error"] = err.Error()
	}
	if !res.Unframed {
		return
	}
	fields["unframed"] = true
	if end, ended := res.End(); ended {
		fields["end_state"], fields["end_ms"] = end.State.String(), end.Took.Milliseconds()
		if end.Err != nil {
			fields["end_error"] = end.Err.Error()
		}
	}
}

// eventTrace follows the events of a stream that is relayed as it arrives.
type eventTrace struct {
	count int    // of complete events that have an id or data
	last  string // id of the latest complete event that has one
	id    string // of the incomplete event
	line  []byte // the start of the incomplete line
	open  bool   // the incomplete event has an id or data; others are comments or empty
}

// maxTracedLine bounds the part of a line that is kept: ids are shorter.
const maxTracedLine = 64

func (t *eventTrace) feed(b []byte) {
	for len(b) > 0 {
		part, rest, ended := bytes.Cut(b, []byte("\n"))
		t.line = append(t.line, part[:min(len(part), max(0, maxTracedLine-len(t.line)))]...)
		if b = rest; !ended {
			return
		}
		line := bytes.TrimRight(t.line, "\r")
		if id := eventID(line); id != "" {
			t.id = id
		}
		t.open = t.open || t.id != "" || hasData(line)
		if len(line) == 0 && t.open {
			t.count++
			t.last, t.id, t.open = cmp.Or(t.id, t.last), "", false
		}
		t.line = t.line[:0]
	}
}
