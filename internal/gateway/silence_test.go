package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// silence is a pause of a sound target: shorter than the time after which callers abandon
// a stream.
const silence = 1600 * time.Millisecond

// pausing sends event 1 of twoEvents, falls silent, and sends event 2. If within is set,
// it falls silent inside event 2.
func pausing(within bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		begin := strings.Index(twoEvents, "id: 2")
		if within {
			begin += len("id: 2\nda")
		}
		w.Header().Set("Signed", "sig")
		_, _ = io.WriteString(w, twoEvents[:begin])
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
		case <-time.After(silence):
			_, _ = io.WriteString(w, twoEvents[begin:])
		}
	}
}

// headThenPause sends the headers of a stream, falls silent, and sends the events.
func headThenPause(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Signed", "sig")
	_ = http.NewResponseController(w).Flush()
	select {
	case <-r.Context().Done():
	case <-time.After(silence):
		_, _ = io.WriteString(w, twoEvents)
	}
}

// Guards against a stream that is cut because its sound target fell silent, although no
// other target can continue it.
func TestSilentTargetIsKeptWithoutReplacement(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		// arrange removes what a retry needs; nil if the target is the only one.
		arrange func(f *fixture, s *target)
	}{
		"between events":         {pausing(false), nil},
		"inside an event":        {pausing(true), nil},
		"before the first event": {headThenPause, nil},
		"no retries in the budget": {pausing(false), func(f *fixture, s *target) {
			f.Bounds.RetryRatio, f.Bounds.RetrySlack = 0, 0
			f.update(0, s, s)
		}},
		"other software elsewhere": {pausing(false), func(f *fixture, s *target) {
			f.Table.Merge(clock.SinceBoot(), registry.Record{ID: "other", Sequence: 1, Service: "s", DataCentre: "dc", State: registry.Ready,
				Address: strings.TrimPrefix(s.URL, "http://"), Software: "v2", Silent: true})
			f.update(0, s)
		}},
	} {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, forwarded %v", name, forwarded), func(t *testing.T) {
				t.Parallel()
				s := newTarget(t, c.handler)
				f := newFixture(t)
				if c.arrange == nil {
					f.update(0, s)
				} else {
					c.arrange(f, s)
				}
				if forwarded {
					f = forwardTo(t, f)
				}
				got := f.call(t, "/resume/", "Timeout-Ms", "4000")
				if got.err != nil || got.status != 200 || got.body != twoEvents {
					t.Errorf("status %d, error %v, stream %q", got.status, got.err, got.body)
				}
				if n := s.count(); n != 1 {
					t.Errorf("sent %d times", n)
				}
			})
		}
	}
}

// Guards against a stream that has used its attempts and is cut because its last target
// fell silent.
func TestSilentTargetIsKeptAfterLastAttempt(t *testing.T) {
	s := newTarget(t, events(true, 0), events(true, 0), pausing(false))
	got := start(t, s, s, s, s).call(t, "/resume/", "Timeout-Ms", "4000")
	if got.err != nil || !strings.HasSuffix(got.body, twoEvents) || s.count() != 3 {
		t.Errorf("error %v, stream %q after %d targets", got.err, got.body, s.count())
	}
}

// Guards against a stream that waits for a silent target although another one can
// continue it, and against a target that keeps working on a stream it has lost.
func TestSilentTargetIsReplaced(t *testing.T) {
	ended := make(chan time.Time, 1)
	s := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		events(false, 1)(w, r)
		<-r.Context().Done()
		ended <- time.Now()
	}, events(false, 2, 3))
	started := time.Now()
	got := start(t, s, s).call(t, "/resume/", "Timeout-Ms", "4000")
	if took := time.Since(started); got.err != nil || got.body != threeEvents || took > 1500*time.Millisecond {
		t.Errorf("error %v, stream %q after %s", got.err, got.body, took)
	}
	select {
	case <-ended:
	case <-time.After(400 * time.Millisecond):
		t.Error("the first target still works on the stream")
	}
}
