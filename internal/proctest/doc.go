// Package proctest runs the real binaries on loopback addresses for tests: one
// IP number a host, a TCP relay for each pair of hosts that can be cut, and
// signals for crashes and freezes. Only test files import it.
package proctest
