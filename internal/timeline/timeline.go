package timeline

import (
	"sort"
	"sync"

	"geraniumturn.example/geraniumturn/internal/clock"
)

// Event is one entry of the timeline.
type Event struct {
	Stamp     clock.Stamp `json:"stamp"`
	Host      string      `json:"host"`
	Kind      string      `json:"kind"`
	Request   string      `json:"request,omitempty"`
	Workspace string      `json:"workspace,omitempty"`
	Target    string      `json:"target,omitempty"`
	Revision  uint64      `json:"revision,omitempty"`
	Detail    string      `json:"detail,omitempty"`
}

// Filter selects events. An empty field matches every event.
type Filter struct {
	Request   string
	Workspace string
	Target    string
	Kind      string
	Revision  uint64
}

// Match reports whether e passes the filter.
func (f Filter) Match(e Event) bool {
	return matches(f.Request, e.Request) && matches(f.Workspace, e.Workspace) &&
		matches(f.Target, e.Target) && matches(f.Kind, e.Kind) &&
		(f.Revision == 0 || f.Revision == e.Revision)
}

func matches(want, have string) bool { return want == "" || want == have }

// Log is the ring buffer of events of one process. When it is full, the oldest event
// is overwritten.
type Log struct {
	host  string
	hlc   *clock.HLC
	mu    sync.Mutex
	ring  []Event
	next  int
	count uint64
}

// New returns a log that keeps the last capacity events.
func New(host string, hlc *clock.HLC, capacity int) *Log {
	return &Log{host: host, hlc: hlc, ring: make([]Event, 0, capacity)}
}

// Record sets the host and the timestamp of an event and stores it.
func (l *Log) Record(e Event) {
	e.Host = l.host
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Stamp = l.hlc.Now()
	l.count++
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.next] = e
	l.next = (l.next + 1) % len(l.ring)
}

// Events returns the stored events that pass the filter, oldest first.
func (l *Log) Events(f Filter) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Event{}
	for i := range l.ring {
		e := l.ring[(l.next+i)%len(l.ring)]
		if f.Match(e) {
			out = append(out, e)
		}
	}
	return out
}

// Merge combines the events of several processes in causal order. Events with equal
// timestamps are concurrent and are ordered by host name.
func Merge(lists ...[]Event) []Event {
	var all []Event
	for _, l := range lists {
		all = append(all, l...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].Stamp != all[j].Stamp {
			return all[i].Stamp.Before(all[j].Stamp)
		}
		return all[i].Host < all[j].Host
	})
	return all
}
