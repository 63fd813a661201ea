package registry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// silenceTimeout is the time without a heartbeat after which a target counts as
	// silent. At an interval of 1.2 s it tolerates one lost heartbeat.
	silenceTimeout = 3 * time.Second
	// tombstoneTTL is how long the record of a target that left, or that fell silent while
	// it was draining, is kept. It exceeds the time for which a network partition may delay
	// heartbeats.
	tombstoneTTL = 5 * time.Minute
	// maxTombstones bounds the records of targets that left to about 4 MB. Beyond it the
	// oldest ones are forgotten.
	maxTombstones = 1 << 14
	// minColdChange is the change of ColdUntil above which a record counts as changed.
	minColdChange = 300 * time.Millisecond
)

// State is the lifecycle state of a target.
type State uint8

// The states of a target.
const (
	Ready State = iota + 1
	// Draining targets take no new requests.
	Draining
	// Left targets have deregistered, or were replaced by a newer target at their
	// address.
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
	// StartMillis is the Unix time of the target's start in milliseconds; 0 if the
	// target did not report it.
	StartMillis int64
	// Sequence orders the heartbeats of one process of the target.
	Sequence   uint64
	Service    string
	Address    string
	DataCentre string
	Software   string
	Slots      int
	State      State
	// ColdUntil is the end of the target's warm-up, on this host's clock.
	ColdUntil time.Duration
	// Silent means that no heartbeat has arrived within the silence timeout.
	Silent bool
}

// Newer reports whether r is a later record of its target than other. The departure of a
// process is its last record, whatever sequence number the host knew that recorded it.
func (r Record) Newer(other Record) bool {
	if c := cmp.Compare(r.StartMillis, other.StartMillis); c != 0 {
		return c > 0
	}
	if (r.State == Left) != (other.State == Left) {
		return r.State == Left
	}
	if c := cmp.Compare(r.Sequence, other.Sequence); c != 0 {
		return c > 0
	}
	return r.State > other.State
}

// sameContent reports whether the records differ in nothing but sequence and warm-up.
func (r Record) sameContent(other Record) bool {
	r.Sequence, r.ColdUntil = other.Sequence, other.ColdUntil
	return r == other
}

// Repeats reports whether r says nothing new after an earlier record of its target, except
// that the target was still running.
func (r Record) Repeats(earlier Record, now time.Duration) bool {
	return r.sameContent(earlier) && r.Sequence >= earlier.Sequence && !coldDiffers(r.ColdUntil, earlier.ColdUntil, now)
}

type row struct {
	Record
	revision  uint64
	lastHeard time.Duration
	// toldColdUntil is the ColdUntil of the last change.
	toldColdUntil time.Duration
	// changedAt is the time of the last change.
	changedAt time.Duration
	// latestCold is the latest end of a warm-up that others may have been told.
	latestCold time.Duration
	// isDirect means that the target itself sent the record to this host.
	isDirect bool
	// digest is that of the record as counted in Table.digests.
	digest uint64
	// conflictAt is when a heartbeat that does not count was last reported; 0 if none was.
	conflictAt time.Duration
}

// Table holds the records of the targets. Invariant: a record is only replaced by a
// newer one. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	rows map[string]*row
	// byAddress has the rows with each address, by ID.
	byAddress map[string]map[string]*row
	revision  uint64
	// digests has the sum of the digests of the rows of each bucket.
	digests [Buckets]uint64
	// heartbeatIDs are the targets that sent a heartbeat to this host, or stopped doing so,
	// since the last call of TakeHeartbeats.
	heartbeatIDs map[string]bool
	// pastSoftware has when a target of a service was last registered with a version of the
	// software that it no longer has.
	pastSoftware map[serviceSoftware]time.Duration
	// OnConflict is called, if set, when a record displaces another one, or a target's
	// heartbeat does not count because of another record. It must not call the table.
	OnConflict func(Conflict)
}

// Conflict says that of two records only one counts.
type Conflict struct {
	// Record counts, Displaced does not.
	Record, Displaced Record
	Cause             ConflictCause
}

// ConflictCause is why a record does not count.
type ConflictCause string

// The causes of conflicts.
const (
	// SameAddress: a target that started later is at its address.
	SameAddress ConflictCause = "address"
	// SameID: another record of the same target ranks higher.
	SameID ConflictCause = "id"
)

// conflictInterval is the minimum time between two reports of heartbeats of one target that
// do not count.
const conflictInterval = 10 * time.Second

func (t *Table) reportConflict(c Conflict) {
	if t.OnConflict != nil {
		t.OnConflict(c)
	}
}

// reportOutranked reports that a heartbeat does not count. Late copies of what the table has
// are no conflict. t.mu must be held.
func (t *Table) reportOutranked(now time.Duration, r Record) {
	current := t.rows[r.ID]
	late := r.StartMillis == current.StartMillis && r.Sequence <= current.Sequence && r.Service == current.Service && r.Address == current.Address
	if late || current.conflictAt > 0 && now-current.conflictAt < conflictInterval {
		return
	}
	current.conflictAt = now
	t.reportConflict(Conflict{Record: current.Record, Displaced: r, Cause: SameID})
}

type serviceSoftware struct{ service, software string }

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]*row{}, byAddress: map[string]map[string]*row{}, heartbeatIDs: map[string]bool{}, pastSoftware: map[serviceSoftware]time.Duration{}}
}

// Heartbeat merges a heartbeat that a target sent to this host. It reports whether the
// record counts as changed for ChangedSince; a higher sequence number alone does not.
func (t *Table) Heartbeat(now time.Duration, r Record) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = t.merge(now, r)
	t.rows[r.ID].isDirect = t.rows[r.ID].Sequence == r.Sequence && t.rows[r.ID].StartMillis == r.StartMillis
	if current := t.rows[r.ID].Record; current.StartMillis != r.StartMillis || current.State == Left || r.Sequence < current.Sequence {
		t.reportOutranked(now, r)
	}
	t.heartbeatIDs[r.ID] = true
	return changed
}

// Merge merges a record from another host. It reports the same as Heartbeat.
func (t *Table) Merge(now time.Duration, r Record) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(now, r)
}

func (t *Table) merge(now time.Duration, r Record) bool {
	current := t.rows[r.ID]
	switch {
	case current == nil:
		current = &row{}
		t.rows[r.ID] = current
	case r.Newer(current.Record):
	case r.Silent && !current.Silent && r.StartMillis == current.StartMillis && r.Sequence == current.Sequence && r.State == current.State:
	default:
		return false
	}
	changed := !r.sameContent(current.Record) || coldDiffers(r.ColdUntil, current.toldColdUntil, now)
	t.recordPastSoftware(now, current.Record)
	t.setAddress(current, r)
	current.Record, current.lastHeard, current.isDirect = r, now, false
	if changed {
		current.toldColdUntil, current.latestCold = r.ColdUntil, max(current.latestCold, r.ColdUntil)
		t.markChanged(now, current)
		t.deregisterOlder(now, r)
	}
	return changed
}

// coldDiffers reports whether the end of a warm-up differs from the one that was last told,
// so that small changes do not add up.
func coldDiffers(coldUntil, told, now time.Duration) bool {
	if coldUntil <= now && told <= now {
		return false
	}
	difference := coldUntil - told
	return difference > minColdChange || difference < -minColdChange
}

// markChanged must follow each change of a row. t.mu must be held.
func (t *Table) markChanged(now time.Duration, r *row) {
	r.changedAt = now
	t.revision++
	r.revision = t.revision
	t.updateDigest(r)
}

// setAddress follows the change of a row's record to r. t.mu must be held.
func (t *Table) setAddress(current *row, r Record) {
	if current.Address == r.Address && current.ID == r.ID {
		return
	}
	t.clearAddress(current)
	if r.Address == "" {
		return
	}
	rows := t.byAddress[r.Address]
	if rows == nil {
		rows = map[string]*row{}
		t.byAddress[r.Address] = rows
	}
	rows[r.ID] = current
}

// clearAddress removes a row from byAddress. t.mu must be held.
func (t *Table) clearAddress(r *row) {
	rows := t.byAddress[r.Address]
	delete(rows, r.ID)
	if len(rows) == 0 {
		delete(t.byAddress, r.Address)
	}
}

// deregisterOlder marks older targets at the address of a new one as left.
func (t *Table) deregisterOlder(now time.Duration, r Record) {
	if r.State == Left || r.Address == "" {
		return
	}
	for _, other := range t.byAddress[r.Address] {
		if other.ID != r.ID && other.State != Left && other.StartMillis < r.StartMillis {
			t.recordPastSoftware(now, other.Record)
			t.reportConflict(Conflict{Record: r, Displaced: other.Record, Cause: SameAddress})
			other.State, other.lastHeard = Left, now
			t.markChanged(now, other)
		}
	}
}

// Deregister marks a target as left. startMillis is 0 if the target did not report its
// start time.
func (t *Table) Deregister(now time.Duration, id string, startMillis int64) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.rows[id]
	if current == nil {
		current = &row{Record: Record{ID: id, StartMillis: startMillis}}
		t.rows[id] = current
	}
	if startMillis != 0 && startMillis < current.StartMillis || current.State == Left && startMillis <= current.StartMillis {
		return false
	}
	t.recordPastSoftware(now, current.Record)
	current.State, current.StartMillis, current.lastHeard = Left, max(startMillis, current.StartMillis), now
	t.markChanged(now, current)
	return true
}

// Departures returns the records of the targets that are draining or have left and that
// changed after a revision, sorted by ID, and the revision of the table.
func (t *Table) Departures(after uint64) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	if after < t.revision {
		for _, r := range t.rows {
			if r.State != Ready && r.revision > after {
				records = append(records, r.Record)
			}
		}
		slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	}
	return records, t.revision
}

// DepartureRevision returns the revision at which a target began to drain or left; 0 if it
// is ready or unknown.
func (t *Table) DepartureRevision(id string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[id]; r != nil && r.State != Ready {
		return r.revision
	}
	return 0
}

// recordPastSoftware records the software of a target that changes or leaves. t.mu must
// be held.
func (t *Table) recordPastSoftware(now time.Duration, old Record) {
	if old.Service != "" && old.State != Left {
		t.pastSoftware[serviceSoftware{old.Service, old.Software}] = now
	}
}

// SoftwareVersions returns the versions of the software that registered targets of a
// service had within the window, sorted. Silent targets are registered.
func (t *Table) SoftwareVersions(now time.Duration, service string, window time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := map[string]bool{}
	for _, r := range t.rows {
		if r.Service == service && r.State != Left {
			versions[r.Software] = true
		}
	}
	for past, at := range t.pastSoftware {
		if past.service == service && now-at <= window {
			versions[past.software] = true
		}
	}
	return slices.Sorted(maps.Keys(versions))
}

// Expire marks targets without recent heartbeats as silent and deletes expired
// tombstones.
func (t *Table) Expire(now time.Duration) {
	t.ForgetDepartures(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.pastSoftware, func(_ serviceSoftware, at time.Duration) bool { return now-at > tombstoneTTL })
	for _, r := range t.rows {
		if r.State != Left && !r.Silent && now-r.lastHeard > silenceTimeout {
			r.Silent = true
			if r.isDirect {
				t.heartbeatIDs[r.ID] = true // others may lack the record, and then its silence too
			}
			t.markChanged(now, r)
		}
	}
}

// ForgetDepartures deletes the records of targets that left, or were draining when they fell
// silent: those that are older than tombstoneTTL, and the oldest beyond maxTombstones.
func (t *Table) ForgetDepartures(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var left []*row
	for _, r := range t.rows {
		switch {
		case r.State != Ready && now-r.lastHeard > tombstoneTTL:
			t.deleteRow(r)
		case r.State == Left:
			left = append(left, r)
		}
	}
	if len(left) <= maxTombstones {
		return
	}
	slices.SortFunc(left, func(a, b *row) int { return cmp.Compare(a.lastHeard, b.lastHeard) })
	for _, r := range left[:len(left)-maxTombstones] {
		t.deleteRow(r)
	}
}

// TakeHeartbeats returns the records of the targets that sent a heartbeat to this host, or
// fell silent after their last one here, since the last call, sorted by ID.
func (t *Table) TakeHeartbeats() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for id := range t.heartbeatIDs {
		if r := t.rows[id]; r != nil {
			records = append(records, r.Record)
		}
	}
	clear(t.heartbeatIDs)
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}

// ChangedSince returns the records that changed after the cursor, and the next cursor.
func (t *Table) ChangedSince(cursor uint64) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cursor == t.revision {
		return nil, cursor
	}
	var records []Record
	for _, r := range t.rows {
		if r.revision > cursor {
			records = append(records, r.Record)
		}
	}
	return records, t.revision
}

// Registered returns the records of all targets that have not left, sorted by ID.
func (t *Table) Registered() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for _, r := range t.rows {
		if r.State != Left {
			records = append(records, r.Record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}

// Get returns the record of a target.
func (t *Table) Get(id string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[id]; r != nil {
		return r.Record, true
	}
	return Record{}, false
}

// Len returns the number of records, with those of targets that have left.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// Revision returns a number that increases with every change that ChangedSince returns.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}
