package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// gateway answers discovery with itself and all other requests with the handler.
func gateway(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	var address string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/hosts" {
			fmt.Fprintf(w, `{"hosts":[{"name":"a","address":%q}],"ttl_ms":60000}`, address)
			return
		}
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	address = server.Listener.Addr().String()
	return address
}

func refuse(w http.ResponseWriter, status int, body string) {
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"error":{%s}}`, body)
}

// A request may be sent again only when that cannot run it twice.
func TestRetriesOnlyWhenSafe(t *testing.T) {
	cases := []struct {
		name    string
		request Request
		status  int
		body    string
		want    int64
	}{
		{"draining, not run", Request{}, 503, `"code":"draining","ran":"not_run"`, 2},
		{"target failed, unknown", Request{}, 503, `"code":"target_failed","ran":"unknown"`, 1},
		{"target failed, unknown, idempotent", Request{Idempotent: true}, 503, `"code":"target_failed","ran":"unknown"`, 2},
		{"target failed, not run", Request{}, 503, `"code":"target_failed","ran":"not_run"`, 2},
		{"operation unknown", Request{IdempotencyKey: "k"}, 409, `"code":"operation_unknown","ran":"unknown"`, 1},
		{"malformed", Request{Idempotent: true}, 400, `"code":"invalid_request","ran":"not_run"`, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int64
			address := gateway(t, func(w http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) == 1 {
					refuse(w, c.status, c.body)
				}
			})
			c.request.Method, c.request.Path, c.request.MaxAttempts = http.MethodPost, "/x", 2
			response, err := New("", address).Do(context.Background(), c.request)
			if err == nil {
				response.Body.Close()
			}
			if calls.Load() != c.want {
				t.Errorf("%d calls, want %d (error %v)", calls.Load(), c.want, err)
			}
		})
	}
}

// net/http re-sends on a reused connection that breaks if it may rewind the
// body. A request that may run once must not be re-sent that way.
func TestBrokenConnectionIsNotResent(t *testing.T) {
	var requests atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go serveThenClose(listener, &requests)
	c := New("", listener.Addr().String())
	c.hosts, c.expires = []string{listener.Addr().String()}, time.Now().Add(time.Hour)
	for range 2 {
		response, err := c.Do(t.Context(), Request{Method: http.MethodGet, Path: "/x", Timeout: 5 * time.Second})
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	}
	if got := requests.Load(); got != 2 {
		t.Errorf("the server saw %d requests for 2 calls", got)
	}
}

// serveThenClose answers the first request of a connection and closes the
// connection after it has read the second one.
func serveThenClose(listener net.Listener, requests *atomic.Int64) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for i := range 2 {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				requests.Add(1)
				if i == 0 {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}
		}()
	}
}

// A wrong-host refusal names hosts; the client must follow them.
func TestFollowsNamedHosts(t *testing.T) {
	right := gateway(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "here") })
	wrong := gateway(t, func(w http.ResponseWriter, _ *http.Request) {
		refuse(w, 421, fmt.Sprintf(`"code":"wrong_host","ran":"not_run","hosts":[%q]`, right))
	})
	response, err := New("", wrong).Do(t.Context(), Request{Method: http.MethodPost, Path: "/x"})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if body, _ := io.ReadAll(response.Body); string(body) != "here" {
		t.Errorf("body = %q", body)
	}
}

// An answer of a target with an error status is an answer, not a refusal.
func TestTargetErrorIsAnAnswer(t *testing.T) {
	address := gateway(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		fmt.Fprint(w, "no such port")
	})
	response, err := New("", address).Do(t.Context(), Request{Method: http.MethodPost, Path: "/x"})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if body, _ := io.ReadAll(response.Body); response.StatusCode != 404 || !strings.Contains(string(body), "port") {
		t.Errorf("%d %s", response.StatusCode, body)
	}
}

// Without any host the caller must learn that nothing ran.
func TestNoHost(t *testing.T) {
	_, err := New("").Do(t.Context(), Request{Method: http.MethodPost, Path: "/x"})
	if !errors.Is(err, ErrNoHost) {
		t.Errorf("error = %v", err)
	}
}
