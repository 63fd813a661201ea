package sockets

import (
	"context"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// ResetUnfinished makes the connection of a caller with HTTP/1.0 end with a reset unless the
// handler returns: a response to it may have neither a length nor chunks, so that the orderly
// end of its connection would make a part of it look complete, also when this process is
// killed. The context of requests must have the connection (WithConn).
func ResetUnfinished(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		resetAtClose(r.Context(), true)
		next.ServeHTTP(w, r) // a panic leaves it so
		resetAtClose(r.Context(), false)
	})
}

// resetAtClose sets whether the connection in a context is reset when it is closed.
func resetAtClose(ctx context.Context, reset bool) {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return // closed
	}
	linger := unix.Linger{}
	if reset {
		linger.Onoff = 1
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &linger) }) // fails once it is closed
}
