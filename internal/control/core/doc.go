// Package core implements the consensus algorithm of the replicated log, a
// variant of Raft with pre-vote and leader leases, as a state machine without
// I/O. Its inputs are messages, proposals and the monotonic time. Output returns
// the records to sync, the messages to send and the entries to apply.
//
// These invariants are asserted, and a violation panics: a term has at most one
// leader, and a voter votes at most once in a term; entries are appended without
// gaps, and committed entries are never replaced; the commit index never
// decreases; a leader whose lease has expired appends nothing but the no-op entry
// of its election.
package core
