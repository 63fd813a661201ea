package sockets

import (
	"syscall"

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
	raw, err := conn.SyscallConn()
	if err != nil {
		return UnknownState // closed by this process
	}
	state := UnknownState
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		switch info.State {
		case unix.BPF_TCP_ESTABLISHED:
			state = Open
		case unix.BPF_TCP_CLOSE_WAIT:
			state = PeerClosed
		case unix.BPF_TCP_CLOSE:
			state = Reset
		}
	})
	if err != nil {
		return UnknownState
	}
	return state
}
