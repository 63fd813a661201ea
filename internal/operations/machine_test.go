package operations

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "geraniumturn.example/geraniumturn/internal/operations/operationspb"
)

func apply(t testing.TB, m *Machine, host string, now time.Duration, c *pb.Command) *pb.Result {
	t.Helper()
	c.Host, c.NowMs = host, now.Milliseconds()
	data, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var result pb.Result
	if err := proto.Unmarshal(m.Apply(1, data), &result); err != nil {
		t.Fatal(err)
	}
	return &result
}

func beginCommand(workspace, key, attempt string) *pb.Command {
	return &pb.Command{Kind: &pb.Command_Begin{Begin: &pb.Begin{Workspace: workspace, KeyDigest: []byte(key), BodyDigest: []byte("b"), Attempt: attempt}}}
}

func abandonCommand(attempt string) *pb.Command {
	return &pb.Command{Kind: &pb.Command_Abandon{Abandon: &pb.Abandon{Attempt: attempt}}}
}

func finishCommand(attempt string) *pb.Command {
	return &pb.Command{Kind: &pb.Command_Finish{Finish: &pb.Finish{Attempt: attempt, Status: 200, Holders: []string{"h1"}}}}
}

// Guards the life cycle of a record: a second attempt gets the record of the first,
// a delayed Begin after Abandon creates no record, and Finish is final.
func TestRecordLifecycle(t *testing.T) {
	steps := []struct {
		command *pb.Command
		want    pb.Result_Outcome
		attempt string
	}{
		{beginCommand("w", "k", "a1"), pb.Result_CREATED, "a1"},
		{beginCommand("w", "k", "a1"), pb.Result_CREATED, "a1"},
		{beginCommand("w", "k", "a2"), pb.Result_EXISTS, "a1"},
		{abandonCommand("a2"), pb.Result_DONE, ""},
		{abandonCommand("a1"), pb.Result_DONE, ""},
		{beginCommand("w", "k", "a1"), pb.Result_ABANDONED, ""},
		{beginCommand("w", "k", "a3"), pb.Result_CREATED, "a3"},
		{abandonCommand("a1"), pb.Result_DONE, ""},
		{beginCommand("w", "k", "a4"), pb.Result_EXISTS, "a3"},
		{abandonCommand("a3"), pb.Result_DONE, ""},
		{beginCommand("w", "k", "a4"), pb.Result_ABANDONED, ""},
		{beginCommand("w", "k", "a3"), pb.Result_ABANDONED, ""},
		{beginCommand("w", "k", "a6"), pb.Result_CREATED, "a6"},
		{finishCommand("a1"), pb.Result_ABSENT, ""},
		{finishCommand("a6"), pb.Result_DONE, "a6"},
		{abandonCommand("a6"), pb.Result_EXISTS, "a6"},
		{beginCommand("w", "k", "a6"), pb.Result_EXISTS, "a6"},
		{beginCommand("w", "k", "a7"), pb.Result_EXISTS, "a6"},
		{beginCommand("w", "", "a5"), pb.Result_INVALID, ""},
	}
	m := NewMachine()
	for i, s := range steps {
		got := apply(t, m, "h1", time.Hour, s.command)
		if got.GetOutcome() != s.want || got.GetRecord().GetAttempt() != s.attempt {
			t.Errorf("step %d: %v of %q, want %v of %q", i, got.GetOutcome(), got.GetRecord().GetAttempt(), s.want, s.attempt)
		}
	}
}

// Guards expiry against one host with a fast clock: records that expire early allow
// a second run.
func TestAgreedTime(t *testing.T) {
	m := NewMachine()
	apply(t, m, "h1", time.Hour, beginCommand("w", "k", "a1"))
	apply(t, m, "h2", time.Hour, beginCommand("w", "other", "a2"))
	if got := apply(t, m, "h2", 10_000*time.Hour, beginCommand("w", "k", "a3")); got.GetOutcome() != pb.Result_EXISTS {
		t.Errorf("a fast clock expired the record: %v", got.GetOutcome())
	}
	if got := apply(t, m, "h1", 24*time.Hour, beginCommand("w", "k", "a4")); got.GetOutcome() != pb.Result_EXISTS {
		t.Errorf("the record expired after 23 h: %v", got.GetOutcome())
	}
	apply(t, m, "h1", 24*time.Hour, finishCommand("a1"))
	if got := apply(t, m, "h1", 47*time.Hour, beginCommand("w", "k", "a5")); got.GetOutcome() != pb.Result_EXISTS {
		t.Errorf("the record expired 23 h after its finish: %v", got.GetOutcome())
	}
	if got := apply(t, m, "h1", 49*time.Hour, beginCommand("w", "k", "a6")); got.GetOutcome() != pb.Result_CREATED {
		t.Errorf("the record did not expire: %v", got.GetOutcome())
	}
}

// Guards the limits of the table, in total and per workspace.
func TestFullTable(t *testing.T) {
	m := newMachine(8)
	for i := range 8 {
		workspace := fmt.Sprintf("w%d", i/2)
		if got := apply(t, m, "h1", time.Hour, beginCommand(workspace, fmt.Sprint("k", i), fmt.Sprint("a", i))); got.GetOutcome() != pb.Result_CREATED {
			t.Fatalf("record %d: %v", i, got.GetOutcome())
		}
		if i == 1 {
			if got := apply(t, m, "h1", time.Hour, beginCommand(workspace, "more", "more")); got.GetOutcome() != pb.Result_FULL {
				t.Errorf("a workspace got more than a quarter of the table: %v", got.GetOutcome())
			}
		}
	}
	if got := apply(t, m, "h1", time.Hour, beginCommand("w9", "k9", "a9")); got.GetOutcome() != pb.Result_FULL {
		t.Errorf("full table: %v", got.GetOutcome())
	}
	apply(t, m, "h1", time.Hour, abandonCommand("a0"))
	if got := apply(t, m, "h1", time.Hour, beginCommand("w9", "k9", "a10")); got.GetOutcome() != pb.Result_CREATED {
		t.Errorf("after a record was abandoned: %v", got.GetOutcome())
	}
}

// Guards replicas against divergence: a machine that is restored from its own snapshot
// after each command returns the same results and snapshots as one that is not.
func TestSnapshotIsComplete(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		plain, restored := newMachine(6), newMachine(6)
		now := time.Hour
		for i := range rapid.IntRange(1, 40).Draw(r, "commands") {
			now += time.Duration(rapid.IntRange(0, 9).Draw(r, "hours")) * time.Hour
			attempt := fmt.Sprint("a", rapid.IntRange(0, 9).Draw(r, "attempt"))
			c := []*pb.Command{
				beginCommand(fmt.Sprint("w", i%2), fmt.Sprint("k", rapid.IntRange(0, 3).Draw(r, "key")), attempt),
				finishCommand(attempt), abandonCommand(attempt),
			}[rapid.IntRange(0, 2).Draw(r, "kind")]
			host := fmt.Sprint("h", rapid.IntRange(0, 2).Draw(r, "host"))
			a, b := apply(t, plain, host, now, c), apply(t, restored, host, now, c)
			if !proto.Equal(a, b) {
				r.Fatalf("command %d: %v and %v", i, a, b)
			}
			snapshot, err := restored.Snapshot()
			if err != nil {
				r.Fatal(err)
			}
			restored = newMachine(6)
			if err := restored.Restore(snapshot); err != nil {
				r.Fatal(err)
			}
			plainSnapshot, err := plain.Snapshot()
			if err != nil || !bytes.Equal(snapshot, plainSnapshot) {
				r.Fatalf("snapshots differ after command %d: %v", i, err)
			}
		}
	})
}

// BenchmarkFullTable reports the heap bytes per record of a full table.
func BenchmarkFullTable(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		m := NewMachine()
		for i := range MaxRecords {
			key := fmt.Sprintf("%032d", i)
			apply(b, m, "gijon-1", time.Hour, beginCommand(fmt.Sprint("workspace-", i%2400), key, key))
			apply(b, m, "gijon-1", time.Hour, finishCommand(key))
		}
		b.ReportMetric(float64(heapBytes()-before)/MaxRecords, "heap-B/record")
		runtime.KeepAlive(m)
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
