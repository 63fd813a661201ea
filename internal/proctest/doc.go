// Package proctest runs the real binaries on loopback addresses for tests. Each host
// has an IP address of its own, and the peer connections of each pair of hosts pass
// through a TCP relay that injects network faults. Signals crash or pause processes.
// Only test files import it.
package proctest
