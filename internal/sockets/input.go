package sockets

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Input is what can be read from a connection.
type Input int

// The kinds of input.
const (
	// UnknownInput means that the socket could not be examined.
	UnknownInput Input = iota
	// NoInput means that nothing has arrived.
	NoInput
	// Data has arrived.
	Data
	// End means that the peer has closed or reset the connection, and no data is left.
	End
)

// Peek tells what can be read from a connection, without reading it or waiting for a
// goroutine that reads it.
func Peek(conn syscall.Conn) Input {
	raw, err := conn.SyscallConn()
	if err != nil {
		return End // closed by this process
	}
	input := UnknownInput
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			input = NoInput
		case errors.Is(err, unix.ECONNRESET), err == nil && n == 0:
			input = End
		case err == nil:
			input = Data
		}
	})
	if err != nil {
		return End
	}
	return input
}

type connKey struct{}

// WithConn returns a context that has the connection over which a request arrives, for the
// ConnContext of a http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(syscall.Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// IsClosed reports whether the peer of the connection in a context has closed it. It reports
// false if the context has none.
func IsClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	return ok && Peek(c) == End
}
