// Package intake accounts for the memory and the connections that everyone who can connect to
// a process makes it hold, and decides who is refused or closed when there is no more.
//
// Account and Holder do no I/O: events and the time go in, and who has to be closed comes out.
// Listener and Conn carry the decisions out.
//
// A connection is charged from its accept, its request from the end of the head, a body for
// all of its buffers. When the memory or the places of connections are used up, what has made
// no progress gives way first: of the address and workspace that hold most, the one with the
// slowest pace. Nobody gives way to an address or workspace that holds more.
package intake
