package departures

import (
	"sync"
	"time"

	"geraniumturn.example/geraniumturn/internal/registry"
)

// retryDelay is the time after a failed call, or a failed write, before the next one.
const retryDelay = 150 * time.Millisecond

// Table is the table of targets of this host.
type Table interface {
	// Departures returns the records of the targets that are draining or have left and that
	// changed after a revision, and the revision of the table.
	Departures(after uint64) ([]registry.Record, uint64)
}

// Control is a control host.
type Control struct {
	Address string
	// Region is "" while it is unknown.
	Region string
}

// Call tells another control host of departures. The host responds when it has stored them.
type Call struct {
	Address string
	Records []registry.Record
	// after and revision are the positions in the table between which the records are.
	after, revision uint64
}

// Write stores departures, in place of all that were stored before.
type Write struct {
	Records  []registry.Record
	revision uint64
}

// Ledger records which hosts have stored which departures of a table. It is safe for
// concurrent use.
type Ledger struct {
	table     Table
	self      Control
	lostDisks int

	mu      sync.Mutex
	peers   map[string]*peer // by address
	stored  uint64           // revision up to which this host's disk has the departures
	writing bool
	// nextWrite is when a write may be tried again after a failure.
	nextWrite time.Duration
	changed   chan struct{} // closed when a host has stored more
}

type peer struct {
	region string
	// process is the process of the host that responded last, stored the revision up to
	// which it has stored the departures.
	process, stored uint64
	calling         bool
	nextCall        time.Duration
}

// NewLedger returns the ledger of a table whose departures are not stored anywhere yet.
func NewLedger(table Table, self Control, lostDisks int) *Ledger {
	return &Ledger{table: table, self: self, lostDisks: lostDisks, peers: map[string]*peer{}, changed: make(chan struct{})}
}

// NextWrite returns the write that is due, if any. Only one is in progress at a time; Written
// ends it. What arrives meanwhile is part of the next one.
func (l *Ledger) NextWrite(now time.Duration) (w Write, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writing || now < l.nextWrite {
		return Write{}, false
	}
	if newer, revision := l.table.Departures(l.stored); len(newer) == 0 {
		l.advance(&l.stored, revision)
		return Write{}, false
	}
	w.Records, w.revision = l.table.Departures(0)
	l.writing = true
	return w, true
}

// Written records the end of a write.
func (l *Ledger) Written(now time.Duration, w Write, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writing = false
	if err != nil {
		l.nextWrite = now + retryDelay
		return
	}
	l.advance(&l.stored, w.revision)
}

// NextCalls returns the calls that are due to the other control hosts. One call to each host
// is in progress at a time; Called ends it. Hosts that are no longer listed are forgotten.
func (l *Ledger) NextCalls(now time.Duration, controls []Control) []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := map[string]bool{}
	var calls []Call
	for _, c := range controls {
		if c.Address == l.self.Address {
			continue
		}
		listed[c.Address] = true
		p := l.peer(c.Address)
		if c.Region != "" {
			p.region = c.Region
		}
		if p.calling || now < p.nextCall {
			continue
		}
		records, revision := l.table.Departures(p.stored)
		if len(records) == 0 {
			l.advance(&p.stored, revision)
			continue
		}
		p.calling = true
		calls = append(calls, Call{Address: c.Address, Records: records, after: p.stored, revision: revision})
	}
	for address, p := range l.peers {
		if !listed[address] && !p.calling {
			delete(l.peers, address)
		}
	}
	return calls
}

func (l *Ledger) peer(address string) *peer {
	p := l.peers[address]
	if p == nil {
		p = &peer{}
		l.peers[address] = p
	}
	return p
}

// Called records the end of a call. process identifies the process that responded.
func (l *Ledger) Called(now time.Duration, c Call, process uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(c.Address)
	p.calling = false
	if err != nil {
		p.nextCall = now + retryDelay
		return
	}
	l.observe(p, process)
	if c.after <= p.stored {
		l.advance(&p.stored, c.revision)
	}
}

// Observe records which process of another control host has responded to a call of another
// kind.
func (l *Ledger) Observe(address string, process uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[address]; p != nil {
		l.observe(p, process)
	}
}

// observe makes a new process of a host be told everything: its disk may be lost.
func (l *Ledger) observe(p *peer, process uint64) {
	if p.process != process {
		p.process, p.stored = process, 0
	}
}

// Held reports whether the departures up to a revision may be acknowledged: whether as many
// hosts have stored them as the loss of LostDisks disks requires, and hosts of two regions if
// the members of the replicated log are in several. members are those hosts, as agreed, so
// that a host which reaches no other does not take itself for the only one.
func (l *Ledger) Held(revision uint64, members []Control) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	holders, regions := 0, map[string]bool{}
	if l.stored >= revision {
		holders++
		regions[l.self.Region] = true
	}
	for _, p := range l.peers {
		if p.stored >= revision {
			holders++
			regions[p.region] = true
		}
	}
	memberRegions := map[string]bool{}
	for _, m := range members {
		if m.Region != "" {
			memberRegions[m.Region] = true
		}
	}
	return holders >= min(l.lostDisks+1, max(1, len(members))) && len(regions) >= min(2, len(memberRegions))
}

// Stored reports whether the disk of this host has the departures up to a revision.
func (l *Ledger) Stored(revision uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stored >= revision
}

// Changed returns a channel that is closed when a host has stored more.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// advance raises the revision up to which a host has stored the departures. l.mu must be
// held.
func (l *Ledger) advance(stored *uint64, revision uint64) {
	if revision > *stored {
		*stored = revision
		close(l.changed)
		l.changed = make(chan struct{})
	}
}
