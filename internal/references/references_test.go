package references

import (
	"testing"
	"time"
)

func equal(a, b string, _ time.Duration) bool { return a == b }

// Answers thousands of values that are told again and again, with lost, late and doubled
// messages, receivers that start anew and builds that keep no values: a ref never stands for
// another value than the one that was told with it.
func TestRefStandsForItsValue(t *testing.T) {
	s, r := NewSender[string](equal), NewReceiver[string]()
	first, _ := s.Ref(0, "a", "1")
	if again, told := s.Ref(0, "a", "1"); again != first || told != "1" {
		t.Errorf("the same value has ref %d and %d", first, again)
	}
	if s.Confirm("peer", 7, true, []uint32{first}, nil); !s.Knows("peer", first) || s.Knows("other", first) {
		t.Error("what one receiver has confirmed counts for another one, or not for itself")
	}
	second, _ := s.Ref(0, "a", "2")
	if second == first || s.Knows("peer", second) {
		t.Error("a new value has a ref that the receiver knows")
	}
	if s.Confirm("peer", 7, true, []uint32{first}, nil); s.Knows("peer", first) {
		t.Error("a late response confirms a value that is no longer told")
	}
	r.Put(0, "sender", 1, first, "1")
	r.Put(0, "sender", 1, second, "2")
	if got, ok := r.Get(0, "sender", 1, first); !ok || got != "1" {
		t.Errorf("a late message finds %q", got)
	}
	if _, ok := r.Get(0, "sender", 2, second); ok {
		t.Error("a ref of another process is known")
	}
	r.Put(0, "sender", 2, first, "x")
	if _, ok := r.Get(0, "sender", 2, second); ok || r.Len() != 1 {
		t.Error("values of the process before are kept")
	}
}

// Answers receivers that start anew or go back to an earlier build while they are told by refs.
func TestReceiverThatStartsAnewIsToldAgain(t *testing.T) {
	s := NewSender[string](equal)
	ref, _ := s.Ref(0, "a", "1")
	s.Confirm("peer", 7, true, []uint32{ref}, nil)
	if again := s.Confirm("peer", 8, true, nil, []uint32{ref}); len(again) != 1 || again[0] != "a" || s.Knows("peer", ref) {
		t.Errorf("told again: %v", again)
	}
	if s.Confirm("peer", 9, false, []uint32{ref}, nil); s.Knows("peer", ref) || s.TakesRefs("peer") {
		t.Error("an earlier build is expected to keep values")
	}
}

// Answers targets and hosts that come and go for days.
func TestUnusedValuesAreForgotten(t *testing.T) {
	s, r := NewSender[string](equal), NewReceiver[string]()
	ref, _ := s.Ref(0, "a", "1")
	s.Confirm("peer", 7, true, []uint32{ref}, nil)
	r.Put(0, "sender", 1, ref, "1")
	r.Put(0, "sender", 1, ref+1, "2")
	for at := time.Duration(0); at <= 2*retention; at += retention / 4 {
		r.Get(at, "sender", 1, ref+1)
		s.Ref(at, "b", "2")
		s.Prune(at, map[string]bool{"peer": true})
		r.Prune(at)
	}
	if s.Knows("peer", ref) || len(s.told) != 1 || r.Len() != 1 {
		t.Errorf("%d values told, %d kept", len(s.told), r.Len())
	}
	if _, ok := r.Get(2*retention, "sender", 1, ref+1); !ok {
		t.Error("a value that is used was forgotten")
	}
	if s.Prune(3*retention, nil); s.TakesRefs("peer") {
		t.Error("a receiver that is not listed is kept")
	}
}
