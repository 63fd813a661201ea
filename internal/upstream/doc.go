// Package upstream is an HTTP/1.1 client with a connection pool that never retries a
// request by itself. Its errors state whether the request may have run: ErrNotSent means
// that nothing was sent, because no connection was established or the context had ended.
// After any other error the request may have run.
//
// A connection is reused only if the request was written and the response read
// completely, and if nothing has arrived on the connection since.
package upstream
