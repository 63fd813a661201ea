// Package clock provides the hybrid logical clock that orders events over all
// processes, the time since boot, waits that a context ends, and units of time. State
// machines take the monotonic time as an argument instead.
package clock
