package core

import (
	"fmt"
	"slices"
	"time"
)

// progress is the replication state of another member, kept by the leader.
type progress struct {
	match, next uint64
	// ackedAt is the largest send time that the member has echoed.
	ackedAt time.Duration
	acked   bool
	// silentSince is a time after which the member may have been silent, as long as it
	// has not acknowledged anything sent later.
	silentSince time.Duration
	// stamp and process are the latest values that the member sent.
	stamp   time.Duration
	process uint64
	// snapshotResendAt is when an unacknowledged snapshot counts as lost.
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

// refreshQuorum computes the send time of the latest heartbeat round that a majority
// acknowledged.
func (c *Core) refreshQuorum() {
	var ackTimes []time.Duration
	voters := 0
	for _, m := range c.Members() {
		if m.Learner {
			continue
		}
		voters++
		if m.ID == c.id {
			ackTimes = append(ackTimes, c.now)
		} else if p := c.progress[m.ID]; p != nil && p.acked {
			ackTimes = append(ackTimes, p.ackedAt)
		}
	}
	majority := voters/2 + 1
	if len(ackTimes) < majority {
		return
	}
	slices.Sort(ackTimes)
	c.quorumAckedAt = max(c.quorumAckedAt, ackTimes[len(ackTimes)-majority])
}

// leaseUntil returns when the lease of a leader ends. There is no lease before a
// majority has acknowledged a heartbeat of this term.
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

// Lease returns the term and the end of the lease. It reports false unless this
// voter is the leader, a majority has acknowledged it, and it has applied all
// entries of earlier terms. The returned end may have passed.
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

// sendSnapshot sends the snapshot. While an earlier one is unacknowledged, it sends
// an append at index zero without entries instead, which serves as a heartbeat.
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
		// An AppendResponse would combine the newer term with a send time from the
		// older one. If the sender has become leader of the newer term, it would count
		// that for its lease.
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
	c.lastLeader = m.From
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
		// All entries of the message are committed here, so they match.
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

// updateCurrentAsOf advances currentAsOf to the stamp that the leader echoes: the
// leader held its lease after it had received that stamp, so its commit index covers
// every entry acknowledged before the stamp.
func (c *Core) updateCurrentAsOf(m Message) {
	if m.Lease && m.Process == c.process && m.Stamp > 0 && m.Stamp <= c.now && c.commit >= m.Commit {
		c.currentAsOf, c.hasCurrentAsOf = max(c.currentAsOf, m.Stamp), true
	}
}

// CurrentAsOf returns a time before which no leader has acknowledged an entry that
// is not applied here. It reports false while committed entries are not applied. For a
// leader the time is the current one while its lease is valid.
func (c *Core) CurrentAsOf() (asOf time.Duration, ok bool) {
	if c.applied < c.commit {
		return 0, false
	}
	if c.role == Leader && c.commit >= c.termStartIndex && c.leaseHolds() {
		return c.now, true
	}
	return c.currentAsOf, c.hasCurrentAsOf
}

// CommitIndex returns the highest index known to be committed.
func (c *Core) CommitIndex() uint64 { return c.commit }

// conflictHint returns the last index at which the logs may match, given that they
// do not match at the index. It skips all entries of the conflicting term.
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
		// The log already contains the snapshot. Entries after it may have been
		// acknowledged and must be kept.
		c.commitTo(s.Index)
		c.sendAppendResponse(m, true, s.Index)
		return
	}
	c.log = entryLog{base: s.Index, baseTerm: s.Term}
	c.firstUnsaved, c.synced, c.commit, c.delivered = s.Index+1, s.Index, s.Index, s.Index
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

// advanceCommit commits the entries that a majority has synced, if the last of them
// is of the leader's term.
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
