package registry

import (
	"fmt"
	"testing"
	"time"
)

func filledTable(now time.Duration, n int) *Table {
	t := NewTable()
	for i := range n {
		t.Heartbeat(now, Record{ID: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), State: Ready, Sequence: uint64(i)})
	}
	return t
}

// fetch asks a table for changes until all are told, and returns the number of records and of
// answers.
func fetch(t *testing.T, from, to *Table, now time.Duration, q Query) (records, answers int, cursor uint64) {
	t.Helper()
	for answers < 100 {
		c := from.Changes(now, q)
		for _, r := range c.Records {
			to.Merge(now, r)
		}
		records, answers = records+len(c.Records), answers+1
		if q.Cursor = c.Cursor; !c.Incomplete {
			return records, answers, c.Cursor
		}
		q.Digests, q.Pass.Done, q.Pass.Revision = to.Digests(), c.Pass.Done, c.Pass.Revision
	}
	t.Fatal("the changes do not end")
	return 0, 0, 0
}

// Answers the return of a control host to hundreds of hosts that have the 3,000 targets: what
// they have is not told again. Hosts that lack everything are told it in parts.
func TestTableIsToldByWhatDiffers(t *testing.T) {
	from, to := filledTable(time.Second, 3000), NewTable()
	const limit = 500
	records, answers, cursor := fetch(t, from, to, 2*time.Second, Query{Limit: limit})
	if records != 3000 || answers < 3000/(limit+200) || cursor != from.Revision() {
		t.Errorf("%d records in %d answers, cursor %d", records, answers, cursor)
	}
	if records, _, cursor = fetch(t, from, to, 2*time.Second, Query{Limit: limit}); records != 0 || cursor != from.Revision() {
		t.Errorf("%d records are told again, cursor %d", records, cursor)
	}
	from.Deregister(2*time.Second, "i-7", 0)
	if records, _, _ = fetch(t, from, to, 2*time.Second, Query{Limit: limit, Cursor: cursor}); records != 1 {
		t.Errorf("%d records for one departure", records)
	}
}

// Guards against a comparison that never ends: tables that a cut has separated go on to
// differ, as each host rejects what is older than what it has.
func TestComparisonEndsWhileTablesDiffer(t *testing.T) {
	from, to := filledTable(time.Second, 3000), filledTable(time.Second, 3000)
	from.Expire(10 * time.Second)
	for i := range 3000 {
		to.Heartbeat(10*time.Second, Record{ID: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), State: Ready, Sequence: 5000})
	}
	if records, _, cursor := fetch(t, from, to, 10*time.Second, Query{Limit: 500}); records != 3000 || cursor != from.Revision() {
		t.Errorf("%d records, cursor %d", records, cursor)
	}
}

// Guards against a second table that repeats what the first one tells, and against one that
// holds back a departure, a warm-up, what the first one does not know, or the silence of a
// target that reported there.
func TestSecondTableTellsWhatIsUrgentOrLacking(t *testing.T) {
	now := time.Minute
	first, second, to := filledTable(now, 100), NewTable(), filledTable(now, 100)
	for _, r := range first.Registered() {
		second.Merge(now, r)
	}
	_, _, cursor := fetch(t, second, to, 2*now, Query{Limit: 500, Secondary: true})
	now = 2 * now
	for _, table := range []*Table{first, second, to} {
		table.Heartbeat(now, Record{ID: "known", Service: "s", Address: "10.1.0.1:80", State: Ready})
	}
	second.Heartbeat(now, Record{ID: "cold", Service: "s", Address: "10.1.0.2:80", State: Ready, ColdUntil: now + time.Second})
	second.Heartbeat(now, Record{ID: "lacking", Service: "s", Address: "10.1.0.3:80", State: Ready})
	second.Deregister(now, "i-1", 0)
	told := func() (ids string) {
		c := second.Changes(now, Query{Cursor: cursor, Limit: 500, Secondary: true})
		if c.Incomplete {
			c = second.Changes(now, Query{Cursor: c.Cursor, Limit: 500, Secondary: true, Digests: to.Digests()})
		}
		cursor = c.Cursor
		count := map[string]int{}
		for _, r := range c.Records {
			count[r.ID]++
			to.Merge(now, r)
		}
		return fmt.Sprint(count)
	}
	if got := told(); got != "map[cold:1 i-1:1]" {
		t.Errorf("told at once: %s", got)
	}
	now += secondaryDelay + time.Millisecond
	if got := told(); got != "map[i-1:1 lacking:1]" {
		t.Errorf("told after the delay: %s", got)
	}
	second.Expire(now + silenceTimeout)
	now += 2 * silenceTimeout
	if got := told(); got != "map[cold:1 known:1 lacking:1]" {
		t.Errorf("told of silent targets, of which these reported here: %s", got)
	}
	if got := told(); got != "map[]" {
		t.Errorf("told again: %s", got)
	}
}

// Guards against a host that takes a target for cold after its warm-up has ended early, if the
// end is told by a comparison of digests, which leave warm-ups out.
func TestEarlyEndOfWarmupIsTold(t *testing.T) {
	for _, cursor := range []uint64{0, 1} {
		from, to := NewTable(), NewTable()
		r := Record{ID: "i", Service: "s", Address: "10.0.0.1:80", State: Ready, Sequence: 1, ColdUntil: time.Minute}
		from.Heartbeat(time.Second, r)
		to.Merge(time.Second, r)
		r.Sequence, r.ColdUntil = 2, 0
		from.Heartbeat(2*time.Second, r)
		fetch(t, from, to, 5*time.Second, Query{Cursor: cursor, Digests: to.Digests(), Secondary: true, Limit: 512})
		if got, _ := to.Get("i"); got.ColdUntil > 5*time.Second {
			t.Errorf("from position %d: cold until %v", cursor, got.ColdUntil)
		}
	}
}

// Guards against a target that stays ready for good at hosts whose first table lacks it: the
// table that had its last heartbeat tells them that it fell silent, and the others too.
func TestSilenceIsToldByTheTableOfTheLastHeartbeat(t *testing.T) {
	second, to := NewTable(), NewTable()
	r := Record{ID: "i", Service: "s", Address: "10.0.0.1:80", State: Ready, Sequence: 1}
	second.Heartbeat(time.Second, r)
	fetch(t, second, to, 3*time.Second, Query{Limit: 512, Secondary: true})
	cursor := second.Revision()
	second.TakeHeartbeats()
	second.Expire(10 * time.Second)
	fetch(t, second, to, 12*time.Second, Query{Cursor: cursor, Limit: 512, Secondary: true})
	if got, _ := to.Get("i"); !got.Silent {
		t.Errorf("the host has %+v", got)
	}
	if relayed := second.TakeHeartbeats(); len(relayed) != 1 || !relayed[0].Silent {
		t.Errorf("other tables are told %+v", relayed)
	}
	r.Sequence = 2
	second.Merge(13*time.Second, r) // the target reports elsewhere now
	second.Expire(20 * time.Second)
	if relayed := second.TakeHeartbeats(); len(relayed) != 0 {
		t.Errorf("other tables are told of the silence of a target that reports there: %+v", relayed)
	}
}
