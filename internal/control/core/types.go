package core

import (
	"slices"
	"time"
)

const (
	// ElectionTimeoutMin and ElectionTimeoutMax bound the random election timeout.
	ElectionTimeoutMin = 650 * time.Millisecond
	ElectionTimeoutMax = 1100 * time.Millisecond
	// initialElectionStagger is the difference between the first election timeouts of voters that
	// start together, in the order of their ids. It is above the time of a vote
	// between regions, so that the votes do not split.
	initialElectionStagger = 180 * time.Millisecond
	// candidateRetryMin and retryMax bound the random time after which a candidate without
	// a majority tries again.
	candidateRetryMin = 400 * time.Millisecond
	candidateRetryMax = 900 * time.Millisecond
	// HeartbeatInterval is the period of heartbeats of a leader.
	HeartbeatInterval = 200 * time.Millisecond
	// LeaseDuration is how long a lease holds from the send time of the
	// heartbeat round that a majority answered. With clocks that drift by up to
	// 1 % it ends within 586 ms, before a voter's quiet period can end (623 ms).
	// It covers a heartbeat interval, a way of 110 ms and a lost packet.
	LeaseDuration = 580 * time.Millisecond
	// NoVotePeriod is how long a voter grants no vote after it heard from a
	// leader or started.
	NoVotePeriod = 630 * time.Millisecond

	// maxAppendBytes bounds the entries of one message.
	maxAppendBytes = 1 << 20
	// snapshotResendDelay is the time after which an unanswered snapshot is sent again.
	snapshotResendDelay = 5 * time.Second
	// joinRequestTTL is how long a join counts that is not repeated.
	joinRequestTTL = 5 * time.Second
	// trailingEntries are kept behind a snapshot, so that a follower that is a
	// little behind does not need the snapshot.
	trailingEntries = 1024
	// trailingBytes bounds the same entries by their size.
	trailingBytes = 4 << 20
	// voterReplaceDelay is how long a voter may be silent before another host takes its
	// place. It is above the longest outage from which a voter usually returns.
	voterReplaceDelay = 10 * time.Second
)

// EntryKind tells the content of an entry.
type EntryKind uint8

// The kinds of entries.
const (
	EntryNoop EntryKind = iota
	EntryCommand
	EntryMembers
)

// Member is a voter or learner, by its random id and the name of its host.
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

// HardState must be synced before any message that depends on it.
type HardState struct {
	Term uint64
	Vote string
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index, Term uint64
	Members     []Member
	// Data is the state of the machines. A message that the core emits has no
	// data: the driver attaches its latest snapshot.
	Data []byte
}

// MessageKind tells the purpose of a message.
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
	// TransferRequest asks a follower to start an election at once, because the
	// leader has given up its lease.
	TransferRequest
)

// Message is exchanged between voters.
type Message struct {
	Kind     MessageKind
	From, To string
	Term     uint64
	// Index and LogTerm name the last entry of a candidate, the entry before
	// Entries in an append, and in a response the last matching entry or, when
	// refused, where the leader should try.
	Index, LogTerm uint64
	Commit         uint64
	// OK is a granted vote or an accepted append.
	OK bool
	// SentAt is on the leader's clock and echoed in the response.
	SentAt time.Duration
	// Stamp is on the follower's clock and Process numbers its process. A leader
	// echoes in each append the last pair that it received from the follower.
	Stamp   time.Duration
	Process uint64
	// Lease means that the leader held its lease when it sent the append, so that
	// Commit covered every acknowledged entry.
	Lease bool
	// NoLeaderSeen in an answer to a pre-vote means that the voter, in this process, has
	// neither led nor heard of a leader. NoLeaderSeen in a vote request means that every
	// voter has said so: none holds a lease, and the process that Process names need
	// not wait for the end of one that it may have confirmed before its start.
	NoLeaderSeen bool
	Entries      []Entry
	Snapshot     *Snapshot
}

// Output is what the driver must do, in the order of the fields.
type Output struct {
	// Messages may be sent before the sync.
	Messages []Message
	// Install replaces the log up to its index.
	Install *Snapshot
	// State and Append must be synced. The first entry of Append replaces all
	// entries from its index.
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
