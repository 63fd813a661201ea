package core

import (
	"fmt"
	"time"
)

func (c *Core) resetElectionTimer() {
	spread := int64(ElectionTimeoutMax - ElectionTimeoutMin)
	c.electionDeadline = c.now + ElectionTimeoutMin + time.Duration(c.rand.Int64N(spread))
	if c.isSoleVoter() {
		c.electionDeadline = c.now // no other voter can lead or hold a lease
	}
}

// voterRank is the position of this voter in the order of their ids.
func (c *Core) voterRank() int {
	ahead := 0
	for _, m := range c.Members() {
		if !m.Learner && m.ID < c.id {
			ahead++
		}
	}
	return ahead
}

// resetCandidateTimer sets the time of the next try of a candidate.
func (c *Core) resetCandidateTimer() {
	c.electionDeadline = c.now + candidateRetryMin + time.Duration(c.rand.Int64N(int64(candidateRetryMax-candidateRetryMin)))
	if c.isSoleVoter() {
		c.electionDeadline = c.now
	}
}

// leaseMayHold reports whether votes must be refused because a leader may hold a lease.
func (c *Core) leaseMayHold() bool {
	if c.role == Leader {
		return c.leaseHolds()
	}
	return c.now-c.leaderContactAt < NoVotePeriod && !c.isSoleVoter()
}

func (c *Core) upToDate(m Message) bool {
	own := c.log.lastTerm()
	return m.LogTerm > own || m.LogTerm == own && m.Index >= c.log.last()
}

func (c *Core) startPreVote() {
	c.resetCandidateTimer()
	if !c.isVoter(c.id) {
		return
	}
	c.role, c.leader = PreCandidate, ""
	c.votes = map[string]bool{c.id: true}
	c.noLeaderSeen, c.preVoteStartedAt = map[string]uint64{c.id: c.process}, c.now
	if c.hasMajority(c.votes) {
		c.startElection(false)
		return
	}
	c.requestVotes(PreVoteRequest, c.state.Term+1, false)
}

// Resign gives up the lead and asks the most advanced voter to take it over. The
// lease ends before the request leaves.
func (c *Core) Resign(now time.Duration) {
	c.advanceClock(now)
	if c.role != Leader {
		return
	}
	best, match := "", uint64(0)
	for _, m := range c.Members() {
		if p := c.progress[m.ID]; p != nil && !m.Learner && p.acked && c.now-p.ackedAt < ElectionTimeoutMin && p.match >= match {
			best, match = m.ID, p.match
		}
	}
	if best == "" {
		return
	}
	c.becomeFollower(c.state.Term)
	c.leaderContactAt = c.now
	c.messages = append(c.messages, Message{Kind: TransferRequest, From: c.id, To: best, Term: c.state.Term})
}

func (c *Core) onTransferRequest(m Message) {
	if m.Term == c.state.Term && c.role == Follower && c.isVoter(c.id) {
		c.startElection(true)
	}
}

// startElection asks for votes in a new term. transfer means that the leader asked for
// it after it gave up its lease.
func (c *Core) startElection(transfer bool) {
	c.role = Candidate
	c.setState(HardState{Term: c.state.Term + 1, Vote: c.id})
	c.votes = map[string]bool{c.id: true}
	c.resetCandidateTimer()
	c.requestVotes(VoteRequest, c.state.Term, transfer)
}

// requestVotes asks all other voters. After a transfer the old leader has given up its
// lease, so that a voter need not wait for its end; OK in a request says so. The
// requests of an election wait for the sync of the own vote.
func (c *Core) requestVotes(kind MessageKind, term uint64, transfer bool) {
	for _, m := range c.Members() {
		if m.ID != c.id && !m.Learner {
			c.afterSync = append(c.afterSync, Message{Kind: kind, From: c.id, To: m.ID, Term: term,
				Index: c.log.last(), LogTerm: c.log.lastTerm(), OK: transfer, SentAt: c.preVoteStartedAt,
				NoLeaderSeen: kind == VoteRequest && c.noVoterSawLeader(), Process: c.noLeaderSeen[m.ID]})
		}
	}
}

// noVoterSawLeader reports whether every voter has said in this round that it is free.
func (c *Core) noVoterSawLeader() bool {
	for _, m := range c.Members() {
		if _, ok := c.noLeaderSeen[m.ID]; !ok && !m.Learner {
			return false
		}
	}
	return !c.leaderSeen
}

func (c *Core) sendVoteResponse(kind MessageKind, to string, term uint64, ok bool) {
	c.afterSync = append(c.afterSync, Message{Kind: kind, From: c.id, To: to, Term: term, OK: ok})
}

func (c *Core) onPreVoteRequest(m Message) {
	if m.Term > c.state.Term && !c.leaseMayHold() && c.upToDate(m) {
		c.afterSync = append(c.afterSync, Message{Kind: PreVoteResponse, From: c.id, To: m.From, Term: m.Term, OK: true,
			SentAt: m.SentAt, NoLeaderSeen: !c.leaderSeen, Process: c.process})
		return
	}
	if m.Term > c.state.Term && !c.leaderSeen && c.upToDate(m) {
		c.afterSync = append(c.afterSync, Message{Kind: PreVoteResponse, From: c.id, To: m.From, Term: m.Term,
			SentAt: m.SentAt, NoLeaderSeen: true, Process: c.process})
		return
	}
	c.sendVoteResponse(PreVoteResponse, m.From, c.state.Term, false)
}

// answerPreVoteForLostID tells a candidate that the process of the id that this host had
// before it lost its disk has ended, and so neither leads nor follows a leader.
func (c *Core) answerPreVoteForLostID(m Message) {
	if m.Kind == PreVoteRequest && !c.leaderSeen {
		c.messages = append(c.messages, Message{Kind: PreVoteResponse, From: m.To, To: m.From, Term: m.Term,
			SentAt: m.SentAt, NoLeaderSeen: true, Process: c.process})
	}
}

// mustRefuseVote reports whether a vote must be refused because a leader may hold a lease. It
// need not when the leader has given it up, or when no voter leads and this process
// has confirmed none.
func (c *Core) mustRefuseVote(m Message) bool {
	if c.role == Leader {
		return c.leaseMayHold()
	}
	free := m.NoLeaderSeen && m.Process == c.process && !c.leaderSeen
	return c.leaseMayHold() && !m.OK && !free
}

// onVoteRequest grants at most one vote in a term. A voter also votes when its
// own log does not yet say that it was promoted, because the candidate may need
// that vote; its id has one durable vote in each term either way.
func (c *Core) onVoteRequest(m Message) {
	if m.Term < c.state.Term || c.mustRefuseVote(m) {
		c.sendVoteResponse(VoteResponse, m.From, c.state.Term, false)
		return
	}
	if m.Term > c.state.Term {
		c.becomeFollower(m.Term)
	}
	free := c.state.Vote == "" || c.state.Vote == m.From
	if !free || !c.upToDate(m) {
		c.sendVoteResponse(VoteResponse, m.From, c.state.Term, false)
		return
	}
	c.setState(HardState{Term: m.Term, Vote: m.From})
	c.role = Follower
	c.resetElectionTimer()
	c.sendVoteResponse(VoteResponse, m.From, m.Term, true)
}

func (c *Core) onVoteResponse(m Message) {
	if m.Kind == PreVoteResponse && m.NoLeaderSeen && c.role == PreCandidate && m.Term == c.state.Term+1 && m.SentAt == c.preVoteStartedAt {
		c.noLeaderSeen[m.From] = m.Process
		if c.noVoterSawLeader() {
			c.startElection(false)
			return
		}
	}
	if m.NoLeaderSeen && !m.OK {
		return
	}
	if !m.OK {
		if m.Term > c.state.Term {
			c.becomeFollower(m.Term)
		}
		return
	}
	switch {
	case m.Kind == PreVoteResponse && c.role == PreCandidate && m.Term == c.state.Term+1:
		if c.votes[m.From] = true; c.hasMajority(c.votes) {
			c.startElection(false)
		}
	case m.Kind == VoteResponse && c.role == Candidate && m.Term == c.state.Term:
		if c.votes[m.From] = true; c.hasMajority(c.votes) {
			c.becomeLeader()
		}
	}
}

func (c *Core) becomeLeader() {
	if c.termLeader != "" {
		panic(fmt.Sprintf("control: election safety: %s won term %d, which %s leads", c.id, c.state.Term, c.termLeader))
	}
	c.leaderSeen = true
	c.role, c.leader, c.termLeader, c.votes = Leader, c.id, c.id, nil
	c.progress, c.joinRequests = map[string]*progress{}, map[string]*joinRequest{}
	c.quorumAckedAt, c.leaderSince = c.now, c.now
	c.trackMembers()
	c.termStartIndex = c.log.last() + 1
	c.appendAsLeader(Entry{Kind: EntryNoop})
	c.broadcast()
}
