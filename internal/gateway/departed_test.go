package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/sockets"
)

// Guards against a request that a host reads late, after a freeze, and sends to a target
// although its caller has closed the connection: the caller has moved on.
func TestRequestOfCallerThatLeftIsNotSent(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
		t.Run(path, func(t *testing.T) {
			s := newTarget(t, success)
			f := start(t, s)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			const callers = 20
			for i := range callers {
				conn, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: %d\r\nContent-Length: 1\r\n\r\nb", path, i)
				_ = conn.Close()
			}
			server := &http.Server{Handler: f, ConnContext: sockets.WithConn}
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(func() { _ = server.Close() })
			time.Sleep(300 * time.Millisecond)
			if n := s.count(); n > 0 {
				t.Errorf("%d of %d requests reached the target", n, callers)
			}
		})
	}
}
