// Package upstream sends one HTTP/1.1 request on one connection and says exactly
// what is known of its execution. It never repeats a request: ErrNotSent means that
// no connection was established, every other error that the request may have run.
//
// A kept connection is used again only when the request was written and the answer
// read to their ends, and when nothing has arrived on it since.
package upstream
