package room

import (
	"testing"
	"time"
)

// Pattern: a peak that lasts; many callers are refused at once and come back.
func TestNamedTimesFitTheRoom(t *testing.T) {
	t.Parallel()
	s := NewSchedule()
	now := 20 * time.Second
	if s.Arrived(now, "s", boundUrgent) || s.Arrived(now, "other", freeLate) || !s.Arrived(now, "s", freeLate) {
		t.Error("requests compete with those of other levels of their service only")
	}
	if s.Arrived(now+competingTime, "s", boundUrgent) {
		t.Error("a request competes with others that came long ago")
	}
	for at := time.Duration(0); at < now; at += 50 * time.Millisecond { // 20 per second
		s.Accepted(at, "s", boundUrgent)
	}
	perSecond, none := map[time.Duration]int{}, 0
	for range 200 {
		wait, fits := s.Name(now, "s", boundUrgent, Return{Soonest: 250 * time.Millisecond, Needs: 100 * time.Millisecond, Left: 5 * time.Second, Honoured: 5 * time.Second})
		if !fits {
			if none++; wait != 2500*time.Millisecond { // with a draw of 0
				t.Fatalf("a request without room was told to come back after %s", wait)
			}
			continue
		}
		if wait < 250*time.Millisecond || wait > 4900*time.Millisecond {
			t.Fatalf("a request with 5 s left was told to come back after %s", wait)
		}
		perSecond[wait.Truncate(time.Second)]++
	}
	for second, n := range perSecond {
		if n > 13 {
			t.Errorf("%d requests come back in the second from %s, where 10 find room", n, second)
		}
	}
	if none < 145 || none > 160 {
		t.Errorf("%d of 200 requests were told that there is no room, want about 150", none)
	}
	// Those without room have left the positions to callers with more time.
	if wait, fits := s.Name(now, "s", boundUrgent, Return{Soonest: 0, Needs: 0, Left: 15 * time.Second, Honoured: 15 * time.Second}); !fits || wait > 6*time.Second {
		t.Errorf("a request with 15 s left: %s, %v", wait, fits)
	}
	for i := 1; i < 2*minDecisions; i++ {
		if _, fits := s.Name(now, "s", freeLate, Return{Soonest: 0, Needs: 0, Left: 15 * time.Second, Honoured: 15 * time.Second}); fits != (i < minDecisions) {
			t.Errorf("a level of which %d requests are refused and none is accepted: room %v", i, fits)
		}
	}
	// The shortage ends: the old positions delay nobody.
	later := now + 20*time.Second
	for range 60 {
		s.Accepted(later, "s", boundUrgent)
	}
	if wait, fits := s.Name(later, "s", boundUrgent, Return{Soonest: 250 * time.Millisecond, Needs: 0, Left: 5 * time.Second, Honoured: 5 * time.Second}); !fits || wait != 250*time.Millisecond {
		t.Errorf("after the shortage: %s, %v", wait, fits)
	}
}

// Pattern: a quiet level, one of whose few requests is refused beside a busy one.
func TestFewDecisionsAreNoLackOfRoom(t *testing.T) {
	t.Parallel()
	s := NewSchedule()
	for i := range 20 {
		s.Accepted(time.Duration(i)*5*time.Second, "s", freeLate)
	}
	for _, now := range []time.Duration{100 * time.Second, 105 * time.Second} {
		if wait, fits := s.Name(now, "s", freeLate, Return{Soonest: 250 * time.Millisecond, Needs: 100 * time.Millisecond, Left: 12 * time.Second, Honoured: 12 * time.Second}); !fits || wait != 250*time.Millisecond {
			t.Errorf("told %s, room %v", wait, fits)
		}
	}
}

// Pattern: a peak that lasts; callers with 12 s left come back after at most 4 s, whatever they are told.
func TestNamedTimesAreHonoured(t *testing.T) {
	t.Parallel()
	s := NewSchedule()
	now := 20 * time.Second
	for range 60 {
		s.Accepted(now, "s", boundUrgent) // 10 of those who return in a second
	}
	r := Return{Soonest: 250 * time.Millisecond, Needs: 100 * time.Millisecond, Left: 12 * time.Second, Honoured: 4 * time.Second}
	inTenth := [41]int{}
	for i := range 400 {
		r.Draw = float64(i) / 400
		wait, fits := s.Name(now, "s", boundUrgent, r)
		if !fits || wait < r.Soonest || wait > r.Honoured {
			t.Fatalf("request %d was told %s, room %v", i, wait, fits)
		}
		inTenth[wait/(100*time.Millisecond)]++
	}
	for tenth, n := range inTenth {
		if n > 22 {
			t.Errorf("%d of 400 requests come back in the tenth of a second from %d", n, tenth)
		}
	}
	for range 20 {
		s.Name(now, "s", freeLate, r)
	}
	for r.Draw = 0; r.Draw < 1; r.Draw += 0.5 {
		if wait, fits := s.Name(now, "s", freeLate, r); fits || wait != 2*time.Second+time.Duration(r.Draw*float64(2*time.Second)) {
			t.Errorf("without any room: told %s, room %v", wait, fits)
		}
	}
}
