package sockets

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is how far a connection has been closed.
type State int

// The states of a connection.
const (
	// UnknownState means that the socket could not be examined.
	UnknownState State = iota
	// Open means that neither side has closed the connection.
	Open
	// PeerClosed means that the peer has sent its end of the stream, so that all its data has
	// arrived, and that the connection was not reset.
	PeerClosed
	// Reset means that the connection has ended by a reset or a timeout, or that both sides
	// have closed it.
	Reset
)

func (s State) String() string {
	return [...]string{"unknown", "open", "closed by the peer", "reset"}[s]
}

// StateOf returns the state of a connection. It does not take a pending error from the socket,
// which the kernel reports only once.
func StateOf(conn syscall.Conn) State {
	info := tcpInfo(conn)
	if info == nil {
		return UnknownState
	}
	switch info.State { // the kernel numbers TCP states alike for all that read them
	case unix.BPF_TCP_ESTABLISHED:
		return Open
	case unix.BPF_TCP_CLOSE_WAIT:
		return PeerClosed
	case unix.BPF_TCP_CLOSE:
		return Reset
	}
	return UnknownState
}

// SinceData returns how long ago data arrived on a connection, whenever it was or will be
// read, to within some ticks of the kernel's clock. It reports false if the socket could not
// be examined.
func SinceData(conn syscall.Conn) (time.Duration, bool) {
	info := tcpInfo(conn)
	if info == nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// tcpInfo returns what the kernel knows of a connection; nil if this process has closed it.
func tcpInfo(conn syscall.Conn) (info *unix.TCPInfo) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	err = raw.Control(func(fd uintptr) {
		if i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = i
		}
	})
	if err != nil {
		return nil
	}
	return info
}
