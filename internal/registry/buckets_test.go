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
		q.Digests, q.Lap.Done, q.Lap.Revision = to.Digests(), c.Lap.Done, c.Lap.Revision
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
// holds back a departure, a warm-up, or what the first one does not know.
func TestSecondTableTellsWhatIsUrgentOrLacking(t *testing.T) {
	now := time.Minute
	first, second, to := filledTable(now, 100), filledTable(now, 100), filledTable(now, 100)
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
	now += urgencyDelay + time.Millisecond
	if got := told(); got != "map[i-1:1 lacking:1]" {
		t.Errorf("told after the delay: %s", got)
	}
	second.Expire(now + silenceTimeout)
	now += 2 * silenceTimeout
	if got := told(); got != "map[]" {
		t.Errorf("told again: %s", got)
	}
}
