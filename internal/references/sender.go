package references

import (
	"sync"
	"time"
)

// retention is how long a value that is not used stays known. It exceeds the time for which
// a host may be cut off or frozen and then go on as before.
const retention = 2 * time.Minute

// Sender numbers the values that a host tells others. It is safe for concurrent use.
type Sender[K comparable, V any] struct {
	// same reports whether a value stands for the one that was told as earlier.
	same func(value, earlier V, now time.Duration) bool

	mu        sync.Mutex
	last      uint32
	told      map[K]*toldValue[V] // by key
	keys      map[uint32]K        // by ref
	receivers map[string]*receiverState
	prunedAt  time.Duration
}

type toldValue[V any] struct {
	ref    uint32
	value  V
	usedAt time.Duration
}

type receiverState struct {
	process   uint64
	takesRefs bool
	confirmed map[uint32]struct{}
}

// NewSender returns a sender that has told nothing. same reports whether a ref of an earlier
// value may stand for a value.
func NewSender[K comparable, V any](same func(value, earlier V, now time.Duration) bool) *Sender[K, V] {
	return &Sender[K, V]{same: same, told: map[K]*toldValue[V]{}, keys: map[uint32]K{}, receivers: map[string]*receiverState{}}
}

// Ref returns the ref that stands for the value of a key, and the value that was told first
// under it.
func (s *Sender[K, V]) Ref(now time.Duration, key K, value V) (ref uint32, told V) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.told[key]
	if t == nil || !s.same(value, t.value, now) {
		if t != nil {
			s.forget(t.ref)
		}
		s.last++
		t = &toldValue[V]{ref: s.last, value: value}
		s.told[key], s.keys[s.last] = t, key
	}
	t.usedAt = now
	return t.ref, t.value
}

// forget removes a ref. s.mu must be held.
func (s *Sender[K, V]) forget(ref uint32) {
	delete(s.keys, ref)
	for _, r := range s.receivers {
		delete(r.confirmed, ref)
	}
}

// Knows reports whether a receiver has confirmed a ref.
func (s *Sender[K, V]) Knows(receiver string, ref uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.receivers[receiver]
	if r == nil || !r.takesRefs {
		return false
	}
	_, ok := r.confirmed[ref]
	return ok
}

// TakesRefs reports whether the last response of a receiver said that it keeps values.
func (s *Sender[K, V]) TakesRefs(receiver string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.receivers[receiver]
	return r != nil && r.takesRefs
}

// Confirm records the response of a receiver to a message that told the values of refs in
// full. unknown are refs of the message that the receiver did not know; Confirm returns their
// keys, whose values must be told again. takesRefs is false for builds that keep no values.
func (s *Sender[K, V]) Confirm(receiver string, process uint64, takesRefs bool, told, unknown []uint32) (again []K) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.receivers[receiver]
	if r == nil || r.process != process {
		r = &receiverState{process: process, confirmed: map[uint32]struct{}{}}
		s.receivers[receiver] = r
	}
	r.takesRefs = takesRefs
	for _, ref := range told {
		if _, current := s.keys[ref]; current && takesRefs {
			r.confirmed[ref] = struct{}{}
		}
	}
	for _, ref := range unknown {
		delete(r.confirmed, ref)
		if key, current := s.keys[ref]; current {
			again = append(again, key)
		}
	}
	return again
}

// Prune forgets values that were not used for the retention, and receivers that are not
// listed.
func (s *Sender[K, V]) Prune(now time.Duration, receivers map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.prunedAt < retention/4 {
		return
	}
	s.prunedAt = now
	for key, t := range s.told {
		if now-t.usedAt > retention {
			s.forget(t.ref)
			delete(s.told, key)
		}
	}
	for name := range s.receivers {
		if !receivers[name] {
			delete(s.receivers, name)
		}
	}
}
