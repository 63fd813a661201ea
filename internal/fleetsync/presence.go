package fleetsync

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
)

const (
	// entrySilence is the silence after which an entry host is not named to
	// callers. It covers a few lost exchanges.
	entrySilence = 1800 * time.Millisecond
	// entryMemory is how long a silent entry host is remembered.
	entryMemory = time.Minute
	// controlMemory is how long a control host that nobody hears is remembered.
	controlMemory = time.Minute
)

// Presence is what a control host knows of the hosts that are alive.
type Presence struct {
	mu       sync.Mutex
	entries  map[string]*entrySeen
	controls map[string]*controlSeen // by peer address
	fresh    map[string]bool         // entry hosts that called here since the last relay
}

type entrySeen struct {
	host  *syncpb.EntryHost
	heard time.Duration
}

type controlSeen struct {
	host  *syncpb.ControlHost
	heard time.Duration
}

// NewPresence returns an empty table.
func NewPresence() *Presence {
	return &Presence{entries: map[string]*entrySeen{}, controls: map[string]*controlSeen{}, fresh: map[string]bool{}}
}

// RecordEntry notes an entry host that was heard of at a time. A report of an earlier
// process of the host changes nothing.
func (p *Presence) RecordEntry(heard time.Duration, h *syncpb.EntryHost, direct bool) {
	if h.GetName() == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.entries[h.GetName()]
	if old != nil && (h.GetStarted() < old.host.GetStarted() || h.GetStarted() == old.host.GetStarted() && heard < old.heard) {
		return
	}
	p.entries[h.GetName()] = &entrySeen{h, heard}
	if direct {
		p.fresh[h.GetName()] = true
	}
}

// Entries returns the entry hosts that were heard of lately, by name.
func (p *Presence) Entries(now time.Duration) []*syncpb.EntryHost {
	return p.entriesHeard(now, entrySilence)
}

// entriesHeard returns the entry hosts that were heard of within a time, by name.
func (p *Presence) entriesHeard(now, within time.Duration) []*syncpb.EntryHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*syncpb.EntryHost
	for name, e := range p.entries {
		if now-e.heard > entryMemory {
			delete(p.entries, name)
			continue
		}
		if now-e.heard <= within {
			out = append(out, withAge(e, now))
		}
	}
	slices.SortFunc(out, func(a, b *syncpb.EntryHost) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}

func withAge(e *entrySeen, now time.Duration) *syncpb.EntryHost {
	h := e.host
	return &syncpb.EntryHost{Name: h.GetName(), DataCentre: h.GetDataCentre(), Region: h.GetRegion(), Front: h.GetFront(),
		Forward: h.GetForward(), Started: h.GetStarted(), Serving: h.GetServing(), Loads: h.GetLoads(), Peer: h.GetPeer(), HeardMs: (now - e.heard).Milliseconds()}
}

// TakeDirectEntries returns the entry hosts that called this host since the last call.
func (p *Presence) TakeDirectEntries(now time.Duration) []*syncpb.EntryHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*syncpb.EntryHost
	for name := range p.fresh {
		if e := p.entries[name]; e != nil {
			out = append(out, withAge(e, now))
		}
	}
	clear(p.fresh)
	return out
}

// RecordControl notes a control host. An address that is only passed on does not count
// as heard, unless it is new.
func (p *Presence) RecordControl(now time.Duration, h *syncpb.ControlHost, direct bool) {
	if h.GetPeer() == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.controls[h.GetPeer()]
	if old == nil || direct || old.host.GetRegion() == "" {
		heard := now
		if old != nil && !direct {
			heard = old.heard
		}
		p.controls[h.GetPeer()] = &controlSeen{h, heard}
	}
}

// Controls returns the control hosts that were heard of lately, by address.
func (p *Presence) Controls(now time.Duration) []*syncpb.ControlHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*syncpb.ControlHost
	for _, c := range p.controls {
		if now-c.heard <= controlMemory {
			out = append(out, c.host)
		}
	}
	slices.SortFunc(out, func(a, b *syncpb.ControlHost) int { return cmp.Compare(a.GetPeer(), b.GetPeer()) })
	return out
}
