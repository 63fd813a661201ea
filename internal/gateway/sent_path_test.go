package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/gateway"
)

// nestedRoutes has a route that is not idempotent and, below its prefix, one that is.
type nestedRoutes struct{ protocol }

func (c nestedRoutes) Decode([]byte) (*document.Document, error) {
	d := c.testDocument()
	nested := d.Routes[0]
	nested.Name, nested.Prefix = "nested", "/once/safe/"
	d.Routes = append(d.Routes, nested)
	return d, nil
}

// Guards against a request that is not idempotent and runs twice because the decoded form of its
// path begins with the prefix of an idempotent route.
func TestRouteIsChosenByPathAsSent(t *testing.T) {
	for _, c := range []struct {
		target string
		runs   int // if all responses are lost
	}{
		{"/once/safe/x", 2},
		{"/once/safe/x%2Fy", 2},
		{"http://h/once/safe/x?q=/", 2},
		{"/once/safe%2Fx", 1},
		{"/once/safe%2fx", 1},
		{"/once/safe%2Fx\"", 1}, // URL.EscapedPath() gives /once/safe/x%22
		{"/once/s%61fe/x", 1},
		{"/once/safe?q=/once/safe/", 1},
		{"http://h/once/safe%2Fx", 1},
		{"/%6Fnce/safe/x", 0},
		{"/once%2Fsafe/x", 0},
		{"//once/safe/x", 0},
		{"http://h", 0},
		{"*", 0},
	} {
		t.Run(c.target, func(t *testing.T) {
			a, b := newTarget(t, hangUp), newTarget(t, hangUp)
			f := newFixture(t)
			f.Views = gateway.NewViewStore(nestedRoutes{})
			f.update(0, a, b)
			conn, err := net.Dial("tcp", f.front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", c.target)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			_, _ = io.Copy(io.Discard, res.Body)
			if runs := a.count() + b.count(); runs != c.runs {
				t.Errorf("%d runs, want %d; the client gets %d %s", runs, c.runs, res.StatusCode, res.Header.Get("Code"))
			}
			if c.runs == 0 && res.Header.Get("Code") != "no_route" {
				t.Errorf("the client gets %d %s", res.StatusCode, res.Header.Get("Code"))
			}
			for _, r := range slices.Concat(a.requests, b.requests) {
				if r.RequestURI != c.target {
					t.Errorf("the target gets %s", r.RequestURI)
				}
			}
		})
	}
}
