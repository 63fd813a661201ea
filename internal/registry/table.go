package registry

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// silentAfter is the silence after which a target counts as silent: one
	// heartbeat of 1.2 s may be lost.
	silentAfter = 3 * time.Second
	// tombstoneLife is how long a record that left is kept. Delayed heartbeats
	// arrive within the time that a partition holds them up.
	tombstoneLife = 5 * time.Minute
	// coldChange is the smallest change of the cold period that is passed on.
	coldChange = 300 * time.Millisecond
)

// State is what a target says of itself.
type State uint8

// The states of a target.
const (
	Ready State = iota + 1
	// Draining targets take no new requests.
	Draining
	// Left targets have said that they go, or were replaced at their address.
	Left
)

func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Left:
		return "left"
	}
	return "unknown"
}

// Record describes one target.
type Record struct {
	ID string
	// Born is the Unix time of its start in milliseconds; 0 when it does not say.
	StartMillis int64
	// Sequence orders the heartbeats of one start.
	Sequence   uint64
	Service    string
	Address    string
	DataCentre string
	Software   string
	Slots      int
	State      State
	// ColdUntil is when the target is warm, on this host's clock.
	ColdUntil time.Duration
	// Silent means that no heartbeat has arrived for some time.
	Silent bool
}

// Newer reports whether r describes its target later than other does.
func (r Record) Newer(other Record) bool {
	if c := cmp.Compare(r.StartMillis, other.StartMillis); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(r.Sequence, other.Sequence); c != 0 {
		return c > 0
	}
	return r.State > other.State
}

type row struct {
	Record
	revision uint64
	heard    time.Duration
}

// Table holds the records. Invariant: a record is only replaced by a newer one.
type Table struct {
	mu       sync.Mutex
	rows     map[string]*row
	revision uint64
	// recent are the records heard here since the last call of TakeHeard.
	recent map[string]bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]*row{}, recent: map[string]bool{}} }

// Heartbeat takes what a target said to this host.
func (t *Table) Heartbeat(now time.Duration, r Record) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = t.merge(now, r)
	t.recent[r.ID] = true
	return changed
}

// Merge takes a record that another host sent.
func (t *Table) Merge(now time.Duration, r Record) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(now, r)
}

func (t *Table) merge(now time.Duration, r Record) bool {
	old := t.rows[r.ID]
	switch {
	case old == nil:
		old = &row{}
		t.rows[r.ID] = old
	case r.Newer(old.Record):
	case r.Silent && !old.Silent && r.StartMillis == old.StartMillis && r.Sequence == old.Sequence:
	default:
		return false
	}
	if old.State == Left && r.StartMillis == old.StartMillis && r.State != Left {
		return false // a heartbeat that was on its way when the target left
	}
	material := old.StartMillis != r.StartMillis || old.State != r.State || old.Address != r.Address || old.Service != r.Service ||
		old.Silent != r.Silent || old.Slots != r.Slots || old.DataCentre != r.DataCentre || r.coldDiffers(old.Record, now)
	old.Record, old.heard = r, now
	if material {
		t.bump(old)
		t.supersede(now, r)
	}
	return material
}

func (r Record) coldDiffers(old Record, now time.Duration) bool {
	if r.ColdUntil <= now && old.ColdUntil <= now {
		return false
	}
	d := r.ColdUntil - old.ColdUntil
	return d > coldChange || d < -coldChange
}

func (t *Table) bump(r *row) {
	t.revision++
	r.revision = t.revision
}

// supersede ends older targets at the address of a new one.
func (t *Table) supersede(now time.Duration, r Record) {
	if r.State == Left || r.Address == "" {
		return
	}
	for _, other := range t.rows {
		if other.ID != r.ID && other.Address == r.Address && other.State != Left && other.StartMillis < r.StartMillis {
			other.State, other.heard = Left, now
			t.bump(other)
		}
	}
}

// Leave records that a target said that it goes. born is 0 when it did not say.
func (t *Table) Deregister(now time.Duration, id string, born int64) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.rows[id]
	if old == nil {
		old = &row{Record: Record{ID: id, StartMillis: born}}
		t.rows[id] = old
	}
	if born != 0 && born < old.StartMillis || old.State == Left {
		return false
	}
	old.State, old.heard = Left, now
	t.bump(old)
	t.recent[id] = true
	return true
}

// Expire marks targets that have been silent and forgets old tombstones.
func (t *Table) Expire(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.rows {
		silence := now - r.heard
		switch {
		case r.State == Left && silence > tombstoneLife:
			delete(t.rows, id)
		case r.State != Left && !r.Silent && silence > silentAfter:
			r.Silent = true
			t.bump(r)
		}
	}
}

// TakeHeard returns the records that targets told this host since the last call.
func (t *Table) TakeHeartbeats() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for id := range t.recent {
		if r := t.rows[id]; r != nil {
			out = append(out, r.Record)
		}
	}
	clear(t.recent)
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Since returns the records that changed after the cursor, and the next cursor.
func (t *Table) ChangedSince(cursor uint64) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cursor == t.revision {
		return nil, cursor
	}
	var out []Record
	for _, r := range t.rows {
		if r.revision > cursor {
			out = append(out, r.Record)
		}
	}
	return out, t.revision
}

// All returns every record that has not left, in order.
func (t *Table) Registered() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for _, r := range t.rows {
		if r.State != Left {
			out = append(out, r.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Revision grows with every change that Since returns.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}
