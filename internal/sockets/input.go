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
// goroutine that reads it. It does not take a pending error from the socket: the kernel
// reports an error only once, and the reader would find an orderly end in its place.
func Peek(conn syscall.Conn) Input {
	raw, err := conn.SyscallConn()
	if err != nil {
		return End // closed by this process
	}
	input := UnknownInput
	err = raw.Control(func(fd uintptr) {
		ready := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		_, err := unix.Poll(ready, 0)
		for errors.Is(err, unix.EINTR) {
			_, err = unix.Poll(ready, 0)
		}
		if err != nil {
			return
		}
		const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
		switch n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); {
		case err != nil:
		case n > 0:
			input = Data
		case ready[0].Revents&ended != 0:
			input = End
		default: // a reader may have taken what poll has seen
			input = NoInput
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
