package fleet

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
	"geraniumturn.example/geraniumturn/internal/keys"
	"geraniumturn.example/geraniumturn/internal/rules"
)

// MachineName is the name of the state machine in the replicated log.
const MachineName = "fleet"

// Reasons for which a command is rejected.
const (
	ReasonConflict        = "conflict"
	ReasonInvalid         = "invalid"
	ReasonRequestIDReused = "request_id_reused"
	ReasonWithdrawn       = "withdrawn"
	ReasonExists          = "exists"
)

const (
	// maxCachedAnswers bounds the answers that are kept for resent commands; at 2,100
	// changes a day, they cover about two days.
	maxCachedAnswers = 4096
	// maxHistoryRevisions bounds the revisions in the history that is published to every host.
	maxHistoryRevisions = 512
	maxHostNameBytes    = 256
)

// Machine is the replicated state machine that applies configuration commands in log
// order. Invariants: index and revision never decrease, and withdrawn only grows.
type Machine struct {
	mu        sync.Mutex
	state     *fleetpb.State
	keys      map[string]*fleetpb.Key
	withdrawn map[string]bool
	answers   map[string]*fleetpb.Answer
	// hostIndexes has the index of the last change that put or removed a host, by name.
	hostIndexes map[string]uint64
	// answerOrder lists the request ids in answers, oldest first.
	answerOrder   []string
	recentChanges changeBuffer
	changed       chan struct{}
}

// NewMachine returns a machine without rules or keys.
func NewMachine() *Machine {
	m := &Machine{changed: make(chan struct{}, 1)}
	m.load(&fleetpb.Snapshot{State: &fleetpb.State{}})
	return m
}

// Changed returns a channel that receives a value after a change was applied or a
// snapshot was restored.
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
	id, content := requestIdentity(&command)
	if cached := m.answers[id]; cached != nil && id != "" {
		if string(cached.Content) != string(content) {
			return m.reject(ReasonRequestIDReused, "request id "+id+" was used for another command")
		}
		return cached.Result
	}
	result, change := m.execute(&command)
	if change != nil {
		m.publish(index, change)
		if name := hostOf(&command); name != "" {
			m.hostIndexes[name] = index
		}
	}
	result.Index = m.state.Index
	m.cacheAnswer(id, content, result)
	return result
}

// hostOf returns the host that a command puts or removes, or "".
func hostOf(c *fleetpb.Command) string {
	switch k := c.Kind.(type) {
	case *fleetpb.Command_PutHost:
		return k.PutHost.GetName()
	case *fleetpb.Command_RemoveHost:
		return k.RemoveHost.GetName()
	}
	return ""
}

// ErrOutdated means that a command for a host was followed by another one that its sender
// did not know of.
var ErrOutdated = errors.New("fleet: a later command for the host exists")

// Admit implements control.Guard. It refuses to put or remove a host behind another such
// command that the sender did not know of: an operator may have given up the removal of a
// host that has returned since, and a host may have been removed after it died.
func (m *Machine) Admit(pending [][]byte, data []byte) error {
	var command fleetpb.Command
	if err := proto.Unmarshal(data, &command); err != nil {
		return fmt.Errorf("fleet: command cannot be decoded: %w", err)
	}
	name := hostOf(&command)
	if name == "" || command.After == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	isOutdated := m.hostIndexes[name] > command.GetAfter()
	for _, p := range pending {
		var earlier fleetpb.Command
		if proto.Unmarshal(p, &earlier) == nil && hostOf(&earlier) == name {
			isOutdated = true
		}
	}
	if isOutdated {
		return fmt.Errorf("%w: %s at index %d, sent behind %d", ErrOutdated, name, m.hostIndexes[name], command.GetAfter())
	}
	return nil
}

// publish applies an accepted change to the state under its log index.
func (m *Machine) publish(index uint64, change *fleetpb.Change) {
	if index <= m.state.Index {
		panic(fmt.Sprintf("fleet: index must increase, but goes from %d to %d", m.state.Index, index))
	}
	change.Previous, change.Index = m.state.Index, index
	next, err := applyChange(m.state, change)
	if err != nil {
		panic(fmt.Sprintf("fleet: generated change %d cannot be applied: %v", index, err))
	}
	if next.Revision < m.state.Revision || len(next.Withdrawn) < len(m.state.Withdrawn) {
		panic(fmt.Sprintf("fleet: revision or withdrawals decreased at index %d", index))
	}
	m.state = next
	m.recentChanges.add(change)
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// requestIdentity returns the request id of a command and a digest of its content. The
// digest distinguishes a resent command from a different one under the same id.
func requestIdentity(c *fleetpb.Command) (id string, content []byte) {
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

// cacheAnswer keeps the result of a command for resends, and evicts the oldest one if
// there are too many.
func (m *Machine) cacheAnswer(id string, content []byte, result *fleetpb.Result) {
	if id == "" {
		return
	}
	m.answers[id] = &fleetpb.Answer{RequestId: id, Content: content, Result: result}
	m.answerOrder = append(m.answerOrder, id)
	if len(m.answerOrder) > maxCachedAnswers {
		delete(m.answers, m.answerOrder[0])
		m.answerOrder = m.answerOrder[1:]
	}
}

// execute validates a command and returns its result and change. The change is nil if
// the command does not change the published state.
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
		r := m.reject(ReasonConflict, fmt.Sprintf("base revision %d is not the current revision %d", c.BaseRevision, m.state.Revision))
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
	for _, existing := range m.state.Hosts {
		if proto.Equal(existing, h) {
			return m.accept(), nil
		}
	}
	return m.accept(), &fleetpb.Change{Kind: &fleetpb.Change_Host{Host: h}}
}

// removeHost also accepts names that are not listed, because a host may have failed
// before it was registered.
func (m *Machine) removeHost(c *fleetpb.RemoveHost) (*fleetpb.Result, *fleetpb.Change) {
	if c.Name == "" || len(c.Name) > maxHostNameBytes {
		return m.reject(ReasonInvalid, fmt.Sprintf("a host name has 1 to %d bytes", maxHostNameBytes)), nil
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

// State returns the published state, which is immutable.
func (m *Machine) State() *fleetpb.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Since returns the changes after an index, or the full state if they are no longer
// buffered. The response is empty if there are none.
func (m *Machine) Since(index uint64) *fleetpb.PullResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recentChanges.since(index, m.state)
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
	snapshot := &fleetpb.Snapshot{State: m.state, HostIndexes: m.hostIndexes}
	for _, id := range m.answerOrder {
		snapshot.Answers = append(snapshot.Answers, m.answers[id])
	}
	out, err := proto.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("fleet: marshal snapshot: %w", err)
	}
	return out, nil
}

// Restore implements control.Machine.
func (m *Machine) Restore(data []byte) error {
	var s fleetpb.Snapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("fleet: unmarshal snapshot: %w", err)
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
	m.state, m.answerOrder, m.recentChanges = s.State, nil, changeBuffer{}
	m.keys = make(map[string]*fleetpb.Key, len(s.State.Keys))
	for _, k := range s.State.Keys {
		m.keys[k.Id] = k
	}
	m.withdrawn = make(map[string]bool, len(s.State.Withdrawn))
	for _, id := range s.State.Withdrawn {
		m.withdrawn[id] = true
	}
	m.hostIndexes = map[string]uint64{}
	maps.Copy(m.hostIndexes, s.HostIndexes)
	m.answers = make(map[string]*fleetpb.Answer, len(s.Answers))
	for _, a := range s.Answers {
		m.answers[a.RequestId] = a
		m.answerOrder = append(m.answerOrder, a.RequestId)
	}
}
