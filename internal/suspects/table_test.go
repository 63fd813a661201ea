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

// Guards the rules: suspect after one crash, cleared by a whole answer, refused
// after the second crash until the entry expires; equal requests in one crash
// count once.
func TestRules(t *testing.T) {
	table, now := newTestTable(), time.Unix(1000, 0)
	bad := table.Fingerprint("w", "/v1/completions", []byte("poison"))
	bystander := table.Fingerprint("w", "/v1/completions", []byte("hello"))
	if bad == bystander || table.IsSuspect(now, bad) {
		t.Fatal("fresh fingerprints")
	}
	table.RecordCrash(now, bad, "t1", 1)
	table.RecordCrash(now, bystander, "t1", 1)
	if table.RecordCrash(now, bad, "t1", 1) != nil || refused(table, now, bad) {
		t.Error("one crash was counted twice")
	}
	if !table.IsSuspect(now, bad) || !table.IsSuspect(now, bystander) {
		t.Error("both must be suspect")
	}
	table.RecordCompletion(now, bystander)
	if table.IsSuspect(now, bystander) {
		t.Error("the bystander was not cleared")
	}
	table.RecordCrash(now, bad, "t2", 5)
	if !refused(table, now, bad) {
		t.Error("not refused after the second crash")
	}
	if table.RecordCompletion(now, bad) != nil || !refused(table, now, bad) {
		t.Error("a late answer cleared a refused request")
	}
	if refused(table, now.Add(Retention), bad) {
		t.Error("refused after the entry expired")
	}
}

// Guards against a table that grows without bound under an attack.
func TestBounded(t *testing.T) {
	table, now := newTestTable(), time.Unix(1000, 0)
	for i := range MaxEntries + 100 {
		table.RecordCrash(now.Add(time.Duration(i)), table.Fingerprint("w", "/", fmt.Append(nil, i)), "t", uint64(i))
	}
	if n := len(table.Entries(now.Add(time.Second))); n != MaxEntries {
		t.Errorf("%d entries", n)
	}
}

// Guards the spread over hosts: whatever is lost, repeated or reordered, tables
// that exchange all entries agree, and a refusal is never lost.
func TestTablesConverge(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1000, 0)
		tables := []*Table{newTestTable(), newTestTable(), newTestTable()}
		var mail []*suspectspb.Entry
		blocked := map[string]bool{}
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
				if len(mail) > 0 {
					table.Merge(now, []*suspectspb.Entry{mail[random.IntN(len(mail))]})
				}
			}
			if e != nil {
				mail = append(mail, e)
				if e.Crashes >= refuseAfter {
					blocked[fingerprint] = true
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
			for fingerprint := range blocked {
				if !refused(table, now, fingerprint) {
					t.Fatalf("seed %d: table %d lost a refusal", seed, i)
				}
			}
		}
	}
}

// Entries come from other hosts; none may break the bound or the rules.
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
			t.Error("over the bound")
		}
	})
}
