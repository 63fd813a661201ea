package core

import (
	"slices"
	"time"
)

const (
	// ElectionTimeoutMin and ElectionTimeoutMax bound the random election timeout.
	ElectionTimeoutMin = 650 * time.Millisecond
	ElectionTimeoutMax = 1100 * time.Millisecond
	// initialElectionStagger is the difference between the first election timeouts
	// of voters that start together, in the order of their ids. It is longer than a
	// vote between regions takes, so that votes are not split.
	initialElectionStagger = 180 * time.Millisecond
	// candidateRetryMin and candidateRetryMax bound the random delay after which a
	// candidate without a majority starts another election.
	candidateRetryMin = 400 * time.Millisecond
	candidateRetryMax = 900 * time.Millisecond
	// preVotePrecedence is how long after the start of its pre-vote a voter refuses the
	// pre-votes of candidates with a higher id. It covers a round trip between regions,
	// and is short enough for them to be elected if this voter cannot.
	preVotePrecedence = 150 * time.Millisecond
	// HeartbeatInterval is the interval between heartbeats of a leader.
	HeartbeatInterval = 200 * time.Millisecond
	// LeaseDuration is how long a lease is valid from the send time of the latest
	// heartbeat round that a majority acknowledged. With clocks that drift by up to
	// 1 %, it ends within 586 ms, before NoVotePeriod can end at a voter (623 ms). It
	// covers a heartbeat interval, a network delay of 110 ms and a lost packet.
	LeaseDuration = 580 * time.Millisecond
	// NoVotePeriod is how long a voter grants no vote after its start and after each
	// message from a leader.
	NoVotePeriod = 630 * time.Millisecond

	// maxAppendBytes limits the size of the entries in one message.
	maxAppendBytes = 1 << 20
	// snapshotResendDelay is the time after which an unacknowledged snapshot is sent again.
	snapshotResendDelay = 5 * time.Second
	// joinRequestTTL is how long a join request stays valid unless it is repeated.
	joinRequestTTL = 5 * time.Second
	// trailingEntries is the number of entries before a snapshot that are kept, so
	// that a follower that lags slightly does not need the snapshot.
	trailingEntries = 1024
	// trailingBytes limits the size of the entries that are kept before a snapshot.
	trailingBytes = 4 << 20
	// voterReplaceDelay is how long a voter may be unresponsive before a learner
	// replaces it. Together with an election it must end before the next disk may be
	// lost, because the unresponsive voter counts against the majority until then. A
	// voter that returns later joins as a learner, which costs no redundancy.
	voterReplaceDelay = 1500 * time.Millisecond
)

// EntryKind is the type of an entry's content.
type EntryKind uint8

// The kinds of entries.
const (
	EntryNoop EntryKind = iota
	EntryCommand
	EntryMembers
)

// Member is a voter or learner, identified by its random id and the name of its host.
type Member struct {
	ID      string `json:"id"`
	Host    string `json:"host"`
	Learner bool   `json:"learner"`
}

// Entry is one position of the log.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte
	Members     []Member
}

// HardState is the term and the vote of a voter. It must be synced before any
// message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote string
}

// Snapshot replaces the entries of the log up to and including Index.
type Snapshot struct {
	Index, Term uint64
	Members     []Member
	// Data is the state of the replicated machines. It is empty in a message from
	// the core: the driver attaches its latest snapshot.
	Data []byte
}

// MessageKind is the type of a message.
type MessageKind uint8

// The kinds of messages.
const (
	PreVoteRequest MessageKind = iota + 1
	PreVoteResponse
	VoteRequest
	VoteResponse
	AppendRequest
	AppendResponse
	SnapshotRequest
	// TransferRequest tells a follower to start an election at once, because the
	// leader has resigned and given up its lease.
	TransferRequest
)

// Message is exchanged between voters.
type Message struct {
	Kind     MessageKind
	From, To string
	Term     uint64
	// Index and LogTerm identify an entry: the last one of a candidate in a vote
	// request, and the one before Entries in an append. In a response to an append,
	// Index is the last matching entry or, if the append was rejected, the index
	// after which the leader should retry.
	Index, LogTerm uint64
	Commit         uint64
	// OK means that the vote was granted or the append accepted. In a vote request it
	// means that the former leader has resigned, so that its lease need not be
	// waited for.
	OK bool
	// SentAt is a time of the leader's clock, or in a pre-vote of the candidate's
	// clock. The response echoes it.
	SentAt time.Duration
	// Stamp is a time of the follower's clock, and Process identifies the follower's
	// process. A leader echoes in each append the last pair that it received from
	// the follower.
	Stamp   time.Duration
	Process uint64
	// Lease means that the leader held its lease when it sent the append, so that
	// Commit covered every entry acknowledged by then.
	Lease bool
	// NoLeaderSeen in a pre-vote response means that the process of the voter has
	// neither led nor received a message from a leader. In a vote request it means
	// that all voters have reported this. Then no voter holds a lease, and the
	// process identified by Process can vote without waiting for the end of a lease
	// that its voter may have acknowledged before the process started.
	NoLeaderSeen bool
	Entries      []Entry
	Snapshot     *Snapshot
}

// Output is the work for the driver, to be done in the order of the fields.
type Output struct {
	// Messages may be sent before the sync.
	Messages []Message
	// Install is a received snapshot that replaces the whole log.
	Install *Snapshot
	// State and Append must be synced. The first entry of Append replaces all
	// stored entries from its index on.
	State  *HardState
	Append []Entry
	// AfterSync must be sent only after the sync.
	AfterSync []Message
	// Committed entries are to be applied in order.
	Committed []Entry
}

// Empty reports whether there is nothing to do.
func (o Output) Empty() bool {
	return len(o.Messages) == 0 && o.Install == nil && o.State == nil &&
		len(o.Append) == 0 && len(o.AfterSync) == 0 && len(o.Committed) == 0
}

func cloneMembers(members []Member) []Member { return slices.Clone(members) }
