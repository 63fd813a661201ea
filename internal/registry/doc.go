// Package registry is the table of targets, built from their heartbeats. It does no
// I/O. Control hosts add the heartbeats that they receive and relay them to each other;
// entry hosts hold a copy that they update incrementally with a cursor.
//
// Records of a target are ordered by the start time of its process and then by the
// sequence number of the heartbeat, so a delayed heartbeat is ignored. A target that
// left stays as a tombstone, so that a delayed heartbeat does not register it again.
package registry
