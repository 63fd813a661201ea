package document

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
)

// MachineName is the name of the machine in the replicated log.
const MachineName = "document"

// State is the replicated state. A value is immutable once it is published.
type State struct {
	// Index is the log position of the last change.
	Index uint64 `json:"index"`
	// Version of Content; 0 before the first document.
	Version uint64 `json:"version"`
	// Content is the document as the operator sent it.
	Content []byte `json:"content"`
	// Evacuated data centres get no new requests. The value is the log position of the
	// command that began the evacuation.
	Evacuated map[string]uint64 `json:"evacuated"`
	// Restored maps a data centre to the log position at which its last evacuation
	// ended.
	Restored map[string]uint64 `json:"restored"`
	// Orders maps a data centre to the log position of the last order to evacuate or
	// restore it. Unlike the other positions it counts orders that changed nothing.
	Orders map[string]uint64 `json:"orders,omitempty"`
}

// ErrOutdated means that another order for the data centre has followed the position
// behind which an order was to take effect.
var ErrOutdated = errors.New("document: a later order exists")

// command is one entry of the log.
type command struct {
	Version    uint64 `json:"version,omitempty"`
	Content    []byte `json:"content,omitempty"`
	DataCentre string `json:"data_centre,omitempty"`
	Evacuate   bool   `json:"evacuate,omitempty"`
	// After is the position of the last order for the data centre that the sender of this
	// one knew of. Only Admit reads it: an entry of the log is applied in any case, so that
	// builds without Admit apply the same. Commands of such builds have none.
	After *uint64 `json:"after,omitempty"`
}

// EncodeDocument returns the command that stores a document, unless its version is not
// higher than that of the stored one.
func EncodeDocument(version uint64, content []byte) ([]byte, error) {
	return encode(command{Version: version, Content: content})
}

// EncodeEvacuation returns the command that begins or ends the evacuation of a data
// centre, unless an order behind the position after exists.
func EncodeEvacuation(dataCentre string, evacuate bool, after uint64) ([]byte, error) {
	return encode(command{DataCentre: dataCentre, Evacuate: evacuate, After: &after})
}

func encode(c command) ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("document: command: %w", err)
	}
	return data, nil
}

// Machine is the replicated state machine. Invariant: the version never decreases.
type Machine struct {
	mu      sync.Mutex
	state   *State
	changed chan struct{} // closed at the next change
}

// NewMachine returns a machine with an empty state.
func NewMachine() *Machine {
	return &Machine{state: &State{Evacuated: map[string]uint64{}, Restored: map[string]uint64{}, Orders: map[string]uint64{}}, changed: make(chan struct{})}
}

// State returns the current state and a channel that is closed when it changes.
func (m *Machine) State() (*State, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state, m.changed
}

// Apply implements control.Machine.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		return []byte("malformed command: " + err.Error())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next := *m.state
	switch {
	case c.DataCentre != "":
		next.Orders = maps.Clone(next.Orders)
		next.Orders[c.DataCentre] = index
		if _, evacuated := next.Evacuated[c.DataCentre]; evacuated == c.Evacuate {
			m.publish(&next)
			return nil
		}
		next.Evacuated, next.Restored = maps.Clone(next.Evacuated), maps.Clone(next.Restored)
		if c.Evacuate {
			next.Evacuated[c.DataCentre] = index
		} else {
			delete(next.Evacuated, c.DataCentre)
			next.Restored[c.DataCentre] = index
		}
	case c.Version > next.Version:
		next.Version, next.Content = c.Version, c.Content
	default:
		return nil
	}
	next.Index = index
	m.publish(&next)
	return nil
}

// Admit implements control.Guard. A sender may have given up an order, and sent newer ones
// to other hosts, while the order waited at a host, in a queue, or for a leader. So an order
// that changes the state is refused if another one has followed the position that it names.
// One that changes nothing is admitted: it repeats an order whose acknowledgement was lost.
func (m *Machine) Admit(pending [][]byte, data []byte) error {
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("document: malformed command: %w", err)
	}
	if c.DataCentre == "" || c.After == nil {
		return nil
	}
	state, _ := m.State()
	_, evacuated := state.Evacuated[c.DataCentre]
	outdated := state.Orders[c.DataCentre] != *c.After
	for _, p := range pending {
		var earlier command
		if json.Unmarshal(p, &earlier) == nil && earlier.DataCentre == c.DataCentre {
			evacuated, outdated = earlier.Evacuate, true
		}
	}
	if outdated && evacuated != c.Evacuate {
		return fmt.Errorf("%w: for data centre %s at position %d, expected %d", ErrOutdated, c.DataCentre, state.Orders[c.DataCentre], *c.After)
	}
	return nil
}

func (m *Machine) publish(s *State) {
	if s.Version < m.state.Version {
		panic(fmt.Sprintf("document: version decreased from %d to %d", m.state.Version, s.Version))
	}
	m.state = s
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot implements control.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	s, _ := m.State()
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("document: snapshot: %w", err)
	}
	return data, nil
}

// Restore implements control.Machine.
func (m *Machine) Restore(data []byte) error {
	s := &State{}
	if err := json.Unmarshal(data, s); err != nil {
		return fmt.Errorf("document: restore: %w", err)
	}
	if s.Evacuated == nil {
		s.Evacuated = map[string]uint64{}
	}
	if s.Restored == nil {
		s.Restored = map[string]uint64{}
	}
	if s.Orders == nil { // the snapshot is of a build that did not count orders
		s.Orders = maps.Clone(s.Restored)
		maps.Copy(s.Orders, s.Evacuated)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish(s)
	return nil
}
