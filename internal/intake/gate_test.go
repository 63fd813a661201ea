package intake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

type lineCounter struct{ n atomic.Int64 }

func (c *lineCounter) Write(b []byte) (int, error) {
	c.n.Add(1)
	return len(b), nil
}

// Load: connections of which each keeps its place, its head or its request open. Guards against
// charges that stay when connections end, and a request that is not refused.
func TestGate(t *testing.T) {
	log := logrus.New()
	var lines lineCounter
	log.SetOutput(&lines)
	gate := NewGate(Limits{Account: 20 * (connectionBytes + requestBytes), Connections: [classes]int{40, 1, 1}, Requests: 100}, log, metrics.NewRegistry())
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	server := httptest.NewUnstartedServer(Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { <-hold })))
	server.Listener = gate.Listen(server.Listener, Callers)
	server.Config.ConnContext, server.Config.ConnState = WithConn, SetState
	server.Start()
	defer server.Close()
	defer release()
	refused := 0
	for i := range 30 {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			refused++ // reset before the dial has returned
			continue
		}
		defer conn.Close()
		fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		answer, err := io.ReadAll(conn)
		if strings.HasPrefix(string(answer), "HTTP/1.1 503") || err == nil || strings.Contains(err.Error(), "reset") {
			refused++
		}
	}
	if u := gate.Account.Usage(); refused < 10 || u.Bytes > gate.Account.limits.Account {
		t.Errorf("%d of 30 are refused, %+v", refused, u)
	}
	release()
	server.CloseClientConnections()
	for end := time.Now().Add(5 * time.Second); gate.Account.Usage().Bytes > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("left: %+v", gate.Account.Usage())
		}
	}
	if n := lines.n.Load(); n == 0 || n > 2*linesPerSecond*10 {
		t.Errorf("%d lines", n)
	}
}

// Load: requests that are refused before their body is read, and whose bodies then stop.
// Guards against connections that keep their places for good.
func TestRefusedBodiesGiveWay(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	gate := NewGate(Limits{Account: 10 << 20, Connections: [classes]int{5, 1, 1}, Requests: 100}, log, metrics.NewRegistry())
	server := httptest.NewUnstartedServer(DiscardBodies(Handler(http.NotFoundHandler())))
	server.Listener = gate.Listen(server.Listener, Callers)
	server.Config.ConnContext, server.Config.ConnState = WithConn, SetState
	server.Start()
	defer server.Close()
	for range 5 {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nx")
	}
	time.Sleep(2 * stallTime)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(DiscardTime / 4))
	b := make([]byte, len("HTTP/1.1 404"))
	if _, err := io.ReadFull(conn, b); err != nil || string(b) != "HTTP/1.1 404" {
		t.Errorf("%q, %v; %+v", b, err, gate.Account.Usage())
	}
	for end := time.Now().Add(5 * DiscardTime); gate.Account.Usage().Connections[Callers] > 1; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("left: %+v", gate.Account.Usage())
		}
	}
}
