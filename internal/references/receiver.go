package references

import (
	"sync"
	"time"
)

// maxValues bounds the values that are kept of one sender. Beyond it all are forgotten, and
// told again as they are used.
const maxValues = 1 << 15

// Receiver keeps the values that other hosts have told, by their refs. It is safe for
// concurrent use.
type Receiver[V any] struct {
	mu      sync.Mutex
	senders map[string]*senderValues[V]
}

type senderValues[V any] struct {
	process uint64
	values  map[uint32]*keptValue[V]
	usedAt  time.Duration
	// sweptAt is when values that are no longer used were last forgotten.
	sweptAt time.Duration
}

type keptValue[V any] struct {
	value  V
	usedAt time.Duration
}

// NewReceiver returns a receiver without values.
func NewReceiver[V any]() *Receiver[V] {
	return &Receiver[V]{senders: map[string]*senderValues[V]{}}
}

// Put records the value of a ref of a process.
func (r *Receiver[V]) Put(now time.Duration, sender string, process uint64, ref uint32, value V) {
	if ref == 0 || process == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.senders[sender]
	if s == nil || s.process != process || len(s.values) >= maxValues {
		s = &senderValues[V]{process: process, values: map[uint32]*keptValue[V]{}, sweptAt: now}
		r.senders[sender] = s
	}
	s.usedAt = now
	s.values[ref] = &keptValue[V]{value, now}
}

// Get returns the value of a ref of a process.
func (r *Receiver[V]) Get(now time.Duration, sender string, process uint64, ref uint32) (value V, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.senders[sender]
	if s == nil || s.process != process {
		return value, false
	}
	s.usedAt = now
	kept := s.values[ref]
	if kept == nil {
		return value, false
	}
	kept.usedAt = now
	return kept.value, true
}

// Prune forgets what was not used for the retention.
func (r *Receiver[V]) Prune(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.senders {
		if now-s.usedAt > retention {
			delete(r.senders, name)
			continue
		}
		if now-s.sweptAt < retention/4 {
			continue
		}
		s.sweptAt = now
		for ref, kept := range s.values {
			if now-kept.usedAt > retention {
				delete(s.values, ref)
			}
		}
	}
}

// Len returns the number of values that are kept.
func (r *Receiver[V]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.senders {
		n += len(s.values)
	}
	return n
}
