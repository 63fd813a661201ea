// Package control provides the replicated log that orders the commands of all
// replicated state machines. Other packages use it through the Log and Machine
// interfaces.
//
// A Node is a voter: it connects the consensus algorithm in core to the clock, the
// files in storage, the drpc streams to the other voters, and the machines. A Remote
// runs on a host that is not a voter and forwards proposals through any voter that
// it can reach.
//
// A proposal that was certainly not appended is retried for 4 s, which is longer
// than an election, and then fails with ErrNoQuorum. A proposal that a leader may
// have appended is never retried by this package; it fails with ErrUncertain if its
// result does not arrive within 8 s.
//
// A voter that has an empty directory or follows no leader requests membership from
// the other voters every second. The leader waits until the new id has answered a
// message, then removes the old id of that host name, adds the new one as a learner
// and promotes it when it has all committed entries.
package control
