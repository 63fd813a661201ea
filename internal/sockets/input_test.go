package sockets_test

import (
	"net"
	"runtime"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/sockets"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (here, there *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = conn.Close(), other.Close() })
	return conn.(*net.TCPConn), other.(*net.TCPConn)
}

func awaitInput(t *testing.T, c *net.TCPConn, want sockets.Input) {
	t.Helper()
	got := sockets.Peek(c)
	for until := time.Now().Add(5 * time.Second); got != want && time.Now().Before(until); got = sockets.Peek(c) {
		time.Sleep(time.Millisecond)
	}
	if got != want {
		t.Fatalf("input %d, want %d", got, want)
	}
}

// Guards against a peek that takes the error of a socket, so that the reader finds an orderly
// end in its place, and against data or an end that it does not see.
func TestPeekLeavesTheError(t *testing.T) {
	here, there := connect(t)
	awaitInput(t, here, sockets.NoInput)
	if _, err := there.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	awaitInput(t, here, sockets.Data)
	if _, err := here.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	awaitInput(t, here, sockets.NoInput)
	_ = there.SetLinger(0)
	_ = there.Close()
	awaitInput(t, here, sockets.End)
	awaitInput(t, here, sockets.End)
	if state := sockets.StateOf(here); state != sockets.Reset {
		t.Errorf("state %s", state)
	}
	if n, err := here.Read(make([]byte, 1)); err == nil || n > 0 || err.Error() == "EOF" {
		t.Errorf("the reader gets %d bytes, %v", n, err)
	}
	here, there = connect(t)
	_ = there.CloseWrite()
	awaitInput(t, here, sockets.End)
	if state := sockets.StateOf(here); state != sockets.PeerClosed {
		t.Errorf("state %s", state)
	}
}

// Guards against a peek beside a reader, and beside the signals with which the runtime stops
// goroutines, that takes a live connection for an ended or unknown one.
func TestPeekBesideReader(t *testing.T) {
	here, there := connect(t)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		b := []byte("x")
		for {
			select {
			case <-stop:
				return
			default:
				if _, err := there.Write(b); err != nil {
					return
				}
			}
		}
	}()
	go func() {
		b := make([]byte, 64)
		for {
			if _, err := here.Read(b); err != nil {
				return
			}
		}
	}()
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
				runtime.GC()
			}
		}
	}()
	seen := map[sockets.Input]int{}
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); {
		seen[sockets.Peek(here)]++
	}
	if seen[sockets.End] > 0 || seen[sockets.UnknownInput] > 0 {
		t.Errorf("of a live connection: end %d times, unknown %d times, data %d times, nothing %d times", seen[sockets.End], seen[sockets.UnknownInput], seen[sockets.Data], seen[sockets.NoInput])
	}
}
