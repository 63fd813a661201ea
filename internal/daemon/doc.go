// Package daemon wires the components of one process to clocks, sockets and
// disks, one file per component, and runs them until a signal.
package daemon
