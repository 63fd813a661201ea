package targets

import (
	"encoding/json"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/targets/targetspb"
)

// Guards against announcements that pass validation but corrupt the table.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"name":"t1","incarnation":1,"sequence":1,"address":"127.0.0.1:9","pool":"p","data_centre":"here","slots":4}`))
	f.Add([]byte(`{"name":"","slots":-1,"lag_ms":9e18}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := DecodeAnnouncement(data)
		if err != nil {
			return
		}
		table, now := NewTable("host", "here"), time.Unix(1000, 0)
		for range 2 {
			if _, err := table.Announce(now, a); err != nil {
				t.Fatal(err)
			}
		}
		for _, c := range table.Candidates(nil, now, &Query{Pool: a.Pool}) {
			if c.Load < 0 || c.Limit < 1 || c.Room() < 0 {
				t.Fatalf("%+v", c)
			}
		}
		encoded, err := json.Marshal(a)
		if err != nil {
			t.Fatal(err)
		}
		if b, err := DecodeAnnouncement(encoded); err != nil || b.stateDigest() != a.stateDigest() {
			t.Fatalf("changed by encoding and decoding: %v", err)
		}
	})
}

// Guards against cache events that grow the prefix index beyond its limit.
func FuzzCacheEvent(f *testing.F) {
	f.Add([]byte(`{"target":"t1","incarnation":1,"sequence":1,"stored":["00000000000000aa"],"removed":["00000000000000aa"]}`))
	f.Add([]byte(`{"target":"t1","incarnation":1,"sequence":18446744073709551615,"cleared":true}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := DecodeCacheEvent(data)
		if err != nil {
			return
		}
		const limit = 4
		var c cacheIndex
		for range 3 {
			c.apply(&e, limit)
			e.Sequence++
			e.Removed, e.Stored = e.Stored, e.Removed
			if len(c.ring) > limit || len(c.positions) > limit {
				t.Fatalf("%d prefixes in a ring of %d", len(c.positions), len(c.ring))
			}
		}
	})
}

// Guards against relay messages that crash the receiver or corrupt its counts.
func FuzzRelay(f *testing.F) {
	seed, err := proto.Marshal(&targetspb.RelayRequest{Digest: 7, WholeInFlight: true,
		Reports:  []*targetspb.Report{{Announcement: []byte(`{"name":"t2","incarnation":1,"sequence":1,"address":"127.0.0.1:9","pool":"p","data_centre":"here","slots":4}`), AgeMs: 5}},
		Loads:    []*targetspb.Load{{Id: nameID("t1"), Sequence: 9, Running: 2}},
		InFlight: []*targetspb.InFlight{{Id: nameID("t1"), Count: 3}}, Leases: []*targetspb.Lease{{Id: nameID("t1"), RemainingMs: 100}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &targetspb.RelayRequest{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		table, now := NewTable("host", "here"), time.Unix(1000, 0)
		if _, err := table.Announce(now, announcement("t1", fields{})); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			_, _ = table.Receive(now, "other", m)
		}
		for _, known := range table.All() {
			if known.LastHeard.After(now) {
				t.Fatalf("%s has a last announcement in the future", known.Name)
			}
		}
		for _, c := range table.Candidates(nil, now, &Query{Pool: "pool"}) {
			if c.Load < 0 || c.Room() < 0 {
				t.Fatalf("%+v", c)
			}
		}
		table.Tick(now.Add(time.Hour))
	})
}
