package fleetsync

import (
	"math/rand/v2"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/registry"
)

// Guards against a cold target that gets requests at full pace before its warm-up has ended, as
// each host that tells of it shortens it by a part of a millisecond. Requests that wait for the
// end are sent at that very moment.
func TestWarmupIsNotShortenedWhenTold(t *testing.T) {
	r := rand.New(rand.NewPCG(57, 1))
	for range 1000 {
		now := time.Duration(r.Int64N(int64(time.Hour)))
		told := registry.Record{ID: "t", Service: "s", Address: "10.0.0.1:80", DataCentre: "dc", State: registry.Ready, ColdUntil: now + 1 + time.Duration(r.Int64N(int64(10*time.Second)))}
		for range 2 { // to another control host, and to an entry host
			records, err := decodeRecords(now, encodeRecords(now, []registry.Record{told}))
			if err != nil || len(records) != 1 {
				t.Fatal(records, err)
			}
			if got := records[0].ColdUntil; got < told.ColdUntil || got > told.ColdUntil+time.Millisecond {
				t.Fatalf("cold until %v, told %v", got, told.ColdUntil)
			}
			now += time.Duration(r.Int64N(int64(time.Millisecond)))
			if told = records[0]; told.ColdUntil <= now {
				break
			}
		}
	}
}
