package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/upstream"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	oneEvent     = "id: 1\ndata: a\n\n"
	longUpload   = 8 << 20
)

// reset closes a connection with a reset.
func reset(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.(*net.TCPConn).SetLinger(0); err != nil {
		t.Error(err)
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// Connection states of /proc/net/tcp.
const (
	stateCloseWait = "08"
	stateNone      = "" // not listed any more
)

// awaitState waits until the other end of a target's connection is in a state.
func awaitState(t *testing.T, c net.Conn, want string) {
	t.Helper()
	port := func(a net.Addr) string { return fmt.Sprintf("0100007F:%04X", a.(*net.TCPAddr).Port) }
	local, remote := port(c.RemoteAddr()), port(c.LocalAddr())
	state := ""
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		table, err := os.ReadFile("/proc/self/net/tcp")
		if err != nil {
			t.Error(err)
			return
		}
		state = stateNone
		for line := range strings.Lines(string(table)) {
			if f := strings.Fields(line); len(f) > 3 && f[1] == local && f[2] == remote {
				state = f[3]
			}
		}
		if state == want {
			return
		}
	}
	t.Errorf("the connection is in state %q, not %q", state, want)
}

// passedDeadline makes the next read find that its deadline has passed.
func passedDeadline(t *testing.T, res *upstream.Response) {
	t.Helper()
	if err := res.WatchSilence(time.Now().Add(-time.Millisecond), func() (time.Duration, error) { return 0, nil }); err != nil {
		t.Fatal(err)
	}
}

// serveConns accepts connections on which it answers health requests, and passes each other
// request with its connection to a function, which closes the connection.
func serveConns(t *testing.T, serve func(net.Conn, *http.Request)) string {
	t.Helper()
	return handle(t, func(c net.Conn, reader *bufio.Reader) {
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if r.Method != http.MethodGet || r.URL.Path != "/health" {
				serve(c, r)
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Target"))
		}
	})
}

// do sends a request with a body and returns the response, and a channel that is closed when
// the write has ended.
func do(t *testing.T, address string, body []byte) (*upstream.Response, <-chan struct{}) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	written := make(chan struct{})
	res, err := upstream.NewPool(time.Second).Do(ctx, &upstream.Request{Address: address, Method: "POST", RequestURI: "/", Host: "h", Body: body,
		AfterWrite: func() { close(written) }, Confirm: &upstream.Confirmation{RequestURI: "/health", Header: http.Header{"Target": {"t"}}, Check: func(_ int, h http.Header, _ io.Reader) error {
			if h.Get("Instance") != "t" {
				return fmt.Errorf("%q answers", h.Get("Instance"))
			}
			return nil
		}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = res.Close() })
	return res, written
}

// await waits for a channel to be closed.
func await(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(5 * time.Second):
		t.Error("not within 5 s: " + what)
	}
}

func expectBroken(t *testing.T, res *upstream.Response) {
	t.Helper()
	if body, err := io.ReadAll(res); !errors.Is(err, upstream.ErrBroken) {
		t.Errorf("a part of %d bytes counts as whole: %v", len(body), err)
	}
}

// trials is how often a case is played whose parts race with each other.
const trials = 8

// Guards against a part of a response that counts as whole because the write of the request
// has taken the reset of the connection, while the target runs on.
func TestResetDuringUploadIsNotTheEnd(t *testing.T) {
	for _, part := range []string{"", "part", oneEvent} {
		for _, readMeanwhile := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, read meanwhile %v", len(part), readMeanwhile), func(t *testing.T) {
				for range trials {
					address := serveConns(t, func(c net.Conn, _ *http.Request) {
						_, _ = io.WriteString(c, unframedHead+part)
						time.Sleep(20 * time.Millisecond) // the write is blocked
						reset(t, c)
					})
					res, written := do(t, address, make([]byte, longUpload))
					if !readMeanwhile {
						await(t, "the end of the write", written)
						if err := awaitWriteError(res); err == nil {
							t.Fatal("the whole request was written")
						}
					}
					expectBroken(t, res)
				}
			})
		}
	}
}

// awaitWriteError returns the error of a write that has ended. It is recorded right after
// AfterWrite has been called.
func awaitWriteError(res *upstream.Response) error {
	for until := time.Now().Add(time.Second); res.WriteError() == nil && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	return res.WriteError()
}

// Guards against a part of a stream that counts as whole because the check of the socket at a
// read deadline has taken the reset of the connection, while the target runs on.
func TestResetBeforeReadDeadlineIsNotTheEnd(t *testing.T) {
	read, ended := make(chan struct{}), make(chan struct{})
	address := serveConns(t, func(c net.Conn, _ *http.Request) {
		defer close(ended)
		_, _ = io.WriteString(c, unframedHead+oneEvent)
		await(t, "the event", read)
		reset(t, c)
		awaitState(t, c, stateNone)
	})
	res, _ := do(t, address, nil)
	event := make([]byte, len(oneEvent))
	if _, err := io.ReadFull(res, event); err != nil || string(event) != oneEvent {
		t.Fatalf("event %q, %v", event, err)
	}
	close(read)
	await(t, "the reset", ended)
	passedDeadline(t, res)
	expectBroken(t, res)
}

// Guards against a part of a response that counts as whole because the watch over the other
// exchanges with its target has taken the reset of its connection: the target leaves, and is
// back when the part is read.
func TestResetTakenByOtherExchangeIsNotTheEnd(t *testing.T) {
	for name, delay := range map[string]time.Duration{"before the watch": 0, "during the watch": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s, p := newUnframedTarget(t), upstream.NewPool(time.Second)
			other, otherConn := s.open(t, p)
			res, conn := s.open(t, p)
			begin := make([]byte, len("begin "))
			if _, err := io.ReadFull(res, begin); err != nil {
				t.Fatal(err)
			}
			address := s.listener.Addr().String()
			_ = s.listener.Close()
			_ = otherConn.Close()
			awaitState(t, otherConn, stateCloseWait)
			if delay == 0 {
				reset(t, conn)
				awaitState(t, conn, stateNone)
			}
			otherEnded := make(chan struct{})
			go func() {
				defer close(otherEnded)
				expectBroken(t, other)
			}()
			if delay > 0 {
				time.Sleep(delay)
				reset(t, conn)
			}
			await(t, "the end of the watch", otherEnded)
			back, err := net.Listen("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Instance", r.Header.Get("Target"))
			})}
			go func() { _ = server.Serve(back) }()
			t.Cleanup(func() { _ = server.Close() })
			expectBroken(t, res)
		})
	}
}

// Guards against a whole response that counts as broken off although its target runs and has
// closed the connection in order: also when a read deadline has passed, and when the target
// has read a long upload.
func TestOrderlyEndIsWhole(t *testing.T) {
	for _, deadline := range []bool{false, true} {
		for _, upload := range []int{0, longUpload} {
			for _, halfClosed := range []bool{false, true} {
				t.Run(fmt.Sprintf("deadline passed %v, upload of %d bytes, half closed %v", deadline, upload, halfClosed), func(t *testing.T) {
					read, ended, checked := make(chan struct{}), make(chan struct{}), make(chan struct{})
					defer close(checked)
					address := serveConns(t, func(c net.Conn, r *http.Request) {
						_, _ = io.WriteString(c, unframedHead+oneEvent)
						if n, err := io.Copy(io.Discard, r.Body); err != nil || n != int64(upload) {
							t.Errorf("the target has read %d of %d bytes: %v", n, upload, err)
						}
						await(t, "the event", read)
						if halfClosed {
							_ = c.(*net.TCPConn).CloseWrite()
						} else {
							_ = c.Close()
						}
						if deadline { // otherwise the reader closes its end at once
							awaitState(t, c, stateCloseWait)
						}
						close(ended)
						<-checked
					})
					res, written := do(t, address, make([]byte, upload))
					await(t, "the end of the write", written)
					event := make([]byte, len(oneEvent))
					if _, err := io.ReadFull(res, event); err != nil || string(event) != oneEvent {
						t.Fatalf("event %q, %v", event, err)
					}
					close(read)
					if deadline {
						await(t, "the end", ended)
						passedDeadline(t, res)
					}
					if rest, err := io.ReadAll(res); err != nil || len(rest) > 0 {
						t.Errorf("rest %q, %v", rest, err)
					}
				})
			}
		}
	}
}

// Guards against a part that counts as whole at a second attempt to read its end: the target
// may have started again meanwhile.
func TestUnconfirmedEndIsFinal(t *testing.T) {
	var answers atomic.Int64
	address := handle(t, func(c net.Conn, reader *bufio.Reader) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			if answers.Add(1) > 1 {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nInstance: t\r\nContent-Length: 0\r\n\r\n")
			}
			return
		}
		_, _ = io.WriteString(c, unframedHead+oneEvent)
	})
	res, _ := do(t, address, nil)
	for range 3 {
		expectBroken(t, res)
	}
}

// Guards against a part that counts as whole because another exchange goes on that was begun
// with the next process at the address, while the reader of the part was late.
func TestProgressOfAnotherProcessIsNoProof(t *testing.T) {
	s, p := newUnframedTarget(t), upstream.NewPool(time.Second)
	res, conn := s.open(t, p)
	address := s.listener.Addr().String()
	_ = s.listener.Close()
	_ = conn.Close()
	time.Sleep(50 * time.Millisecond) // the kernel tells the arrival of data in ticks
	back, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	next := serveListener(t, back)
	other, otherConn := next.open(t, p)
	stop := make(chan struct{})
	defer close(stop)
	keepWriting(t, other, otherConn, stop)
	_ = back.Close()
	expectBroken(t, res)
}

// Guards against a part that counts as whole because its end is confirmed so late that the
// target may have started again.
func TestLateConfirmationIsNone(t *testing.T) {
	address := handle(t, func(c net.Conn, reader *bufio.Reader) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			time.Sleep(2500 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nInstance: t\r\nContent-Length: 0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(c, unframedHead+oneEvent)
	})
	res, _ := do(t, address, nil)
	expectBroken(t, res)
}

// Guards against a whole response that is held back, or repeated, while the rest of the answer
// that has confirmed its end does not come.
func TestStalledRestOfConfirmation(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	address := handle(t, func(c net.Conn, reader *bufio.Reader) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nInstance: t\r\nContent-Length: 5\r\n\r\n")
			<-done
			return
		}
		_, _ = io.WriteString(c, unframedHead+oneEvent)
	})
	res, _ := do(t, address, nil)
	started := time.Now()
	if body, err := io.ReadAll(res); err != nil || string(body) != oneEvent {
		t.Errorf("body %q, %v", body, err)
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("the end took %s", took)
	}
}
