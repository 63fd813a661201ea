// Package daemon connects the components of one process to clocks, sockets and
// disks, one file per component, and runs them until a signal arrives. Daemon is
// used when the configuration is a rules file, and RunDeployment when it is a
// document.
package daemon
