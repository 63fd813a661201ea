// Package clock provides the hybrid logical clock that orders events over all
// processes, the time since boot, and waits that a context ends. State machines take
// the monotonic time as an argument instead.
package clock
