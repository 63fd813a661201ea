package registry_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumturn.example/geraniumturn/internal/registry"
)

const second = time.Second

func record(id string, startMillis int64, sequence uint64, state registry.State) registry.Record {
	return registry.Record{ID: id, StartMillis: startMillis, Sequence: sequence, Service: "s", Address: "10.0.0.1:80", DataCentre: "dc", State: state}
}

func stateOf(table *registry.Table, id string) registry.State {
	for _, r := range table.Registered() {
		if r.ID == id {
			return r.State
		}
	}
	return registry.Left
}

// Guards against a delayed heartbeat that reverts a later heartbeat or a
// deregistration.
func TestDelayedHeartbeat(t *testing.T) {
	table := registry.NewTable()
	table.Heartbeat(second, record("a", 100, 5, registry.Draining))
	if table.Heartbeat(2*second, record("a", 100, 4, registry.Ready)) || stateOf(table, "a") != registry.Draining {
		t.Error("an earlier heartbeat made a draining target ready")
	}
	table.Deregister(3*second, "a", 0)
	if table.Heartbeat(4*second, record("a", 100, 6, registry.Ready)) || stateOf(table, "a") != registry.Left {
		t.Error("a heartbeat after the deregistration registered the target again")
	}
	if !table.Heartbeat(5*second, record("a", 200, 1, registry.Ready)) || stateOf(table, "a") != registry.Ready {
		t.Error("a restarted target with the same ID was not registered")
	}
	if table.Deregister(6*second, "a", 100) || stateOf(table, "a") != registry.Ready {
		t.Error("the deregistration of an earlier process removed a later one")
	}
}

// Guards against a departure that is ignored where the last heartbeat of the target arrived
// first: the heartbeat has a higher sequence number than the host knew at which the target
// deregistered, but no heartbeat follows a departure.
func TestDepartureOutranksHeartbeats(t *testing.T) {
	left, ready := record("a", 100, 8, registry.Left), record("a", 100, 9, registry.Ready)
	silent := record("a", 100, 8, registry.Ready)
	silent.Silent = true
	for name, order := range map[string][]registry.Record{"heartbeat first": {ready, left}, "departure first": {left, ready}, "silent": {left, silent}} {
		table := registry.NewTable()
		for _, r := range order {
			table.Merge(second, r)
		}
		if stateOf(table, "a") != registry.Left {
			t.Errorf("%s: the target is registered", name)
		}
	}
}

// Guards against a late heartbeat that undoes the departure of a process of which this host
// knew only an earlier process under the same ID, or nothing.
func TestDepartureOfUnknownProcess(t *testing.T) {
	table := registry.NewTable()
	table.Heartbeat(second, record("a", 100, 5, registry.Ready))
	table.Deregister(2*second, "a", 200)
	table.Deregister(2*second, "b", 200)
	for _, id := range []string{"a", "b"} {
		if table.Heartbeat(3*second, record(id, 200, 3, registry.Ready)) || stateOf(table, id) != registry.Left {
			t.Errorf("a heartbeat registered target %s again", id)
		}
	}
	restarted := record("a", 300, 1, registry.Ready)
	if !table.Heartbeat(4*second, restarted) || stateOf(table, "a") != registry.Ready {
		t.Error("a restarted target was not registered")
	}
}

// Guards against two registered targets at one address, of which the older has crashed.
func TestReusedAddress(t *testing.T) {
	table := registry.NewTable()
	table.Heartbeat(second, record("old", 100, 9, registry.Ready))
	table.Heartbeat(2*second, record("new", 200, 1, registry.Ready))
	if stateOf(table, "old") != registry.Left || stateOf(table, "new") != registry.Ready {
		t.Error("the older target at a reused address stays in use")
	}
	if table.Heartbeat(3*second, record("old", 100, 10, registry.Ready)) {
		t.Error("a heartbeat from before the reuse registered the old target again")
	}
}

// Guards against a target without heartbeats that is not marked as silent, and against
// one that sends heartbeats again and stays silent.
func TestSilence(t *testing.T) {
	table := registry.NewTable()
	table.Heartbeat(second, record("a", 1, 1, registry.Ready))
	table.Expire(3 * second)
	if table.Registered()[0].Silent {
		t.Error("silent after one lost heartbeat")
	}
	table.Expire(5 * second)
	if !table.Registered()[0].Silent {
		t.Error("not silent after 4 s")
	}
	if !table.Heartbeat(6*second, record("a", 1, 2, registry.Ready)) || table.Registered()[0].Silent {
		t.Error("still silent after a heartbeat")
	}
}

// Guards against tables that differ after merging the same records in another order or
// repeatedly: hosts would disagree on the state of targets.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []registry.Record
		for range rapid.IntRange(1, 12).Draw(t, "records") {
			r := record(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), rapid.Int64Range(1, 3).Draw(t, "born"),
				rapid.Uint64Range(1, 4).Draw(t, "sequence"), registry.Ready)
			r.Address = r.ID // distinct addresses, so that no target replaces another
			if r.Sequence > 2 {
				r.State = registry.Draining
			}
			if rapid.IntRange(0, 5).Draw(t, "left") == 0 {
				r.State = registry.Left
			}
			records = append(records, r)
		}
		one, two := registry.NewTable(), registry.NewTable()
		for _, r := range records {
			one.Merge(second, r)
		}
		for _, r := range rapid.Permutation(records).Draw(t, "order") {
			two.Merge(second, r)
			two.Merge(second, r)
		}
		a, b := one.Registered(), two.Registered()
		if len(a) != len(b) {
			t.Fatalf("%d and %d targets", len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("%+v and %+v", a[i], b[i])
			}
		}
	})
}

// Guards against a copy of the table that misses a change, and against sending unchanged
// heartbeats to every host.
func TestChangedSince(t *testing.T) {
	table := registry.NewTable()
	table.Heartbeat(second, record("a", 1, 1, registry.Ready))
	_, cursor := table.ChangedSince(0)
	table.Heartbeat(2*second, record("a", 1, 2, registry.Ready))
	if got, _ := table.ChangedSince(cursor); len(got) != 0 {
		t.Errorf("an unchanged heartbeat was passed on: %v", got)
	}
	if got := table.TakeHeartbeats(); len(got) != 1 || got[0].Sequence != 2 {
		t.Errorf("the heartbeat is not relayed to the control hosts: %v", got)
	}
	cold := record("a", 1, 3, registry.Ready)
	cold.ColdUntil = 9 * second
	table.Heartbeat(3*second, cold)
	table.Deregister(4*second, "b", 0)
	got, next := table.ChangedSince(cursor)
	if len(got) != 2 || next <= cursor {
		t.Errorf("got %v, cursor %d after %d", got, next, cursor)
	}
}

// Guards against a version of the software that is forgotten while streams that it began
// may still be resumed: of targets that left, were replaced at their address, or started
// again under their id with other software.
func TestSoftwareVersions(t *testing.T) {
	record := func(id, address, software string, start int64) registry.Record {
		return registry.Record{ID: id, StartMillis: start, Sequence: 1, Service: "s", Address: address, Software: software, State: registry.Ready}
	}
	table := registry.NewTable()
	table.Heartbeat(0, record("left", "a", "v1", 1))
	table.Heartbeat(0, record("replaced", "b", "v2", 1))
	table.Heartbeat(0, record("restarted", "c", "v3", 1))
	table.Heartbeat(0, record("stays", "d", "v4", 1))
	now := 10 * time.Second
	table.Deregister(now, "left", 1)
	table.Heartbeat(now, record("new", "b", "v4", 2))
	table.Heartbeat(now, record("restarted", "c", "v4", 2))
	table.Expire(now + 20*time.Second)
	if got := table.SoftwareVersions(now+20*time.Second, "s", time.Minute); fmt.Sprint(got) != "[v1 v2 v3 v4]" {
		t.Errorf("within the window: %v", got)
	}
	if got := table.SoftwareVersions(now+70*time.Second, "s", time.Minute); fmt.Sprint(got) != "[v4]" {
		t.Errorf("after the window: %v", got)
	}
	if got := table.SoftwareVersions(now, "other", time.Minute); len(got) != 0 {
		t.Errorf("another service: %v", got)
	}
}

// Guards against a target that starts again under its id with other software, without the
// time of its start, and that other hosts take for one with the old software.
func TestChangedSoftwareIsAChange(t *testing.T) {
	table := registry.NewTable()
	record := registry.Record{ID: "t", Sequence: 1, Service: "s", Address: "a", Software: "v1", State: registry.Ready}
	table.Heartbeat(0, record)
	_, cursor := table.ChangedSince(0)
	record.Sequence, record.Software = 2, "v2"
	if !table.Heartbeat(time.Second, record) {
		t.Error("not reported as a change")
	}
	if records, _ := table.ChangedSince(cursor); len(records) != 1 || records[0].Software != "v2" {
		t.Errorf("records %v", records)
	}
}

// Guards against a warm-up that is extended by a little with each heartbeat and whose end
// the other hosts are never told.
func TestSmallExtensionsOfWarmupAddUp(t *testing.T) {
	table, other := registry.NewTable(), registry.NewTable()
	cursor := uint64(0)
	for i := range uint64(40) {
		now := time.Duration(i) * second
		r := record("a", 1, i+1, registry.Ready)
		r.ColdUntil = 30*second + time.Duration(i)*250*time.Millisecond
		table.Heartbeat(now, r)
		var records []registry.Record
		records, cursor = table.ChangedSince(cursor)
		for _, told := range records {
			other.Merge(now, told)
		}
		if told, _ := other.Get("a"); r.ColdUntil > now && r.ColdUntil-told.ColdUntil > 300*time.Millisecond {
			t.Fatalf("heartbeat %d: cold until %v, others are told %v", i, r.ColdUntil, told.ColdUntil)
		}
	}
}

// Guards against departures that are kept for ever, or beyond a bounded number, and against a
// target that drains and is forgotten while it still sends heartbeats.
func TestDeparturesAreForgotten(t *testing.T) {
	const kept, retention = 1 << 14, 5 * time.Minute
	table := registry.NewTable()
	for i := range kept + 2 {
		table.Deregister(time.Duration(i), fmt.Sprint(i), 1)
	}
	table.Heartbeat(second, record("draining", 1, 1, registry.Draining))
	table.Heartbeat(second, record("ready", 1, 1, registry.Ready))
	table.Expire(second)
	if records, _ := table.Departures(0); len(records) != kept+1 {
		t.Errorf("%d departures are kept", len(records))
	}
	if _, known := table.Get("1"); known {
		t.Error("the oldest departure is kept")
	}
	table.Heartbeat(retention, record("draining", 1, 2, registry.Draining))
	table.Expire(retention + 2*second)
	if records, _ := table.Departures(0); len(records) != 1 || records[0].ID != "draining" {
		t.Errorf("%d departures are kept after their retention", len(records))
	}
	if _, known := table.Get("ready"); !known || table.DepartureRevision("ready") != 0 || table.DepartureRevision("draining") == 0 {
		t.Error("a target that is registered is forgotten, or counts as departed")
	}
}
