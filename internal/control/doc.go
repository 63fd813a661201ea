// Package control orders the commands of all replicated state machines. Other
// packages see the Log interface only.
package control
