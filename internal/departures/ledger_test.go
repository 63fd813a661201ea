package departures

import (
	"errors"
	"os"
	"reflect"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/registry"
)

// Guards against a departure that counts as held by too few hosts: of one region, by as many
// as may lose their disks, or by a host that takes itself for the only one.
func TestHeld(t *testing.T) {
	inRegions := func(regions ...string) (out []Control) {
		for i, r := range regions {
			out = append(out, Control{Address: string(rune('a' + i)), Region: r})
		}
		return out
	}
	for _, c := range []struct {
		name      string
		lostDisks int
		members   []Control
		holders   int // the first members; a is this host
		want      bool
	}{
		{"alone of three", 1, inRegions("r", "s", "t"), 1, false},
		{"two of three", 1, inRegions("r", "s", "t"), 2, true},
		{"two of one region", 1, inRegions("r", "r", "s"), 2, false},
		{"three of two regions", 1, inRegions("r", "r", "s"), 3, true},
		{"two of six, two disks may be lost", 2, inRegions("r", "s", "t", "r", "s", "t"), 2, false},
		{"three of six", 2, inRegions("r", "s", "t", "r", "s", "t"), 3, true},
		{"all in one region", 1, inRegions("r", "r", "r"), 2, true},
		{"one host in all", 1, inRegions("r"), 1, true},
		{"no disk may be lost", 0, inRegions("r", "r", "r"), 1, true},
		{"regions not known", 1, inRegions("r", "", ""), 2, true},
		{"before the first member is known", 1, nil, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := registry.NewTable()
			table.Deregister(0, "t", 1)
			self := Control{Address: "a", Region: "r"}
			l := NewLedger(table, self, c.lostDisks)
			revision := table.DepartureRevision("t")
			if l.Held(revision, c.members) {
				t.Error("held before it is stored anywhere")
			}
			w, due := l.NextWrite(0)
			if !due {
				t.Fatal("no write is due")
			}
			l.Written(0, w, nil)
			for _, call := range l.NextCalls(0, c.members) {
				if int(call.Address[0]-'a') < c.holders {
					l.Called(0, call, 1, nil)
				}
			}
			if got := l.Held(revision, c.members); got != c.want {
				t.Errorf("held: %v", got)
			}
		})
	}
}

// Guards against a host that is not told what its lost disk had, against two calls or writes
// at a time, and against a failed one that is repeated without a pause or never.
func TestCallsAndWrites(t *testing.T) {
	table := registry.NewTable()
	table.Deregister(0, "t", 1)
	controls := []Control{{"a", "r"}, {"b", "s"}}
	l := NewLedger(table, controls[0], 1)
	now := time.Second
	call := func() Call {
		t.Helper()
		calls := l.NextCalls(now, controls)
		if len(calls) != 1 || calls[0].Address != "b" {
			t.Fatalf("calls %v", calls)
		}
		if again := l.NextCalls(now, controls); len(again) > 0 {
			t.Fatalf("calls %v while one is in progress", again)
		}
		return calls[0]
	}
	l.Called(now, call(), 0, errors.New("no response"))
	if calls := l.NextCalls(now, controls); len(calls) > 0 {
		t.Errorf("calls %v right after a failure", calls)
	}
	now += retryDelay
	l.Called(now, call(), 7, nil) // the first response tells the process
	if calls := l.NextCalls(now, controls); len(calls) > 0 {
		t.Errorf("the host is told again: %v", calls)
	}
	table.Deregister(now, "u", 1)
	c := call()
	if len(c.Records) != 1 || c.Records[0].ID != "u" {
		t.Errorf("records %v", c.Records)
	}
	l.Called(now, c, 8, nil) // a new process: it was told of u only
	if c = call(); len(c.Records) != 2 {
		t.Errorf("a new process is told %v", c.Records)
	}
	l.Called(now, c, 8, nil)
	l.Observe("b", 9)
	l.Called(now, call(), 9, nil)
	if calls := l.NextCalls(now, controls[:1]); len(calls) > 0 || len(l.peers) > 0 {
		t.Errorf("a host that is gone: calls %v, %v", calls, l.peers)
	}

	w, due := l.NextWrite(now)
	if _, again := l.NextWrite(now); !due || again || len(w.Records) != 2 {
		t.Errorf("write %v, due %v, another one %v", w.Records, due, again)
	}
	l.Written(now, w, errors.New("disk full"))
	if _, due := l.NextWrite(now); due || l.Stored(1) {
		t.Error("a failed write counts, or is repeated at once")
	}
	now += retryDelay
	w, due = l.NextWrite(now)
	if !due {
		t.Fatal("a failed write is not repeated")
	}
	changed := l.Changed()
	l.Written(now, w, nil)
	select {
	case <-changed:
	default:
		t.Error("nobody is told of the write")
	}
	table.Heartbeat(now, registry.Record{ID: "v", StartMillis: 1, Sequence: 1, State: registry.Ready})
	if _, due := l.NextWrite(now); due || !l.Stored(table.Revision()) {
		t.Error("a target that is ready is stored")
	}
}

// Guards against a departure that changes in the file, and against a damaged file that is
// taken for an empty one.
func TestStore(t *testing.T) {
	s, err := OpenStore(t.TempDir() + "/data")
	if err != nil {
		t.Fatal(err)
	}
	if records, err := s.Load(); err != nil || len(records) > 0 {
		t.Fatalf("records %v, %v", records, err)
	}
	want := []registry.Record{
		{ID: "left", StartMillis: 5, State: registry.Left},
		{ID: "draining", StartMillis: 6, Sequence: 7, Service: "s", Address: "10.0.0.1:80", DataCentre: "dc", Software: "v1", Slots: 8, State: registry.Draining},
	}
	if err := s.Save(want); err != nil {
		t.Fatal(err)
	}
	if records, err := s.Load(); err != nil || !reflect.DeepEqual(records, want) {
		t.Errorf("records %v, %v", records, err)
	}
	for name, content := range map[string]string{"cut": `[{"id":"left"`, "ready target": `[{"id":"a","state":1,"service":"s","data_centre":"d","address":"10.0.0.1:80"}]`, "unknown state": `[{"id":"a","state":9}]`} {
		if err := os.WriteFile(s.path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Load(); !errors.Is(err, ErrDamaged) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := s.Save(want); err != nil {
		t.Errorf("a damaged file is not replaced: %v", err)
	}
}
