// Package placement chooses the target of a request. It does no I/O and keeps no
// clock: the caller passes the time.
//
// For each target it keeps a model of what this host has sent there: running
// requests, prompt tokens that are still to be read, memory, and the prompt parts
// that the target is likely to have cached. The expected time to the first byte
// that follows from it decides where a request goes and whether it is refused.
package placement
