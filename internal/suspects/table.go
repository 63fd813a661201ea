package suspects

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/suspects/suspectspb"
)

const (
	// Retention is how long an entry is kept after its last crash.
	Retention = time.Hour
	// MaxEntries limits the table; beyond it, the entry that expires first is evicted.
	MaxEntries = 4096
	// maxCrashes is the number of crashes after which a request is refused.
	maxCrashes = 2

	fingerprintBytes = 16
)

// crashID identifies one crash of a target.
type crashID struct {
	target      string
	incarnation uint64
}

type entry struct {
	crashes uint32
	changed time.Time
	expires time.Time
	// lastCrash is the crash that was counted last. A crash counts once, even if
	// several equal requests were running on the target.
	lastCrash crashID
}

func (e *entry) refused() bool { return e.crashes >= maxCrashes }

// Table counts the crashes of each suspect fingerprint. It does no I/O.
// Invariants: it has at most MaxEntries entries, and a refused fingerprint stays
// refused until its entry expires or is evicted.
type Table struct {
	key []byte

	mu      sync.Mutex
	entries map[string]*entry
}

// NewTable returns an empty table. key is the HMAC key of the fingerprints, which
// cannot be guessed without it.
func NewTable(key []byte) *Table { return &Table{key: key, entries: map[string]*entry{}} }

// Fingerprint returns the keyed digest of workspace, path and body, which is the same
// for equal requests.
func (t *Table) Fingerprint(workspace, path string, body []byte) string {
	mac := hmac.New(sha256.New, t.key)
	for _, field := range []string{workspace, path} {
		mac.Write([]byte(field))
		mac.Write([]byte{0})
	}
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil)[:fingerprintBytes])
}

// Check returns a *refusal.Error for a fingerprint that crashed targets twice.
func (t *Table) Check(now time.Time, fingerprint string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.unexpired(now, fingerprint)
	if e == nil || !e.refused() {
		return nil
	}
	return refusal.New(refusal.CrashesTargets, refusal.NotRun,
		"equal requests crashed %d targets; this one is refused until %s", e.crashes, e.expires.UTC().Format(time.RFC3339))
}

// IsSuspect reports whether the next run of the request must have a target to
// itself.
func (t *Table) IsSuspect(now time.Time, fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.unexpired(now, fingerprint)
	return e != nil && e.crashes > 0
}

// RecordCrash counts a crash of a target on which the request was running. It
// returns the changed entry for the other hosts, or nil if the crash was counted
// before.
func (t *Table) RecordCrash(now time.Time, fingerprint, target string, incarnation uint64) *suspectspb.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.unexpired(now, fingerprint)
	if e == nil {
		e = t.add(fingerprint)
	}
	id := crashID{target, incarnation}
	if e.lastCrash == id && e.crashes > 0 {
		return nil
	}
	e.lastCrash = id
	e.crashes++
	e.changed, e.expires = now, now.Add(Retention)
	return entryMessage(fingerprint, e)
}

// RecordCompletion clears a suspect request that got a complete response. It
// returns the changed entry, or nil if nothing changed. A refused request is not
// cleared.
func (t *Table) RecordCompletion(now time.Time, fingerprint string) *suspectspb.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.unexpired(now, fingerprint)
	if e == nil || e.crashes == 0 || e.refused() {
		return nil
	}
	e.crashes, e.changed = 0, now
	return entryMessage(fingerprint, e)
}

// Merge applies entries of another host. An entry that refuses its fingerprint
// takes precedence; among others the last changed one wins. Invalid and expired
// entries are ignored.
func (t *Table) Merge(now time.Time, entries []*suspectspb.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range entries {
		expires := time.UnixMilli(m.GetExpiresMs())
		if len(m.GetFingerprint()) != 2*fingerprintBytes || !now.Before(expires) || expires.Sub(now) > 2*Retention {
			continue
		}
		e := t.unexpired(now, m.GetFingerprint())
		if e == nil {
			e = t.add(m.GetFingerprint())
		}
		changed := time.UnixMilli(m.GetChangedMs())
		higherRefusal := m.GetCrashes() >= maxCrashes && m.GetCrashes() > e.crashes
		if higherRefusal || (!e.refused() && changed.After(e.changed)) {
			e.crashes, e.changed, e.expires = m.GetCrashes(), changed, expires
		}
	}
}

// Entries returns the entries that have not expired, sorted by fingerprint.
func (t *Table) Entries(now time.Time) []*suspectspb.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*suspectspb.Entry, 0, len(t.entries))
	for fingerprint := range t.entries {
		if e := t.unexpired(now, fingerprint); e != nil {
			out = append(out, entryMessage(fingerprint, e))
		}
	}
	slices.SortFunc(out, func(a, b *suspectspb.Entry) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Digest returns a digest of fingerprints and crash counts. Hosts with equal entries
// have equal digests.
func (t *Table) Digest(now time.Time) uint64 {
	var digest uint64
	for _, e := range t.Entries(now) {
		digest ^= xxhash.Sum64String(e.Fingerprint) * uint64(e.Crashes+1)
	}
	return digest
}

// unexpired returns the entry of the fingerprint, or nil. It deletes an expired
// entry.
func (t *Table) unexpired(now time.Time, fingerprint string) *entry {
	e := t.entries[fingerprint]
	if e != nil && !e.expires.IsZero() && !now.Before(e.expires) {
		delete(t.entries, fingerprint)
		return nil
	}
	return e
}

func (t *Table) add(fingerprint string) *entry {
	if len(t.entries) >= MaxEntries {
		t.evict()
	}
	e := &entry{}
	t.entries[fingerprint] = e
	if len(t.entries) > MaxEntries {
		panic("suspects: table has more than MaxEntries entries")
	}
	return e
}

// evict removes the entry that expires first.
func (t *Table) evict() {
	first := ""
	for fingerprint, e := range t.entries {
		if first == "" || e.expires.Before(t.entries[first].expires) {
			first = fingerprint
		}
	}
	delete(t.entries, first)
}

func entryMessage(fingerprint string, e *entry) *suspectspb.Entry {
	return &suspectspb.Entry{Fingerprint: fingerprint, Crashes: e.crashes,
		ChangedMs: e.changed.UnixMilli(), ExpiresMs: e.expires.UnixMilli()}
}
