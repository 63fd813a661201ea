package core

import (
	"maps"
	"slices"
)

// Members returns the membership in force, which is the latest in the log.
func (c *Core) Members() []Member { return c.configs[len(c.configs)-1].members }

// MembersAt returns the membership as of an index that is not compacted away.
func (c *Core) MembersAt(index uint64) []Member {
	members := c.configs[0].members
	for _, m := range c.configs {
		if m.index <= index {
			members = m.members
		}
	}
	return cloneMembers(members)
}

func (c *Core) isVoter(id string) bool {
	for _, m := range c.Members() {
		if m.ID == id {
			return !m.Learner
		}
	}
	return false
}

func (c *Core) soleVoter() bool { return c.isVoter(c.id) && c.hasMajority(map[string]bool{c.id: true}) }

func (c *Core) hasMajority(votes map[string]bool) bool {
	voters, have := 0, 0
	for _, m := range c.Members() {
		if m.Learner {
			continue
		}
		voters++
		if votes[m.ID] {
			have++
		}
	}
	return have > voters/2
}

// trackMembers keeps one progress for each other member of a leader's membership.
func (c *Core) trackMembers() {
	if c.role != Leader {
		return
	}
	current := map[string]*progress{}
	for _, m := range c.Members() {
		if m.ID == c.id {
			continue
		}
		if current[m.ID] = c.progress[m.ID]; current[m.ID] == nil {
			current[m.ID] = &progress{next: c.log.last() + 1}
		}
	}
	c.progress = current
}

// Join asks the leader to make the id a voter in the place of all other ids of
// its host name.
func (c *Core) Join(id, host string) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if host == c.host {
		return nil
	}
	if !c.isVoter(id) {
		c.joins[host] = id
		c.maintainMembers()
	}
	return nil
}

// maintainMembers makes the next membership change that a join needs. There is
// one change at a time: the next one waits until the last is committed, and the
// first one until an entry of the own term is, so that a majority of the old and
// of the new membership always overlap.
func (c *Core) maintainMembers() {
	latest := c.configs[len(c.configs)-1].index
	if c.role != Leader || latest > c.commit || c.commit < c.termStart || !c.leaseHolds() {
		return
	}
	hosts := slices.Sorted(maps.Keys(c.joins))
	for _, host := range hosts {
		id := c.joins[host]
		if c.isVoter(id) {
			delete(c.joins, host)
			continue
		}
		if next, ok := c.withoutOld(host, id); ok {
			c.changeMembers(next)
			return
		}
	}
	for _, m := range c.Members() {
		if p := c.progress[m.ID]; m.Learner && p != nil && p.match >= c.commit {
			c.changeMembers(c.promoted(m.ID))
			return
		}
	}
	for _, host := range hosts {
		id, wanted := c.joins[host]
		if wanted && !c.isMember(id) {
			c.changeMembers(append(cloneMembers(c.Members()), Member{ID: id, Host: host, Learner: true}))
			return
		}
	}
}

func (c *Core) isMember(id string) bool {
	for _, m := range c.Members() {
		if m.ID == id {
			return true
		}
	}
	return false
}

// withoutOld returns the membership without one older id of the host.
func (c *Core) withoutOld(host, id string) ([]Member, bool) {
	for i, m := range c.Members() {
		if m.Host == host && m.ID != id {
			return append(cloneMembers(c.Members()[:i]), c.Members()[i+1:]...), true
		}
	}
	return nil, false
}

func (c *Core) promoted(id string) []Member {
	out := cloneMembers(c.Members())
	for i := range out {
		if out[i].ID == id {
			out[i].Learner = false
		}
	}
	return out
}

func (c *Core) changeMembers(members []Member) {
	c.appendOwn(Entry{Kind: EntryMembers, Members: members})
	c.broadcast()
}

// Status describes a voter for operators and tests.
type Status struct {
	ID      string
	Role    Role
	Term    uint64
	Leader  string
	Commit  uint64
	Applied uint64
	Last    uint64
	Members []Member
}

// Status returns the present state.
func (c *Core) Status() Status {
	return Status{ID: c.id, Role: c.role, Term: c.state.Term, Leader: c.leader, Commit: c.commit,
		Applied: c.applied, Last: c.log.last(), Members: cloneMembers(c.Members())}
}
