package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against bodies of requests that are read, or kept, beyond the memory for all of them,
// and against one that is read beyond the time of its request.
func TestBodiesKeepToMemory(t *testing.T) {
	const size = 64 << 10
	s := newTarget(t, success)
	f := newFixture(t)
	f.MaxBodyMemory = size
	f.Init(90_000)
	f.update(0, s)
	open := func(timeout string) (net.Conn, *bufio.Reader) {
		t.Helper()
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.front.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprintf(conn, "POST /safe/ HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: a\r\nTimeout-Ms: %s\r\nContent-Length: %d\r\n\r\nb", timeout, size)
		return conn, bufio.NewReader(conn)
	}
	status := func(r *bufio.Reader) (int, http.Header) {
		t.Helper()
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode, res.Header
	}
	slow, response := open("2000")
	time.Sleep(100 * time.Millisecond)
	_, refused := open("2000")
	if got, h := status(refused); got == http.StatusOK || h.Get("Ran") != "not_run" || h.Get("Code") != "overloaded" || h.Get("Retry") == "" {
		t.Errorf("a second body: status %d, %v", got, h)
	}
	if got := f.call(t, "/safe/"); got.status != http.StatusOK {
		t.Errorf("a small body beside a large one: %+v", got)
	}
	if _, err := slow.Write(make([]byte, size-1)); err != nil {
		t.Fatal(err)
	}
	if got, _ := status(response); got != http.StatusOK {
		t.Errorf("the first body: status %d", got)
	}
	_, late := open("300")
	if got, h := status(late); got == http.StatusOK || h.Get("Ran") != "not_run" || h.Get("Code") != "deadline" {
		t.Errorf("a body that does not arrive in time: status %d, %v", got, h)
	}
	if got := f.call(t, "/safe/"); got.status != http.StatusOK || s.count() != 3 {
		t.Errorf("after all: %+v, %d requests ran", got, s.count())
	}
}
