package core

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

var (
	// ErrNotLeader means that a proposal was not appended because this voter is not
	// the leader.
	ErrNotLeader = errors.New("control: not the leader")
	// ErrNoLease means that a proposal was not appended because the leader holds no
	// valid lease.
	ErrNoLease = errors.New("control: no lease")
)

// Role is the role of a voter in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config is the initial state of a voter, as loaded from its disk.
type Config struct {
	ID       string
	Host     string
	State    HardState
	Snapshot Snapshot
	// Base and BaseTerm are the index and term of the entry before Entries.
	Base, BaseTerm uint64
	Entries        []Entry
	Rand           *rand.Rand
	// Process is a random number that identifies this process, so that it does not
	// use a Stamp that an earlier process of the same voter sent.
	Process uint64
	// VoterCount is the number of voters. Other members stay learners, and one of
	// them replaces a voter that is unresponsive for voterReplaceDelay. If it is
	// zero, every learner is promoted.
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
	// currentAsOf is a local time: this voter has all entries that were committed
	// and acknowledged before it.
	currentAsOf    time.Duration
	hasCurrentAsOf bool
	// leaderSeen is set once this process has led or received a message from a leader.
	leaderSeen bool
	// noLeaderSeen maps the ids of voters to their processes. It has the voters that
	// reported NoLeaderSeen in the pre-vote that started at preVoteStartedAt.
	noLeaderSeen     map[string]uint64
	preVoteStartedAt time.Duration

	state      HardState
	stateDirty bool
	role       Role
	leader     string // the leader that this voter follows
	termLeader string // the leader of this term, once known
	// lastLeader sent the last message of a leader, at leaderContactAt.
	lastLeader string
	// leaderContactAt is when the last message from a leader arrived, or when this
	// voter started.
	leaderContactAt  time.Duration
	electionDeadline time.Duration
	votes            map[string]bool

	log            entryLog
	firstUnsaved   uint64 // index of the first entry that no Output has returned
	synced         uint64 // index of the last entry that is durable
	commit         uint64
	delivered      uint64   // index of the last entry that an Output returned as committed
	applied        uint64   // index of the last entry that the driver has applied
	snapshot       Snapshot // without data
	pendingInstall *Snapshot
	memberships    []membership // oldest first; the last one is in force

	progress        map[string]*progress
	nextHeartbeatAt time.Duration
	termStartIndex  uint64 // index of the first entry that this leader appended
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
		commit:   c.Snapshot.Index, delivered: c.Snapshot.Index, applied: c.Snapshot.Index,
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

// Initialise stores the initial membership on a voter that has no log.
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
		panic(fmt.Sprintf("control: term decreased from %d to %d", c.state.Term, s.Term))
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

// Tick sets the time and runs timers that have expired.
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

// Deadline returns the time at which the next timer expires.
func (c *Core) Deadline() time.Duration {
	if c.role == Leader {
		return c.nextHeartbeatAt
	}
	return c.electionDeadline
}

// Step handles a message. A message for another id, such as the one that this host
// had before it lost its disk, does not change the state and gets no vote; only a
// pre-vote request for such an id may be answered.
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

// Output returns the pending work and clears it. The driver syncs the records and
// then calls Synced before any other input, and Applied after it has applied the
// committed entries or installed the snapshot.
func (c *Core) Output() Output {
	out := Output{Messages: c.messages, AfterSync: c.afterSync, Install: c.pendingInstall}
	c.messages, c.afterSync, c.pendingInstall = nil, nil, nil
	if c.stateDirty {
		s := c.state
		out.State, c.stateDirty = &s, false
	}
	out.Append = c.log.slice(c.firstUnsaved, c.log.last())
	c.firstUnsaved = c.log.last() + 1
	if c.commit < c.delivered {
		panic(fmt.Sprintf("control: commit index decreased from %d to %d", c.delivered, c.commit))
	}
	if c.commit > c.delivered {
		first := c.delivered + 1
		out.Committed = c.log.slice(first, c.commit)
		c.delivered = c.commit
	}
	return out
}

// Applied reports to the core that the machines have applied all entries up to the
// index.
func (c *Core) Applied(index uint64) {
	if index < c.applied || index > c.delivered {
		panic(fmt.Sprintf("control: applied index %d, expected one between %d and %d", index, c.applied, c.delivered))
	}
	c.applied = index
}

// Synced reports to the core that all records of the last Output are durable.
func (c *Core) Synced() {
	c.synced = c.firstUnsaved - 1
	if c.role == Candidate && c.hasMajority(c.votes) {
		c.becomeLeader() // a sole voter becomes leader once its own vote is durable
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

// CanPropose returns an error unless this voter is the leader and its lease holds.
func (c *Core) CanPropose(now time.Duration) error {
	c.advanceClock(now)
	if c.role != Leader {
		return ErrNotLeader
	}
	if !c.leaseHolds() {
		return ErrNoLease
	}
	return nil
}

// Propose appends commands in order. It returns the index of the first one and the
// term. An error means that none was appended.
func (c *Core) Propose(now time.Duration, commands ...[]byte) (first, term uint64, err error) {
	if err := c.CanPropose(now); err != nil {
		return 0, 0, err
	}
	first = c.log.last() + 1
	for _, data := range commands {
		c.appendAsLeader(Entry{Kind: EntryCommand, Data: data})
	}
	c.broadcast()
	return first, c.state.Term, nil
}

// EntriesAfter returns the entries of the log after an index that is not compacted,
// whether they are committed or not. A command that is proposed next takes effect behind
// them, or not at all.
func (c *Core) EntriesAfter(index uint64) []Entry { return c.log.slice(index+1, c.log.last()) }

// appendAsLeader appends an entry at the end of the leader's log.
func (c *Core) appendAsLeader(e Entry) {
	if c.role != Leader {
		panic("control: append by a voter that is not the leader")
	}
	if e.Kind != EntryNoop && !c.leaseHolds() {
		panic(fmt.Sprintf("control: append in term %d without a valid lease", c.state.Term))
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

// truncate removes the entries from an index on, which a new leader replaces.
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

// Compact drops the entries that a snapshot of the applied state at the index
// replaces, except for some trailing ones. It returns the retained log: the index
// and term before its first entry, and its entries.
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

// trailingStart returns the index after which entries are kept when a snapshot at
// the index is taken.
func (c *Core) trailingStart(index uint64) uint64 {
	size := 0
	start := index
	for start > c.log.base && index-start < trailingEntries && size < trailingBytes {
		size += len(c.log.entries[start-c.log.base-1].Data)
		start--
	}
	return start
}

// compactMemberships drops the memberships that a snapshot at the index replaces.
func (c *Core) compactMemberships(index uint64) {
	for len(c.memberships) > 1 && c.memberships[1].index <= index {
		c.memberships = c.memberships[1:]
	}
}

// Retained returns the part of the log that must be kept on disk.
func (c *Core) Retained() (base, baseTerm uint64, entries []Entry) {
	return c.log.base, c.log.baseTerm, c.log.entries
}

// State returns the current term and vote.
func (c *Core) State() HardState { return c.state }

// Snapshot returns the latest snapshot without its data.
func (c *Core) Snapshot() Snapshot { return c.snapshot }
