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
	filingBody   = `{"port":"Gijon","arrivals":412}`
	boundFilings = 8
)

// Guards G10: a filing that is sent again through every host runs once, and
// each resend gets the whole first answer. Another body under the same key is
// refused, and a different key runs.
func TestFilingResentThroughEveryHost(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	target := newFake(t, f, service("r1", "bilbao-a"), func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Location", "/registro/77")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprint(w, `{"number":77}`)
	}, "bilbao-1")
	key := f.Grant("hoteles-gijon")
	for round := range 2 {
		for i, host := range []string{"santander-1", "gijon-1", "gijon-2", "bilbao-1"} {
			got := send(t, f, host, "POST", "/registro/llegadas", filingBody, filing(key, "filing-1"))
			if got.status != http.StatusCreated || got.body != `{"number":77}` || got.header.Get("Location") != "/registro/77" {
				t.Errorf("through %s: %d %s %v", host, got.status, got.body, got.broken)
			}
			if replayed := got.header.Get(operations.HeaderReplayed); (replayed == "true") != (i+round > 0) {
				t.Errorf("through %s: %s = %q", host, operations.HeaderReplayed, replayed)
			}
		}
	}
	if n := target.count(filingBody); n != 1 {
		t.Errorf("the filing ran %d times", n)
	}
	other := send(t, f, "gijon-2", "POST", "/registro/llegadas", `{"arrivals":1}`, filing(key, "filing-1"))
	if other.code != refusal.OperationMismatch || other.ran != refusal.NotRun {
		t.Errorf("another body: %d %s", other.status, other.body)
	}
	if got := send(t, f, "gijon-2", "POST", "/registro/llegadas", filingBody, filing(key, "filing-2")); got.status != http.StatusCreated {
		t.Errorf("another key: %d %s", got.status, got.body)
	}
	if n := target.count(filingBody); n != 2 {
		t.Errorf("two keys ran %d times", n)
	}
	var out strings.Builder
	if err := f.Tool(&out).Print(t.Context(), "/admin/v1/operations?workspace=hoteles-gijon&key=filing-1"); err != nil {
		t.Fatal(err)
	}
	if text := out.String(); !strings.Contains(text, "finished") || strings.Contains(text, "arrivals") || strings.Contains(text, "filing-1") {
		t.Errorf("the operators' view: %s", text)
	}
}

// Guards G10 when the dispatching host dies between dispatch and answer: while
// it lives a resend is told that the operation runs, afterwards that its
// outcome is unknown, also after the host's restart; it never runs again.
func TestHostKilledDuringFiling(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	target := newFake(t, f, service("r1", "santander-a"), func(w http.ResponseWriter, r *http.Request, _ string) {
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
		first <- send(t, f, "santander-1", "POST", "/registro/llegadas", filingBody, filing(key, "k"))
	}()
	select {
	case <-arrived:
	case got := <-first:
		t.Fatalf("the filing did not reach the target: %d %s %v", got.status, got.body, got.broken)
	}
	for _, host := range []string{"gijon-2", "bilbao-1", "santander-1"} {
		if got := send(t, f, host, "POST", "/registro/llegadas", filingBody, filing(key, "k")); got.code != refusal.OperationRunning || got.ran != refusal.Unknown {
			t.Errorf("while it runs, through %s: %d %s", host, got.status, got.body)
		}
	}
	f.Kill("santander-1")
	if got := <-first; got.broken == nil {
		t.Errorf("the first caller got %d %s", got.status, got.body)
	}
	// The killed host may have led the log: until the next leader a resend is
	// refused with no_quorum and not_run.
	unknown := func(host string) {
		t.Helper()
		proctest.Eventually(t, proctest.StartTimeout, func() error {
			got := send(t, f, host, "POST", "/registro/llegadas", filingBody, filing(key, "k"))
			if got.code == refusal.NoQuorum && got.ran == refusal.NotRun {
				return fmt.Errorf("through %s: %s", host, got.body)
			}
			if got.code != refusal.OperationUnknown || got.ran != refusal.Unknown {
				t.Errorf("after the kill, through %s: %d %s", host, got.status, got.body)
			}
			return nil
		})
	}
	unknown("gijon-1")
	unknown("bilbao-1")
	f.Launch("santander-1")
	f.AwaitHealthy("santander-1")
	awaitRules(t, f, "santander-1")
	awaitTarget(t, f, "r1", "santander-1")
	unknown("santander-1")
	unknown("gijon-2")
	if n := target.total(); n != 1 {
		t.Errorf("the filing ran %d times", n)
	}
}

// awaitRules waits until the host serves callers.
func awaitRules(t *testing.T, f *proctest.Fleet, host string) {
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

// Guards stored answers against the loss of the host that dispatched, and
// against its restart: the second copy and the synced file answer a resend.
func TestAnswerOutlivesDispatchingHost(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	target := newFake(t, f, service("r1", "gijon-a"), func(w http.ResponseWriter, _ *http.Request, _ string) {
		fmt.Fprint(w, "filed")
	}, "gijon-1", "gijon-2")
	key := f.Grant("ferris")
	for _, dispatching := range []string{"gijon-2", "santander-1"} {
		// The loss of the first host may leave no route for a moment; such a
		// refusal is not_run, so the filing is sent again.
		proctest.Eventually(t, proctest.StartTimeout, func() error {
			got := send(t, f, dispatching, "POST", "/registro/llegadas", filingBody, filing(key, dispatching))
			if got.status != http.StatusOK && got.ran != refusal.NotRun {
				t.Fatalf("filing: %d %s", got.status, got.body)
			}
			if got.status != http.StatusOK {
				return fmt.Errorf("filing: %d %s", got.status, got.body)
			}
			return nil
		})
		f.Kill(dispatching)
		for _, host := range []string{"gijon-1", "bilbao-1"} {
			proctest.Eventually(t, proctest.StartTimeout, func() error {
				got := send(t, f, host, "POST", "/registro/llegadas", filingBody, filing(key, dispatching))
				if got.code == refusal.NoQuorum && got.ran == refusal.NotRun {
					return fmt.Errorf("through %s: %s", host, got.body)
				}
				if got.status != http.StatusOK || got.body != "filed" || got.header.Get(operations.HeaderReplayed) != "true" {
					t.Errorf("after the loss of %s, through %s: %d %s", dispatching, host, got.status, got.body)
				}
				return nil
			})
		}
	}
	if n := target.total(); n != 2 {
		t.Errorf("two filings ran %d times", n)
	}
}

// Guards G3 and G9 in a data centre without a majority: a filing is refused and
// certainly not run, idempotent questions are answered, and after the partition
// the same filing runs once.
func TestFilingWithoutMajority(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	target := newFake(t, f, service("r1", "bilbao-a"), func(w http.ResponseWriter, _ *http.Request, _ string) {
		fmt.Fprint(w, "filed")
	}, "bilbao-1")
	newFake(t, f, engine("e1", "bilbao-a"), func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, `{"usage":{"prompt_tokens":1,"completion_tokens":8}}`)
	}, "bilbao-1")
	key := f.Grant("hoteles-gijon")
	// The host must hold its share of the rate before the partition.
	if got := send(t, f, "bilbao-1", "POST", "/v1/chat/completions", chatBody, bearerOf(key)); got.status != http.StatusOK {
		t.Fatalf("question before the partition: %d %s", got.status, got.body)
	}
	f.Isolate("bilbao-1")
	for range 3 {
		got := send(t, f, "bilbao-1", "POST", "/registro/llegadas", filingBody, filing(key, "k"))
		if got.code != refusal.NoQuorum || got.ran != refusal.NotRun || got.status != http.StatusServiceUnavailable {
			t.Errorf("filing without a majority: %d %s", got.status, got.body)
		}
	}
	if got := send(t, f, "bilbao-1", "POST", "/v1/chat/completions", chatBody, bearerOf(key)); got.status != http.StatusOK {
		t.Errorf("question without a majority: %d %s", got.status, got.body)
	}
	if n := target.total(); n != 0 {
		t.Errorf("a refused filing ran %d times", n)
	}
	f.Heal()
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		if got := send(t, f, "bilbao-1", "POST", "/registro/llegadas", filingBody, filing(key, "k")); got.status != http.StatusOK {
			return fmt.Errorf("after the partition: %d %s", got.status, got.body)
		}
		return nil
	})
	if n := target.total(); n != 1 {
		t.Errorf("the filing ran %d times", n)
	}
}

// Guards G1 for stored answers: the answer of a workspace that is bound to one
// data centre rests nowhere else, and survives the restart of its host there.
func TestBoundAnswerStays(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	target := newFake(t, f, service("r1", "bilbao-a"), func(w http.ResponseWriter, _ *http.Request, _ string) {
		fmt.Fprint(w, "filed in bilbao")
	}, "bilbao-1")
	key := f.Grant("turismo-euskadi")
	// The host of a second copy depends on the attempt: eight leave none out.
	for i := range boundFilings {
		got := send(t, f, "bilbao-1", "POST", "/registro/llegadas", filingBody, filing(key, fmt.Sprint("k", i)))
		if got.status != http.StatusOK {
			t.Fatalf("filing: %d %s", got.status, got.body)
		}
	}
	for _, host := range []string{"gijon-1", "santander-1"} {
		if files, _ := os.ReadDir(filepath.Join(f.DataDir(host), "answers")); len(files) != 0 {
			t.Errorf("%d answers rest on %s", len(files), host)
		}
	}
	f.Kill("bilbao-1")
	f.Launch("bilbao-1")
	f.AwaitHealthy("bilbao-1")
	awaitRules(t, f, "bilbao-1")
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		got := send(t, f, "bilbao-1", "POST", "/registro/llegadas", filingBody, filing(key, "k0"))
		if got.body != "filed in bilbao" || got.header.Get(operations.HeaderReplayed) != "true" {
			return fmt.Errorf("after the restart: %d %s", got.status, got.body)
		}
		return nil
	})
	if n := target.total(); n != boundFilings {
		t.Errorf("the filings ran %d times", n)
	}
}

// Guards a certain refusal: a filing that no target can take is released, so
// that a resend runs when a target has come.
func TestRefusedFilingMayRun(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	key := f.Grant("hoteles-gijon")
	got := send(t, f, "santander-1", "POST", "/registro/llegadas", filingBody, filing(key, "k"))
	if got.code != refusal.NoTarget || got.ran != refusal.NotRun {
		t.Errorf("without a target: %d %s", got.status, got.body)
	}
	target := newFake(t, f, service("r1", "gijon-a"), func(w http.ResponseWriter, _ *http.Request, _ string) {
		fmt.Fprint(w, "filed")
	}, "gijon-1")
	if got := send(t, f, "gijon-1", "POST", "/registro/llegadas", filingBody, filing(key, "k")); got.status != http.StatusOK || target.total() != 1 {
		t.Errorf("resend: %d %s, %d runs", got.status, got.body, target.total())
	}
}
