package suspects

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/suspects/suspectspb"
)

func newTestTable() *Table { return NewTable([]byte("0123456789abcdef")) }

func refused(t *Table, now time.Time, fingerprint string) bool {
	e, ok := errors.AsType[*refusal.Error](t.Check(now, fingerprint))
	return ok && e.Code == refusal.CrashesTargets && e.Ran == refusal.NotRun
}

// Guards the counting of crashes: a request is suspect after one crash, cleared
// by a complete response, and refused after the second crash until the entry
// expires; equal requests in one crash count once.
func TestCrashCounting(t *testing.T) {
	table, now := newTestTable(), time.Unix(1000, 0)
	crashing := table.Fingerprint("w", "/v1/completions", []byte("poison"))
	bystander := table.Fingerprint("w", "/v1/completions", []byte("hello"))
	if crashing == bystander || table.IsSuspect(now, crashing) {
		t.Fatal("different requests share a fingerprint, or a new one is suspect")
	}
	table.RecordCrash(now, crashing, "t1", 1)
	table.RecordCrash(now, bystander, "t1", 1)
	if table.RecordCrash(now, crashing, "t1", 1) != nil || refused(table, now, crashing) {
		t.Error("one crash was counted twice")
	}
	if !table.IsSuspect(now, crashing) || !table.IsSuspect(now, bystander) {
		t.Error("a request that ran during the crash is not suspect")
	}
	table.RecordCompletion(now, bystander)
	if table.IsSuspect(now, bystander) {
		t.Error("the bystander was not cleared")
	}
	table.RecordCrash(now, crashing, "t2", 5)
	if !refused(table, now, crashing) {
		t.Error("not refused after the second crash")
	}
	if table.RecordCompletion(now, crashing) != nil || !refused(table, now, crashing) {
		t.Error("a late response cleared a refused request")
	}
	if refused(table, now.Add(Retention), crashing) {
		t.Error("refused after the entry expired")
	}
}

// Guards against a table that grows without bound when a caller sends ever new
// requests that crash targets.
func TestTableIsBounded(t *testing.T) {
	table, now := newTestTable(), time.Unix(1000, 0)
	for i := range MaxEntries + 100 {
		table.RecordCrash(now.Add(time.Duration(i)), table.Fingerprint("w", "/", fmt.Append(nil, i)), "t", uint64(i))
	}
	if n := len(table.Entries(now.Add(time.Second))); n != MaxEntries {
		t.Errorf("table has %d entries", n)
	}
}

// Guards the exchange of entries between hosts: after messages were lost,
// repeated or reordered, tables that exchange all entries keep every refusal.
func TestTablesConverge(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1000, 0)
		tables := []*Table{newTestTable(), newTestTable(), newTestTable()}
		var messages []*suspectspb.Entry
		refusedFingerprints := map[string]bool{}
		for range 60 {
			now = now.Add(time.Duration(1+random.IntN(50)) * time.Millisecond)
			table := tables[random.IntN(len(tables))]
			fingerprint := table.Fingerprint("w", "/", []byte{byte(random.IntN(4))})
			var e *suspectspb.Entry
			switch random.IntN(4) {
			case 0:
				e = table.RecordCrash(now, fingerprint, fmt.Sprint("t", random.IntN(3)), uint64(random.IntN(4)))
			case 1:
				e = table.RecordCompletion(now, fingerprint)
			default:
				if len(messages) > 0 {
					table.Merge(now, []*suspectspb.Entry{messages[random.IntN(len(messages))]})
				}
			}
			if e != nil {
				messages = append(messages, e)
				if e.Crashes >= maxCrashes {
					refusedFingerprints[fingerprint] = true
				}
			}
		}
		for range 2 {
			for i, to := range tables {
				to.Merge(now, tables[(i+1)%len(tables)].Entries(now))
				to.Merge(now, tables[(i+2)%len(tables)].Entries(now))
			}
		}
		for i, table := range tables {
			for fingerprint := range refusedFingerprints {
				if !refused(table, now, fingerprint) {
					t.Fatalf("seed %d: table %d lost a refusal", seed, i)
				}
			}
		}
	}
}

// FuzzMerge guards against entries of other hosts that make the table exceed its
// limit.
func FuzzMerge(f *testing.F) {
	good, _ := proto.Marshal(&suspectspb.Entries{Entries: []*suspectspb.Entry{{Fingerprint: "00112233445566778899aabbccddeeff", Crashes: 2, ChangedMs: 1, ExpiresMs: 2_000_000}}})
	f.Add(good)
	f.Fuzz(func(t *testing.T, data []byte) {
		var in suspectspb.Entries
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		table, now := newTestTable(), time.Unix(1000, 0)
		table.Merge(now, in.GetEntries())
		table.Merge(now, in.GetEntries())
		if len(table.Entries(now)) > MaxEntries {
			t.Error("table has more than MaxEntries entries")
		}
	})
}
