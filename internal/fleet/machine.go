package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
	"geraniumturn.example/geraniumturn/internal/rules"
)

// MachineName is the name of the state machine in the replicated log.
const MachineName = "fleet"

// Reasons of a rejected command.
const (
	ReasonConflict        = "conflict"
	ReasonInvalid         = "invalid"
	ReasonRequestIDReused = "request_id_reused"
	ReasonWithdrawn       = "withdrawn"
	ReasonExists          = "exists"
)

// Machine applies configuration commands in log order. Invariants: index and
// revision never decrease, and withdrawn only grows.
type Machine struct {
	mu    sync.Mutex
	state *fleetpb.State
}

// NewMachine returns a machine without rules or keys.
func NewMachine() *Machine { return &Machine{state: &fleetpb.State{}} }

// Apply implements control.Machine.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.apply(index, command)
	out, err := proto.Marshal(result)
	if err != nil {
		panic(fmt.Sprintf("fleet: marshal result: %v", err))
	}
	return out
}

func (m *Machine) apply(index uint64, data []byte) *fleetpb.Result {
	var command fleetpb.Command
	if err := proto.Unmarshal(data, &command); err != nil {
		return m.reject(ReasonInvalid, "command cannot be decoded")
	}
	id := requestID(&command)
	content := sha256.Sum256(data)
	if first := m.answer(id); first != nil {
		if string(first.Content) != string(content[:]) {
			return m.reject(ReasonRequestIDReused, "request id "+id+" was used for another command")
		}
		return first.Result
	}
	result := m.execute(&command)
	if result.Accepted {
		if index <= m.state.Index {
			panic(fmt.Sprintf("fleet: index went from %d to %d", m.state.Index, index))
		}
		m.state.Index = index
	}
	result.Index = m.state.Index
	m.remember(id, content[:], result)
	return result
}

func requestID(c *fleetpb.Command) string {
	switch k := c.Kind.(type) {
	case *fleetpb.Command_ApplyRules:
		return k.ApplyRules.RequestId
	case *fleetpb.Command_GrantKey:
		return k.GrantKey.RequestId
	}
	return ""
}

func (m *Machine) answer(id string) *fleetpb.Answer {
	if id == "" {
		return nil
	}
	for _, a := range m.state.Answers {
		if a.RequestId == id {
			return a
		}
	}
	return nil
}

// maxAnswers bounds the first answers that are kept for resends; at 2,100
// changes a day this is about half a day.
const maxAnswers = 1024

func (m *Machine) remember(id string, content []byte, result *fleetpb.Result) {
	if id == "" {
		return
	}
	m.state.Answers = append(m.state.Answers, &fleetpb.Answer{RequestId: id, Content: content, Result: result})
	if len(m.state.Answers) > maxAnswers {
		m.state.Answers = m.state.Answers[1:]
	}
}

func (m *Machine) execute(c *fleetpb.Command) *fleetpb.Result {
	switch k := c.Kind.(type) {
	case *fleetpb.Command_ApplyRules:
		return m.applyRules(k.ApplyRules)
	case *fleetpb.Command_GrantKey:
		return m.grantKey(k.GrantKey)
	case *fleetpb.Command_WithdrawKey:
		return m.withdrawKey(k.WithdrawKey)
	}
	return m.reject(ReasonInvalid, "unknown command")
}

func (m *Machine) applyRules(c *fleetpb.ApplyRules) *fleetpb.Result {
	if c.BaseRevision != m.state.Revision {
		r := m.reject(ReasonConflict, fmt.Sprintf("base revision %d is not revision %d, which is in force", c.BaseRevision, m.state.Revision))
		if n := len(m.state.History); n > 0 {
			r.Winner, r.Digest = m.state.History[n-1].Operator, m.state.History[n-1].Digest
		}
		return r
	}
	if _, err := rules.Parse(c.Text); err != nil {
		return m.reject(ReasonInvalid, err.Error())
	}
	digest := contentDigest(c.Text)
	m.state.Revision++
	m.state.Rules = c.Text
	m.state.History = append(m.state.History, &fleetpb.Revision{
		Number: m.state.Revision, Operator: c.Operator, Digest: digest, RequestId: c.RequestId,
	})
	return &fleetpb.Result{Accepted: true, Revision: m.state.Revision, Digest: digest}
}

func contentDigest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}

func (m *Machine) grantKey(c *fleetpb.GrantKey) *fleetpb.Result {
	for _, id := range m.state.Withdrawn {
		if id == c.KeyId {
			return m.reject(ReasonWithdrawn, "key id "+c.KeyId+" was withdrawn and cannot be granted again")
		}
	}
	for _, k := range m.state.Keys {
		if k.Id == c.KeyId {
			return m.reject(ReasonExists, "key id "+c.KeyId+" exists")
		}
	}
	m.state.Keys = append(m.state.Keys, &fleetpb.Key{
		Id: c.KeyId, Workspace: c.Workspace, SecretHash: c.SecretHash, Operator: c.Operator,
	})
	return &fleetpb.Result{Accepted: true, Revision: m.state.Revision}
}

func (m *Machine) withdrawKey(c *fleetpb.WithdrawKey) *fleetpb.Result {
	for _, id := range m.state.Withdrawn {
		if id == c.KeyId {
			return &fleetpb.Result{Accepted: true, Revision: m.state.Revision, Message: "already withdrawn"}
		}
	}
	m.state.Withdrawn = append(m.state.Withdrawn, c.KeyId)
	return &fleetpb.Result{Accepted: true, Revision: m.state.Revision}
}

func (m *Machine) reject(reason, message string) *fleetpb.Result {
	return &fleetpb.Result{Reason: reason, Message: message, Revision: m.state.Revision}
}

// State returns a copy of the published state.
func (m *Machine) State() *fleetpb.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return proto.CloneOf(m.state)
}

// Index returns the index of the last change.
func (m *Machine) Index() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Index
}

// Snapshot implements control.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	out, err := proto.Marshal(m.State())
	if err != nil {
		return nil, fmt.Errorf("fleet: snapshot: %w", err)
	}
	return out, nil
}

// Restore implements control.Machine.
func (m *Machine) Restore(data []byte) error {
	var s fleetpb.State
	if err := proto.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("fleet: restore: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = &s
	return nil
}
