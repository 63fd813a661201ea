package quota

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/quota/quotapb"
)

// MachineName is the name of the state machine in the replicated log.
const MachineName = "quota"

// elasticName denotes the elastic bucket where a host name is expected.
const elasticName = ""

const (
	maxAmount = int64(1) << 62
	maxHosts  = 4096
)

// Machine applies changes of allocations in log order. Invariant: next
// replaces settled only when every host whose share decreases has confirmed the
// decrease or was removed. The effective shares of all hosts therefore never add
// up to more than one of the two allocations.
type Machine struct {
	mu          sync.Mutex
	index       uint64
	hosts       map[string]bool
	records     map[string]*quotapb.Record
	elasticTerm uint64
	revision    uint64
	// joinIndex is the log index of the last start of each host; hostsAsOf is the
	// index at which the leader first observed the current host list.
	joinIndex map[string]uint64
	hostsAsOf uint64
	setIndex  uint64 // log index of the last Set
}

// NewMachine returns a machine without workspaces.
func NewMachine() *Machine {
	return &Machine{hosts: map[string]bool{}, records: map[string]*quotapb.Record{}, joinIndex: map[string]uint64{}}
}

// Apply implements control.Machine.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index = max(m.index, index)
	result := &quotapb.Result{Index: m.index}
	var command quotapb.Command
	if err := proto.Unmarshal(data, &command); err != nil {
		result.Error = "command cannot be decoded"
	} else {
		m.execute(&command, index)
	}
	out, err := proto.Marshal(result)
	if err != nil {
		panic(fmt.Sprintf("quota: marshal result: %v", err))
	}
	return out
}

func (m *Machine) execute(c *quotapb.Command, index uint64) {
	switch k := c.Kind.(type) {
	case *quotapb.Command_Set:
		m.setIndex = index
		m.applySet(k.Set, index)
	case *quotapb.Command_Confirm:
		m.applyConfirm(k.Confirm, index)
	case *quotapb.Command_StartElastic:
		m.elasticTerm = max(m.elasticTerm, k.StartElastic.GetTerm())
	case *quotapb.Command_Join:
		if host := k.Join.GetHost(); host != elasticName {
			m.joinIndex[host] = index
		}
	}
}

func (m *Machine) applySet(c *quotapb.Set, index uint64) {
	if c.Revision < m.revision {
		return // the proposing leader has an outdated copy of the rules
	}
	m.revision = c.Revision
	if len(c.Hosts) > 0 && len(c.Hosts) <= maxHosts {
		m.hostsAsOf = max(m.hostsAsOf, c.AsOf)
		m.replaceHosts(c.Hosts, index)
	}
	for _, wanted := range c.Wanted {
		if validAllocation(wanted.GetAllocation()) && wanted.Workspace != "" {
			m.queueAllocation(wanted.Workspace, wanted.Allocation, index)
		}
	}
}

// ErrOutdated means that a Set was computed before a later one was appended.
var ErrOutdated = errors.New("quota: a later allocation exists")

// Admit implements control.Guard. It refuses a Set that a former leader computed before a
// later one: its list of hosts may lack a host that runs and has to confirm decreases.
func (m *Machine) Admit(pending [][]byte, data []byte) error {
	var command quotapb.Command
	if err := proto.Unmarshal(data, &command); err != nil {
		return fmt.Errorf("quota: command cannot be decoded: %w", err)
	}
	set := command.GetSet()
	if set == nil || set.After == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	isOutdated := m.setIndex != set.GetAfter()
	for _, p := range pending {
		var earlier quotapb.Command
		isOutdated = isOutdated || proto.Unmarshal(p, &earlier) == nil && earlier.GetSet() != nil
	}
	if isOutdated {
		return fmt.Errorf("%w: at index %d, this one follows %d", ErrOutdated, m.setIndex, set.GetAfter())
	}
	return nil
}

func validAllocation(a *quotapb.Allocation) bool {
	if a == nil || a.Rate < 0 || a.Burst < 0 || a.Rate > maxAmount || a.Burst > maxAmount {
		return false
	}
	seen := map[string]bool{}
	for _, site := range a.Sites {
		if site == nil || len(site.Holders) == 0 || len(site.Holders) > holdersPerDataCentre {
			return false
		}
		for _, holder := range site.Holders {
			if holder == elasticName || seen[holder] {
				return false
			}
			seen[holder] = true
		}
	}
	return true
}

func (m *Machine) replaceHosts(hosts []string, index uint64) {
	clear(m.hosts)
	for _, h := range hosts {
		m.hosts[h] = true
	}
	for _, name := range slices.Sorted(maps.Keys(m.records)) {
		r := m.records[name]
		before := len(r.Pending)
		r.Pending = slices.DeleteFunc(r.Pending, func(h string) bool { return h != elasticName && !m.mustConfirm(h) })
		if len(r.Pending) != before {
			m.advance(r, index)
		}
	}
}

// mustConfirm reports whether the host must confirm decreases. A host that an
// operator removed need not, unless it started again after the leader observed the
// removal.
func (m *Machine) mustConfirm(host string) bool {
	return m.hosts[host] || m.joinIndex[host] > m.hostsAsOf
}

func (m *Machine) queueAllocation(workspace string, a *quotapb.Allocation, index uint64) {
	r, ok := m.records[workspace]
	if !ok {
		r = &quotapb.Record{Workspace: workspace, Settled: &quotapb.Allocation{}}
		m.records[workspace] = r
	}
	if equalAllocations(newestAllocation(r), a) {
		return
	}
	r.Queued, r.QueuedEpoch = a, index
	m.advance(r, index)
}

// newestAllocation returns the allocation that was set last.
func newestAllocation(r *quotapb.Record) *quotapb.Allocation {
	if r.Queued != nil {
		return r.Queued
	}
	if r.Next != nil {
		return r.Next
	}
	return r.Settled
}

// advance makes the next allocation the settled one when no confirmation is
// pending, and then starts the queued allocation.
func (m *Machine) advance(r *quotapb.Record, index uint64) {
	r.Changed = index
	for len(r.Pending) == 0 {
		if r.Next != nil {
			r.Settled, r.Next = r.Next, nil
		}
		if r.Queued == nil {
			return
		}
		r.Next, r.Epoch, r.Queued = r.Queued, r.QueuedEpoch, nil
		r.Pending = decreasedHolders(r.Settled, r.Next, m.mustConfirm)
	}
}

func (m *Machine) applyConfirm(c *quotapb.Confirm, index uint64) {
	if c.Host == elasticName && c.Term != m.elasticTerm {
		return // from a former leader, which no longer holds the elastic buckets
	}
	for _, confirmed := range c.Confirmed {
		r := m.records[confirmed.GetWorkspace()]
		if r == nil || r.Next == nil || r.Epoch != confirmed.Epoch || !slices.Contains(r.Pending, c.Host) {
			continue
		}
		r.Pending = slices.DeleteFunc(r.Pending, func(h string) bool { return h == c.Host })
		m.advance(r, index)
	}
}

// ChangedSince returns the records that changed after the index, and the index
// of the last command.
func (m *Machine) ChangedSince(after uint64) (uint64, []*quotapb.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.index, m.changedSince(after)
}

func (m *Machine) changedSince(after uint64) []*quotapb.Record {
	var out []*quotapb.Record
	for _, r := range m.records {
		if r.Changed > after {
			out = append(out, proto.CloneOf(r))
		}
	}
	slices.SortFunc(out, func(a, b *quotapb.Record) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}

// ReconcileCommand returns the command that changes the replicated state to the
// wanted one, or nil when there is nothing to change. It sets at most limit
// workspaces; another call returns the next ones.
func (m *Machine) ReconcileCommand(revision, asOf uint64, members []Member, workspaces []Workspace, limit int) *quotapb.Set {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision {
		return nil
	}
	after := m.setIndex
	out := &quotapb.Set{Revision: revision, AsOf: asOf, After: &after}
	wanted := map[string]bool{}
	for _, w := range workspaces {
		wanted[w.Name] = true
		a := Allocate(w, members)
		if r := m.records[w.Name]; (r == nil || !equalAllocations(newestAllocation(r), a)) && len(out.Wanted) < limit {
			out.Wanted = append(out.Wanted, &quotapb.Wanted{Workspace: w.Name, Allocation: a})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.records)) {
		if !wanted[name] && !equalAllocations(newestAllocation(m.records[name]), &quotapb.Allocation{}) && len(out.Wanted) < limit {
			out.Wanted = append(out.Wanted, &quotapb.Wanted{Workspace: name, Allocation: &quotapb.Allocation{}})
		}
	}
	if !m.sameHosts(members) || m.hostsAsOf < asOf {
		for _, member := range members {
			out.Hosts = append(out.Hosts, member.Name)
		}
	}
	if len(out.Wanted) == 0 && len(out.Hosts) == 0 {
		return nil
	}
	return out
}

func (m *Machine) sameHosts(members []Member) bool {
	for _, member := range members {
		if !m.hosts[member.Name] {
			return false
		}
	}
	return len(members) == len(m.hosts)
}

// Snapshot implements control.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	s := &quotapb.Snapshot{Index: m.index, Records: m.changedSince(0), ElasticTerm: m.elasticTerm, Revision: m.revision,
		AsOf: m.hostsAsOf, SetIndex: m.setIndex, Joined: maps.Clone(m.joinIndex),
		Hosts: slices.Sorted(maps.Keys(m.hosts))}
	m.mu.Unlock()
	out, err := proto.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("quota: marshal snapshot: %w", err)
	}
	return out, nil
}

// Restore implements control.Machine.
func (m *Machine) Restore(data []byte) error {
	var s quotapb.Snapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("quota: unmarshal snapshot: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index, m.elasticTerm, m.revision, m.hostsAsOf, m.setIndex = s.Index, s.ElasticTerm, s.Revision, s.AsOf, s.SetIndex
	m.joinIndex = map[string]uint64{}
	maps.Copy(m.joinIndex, s.Joined)
	m.hosts, m.records = map[string]bool{}, map[string]*quotapb.Record{}
	for _, h := range s.Hosts {
		m.hosts[h] = true
	}
	for _, r := range s.Records {
		m.records[r.Workspace] = r
	}
	return nil
}
