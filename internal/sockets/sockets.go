// Package sockets sets the options of TCP connections that end one whose path was
// lost without a reset.
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

// Dialer returns a dialer whose connections end after their peer has acknowledged
// nothing for the limit.
func Dialer(silence time.Duration) *net.Dialer {
	return &net.Dialer{Control: userTimeout(silence), KeepAliveConfig: keepAlive()}
}

// ListenConfig returns the same for accepted connections.
func ListenConfig(silence time.Duration) *net.ListenConfig {
	return &net.ListenConfig{Control: userTimeout(silence), KeepAliveConfig: keepAlive()}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveCount}
}

func userTimeout(silence time.Duration) func(_, _ string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
		})
		return errors.Join(controlErr, err)
	}
}
