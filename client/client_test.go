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

// startGateway starts a server that lists itself in discovery responses and passes
// all other requests to the handler. It returns the address of the server.
func startGateway(t *testing.T, handler http.HandlerFunc) string {
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

func writeRefusal(w http.ResponseWriter, status int, body string) {
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"error":{%s}}`, body)
}

// Guards against a retry that can run a request twice.
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
			address := startGateway(t, func(w http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) == 1 {
					writeRefusal(w, c.status, c.body)
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

// Guards against a retry by net/http: when a reused connection breaks, it sends the
// request again if it can rewind the body. A request that is not idempotent would
// then run twice.
func TestBrokenConnectionIsNotResent(t *testing.T) {
	var requests atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go serveOnceThenClose(listener, &requests)
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
		t.Errorf("the server received %d requests for 2 calls", got)
	}
}

// serveOnceThenClose responds to the first request of each connection, and closes
// the connection without a response after it has read the second one.
func serveOnceThenClose(listener net.Listener, requests *atomic.Int64) {
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

// Guards against a client that ignores the hosts listed in a wrong_host refusal.
func TestFollowsNamedHosts(t *testing.T) {
	correctHost := startGateway(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "here") })
	wrongHost := startGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, 421, fmt.Sprintf(`"code":"wrong_host","ran":"not_run","hosts":[%q]`, correctHost))
	})
	response, err := New("", wrongHost).Do(t.Context(), Request{Method: http.MethodPost, Path: "/x"})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if body, _ := io.ReadAll(response.Body); string(body) != "here" {
		t.Errorf("body = %q", body)
	}
}

// Guards against an error response of a target that is taken for a refusal of the
// gateway.
func TestTargetErrorIsAnAnswer(t *testing.T) {
	address := startGateway(t, func(w http.ResponseWriter, _ *http.Request) {
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

// Guards against an error other than ErrNoHost when no host is known. The caller could
// then not tell that the request did not run.
func TestNoHost(t *testing.T) {
	_, err := New("").Do(t.Context(), Request{Method: http.MethodPost, Path: "/x"})
	if !errors.Is(err, ErrNoHost) {
		t.Errorf("error = %v", err)
	}
}

// startRaw starts a gateway whose other responses are written as they are, before the
// connection is closed. It returns the address of the gateway.
func startRaw(t *testing.T, response string) string {
	return startGateway(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, response)
	})
}

// Guards against a response that looks complete although it has neither a length nor chunks,
// so that nothing tells its end from a lost connection.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	const refusal = `{"error":{"code":"draining","ran":"not_run"}}`
	cases := []struct {
		name, method, response, body string
		cut, refused                 bool
	}{
		{"neither", "POST", "HTTP/1.1 200 OK\r\n\r\npart", "part", true, false},
		{"neither, close", "POST", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", "part", true, false},
		{"neither, HTTP/1.0", "POST", "HTTP/1.0 200 OK\r\n\r\npart", "part", true, false},
		{"neither, empty", "POST", "HTTP/1.1 200 OK\r\n\r\n", "", true, false},
		{"neither, compressed", "POST", "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n", "", true, false},
		{"neither, error of a target", "POST", "HTTP/1.1 404 No\r\n\r\npart", "part", true, false},
		{"neither, refusal", "POST", "HTTP/1.1 503 No\r\n\r\n" + refusal, "", false, true},
		{"length not reached", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart", "part", true, false},
		{"chunks without an end", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", "part", true, false},
		{"length", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull", "full", false, false},
		{"length, HTTP/1.0", "POST", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nfull", "full", false, false},
		{"length of 0", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", false, false},
		{"chunks", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", "full", false, false},
		{"no content", "POST", "HTTP/1.1 204 None\r\n\r\n", "", false, false},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", "", false, false},
		{"head of an error", "HEAD", "HTTP/1.1 404 No\r\n\r\n", "", false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, err := New("", startRaw(t, c.response)).Do(t.Context(), Request{Method: c.method, Path: "/x", MaxAttempts: 1})
			if refused, ok := errors.AsType[*RefusalError](err); ok != c.refused || ok && refused.Ran != "not_run" {
				t.Fatalf("refusal %v, want %v: %v", ok, c.refused, err)
			}
			if c.refused {
				return
			}
			body := []byte(c.body) // of an error response that Do has read
			if err == nil {
				defer response.Body.Close()
				body, err = io.ReadAll(response.Body)
			}
			if string(body) != c.body || errors.Is(err, io.ErrUnexpectedEOF) != c.cut || !c.cut && err != nil {
				t.Errorf("%q, cut %v: %v", body, c.cut, err)
			}
		})
	}
}

// Guards against an error response of a target that is cut at the size of the largest
// refusal and looks complete.
func TestLongErrorResponse(t *testing.T) {
	for _, bytes := range []int{maxRefusalBytes - 1, maxRefusalBytes, maxRefusalBytes + 1, 3 * maxRefusalBytes} {
		for _, cut := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, cut %v", bytes, cut), func(t *testing.T) {
				address := startGateway(t, func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(http.StatusNotFound)
					_, _ = io.WriteString(w, strings.Repeat("x", bytes))
					if cut {
						_ = http.NewResponseController(w).Flush()
						panic(http.ErrAbortHandler)
					}
				})
				response, err := New("", address).Do(t.Context(), Request{Method: http.MethodPost, Path: "/x"})
				var body []byte
				if err == nil {
					defer response.Body.Close()
					body, err = io.ReadAll(response.Body)
				}
				if cut && err == nil || !cut && (err != nil || len(body) != bytes) {
					t.Errorf("%d bytes: %v", len(body), err)
				}
			})
		}
	}
}
