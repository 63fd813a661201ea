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
	// Retention is how long an entry counts after its last change.
	Retention = time.Hour
	// MaxEntries bounds the table; the entry that expires first gives way.
	MaxEntries = 4096
	// refuseAfter is the number of crashes after which a request is refused.
	refuseAfter = 2

	fingerprintBytes = 16
)

// crash identifies one crash of a target.
type crash struct {
	target      string
	incarnation uint64
}

type entry struct {
	crashes uint32
	changed time.Time
	expires time.Time
	// last is the latest crash that was counted, so that equal requests in one
	// crash count once.
	last crash
}

func (e *entry) refused() bool { return e.crashes >= refuseAfter }

// Table holds the suspect fingerprints. It does no I/O. Invariants: at most
// MaxEntries entries, and a refused fingerprint stays refused until it expires.
type Table struct {
	key []byte

	mu      sync.Mutex
	entries map[string]*entry
}

// NewTable returns an empty table; key makes the fingerprints unguessable.
func NewTable(key []byte) *Table { return &Table{key: key, entries: map[string]*entry{}} }

// Fingerprint identifies equal requests of a workspace.
func (t *Table) Fingerprint(workspace, path string, body []byte) string {
	mac := hmac.New(sha256.New, t.key)
	for _, part := range []string{workspace, path} {
		mac.Write([]byte(part))
		mac.Write([]byte{0})
	}
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil)[:fingerprintBytes])
}

// Check refuses a fingerprint that crashed targets twice.
func (t *Table) Check(now time.Time, fingerprint string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.live(now, fingerprint)
	if e == nil || !e.refused() {
		return nil
	}
	return refusal.New(refusal.CrashesTargets, refusal.NotRun,
		"equal requests crashed %d targets; this one is refused until %s", e.crashes, e.expires.UTC().Format(time.RFC3339))
}

// IsSuspect reports whether the next run must be alone on its target.
func (t *Table) IsSuspect(now time.Time, fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.live(now, fingerprint)
	return e != nil && e.crashes > 0
}

// RecordCrash counts a crash in which the request ran. It returns the changed
// entry for the other hosts, or nil when the crash was counted before.
func (t *Table) RecordCrash(now time.Time, fingerprint, target string, incarnation uint64) *suspectspb.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.live(now, fingerprint)
	if e == nil {
		e = t.add(fingerprint)
	}
	c := crash{target, incarnation}
	if e.last == c && e.crashes > 0 {
		return nil
	}
	e.last = c
	e.crashes++
	e.changed, e.expires = now, now.Add(Retention)
	return message(fingerprint, e)
}

// RecordCompletion clears a suspect that ran to a whole answer. It returns the changed
// entry, or nil when nothing changed.
func (t *Table) RecordCompletion(now time.Time, fingerprint string) *suspectspb.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.live(now, fingerprint)
	if e == nil || e.crashes == 0 || e.refused() {
		return nil
	}
	e.crashes, e.changed = 0, now
	return message(fingerprint, e)
}

// Merge takes entries of another host. A refusal wins over every other state,
// otherwise the newer entry does.
func (t *Table) Merge(now time.Time, in []*suspectspb.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range in {
		expires := time.UnixMilli(m.GetExpiresMs())
		if len(m.GetFingerprint()) != 2*fingerprintBytes || !now.Before(expires) || expires.Sub(now) > 2*Retention {
			continue
		}
		e := t.live(now, m.GetFingerprint())
		if e == nil {
			e = t.add(m.GetFingerprint())
		}
		changed := time.UnixMilli(m.GetChangedMs())
		worse := m.GetCrashes() >= refuseAfter && m.GetCrashes() > e.crashes
		if worse || (!e.refused() && changed.After(e.changed)) {
			e.crashes, e.changed, e.expires = m.GetCrashes(), changed, expires
		}
	}
}

// Entries returns all live entries in order of fingerprint.
func (t *Table) Entries(now time.Time) []*suspectspb.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*suspectspb.Entry, 0, len(t.entries))
	for fingerprint := range t.entries {
		if e := t.live(now, fingerprint); e != nil {
			out = append(out, message(fingerprint, e))
		}
	}
	slices.SortFunc(out, func(a, b *suspectspb.Entry) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Digest is equal on hosts with equal entries.
func (t *Table) Digest(now time.Time) uint64 {
	var digest uint64
	for _, e := range t.Entries(now) {
		digest ^= xxhash.Sum64String(e.Fingerprint) * uint64(e.Crashes+1)
	}
	return digest
}

// live returns the entry unless it has expired.
func (t *Table) live(now time.Time, fingerprint string) *entry {
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
		panic("suspects: table is over its bound")
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

func message(fingerprint string, e *entry) *suspectspb.Entry {
	return &suspectspb.Entry{Fingerprint: fingerprint, Crashes: e.crashes,
		ChangedMs: e.changed.UnixMilli(), ExpiresMs: e.expires.UnixMilli()}
}
