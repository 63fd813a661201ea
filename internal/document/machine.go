package document

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"

	"geraniumturn.example/geraniumturn/internal/control"
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
}

// command is one entry of the log.
type command struct {
	Version    uint64 `json:"version,omitempty"`
	Content    []byte `json:"content,omitempty"`
	DataCentre string `json:"data_centre,omitempty"`
	Evacuate   bool   `json:"evacuate,omitempty"`
}

// Machine is the replicated state machine. Invariant: the version never decreases.
type Machine struct {
	mu      sync.Mutex
	state   *State
	changed chan struct{} // closed at the next change
}

// NewMachine returns a machine with an empty state.
func NewMachine() *Machine {
	return &Machine{state: &State{Evacuated: map[string]uint64{}, Restored: map[string]uint64{}}, changed: make(chan struct{})}
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
		if _, evacuated := next.Evacuated[c.DataCentre]; evacuated == c.Evacuate {
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
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish(s)
	return nil
}

// Replace proposes a document. It returns when the document, or a higher version,
// is durable on a majority of the voters.
func Replace(ctx context.Context, log control.Log, version uint64, content []byte) error {
	return propose(ctx, log, command{Version: version, Content: content})
}

// Evacuate proposes the start or the end of an evacuation.
func Evacuate(ctx context.Context, log control.Log, dataCentre string, evacuate bool) error {
	return propose(ctx, log, command{DataCentre: dataCentre, Evacuate: evacuate})
}

func propose(ctx context.Context, log control.Log, c command) error {
	data, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("document: %w", err)
	}
	result, err := log.Propose(ctx, MachineName, data)
	if err != nil {
		return fmt.Errorf("document: %w", err)
	}
	if len(result) > 0 {
		return fmt.Errorf("document: %s", result)
	}
	return nil
}
