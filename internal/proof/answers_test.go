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

const brokenStreamBody = `{"model":"modelo-llegadas","max_tokens":8,"stream":true,"messages":[{"role":"user","content":"hello"}]}`

// crash breaks the connection of a request without an answer.
func crash(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// Guards G10 against every automatic repetition: a target that closes after
// reading gets a request once, with a body and without, with an Idempotency-Key
// and without, from its own data centre and through a forward.
func TestTargetThatClosesAfterReading(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	target := newFake(t, f, service("r1", "santander-a"), func(w http.ResponseWriter, _ *http.Request, _ string) { crash(w) }, "santander-1")
	key := f.Grant("hoteles-gijon")
	// Four requests in all: after five failures in a row a target is ejected.
	cases := []struct{ host, method, body, operation string }{
		{"santander-1", "POST", filingBody, ""},
		{"santander-1", "GET", "", "own data centre"},
		{"bilbao-1", "POST", filingBody, "forwarded"},
		{"bilbao-1", "GET", "", ""},
	}
	for i, c := range cases {
		header := bearerOf(key)
		if c.operation != "" {
			header = filing(key, c.operation)
		}
		// Before the host has heard of the target a refusal is certain.
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
			t.Errorf("%s sent again through %s: %d %s, %d runs", c.method, c.host, got.status, got.body, target.total())
		}
	}
}

// Guards G8: a stream that breaks off breaks the caller's connection, also
// through a forward, and does not look whole.
func TestTruncatedStreamBreaksConnection(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	newFake(t, f, engine("e1", "santander-a"), func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "data: {\"n\":1}\n\n") // ends in good order, but without [DONE]
	}, "santander-1")
	key := f.Grant("hoteles-gijon")
	for _, host := range []string{"santander-1", "gijon-2"} {
		proctest.Eventually(t, proctest.StartTimeout, func() error {
			got := send(t, f, host, "POST", "/v1/chat/completions", brokenStreamBody, bearerOf(key))
			if got.code == refusal.NoTarget {
				return fmt.Errorf("through %s: %s", host, got.body)
			}
			if got.broken == nil {
				t.Errorf("through %s: a truncated stream ended in good order: %d %q", host, got.status, got.body)
			}
			return nil
		})
	}
}

// Guards callers against each other and targets against callers that left: a
// caller that does not read delays nobody else, and a caller that leaves ends
// its request on the target, through a forward too.
func TestSlowAndGoneCallers(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	started, cancelled := make(chan struct{}, 16), make(chan struct{}, 16)
	newFake(t, f, engine("e1", "santander-a"), func(w http.ResponseWriter, r *http.Request, body string) {
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
	endless := strings.Replace(brokenStreamBody, "hello", "endless", 1)
	for _, host := range []string{"santander-1", "gijon-1"} {
		proctest.Eventually(t, proctest.StartTimeout, func() error {
			if got := send(t, f, host, "POST", "/v1/chat/completions", brokenStreamBody, bearerOf(key)); got.status != http.StatusOK {
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
			got := sendContext(ctx, t, f, host, "POST", "/v1/chat/completions", brokenStreamBody, bearerOf(key))
			cancel()
			if got.status != http.StatusOK && got.code != refusal.RateLimited {
				t.Errorf("next to a slow caller, through %s: %d %s %v", host, got.status, got.body, got.broken)
			}
		}
		leave(t, host, cancelled, func() { _ = slow.Close() })
		silent, cancel := context.WithCancel(t.Context())
		go sendContext(silent, t, f, host, "POST", "/v1/chat/completions", strings.Replace(endless, "endless", "silent endless", 1), bearerOf(key))
		<-started
		leave(t, host, cancelled, cancel)
	}
}

// leave ends a caller's connection and waits until the target learns of it.
func leave(t *testing.T, host string, cancelled <-chan struct{}, end func()) {
	t.Helper()
	left := time.Now()
	end()
	select {
	case <-cancelled:
		t.Logf("through %s the target learned after %v that the caller left", host, time.Since(left))
	case <-time.After(5 * time.Second):
		t.Errorf("through %s the request of a caller that left still runs", host)
	}
}
