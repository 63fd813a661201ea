package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/registry"
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

// Guards against an entry host that keeps the records of all targets that ever left.
func TestOldDeparturesAreForgotten(t *testing.T) {
	f := newFixture(t)
	now := clock.SinceBoot()
	apply := func(now time.Duration, r ...registry.Record) {
		f.Apply(now, fleetsync.Update{SentAt: now, ControlAddress: "c", ExchangeResponse: &syncpb.ExchangeResponse{Known: true, Index: 1, Version: 1}, Records: r})
	}
	apply(now, registry.Record{ID: "left", StartMillis: 1, State: registry.Left})
	apply(now + time.Minute)
	if _, known := f.Table.Get("left"); !known {
		t.Error("a departure is forgotten after a minute")
	}
	apply(now + time.Hour)
	if _, known := f.Table.Get("left"); known {
		t.Error("a departure is kept for an hour")
	}
}
