// Package core is the consensus algorithm of the replicated log as a state
// machine without I/O. Messages, proposals and the monotonic time are its
// input; Output returns records to sync, messages to send and entries to apply.
//
// Invariants, each asserted by a panic: a term has one leader and each voter
// one vote in it; entries are appended without gaps and committed entries are
// never replaced; the commit index never goes back; nothing is appended by a
// leader whose lease has expired.
package core
