package proof

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/refusal"
)

const shortStreamBody = `{"model":"modelo-llegadas","max_tokens":8,"stream":true,"messages":[{"role":"user","content":"hello"}]}`

// closeConnection closes the connection of a request without writing a response.
func closeConnection(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// Guards against automatic retries that run a request twice. A target that reads a
// request and closes the connection without a response receives the request exactly
// once: with or without a body, with or without an Idempotency-Key, from its own data
// centre or forwarded.
func TestTargetThatClosesAfterReading(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	target := startHandlerTarget(t, f, serviceTarget("r1", "santander-a"), func(w http.ResponseWriter, _ *http.Request, _ string) { closeConnection(w) }, "santander-1")
	key := f.Grant("hoteles-gijon")
	// Only four requests, since a target is ejected after five consecutive failures.
	cases := []struct{ host, method, body, operation string }{
		{"santander-1", "POST", operationBody, ""},
		{"santander-1", "GET", "", "own data centre"},
		{"bilbao-1", "POST", operationBody, "forwarded"},
		{"bilbao-1", "GET", "", ""},
	}
	for i, c := range cases {
		header := bearerHeader(key)
		if c.operation != "" {
			header = operationHeader(key, c.operation)
		}
		// Until the host has learnt of the target, it refuses the request as not_run.
		proctest.Eventually(t, proctest.StartTimeout, func() error {
			got := send(t, f, c.host, c.method, "/registro/llegadas", c.body, header)
			if got.ran == refusal.NotRun {
				return fmt.Errorf("%s through %s: %s", c.method, c.host, got.body)
			}
			if got.ran != refusal.Unknown || got.code != refusal.TargetFailed {
				t.Errorf("%s through %s: %d %s", c.method, c.host, got.status, got.body)
			}
			return nil
		})
		if n := target.total(); n != i+1 {
			t.Fatalf("%s through %s: %d runs instead of %d", c.method, c.host, n, i+1)
		}
		if c.operation == "" {
			continue
		}
		if got := send(t, f, c.host, c.method, "/registro/llegadas", c.body, header); got.code != refusal.OperationUnknown || target.total() != i+1 {
			t.Errorf("%s resent through %s: %d %s, %d runs", c.method, c.host, got.status, got.body, target.total())
		}
	}
}

// Guards against a truncated stream that the caller takes for a complete response: when
// a target truncates a stream, the gateway breaks the caller's connection, also for a
// forwarded request.
func TestTruncatedStreamBreaksConnection(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	startHandlerTarget(t, f, engineTarget("e1", "santander-a"), func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "data: {\"n\":1}\n\n") // a complete HTTP response, but without [DONE]
	}, "santander-1")
	key := f.Grant("hoteles-gijon")
	for _, host := range []string{"santander-1", "gijon-2"} {
		proctest.Eventually(t, proctest.StartTimeout, func() error {
			got := send(t, f, host, "POST", "/v1/chat/completions", shortStreamBody, bearerHeader(key))
			if got.code == refusal.NoTarget {
				return fmt.Errorf("through %s: %s", host, got.body)
			}
			if got.err == nil {
				t.Errorf("through %s: a truncated stream ended like a complete one: %d %q", host, got.status, got.body)
			}
			return nil
		})
	}
}

// Guards against a slow caller that delays others, and against work for callers that
// have disconnected: a caller that does not read its response delays no other request,
// and a caller's disconnect cancels its request on the target, also when forwarded.
func TestSlowAndDisconnectedCallers(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	started, cancelled := make(chan struct{}, 16), make(chan struct{}, 16)
	startHandlerTarget(t, f, engineTarget("e1", "santander-a"), func(w http.ResponseWriter, r *http.Request, body string) {
		w.Header().Set("Content-Type", "text/event-stream")
		if !strings.Contains(body, "endless") {
			fmt.Fprint(w, "data: {\"n\":1}\n\ndata: [DONE]\n\n")
			return
		}
		started <- struct{}{}
		if strings.Contains(body, "silent") {
			<-r.Context().Done()
			cancelled <- struct{}{}
			return
		}
		chunk := "data: " + strings.Repeat("x", 8<<10) + "\n\n"
		for {
			if _, err := fmt.Fprint(w, chunk); err != nil || r.Context().Err() != nil {
				cancelled <- struct{}{}
				return
			}
		}
	}, "santander-1")
	key := f.Grant("hoteles-gijon")
	endless := strings.Replace(shortStreamBody, "hello", "endless", 1)
	for _, host := range []string{"santander-1", "gijon-1"} {
		proctest.Eventually(t, proctest.StartTimeout, func() error {
			if got := send(t, f, host, "POST", "/v1/chat/completions", shortStreamBody, bearerHeader(key)); got.status != http.StatusOK {
				return fmt.Errorf("through %s: %d %s", host, got.status, got.body)
			}
			return nil
		})
		slow, err := net.Dial("tcp", f.HTTP(host))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(slow, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(endless), endless)
		<-started
		for range 10 {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			got := sendOnce(ctx, t, f, host, "POST", "/v1/chat/completions", shortStreamBody, bearerHeader(key))
			cancel()
			if got.status != http.StatusOK && got.code != refusal.RateLimited {
				t.Errorf("while a slow caller is connected, through %s: %d %s %v", host, got.status, got.body, got.err)
			}
		}
		disconnect(t, host, cancelled, func() { _ = slow.Close() })
		silentCtx, cancel := context.WithCancel(t.Context())
		go sendOnce(silentCtx, t, f, host, "POST", "/v1/chat/completions", strings.Replace(endless, "endless", "silent endless", 1), bearerHeader(key))
		<-started
		disconnect(t, host, cancelled, cancel)
	}
}

// disconnect closes a caller's connection and waits until its request is cancelled on
// the target.
func disconnect(t *testing.T, host string, cancelled <-chan struct{}, closeCaller func()) {
	t.Helper()
	disconnected := time.Now()
	closeCaller()
	select {
	case <-cancelled:
		t.Logf("through %s the request was cancelled on the target %v after the disconnect", host, time.Since(disconnected))
	case <-time.After(5 * time.Second):
		t.Errorf("through %s the request of a disconnected caller still runs", host)
	}
}
