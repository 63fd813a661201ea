package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/upstream"
)

// unframedTarget answers each request with a body without a length or chunks, on the
// connection that it hands out.
type unframedTarget struct {
	listener net.Listener
	conns    chan net.Conn
}

func newUnframedTarget(t *testing.T) *unframedTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveListener(t, listener)
}

func serveListener(t *testing.T, listener net.Listener) *unframedTarget {
	t.Helper()
	s := &unframedTarget{listener, make(chan net.Conn, 8)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				continue
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nbegin ")
			s.conns <- c
		}
	}()
	return s
}

// open begins an exchange and returns the target's end of its connection.
func (s *unframedTarget) open(t *testing.T, p *upstream.Pool) (*upstream.Response, net.Conn) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	res, err := p.Do(ctx, &upstream.Request{Address: s.listener.Addr().String(), Method: "GET", RequestURI: "/", Host: "h", Confirm: confirm})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = res.Close() })
	return res, <-s.conns
}

// keepWriting writes to a connection, whose response is read, until stop is closed.
func keepWriting(t *testing.T, res *upstream.Response, c net.Conn, stop chan struct{}) {
	go func() { _, _ = io.Copy(io.Discard, res) }()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				if _, err := c.Write([]byte("more ")); err != nil {
					return
				}
			}
		}
	}()
	t.Cleanup(func() { _ = c.Close() })
}

// Guards against whole responses that are broken off because their target shuts down in
// order: it accepts no connection any more and completes its responses.
func TestLeavingTargetCompletesResponses(t *testing.T) {
	s, p := newUnframedTarget(t), upstream.NewPool(time.Second)
	res, c := s.open(t, p)
	other, otherConn := s.open(t, p)
	stop := make(chan struct{})
	defer close(stop)
	keepWriting(t, other, otherConn, stop)
	_ = s.listener.Close()
	fmt.Fprint(c, "end")
	_ = c.Close()
	if body, err := io.ReadAll(res); err != nil || string(body) != "begin end" {
		t.Errorf("body %q, %v", body, err)
	}
}

// Guards against a truncated response that looks whole: of a target that crashes, also while
// data of another exchange is still on its way, and of one of which nothing shows that it runs.
func TestCrashedTargetIsNotTakenForLeaving(t *testing.T) {
	for name, crash := range map[string]func(other net.Conn){
		"all connections end":            func(other net.Conn) { _ = other.Close() },
		"delayed data and then the end":  func(other net.Conn) { go closeAfter(other, 30*time.Millisecond, "more ") },
		"the other exchange is silent":   func(net.Conn) {},
		"the other connection is reset":  func(other net.Conn) { _ = other.(*net.TCPConn).SetLinger(0); _ = other.Close() },
		"the other one ends a bit later": func(other net.Conn) { go closeAfter(other, 200*time.Millisecond, "") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, p := newUnframedTarget(t), upstream.NewPool(time.Second)
			res, c := s.open(t, p)
			other, otherConn := s.open(t, p)
			t.Cleanup(func() { _ = otherConn.Close() })
			go func() { _, _ = io.Copy(io.Discard, other) }()
			time.Sleep(100 * time.Millisecond) // what was sent before is read
			_ = s.listener.Close()
			_ = c.Close()
			crash(otherConn)
			if body, err := io.ReadAll(res); !errors.Is(err, upstream.ErrBroken) {
				t.Errorf("body %q counts as whole: %v", body, err)
			}
		})
	}
}

func closeAfter(c net.Conn, d time.Duration, last string) {
	time.Sleep(d)
	_, _ = io.WriteString(c, last)
	_ = c.Close()
}
