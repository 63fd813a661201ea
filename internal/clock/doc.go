// Package clock provides the hybrid logical clock that orders events over all
// processes. State machines take the monotonic time as an argument instead.
package clock
