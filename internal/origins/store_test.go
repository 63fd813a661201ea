package origins_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/origins"
)

var v1, v2 = origins.Origin{Service: "s", Software: "v1"}, origins.Origin{Service: "s", Software: "v2"}

// Guards against an origin that is lost, kept for too long, or reported for another
// workspace's attempt or for two streams with the same id.
func TestStore(t *testing.T) {
	s := origins.NewStore()
	a, b := origins.KeyOf("w", "a"), origins.KeyOf("w", "b")
	s.Record(0, a, v1)
	s.Merge(time.Second, b, v2)
	for name, c := range map[string]struct {
		at    time.Duration
		key   origins.Key
		want  origins.Origin
		found bool
	}{
		"own":               {time.Minute, a, v1, true},
		"merged":            {time.Minute, b, v2, true},
		"unknown":           {0, origins.KeyOf("w", "c"), origins.Origin{}, false},
		"another workspace": {0, origins.KeyOf("x", "a"), origins.Origin{}, false},
		"no workspace":      {0, origins.KeyOf("", "wa"), origins.Origin{}, false},
		"too old":           {3 * time.Minute, a, origins.Origin{}, false},
	} {
		if got, found := s.Find(c.at, c.key); got != c.want || found != c.found {
			t.Errorf("%s: %v, %v", name, got, found)
		}
	}
	s.Merge(time.Second, a, v2)
	if got, found := s.Find(time.Second, a); found {
		t.Errorf("two streams began under one id, and the store knows %v", got)
	}
}

// Guards against origins that a report leaves out or repeats, and against reports and
// memory without a bound.
func TestStoreReports(t *testing.T) {
	const streams = 200_000
	s := origins.NewStore()
	reported, cursor := 0, uint64(0)
	for i := range streams {
		s.Record(0, origins.KeyOf("w", fmt.Sprint(i)), v1)
		s.Merge(0, origins.KeyOf("w", fmt.Sprint("merged", i)), v2)
		if i%5000 == 0 {
			report, next := s.Since(0, cursor)
			if len(report[v1]) > origins.MaxReport || len(report[v2]) > 0 {
				t.Fatalf("report of %d and %d origins", len(report[v1]), len(report[v2]))
			}
			reported, cursor = reported+len(report[v1]), next
		}
	}
	if reported < 100_000 || cursor < uint64(reported) {
		t.Errorf("%d origins reported up to position %d", reported, cursor)
	}
	if _, found := s.Find(0, origins.KeyOf("w", "0")); found {
		t.Error("the oldest of 400,000 origins is still kept")
	}
	if _, found := s.Find(0, origins.KeyOf("w", fmt.Sprint(streams-1))); !found {
		t.Error("the newest origin is not kept")
	}
	s = origins.NewStore()
	s.Record(0, 1, v1)
	s.Record(0, 2, v2)
	first, next := s.Since(0, 0)
	again, _ := s.Since(0, 0)
	after, _ := s.Since(0, next)
	if len(first[v1]) != 1 || len(first[v2]) != 1 || len(again[v1]) != 1 || len(after) != 0 {
		t.Errorf("reports %v, %v, %v", first, again, after)
	}
}

// BenchmarkRecord measures the time and the memory of one origin.
func BenchmarkRecord(b *testing.B) {
	s := origins.NewStore()
	b.ReportAllocs()
	for i := range b.N {
		s.Record(time.Duration(i)*time.Millisecond/2, origins.Key(i), v1)
	}
}
