package registry

import (
	"cmp"
	"slices"
	"time"
)

// conflictInterval is the minimum time between two reports of heartbeats of one process that
// do not count.
const conflictInterval = 10 * time.Second

// Conflict says that a record does not count because of another one.
type Conflict struct {
	// Record counts, Displaced does not.
	Record, Displaced Record
	Cause             ConflictCause
}

// ConflictCause is why a record does not count.
type ConflictCause string

// The causes of conflicts.
const (
	// SameAddress: another target is at its address.
	SameAddress ConflictCause = "address"
	// SameID: another process of the same target counts, or this one has left.
	SameID ConflictCause = "id"
)

// rank orders what speaks for a process, before its start.
type rank uint8

const (
	// single: one message that it is ready, and nothing since.
	single rank = iota
	// recent: heartbeats that have just begun or have ended, or a message that it drains.
	recent
	// lasting: heartbeats that go on.
	lasting
)

func (r *row) rank() rank {
	switch {
	case r.Established && !r.Silent:
		return lasting
	case r.Silent && !r.Established && r.State == Ready:
		return single
	}
	return recent
}

// outranks reports whether r, rather than other, is taken for the running process of their
// target. A process that goes on sending heartbeats is not ended by the message of another one
// that claims to have started later; if it was, it falls silent.
func (r *row) outranks(other *row) bool {
	return cmp.Or(cmp.Compare(r.rank(), other.rank()), cmp.Compare(r.StartMillis, other.StartMillis), cmp.Compare(r.Sequence, other.Sequence),
		cmp.Compare(r.Service, other.Service), cmp.Compare(r.Address, other.Address), cmp.Compare(r.DataCentre, other.DataCentre)) > 0
}

// takesAddress reports whether r, rather than other, is taken for the target at their address.
// While the heartbeats of both go on, both count: a target rejects what is sent to another one.
func (r *row) takesAddress(other *row) bool {
	switch {
	case other.rank() == lasting:
		return false
	case r.rank() == lasting:
		return true
	}
	return r.StartMillis > other.StartMillis && r.rank() >= other.rank() && (r.Established || !other.Established)
}

// ended reports whether a later process of the target has left: an acknowledged departure holds
// for what was before it, whatever a host has not been told of that. t.mu must be held.
func (t *Table) ended(r *row) bool {
	return slices.ContainsFunc(t.byID[r.ID], func(o *row) bool { return o.State == Left && o.StartMillis >= r.StartMillis })
}

// chooseProcess returns the process that is taken for the running one of a target among those
// that usable accepts, or nil. t.mu must be held.
func (t *Table) chooseProcess(id string, usable func(Record) bool) (best *row) {
	for _, r := range t.byID[id] {
		if r.State != Left && (usable == nil || usable(r.Record)) && !t.ended(r) && (best == nil || r.outranks(best)) {
			best = r
		}
	}
	return best
}

// replaced reports whether a process has ended, or others that are established count instead
// of it. t.mu must be held.
func (t *Table) replaced(r *row) bool {
	return t.ended(r) ||
		slices.ContainsFunc(t.byID[r.ID], func(o *row) bool { return o.State != Left && o.Established && o.outranks(r) }) ||
		slices.ContainsFunc(t.byAddress[r.Address], func(o *row) bool { return o.ID != r.ID && o.Established && o.takesAddress(r) })
}

// atAddress returns the process of another target that is taken for the one at the address of
// r, or nil. t.mu must be held.
func (t *Table) atAddress(r *row, usable func(Record) bool) *row {
	for _, o := range t.byAddress[r.Address] {
		if o.ID != r.ID && o.takesAddress(r) && (usable == nil || usable(o.Record)) {
			return o
		}
	}
	return nil
}

// chosen returns the process by which a target may be used, or nil. t.mu must be held.
func (t *Table) chosen(id string, usable func(Record) bool) *row {
	r := t.chooseProcess(id, usable)
	if r == nil || t.atAddress(r, usable) != nil {
		return nil
	}
	return r
}

// recordOf returns the record of a chosen process. It is as cold as another process of the
// target at its address says: the target may have just started again. t.mu must be held.
func (t *Table) recordOf(chosen *row, usable func(Record) bool) Record {
	out := chosen.Record
	for _, r := range t.byID[chosen.ID] {
		if r.State != Left && !r.Silent && r.Address == chosen.Address && (usable == nil || usable(r.Record)) {
			out.ColdUntil = max(out.ColdUntil, r.ColdUntil)
		}
	}
	return out
}

// InUse returns the records of the targets that may be used, sorted by ID. Records that usable
// does not accept are left out before it is decided which of several counts.
func (t *Table) InUse(usable func(Record) bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for id := range t.byID {
		if r := t.chosen(id, usable); r != nil {
			records = append(records, t.recordOf(r, usable))
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}

// Registered returns the records of all targets that have not left, sorted by ID.
func (t *Table) Registered() []Record { return t.InUse(nil) }

// Get returns the record by which a target may be used or, if there is none, its latest one.
func (t *Table) Get(id string) (Record, bool) { return t.Find(id, nil) }

// Find does the same among the records that usable accepts.
func (t *Table) Find(id string, usable func(Record) bool) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.chosen(id, usable); r != nil {
		return t.recordOf(r, usable), true
	}
	var latest *row
	for _, r := range t.byID[id] {
		if latest == nil || r.StartMillis > latest.StartMillis || r.StartMillis == latest.StartMillis && r.State == Left {
			latest = r
		}
	}
	if latest == nil {
		return Record{}, false
	}
	return latest.Record, true
}

// LaterProcess returns the latest process of a target that has started after startMillis, also
// if it does not count yet: what must not be sent to another process than the one that was
// chosen needs to know of it with its first heartbeat. A process of which there was a single
// message is forgotten when it is silent.
func (t *Table) LaterProcess(id string, startMillis int64, usable func(Record) bool) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var latest *row
	for _, r := range t.byID[id] {
		if r.State != Left && r.StartMillis > startMillis && r.rank() != single && usable(r.Record) && (latest == nil || r.StartMillis > latest.StartMillis) {
			latest = r
		}
	}
	if latest == nil {
		return Record{}, false
	}
	return latest.Record, true
}

// Lookup returns the record with a key.
func (t *Table) Lookup(k Key) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[k]; r != nil {
		return r.Record, true
	}
	return Record{}, false
}

// reportConflicts reports which of several records count after a change of one of them.
// t.mu must be held.
func (t *Table) reportConflicts(changed *row) {
	if t.OnConflict == nil || len(t.byID[changed.ID]) == 1 && len(t.byAddress[changed.Address]) == 1 {
		return
	}
	if best := t.chooseProcess(changed.ID, nil); best != nil {
		for _, r := range t.byID[changed.ID] {
			if r != best && r.State != Left && (r == changed || best == changed) {
				t.OnConflict(Conflict{Record: best.Record, Displaced: r.Record, Cause: SameID})
			}
		}
	}
	for _, r := range t.byAddress[changed.Address] {
		switch {
		case r.ID == changed.ID:
		case r.takesAddress(changed):
			t.OnConflict(Conflict{Record: r.Record, Displaced: changed.Record, Cause: SameAddress})
		case changed.takesAddress(r):
			t.OnConflict(Conflict{Record: changed.Record, Displaced: r.Record, Cause: SameAddress})
		}
	}
}

// reportIgnored reports that a heartbeat does not count, as its process has left. t.mu must be
// held.
func (t *Table) reportIgnored(now time.Duration, departure *row, r Record) {
	if t.OnConflict == nil || departure.conflictAt > 0 && now-departure.conflictAt < conflictInterval {
		return
	}
	departure.conflictAt = now
	t.OnConflict(Conflict{Record: departure.Record, Displaced: r, Cause: SameID})
}
