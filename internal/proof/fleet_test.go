package proof

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/client"
	"geraniumturn.example/geraniumturn/internal/ctl"
	"geraniumturn.example/geraniumturn/internal/entry"
	"geraniumturn.example/geraniumturn/internal/fleet"
	"geraniumturn.example/geraniumturn/internal/keys"
	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/standin"
)

const (
	// inForceTimeout bounds the time until a change is in force on all hosts.
	inForceTimeout = 14 * time.Second
	// withdrawalTimeout bounds the time until the connections of a withdrawn key are closed
	// and hosts that can reach each other refuse it. The gateway guarantees "within
	// seconds".
	withdrawalTimeout = 4 * time.Second
	// discoveryTimeout bounds the time until discovery no longer lists a failed host.
	discoveryTimeout = 4 * time.Second
)

func applyRequest(base uint64, id, text, operator string) fleet.ApplyRequest {
	return fleet.ApplyRequest{BaseRevision: base, RequestID: id, Text: text, Operator: operator}
}

func currentRules(t *testing.T, f *proctest.Fleet, host string) fleet.RulesResponse {
	t.Helper()
	var out fleet.RulesResponse
	if err := f.Admin(host).Call(t.Context(), "GET", "/admin/v1/rules", nil, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against two concurrent changes that are both accepted on the same base
// revision, and against a conflict that does not name the operator whose change was
// accepted.
func TestRacingOperators(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	base := currentRules(t, f, "gijon-1").Revision
	hosts := []string{"gijon-1", "gijon-2", "santander-1", "bilbao-1"}
	const operators = 12
	answers := make([]fleet.ChangeResponse, operators)
	var group sync.WaitGroup
	for i := range operators {
		group.Go(func() {
			in := applyRequest(base, fmt.Sprintf("race-%d", i), exampleRules(t)+fmt.Sprintf("# variant %d\n", i), fmt.Sprintf("operator-%d", i))
			if err := f.Admin(hosts[i%len(hosts)]).Call(context.Background(), "POST", "/admin/v1/rules", in, &answers[i]); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	winner := slices.IndexFunc(answers, func(a fleet.ChangeResponse) bool { return a.Accepted })
	if winner < 0 {
		t.Fatalf("no winner: %+v", answers)
	}
	for i, a := range answers {
		if i == winner {
			continue
		}
		if a.Accepted || a.Reason != fleet.ReasonConflict || a.Winner != fmt.Sprintf("operator-%d", winner) || a.Digest != answers[winner].Digest {
			t.Errorf("operator %d got %+v, the winner is %d with %+v", i, a, winner, answers[winner])
		}
	}
	proctest.Eventually(t, inForceTimeout, func() error {
		for _, h := range hosts {
			if got := currentRules(t, f, h); got.Revision != base+1 || !strings.Contains(got.Text, fmt.Sprintf("# variant %d\n", winner)) {
				return fmt.Errorf("%s has revision %d", h, got.Revision)
			}
		}
		return nil
	})
	var out strings.Builder
	if err := f.Tool(&out, "bilbao-1").History(t.Context()); err != nil || !strings.Contains(out.String(), fmt.Sprintf("revision %d by operator-%d,", base+1, winner)) {
		t.Errorf("history does not name the operator: %v\n%s", err, out.String())
	}
}

// Guards against a change that is made twice because the response was lost and the
// request sent again, and against a different change under a used request id.
func TestResendAfterLostAnswer(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	base := currentRules(t, f, "gijon-1").Revision
	in := applyRequest(base, "resent-1", exampleRules(t)+"# resent\n", "marta")
	loseAnswer(t, f.HTTP("gijon-2"), in)
	var first, second, reused fleet.ChangeResponse
	for _, resend := range []struct {
		host string
		out  *fleet.ChangeResponse
	}{{"bilbao-1", &first}, {"santander-1", &second}} {
		if err := f.Admin(resend.host).Call(t.Context(), "POST", "/admin/v1/rules", in, resend.out); err != nil {
			t.Fatal(err)
		}
	}
	if !first.Accepted || first != second || first.Revision != base+1 {
		t.Errorf("resends got %+v and %+v", first, second)
	}
	in.Text += "# another content\n"
	if err := f.Admin("gijon-1").Call(t.Context(), "POST", "/admin/v1/rules", in, &reused); err != nil {
		t.Fatal(err)
	}
	if reused.Accepted || reused.Reason != fleet.ReasonRequestIDReused {
		t.Errorf("different content under the same request id got %+v", reused)
	}
	proctest.Eventually(t, inForceTimeout, func() error {
		if got := currentRules(t, f, "gijon-1"); got.Index < first.Index || got.Revision != base+1 {
			return fmt.Errorf("revision is %d after one change on %d", got.Revision, base)
		}
		return nil
	})
}

// loseAnswer sends the request and closes the connection at the first byte of the response.
func loseAnswer(t *testing.T, address string, in fleet.ApplyRequest) {
	t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /admin/v1/rules HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", proctest.OperatorToken(), len(body), body)
	if _, err := conn.Read(make([]byte, 1)); err != nil { // the change has been made; the rest of the response is dropped
		t.Fatal(err)
	}
}

func startSlowEngine(f *proctest.Fleet, dataCentre string, hosts ...string) *standin.Target {
	return f.StartTarget(standin.Config{Name: "slow-" + dataCentre, DataCentre: dataCentre, Pool: "llegadas",
		Models: []string{"modelo-llegadas"}, TokenInterval: 20 * time.Millisecond}, hosts...)
}

const streamBody = `{"model":"modelo-llegadas","max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"hello"}]}`

// openStream starts a streaming request and returns after the first bytes of the response.
func openStream(t *testing.T, f *proctest.Fleet, host, key string, tokens int) *http.Response {
	t.Helper()
	var response *http.Response
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.HTTP(host)+"/v1/chat/completions", strings.NewReader(fmt.Sprintf(streamBody, tokens)))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+key)
		response, err = http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		if response.StatusCode != http.StatusOK {
			response.Body.Close()
			return fmt.Errorf("status %d", response.StatusCode)
		}
		_, err = response.Body.Read(make([]byte, 16))
		return err
	})
	return response
}

// openKeepAlive sends a request on a new connection and leaves the connection open and idle.
func openKeepAlive(t *testing.T, f *proctest.Fleet, host, key string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.HTTP(host))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	requestOn(t, conn, key)
	return conn
}

func requestOn(t *testing.T, conn net.Conn, key string) {
	t.Helper()
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(chatBody), chatBody)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(response.Body); err != nil || response.StatusCode != http.StatusOK || response.Close {
		t.Fatalf("request on a kept-alive connection: %d, close %v, %v", response.StatusCode, response.Close, err)
	}
}

func awaitClosed(conn net.Conn, timeout time.Duration) error {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	_, err := conn.Read(make([]byte, 1))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("the connection is still open (%v)", err)
	}
	return nil
}

func keyID(t *testing.T, key string) string {
	t.Helper()
	id, _, err := keys.Parse(key)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// Guards against a withdrawn key that stays usable: a withdrawal must end the open
// streams and kept-alive connections of the key, every host must refuse the key, and the
// output must name the hosts that have confirmed the withdrawal.
func TestWithdrawWhileConnected(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	startSlowEngine(f, "gijon-a", "gijon-1")
	key, other := f.Grant("hoteles-gijon"), f.Grant("ferris")
	open := openStream(t, f, "gijon-1", key, 100_000)
	defer open.Body.Close()
	conn, otherConn := openKeepAlive(t, f, "gijon-1", key), openKeepAlive(t, f, "gijon-1", other)

	var out strings.Builder
	start := time.Now()
	if err := f.Tool(&out, "santander-1").Withdraw(t.Context(), keyID(t, key)); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	t.Logf("confirmed by all hosts after %v", time.Since(start))
	for _, h := range []string{"gijon-1", "gijon-2", "santander-1", "bilbao-1"} {
		if !strings.Contains(out.String(), "in force on "+h+" ") {
			t.Errorf("the output does not name %s:\n%s", h, out.String())
		}
		if !isWithdrawn(t, f, h, key) {
			t.Errorf("%s does not refuse the key", h)
		}
	}
	if err := awaitClosed(conn, withdrawalTimeout); err != nil {
		t.Error(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, open.Body)
		ended <- err
	}()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the stream of the withdrawn key ended like a complete one")
		}
		t.Logf("the stream ended within %v of the withdrawal", time.Since(start))
	case <-time.After(withdrawalTimeout):
		t.Error("the stream of the withdrawn key is still open")
	}
	requestOn(t, otherConn, other) // the connection of another key stays usable
}

// Guards against a withdrawal that is refused or lost during a partition: an isolated
// data centre that cannot commit to the log accepts it, keeps it across a restart, and
// propagates it to the other hosts and the log after the partition.
func TestWithdrawInIsolatedDataCentre(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	key := f.Grant("ferris")
	id := keyID(t, key)
	f.Isolate("bilbao-1")
	var out strings.Builder
	err := f.Tool(&out, "bilbao-1").Withdraw(t.Context(), id)
	if !errors.Is(err, ctl.ErrNotInForce) || !strings.Contains(out.String(), "in force on bilbao-1 ") || !strings.Contains(out.String(), "not yet reached: gijon-1 ") {
		t.Errorf("got %v\n%s", err, out.String())
	}
	checkRefused := func(host string) error {
		if !isWithdrawn(t, f, host, key) {
			return fmt.Errorf("%s does not refuse the key", host)
		}
		return nil
	}
	if err := checkRefused("bilbao-1"); err != nil {
		t.Error(err)
	}
	f.Kill("bilbao-1")
	f.Launch("bilbao-1")
	f.AwaitHealthy("bilbao-1")
	if err := checkRefused("bilbao-1"); err != nil {
		t.Errorf("after the restart: %v", err)
	}
	f.Heal()
	start := time.Now()
	proctest.Eventually(t, inForceTimeout, func() error {
		return errors.Join(checkRefused("gijon-1"), checkRefused("gijon-2"), checkRefused("santander-1"))
	})
	t.Logf("in force on all hosts %v after the partition healed", time.Since(start))
	proctest.Eventually(t, 2*inForceTimeout, func() error {
		var list strings.Builder
		if err := f.Tool(&list, "gijon-2").Print(t.Context(), "/admin/v1/keys"); err != nil {
			return err
		}
		if !strings.Contains(list.String(), `"withdrawn":true`) {
			return errors.New("the withdrawal is not in the log:\n" + list.String())
		}
		return nil
	})
}

// Guards against a host that serves an older state after a restart, even when a peer
// that missed many changes offers its own state.
func TestRestartAfterManyChanges(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	f.Signal("santander-1", syscall.SIGSTOP) // misses all changes and becomes a stale peer
	const changes = 500
	admin := f.Admin("gijon-1")
	var last fleet.ChangeResponse
	for i := range changes {
		in := applyRequest(uint64(1+i), fmt.Sprintf("change-%d", i), exampleRules(t)+fmt.Sprintf("# change %d\n", i), "iker")
		// If the paused host was the leader, the outcome of the first requests is unknown.
		// The API requires a caller to resend with the same request id in that case.
		proctest.Eventually(t, 40*time.Second, func() error {
			return admin.Call(t.Context(), "POST", "/admin/v1/rules", in, &last)
		})
		if !last.Accepted {
			t.Fatalf("change %d: %+v", i, last)
		}
	}
	checkInForce := func(host string) error {
		if got := currentRules(t, f, host); got.Index < last.Index {
			return fmt.Errorf("%s has index %d, not %d", host, got.Index, last.Index)
		}
		return nil
	}
	proctest.Eventually(t, inForceTimeout, func() error { return errors.Join(checkInForce("gijon-2"), checkInForce("bilbao-1")) })
	f.Kill("bilbao-1")
	f.Kill("gijon-2")
	f.Isolate("bilbao-1")               // can recover only from its own disk
	f.CutLink("santander-1", "gijon-1") // stays stale: it reaches only gijon-2
	f.Signal("santander-1", syscall.SIGCONT)
	if err := checkInForce("santander-1"); err == nil {
		t.Fatal("santander-1 is not stale")
	}
	for _, h := range []string{"bilbao-1", "gijon-2"} {
		f.Launch(h)
		f.AwaitHealthy(h)
		awaitReady(t, f, h)
		if err := checkInForce(h); err != nil {
			t.Errorf("after the restart: %v", err)
		}
	}
	proctest.Eventually(t, inForceTimeout, func() error { return checkInForce("santander-1") })
}

func awaitReady(t *testing.T, f *proctest.Fleet, host string) {
	t.Helper()
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		response, err := http.Get("http://" + f.HTTP(host) + "/readyz")
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("%s is not ready", host)
		}
		return nil
	})
}

// Guards against a restart that depends on the voters: in a data centre that is isolated
// from all voters, a host without a disk must be able to restart. It takes the state
// from the other hosts of the data centre and does not wait for the voters.
func TestDisklessRestartInIsolatedDataCentre(t *testing.T) {
	f := proctest.Start(t, []proctest.Host{
		{Name: "gijon-1", DataCentre: "gijon-a", Region: "asturias", Control: true},
		{Name: "bilbao-1", DataCentre: "bilbao-a", Region: "euskadi"},
		{Name: "bilbao-2", DataCentre: "bilbao-a", Region: "euskadi"},
	})
	f.Apply(exampleRules(t))
	key := f.Grant("ferris")
	withdrawn := f.Grant("ferris")
	want := currentRules(t, f, "bilbao-1")
	f.Isolate("bilbao-1", "bilbao-2")
	if err := f.Tool(&strings.Builder{}, "bilbao-1").Withdraw(t.Context(), keyID(t, withdrawn)); !errors.Is(err, ctl.ErrNotInForce) {
		t.Errorf("withdrawal in the isolated data centre: %v", err)
	}
	f.Kill("bilbao-2")
	start := time.Now()
	f.Launch("bilbao-2")
	f.AwaitHealthy("bilbao-2")
	awaitReady(t, f, "bilbao-2")
	t.Logf("ready after %v", time.Since(start))
	if got := currentRules(t, f, "bilbao-2"); got.Index < want.Index || got.Text != want.Text {
		t.Errorf("index %d after the restart; the other host of the data centre has %d", got.Index, want.Index)
	}
	if got, err := discoveredHosts(t, f, "bilbao-2", key); err != nil || !slices.Contains(got, "bilbao-2") {
		t.Errorf("discovery with a known key lists %v (%v)", got, err)
	}
	if !isWithdrawn(t, f, "bilbao-2", withdrawn) {
		t.Error("the withdrawn key is accepted after the restart")
	}
}

// Guards against withdrawals that spread only through the log: a host that can reach no
// voter and missed the first message must learn of the withdrawal from its peers.
func TestWithdrawalSpreadsWithoutLog(t *testing.T) {
	f := proctest.Start(t, []proctest.Host{
		{Name: "gijon-1", DataCentre: "gijon-a", Region: "asturias", Control: true},
		{Name: "bilbao-1", DataCentre: "bilbao-a", Region: "euskadi"},
		{Name: "bilbao-2", DataCentre: "bilbao-a", Region: "euskadi"},
	})
	f.Apply(exampleRules(t))
	key := f.Grant("ferris")
	f.Isolate("bilbao-1", "bilbao-2")
	f.CutLink("bilbao-1", "bilbao-2")
	var out strings.Builder
	if err := f.Tool(&out, "bilbao-1").Withdraw(t.Context(), keyID(t, key)); !errors.Is(err, ctl.ErrNotInForce) || !strings.Contains(out.String(), "not yet reached: bilbao-2 ") {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if isWithdrawn(t, f, "bilbao-2", key) {
		t.Fatal("bilbao-2 is not cut off")
	}
	f.HealLink("bilbao-1", "bilbao-2")
	start := time.Now()
	proctest.Eventually(t, withdrawalTimeout, func() error {
		if !isWithdrawn(t, f, "bilbao-2", key) {
			return errors.New("bilbao-2 does not refuse the key")
		}
		return nil
	})
	t.Logf("in force %v after the hosts reach each other", time.Since(start))
}

// Guards against a damaged state file that is loaded: the host must detect the wrong
// checksum, log the path and fetch the state from another host.
func TestDamagedStateIsNotUsed(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	f.Kill("bilbao-1")
	path := filepath.Join(f.DataDir("bilbao-1"), "fleet", "state")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 1
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	f.Launch("bilbao-1")
	f.AwaitHealthy("bilbao-1")
	awaitReady(t, f, "bilbao-1")
	if !strings.Contains(f.Log("bilbao-1"), "checksum does not match") || !strings.Contains(f.Log("bilbao-1"), path) {
		t.Error("the log does not name the damaged file")
	}
	if got, want := currentRules(t, f, "bilbao-1"), currentRules(t, f, "gijon-1"); got.Text != want.Text {
		t.Error("the state was not fetched from another host")
	}
}

func discoveredHosts(t *testing.T, f *proctest.Fleet, host, key string) ([]string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.HTTP(host)+"/v1/hosts", nil)
	if err != nil {
		return nil, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var list entry.HostList
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return nil, err
	}
	var names []string
	for _, h := range list.Hosts {
		names = append(names, h.Name)
	}
	return names, nil
}

func checkDiscovered(t *testing.T, f *proctest.Fleet, host, key string, want ...string) error {
	t.Helper()
	got, err := discoveredHosts(t, f, host, key)
	if err == nil && !slices.Equal(got, want) {
		err = fmt.Errorf("discovery through %s lists %v, not %v", host, got, want)
	}
	return err
}

// Guards against discovery that lists a failed host, omits a restarted host, lists hosts
// outside the residency of the workspace, or returns hosts in the wrong order.
func TestKilledHostLeavesDiscovery(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	home, resident := f.Grant("hoteles-gijon"), f.Grant("turismo-euskadi")
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		return errors.Join(checkDiscovered(t, f, "santander-1", home, "gijon-1", "gijon-2", "santander-1", "bilbao-1"),
			checkDiscovered(t, f, "gijon-2", "", "gijon-2", "gijon-1", "bilbao-1", "santander-1"),
			checkDiscovered(t, f, "gijon-1", resident, "bilbao-1"))
	})
	f.Kill("gijon-2")
	start := time.Now()
	proctest.Eventually(t, discoveryTimeout, func() error {
		return errors.Join(checkDiscovered(t, f, "gijon-1", "", "gijon-1", "bilbao-1", "santander-1"),
			checkDiscovered(t, f, "santander-1", home, "gijon-1", "santander-1", "bilbao-1"),
			checkDiscovered(t, f, "bilbao-1", "", "bilbao-1", "gijon-1", "santander-1"))
	})
	t.Logf("no longer listed by any host %v after SIGKILL", time.Since(start))
	// The killed host is first suspected and then declared dead. It must not be listed
	// again when the state changes.
	proctest.Eventually(t, 2*discoveryTimeout, func() error {
		if !strings.Contains(f.Log("gijon-1"), "taken as dead") {
			return errors.New("gijon-1 has not declared gijon-2 dead")
		}
		return nil
	})
	if err := checkDiscovered(t, f, "gijon-1", "", "gijon-1", "bilbao-1", "santander-1"); err != nil {
		t.Error(err)
	}
	f.Launch("gijon-2")
	start = time.Now()
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		return checkDiscovered(t, f, "bilbao-1", "", "bilbao-1", "gijon-1", "gijon-2", "santander-1")
	})
	t.Logf("listed again %v after the start", time.Since(start))
}

// Guards against requests lost in a graceful stop: under load it cuts no running
// request, refuses none without naming another host, and ends with exit code 0.
func TestGracefulStopUnderLoad(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	startSlowEngine(f, "gijon-a", "gijon-1", "gijon-2")
	key := f.Grant("hoteles-gijon")
	open := openStream(t, f, "gijon-2", key, 400) // 8 s or more, longer than a stopping host accepts new requests
	defer open.Body.Close()
	streamErr := make(chan error, 1)
	go func() {
		data, err := io.ReadAll(open.Body)
		if err == nil && !strings.Contains(string(data), "[DONE]") {
			err = errors.New("no [DONE] at the end of the stream")
		}
		streamErr <- err
	}()

	var stop atomic.Bool
	var served atomic.Int64
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() {
			c := client.New(key, f.HTTP("gijon-2"), f.HTTP("gijon-1"))
			for !stop.Load() {
				// Without Idempotent, the client returns an error for every cut connection
				// instead of retrying.
				response, err := c.Do(context.Background(), client.Request{Method: http.MethodPost, Path: "/v1/chat/completions",
					Body: []byte(chatBody), Timeout: 20 * time.Second})
				if err != nil {
					t.Errorf("caller %d: %v", i, err)
					return
				}
				if _, err := io.ReadAll(response.Body); err != nil {
					t.Errorf("caller %d: response body: %v", i, err)
				}
				response.Body.Close()
				served.Add(1)
			}
		})
	}
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		if served.Load() < 20 {
			return errors.New("no load yet")
		}
		return nil
	})
	if err := f.Terminate("gijon-2"); err != nil {
		t.Errorf("exit: %v", err)
	}
	if err := <-streamErr; err != nil {
		t.Errorf("the open stream was cut: %v", err)
	}
	atStop := served.Load()
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		if served.Load() < atStop+20 {
			return errors.New("the callers do not continue on the other host")
		}
		return nil
	})
	stop.Store(true)
	group.Wait()
	if got, err := discoveredHosts(t, f, "gijon-1", ""); err != nil || slices.Contains(got, "gijon-2") {
		t.Errorf("discovery lists %v (%v)", got, err)
	}
}

// Guards against a host that serves an older state after a partition, and against an
// apply that does not name the hosts that the change did not reach.
func TestApplyNamesMissingHosts(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	f.Isolate("bilbao-1")
	path := filepath.Join(t.TempDir(), "rules")
	if err := os.WriteFile(path, []byte(exampleRules(t)+"# partitioned\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	err := f.Tool(&out, "santander-1").Apply(t.Context(), path, 0, "", true)
	if !errors.Is(err, ctl.ErrNotInForce) || !strings.Contains(err.Error(), "missing bilbao-1") || strings.Contains(err.Error(), "\n") {
		t.Errorf("got %v", err)
	}
	for _, want := range []string{"in force on gijon-1 ", "in force on gijon-2 ", "in force on santander-1 ", "not yet reached: bilbao-1 "} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the output lacks %q:\n%s", want, out.String())
		}
	}
	want := currentRules(t, f, "santander-1")
	f.Heal()
	start := time.Now()
	proctest.Eventually(t, inForceTimeout, func() error {
		if got := currentRules(t, f, "bilbao-1"); got.Index < want.Index {
			return fmt.Errorf("bilbao-1 has index %d", got.Index)
		}
		return nil
	})
	t.Logf("in force in the data centre %v after the partition healed", time.Since(start))
}

// Guards against an apply that still waits for a host after the operator has removed it,
// and against a removed host that cannot join again.
func TestRemovedHostIsNotAwaited(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	f.Kill("gijon-2")
	path := filepath.Join(t.TempDir(), "rules")
	if err := os.WriteFile(path, []byte(exampleRules(t)), 0o600); err != nil {
		t.Fatal(err)
	}
	tool := f.Tool(&strings.Builder{}, "bilbao-1")
	if err := tool.Apply(t.Context(), path, 0, "", true); !errors.Is(err, ctl.ErrNotInForce) || !strings.Contains(err.Error(), "gijon-2") {
		t.Errorf("without gijon-2: %v", err)
	}
	if err := tool.RemoveHost(t.Context(), "gijon-2"); err != nil {
		t.Fatal(err)
	}
	proctest.Eventually(t, inForceTimeout, func() error { return tool.Apply(t.Context(), path, 0, "", true) })
	f.Launch("gijon-2")
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		return checkDiscovered(t, f, "bilbao-1", "", "bilbao-1", "gijon-1", "gijon-2", "santander-1")
	})
}

// Guards against changes that are in force on all hosts too late, without delay and with
// a one-way delay of 55 ms between data centres. Run with -v to print the times.
func TestTimeUntilInForce(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	for _, delay := range []time.Duration{0, 55 * time.Millisecond} {
		f.DelayBetweenDataCentres(delay)
		const rounds = 10
		var applied, withdrawn []time.Duration
		for i := range rounds {
			base := currentRules(t, f, "gijon-1").Revision
			in := applyRequest(base, fmt.Sprintf("t-%v-%d", delay, i), exampleRules(t)+fmt.Sprintf("# round %v %d\n", delay, i), "test")
			var answer fleet.ChangeResponse
			start := time.Now()
			if err := f.Admin("gijon-1").Call(t.Context(), "POST", "/admin/v1/rules", in, &answer); err != nil || !answer.Accepted {
				t.Fatalf("%v %+v", err, answer)
			}
			awaitAllHosts(t, f, func(host string) bool { return currentRules(t, f, host).Index >= answer.Index })
			applied = append(applied, time.Since(start))

			key := f.Grant("ferris")
			start = time.Now()
			go func() { _ = f.Tool(&strings.Builder{}, "gijon-1").Withdraw(context.Background(), keyID(t, key)) }()
			awaitAllHosts(t, f, func(host string) bool { return isWithdrawn(t, f, host, key) })
			withdrawn = append(withdrawn, time.Since(start))
		}
		slices.Sort(applied)
		slices.Sort(withdrawn)
		t.Logf("delay %v: revision in force on all hosts: median %v, max %v; withdrawal: median %v, max %v", delay,
			applied[rounds/2], applied[rounds-1], withdrawn[rounds/2], withdrawn[rounds-1])
		if applied[rounds-1] > inForceTimeout || withdrawn[rounds-1] > withdrawalTimeout {
			t.Errorf("too slow: %v, %v", applied, withdrawn)
		}
	}
}

// isWithdrawn reports whether the host refuses the key as withdrawn. It uses a new
// connection, since the host may close kept-alive connections of a withdrawn key at any
// time.
func isWithdrawn(t *testing.T, f *proctest.Fleet, host, key string) bool {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.HTTP(host)+"/v1/chat/completions", strings.NewReader(chatBody))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Close = true
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode == http.StatusForbidden && strings.Contains(string(answer), "key_withdrawn")
}

func awaitAllHosts(t *testing.T, f *proctest.Fleet, condition func(host string) bool) {
	t.Helper()
	proctest.Eventually(t, inForceTimeout, func() error {
		for _, h := range []string{"gijon-1", "gijon-2", "santander-1", "bilbao-1"} {
			if !condition(h) {
				return fmt.Errorf("condition not met on %s", h)
			}
		}
		return nil
	})
}
