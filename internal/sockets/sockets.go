// Package sockets sets TCP keep-alive and TCP_USER_TIMEOUT, so that a connection whose
// network path is lost without a reset is closed. With both, Linux closes a connection at
// the first probe that is due later than the timeout after the last segment of the peer,
// whatever keepAliveCount is. A peer may thus be silent for the timeout less one
// keepAlivePeriod.
package sockets

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	keepAlivePeriod = time.Second
	keepAliveCount  = 2
)

// Dialer returns a dialer whose connections are closed when the peer has acknowledged
// no data for the timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Control: userTimeout(timeout), KeepAliveConfig: keepAlive()}
}

// ListenConfig returns a listener configuration that sets the same options on accepted
// connections.
func ListenConfig(timeout time.Duration) *net.ListenConfig {
	return &net.ListenConfig{Control: userTimeout(timeout), KeepAliveConfig: keepAlive()}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveCount}
}

// SetUserTimeout changes the timeout of a connection.
func SetUserTimeout(conn syscall.Conn, timeout time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return userTimeout(timeout)("", "", raw)
}

// userTimeout returns a function that sets TCP_USER_TIMEOUT on a socket.
func userTimeout(timeout time.Duration) func(_, _ string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.Join(controlErr, err)
	}
}
