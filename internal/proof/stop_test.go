package proof

import (
	"io"
	"strings"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/proctest"
)

// Guards against a graceful stop that cuts a request which was forwarded to the stopping
// host.
func TestGracefulStopKeepsForwardedRequests(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	startSlowEngine(f, "bilbao-a", "bilbao-1")
	key := f.Grant("hoteles-gijon")
	const tokens = 400 // 9 s at 22 ms per token, longer than a stopping host accepts new requests
	open := openStream(t, f, "gijon-1", key, tokens)
	defer open.Body.Close()
	start := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- f.Terminate("bilbao-1") }()
	answer, err := io.ReadAll(open.Body)
	if err != nil || !strings.Contains(string(answer), "data: [DONE]") {
		t.Errorf("after %v: %v; %d bytes of the answer", time.Since(start), err, len(answer))
	}
	if err := <-stopped; err != nil {
		t.Errorf("exit: %v", err)
	}
	t.Logf("stopped after %v", time.Since(start))
}
