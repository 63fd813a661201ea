package proof

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"geraniumturn.example/geraniumturn/internal/operations"
	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/refusal"
)

const (
	operationBody   = `{"port":"Gijon","arrivals":412}`
	boundOperations = 8
)

// Guards against an operation (a request with an Idempotency-Key) that runs twice: it is
// resent through every host but runs once, and each resend gets the complete first
// response. A different body under the same key is refused; a different key runs.
func TestOperationResentThroughEveryHost(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	target := startHandlerTarget(t, f, serviceTarget("r1", "bilbao-a"), func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Location", "/registro/77")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprint(w, `{"number":77}`)
	}, "bilbao-1")
	key := f.Grant("hoteles-gijon")
	for round := range 2 {
		for i, host := range []string{"santander-1", "gijon-1", "gijon-2", "bilbao-1"} {
			got := send(t, f, host, "POST", "/registro/llegadas", operationBody, operationHeader(key, "filing-1"))
			if got.status != http.StatusCreated || got.body != `{"number":77}` || got.header.Get("Location") != "/registro/77" {
				t.Errorf("through %s: %d %s %v", host, got.status, got.body, got.err)
			}
			if replayed := got.header.Get(operations.HeaderReplayed); (replayed == "true") != (i+round > 0) {
				t.Errorf("through %s: %s = %q", host, operations.HeaderReplayed, replayed)
			}
		}
	}
	if n := target.count(operationBody); n != 1 {
		t.Errorf("the operation ran %d times", n)
	}
	other := send(t, f, "gijon-2", "POST", "/registro/llegadas", `{"arrivals":1}`, operationHeader(key, "filing-1"))
	if other.code != refusal.OperationMismatch || other.ran != refusal.NotRun {
		t.Errorf("a different body: %d %s", other.status, other.body)
	}
	if got := send(t, f, "gijon-2", "POST", "/registro/llegadas", operationBody, operationHeader(key, "filing-2")); got.status != http.StatusCreated {
		t.Errorf("a different key: %d %s", got.status, got.body)
	}
	if n := target.count(operationBody); n != 2 {
		t.Errorf("the operations of two keys ran %d times", n)
	}
	var out strings.Builder
	if err := f.Tool(&out).Print(t.Context(), "/admin/v1/operations?workspace=hoteles-gijon&key=filing-1"); err != nil {
		t.Fatal(err)
	}
	if text := out.String(); !strings.Contains(text, "finished") || strings.Contains(text, "arrivals") || strings.Contains(text, "filing-1") {
		t.Errorf("the operators' listing: %s", text)
	}
}

// Guards against an operation that runs again when the dispatching host is killed
// between dispatch and response. Before the kill a resend is refused as running; after
// it, also after the restart of the host, as unknown. The operation never runs again.
func TestHostKilledDuringOperation(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	target := startHandlerTarget(t, f, serviceTarget("r1", "santander-a"), func(w http.ResponseWriter, r *http.Request, _ string) {
		arrived <- struct{}{}
		select {
		case <-release:
		case <-r.Context().Done():
		}
		fmt.Fprint(w, "filed")
	}, "santander-1")
	defer close(release)
	key := f.Grant("hoteles-gijon")
	first := make(chan reply, 1)
	go func() {
		first <- send(t, f, "santander-1", "POST", "/registro/llegadas", operationBody, operationHeader(key, "k"))
	}()
	select {
	case <-arrived:
	case got := <-first:
		t.Fatalf("the operation did not reach the target: %d %s %v", got.status, got.body, got.err)
	}
	for _, host := range []string{"gijon-2", "bilbao-1", "santander-1"} {
		if got := send(t, f, host, "POST", "/registro/llegadas", operationBody, operationHeader(key, "k")); got.code != refusal.OperationRunning || got.ran != refusal.Unknown {
			t.Errorf("while it runs, through %s: %d %s", host, got.status, got.body)
		}
	}
	f.Kill("santander-1")
	if got := <-first; got.err == nil {
		t.Errorf("the first caller got %d %s", got.status, got.body)
	}
	// If the killed host was the leader of the log, resends are refused with no_quorum and
	// not_run until another leader is elected.
	expectUnknown := func(host string) {
		t.Helper()
		proctest.Eventually(t, proctest.StartTimeout, func() error {
			got := send(t, f, host, "POST", "/registro/llegadas", operationBody, operationHeader(key, "k"))
			if got.code == refusal.NoQuorum && got.ran == refusal.NotRun {
				return fmt.Errorf("through %s: %s", host, got.body)
			}
			if got.code != refusal.OperationUnknown || got.ran != refusal.Unknown {
				t.Errorf("after the kill, through %s: %d %s", host, got.status, got.body)
			}
			return nil
		})
	}
	expectUnknown("gijon-1")
	expectUnknown("bilbao-1")
	f.Launch("santander-1")
	f.AwaitHealthy("santander-1")
	awaitServing(t, f, "santander-1")
	awaitTarget(t, f, "r1", "santander-1")
	expectUnknown("santander-1")
	expectUnknown("gijon-2")
	if n := target.total(); n != 1 {
		t.Errorf("the operation ran %d times", n)
	}
}

// awaitServing waits until /readyz of the host returns 200.
func awaitServing(t *testing.T, f *proctest.Fleet, host string) {
	t.Helper()
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		response, err := http.Get("http://" + f.HTTP(host) + "/readyz")
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: %s", host, response.Status)
		}
		return nil
	})
}

// Guards against stored responses that are lost when the dispatching host is lost or
// restarts: a resend is answered from the second copy or from the synced file.
func TestAnswerOutlivesDispatchingHost(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	target := startHandlerTarget(t, f, serviceTarget("r1", "gijon-a"), func(w http.ResponseWriter, _ *http.Request, _ string) {
		fmt.Fprint(w, "filed")
	}, "gijon-1", "gijon-2")
	key := f.Grant("ferris")
	for _, entryHost := range []string{"gijon-2", "santander-1"} {
		// After the loss of the first host there may be no route for a moment. Such a
		// refusal is not_run, so the operation can be sent again.
		proctest.Eventually(t, proctest.StartTimeout, func() error {
			got := send(t, f, entryHost, "POST", "/registro/llegadas", operationBody, operationHeader(key, entryHost))
			if got.status != http.StatusOK && got.ran != refusal.NotRun {
				t.Fatalf("operation: %d %s", got.status, got.body)
			}
			if got.status != http.StatusOK {
				return fmt.Errorf("operation: %d %s", got.status, got.body)
			}
			return nil
		})
		f.Kill(entryHost)
		for _, host := range []string{"gijon-1", "bilbao-1"} {
			proctest.Eventually(t, proctest.StartTimeout, func() error {
				got := send(t, f, host, "POST", "/registro/llegadas", operationBody, operationHeader(key, entryHost))
				if got.code == refusal.NoQuorum && got.ran == refusal.NotRun {
					return fmt.Errorf("through %s: %s", host, got.body)
				}
				if got.status != http.StatusOK || got.body != "filed" || got.header.Get(operations.HeaderReplayed) != "true" {
					t.Errorf("after the loss of %s, through %s: %d %s", entryHost, host, got.status, got.body)
				}
				return nil
			})
		}
	}
	if n := target.total(); n != 2 {
		t.Errorf("two operations ran %d times", n)
	}
}

// Guards against operations that run, and idempotent requests that are refused, in a
// data centre without a majority: an operation is refused as not_run and does not run,
// idempotent requests are served, and after the partition the same operation runs once.
func TestOperationWithoutMajority(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	target := startHandlerTarget(t, f, serviceTarget("r1", "bilbao-a"), func(w http.ResponseWriter, _ *http.Request, _ string) {
		fmt.Fprint(w, "filed")
	}, "bilbao-1")
	startHandlerTarget(t, f, engineTarget("e1", "bilbao-a"), func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, `{"usage":{"prompt_tokens":1,"completion_tokens":8}}`)
	}, "bilbao-1")
	key := f.Grant("hoteles-gijon")
	// The host must hold its share of the rate limit before the partition.
	if got := send(t, f, "bilbao-1", "POST", "/v1/chat/completions", chatBody, bearerHeader(key)); got.status != http.StatusOK {
		t.Fatalf("idempotent request before the partition: %d %s", got.status, got.body)
	}
	f.Isolate("bilbao-1")
	for range 3 {
		got := send(t, f, "bilbao-1", "POST", "/registro/llegadas", operationBody, operationHeader(key, "k"))
		if got.code != refusal.NoQuorum || got.ran != refusal.NotRun || got.status != http.StatusServiceUnavailable {
			t.Errorf("operation without a majority: %d %s", got.status, got.body)
		}
	}
	if got := send(t, f, "bilbao-1", "POST", "/v1/chat/completions", chatBody, bearerHeader(key)); got.status != http.StatusOK {
		t.Errorf("idempotent request without a majority: %d %s", got.status, got.body)
	}
	if n := target.total(); n != 0 {
		t.Errorf("a refused operation ran %d times", n)
	}
	f.Heal()
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		if got := send(t, f, "bilbao-1", "POST", "/registro/llegadas", operationBody, operationHeader(key, "k")); got.status != http.StatusOK {
			return fmt.Errorf("after the partition: %d %s", got.status, got.body)
		}
		return nil
	})
	if n := target.total(); n != 1 {
		t.Errorf("the operation ran %d times", n)
	}
}

// Guards against stored responses outside the residency of their workspace: if it is one
// data centre, the responses are stored only there, and survive the restart of the host.
func TestBoundAnswerStaysInItsDataCentre(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	target := startHandlerTarget(t, f, serviceTarget("r1", "bilbao-a"), func(w http.ResponseWriter, _ *http.Request, _ string) {
		fmt.Fprint(w, "filed in bilbao")
	}, "bilbao-1")
	key := f.Grant("turismo-euskadi")
	// The host of the second copy depends on the attempt id. Eight attempts cover all
	// hosts, so that a copy outside the residency would be found.
	for i := range boundOperations {
		got := send(t, f, "bilbao-1", "POST", "/registro/llegadas", operationBody, operationHeader(key, fmt.Sprint("k", i)))
		if got.status != http.StatusOK {
			t.Fatalf("operation: %d %s", got.status, got.body)
		}
	}
	for _, host := range []string{"gijon-1", "santander-1"} {
		if files, _ := os.ReadDir(filepath.Join(f.DataDir(host), "answers")); len(files) != 0 {
			t.Errorf("%d responses are stored on %s", len(files), host)
		}
	}
	f.Kill("bilbao-1")
	f.Launch("bilbao-1")
	f.AwaitHealthy("bilbao-1")
	awaitServing(t, f, "bilbao-1")
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		got := send(t, f, "bilbao-1", "POST", "/registro/llegadas", operationBody, operationHeader(key, "k0"))
		if got.body != "filed in bilbao" || got.header.Get(operations.HeaderReplayed) != "true" {
			return fmt.Errorf("after the restart: %d %s", got.status, got.body)
		}
		return nil
	})
	if n := target.total(); n != boundOperations {
		t.Errorf("the operations ran %d times", n)
	}
}

// Guards against an operation that is blocked after a refusal: if no target can run it,
// it is refused as not_run and its record is released, so that a resend runs as soon as
// a target is available.
func TestRefusedOperationMayRun(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	key := f.Grant("hoteles-gijon")
	got := send(t, f, "santander-1", "POST", "/registro/llegadas", operationBody, operationHeader(key, "k"))
	if got.code != refusal.NoTarget || got.ran != refusal.NotRun {
		t.Errorf("without a target: %d %s", got.status, got.body)
	}
	target := startHandlerTarget(t, f, serviceTarget("r1", "gijon-a"), func(w http.ResponseWriter, _ *http.Request, _ string) {
		fmt.Fprint(w, "filed")
	}, "gijon-1")
	if got := send(t, f, "gijon-1", "POST", "/registro/llegadas", operationBody, operationHeader(key, "k")); got.status != http.StatusOK || target.total() != 1 {
		t.Errorf("resend: %d %s, %d runs", got.status, got.body, target.total())
	}
}
