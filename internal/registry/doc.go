// Package registry is the table of targets, built from their heartbeats. It does no
// I/O. Control hosts add the heartbeats that they receive and relay them to each other;
// entry hosts hold a copy that they update incrementally with a cursor.
//
// Anyone may send a heartbeat that names the ID or the address of another target. So a record
// says nothing of any process but the one that it describes: it replaces only records with its
// Key, by sequence. A process that left stays as a tombstone, so that a delayed heartbeat does
// not register it again. Which of several processes under one ID or address a host uses is
// decided when the table is read (InUse), from nothing but the rows: it comes out the same in
// whatever order they arrived. A process whose heartbeats go on counts before one of which
// there was a single message, and then the later start counts.
package registry
