// Package peer transports RPCs between hosts over drpc. Each RPC has the host name and the
// hybrid logical timestamp of the sender in its metadata. A drpc connection carries one RPC
// at a time, so callers share a pool of connections for each address.
package peer
