package quota

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/quota/quotapb"
)

// MachineName is the name of the state machine in the replicated log.
const MachineName = "quota"

// elastic stands for the elastic bucket among the names of hosts.
const elastic = ""

const (
	maxRate  = int64(1) << 62
	maxHosts = 4096
)

// Machine applies changes of allocations in log order. Invariant: next
// replaces settled only when every host whose share decreases has confirmed or
// was removed, so the shares in force never add up to more than one of both.
type Machine struct {
	mu          sync.Mutex
	index       uint64
	hosts       map[string]bool
	records     map[string]*quotapb.Record
	elasticTerm uint64
	revision    uint64
	// joined is the log index of the last start of each host; asOf is the index
	// at which the leader first saw the host list in force.
	joined map[string]uint64
	asOf   uint64
}

// NewMachine returns a machine without workspaces.
func NewMachine() *Machine {
	return &Machine{hosts: map[string]bool{}, records: map[string]*quotapb.Record{}, joined: map[string]uint64{}}
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
		m.set(k.Set, index)
	case *quotapb.Command_Confirm:
		m.confirm(k.Confirm, index)
	case *quotapb.Command_StartElastic:
		m.elasticTerm = max(m.elasticTerm, k.StartElastic.GetTerm())
	case *quotapb.Command_Join:
		if host := k.Join.GetHost(); host != elastic {
			m.joined[host] = index
		}
	}
}

func (m *Machine) set(c *quotapb.Set, index uint64) {
	if c.Revision < m.revision {
		return // from a leader whose copy of the rules is old
	}
	m.revision = c.Revision
	if len(c.Hosts) > 0 && len(c.Hosts) <= maxHosts {
		m.asOf = max(m.asOf, c.AsOf)
		m.replaceHosts(c.Hosts, index)
	}
	for _, wanted := range c.Wanted {
		if valid(wanted.GetAllocation()) && wanted.Workspace != "" {
			m.want(wanted.Workspace, wanted.Allocation, index)
		}
	}
}

func valid(a *quotapb.Allocation) bool {
	if a == nil || a.Rate < 0 || a.Burst < 0 || a.Rate > maxRate || a.Burst > maxRate {
		return false
	}
	seen := map[string]bool{}
	for _, site := range a.Sites {
		if site == nil || len(site.Holders) == 0 || len(site.Holders) > holdersPerDataCentre {
			return false
		}
		for _, holder := range site.Holders {
			if holder == elastic || seen[holder] {
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
		r.Pending = slices.DeleteFunc(r.Pending, func(h string) bool { return h != elastic && !m.mustConfirm(h) })
		if len(r.Pending) != before {
			m.advance(r, index)
		}
	}
}

// mustConfirm is false for hosts that an operator removed, unless the host
// started after the removal was seen.
func (m *Machine) mustConfirm(host string) bool {
	return m.hosts[host] || m.joined[host] > m.asOf
}

func (m *Machine) want(workspace string, a *quotapb.Allocation, index uint64) {
	r, ok := m.records[workspace]
	if !ok {
		r = &quotapb.Record{Workspace: workspace, Settled: &quotapb.Allocation{}}
		m.records[workspace] = r
	}
	if equalAllocations(newest(r), a) {
		return
	}
	r.Queued, r.QueuedEpoch = a, index
	m.advance(r, index)
}

// newest is the allocation that was set last.
func newest(r *quotapb.Record) *quotapb.Allocation {
	if r.Queued != nil {
		return r.Queued
	}
	if r.Next != nil {
		return r.Next
	}
	return r.Settled
}

// advance settles what nobody must confirm any more and starts what is queued.
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
		r.Pending = decreasing(r.Settled, r.Next, m.mustConfirm)
	}
}

func (m *Machine) confirm(c *quotapb.Confirm, index uint64) {
	if c.Host == elastic && c.Term != m.elasticTerm {
		return // a former leader; the elastic bucket is elsewhere now
	}
	for _, done := range c.Confirmed {
		r := m.records[done.GetWorkspace()]
		if r == nil || r.Next == nil || r.Epoch != done.Epoch || !slices.Contains(r.Pending, c.Host) {
			continue
		}
		r.Pending = slices.DeleteFunc(r.Pending, func(h string) bool { return h == c.Host })
		m.advance(r, index)
	}
}

// ChangedSince returns the records that changed after the index, and the index of the
// last command.
func (m *Machine) ChangedSince(after uint64) (uint64, []*quotapb.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.index, m.since(after)
}

func (m *Machine) since(after uint64) []*quotapb.Record {
	var out []*quotapb.Record
	for _, r := range m.records {
		if r.Changed > after {
			out = append(out, proto.CloneOf(r))
		}
	}
	slices.SortFunc(out, func(a, b *quotapb.Record) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}

// ReconcileCommand returns the command that brings the machine to the wanted state, or
// nil. It holds at most limit workspaces.
func (m *Machine) ReconcileCommand(revision, asOf uint64, members []Member, workspaces []Workspace, limit int) *quotapb.Set {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision {
		return nil
	}
	out := &quotapb.Set{Revision: revision, AsOf: asOf}
	wanted := map[string]bool{}
	for _, w := range workspaces {
		wanted[w.Name] = true
		a := Allocate(w, members)
		if r := m.records[w.Name]; (r == nil || !equalAllocations(newest(r), a)) && len(out.Wanted) < limit {
			out.Wanted = append(out.Wanted, &quotapb.Wanted{Workspace: w.Name, Allocation: a})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.records)) {
		if !wanted[name] && !equalAllocations(newest(m.records[name]), &quotapb.Allocation{}) && len(out.Wanted) < limit {
			out.Wanted = append(out.Wanted, &quotapb.Wanted{Workspace: name, Allocation: &quotapb.Allocation{}})
		}
	}
	if !m.sameHosts(members) || m.asOf < asOf {
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
	s := &quotapb.Snapshot{Index: m.index, Records: m.since(0), ElasticTerm: m.elasticTerm, Revision: m.revision,
		AsOf: m.asOf, Joined: maps.Clone(m.joined),
		Hosts: slices.Sorted(maps.Keys(m.hosts))}
	m.mu.Unlock()
	out, err := proto.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("quota: snapshot: %w", err)
	}
	return out, nil
}

// Restore implements control.Machine.
func (m *Machine) Restore(data []byte) error {
	var s quotapb.Snapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("quota: restore: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index, m.elasticTerm, m.revision, m.asOf = s.Index, s.ElasticTerm, s.Revision, s.AsOf
	m.joined = map[string]uint64{}
	maps.Copy(m.joined, s.Joined)
	m.hosts, m.records = map[string]bool{}, map[string]*quotapb.Record{}
	for _, h := range s.Hosts {
		m.hosts[h] = true
	}
	for _, r := range s.Records {
		m.records[r.Workspace] = r
	}
	return nil
}
