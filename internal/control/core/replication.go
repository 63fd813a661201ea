package core

import (
	"fmt"
	"slices"
	"time"
)

// progress is what a leader knows of another member.
type progress struct {
	match, next uint64
	// ackedAt is the largest send time that the member has echoed.
	ackedAt time.Duration
	acked   bool
	// stamp and process are the last that the member sent.
	stamp   time.Duration
	process uint64
	// snapshotResendAt is when a snapshot that was sent counts as lost.
	snapshotResendAt time.Duration
}

func (c *Core) tickLeader() {
	c.refreshQuorum()
	if c.now-c.quorumAckedAt > ElectionTimeoutMax {
		c.becomeFollower(c.state.Term)
		return
	}
	if c.now >= c.nextHeartbeatAt {
		c.broadcast()
	}
	c.maintainMembers()
}

// refreshQuorum computes the send time of the latest round that a majority answered.
func (c *Core) refreshQuorum() {
	var times []time.Duration
	voters := 0
	for _, m := range c.Members() {
		if m.Learner {
			continue
		}
		voters++
		if m.ID == c.id {
			times = append(times, c.now)
		} else if p := c.progress[m.ID]; p != nil && p.acked {
			times = append(times, p.ackedAt)
		}
	}
	need := voters/2 + 1
	if len(times) < need {
		return
	}
	slices.Sort(times)
	c.quorumAckedAt = max(c.quorumAckedAt, times[len(times)-need])
}

// leaseUntil is when the lease of a leader ends. Before a majority has answered
// in this term there is none.
func (c *Core) leaseUntil() (time.Duration, bool) {
	if c.role != Leader {
		return 0, false
	}
	c.refreshQuorum()
	acks := map[string]bool{c.id: true}
	for id, p := range c.progress {
		acks[id] = p.acked
	}
	if !c.hasMajority(acks) {
		return 0, false
	}
	if c.quorumAckedAt > c.now {
		panic(fmt.Sprintf("control: lease of term %d starts in the future", c.state.Term))
	}
	return c.quorumAckedAt + LeaseDuration, true
}

func (c *Core) leaseHolds() bool {
	until, ok := c.leaseUntil()
	return ok && c.now < until
}

// Lease returns the term and the end of the lease, if this voter leads, has the
// lease, and has applied all entries of earlier terms.
func (c *Core) Lease() (term uint64, until time.Duration, ok bool) {
	until, ok = c.leaseUntil()
	if !ok || c.applied < c.termStartIndex {
		return 0, 0, false
	}
	return c.state.Term, until, true
}

func (c *Core) broadcast() {
	c.nextHeartbeatAt = c.now + HeartbeatInterval
	for _, m := range c.Members() {
		if p := c.progress[m.ID]; p != nil {
			c.sendAppend(m.ID, p)
		}
	}
}

func (c *Core) sendAppend(id string, p *progress) {
	if p.next <= c.log.base {
		c.sendSnapshot(id, p)
		return
	}
	prev := p.next - 1
	prevTerm, _ := c.log.term(prev)
	entries := c.batchFrom(p.next)
	p.next += uint64(len(entries))
	c.messages = append(c.messages, Message{Kind: AppendRequest, From: c.id, To: id, Term: c.state.Term,
		Index: prev, LogTerm: prevTerm, Commit: c.commit, SentAt: c.now, Entries: entries,
		Stamp: p.stamp, Process: p.process, Lease: c.commit >= c.termStartIndex && c.leaseHolds()})
}

func (c *Core) batchFrom(first uint64) []Entry {
	size, last := 0, first-1
	for last < c.log.last() && size < maxAppendBytes {
		last++
		size += len(c.log.entries[last-c.log.base-1].Data)
	}
	return c.log.slice(first, last)
}

// sendSnapshot sends the snapshot, or while one is on its way an append without
// entries from the start of the log, which serves as a heartbeat.
func (c *Core) sendSnapshot(id string, p *progress) {
	m := Message{Kind: AppendRequest, From: c.id, To: id, Term: c.state.Term, SentAt: c.now}
	if c.now >= p.snapshotResendAt {
		s := c.snapshot
		m.Kind, m.Snapshot = SnapshotRequest, &s
		p.snapshotResendAt = c.now + snapshotResendDelay
	}
	c.messages = append(c.messages, m)
}

// onLeaderMessage handles appends and snapshots.
func (c *Core) onLeaderMessage(m Message) {
	if m.Term < c.state.Term {
		// No AppendResponse: it would carry the newer term with a send time of the
		// older one, which the sender, if it leads again, would count for its lease.
		c.sendVoteResponse(VoteResponse, m.From, c.state.Term, false)
		return
	}
	if m.Term == c.state.Term && c.termLeader != "" && c.termLeader != m.From {
		panic(fmt.Sprintf("control: election safety: %s and %s lead term %d", m.From, c.termLeader, m.Term))
	}
	if m.Term > c.state.Term || c.role != Follower {
		c.becomeFollower(m.Term)
	}
	c.leader, c.termLeader, c.leaderContactAt, c.leaderSeen = m.From, m.From, c.now, true
	c.resetElectionTimer()
	if m.Kind == SnapshotRequest {
		c.onSnapshot(m)
		return
	}
	c.onAppend(m)
}

func (c *Core) sendAppendResponse(m Message, ok bool, index uint64) {
	c.afterSync = append(c.afterSync, Message{Kind: AppendResponse, From: c.id, To: m.From, Term: c.state.Term,
		OK: ok, Index: index, SentAt: m.SentAt, Stamp: c.now, Process: c.process})
}

func (c *Core) onAppend(m Message) {
	if m.Index < c.commit && m.Index+uint64(len(m.Entries)) <= c.commit {
		// All of it is committed here, so it matches up to its end.
		c.updateCurrentAsOf(m)
		c.sendAppendResponse(m, true, m.Index+uint64(len(m.Entries)))
		return
	}
	if m.Index < c.commit {
		skip := c.commit - m.Index
		m.Index, m.LogTerm = c.commit, m.Entries[skip-1].Term
		m.Entries = m.Entries[skip:]
	}
	if term, ok := c.log.term(m.Index); !ok || term != m.LogTerm {
		c.sendAppendResponse(m, false, c.conflictHint(m.Index))
		return
	}
	for _, e := range m.Entries {
		if term, ok := c.log.term(e.Index); ok {
			if term == e.Term {
				continue
			}
			c.truncate(e.Index)
		}
		c.appendEntry(e)
	}
	match := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, match))
	c.updateCurrentAsOf(m)
	c.sendAppendResponse(m, true, match)
}

// updateCurrentAsOf moves the time up to which this voter has all committed entries:
// the leader held its lease after it had received the echoed stamp.
func (c *Core) updateCurrentAsOf(m Message) {
	if m.Lease && m.Process == c.process && m.Stamp > 0 && m.Stamp <= c.now && c.commit >= m.Commit {
		c.currentAsOf, c.hasCurrentAsOf = max(c.currentAsOf, m.Stamp), true
	}
}

// CurrentAsOf returns the time up to which the committed entries of this voter are
// all that any leader has acknowledged. A leader is current until its lease ends.
func (c *Core) CurrentAsOf() (asOf time.Duration, ok bool) {
	if c.role == Leader && c.commit >= c.termStartIndex && c.leaseHolds() {
		return c.now, true
	}
	return c.currentAsOf, c.hasCurrentAsOf
}

// CommitIndex returns the last index that is known to be committed.
func (c *Core) CommitIndex() uint64 { return c.commit }

// conflictHint is the last index at which the logs may match, given that they do not at
// the index: all entries of the conflicting term are passed over.
func (c *Core) conflictHint(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last()
	}
	conflict, _ := c.log.term(index)
	for index > c.commit {
		if term, ok := c.log.term(index); !ok || term != conflict {
			break
		}
		index--
	}
	return index
}

func (c *Core) onSnapshot(m Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	if s.Index <= c.commit {
		c.sendAppendResponse(m, true, s.Index)
		return
	}
	if term, ok := c.log.term(s.Index); ok && term == s.Term {
		// The log already has everything: entries after it may have been
		// acknowledged and must stay.
		c.commitTo(s.Index)
		c.sendAppendResponse(m, true, s.Index)
		return
	}
	c.log = entryLog{base: s.Index, baseTerm: s.Term}
	c.firstUnsaved, c.synced, c.commit, c.applied = s.Index+1, s.Index, s.Index, s.Index
	c.snapshot = Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
	c.memberships = []membership{{s.Index, s.Members}}
	c.pendingInstall = s
	c.sendAppendResponse(m, true, s.Index)
}

func (c *Core) onAppendResponse(m Message) {
	if m.Term > c.state.Term {
		c.becomeFollower(m.Term)
		return
	}
	if c.role != Leader || m.Term < c.state.Term {
		return
	}
	c.confirmJoin(m.From)
	p := c.progress[m.From]
	if p == nil {
		c.maintainMembers()
		return
	}
	p.acked, p.ackedAt = true, max(p.ackedAt, m.SentAt)
	p.stamp, p.process = m.Stamp, m.Process
	c.refreshQuorum()
	if !m.OK {
		p.next = max(p.match+1, min(p.next, m.Index+1))
		c.sendAppend(m.From, p)
		return
	}
	if m.Index > p.match {
		p.match, p.snapshotResendAt = m.Index, 0
	}
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	if p.next <= c.log.last() && p.next > c.log.base {
		c.sendAppend(m.From, p)
	}
	c.maintainMembers()
}

// advanceCommit commits what a majority has synced, if it is of this term.
func (c *Core) advanceCommit() {
	var matches []uint64
	for _, m := range c.Members() {
		switch {
		case m.Learner:
		case m.ID == c.id:
			matches = append(matches, c.synced)
		default:
			matches = append(matches, c.progress[m.ID].match)
		}
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if term, ok := c.log.term(index); index <= c.commit || !ok || term != c.state.Term {
		return
	}
	c.commitTo(index)
	c.broadcast()
}
