package fleet

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
)

// fullState returns a state with a value in every field, including fields that are
// added to the message later.
func fullState(index uint64) *fleetpb.State {
	s := &fleetpb.State{}
	m := s.ProtoReflect()
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case f.IsList() && f.Kind() == protoreflect.MessageKind:
			m.Mutable(f).List().AppendMutable()
		case f.IsList():
			m.Mutable(f).List().Append(protoreflect.ValueOfString("x"))
		case f.Kind() == protoreflect.StringKind:
			m.Set(f, protoreflect.ValueOfString("# text\n"))
		default:
			m.Set(f, protoreflect.ValueOfUint64(index))
		}
	}
	return s
}

// Guards against a field of the state that is lost when a state is copied.
func TestReplicaKeepsAllFields(t *testing.T) {
	want, replica := fullState(7), NewReplica()
	if _, err := replica.Install(want); err != nil {
		t.Fatal(err)
	}
	if got := replica.View().State; !proto.Equal(got, want) {
		t.Errorf("installed %v, got %v", want, got)
	}
	next, err := applyChange(want, &fleetpb.Change{Previous: 7, Index: 8, Kind: &fleetpb.Change_Withdrawn{Withdrawn: "k"}})
	if err != nil {
		t.Fatal(err)
	}
	want.Index, want.Withdrawn = 8, append(want.Withdrawn, "k")
	if !proto.Equal(next, want) {
		t.Errorf("changed to %v, got %v", want, next)
	}
}

// Guards against a state with a higher index that has an older revision, or lacks keys
// or withdrawals, and against a state that is in force although it was not stored.
func TestReplicaRejectsStaleState(t *testing.T) {
	replica := NewReplica()
	if _, err := replica.Install(fullState(7)); err != nil {
		t.Fatal(err)
	}
	for name, alter := range map[string]func(*fleetpb.State){
		"revision":    func(s *fleetpb.State) { s.Revision = 6 },
		"keys":        func(s *fleetpb.State) { s.Keys = nil },
		"withdrawals": func(s *fleetpb.State) { s.Withdrawn = nil },
	} {
		older := fullState(9)
		alter(older)
		if _, err := replica.Install(older); !errors.Is(err, ErrStaleState) {
			t.Errorf("%s: %v", name, err)
		}
	}
	replica.PersistTo(failingStore{})
	if _, err := replica.Install(fullState(9)); err == nil || replica.View().Index != 7 {
		t.Errorf("index %d is in force, error %v", replica.View().Index, err)
	}
}

type failingStore struct{}

func (failingStore) Save(*fleetpb.State) error { return errors.New("disk full") }
