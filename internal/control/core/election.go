package core

import (
	"fmt"
	"time"
)

func (c *Core) resetElection() {
	spread := int64(ElectionTimeoutMax - ElectionTimeoutMin)
	c.electionDue = c.now + ElectionTimeoutMin + time.Duration(c.rand.Int64N(spread))
	if c.soleVoter() {
		c.electionDue = c.now // no other voter can lead or hold a lease
	}
}

// startRank is the position of this voter in the order of their ids.
func (c *Core) startRank() int {
	ahead := 0
	for _, m := range c.Members() {
		if !m.Learner && m.ID < c.id {
			ahead++
		}
	}
	return ahead
}

// retryElection sets the time of the next try of a candidate.
func (c *Core) retryElection() {
	c.electionDue = c.now + retryMin + time.Duration(c.rand.Int64N(int64(retryMax-retryMin)))
	if c.soleVoter() {
		c.electionDue = c.now
	}
}

// quiet reports whether votes must be refused because a leader may hold a lease.
func (c *Core) quiet() bool {
	if c.role == Leader {
		return c.leaseHolds()
	}
	return c.now-c.heardAt < NoVotePeriod && !c.soleVoter()
}

func (c *Core) upToDate(m Message) bool {
	own := c.log.lastTerm()
	return m.LogTerm > own || m.LogTerm == own && m.Index >= c.log.last()
}

func (c *Core) startPreVote() {
	c.retryElection()
	if !c.isVoter(c.id) {
		return
	}
	c.role, c.leader = PreCandidate, ""
	c.votes = map[string]bool{c.id: true}
	c.free, c.preVoteAt = map[string]uint64{c.id: c.process}, c.now
	if c.hasMajority(c.votes) {
		c.startElection(false)
		return
	}
	c.requestVotes(PreVoteRequest, c.state.Term+1, false)
}

// Resign gives up the lead and asks the most advanced voter to take it over. The
// lease ends before the request leaves.
func (c *Core) Resign(now time.Duration) {
	c.advance(now)
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
	c.heardAt = c.now
	c.messages = append(c.messages, Message{Kind: TransferRequest, From: c.id, To: best, Term: c.state.Term})
}

func (c *Core) onTransfer(m Message) {
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
	c.retryElection()
	c.requestVotes(VoteRequest, c.state.Term, transfer)
}

// requestVotes asks all other voters. After a transfer the old leader has given up its
// lease, so that a voter need not wait for its end; OK in a request says so. The
// requests of an election wait for the sync of the own vote.
func (c *Core) requestVotes(kind MessageKind, term uint64, transfer bool) {
	for _, m := range c.Members() {
		if m.ID != c.id && !m.Learner {
			c.afterSync = append(c.afterSync, Message{Kind: kind, From: c.id, To: m.ID, Term: term,
				Index: c.log.last(), LogTerm: c.log.lastTerm(), OK: transfer, SentAt: c.preVoteAt,
				NoLeaderSeen: kind == VoteRequest && c.allFree(), Process: c.free[m.ID]})
		}
	}
}

// allFree reports whether every voter has said in this round that it is free.
func (c *Core) allFree() bool {
	for _, m := range c.Members() {
		if _, ok := c.free[m.ID]; !ok && !m.Learner {
			return false
		}
	}
	return !c.heardLeader
}

func (c *Core) answerVote(kind MessageKind, to string, term uint64, ok bool) {
	c.afterSync = append(c.afterSync, Message{Kind: kind, From: c.id, To: to, Term: term, OK: ok})
}

func (c *Core) onPreVoteRequest(m Message) {
	if m.Term > c.state.Term && !c.quiet() && c.upToDate(m) {
		c.afterSync = append(c.afterSync, Message{Kind: PreVoteResponse, From: c.id, To: m.From, Term: m.Term, OK: true,
			SentAt: m.SentAt, NoLeaderSeen: !c.heardLeader, Process: c.process})
		return
	}
	if m.Term > c.state.Term && !c.heardLeader && c.upToDate(m) {
		c.afterSync = append(c.afterSync, Message{Kind: PreVoteResponse, From: c.id, To: m.From, Term: m.Term,
			SentAt: m.SentAt, NoLeaderSeen: true, Process: c.process})
		return
	}
	c.answerVote(PreVoteResponse, m.From, c.state.Term, false)
}

// answerForLostID tells a candidate that the process of the id that this host had
// before it lost its disk has ended, and so neither leads nor follows a leader.
func (c *Core) answerForLostID(m Message) {
	if m.Kind == PreVoteRequest && !c.heardLeader {
		c.messages = append(c.messages, Message{Kind: PreVoteResponse, From: m.To, To: m.From, Term: m.Term,
			SentAt: m.SentAt, NoLeaderSeen: true, Process: c.process})
	}
}

// waits reports whether a vote must be refused because a leader may hold a lease. It
// need not when the leader has given it up, or when no voter leads and this process
// has confirmed none.
func (c *Core) waits(m Message) bool {
	if c.role == Leader {
		return c.quiet()
	}
	free := m.NoLeaderSeen && m.Process == c.process && !c.heardLeader
	return c.quiet() && !m.OK && !free
}

// onVoteRequest grants at most one vote in a term. A voter also votes when its
// own log does not yet say that it was promoted, because the candidate may need
// that vote; its id has one durable vote in each term either way.
func (c *Core) onVoteRequest(m Message) {
	if m.Term < c.state.Term || c.waits(m) {
		c.answerVote(VoteResponse, m.From, c.state.Term, false)
		return
	}
	if m.Term > c.state.Term {
		c.becomeFollower(m.Term)
	}
	free := c.state.Vote == "" || c.state.Vote == m.From
	if !free || !c.upToDate(m) {
		c.answerVote(VoteResponse, m.From, c.state.Term, false)
		return
	}
	c.setState(HardState{Term: m.Term, Vote: m.From})
	c.role = Follower
	c.resetElection()
	c.answerVote(VoteResponse, m.From, m.Term, true)
}

func (c *Core) onVoteAnswer(m Message) {
	if m.Kind == PreVoteResponse && m.NoLeaderSeen && c.role == PreCandidate && m.Term == c.state.Term+1 && m.SentAt == c.preVoteAt {
		c.free[m.From] = m.Process
		if c.allFree() {
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
	c.heardLeader = true
	c.role, c.leader, c.termLeader, c.votes = Leader, c.id, c.id, nil
	c.progress, c.joins = map[string]*progress{}, map[string]*join{}
	c.quorumAt, c.leadSince = c.now, c.now
	c.trackMembers()
	c.termStart = c.log.last() + 1
	c.appendOwn(Entry{Kind: EntryNoop})
	c.broadcast()
}
