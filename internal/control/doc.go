// Package control orders the commands of all replicated state machines. Other
// packages see the Log and Machine interfaces only.
//
// A Node is a voter: it connects the state machine in core to the clock, the
// files in storage, drpc streams to the other voters, and the machines. A Remote
// forwards proposals from a host that is no voter through any voter it reaches.
//
// A proposal that is certainly not in the log is tried again for 4 s, which is
// longer than an election, and then fails with ErrNoQuorum. One that a leader may
// have appended is never sent again by this package; when its outcome does not
// arrive within 8 s it fails with ErrUncertain.
//
// A voter whose folder is empty, or that hears no leader, asks the other voters
// for membership every second. The leader first waits for an answer from the new
// id, then removes the old id of that host name, adds the new one as learner and
// promotes it when it has all committed entries.
package control
