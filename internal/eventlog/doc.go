// Package eventlog writes structured log lines without blocking the caller. Lines are
// queued in a bounded buffer and written by one goroutine; a line that does not fit
// into the buffer is dropped and counted.
package eventlog
