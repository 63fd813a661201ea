package targets

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxTargets limits the targets in the table. The largest data centre that the
	// system is designed for has fewer than 400.
	MaxTargets = 1024
	// forgetAfter is how long a silent target stays in the table, so that late
	// announcements of an older incarnation are recognised as stale.
	forgetAfter = 2 * time.Minute
	// peerCountTTL is how long the in-flight count of another host is valid without
	// renewal.
	peerCountTTL = 10 * time.Second
	// remoteLoadWeight is the weight of the newest announcement in remoteLoadMean.
	remoteLoadWeight = 0.3
	// maxPeerHosts limits the hosts whose counts or leases are kept per target.
	maxPeerHosts = 64
)

// Target is a copy of the table entry of a target.
type Target struct {
	Announcement
	// LastHeard is when the first host received the last announcement: the time of
	// arrival here less the relayed age.
	LastHeard time.Time `json:"Heard"`
	// InFlight is the number of requests of this host that the target runs.
	InFlight int
	// Adopted is true for a target of another data centre that announces itself
	// here because it reaches no host of its own data centre.
	Adopted bool
	// Ejected is true while the target gets only probes.
	Ejected bool
	// Cached is the number of prefixes in the prefix index of the target.
	Cached int
}

// record is the table entry of a target.
type record struct {
	Announcement
	id        uint32 // digest of the name, for compact messages
	state     uint64 // state digest of the announcement
	lastHeard time.Time
	adopted   bool
	// direct is true when the last announcement came from the target itself.
	direct bool

	// inFlight counts the requests of this host on the current incarnation,
	// earlierInFlight those on earlier ones, by incarnation. They are separate so
	// that the end of a request on an earlier incarnation does not change inFlight.
	inFlight        int
	earlierInFlight map[uint64]int
	// inFlightAtPreviousReport and inFlightAtReport are inFlight at the arrival of
	// the last announcement but one and of the last one.
	inFlightAtPreviousReport, inFlightAtReport int
	// unattributed is the announced load that no host accounts for, in the last three
	// announcements, newest first.
	unattributed [3]int
	// remoteLoadMean is the moving average of the load that is not from this host.
	remoteLoadMean float64
	// tokensSinceReport is the sum of the tokens of the requests that this host began
	// since the last announcement.
	tokensSinceReport int64
	peers             map[string]peerCount
	leases            map[string]time.Time // from host to expiry
	// leaseKnownBy holds the hosts that have confirmed the lease of this host.
	leaseKnownBy map[string]bool
	// leavingSince is when this host was informed that the target is leaving.
	leavingSince time.Time
	// slowStartAt is when the slow start began.
	slowStartAt time.Time
	reportsKV   bool
	health      health
	cache       cacheIndex
}

type peerCount struct {
	inFlight   int
	receivedAt time.Time
}

// Table holds the known targets: those of this data centre and adopted ones. It
// does no I/O; callers pass the time.
type Table struct {
	host       string
	dataCentre string
	// localPeers lists the hosts that must know a lease before it is exclusive.
	localPeers func() []string

	mu      sync.Mutex
	targets map[string]*record
	byID    map[uint32]*record
	pools   map[string][]*record // sorted by name
	changed chan struct{}
	stats   Stats
}

// Stats holds the counters of a table. NegativeInFlight and BegunWhileLeaving count
// violated invariants: an End without Begin, and a request begun on a target that
// has been leaving for SilenceLimit or longer.
type Stats struct {
	Stale, Full, Ejections, Readmissions, CacheGaps, Expired, NegativeInFlight, BegunWhileLeaving int64
}

// NewTable returns an empty table for the host in the data centre.
func NewTable(host, dataCentre string) *Table {
	return &Table{host: host, dataCentre: dataCentre, targets: map[string]*record{}, byID: map[uint32]*record{},
		pools: map[string][]*record{}, changed: make(chan struct{}), localPeers: func() []string { return nil }}
}

// Announce applies an announcement that the target sent to this host. It reports
// whether the announcement must be relayed to other hosts immediately: the target is
// new, restarted, changed other than in load, or announces itself after a silence.
func (t *Table) Announce(now time.Time, a Announcement) (urgent bool, err error) {
	return t.announce(now, a, 0, true)
}

// announce applies an announcement that came directly from the target, or that
// another host received age ago. The age is subtracted so that a relayed
// announcement does not keep a silent target available for longer.
func (t *Table) announce(now time.Time, a Announcement, age time.Duration, direct bool) (urgent bool, err error) {
	if err := a.Validate(); err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	heard := now.Add(-age)
	old, ok := t.targets[a.Name]
	if !ok {
		return true, t.insert(now, heard, a, direct)
	}
	if a.Incarnation < old.Incarnation {
		t.stats.Stale++
		return false, fmt.Errorf("%w: target %s has incarnation %d, the announcement has %d", ErrStale, a.Name, old.Incarnation, a.Incarnation)
	}
	if a.Incarnation == old.Incarnation && a.Sequence <= old.Sequence {
		return false, nil
	}
	return t.update(now, heard, old, a, direct), nil
}

func (t *Table) insert(now, heard time.Time, a Announcement, direct bool) error {
	if len(t.targets) >= MaxTargets {
		t.expire(now)
	}
	id := nameID(a.Name)
	if len(t.targets) >= MaxTargets || t.byID[id] != nil {
		t.stats.Full++
		return fmt.Errorf("%w: target %s is not added", ErrFull, a.Name)
	}
	r := &record{Announcement: a, id: id, state: a.stateDigest(), lastHeard: heard, direct: direct, adopted: a.DataCentre != t.dataCentre,
		slowStartAt: heard.Add(-time.Duration(min(a.Sequence-1, 3600)) * AnnounceInterval), reportsKV: a.FreeKVTokens > 0}
	r.unattributed = [3]int{a.Running + a.Queued, a.Running + a.Queued, a.Running + a.Queued}
	r.recordLeaving(now, false)
	t.targets[a.Name], t.byID[id] = r, r
	t.addToPool(r)
	t.trimCaches()
	t.notify()
	return nil
}

func nameID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func (t *Table) addToPool(r *record) {
	list := t.pools[r.Pool]
	i, _ := slices.BinarySearchFunc(list, r.Name, func(r *record, name string) int { return strings.Compare(r.Name, name) })
	t.pools[r.Pool] = slices.Insert(list, i, r)
}

func (t *Table) removeFromPool(r *record) {
	list := slices.DeleteFunc(t.pools[r.Pool], func(o *record) bool { return o == r })
	if len(list) == 0 {
		delete(t.pools, r.Pool)
		return
	}
	t.pools[r.Pool] = list
}

func (t *Table) update(now, heard time.Time, r *record, a Announcement, direct bool) (urgent bool) {
	restarted := a.Incarnation != r.Incarnation
	silence := heard.Sub(r.lastHeard)
	switch {
	case restarted:
		r.resetForRestart(now, a)
	case silence >= SilenceLimit && a.Sequence-r.Sequence < uint64(silence/AnnounceInterval):
		// The sequence increased by less than the intervals of the silence, so the
		// target itself was stopped. If only the path had failed, the target would
		// have gone on announcing itself and increasing its sequence.
		r.slowStartAt = now
	}
	state, wasLeaving := a.stateDigest(), r.Leaving && !restarted
	urgent = restarted || state != r.state || silence >= SilenceLimit
	if r.Pool != a.Pool {
		t.removeFromPool(r)
		r.Announcement = a
		t.addToPool(r)
	}
	r.Announcement, r.state, r.adopted, r.direct = a, state, a.DataCentre != t.dataCentre, direct
	r.recordLeaving(now, wasLeaving)
	r.recordReport(now, heard)
	r.reportsKV = r.reportsKV || a.FreeKVTokens > 0
	t.notify()
	return urgent
}

func (r *record) recordLeaving(now time.Time, wasLeaving bool) {
	if r.Leaving && !wasLeaving {
		r.leavingSince = now
	}
}

// resetForRestart discards the state of the previous incarnation and begins a slow
// start at the time of the restart, which the sequence gives.
func (r *record) resetForRestart(now time.Time, a Announcement) {
	if r.inFlight > 0 {
		if r.earlierInFlight == nil {
			r.earlierInFlight = map[uint64]int{}
		}
		r.earlierInFlight[r.Incarnation] = r.inFlight
	}
	r.inFlight, r.inFlightAtPreviousReport, r.inFlightAtReport, r.tokensSinceReport, r.reportsKV = 0, 0, 0, 0, false
	r.unattributed, r.remoteLoadMean = [3]int{}, 0
	r.peers = nil
	r.slowStartAt = now.Add(-time.Duration(min(a.Sequence-1, 3600)) * AnnounceInterval)
	r.health.reset()
	r.cache = cacheIndex{}
}

// recordReport updates the load estimates for a new announcement. The announced
// load is that of LagMS ago, so it is compared with the in-flight count that this
// host had at about that time.
func (r *record) recordReport(now, heard time.Time) {
	r.lastHeard = heard
	r.inFlightAtPreviousReport, r.inFlightAtReport = r.inFlightAtReport, r.inFlight
	ownInFlight := r.inFlightAtReport
	if time.Duration(r.LagMS)*time.Millisecond > AnnounceInterval/2 {
		ownInFlight = r.inFlightAtPreviousReport
	}
	copy(r.unattributed[1:], r.unattributed[:])
	r.unattributed[0] = max(r.Running+r.Queued-ownInFlight-r.peersInFlight(now), 0)
	r.remoteLoadMean += remoteLoadWeight * (float64(r.remoteLoad(now)) - r.remoteLoadMean)
	r.tokensSinceReport = 0
}

func (r *record) peersInFlight(now time.Time) int {
	sum := 0
	for _, p := range r.peers {
		if now.Sub(p.receivedAt) < peerCountTTL {
			sum += p.inFlight
		}
	}
	return sum
}

// ApplyCacheEvent updates the prefix index of a target from a cache event.
func (t *Table) ApplyCacheEvent(e *CacheEvent) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.targets[e.Target]
	if !ok || e.Incarnation != r.Incarnation {
		return fmt.Errorf("%w: no target %s with incarnation %d", ErrStale, e.Target, e.Incarnation)
	}
	if r.cache.apply(e, t.indexLimit()) {
		t.stats.CacheGaps++
	}
	return nil
}

// indexLimit returns the maximum number of blocks in the prefix index of one
// target. It is a power of two, so that it seldom changes: trimCaches discards each
// index that is larger than a lowered limit.
func (t *Table) indexLimit() int {
	perTarget := maxTotalIndexBlocks / max(len(t.targets), 1)
	return min(maxIndexBlocks, 1<<(bits.Len(uint(perTarget))-1))
}

func (t *Table) trimCaches() {
	limit := t.indexLimit()
	for _, r := range t.targets {
		if len(r.cache.ring) > limit {
			r.cache.clear()
		}
	}
}

// Begin records that this host starts a request on the target. The argument tokens
// is the KV cache that the request needs, in tokens; prefixes are added to the prefix
// index. Begin reports whether the request is the probe of an ejected target.
func (t *Table) Begin(now time.Time, name string, incarnation uint64, tokens int64, prefixes []uint64) (probe bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.targets[name]
	if !ok || r.Incarnation != incarnation {
		return false
	}
	if r.Leaving && now.Sub(r.leavingSince) >= SilenceLimit {
		// Invariant: no host begins a request on a target later than SilenceLimit after
		// the first host received the announcement that the target is leaving.
		t.stats.BegunWhileLeaving++
	}
	r.inFlight++
	r.tokensSinceReport += tokens
	limit := t.indexLimit()
	for _, p := range prefixes {
		r.cache.add(p, limit)
	}
	if r.health.ejected && !r.health.probing && now.Sub(r.health.claimedAt) < probeClaimTimeout {
		r.health.probing = true
		return true
	}
	return false
}

// End records the end of a request and its result. The argument probe is the value
// that Begin returned.
func (t *Table) End(now time.Time, name string, incarnation uint64, result Result, probe bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.targets[name]
	if !ok {
		return
	}
	if r.Incarnation != incarnation {
		if r.earlierInFlight[incarnation]--; r.earlierInFlight[incarnation] <= 0 {
			delete(r.earlierInFlight, incarnation)
		}
		return
	}
	if r.inFlight == 0 {
		t.stats.NegativeInFlight++ // End without Begin: a bug in the caller
	} else {
		r.inFlight--
	}
	wasEjected := r.health.ejected
	if r.health.recordOutcome(now, result, probe) {
		r.slowStartAt = now
		t.stats.Readmissions++
	}
	if !wasEjected && r.health.ejected {
		t.stats.Ejections++
	}
	t.notify()
}

// Tick removes expired targets and leases. It wakes waiters if room can appear as
// time passes, through slow start, probes or expired leases. Call it a few times a
// second.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for _, r := range t.targets {
		if r.health.ejected || now.Sub(r.slowStartAt) < 20*slowStartStep || len(r.leases) > 0 {
			t.notify()
			return
		}
	}
}

func (t *Table) expire(now time.Time) {
	for name, r := range t.targets {
		for host, until := range r.leases {
			if !now.Before(until) {
				delete(r.leases, host)
			}
		}
		if now.Sub(r.lastHeard) < forgetAfter {
			continue
		}
		if r.inFlight > 0 && now.Sub(r.lastHeard) < 2*time.Hour {
			continue // keeps the in-flight count: 2 h is longer than any request deadline
		}
		delete(t.targets, name)
		delete(t.byID, r.id)
		t.removeFromPool(r)
		t.stats.Expired++
	}
}

// Changed returns a channel that is closed at the next change that may free room
// on a target.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Get returns a copy of the target.
func (t *Table) Get(name string) (Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.targets[name]
	if !ok {
		return Target{}, false
	}
	return r.copy(), true
}

func (r *record) copy() Target {
	return Target{Announcement: r.Announcement, LastHeard: r.lastHeard, InFlight: r.inFlight, Adopted: r.adopted,
		Ejected: r.health.ejected, Cached: len(r.cache.positions)}
}

// All returns copies of all known targets, sorted by name.
func (t *Table) All() []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Target, 0, len(t.targets))
	for _, r := range t.targets {
		out = append(out, r.copy())
	}
	slices.SortFunc(out, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Pools returns the names of the pools that have targets, sorted.
func (t *Table) Pools() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.pools))
	for name := range t.pools {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Stats returns the counters.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}
