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
	// MaxTargets bounds the table: the largest data centre of the target size
	// has fewer than 400 targets.
	MaxTargets = 1024
	// forgetAfter is how long a silent target is remembered, so that late
	// announcements of an older incarnation are still recognised.
	forgetAfter = 2 * time.Minute
	// peerLoadLimit is how long the in-flight counts of another host count
	// without renewal.
	peerLoadLimit = 10 * time.Second
	// othersWeight is the weight of the newest report in othersMean.
	othersWeight = 0.3
	// maxPeerHosts bounds the other hosts whose counts are kept per target.
	maxPeerHosts = 64
)

// Target is a known target.
type Target struct {
	Announcement
	// Heard is when the last announcement arrived, less its age on the way.
	Heard time.Time
	// InFlight is the number of requests that this host runs on the target.
	InFlight int
	// Adopted is true for a target of another data centre that announces itself
	// here because it reaches no host of its own.
	Adopted bool
	// Ejected is true while the target gets probes only.
	Ejected bool
	// Cached is the number of prefixes in its index.
	Cached int
}

// record is the table's own entry of a target.
type record struct {
	Announcement
	id      uint32 // digest of the name, for compact messages
	state   uint64 // digest of all but the load
	heard   time.Time
	adopted bool
	// direct is true when the last announcement came from the target itself.
	direct bool

	// inFlight counts this host's requests per incarnation, so that ends of
	// requests on an earlier incarnation do not disturb the current count.
	inFlight int
	earlier  map[uint64]int
	// ownBefore is inFlight when the report before the last one arrived.
	ownBefore, ownAtReport int
	// unexplained holds, for the last reports, the load that no host claims.
	unexplained [3]int
	// othersMean is a moving average of the load that is not this host's own.
	othersMean float64
	// tokensSince are the tokens of requests begun here since the last report.
	tokensSince int64
	peers       map[string]peerLoad
	leases      map[string]time.Time // by host, until
	// leavingSince is when this host learnt that the target leaves.
	leavingSince time.Time
	// slowFrom is when the slow start began.
	slowFrom time.Time
	hasKV    bool
	health   health
	cache    cacheIndex
}

type peerLoad struct {
	inFlight int
	heard    time.Time
}

// Table is the set of known targets: those of this data centre and adopted
// ones. It does no I/O; callers pass the time.
type Table struct {
	host       string
	dataCentre string

	mu      sync.Mutex
	targets map[string]*record
	byID    map[uint32]*record
	pools   map[string][]*record // in order of name
	changed chan struct{}
	stats   Stats
}

// Stats counts what the table did. NegativeInFlight and LeavingWork are broken
// invariants: an End without Begin, and work begun on a target that has been
// leaving for longer than SilenceLimit.
type Stats struct {
	Stale, Full, Ejections, Returns, CacheGaps, Expired, NegativeInFlight, LeavingWork int64
}

// NewTable returns an empty table of a host in the data centre.
func NewTable(host, dataCentre string) *Table {
	return &Table{host: host, dataCentre: dataCentre, targets: map[string]*record{}, byID: map[uint32]*record{},
		pools: map[string][]*record{}, changed: make(chan struct{})}
}

// Announce takes an announcement that the target itself sent to this host. It
// reports whether it says something that other hosts must learn at once.
func (t *Table) Announce(now time.Time, a Announcement) (urgent bool, err error) {
	return t.announce(now, a, 0, true)
}

// announce takes an announcement that came from the target directly, or that
// another host received age ago. The age keeps relayed announcements from
// prolonging the life of a silent target.
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
		return false, fmt.Errorf("%w: %s has incarnation %d, not %d", ErrStale, a.Name, old.Incarnation, a.Incarnation)
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
		return fmt.Errorf("%w: no room for %s", ErrFull, a.Name)
	}
	r := &record{Announcement: a, id: id, state: a.identity(), heard: heard, direct: direct, adopted: a.DataCentre != t.dataCentre,
		slowFrom: heard.Add(-time.Duration(min(a.Sequence-1, 3600)) * AnnounceInterval), hasKV: a.FreeKVTokens > 0}
	r.unexplained = [3]int{a.Running + a.Queued, a.Running + a.Queued, a.Running + a.Queued}
	r.noteLeaving(now, false)
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
	silence := heard.Sub(r.heard)
	switch {
	case restarted:
		r.restart(now, a)
	case silence >= SilenceLimit && a.Sequence-r.Sequence < uint64(silence/AnnounceInterval):
		// The target itself was away. Had only the path to it failed, its
		// sequence would have gone on.
		r.slowFrom = now
	}
	state, wasLeaving := a.identity(), r.Leaving && !restarted
	urgent = restarted || state != r.state || silence >= SilenceLimit
	if r.Pool != a.Pool {
		t.removeFromPool(r)
		r.Announcement = a
		t.addToPool(r)
	}
	r.Announcement, r.state, r.adopted, r.direct = a, state, a.DataCentre != t.dataCentre, direct
	r.noteLeaving(now, wasLeaving)
	r.setHeard(now, heard)
	r.hasKV = r.hasKV || a.FreeKVTokens > 0
	t.notify()
	return urgent
}

func (r *record) noteLeaving(now time.Time, was bool) {
	if r.Leaving && !was {
		r.leavingSince = now
	}
}

// restart forgets what was known of the earlier incarnation.
func (r *record) restart(now time.Time, a Announcement) {
	if r.inFlight > 0 {
		if r.earlier == nil {
			r.earlier = map[uint64]int{}
		}
		r.earlier[r.Incarnation] = r.inFlight
	}
	r.inFlight, r.ownBefore, r.ownAtReport, r.tokensSince, r.hasKV = 0, 0, 0, 0, false
	r.unexplained, r.othersMean = [3]int{}, 0
	r.peers = nil
	r.slowFrom = now.Add(-time.Duration(min(a.Sequence-1, 3600)) * AnnounceInterval)
	r.health.reset()
	r.cache = cacheIndex{}
}

// setHeard notes a new report. The report describes the load of LagMS ago, so
// it is compared with what this host had in flight about then.
func (r *record) setHeard(now, heard time.Time) {
	r.heard = heard
	r.ownBefore, r.ownAtReport = r.ownAtReport, r.inFlight
	own := r.ownAtReport
	if time.Duration(r.LagMS)*time.Millisecond > AnnounceInterval/2 {
		own = r.ownBefore
	}
	copy(r.unexplained[1:], r.unexplained[:])
	r.unexplained[0] = max(r.Running+r.Queued-own-r.peerLoad(now), 0)
	r.othersMean += othersWeight * (float64(r.others(now)) - r.othersMean)
	r.tokensSince = 0
}

func (r *record) peerLoad(now time.Time) int {
	sum := 0
	for _, p := range r.peers {
		if now.Sub(p.heard) < peerLoadLimit {
			sum += p.inFlight
		}
	}
	return sum
}

// ApplyCacheEvent takes a cache event of a target.
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

// indexLimit is the largest index that one target may have. It is a power of
// two, so that it seldom changes.
func (t *Table) indexLimit() int {
	share := maxIndexTotal / max(len(t.targets), 1)
	return min(maxIndexBlocks, 1<<(bits.Len(uint(share))-1))
}

func (t *Table) trimCaches() {
	limit := t.indexLimit()
	for _, r := range t.targets {
		if len(r.cache.ring) > limit {
			r.cache.drop()
		}
	}
}

// Begin counts a request that this host starts on the target. Tokens is the
// cache room that it needs; prefixes will be cached there.
func (t *Table) Begin(now time.Time, name string, incarnation uint64, tokens int64, prefixes []uint64) (probe bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.targets[name]
	if !ok || r.Incarnation != incarnation {
		return false
	}
	if r.Leaving && now.Sub(r.leavingSince) >= SilenceLimit {
		t.stats.LeavingWork++ // invariant G11
	}
	r.inFlight++
	r.tokensSince += tokens
	limit := t.indexLimit()
	for _, p := range prefixes {
		r.cache.add(p, limit)
	}
	if r.health.ejected && !r.health.probing && now.Sub(r.health.claimed) < probeClaim {
		r.health.probing = true
		return true
	}
	return false
}

// End counts a request that ended and what it showed.
func (t *Table) End(now time.Time, name string, incarnation uint64, result Result, probe bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.targets[name]
	if !ok {
		return
	}
	if r.Incarnation != incarnation {
		if r.earlier[incarnation]--; r.earlier[incarnation] <= 0 {
			delete(r.earlier, incarnation)
		}
		return
	}
	if r.inFlight == 0 {
		t.stats.NegativeInFlight++ // an End without Begin: a bug of the caller
	} else {
		r.inFlight--
	}
	was := r.health.ejected
	if r.health.record(now, result, probe) {
		r.slowFrom = now
		t.stats.Returns++
	}
	if !was && r.health.ejected {
		t.stats.Ejections++
	}
	t.notify()
}

// Tick expires targets and wakes waiters of changes that come with time. Call
// it a few times a second.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for _, r := range t.targets {
		if r.health.ejected || now.Sub(r.slowFrom) < 20*slowStartStep || len(r.leases) > 0 {
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
		if now.Sub(r.heard) < forgetAfter {
			continue
		}
		if r.inFlight > 0 && now.Sub(r.heard) < 2*time.Hour {
			continue // longer than any deadline, so that the count is kept
		}
		delete(t.targets, name)
		delete(t.byID, r.id)
		t.removeFromPool(r)
		t.stats.Expired++
	}
}

// Changed returns a channel that is closed at the next change that may give
// room on some target.
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
	return Target{Announcement: r.Announcement, Heard: r.heard, InFlight: r.inFlight, Adopted: r.adopted,
		Ejected: r.health.ejected, Cached: len(r.cache.blocks)}
}

// All returns copies of all known targets, in order of name.
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

// Pools returns the names of the pools that have targets, in order.
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
