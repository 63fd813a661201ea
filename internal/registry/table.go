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
	// establishTime is how long heartbeats must go on before a process counts as established.
	// It is below the interval of heartbeats; those that a partition held back arrive together.
	establishTime = 500 * time.Millisecond
	// replacedTTL is how long the record of a silent process is kept after another one has
	// replaced it.
	replacedTTL = 10 * time.Second
	// maxProcesses bounds the records of processes under one ID.
	maxProcesses = 8
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
	// Left targets have deregistered.
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

// Record describes one process of a target, or its departure.
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
	// Established means that the heartbeats of the process have gone on for a while, so that
	// more than one message of an unknown sender speaks for it.
	Established bool
}

// Key identifies what a record speaks of: a process of a target, by what stays the same while
// it runs, or the departure of a process. A heartbeat replaces no record with another key, so
// what another sender says of a target does not outrank what the target says of itself.
type Key struct {
	id                           string
	startMillis                  int64
	left                         bool
	service, address, dataCentre string
}

// Key returns what the record speaks of.
func (r Record) Key() Key {
	if r.State == Left {
		return departureKey(r.ID, r.StartMillis)
	}
	return Key{id: r.ID, startMillis: r.StartMillis, service: r.Service, address: r.Address, dataCentre: r.DataCentre}
}

func departureKey(id string, startMillis int64) Key {
	return Key{id: id, startMillis: startMillis, left: true}
}

// newer reports whether r is a later record with its key than other.
func (r Record) newer(other Record) bool {
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
	revision uint64
	// firstHeard and lastHeard are the times of the first and the last record.
	firstHeard, lastHeard time.Duration
	// runningSince is the time of the first record after the last silence.
	runningSince time.Duration
	// confirmed is how long control hosts that are in contact have not told of a silence.
	confirmed time.Duration
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

// Table holds the records of the targets. Invariants: a record is only replaced by a newer
// one with its key, and the departure of a process is its last record. It is safe for
// concurrent use.
type Table struct {
	mu   sync.Mutex
	rows map[Key]*row
	// byID has the rows of each target, byAddress those of the processes at each address.
	byID, byAddress map[string][]*row
	revision        uint64
	// digests has the sum of the digests of the rows of each bucket.
	digests [Buckets]uint64
	// heard are the keys of the targets that sent a heartbeat to this host, or stopped doing
	// so, since the last call of TakeHeartbeats.
	heard map[Key]bool
	// pastSoftware has when a target of a service was last registered with a version of the
	// software that it no longer has.
	pastSoftware map[serviceSoftware]time.Duration
	// OnConflict is called, if set, when a record that the table gets does not count beside
	// another one, or makes another one not count. It must not call the table.
	OnConflict func(Conflict)
}

type serviceSoftware struct{ service, software string }

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[Key]*row{}, byID: map[string][]*row{}, byAddress: map[string][]*row{}, heard: map[Key]bool{}, pastSoftware: map[serviceSoftware]time.Duration{}}
}

// Heartbeat merges a heartbeat that a target sent to this host. It reports whether the
// record counts as changed for ChangedSince; a higher sequence number alone does not.
func (t *Table) Heartbeat(now time.Duration, r Record) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d := t.rows[departureKey(r.ID, r.StartMillis)]; d != nil && r.State != Left {
		t.heard[d.Key()] = true // others may not know that it has left
		t.reportIgnored(now, d, r)
		return false
	}
	changed = t.merge(now, r, true)
	current := t.rows[r.Key()]
	current.isDirect = current.Sequence == r.Sequence
	t.heard[r.Key()] = true
	return changed
}

// Merge merges a record from another host. It reports the same as Heartbeat.
func (t *Table) Merge(now time.Duration, r Record) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(now, r, false)
}

func (t *Table) merge(now time.Duration, r Record, direct bool) bool {
	if r.State == Left {
		return t.mergeDeparture(now, r)
	}
	if t.rows[departureKey(r.ID, r.StartMillis)] != nil {
		return false
	}
	current := t.rows[r.Key()]
	changed := current == nil
	switch {
	case current == nil:
		t.limitProcesses(r.ID)
		current = t.insert(now, r)
	case r.newer(current.Record):
		t.recordRun(now, current, &r, direct)
		earlier := current.Record
		if !t.disputed(current) {
			earlier.Established = r.Established // matters to no host
		}
		changed = !r.sameContent(earlier) || coldDiffers(r.ColdUntil, current.toldColdUntil, now)
		t.recordPastSoftware(now, current.Record)
		current.Record, current.lastHeard, current.isDirect = r, now, false
	default:
		return t.mergeOther(now, current, r)
	}
	if changed {
		current.toldColdUntil, current.latestCold = r.ColdUntil, max(current.latestCold, r.ColdUntil)
		t.markChanged(now, current)
		t.reportConflicts(current)
	}
	return changed
}

// mergeOther merges what another host has found out about a process, in a record that is not
// newer: that it has fallen silent since, or that its heartbeats have gone on.
func (t *Table) mergeOther(now time.Duration, current *row, r Record) (changed bool) {
	if r.Silent && !current.Silent && r.Sequence == current.Sequence && r.State == current.State {
		current.Silent, current.lastHeard, current.isDirect, changed = true, now, false, true
	}
	if r.Established && !current.Established {
		current.Established, changed = true, changed || t.disputed(current)
	}
	if changed {
		t.markChanged(now, current)
		t.reportConflicts(current)
	}
	return changed
}

// recordRun completes a newer record of a process by whether its heartbeats go on. The first
// heartbeat after a silence does not count yet while another process may have taken the place
// of this one: it may have been sent long before.
func (t *Table) recordRun(now time.Duration, current *row, r *Record, direct bool) {
	contested, contestedAt := t.contested(current)
	if now-current.lastHeard > silenceTimeout || contested && !current.Established && current.runningSince < contestedAt {
		current.runningSince = now
	}
	goesOn := now-current.runningSince >= establishTime
	r.Established = r.Established || current.Established || goesOn
	if direct && current.Silent && contested && !goesOn {
		r.Silent = true
	}
}

// confirmTime is how long hosts that are in contact may take to tell that a process of which
// there was a single message has fallen silent.
const confirmTime = silenceTimeout + 2*time.Second

// Confirm records that control hosts have been in contact with this host for some time, and
// establishes processes beside others that they have not told to be silent since. Control
// hosts tell which processes are established only where they know of rivals themselves; after
// a start they may not know of those that this host has. Only the process that was heard of
// last is established, as they may have lost the others.
func (t *Table) Confirm(now, contact time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows {
		if r.State == Left || r.Silent || r.Established || !t.disputed(r) || t.rivalHeardLater(r) {
			r.confirmed = 0
			continue
		}
		if r.confirmed += contact; r.confirmed >= confirmTime {
			r.Established = true
			t.markChanged(now, r)
			t.reportConflicts(r)
		}
	}
}

// rivalHeardLater reports whether another running process with the ID or at the address of a
// process was heard of after it. t.mu must be held.
func (t *Table) rivalHeardLater(r *row) bool {
	return slices.ContainsFunc(t.neighbours(r), func(o *row) bool { return o.State != Left && !o.Silent && o.lastHeard > r.lastHeard })
}

// contested reports whether a process that started later names the ID or the address of a
// process, and since when.
func (t *Table) contested(r *row) (contested bool, at time.Duration) {
	for _, o := range t.byID[r.ID] {
		if o.StartMillis > r.StartMillis && (!contested || o.firstHeard < at) {
			contested, at = true, o.firstHeard
		}
	}
	for _, o := range t.byAddress[r.Address] {
		if o.ID != r.ID && o.StartMillis > r.StartMillis && (!contested || o.firstHeard < at) {
			contested, at = true, o.firstHeard
		}
	}
	return contested, at
}

// insert adds a row. Other hosts are told anew of established processes with which it may be in
// conflict: until now it did not matter to them.
func (t *Table) insert(now time.Duration, r Record) *row {
	current := &row{Record: r, firstHeard: now, lastHeard: now, runningSince: now}
	neighbours := t.neighbours(current)
	t.rows[r.Key()] = current
	t.byID[r.ID] = append(t.byID[r.ID], current)
	if r.State != Left && r.Address != "" {
		t.byAddress[r.Address] = append(t.byAddress[r.Address], current)
	}
	for _, o := range neighbours {
		if o.State != Left && o.Established {
			t.markChanged(now, o)
		}
	}
	return current
}

// neighbours returns the other rows with the ID of a row or, if it is one of a process, with
// its address. t.mu must be held.
func (t *Table) neighbours(r *row) (out []*row) {
	for _, o := range t.byID[r.ID] {
		if o != r {
			out = append(out, o)
		}
	}
	if r.State == Left {
		return out
	}
	for _, o := range t.byAddress[r.Address] {
		if o != r && o.ID != r.ID {
			out = append(out, o)
		}
	}
	return out
}

// disputed reports whether a row has neighbours. t.mu must be held.
func (t *Table) disputed(r *row) bool {
	return len(t.byID[r.ID]) > 1 || r.State != Left && len(t.byAddress[r.Address]) > 1
}

// limitProcesses makes room for another process under an ID.
func (t *Table) limitProcesses(id string) {
	var worst *row
	n := 0
	for _, r := range t.byID[id] {
		if r.State == Left {
			continue
		}
		if n++; worst == nil || worst.outranks(r) {
			worst = r
		}
	}
	if n >= maxProcesses {
		t.deleteRow(worst)
	}
}

// mergeDeparture records that a process has left, and drops what it said before.
func (t *Table) mergeDeparture(now time.Duration, r Record) bool {
	r.Silent, r.Established, r.ColdUntil = false, false, 0
	if t.rows[r.Key()] != nil {
		return false
	}
	for _, o := range slices.Clone(t.byID[r.ID]) {
		if o.State == Left || o.StartMillis != r.StartMillis {
			continue
		}
		t.recordPastSoftware(now, o.Record)
		t.deleteRow(o)
	}
	t.markChanged(now, t.insert(now, r))
	return true
}

// Deregister marks a process of a target as left. startMillis is 0 if the target did not
// report its start time.
func (t *Table) Deregister(now time.Duration, id string, startMillis int64) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Record{ID: id, StartMillis: startMillis}
	for _, o := range t.byID[id] {
		if startMillis == 0 && o.StartMillis > r.StartMillis && o.State == Left {
			r = o.Record
		}
	}
	if current := t.chooseProcess(id, nil); current != nil && (startMillis == 0 || startMillis == current.StartMillis) {
		r = current.Record
	}
	r.State = Left
	return t.merge(now, r, true)
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

// DepartureRevision returns the last revision at which a process of a target began to drain
// or left; 0 if none has.
func (t *Table) DepartureRevision(id string) (revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byID[id] {
		if r.State != Ready {
			revision = max(revision, r.revision)
		}
	}
	return revision
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
		if r.Service == service && r.State != Left && (t.chosen(r.ID, nil) == r || now-r.lastHeard <= window+replacedTTL) {
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
				t.heard[r.Key()] = true // others may lack the record, and then its silence too
			}
			t.markChanged(now, r)
		}
	}
}

// ForgetDepartures deletes the records of targets that left, or were draining when they fell
// silent: those that are older than tombstoneTTL, and the oldest beyond maxTombstones. It also
// deletes silent processes that others have replaced, and those that were never established.
func (t *Table) ForgetDepartures(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var left []*row
	for _, r := range t.rows {
		age := now - r.lastHeard
		switch {
		case r.State != Ready && age > tombstoneTTL:
			t.deleteRow(r)
		case r.State == Left:
			left = append(left, r)
		case r.State == Ready && r.Silent && (age > tombstoneTTL && !r.Established || age > replacedTTL && t.replaced(r)):
			t.recordPastSoftware(now, r.Record)
			t.deleteRow(r)
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
	for key := range t.heard {
		if r := t.rows[key]; r != nil {
			records = append(records, r.Record)
		}
	}
	clear(t.heard)
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
