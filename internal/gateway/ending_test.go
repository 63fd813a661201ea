package gateway_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// logLines collects the lines of a gateway's log.
type logLines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

// await returns the first line with the event, which may be written after its response.
func (l *logLines) await(t *testing.T, event string) map[string]any {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		l.mu.Lock()
		lines := strings.Split(l.b.String(), "\n")
		l.mu.Unlock()
		for _, line := range lines {
			fields := map[string]any{}
			if json.Unmarshal([]byte(line), &fields) == nil && fields["event"] == event {
				return fields
			}
		}
	}
	t.Fatalf("no line %q", event)
	return nil
}

func captureLog(f *fixture) *logLines {
	lines := &logLines{}
	f.Log.SetFormatter(&logrus.JSONFormatter{FieldMap: logrus.FieldMap{logrus.FieldKeyMsg: "event"}})
	f.Log.SetOutput(lines)
	return lines
}

// Guards against a log that cannot tell how the end of a stream was found: the lines of the
// host that reads the response have its events, the state of its connection and what
// confirmed the end, also when the stream was served or forwarded.
func TestEndOfResponseIsLogged(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("forwarded %v", forwarded), func(t *testing.T) {
			f := start(t, newTarget(t, unframed(t, eventStream, twoEvents)))
			lines, event := captureLog(f), "request"
			if forwarded {
				event = "forwarded request"
				f = forwardTo(t, f)
			}
			if got := f.call(t, "/stream/"); got.err != nil || got.body != twoEvents {
				t.Fatalf("response %+v", got)
			}
			line := lines.await(t, event)
			if line["unframed"] != true || line["events"] != 2.0 || line["last_event"] != "2" || line["end_state"] != "closed by the peer" || line["end_ms"] == nil || line["end_error"] != nil {
				t.Errorf("line %v", line)
			}
		})
	}
	t.Run("crash", func(t *testing.T) {
		s := newTarget(t)
		s.script = []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			_ = s.Listener.Close()
			unframed(t, eventStream, "id: 7\ndata: a\n\n")(w, r)
		}}
		f := start(t, s)
		lines := captureLog(f)
		f.call(t, "/stream/")
		if line := lines.await(t, "request"); line["outcome"] != "cut" || line["last_event"] != "7" || line["end_error"] == nil {
			t.Errorf("line %v", line)
		}
	})
}
