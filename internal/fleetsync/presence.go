package fleetsync

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
)

const (
	// entryTimeout is the time without a report after which an entry host is no longer
	// returned to callers. It tolerates a few lost exchanges.
	entryTimeout = 1800 * time.Millisecond
	// entryRetention is how long an entry host without reports stays in the table.
	entryRetention = time.Minute
	// controlRetention is how long a control host stays listed after it was last heard
	// from.
	controlRetention = time.Minute
	// liveControlTimeout is the time without a call or response after which a control host
	// gets no targets. It tolerates one lost report.
	liveControlTimeout = 2 * roundsPerPresenceReport * relayInterval
)

// Presence is a control host's table of the entry and control hosts that were heard from
// recently.
type Presence struct {
	mu            sync.Mutex
	entries       map[string]*entryRecord   // by name
	controls      map[string]*controlRecord // by peer address
	directEntries map[string]bool           // entry hosts that reported to this host since the last relay
	// changedEntries are those of directEntries that started, that began or stopped
	// serving, or that lost or regained the path to their targets.
	changedEntries map[string]bool
	changed        chan struct{} // buffered; receives when changedEntries becomes non-empty
	listed         listedEntries // the last result of Entries
	hostTable
}

type entryRecord struct {
	host    *syncpb.EntryHost
	heardAt time.Duration
	// revision is the position in the table of the last change that sameEntry shows, place
	// that of the host among those of its region.
	revision uint64
	place    int
	// chosenAt is the position at which it was last chosen for hosts of other regions.
	chosenAt uint64
}

type controlRecord struct {
	host    *syncpb.ControlHost
	heardAt time.Duration
}

// NewPresence returns an empty table.
func NewPresence() *Presence {
	return &Presence{entries: map[string]*entryRecord{}, controls: map[string]*controlRecord{}, directEntries: map[string]bool{},
		changedEntries: map[string]bool{}, changed: make(chan struct{}, 1), hostTable: newHostTable()}
}

// RecordEntry adds or updates an entry host that reported at heardAt. direct means that
// it reported to this control host. A report that is older than the recorded one, or
// from an earlier process of the host, is ignored.
func (p *Presence) RecordEntry(heardAt time.Duration, h *syncpb.EntryHost, direct bool) {
	if h.GetName() == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.entries[h.GetName()]
	if old != nil && (h.GetStarted() < old.host.GetStarted() || h.GetStarted() == old.host.GetStarted() && heardAt < old.heardAt) {
		return
	}
	e := &entryRecord{host: h, heardAt: heardAt}
	p.entries[h.GetName()] = e
	p.placeEntry(e, old)
	if !direct {
		return
	}
	p.directEntries[h.GetName()] = true
	if old == nil || old.host.GetStarted() != h.GetStarted() || old.host.GetServing() != h.GetServing() || old.host.GetDetached() != h.GetDetached() {
		p.changedEntries[h.GetName()] = true
		select {
		case p.changed <- struct{}{}:
		default:
		}
	}
}

// Entries returns the entry hosts that reported within entryTimeout, sorted by name. Callers
// share the list and must not change it.
func (p *Presence) Entries(now time.Duration) []*syncpb.EntryHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.listed; l.hosts == nil || l.revision != p.revision || now < l.at || now-l.at > listInterval {
		hosts := p.heardWithin(now, entryTimeout)
		p.listed = listedEntries{viewKey{now, p.revision}, hosts}
	}
	return p.listed.hosts
}

// listInterval is the time for which the responses of the directory share one list of entry
// hosts. A host that starts or stops serving makes a new list at once.
const listInterval = 50 * time.Millisecond

type listedEntries struct {
	viewKey
	hosts []*syncpb.EntryHost
}

// entriesHeardWithin returns the entry hosts that reported within a time, sorted by
// name. It also removes entry hosts whose retention has ended.
func (p *Presence) entriesHeardWithin(now, within time.Duration) []*syncpb.EntryHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heardWithin(now, within)
}

// heardWithin is entriesHeardWithin with p.mu held.
func (p *Presence) heardWithin(now, within time.Duration) []*syncpb.EntryHost {
	var out []*syncpb.EntryHost
	for name, e := range p.entries {
		if now-e.heardAt > entryRetention {
			p.removeEntry(now, name)
			continue
		}
		if now-e.heardAt <= within {
			out = append(out, copyWithAge(e, now))
		}
	}
	slices.SortFunc(out, func(a, b *syncpb.EntryHost) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}

// lacksPaceLease reports whether a host of the region that may still send requests limits
// those to cold targets by what it knows of the other hosts, as earlier builds do.
func (p *Presence) lacksPaceLease(now time.Duration, region string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.entries {
		if e.host.GetRegion() == region && !e.host.GetPaceLease() && now-e.heardAt <= entryRetention {
			return true
		}
	}
	return false
}

func copyWithAge(e *entryRecord, now time.Duration) *syncpb.EntryHost {
	h := e.host
	return &syncpb.EntryHost{Name: h.GetName(), DataCentre: h.GetDataCentre(), Region: h.GetRegion(), Front: h.GetFront(),
		Forward: h.GetForward(), Started: h.GetStarted(), Serving: h.GetServing(), Loads: h.GetLoads(), Peer: h.GetPeer(), Detached: h.GetDetached(), UsageRelay: h.GetUsageRelay(), PaceLease: h.GetPaceLease(), Documents: h.GetDocuments(), HeardMs: (now - e.heardAt).Milliseconds()}
}

// Len returns the number of entry hosts, with those that are silent.
func (p *Presence) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.entries)
}

// TakeDirectEntries returns the entry hosts that reported to this host since the last
// call of TakeDirectEntries.
func (p *Presence) TakeDirectEntries(now time.Duration) []*syncpb.EntryHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.changedEntries)
	return p.take(now, p.directEntries)
}

// TakeChangedEntries returns the entry hosts that reported to this host since the last
// call of either method that one of the states in changedEntries has changed.
func (p *Presence) TakeChangedEntries(now time.Duration) []*syncpb.EntryHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.take(now, p.changedEntries)
}

// entriesOf returns the entry hosts with these names.
func (p *Presence) entriesOf(now time.Duration, names []string) []*syncpb.EntryHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*syncpb.EntryHost
	for _, name := range names {
		if e := p.entries[name]; e != nil {
			out = append(out, copyWithAge(e, now))
		}
	}
	return out
}

// sameEntry reports whether two reports of an entry host differ in nothing but what changes
// all the time.
func sameEntry(a, b *syncpb.EntryHost) bool {
	return a.GetName() == b.GetName() && a.GetDataCentre() == b.GetDataCentre() && a.GetRegion() == b.GetRegion() && a.GetFront() == b.GetFront() &&
		a.GetForward() == b.GetForward() && a.GetPeer() == b.GetPeer() && a.GetStarted() == b.GetStarted() && a.GetServing() == b.GetServing() &&
		a.GetDetached() == b.GetDetached() && a.GetUsageRelay() == b.GetUsageRelay() && a.GetPaceLease() == b.GetPaceLease()
}

// take returns the entry hosts with these names and clears the names. p.mu must be held.
func (p *Presence) take(now time.Duration, names map[string]bool) []*syncpb.EntryHost {
	var out []*syncpb.EntryHost
	for name := range names {
		if e := p.entries[name]; e != nil {
			out = append(out, copyWithAge(e, now))
		}
	}
	clear(names)
	return out
}

// RecordControl adds or updates a control host. direct means that h itself called or
// responded. An entry that was only relayed by another host, or is a seed, does not renew
// the time at which h was last heard from, unless h is new.
func (p *Presence) RecordControl(now time.Duration, h *syncpb.ControlHost, direct bool) {
	if h.GetPeer() == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.controls[h.GetPeer()]
	if old == nil || direct || old.host.GetRegion() == "" {
		heardAt := now
		if old != nil && !direct {
			heardAt = old.heardAt
		}
		p.controls[h.GetPeer()] = &controlRecord{h, heardAt}
	}
}

// controlRegion returns the region of a control host, or "" while it is unknown.
func (p *Presence) controlRegion(peer string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.controls[peer]; c != nil {
		return c.host.GetRegion()
	}
	return ""
}

// LiveControls returns the control hosts that were heard from within liveControlTimeout.
func (p *Presence) LiveControls(now time.Duration) []*syncpb.ControlHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*syncpb.ControlHost
	for _, c := range p.controls {
		if now-c.heardAt <= liveControlTimeout {
			out = append(out, c.host)
		}
	}
	return out
}

// Controls returns the control hosts that were heard from within controlRetention,
// sorted by address.
func (p *Presence) Controls(now time.Duration) []*syncpb.ControlHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*syncpb.ControlHost
	for _, c := range p.controls {
		if now-c.heardAt <= controlRetention {
			out = append(out, c.host)
		}
	}
	slices.SortFunc(out, func(a, b *syncpb.ControlHost) int { return cmp.Compare(a.GetPeer(), b.GetPeer()) })
	return out
}
