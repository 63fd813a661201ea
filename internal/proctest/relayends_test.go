package proctest

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/sockets"
)

// endings is a listener whose connections write "part" and then wait for end, which is
// called with each of them.
func endings(t *testing.T, end func(*net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.WriteString(conn, "part")
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

func relayTo(t *testing.T, address string) *Relay {
	t.Helper()
	r, err := NewRelay("127.0.0.1:0", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	r.PassResets()
	return r
}

func dialRelay(t *testing.T, r *Relay) *net.TCPConn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", r.Address(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn.(*net.TCPConn)
}

// Guards against a fault of the kind "reset" that reaches the other side as an orderly end,
// also when a write of the relay has taken the error of its socket.
func TestRelayPassesResets(t *testing.T) {
	r := relayTo(t, endings(t, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1)) // the other side has read its part
		_ = c.SetLinger(0)
		_ = c.Close()
	}))
	for _, bytes := range []int{1, 8 << 20} {
		for range 50 {
			conn := dialRelay(t, r)
			if _, err := io.ReadFull(conn, make([]byte, len("part"))); err != nil {
				t.Fatal(err)
			}
			go func() { _, _ = conn.Write(make([]byte, bytes)) }()
			n, err := conn.Read(make([]byte, 1))
			if n > 0 || os.IsTimeout(err) || sockets.StateOf(conn) != sockets.Reset {
				t.Fatalf("%d bytes written: %d bytes, %v, connection %v", bytes, n, err, sockets.StateOf(conn))
			}
			_ = conn.Close()
		}
	}
}

// Guards against an orderly end that the relay passes on as a reset.
func TestRelayPassesOrderlyEnds(t *testing.T) {
	r := relayTo(t, endings(t, func(c *net.TCPConn) { _ = c.Close() }))
	for range 50 {
		conn := dialRelay(t, r)
		if content, err := io.ReadAll(conn); string(content) != "part" || err != nil || sockets.StateOf(conn) != sockets.PeerClosed {
			t.Fatalf("%q, %v, connection %v", content, err, sockets.StateOf(conn))
		}
		_ = conn.Close()
	}
}

// Guards against a reset of all connections that reaches one of them as an orderly end.
func TestRelayAborts(t *testing.T) {
	r := relayTo(t, endings(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }))
	for range 10 {
		var conns []*net.TCPConn
		for range 20 {
			conn := dialRelay(t, r)
			if _, err := io.ReadFull(conn, make([]byte, 4)); err != nil {
				t.Fatal(err)
			}
			conns = append(conns, conn)
		}
		r.Abort()
		for _, conn := range conns {
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
				t.Fatalf("read: %v, want a reset", err)
			}
			_ = conn.Close()
		}
	}
}

// Guards against a lost process whose address accepts no connections, or whose connections
// go on, and against one that does not come back.
func TestRelayLosesProcess(t *testing.T) {
	block := func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }
	r, other := relayTo(t, endings(t, block)), endings(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, " of another")
		_ = c.Close()
	})
	readFirst := func(conn *net.TCPConn) error {
		_, err := io.ReadFull(conn, make([]byte, 4))
		return err
	}
	for _, fault := range []struct {
		name  string
		begin func()
		check func(*net.TCPConn)
	}{
		{"closed", func() { r.Lose(CloseAccepted) }, func(c *net.TCPConn) {
			if err := readFirst(c); err != io.EOF {
				t.Errorf("closed: %v", err)
			}
		}},
		{"reset", func() { r.Lose(ResetAccepted) }, func(c *net.TCPConn) {
			if err := readFirst(c); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("reset: %v", err)
			}
		}},
		{"held", func() { r.Lose(HoldAccepted) }, func(c *net.TCPConn) {
			_ = c.SetDeadline(time.Now().Add(100 * time.Millisecond))
			if err := readFirst(c); !os.IsTimeout(err) {
				t.Errorf("held: %v", err)
			}
		}},
		{"replaced", func() { r.Replace(other) }, func(c *net.TCPConn) {
			if content, err := io.ReadAll(c); string(content) != "part of another" || err != nil {
				t.Errorf("replaced: %q, %v", content, err)
			}
		}},
	} {
		open := dialRelay(t, r)
		if err := readFirst(open); err != nil {
			t.Fatal(err)
		}
		fault.begin()
		if n, err := open.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%s: an open connection gives %d bytes, %v", fault.name, n, err)
		}
		accepted := dialRelay(t, r)
		fault.check(accepted)
		r.Restore()
		if err := readFirst(dialRelay(t, r)); err != nil {
			t.Errorf("%s, then restored: %v", fault.name, err)
		}
	}
}
