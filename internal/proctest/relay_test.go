package proctest

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against injected faults that are none: new connections hang or are refused while
// open ones go on, and all of it ends.
func TestRelayHangsAndRefusesNewConnections(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer echo.Close()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	r, err := NewRelay("127.0.0.1:0", echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	dial := func() (net.Conn, error) { return net.DialTimeout("tcp", r.Address(), 300*time.Millisecond) }
	works := func(c net.Conn) {
		t.Helper()
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	first, err := dial()
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	works(first)
	for _, fault := range []struct {
		name  string
		begin func() error
		want  func(error) bool
	}{{"hang", r.HangNew, os.IsTimeout}, {"refuse", r.RefuseNew, isRefused}, {"hang again", r.HangNew, os.IsTimeout}} {
		if err := fault.begin(); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			if c, err := dial(); !fault.want(err) {
				if err == nil {
					_ = c.Close()
				}
				t.Errorf("%s: error %v", fault.name, err)
			}
		}
		works(first)
		if err := r.AcceptNew(); err != nil {
			t.Fatal(err)
		}
		c, err := dial()
		if err != nil {
			t.Fatalf("after %s: %v", fault.name, err)
		}
		works(c)
		_ = c.Close()
	}
}

// Guards against connections that do not hang because an attempt to fill the queue was slow
// and was taken for one that hangs.
func TestSlowConnectionDoesNotEndFilling(t *testing.T) {
	slow, dial := 2, dialFiller
	dialFiller = func(address string) (net.Conn, error) {
		if slow--; slow >= 0 {
			return nil, os.ErrDeadlineExceeded
		}
		return dial(address)
	}
	defer func() { dialFiller = dial }()
	r, err := NewRelay("127.0.0.1:0", "127.0.0.1:9")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if err := r.HangNew(); err != nil {
		t.Fatal(err)
	}
	if c, err := net.DialTimeout("tcp", r.Address(), 300*time.Millisecond); err == nil {
		_ = c.Close()
		t.Error("a connection was opened")
	}
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
