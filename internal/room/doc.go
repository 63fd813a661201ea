// Package room decides where a request is served: at a target of this region, through a host
// of another region, or nowhere for now. It does no I/O and takes no locks: the gateway gathers
// what is known under its lock, calls Decide and carries the decision out.
package room
