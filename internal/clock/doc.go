// Package clock provides a hybrid logical clock that orders events across processes,
// the time since boot, sleeps that a context can cancel, and conversions of time units.
// State machines do not read a clock: they take the monotonic time as an argument.
package clock
