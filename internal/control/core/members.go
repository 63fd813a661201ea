package core

import (
	"maps"
	"slices"
	"time"
)

// Members returns the membership in force, which is the latest one in the log even
// if it is not committed.
func (c *Core) Members() []Member { return c.memberships[len(c.memberships)-1].members }

// MembersAt returns the membership at an index that has not been compacted.
func (c *Core) MembersAt(index uint64) []Member {
	members := c.memberships[0].members
	for _, m := range c.memberships {
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

func (c *Core) isSoleVoter() bool {
	return c.isVoter(c.id) && c.hasMajority(map[string]bool{c.id: true})
}

func (c *Core) hasMajority(votes map[string]bool) bool {
	voters, granted := 0, 0
	for _, m := range c.Members() {
		if m.Learner {
			continue
		}
		voters++
		if votes[m.ID] {
			granted++
		}
	}
	return granted > voters/2
}

// trackMembers makes the leader's progress map match the membership, with one entry for
// each other member.
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
			current[m.ID] = &progress{next: c.log.last() + 1, silentSince: c.now}
		}
	}
	c.progress = current
}

// Join records a request to make the id a voter in place of all other ids of the
// same host.
func (c *Core) Join(id, host string) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if host == c.host || c.isVoter(id) {
		return nil
	}
	j := c.joinRequests[host]
	if j == nil || j.id != id {
		j = &joinRequest{id: id}
		c.joinRequests[host] = j
	}
	j.expiresAt = c.now + joinRequestTTL
	c.sendJoinProbe(j)
	return nil
}

// joinRequest is a request for membership. It takes effect only after the id has
// answered a message of this leader: a delayed request may name an id that its host
// has lost since, which must not replace the current one.
type joinRequest struct {
	id        string
	confirmed bool
	expiresAt time.Duration
}

func (c *Core) sendJoinProbe(j *joinRequest) {
	c.messages = append(c.messages, Message{Kind: AppendRequest, From: c.id, To: j.id, Term: c.state.Term, SentAt: c.now})
}

func (c *Core) confirmJoin(id string) {
	for _, j := range c.joinRequests {
		if j.id == id {
			j.confirmed = true
		}
	}
}

// confirmedJoins returns the hosts with a confirmed join request, sorted by name. It
// drops requests that are fulfilled or expired.
func (c *Core) confirmedJoins() []string {
	var out []string
	for _, host := range slices.Sorted(maps.Keys(c.joinRequests)) {
		j := c.joinRequests[host]
		if c.isVoter(j.id) || c.now > j.expiresAt {
			delete(c.joinRequests, host)
		} else if j.confirmed {
			out = append(out, host)
		}
	}
	return out
}

// maintainMembers starts the next membership change that is due. Only one change is
// in progress at a time: a change waits until the previous one is committed, and the
// first change of a leader waits until an entry of its term is committed. Majorities
// of the old and the new membership therefore always overlap.
func (c *Core) maintainMembers() {
	changedAt := c.memberships[len(c.memberships)-1].index
	if c.role != Leader || changedAt > c.commit || c.commit < c.termStartIndex || !c.leaseHolds() {
		return
	}
	hosts := c.confirmedJoins()
	for _, host := range hosts {
		if next, ok := c.withoutPreviousID(host, c.joinRequests[host].id); ok {
			c.changeMembers(next)
			return
		}
	}
	if next, ok := c.withoutSurplusVoter(); ok {
		c.changeMembers(next)
		return
	}
	for _, m := range c.Members() {
		if c.canPromote(m) && (c.needsVoter() || c.hasUnresponsiveVoter()) {
			c.changeMembers(c.withPromoted(m.ID))
			return
		}
	}
	for _, host := range hosts {
		if id := c.joinRequests[host].id; !c.isMember(id) {
			c.changeMembers(append(cloneMembers(c.Members()), Member{ID: id, Host: host, Learner: true}))
			return
		}
	}
}

// needsVoter reports whether a learner may become a voter.
func (c *Core) needsVoter() bool { return c.voterCount == 0 || c.countVoters() < c.voterCount }

func (c *Core) countVoters() int {
	voters := 0
	for _, m := range c.Members() {
		if !m.Learner {
			voters++
		}
	}
	return voters
}

// canPromote reports whether a member is a learner that has all committed entries and
// responds.
func (c *Core) canPromote(m Member) bool {
	p := c.progress[m.ID]
	return m.Learner && p != nil && p.match >= c.commit && c.now-p.ackedAt < ElectionTimeoutMin
}

// hasUnresponsiveVoter reports whether a voter has been unresponsive for
// voterReplaceDelay. A new leader waits for responses to its first messages.
func (c *Core) hasUnresponsiveVoter() bool {
	return c.now-c.leaderSince > ElectionTimeoutMin && slices.ContainsFunc(c.Members(), func(m Member) bool {
		p := c.progress[m.ID]
		return !m.Learner && p != nil && c.now-max(p.ackedAt, p.silentSince) > voterReplaceDelay
	})
}

// withoutSurplusVoter returns the membership without the voter that responded least
// recently, or reports false unless a learner was promoted to replace a voter. A voter
// is removed only after that promotion: without it the remaining voters could not bear
// the loss of another disk, even if the unresponsive voter returns.
func (c *Core) withoutSurplusVoter() ([]Member, bool) {
	if c.voterCount == 0 || c.countVoters() <= c.voterCount {
		return nil, false
	}
	oldest := -1
	for i, m := range c.Members() {
		p := c.progress[m.ID]
		if !m.Learner && p != nil && (oldest < 0 || p.ackedAt < c.progress[c.Members()[oldest].ID].ackedAt) {
			oldest = i
		}
	}
	return append(cloneMembers(c.Members()[:oldest]), c.Members()[oldest+1:]...), true
}

func (c *Core) isMember(id string) bool {
	for _, m := range c.Members() {
		if m.ID == id {
			return true
		}
	}
	return false
}

// withoutPreviousID returns the membership without one other id of the host, or
// reports false if there is none.
func (c *Core) withoutPreviousID(host, id string) ([]Member, bool) {
	for i, m := range c.Members() {
		if m.Host == host && m.ID != id {
			return append(cloneMembers(c.Members()[:i]), c.Members()[i+1:]...), true
		}
	}
	return nil, false
}

func (c *Core) withPromoted(id string) []Member {
	out := cloneMembers(c.Members())
	for i := range out {
		if out[i].ID == id {
			out[i].Learner = false
		}
	}
	return out
}

func (c *Core) changeMembers(members []Member) {
	c.appendAsLeader(Entry{Kind: EntryMembers, Members: members})
	c.broadcast()
}

// NeedsJoin reports whether the driver should request membership: when this process
// is not a voter, and when it follows no leader, because it may have been removed
// without receiving that entry.
func (c *Core) NeedsJoin() bool { return !c.isVoter(c.id) || c.leader == "" }

// Status is the state of a voter for operators and tests.
type Status struct {
	ID        string
	Role      Role
	Term      uint64
	Leader    string
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	Members   []Member
	// CurrentVoters is the number of voters with all committed entries; zero unless
	// this voter is the leader.
	CurrentVoters int
}

// currentVoters counts the voters with all committed entries. It is zero unless this
// voter is the leader.
func (c *Core) currentVoters() int {
	if c.role != Leader {
		return 0
	}
	current := 0
	for _, m := range c.Members() {
		p := c.progress[m.ID]
		if !m.Learner && (m.ID == c.id || p != nil && p.match >= c.commit) {
			current++
		}
	}
	return current
}

// Status returns the current state.
func (c *Core) Status() Status {
	return Status{ID: c.id, Role: c.role, Term: c.state.Term, Leader: c.leader, Commit: c.commit,
		Applied: c.applied, LastIndex: c.log.last(), Members: cloneMembers(c.Members()), CurrentVoters: c.currentVoters()}
}
