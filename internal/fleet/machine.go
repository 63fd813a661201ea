package fleet

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
	"geraniumturn.example/geraniumturn/internal/keys"
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

const (
	// maxAnswers bounds the first answers that are kept for resends; at 2,100
	// changes a day this is about two days.
	maxAnswers = 4096
	// maxHistory bounds the revisions that are published to every host.
	maxHistory  = 512
	maxHostName = 256
)

// Machine applies configuration commands in log order. Invariants: index and
// revision never decrease, and withdrawn only grows.
type Machine struct {
	mu        sync.Mutex
	state     *fleetpb.State
	keys      map[string]*fleetpb.Key
	withdrawn map[string]bool
	answers   map[string]*fleetpb.Answer
	// order lists the request ids in answers, oldest first.
	order   []string
	recent  journal
	changed chan struct{}
}

// NewMachine returns a machine without rules or keys.
func NewMachine() *Machine {
	m := &Machine{changed: make(chan struct{}, 1)}
	m.load(&fleetpb.Snapshot{State: &fleetpb.State{}})
	return m
}

// Changed receives a value after changes were applied.
func (m *Machine) Changed() <-chan struct{} { return m.changed }

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
	id, content := identity(&command)
	if first := m.answers[id]; first != nil && id != "" {
		if string(first.Content) != string(content) {
			return m.reject(ReasonRequestIDReused, "request id "+id+" was used for another command")
		}
		return first.Result
	}
	result, change := m.execute(&command)
	if change != nil {
		m.publish(index, change)
	}
	result.Index = m.state.Index
	m.remember(id, content, result)
	return result
}

// publish puts an accepted change into the state under the log index.
func (m *Machine) publish(index uint64, change *fleetpb.Change) {
	if index <= m.state.Index {
		panic(fmt.Sprintf("fleet: index went from %d to %d", m.state.Index, index))
	}
	change.Previous, change.Index = m.state.Index, index
	next, err := applyChange(m.state, change)
	if err != nil {
		panic(fmt.Sprintf("fleet: own change %d does not apply: %v", index, err))
	}
	if next.Revision < m.state.Revision || len(next.Withdrawn) < len(m.state.Withdrawn) {
		panic(fmt.Sprintf("fleet: revision or withdrawals went back at index %d", index))
	}
	m.state = next
	m.recent.add(change)
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// identity returns the request id of a command and the digest of its content,
// which tells a resend from another command.
func identity(c *fleetpb.Command) (id string, content []byte) {
	h := sha256.New()
	field := func(b []byte) {
		_ = binary.Write(h, binary.BigEndian, uint64(len(b))) // never fails on a hash
		h.Write(b)
	}
	switch k := c.Kind.(type) {
	case *fleetpb.Command_ApplyRules:
		id = k.ApplyRules.RequestId
		field([]byte("rules"))
		_ = binary.Write(h, binary.BigEndian, k.ApplyRules.BaseRevision)
		field([]byte(k.ApplyRules.Text))
		field([]byte(k.ApplyRules.Operator))
	case *fleetpb.Command_GrantKey:
		id = k.GrantKey.RequestId
		field([]byte("key"))
		field([]byte(k.GrantKey.KeyId))
		field([]byte(k.GrantKey.Workspace))
		field(k.GrantKey.SecretHash)
		field([]byte(k.GrantKey.Operator))
	}
	return id, h.Sum(nil)
}

func (m *Machine) remember(id string, content []byte, result *fleetpb.Result) {
	if id == "" {
		return
	}
	m.answers[id] = &fleetpb.Answer{RequestId: id, Content: content, Result: result}
	m.order = append(m.order, id)
	if len(m.order) > maxAnswers {
		delete(m.answers, m.order[0])
		m.order = m.order[1:]
	}
}

// execute decides on a command. The change is nil when nothing is published.
func (m *Machine) execute(c *fleetpb.Command) (*fleetpb.Result, *fleetpb.Change) {
	switch k := c.Kind.(type) {
	case *fleetpb.Command_ApplyRules:
		return m.applyRules(k.ApplyRules)
	case *fleetpb.Command_GrantKey:
		return m.grantKey(k.GrantKey)
	case *fleetpb.Command_WithdrawKey:
		return m.withdrawKey(k.WithdrawKey)
	case *fleetpb.Command_PutHost:
		return m.putHost(k.PutHost)
	case *fleetpb.Command_RemoveHost:
		return m.removeHost(k.RemoveHost)
	}
	return m.reject(ReasonInvalid, "unknown command"), nil
}

func (m *Machine) applyRules(c *fleetpb.ApplyRules) (*fleetpb.Result, *fleetpb.Change) {
	if c.BaseRevision != m.state.Revision {
		r := m.reject(ReasonConflict, fmt.Sprintf("base revision %d is not revision %d, which is in force", c.BaseRevision, m.state.Revision))
		if n := len(m.state.History); n > 0 {
			r.Winner, r.Digest = m.state.History[n-1].Operator, m.state.History[n-1].Digest
		}
		return r, nil
	}
	if _, err := rules.Parse(c.Text); err != nil {
		return m.reject(ReasonInvalid, err.Error()), nil
	}
	revision := &fleetpb.Revision{
		Number: m.state.Revision + 1, Operator: c.Operator, Digest: contentDigest(c.Text), RequestId: c.RequestId,
	}
	change := &fleetpb.RulesChange{Revision: revision, Edits: diffLines(m.state.Rules, c.Text)}
	return &fleetpb.Result{Accepted: true, Revision: revision.Number, Digest: revision.Digest},
		&fleetpb.Change{Kind: &fleetpb.Change_Rules{Rules: change}}
}

func contentDigest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}

func (m *Machine) grantKey(c *fleetpb.GrantKey) (*fleetpb.Result, *fleetpb.Change) {
	switch {
	case !keys.ValidID(c.KeyId):
		return m.reject(ReasonInvalid, "key id may only have letters and digits"), nil
	case m.withdrawn[c.KeyId]:
		return m.reject(ReasonWithdrawn, "key id "+c.KeyId+" was withdrawn and cannot be granted again"), nil
	case m.keys[c.KeyId] != nil:
		return m.reject(ReasonExists, "key id "+c.KeyId+" exists"), nil
	}
	key := &fleetpb.Key{Id: c.KeyId, Workspace: c.Workspace, SecretHash: c.SecretHash, Operator: c.Operator}
	m.keys[key.Id] = key
	return m.accept(), &fleetpb.Change{Kind: &fleetpb.Change_Key{Key: key}}
}

func (m *Machine) withdrawKey(c *fleetpb.WithdrawKey) (*fleetpb.Result, *fleetpb.Change) {
	if !keys.ValidID(c.KeyId) {
		return m.reject(ReasonInvalid, "key id may only have letters and digits"), nil
	}
	result := m.accept()
	if m.withdrawn[c.KeyId] {
		result.Message = "already withdrawn"
		return result, nil
	}
	m.withdrawn[c.KeyId] = true
	return result, &fleetpb.Change{Kind: &fleetpb.Change_Withdrawn{Withdrawn: c.KeyId}}
}

func (m *Machine) putHost(h *fleetpb.Host) (*fleetpb.Result, *fleetpb.Change) {
	if h.GetName() == "" || h.GetDataCentre() == "" {
		return m.reject(ReasonInvalid, "a host needs a name and a data centre"), nil
	}
	for _, known := range m.state.Hosts {
		if proto.Equal(known, h) {
			return m.accept(), nil
		}
	}
	return m.accept(), &fleetpb.Change{Kind: &fleetpb.Change_Host{Host: h}}
}

// removeHost also takes names that are not listed: a host may have failed
// before it was.
func (m *Machine) removeHost(c *fleetpb.RemoveHost) (*fleetpb.Result, *fleetpb.Change) {
	if c.Name == "" || len(c.Name) > maxHostName {
		return m.reject(ReasonInvalid, fmt.Sprintf("a host name has 1 to %d bytes", maxHostName)), nil
	}
	listed := slices.ContainsFunc(m.state.Hosts, func(h *fleetpb.Host) bool { return h.Name == c.Name })
	if !listed && slices.Contains(m.state.RemovedHosts, c.Name) {
		return m.accept(), nil
	}
	return m.accept(), &fleetpb.Change{Kind: &fleetpb.Change_RemovedHost{RemovedHost: c.Name}}
}

func (m *Machine) accept() *fleetpb.Result {
	return &fleetpb.Result{Accepted: true, Revision: m.state.Revision}
}

func (m *Machine) reject(reason, message string) *fleetpb.Result {
	return &fleetpb.Result{Reason: reason, Message: message, Revision: m.state.Revision}
}

// State returns the published state, which is not changed afterwards.
func (m *Machine) State() *fleetpb.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Since returns what a copy at the index lacks.
func (m *Machine) Since(index uint64) *fleetpb.PullResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recent.since(index, m.state)
}

// Index returns the index of the last change.
func (m *Machine) Index() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Index
}

// Snapshot implements control.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	snapshot := &fleetpb.Snapshot{State: m.state}
	for _, id := range m.order {
		snapshot.Answers = append(snapshot.Answers, m.answers[id])
	}
	out, err := proto.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("fleet: snapshot: %w", err)
	}
	return out, nil
}

// Restore implements control.Machine.
func (m *Machine) Restore(data []byte) error {
	var s fleetpb.Snapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("fleet: restore: %w", err)
	}
	if s.State == nil {
		s.State = &fleetpb.State{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load(&s)
	select {
	case m.changed <- struct{}{}:
	default:
	}
	return nil
}

func (m *Machine) load(s *fleetpb.Snapshot) {
	m.state, m.order, m.recent = s.State, nil, journal{}
	m.keys = make(map[string]*fleetpb.Key, len(s.State.Keys))
	for _, k := range s.State.Keys {
		m.keys[k.Id] = k
	}
	m.withdrawn = make(map[string]bool, len(s.State.Withdrawn))
	for _, id := range s.State.Withdrawn {
		m.withdrawn[id] = true
	}
	m.answers = make(map[string]*fleetpb.Answer, len(s.Answers))
	for _, a := range s.Answers {
		m.answers[a.RequestId] = a
		m.order = append(m.order, a.RequestId)
	}
}
