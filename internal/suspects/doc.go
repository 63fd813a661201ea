// Package suspects quarantines requests that crash targets.
//
// Table serves the rules wiring. A request that was running on a target when the target
// crashed becomes suspect: its next run has a target to itself. It is cleared when it
// completes, and refused on all hosts after a second crash. Requests are identified by a
// keyed digest of their content, their fingerprint.
//
// Quarantine serves deployments with a document. It compares parts of requests, such as
// prompt segments, over several crashes, and refuses requests with the part that is
// present in all of them and never completes.
package suspects
