// Package peer carries calls between hosts over drpc. Each call bears the
// sender's host name and hybrid logical stamp. A drpc connection carries one
// call at a time, so callers share a pool of connections per address.
package peer
