package core

import (
	"fmt"
	"time"
)

func (c *Core) resetElectionTimer() {
	spread := int64(ElectionTimeoutMax - ElectionTimeoutMin)
	c.electionDeadline = c.now + ElectionTimeoutMin + time.Duration(c.rand.Int64N(spread))
	if c.isSoleVoter() {
		c.electionDeadline = c.now // there is no other voter that could hold a lease
	}
}

// voterRank is the number of voters whose id sorts before this one.
func (c *Core) voterRank() int {
	rank := 0
	for _, m := range c.Members() {
		if !m.Learner && m.ID < c.id {
			rank++
		}
	}
	return rank
}

// resetCandidateTimer sets the random time of a candidate's next election.
func (c *Core) resetCandidateTimer() {
	c.electionDeadline = c.now + candidateRetryMin + time.Duration(c.rand.Int64N(int64(candidateRetryMax-candidateRetryMin)))
	if c.isSoleVoter() {
		c.electionDeadline = c.now
	}
}

// leaseMayHold reports whether some leader may hold a valid lease, as far as this
// voter can tell. Votes are refused meanwhile.
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

// Resign makes the leader a follower and asks the most up-to-date voter to start
// an election. The lease ends before that request is sent.
func (c *Core) Resign(now time.Duration) {
	c.advanceClock(now)
	if c.role != Leader {
		return
	}
	successor, match := "", uint64(0)
	for _, m := range c.Members() {
		if p := c.progress[m.ID]; p != nil && !m.Learner && p.acked && c.now-p.ackedAt < ElectionTimeoutMin && p.match >= match {
			successor, match = m.ID, p.match
		}
	}
	if successor == "" {
		return
	}
	c.becomeFollower(c.state.Term)
	c.leaderContactAt = c.now
	c.messages = append(c.messages, Message{Kind: TransferRequest, From: c.id, To: successor, Term: c.state.Term})
}

func (c *Core) onTransferRequest(m Message) {
	if m.Term == c.state.Term && c.role == Follower && c.isVoter(c.id) {
		c.startElection(true)
	}
}

// startElection requests votes in a new term. transfer means that the leader has
// resigned and requested this election.
func (c *Core) startElection(transfer bool) {
	c.role = Candidate
	c.setState(HardState{Term: c.state.Term + 1, Vote: c.id})
	c.votes = map[string]bool{c.id: true}
	c.resetCandidateTimer()
	c.requestVotes(VoteRequest, c.state.Term, transfer)
}

// requestVotes sends a vote request to all other voters. After a transfer the former
// leader has given up its lease: the request has OK set, and voters need not wait
// for the lease to end. Requests are sent only after the candidate's own vote is
// synced.
func (c *Core) requestVotes(kind MessageKind, term uint64, transfer bool) {
	for _, m := range c.Members() {
		if m.ID != c.id && !m.Learner {
			c.afterSync = append(c.afterSync, Message{Kind: kind, From: c.id, To: m.ID, Term: term,
				Index: c.log.last(), LogTerm: c.log.lastTerm(), OK: transfer, SentAt: c.preVoteStartedAt,
				NoLeaderSeen: kind == VoteRequest && c.noVoterSawLeader(), Process: c.noLeaderSeen[m.ID]})
		}
	}
}

// noVoterSawLeader reports whether every voter has reported NoLeaderSeen in this
// pre-vote.
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

// precedes reports whether this voter has just started a pre-vote that goes before that
// of a candidate with the same log. Otherwise two voters that start at the same moment
// can both become candidates, each with its own vote, and a majority that needs both has
// to wait for the next attempt.
func (c *Core) precedes(m Message) bool {
	return c.role == PreCandidate && c.now-c.preVoteStartedAt < preVotePrecedence && c.id < m.From &&
		m.LogTerm == c.log.lastTerm() && m.Index == c.log.last()
}

func (c *Core) onPreVoteRequest(m Message) {
	if c.precedes(m) {
		c.sendVoteResponse(PreVoteResponse, m.From, c.state.Term, false)
		return
	}
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

// answerPreVoteForLostID answers a pre-vote request for an id that this host had
// before it lost its disk. The process with that id has ended, so it neither leads
// nor follows a leader.
func (c *Core) answerPreVoteForLostID(m Message) {
	if m.Kind == PreVoteRequest && !c.leaderSeen {
		c.messages = append(c.messages, Message{Kind: PreVoteResponse, From: m.To, To: m.From, Term: m.Term,
			SentAt: m.SentAt, NoLeaderSeen: true, Process: c.process})
	}
}

// mustRefuseVote reports whether a vote must be refused because a leader may hold a
// lease. It need not be refused when the leader has resigned, or when no voter leads
// and this process has acknowledged no leader.
func (c *Core) mustRefuseVote(m Message) bool {
	if c.role == Leader {
		return c.leaseMayHold()
	}
	noLeader := m.NoLeaderSeen && m.Process == c.process && !c.leaderSeen
	return c.leaseMayHold() && !m.OK && !noLeader
}

// onVoteRequest grants at most one vote in a term. A learner also votes: it may have
// been promoted by an entry that it has not received, and the candidate may need its
// vote. This is safe because each id has one durable vote in a term in any case.
func (c *Core) onVoteRequest(m Message) {
	if m.Term < c.state.Term || c.mustRefuseVote(m) {
		c.sendVoteResponse(VoteResponse, m.From, c.state.Term, false)
		return
	}
	if m.Term > c.state.Term {
		c.becomeFollower(m.Term)
	}
	canVote := c.state.Vote == "" || c.state.Vote == m.From
	if !canVote || !c.upToDate(m) {
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
	if p := c.progress[c.lastLeader]; p != nil {
		p.silentSince = c.leaderContactAt
	}
	c.termStartIndex = c.log.last() + 1
	c.appendAsLeader(Entry{Kind: EntryNoop})
	c.broadcast()
}
