package core

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

var (
	// ErrNotLeader means that a proposal was not appended: another voter leads.
	ErrNotLeader = errors.New("control: not the leader")
	// ErrNoLease means that a proposal was not appended: the lease has expired.
	ErrNoLease = errors.New("control: no lease")
)

// Role is the part that a voter has in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config is the state that a voter starts with, as loaded from its disk.
type Config struct {
	ID       string
	Host     string
	State    HardState
	Snapshot Snapshot
	// Base and BaseTerm name the entry before the first of Entries.
	Base, BaseTerm uint64
	Entries        []Entry
	Rand           *rand.Rand
	// Process numbers this process, so that a stamp of an earlier process of the
	// same voter is not taken for one of its own.
	Process uint64
	// VoterCount is the number of voters; other members stay learners, and one
	// of them replaces a voter that is silent for long. Zero promotes every learner.
	VoterCount int
}

type membership struct {
	index   uint64
	members []Member
}

// Core is one voter. It is not safe for concurrent use.
type Core struct {
	id, host   string
	rand       *rand.Rand
	now        time.Duration
	process    uint64
	voterCount int
	// currentAsOf is the time up to which this voter has all committed entries.
	currentAsOf    time.Duration
	hasCurrentAsOf bool
	// leaderSeen is set once this process has led or heard of a leader.
	leaderSeen bool
	// noLeaderSeen has the processes of the voters that answered the pre-vote of preVoteAt
	// and are noLeaderSeen.
	noLeaderSeen     map[string]uint64
	preVoteStartedAt time.Duration

	state      HardState
	stateDirty bool
	role       Role
	leader     string // the leader that this voter follows now
	termLeader string // the leader of this term, once known
	// leaderContactAt is when this voter last heard from a leader, or its start.
	leaderContactAt  time.Duration
	electionDeadline time.Duration
	votes            map[string]bool

	log            entryLog
	firstUnsaved   uint64 // first entry not yet in an Output
	synced         uint64
	commit         uint64
	applied        uint64
	snapshot       Snapshot // without data
	pendingInstall *Snapshot
	memberships    []membership // oldest first; the last is in force

	progress        map[string]*progress
	nextHeartbeatAt time.Duration
	termStartIndex  uint64 // index of the first entry of the own leadership
	quorumAckedAt   time.Duration
	leaderSince     time.Duration
	joinRequests    map[string]*joinRequest // by host name

	messages, afterSync []Message
}

// New returns a voter at the time now.
func New(c Config, now time.Duration) *Core {
	n := &Core{
		id: c.ID, host: c.Host, rand: c.Rand, now: now, state: c.State, leaderContactAt: now,
		process: c.Process, voterCount: c.VoterCount,
		log:      entryLog{base: c.Base, baseTerm: c.BaseTerm},
		snapshot: Snapshot{Index: c.Snapshot.Index, Term: c.Snapshot.Term, Members: c.Snapshot.Members},
		commit:   c.Snapshot.Index, applied: c.Snapshot.Index,
		memberships:  []membership{{c.Snapshot.Index, c.Snapshot.Members}},
		joinRequests: map[string]*joinRequest{},
	}
	for _, e := range c.Entries {
		n.log.append(e)
		if e.Kind == EntryMembers && e.Index > c.Snapshot.Index {
			n.memberships = append(n.memberships, membership{e.Index, e.Members})
		}
	}
	if n.log.last() < n.commit {
		panic(fmt.Sprintf("control: log ends at %d, before the snapshot at %d", n.log.last(), n.commit))
	}
	n.synced, n.firstUnsaved = n.log.last(), n.log.last()+1
	n.resetElectionTimer()
	if !n.isSoleVoter() {
		n.electionDeadline = now + time.Duration(n.voterRank())*initialElectionStagger
	}
	return n
}

// Initialise stores the first membership on a voter without a log.
func (c *Core) Initialise(members []Member) {
	if c.log.last() != 0 {
		panic("control: initial membership on a voter that has a log")
	}
	c.setState(HardState{Term: 1})
	c.appendEntry(Entry{Index: 1, Term: 1, Kind: EntryMembers, Members: cloneMembers(members)})
	c.resetElectionTimer()
}

func (c *Core) advanceClock(now time.Duration) {
	if now > c.now {
		c.now = now
	}
}

func (c *Core) setState(s HardState) {
	if s.Term < c.state.Term {
		panic(fmt.Sprintf("control: term went back from %d to %d", c.state.Term, s.Term))
	}
	if s.Term == c.state.Term && c.state.Vote != "" && s.Vote != c.state.Vote {
		panic(fmt.Sprintf("control: second vote in term %d: %s after %s", s.Term, s.Vote, c.state.Vote))
	}
	if s.Term > c.state.Term {
		c.termLeader = ""
	}
	if s != c.state {
		c.state, c.stateDirty = s, true
	}
}

func (c *Core) becomeFollower(term uint64) {
	if term > c.state.Term {
		c.setState(HardState{Term: term})
		c.leader = ""
	}
	if c.role == Leader {
		c.leader = ""
	}
	c.role, c.votes, c.progress = Follower, nil, nil
	c.resetElectionTimer()
}

// Tick lets time pass.
func (c *Core) Tick(now time.Duration) {
	c.advanceClock(now)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.now >= c.electionDeadline {
		c.startPreVote()
	}
}

// Deadline is when Tick has something to do next.
func (c *Core) Deadline() time.Duration {
	if c.role == Leader {
		return c.nextHeartbeatAt
	}
	return c.electionDeadline
}

// Step handles a message. A message for another id, such as the one that this
// host had before it lost its disk, gets no vote and changes nothing.
func (c *Core) Step(now time.Duration, m Message) {
	c.advanceClock(now)
	if m.To != c.id {
		c.answerPreVoteForLostID(m)
		return
	}
	switch m.Kind {
	case PreVoteRequest:
		c.onPreVoteRequest(m)
	case VoteRequest:
		c.onVoteRequest(m)
	case PreVoteResponse, VoteResponse:
		c.onVoteResponse(m)
	case AppendRequest, SnapshotRequest:
		c.onLeaderMessage(m)
	case TransferRequest:
		c.onTransferRequest(m)
	case AppendResponse:
		c.onAppendResponse(m)
	}
}

// Output returns what is to be done and forgets it. After the sync of its
// records the driver calls Synced, before any other input.
func (c *Core) Output() Output {
	out := Output{Messages: c.messages, AfterSync: c.afterSync, Install: c.pendingInstall}
	c.messages, c.afterSync, c.pendingInstall = nil, nil, nil
	if c.stateDirty {
		s := c.state
		out.State, c.stateDirty = &s, false
	}
	out.Append = c.log.slice(c.firstUnsaved, c.log.last())
	c.firstUnsaved = c.log.last() + 1
	if c.commit < c.applied {
		panic(fmt.Sprintf("control: commit index went back from %d to %d", c.applied, c.commit))
	}
	if c.commit > c.applied {
		first := c.applied + 1
		out.Committed = c.log.slice(first, c.commit)
		c.applied = c.commit
	}
	return out
}

// Synced tells that all records of the last Output are durable.
func (c *Core) Synced() {
	c.synced = c.firstUnsaved - 1
	if c.role == Candidate && c.hasMajority(c.votes) {
		c.becomeLeader() // a sole voter leads once its own vote is durable
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

func (c *Core) commitTo(index uint64) {
	if index <= c.commit {
		return
	}
	if index > c.log.last() {
		panic(fmt.Sprintf("control: commit index %d after the last entry %d", index, c.log.last()))
	}
	c.commit = index
}

// Propose appends commands, in order, and returns the index of the first. An
// error means that none was appended.
func (c *Core) Propose(now time.Duration, commands ...[]byte) (first, term uint64, err error) {
	c.advanceClock(now)
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if !c.leaseHolds() {
		return 0, 0, ErrNoLease
	}
	first = c.log.last() + 1
	for _, data := range commands {
		c.appendAsLeader(Entry{Kind: EntryCommand, Data: data})
	}
	c.broadcast()
	return first, c.state.Term, nil
}

// appendAsLeader appends an entry as leader.
func (c *Core) appendAsLeader(e Entry) {
	if c.role != Leader {
		panic("control: append by a voter that does not lead")
	}
	if e.Kind != EntryNoop && !c.leaseHolds() {
		panic(fmt.Sprintf("control: append in term %d after the lease", c.state.Term))
	}
	e.Index, e.Term = c.log.last()+1, c.state.Term
	c.appendEntry(e)
}

func (c *Core) appendEntry(e Entry) {
	c.log.append(e)
	if e.Kind == EntryMembers {
		c.memberships = append(c.memberships, membership{e.Index, e.Members})
		c.trackMembers()
	}
}

// truncate removes entries that another leader replaces.
func (c *Core) truncate(from uint64) {
	if from <= c.commit {
		panic(fmt.Sprintf("control: committed entry %d (commit index %d) would be replaced", from, c.commit))
	}
	c.log.truncate(from)
	c.firstUnsaved = min(c.firstUnsaved, from)
	c.synced = min(c.synced, from-1)
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= from {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// Compact tells that the driver has stored a snapshot of the applied state at
// the index. It returns the position after which entries are kept.
func (c *Core) Compact(index uint64) (base, baseTerm uint64, kept []Entry) {
	if index > c.applied {
		panic(fmt.Sprintf("control: snapshot at %d after the applied index %d", index, c.applied))
	}
	term, ok := c.log.term(index)
	if !ok || index <= c.snapshot.Index {
		return c.log.base, c.log.baseTerm, c.log.entries
	}
	c.snapshot = Snapshot{Index: index, Term: term, Members: c.MembersAt(index)}
	c.compactMemberships(index)
	if from := c.trailingStart(index); from > c.log.base {
		c.log.compact(from)
	}
	return c.log.base, c.log.baseTerm, c.log.slice(c.log.base+1, c.log.last())
}

// trailingStart returns the position after which entries before the index are kept.
func (c *Core) trailingStart(index uint64) uint64 {
	size := 0
	start := index
	for start > c.log.base && index-start < trailingEntries && size < trailingBytes {
		size += len(c.log.entries[start-c.log.base-1].Data)
		start--
	}
	return start
}

// compactMemberships drops memberships that a snapshot at the index replaces.
func (c *Core) compactMemberships(index uint64) {
	for len(c.memberships) > 1 && c.memberships[1].index <= index {
		c.memberships = c.memberships[1:]
	}
}

// Retained returns the log as it must be on disk.
func (c *Core) Retained() (base, baseTerm uint64, entries []Entry) {
	return c.log.base, c.log.baseTerm, c.log.entries
}

// State returns the present term and vote.
func (c *Core) State() HardState { return c.state }

// Snapshot describes the latest snapshot, without its data.
func (c *Core) Snapshot() Snapshot { return c.snapshot }
