package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/origins"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// announceSoftware makes the targets known, each with the software of its id: the part
// before the dash.
func (f *fixture) announceSoftware(targets map[string]*target) {
	now := clock.SinceBoot()
	u := fleetsync.Update{SentAt: now, ControlAddress: "c", ExchangeResponse: &syncpb.ExchangeResponse{Known: true, Index: 1, Version: 1, TotalHosts: 1}}
	for id, s := range targets {
		software, _, _ := strings.Cut(id, "-")
		u.Records = append(u.Records, registry.Record{ID: id, Sequence: 1, Service: "s", DataCentre: "dc", State: registry.Ready,
			Address: strings.TrimPrefix(s.URL, "http://"), Software: software})
	}
	f.Apply(now, u)
}

// breaksOnce breaks its first stream off after event 1 and sends events 2 and 3 to all
// later requests.
func breaksOnce(t *testing.T) *target { return newTarget(t, events(true, 1), events(false, 2, 3)) }

const threeEvents = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"

// Guards against a stream that is resumed, within one response, at a target with other
// software than the one that began it.
func TestResumeKeepsSoftware(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("forwarded %v", forwarded), func(t *testing.T) {
			// All begin streams alike, so the test does not depend on the first choice.
			for range 8 {
				shared := breaksOnce(t)
				f := newFixture(t)
				f.announceSoftware(map[string]*target{"v1-a": shared, "v2-a": shared})
				if forwarded {
					f = forwardTo(t, f)
				}
				if got := f.call(t, "/resume/"); got.err == nil || shared.count() != 1 {
					t.Fatalf("stream %q, error %v after %d targets", got.body, got.err, shared.count())
				}
			}
		})
	}
	for range 8 {
		shared := breaksOnce(t)
		f := newFixture(t)
		f.announceSoftware(map[string]*target{"v1-a": shared, "v2-a": shared, "v1-b": shared, "v2-b": shared})
		got := f.call(t, "/resume/")
		if got.err != nil || got.body != threeEvents {
			t.Fatalf("stream %q, error %v", got.body, got.err)
		}
		first, second := shared.requests[0].Header.Get("Target"), shared.requests[1].Header.Get("Target")
		if first[:2] != second[:2] {
			t.Errorf("begun at %s and resumed at %s", first, second)
		}
	}
}

// Guards against a stream that its caller takes up, at the host that began it or at
// another one, and that continues on other software than it began on.
func TestCallerResumesOnSameSoftware(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		for range 6 {
			shared := newTarget(t, events(true, 1), events(false, 2, 3))
			f := newFixture(t)
			targets := map[string]*target{"v1-a": shared, "v2-a": shared}
			f.announceSoftware(targets)
			entry := f
			if forwarded {
				entry = forwardTo(t, f)
			}
			if got := entry.call(t, "/resume/", "Id", "first"); got.err == nil {
				t.Fatalf("stream %q without an error", got.body)
			}
			began := shared.requests[0].Header.Get("Target")
			// The target of the first attempt is ejected for a moment, so the other one is
			// the better choice.
			got := entry.call(t, "/resume/", "Id", "second", "Last", "1", "Resumes", "first")
			if got.status == 200 && shared.requests[len(shared.requests)-1].Header.Get("Target") != began {
				t.Fatalf("forwarded %v: begun at %s, resumed at %s", forwarded, began, shared.requests[len(shared.requests)-1].Header.Get("Target"))
			}
			if got.status != 200 {
				t.Errorf("forwarded %v: not resumed, although a target with the same software serves: %+v", forwarded, got)
			}
		}
	}
}

// Guards against a stream that is taken for another one because neither attempt has an
// id.
func TestAttemptsWithoutIDAreNotOneStream(t *testing.T) {
	s := newTarget(t, events(false, 1, 2))
	f := newFixture(t)
	f.announceSoftware(map[string]*target{"v1-a": s})
	if got := f.call(t, "/resume/", "Id", ""); got.status != http.StatusOK {
		t.Fatalf("response %+v", got)
	}
	f.announceSoftware(map[string]*target{"v1-a": s, "v2-a": s})
	if got := f.call(t, "/resume/", "Id", "", "Last", "1"); got.status != http.StatusServiceUnavailable || s.count() != 1 {
		t.Errorf("response %+v after %d sends", got, s.count())
	}
}

// Guards against a stream that continues at a guess at a host that does not know which
// software began it.
func TestUnknownOriginIsRefused(t *testing.T) {
	unknownAttempt, noAttempt := []string{"Last", "1", "Resumes", "elsewhere"}, []string{"Last", "1"}
	for name, c := range map[string]struct {
		header  []string
		answer  fleetsync.OriginAnswer
		resumed bool
	}{
		"unknown attempt":                    {unknownAttempt, fleetsync.OriginAnswer{}, false},
		"no attempt":                         {noAttempt, fleetsync.OriginAnswer{}, false},
		"no attempt, two versions":           {noAttempt, fleetsync.OriginAnswer{Complete: true, Versions: []string{"v1", "v2"}, Regions: bothRegions}, false},
		"one version, incomplete":            {noAttempt, fleetsync.OriginAnswer{Versions: []string{"v1"}, Regions: bothRegions}, false},
		"one version":                        {noAttempt, fleetsync.OriginAnswer{Complete: true, Versions: []string{"v1"}, Regions: bothRegions}, true},
		"one version, a region out of reach": {noAttempt, fleetsync.OriginAnswer{Complete: true, Versions: []string{"v1"}, Regions: bothRegions[:1]}, false},
		"known to a control host": {unknownAttempt, fleetsync.OriginAnswer{Found: true,
			Origin: origins.Origin{Service: "s", Software: "v1"}}, true},
		"of a service that the route left": {unknownAttempt, fleetsync.OriginAnswer{Found: true,
			Origin: origins.Origin{Service: "other", Software: "v1"}}, false},
		"of software that has no target": {unknownAttempt, fleetsync.OriginAnswer{Found: true,
			Origin: origins.Origin{Service: "s", Software: "v0"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTarget(t, events(false, 2, 3))
			f := newFixture(t)
			f.RegionByDataCentre["far"] = "elsewhere"
			f.OriginClient = fixedAnswer(c.answer)
			f.announceSoftware(map[string]*target{"v1-a": s, "v2-a": s})
			got := f.call(t, "/resume/", append(c.header, "Timeout-Ms", "2000")...)
			if c.resumed {
				if got.status != http.StatusOK || s.count() != 1 || s.requests[0].Header.Get("Target") != "v1-a" {
					t.Errorf("response %+v after %d sends", got, s.count())
				}
				return
			}
			if got.status != http.StatusServiceUnavailable || got.header.Get("Ran") != "not_run" || s.count() != 0 {
				t.Errorf("response %+v after %d sends", got, s.count())
			}
			if got.header.Get("Retry") != "" {
				t.Errorf("the caller is told to come back after %s, although nothing will change", got.header.Get("Retry"))
			}
		})
	}
}

// bothRegions are the regions of a fixture with a second data centre.
var bothRegions = []string{"here", "elsewhere"}

// fixedAnswer gives the same answer for every stream.
type fixedAnswer fleetsync.OriginAnswer

func (a fixedAnswer) FindOrigin(context.Context, origins.Key, string, time.Duration) fleetsync.OriginAnswer {
	return fleetsync.OriginAnswer(a)
}

// Guards against a resumed stream that is refused because its next event would come
// later than the first event of a new stream may.
func TestResumedStreamMayWaitForItsNextEvent(t *testing.T) {
	slow := slowly(700*time.Millisecond, events(false, 2, 3))
	s := newTarget(t, slow)
	f := newFixture(t)
	f.OriginClient = fixedAnswer{Found: true, Origin: origins.Origin{Service: "s", Software: "v1"}}
	f.announceSoftware(map[string]*target{"v1-a": s})
	for range 6 { // until the expected duration is near the actual one
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() { f.call(t, "/safe/") })
		}
		wg.Wait()
	}
	f.announceSoftware(map[string]*target{"v1-a": s}) // confirms the configuration
	var busy sync.WaitGroup
	defer busy.Wait()
	for range 4 {
		busy.Go(func() { f.call(t, "/safe/") })
	}
	time.Sleep(50 * time.Millisecond)
	if got := f.call(t, "/resume/", "Id", "new"); got.status != http.StatusTooManyRequests {
		t.Fatalf("the target is not loaded enough to refuse a new stream: %+v", got)
	}
	if got := f.call(t, "/resume/", "Id", "again", "Last", "1", "Resumes", "new"); got.status != http.StatusOK {
		t.Errorf("response %+v", got)
	}
}
