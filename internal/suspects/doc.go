// Package suspects recognises requests that crash targets. A request that ran
// on a target when it crashed is suspect: it runs alone next, is cleared when
// it completes, and is refused on all hosts after a second crash.
package suspects
