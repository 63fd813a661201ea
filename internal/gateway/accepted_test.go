package gateway

import (
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/room"
)

// Pattern: targets under load reject requests, which are then sent elsewhere. Guards against one
// request that counts as several that found room.
func TestRequestIsAcceptedOnceInTime(t *testing.T) {
	g := &Gateway{schedule: room.NewSchedule()}
	for range 3 {
		x := &requestState{service: "s"}
		for range 2 { // the first choice is rejected
			g.recordDecision(x, &places{}, room.Decision{Action: room.Serve, Reason: room.ReasonFits})
		}
		g.recordAccepted(x)
		g.recordAccepted(x)
	}
	now := sinceBoot()
	r := room.Return{Left: time.Minute, Honoured: time.Minute}
	g.schedule.Name(now, "s", 0, r)
	g.schedule.Name(now, "s", 0, r)
	// 3 requests in 3 s, and half of the room for those who return.
	if wait, fits := g.schedule.Name(now, "s", 0, r); !fits || wait < 1900*time.Millisecond || wait > 2100*time.Millisecond {
		t.Errorf("told %s, room %v; want 2 s after the first position", wait, fits)
	}
}
