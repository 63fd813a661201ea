// Package eventlog writes structured log lines without ever blocking the caller. A
// bounded buffer takes the lines and one goroutine writes them; a line that does
// not fit is dropped and counted.
package eventlog
