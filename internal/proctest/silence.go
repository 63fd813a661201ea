package proctest

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// SetDeaf makes the kernel drop, or no longer drop, every segment that arrives on a
// connection or at a listener, so that the peer gets no acknowledgements. One that is
// closed already stays as it is.
func SetDeaf(t testing.TB, c syscall.Conn, deaf bool) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		if !deaf {
			setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	})
	if err = errors.Join(err, setErr); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}
