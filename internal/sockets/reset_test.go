package sockets_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"geraniumturn.example/geraniumturn/internal/sockets"
)

// Guards against a response that was broken off and looks complete to a caller with HTTP/1.0,
// for which nothing but the end of the connection shows the end, and against a whole response
// that is lost in a reset.
func TestResetUnfinished(t *testing.T) {
	const part = "part of a response"
	for name, c := range map[string]struct {
		end   func(http.ResponseWriter, *httptest.Server)
		whole bool
	}{
		"returned":      {func(http.ResponseWriter, *httptest.Server) {}, true},
		"aborted":       {func(http.ResponseWriter, *httptest.Server) { panic(http.ErrAbortHandler) }, false},
		"server closed": {func(_ http.ResponseWriter, s *httptest.Server) { _ = s.Config.Close() }, false},
	} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(name+", HTTP/"+version, func(t *testing.T) {
				received := make(chan struct{})
				var server *httptest.Server
				server = httptest.NewUnstartedServer(sockets.ResetUnfinished(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, part)
					_ = http.NewResponseController(w).Flush()
					<-received // what has not arrived would be lost in a reset
					c.end(w, server)
				})))
				server.Config.ConnContext = sockets.WithConn
				server.Start()
				t.Cleanup(server.Close)
				conn, err := net.Dial("tcp", server.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				fmt.Fprintf(conn, "GET / HTTP/%s\r\nHost: x\r\nConnection: close\r\n\r\n", version)
				var got strings.Builder
				buffer := make([]byte, 512)
				for !strings.Contains(got.String(), part) && err == nil {
					var n int
					n, err = conn.Read(buffer)
					got.Write(buffer[:n])
				}
				close(received)
				rest, err := io.ReadAll(conn)
				got.Write(rest)
				switch {
				case !strings.Contains(got.String(), part):
					t.Errorf("%q", got.String())
				case version == "1.1":
					if ended := strings.HasSuffix(got.String(), "\r\n0\r\n\r\n"); ended != c.whole || err != nil {
						t.Errorf("%q: %v", got.String(), err)
					}
				case errors.Is(err, syscall.ECONNRESET) == c.whole || c.whole && err != nil:
					t.Errorf("%q, whole %v: %v", got.String(), c.whole, err)
				}
			})
		}
	}
}

// Guards against a kept connection that is reset after its last response.
func TestResetUnfinishedKeepsConnection(t *testing.T) {
	server := httptest.NewUnstartedServer(sockets.ResetUnfinished(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })))
	server.Config.ConnContext = sockets.WithConn
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const request = "GET / HTTP/1.0\r\nHost: x\r\n"
	fmt.Fprint(conn, request+"Connection: keep-alive\r\n\r\n"+request+"\r\n")
	got, err := io.ReadAll(conn)
	if strings.Count(string(got), "whole") != 2 || err != nil {
		t.Errorf("%q: %v", got, err)
	}
}
