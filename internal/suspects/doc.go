// Package suspects quarantines requests that crash targets. A request that was
// running on a target when the target crashed becomes suspect: its next run has a
// target to itself. It is cleared when it completes, and refused on all hosts
// after a second crash. Requests are identified by a keyed digest of their
// content, their fingerprint.
package suspects
