// Package registry is the table of targets as their heartbeats describe them. It
// does no I/O. Control hosts feed it with heartbeats and tell each other what they
// heard; entry hosts hold a copy that they bring up to date by a cursor.
//
// A record is ordered by the start of its target and then by the sequence of the
// heartbeat, so a heartbeat that was delayed changes nothing. A target that left
// stays as a tombstone, so that a late heartbeat does not bring it back.
package registry
