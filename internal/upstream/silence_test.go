package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/upstream"
)

// handle accepts connections and passes each with its first request to a function.
func handle(t *testing.T, serve func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// exchange sends a request with a deadline of 6 s and returns the body of the response.
func exchange(p *upstream.Pool, r *upstream.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	r.Method, r.RequestURI, r.Host, r.Header = "POST", "/", "h", http.Header{}
	res, err := p.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer res.Close()
	got, err := io.ReadAll(res)
	return string(got), err
}

const wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against a connection that is closed because its sound target, with its kernel,
// fell silent for 1.7 s, before the response or within it, at any moment between two
// keep-alive probes.
func TestSilentTargetKeepsItsConnection(t *testing.T) {
	const silence = 1700 * time.Millisecond
	for name, c := range map[string]struct {
		sent  int           // bytes of the response before the silence
		after time.Duration // from there to the silence
	}{
		"before the response":                      {0, 0},
		"before the response, just before a probe": {0, 900 * time.Millisecond},
		"within the response":                      {len(wholeResponse) - 1, 0},
		"within the response, just before a probe": {len(wholeResponse) - 1, 900 * time.Millisecond},
	} {
		for _, repeatable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, repeatable %v", name, repeatable), func(t *testing.T) {
				t.Parallel()
				address := handle(t, func(conn net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(conn, wholeResponse[:c.sent])
					time.Sleep(c.after)
					proctest.SetDeaf(t, conn.(syscall.Conn), true)
					time.Sleep(silence)
					proctest.SetDeaf(t, conn.(syscall.Conn), false)
					_, _ = io.WriteString(conn, wholeResponse[c.sent:])
					_, _ = r.Peek(1) // until the other side closes
				})
				if got, err := exchange(upstream.NewPool(time.Second), &upstream.Request{Address: address, Repeatable: repeatable}); err != nil || got != "ok" {
					t.Errorf("body %q, error %v", got, err)
				}
			})
		}
	}
}

// Guards against a connection that is closed because its sound target does not read a
// long body for 1.7 s.
func TestTargetThatReadsLateKeepsItsConnection(t *testing.T) {
	address := handle(t, func(conn net.Conn, r *bufio.Reader) {
		time.Sleep(1700 * time.Millisecond)
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		_, _ = io.WriteString(conn, wholeResponse)
		_, _ = r.Peek(1)
	})
	if got, err := exchange(upstream.NewPool(time.Second), &upstream.Request{Address: address, Body: make([]byte, 16<<20)}); err != nil || got != "ok" {
		t.Errorf("body %q, error %v", got, err)
	}
}

// Guards against a request that could run elsewhere and waits until its deadline for a
// target that is silent for good, and against one that could not and is given up.
func TestTargetThatIsSilentForGood(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		t.Run(fmt.Sprintf("repeatable %v", repeatable), func(t *testing.T) {
			t.Parallel()
			address := handle(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				proctest.SetDeaf(t, conn.(syscall.Conn), true)
				time.Sleep(7 * time.Second)
			})
			started := time.Now()
			_, err := exchange(upstream.NewPool(time.Second), &upstream.Request{Address: address, Repeatable: repeatable})
			if took := time.Since(started); !errors.Is(err, upstream.ErrBroken) || repeatable != (took < 5*time.Second) {
				t.Errorf("error %v after %s", err, took)
			}
		})
	}
}

// Guards against a request that waits on a kept connection that has gone silent for good,
// while another target could take it, and against an acknowledged request that is taken
// for one that was not.
func TestUnacknowledgedRequest(t *testing.T) {
	giveUp := errors.New("elsewhere")
	for _, deaf := range []bool{false, true} {
		t.Run(fmt.Sprintf("deaf %v", deaf), func(t *testing.T) {
			t.Parallel()
			address := handle(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, wholeResponse)
				if deaf {
					proctest.SetDeaf(t, conn.(syscall.Conn), true)
					time.Sleep(3 * time.Second)
					return
				}
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				time.Sleep(1700 * time.Millisecond)
				_, _ = io.WriteString(conn, wholeResponse)
				_, _ = r.Peek(1)
			})
			p := upstream.NewPool(time.Second)
			if _, err := exchange(p, &upstream.Request{Address: address, Repeatable: true}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
			started := time.Now()
			_, err := exchange(p, &upstream.Request{Address: address, Repeatable: true, OnSilence: func() error { return giveUp }})
			if took := time.Since(started); errors.Is(err, upstream.ErrBroken) != deaf || took > 2*time.Second {
				t.Errorf("error %v after %s", err, took)
			}
		})
	}
}

// Guards against a request that reaches its target after it was given up, because the kernel
// goes on sending what a silent target has not acknowledged.
func TestAbandonedRequestIsNotDelivered(t *testing.T) {
	received := make(chan error, 1)
	address := handle(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		proctest.SetDeaf(t, conn.(syscall.Conn), true) // the response acknowledges the request
		_, _ = io.WriteString(conn, wholeResponse)
		time.Sleep(time.Second)
		proctest.SetDeaf(t, conn.(syscall.Conn), false)
		_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		_, err := http.ReadRequest(r)
		received <- err
	})
	p := upstream.NewPool(time.Second)
	if _, err := exchange(p, &upstream.Request{Address: address}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if _, err := p.Do(ctx, &upstream.Request{Address: address, Method: "POST", RequestURI: "/", Host: "h", Header: http.Header{}, Repeatable: true}); !errors.Is(err, upstream.ErrBroken) {
		t.Errorf("error %v, want ErrBroken", err)
	}
	if err := <-received; err == nil {
		t.Error("the target got the request")
	}
}
