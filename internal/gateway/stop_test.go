package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against requests that a stopping host accepted in time and sends to a target so late
// that they cannot end before it is gone: their callers, or the hosts that forward them, sent
// the body slowly.
func TestLateRequestIsRefusedInStop(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/", "/resume/"} {
		for _, forwarded := range []bool{false, true} {
			s := newTarget(t, success, success)
			stopping := start(t, s)
			address := stopping.front.Listener.Addr().String()
			header := http.Header{"Id": {"i1"}, "Key": {"k"}}
			if forwarded {
				address, header = forwardHeader(t, stopping, path)
			}
			before := s.count()
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = conn.Close() })
			header.Set("Content-Length", "2")
			if _, err := io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h\r\n"); err != nil {
				t.Fatal(err)
			}
			if err := header.Write(conn); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(conn, "\r\n1"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond) // the head is read
			stopping.Drain()
			stopping.RefuseNew()
			if _, err := io.WriteString(conn, "2"); err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			refused := res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Ran") == "not_run"
			if forwarded {
				refused = res.Header.Get("Geraniumturn-Ran") == "nowhere"
			}
			if sends := s.count() - before; !refused || sends != 0 {
				t.Errorf("%s, forwarded %v: status %d, %v, %d sends", path, forwarded, res.StatusCode, res.Header, sends)
			}
		}
	}
}

// forwardHeader returns the address at which a host takes forwarded requests, and the headers
// of one that was forwarded there.
func forwardHeader(t *testing.T, f *fixture, path string) (string, http.Header) {
	t.Helper()
	seen := make(chan http.Header, 1)
	handler := f.ForwardHandler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case seen <- r.Header.Clone():
		default:
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	forwardToAddress(t, f, strings.TrimPrefix(server.URL, "http://")).call(t, path)
	header := <-seen
	header.Del("Content-Length")
	return server.Listener.Addr().String(), header
}

// Guards against callers without an answer at the end of a planned stop, while their requests
// are still in progress at targets.
func TestRequestsAreAnsweredAtTheEndOfAStop(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/", "/resume/"} {
		release := make(chan struct{})
		s := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		})
		f := start(t, s)
		answered := make(chan result, 1)
		go func() { answered <- f.call(t, path) }()
		for s.count() == 0 {
			time.Sleep(time.Millisecond)
		}
		f.Drain()
		f.RefuseNew()
		f.EndRequests()
		select {
		case got := <-answered:
			if got.err != nil || got.status < http.StatusInternalServerError || got.header.Get("Ran") != "unknown" {
				t.Errorf("%s: %+v", path, got)
			}
		case <-time.After(time.Second):
			t.Errorf("%s: no answer", path)
		}
		if n := s.count(); n != 1 {
			t.Errorf("%s: %d sends", path, n)
		}
		close(release)
	}
}
