// Package configcheck examines a configuration before it is sent: entries that can never
// match, limits that contradict each other, and what changes for callers against the
// version in force. It does no I/O. Whether hosts accept a configuration is decided by
// rules.Parse and document.Validate; FromError shows their errors as findings.
package configcheck
