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
