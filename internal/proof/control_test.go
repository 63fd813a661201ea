package proof

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/control"
	"geraniumturn.example/geraniumturn/internal/fleet"
	"geraniumturn.example/geraniumturn/internal/proctest"
)

// failoverLimit bounds the time to a new leader: an election timeout of at most
// 2 s, further rounds after a split vote, and the race detector.
const failoverLimit = 15 * time.Second

var controlMeasure = flag.Bool("control-measure", false, "print the time to a new leader over several kills")

var controlHosts = []string{"gijon-1", "santander-1", "bilbao-1"}

func report(f *proctest.Fleet, host string) (control.Report, error) {
	var r control.Report
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err := f.Admin(host).CallHost(ctx, f.HTTP(host), http.MethodGet, "/admin/v1/control", nil, &r)
	return r, err
}

// leader waits until one of the hosts leads with a lease, and returns its name and term.
func leader(t *testing.T, f *proctest.Fleet, hosts ...string) (name string, term uint64) {
	t.Helper()
	proctest.Eventually(t, failoverLimit, func() error {
		for _, h := range hosts {
			if r, err := report(f, h); err == nil && r.Lease {
				name, term = h, r.Term
				return nil
			}
		}
		return fmt.Errorf("none of %v has a lease", hosts)
	})
	return name, term
}

func others(name string) []string {
	var out []string
	for _, h := range controlHosts {
		if h != name {
			out = append(out, h)
		}
	}
	return out
}

// awaitVoters waits until a host reports all control hosts as voters.
func awaitVoters(t *testing.T, f *proctest.Fleet, host string) map[string]string {
	t.Helper()
	ids := map[string]string{}
	proctest.Eventually(t, 30*time.Second, func() error {
		r, err := report(f, host)
		if err != nil {
			return err
		}
		clear(ids)
		for _, m := range r.Members {
			if !m.Learner {
				ids[m.Host] = m.ID
			}
		}
		if len(ids) != len(controlHosts) || len(r.Members) != len(controlHosts) {
			return fmt.Errorf("members %+v", r.Members)
		}
		if ids[host] != r.ID {
			return fmt.Errorf("%s has id %s, its voter is %s", host, r.ID, ids[host])
		}
		return nil
	})
	return ids
}

// put applies the example rules with a mark as the next revision through a host.
func put(f *proctest.Fleet, host, mark string, base uint64, rules string) (fleet.ChangeResponse, error) {
	var answer fleet.ChangeResponse
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	err := f.Admin(host).CallHost(ctx, f.HTTP(host), http.MethodPost, "/admin/v1/rules", fleet.ApplyRequest{
		BaseRevision: base, RequestID: mark, Text: rules + "# " + mark + "\n", Operator: "test"}, &answer)
	if err == nil && !answer.Accepted {
		err = fmt.Errorf("refused: %s %s", answer.Reason, answer.Message)
	}
	return answer, err
}

// mustPut repeats a change under one request id until it is accepted.
func mustPut(t *testing.T, f *proctest.Fleet, host, mark string, base uint64, rules string) fleet.ChangeResponse {
	t.Helper()
	var answer fleet.ChangeResponse
	proctest.Eventually(t, 40*time.Second, func() (err error) {
		answer, err = put(f, host, mark, base, rules)
		return err
	})
	if answer.Revision != base+1 {
		t.Fatalf("change %s on revision %d got revision %d", mark, base, answer.Revision)
	}
	return answer
}

// awaitRevision waits until the host serves the revision with the mark.
func awaitRevision(t *testing.T, f *proctest.Fleet, host string, revision uint64, mark string) {
	t.Helper()
	proctest.Eventually(t, 30*time.Second, func() error {
		var rules fleet.RulesResponse
		if err := f.Admin(host).CallHost(context.Background(), f.HTTP(host), http.MethodGet, "/admin/v1/rules", nil, &rules); err != nil {
			return err
		}
		if rules.Revision != revision || !strings.Contains(rules.Text, "# "+mark+"\n") {
			return fmt.Errorf("%s has revision %d", host, rules.Revision)
		}
		return nil
	})
}

// Guards against accepted changes that are lost, and against a fleet that takes
// no more changes, when the leader is killed; also from a host without a vote.
func TestControlLeaderKilled(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	rules := exampleRules(t)
	old, term := leader(t, f, controlHosts...)
	mustPut(t, f, "gijon-2", "before", 0, rules)
	f.Kill(old)
	began := time.Now()
	_, newTerm := leader(t, f, others(old)...)
	t.Logf("new leader %v after SIGKILL", time.Since(began).Round(time.Millisecond))
	if newTerm <= term {
		t.Errorf("term %d after term %d", newTerm, term)
	}
	mustPut(t, f, "gijon-2", "after", 1, rules)
	f.Launch(old)
	for _, h := range controlHosts {
		awaitRevision(t, f, h, 2, "after")
	}
}

// Guards against a leader that is paused past its lease and, when it resumes,
// still believes to hold it or commits its own change over the new leader's.
func TestControlLeaderPaused(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	rules := exampleRules(t)
	old, term := leader(t, f, controlHosts...)
	mustPut(t, f, old, "before", 0, rules)
	f.Signal(old, syscall.SIGSTOP)
	// This request waits in the sockets of the paused process.
	var late sync.WaitGroup
	var lateAnswer fleet.ChangeResponse
	var lateErr error
	late.Go(func() { lateAnswer, lateErr = put(f, old, "late", 1, rules) })
	next, newTerm := leader(t, f, others(old)...)
	mustPut(t, f, next, "during", 1, rules)
	f.Signal(old, syscall.SIGCONT)
	if r, err := report(f, old); err != nil || r.Lease && r.Term <= term {
		t.Errorf("the resumed leader reports %+v, %v", r, err)
	}
	late.Wait()
	if lateErr == nil {
		t.Errorf("a change on a superseded revision was accepted: %+v", lateAnswer)
	}
	if newTerm <= term {
		t.Errorf("term %d after term %d", newTerm, term)
	}
	for _, h := range controlHosts {
		awaitRevision(t, f, h, 2, "during")
	}
}

// Guards against loss of accepted changes, or a vote under the old id, when a
// host loses its disk and a second one loses its disk right after the repair.
func TestControlLostDisks(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	rules := exampleRules(t)
	_, _ = leader(t, f, controlHosts...)
	mustPut(t, f, "gijon-2", "one", 0, rules)
	ids := awaitVoters(t, f, "gijon-1")
	revision := uint64(1)
	for _, lost := range []string{"santander-1", "gijon-1", "bilbao-1"} {
		f.Kill(lost)
		f.RemoveData(lost)
		f.Launch(lost)
		mark := "lost-" + lost
		mustPut(t, f, "gijon-2", mark, revision, rules)
		revision++
		// The next host is lost as soon as this one votes again.
		now := awaitVoters(t, f, lost)
		if now[lost] == ids[lost] {
			t.Errorf("%s has its old id %s without its disk", lost, now[lost])
		}
		ids = now
	}
	for _, h := range append(controlHosts, "gijon-2") {
		awaitRevision(t, f, h, revision, "lost-bilbao-1")
	}
	// No entry of the first disks is left, so this proves that all were copied.
	var history []struct {
		Number uint64 `json:"number"`
	}
	if err := f.Admin("bilbao-1").Call(t.Context(), http.MethodGet, "/admin/v1/history", nil, &history); err != nil || len(history) != int(revision) {
		t.Errorf("history %+v, %v", history, err)
	}
}

// Guards against a change that an isolated leader accepts, a refusal "certainly
// not made" that is not true, and a fleet that does not agree after the heal.
func TestControlLeaderIsolated(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	rules := exampleRules(t)
	old, _ := leader(t, f, controlHosts...)
	mustPut(t, f, old, "before", 0, rules)
	f.Isolate(old)
	next, _ := leader(t, f, others(old)...)
	if r, err := report(f, old); err != nil || r.Lease {
		t.Errorf("the isolated leader reports %+v, %v, while %s leads", r, err, next)
	}
	if answer, err := put(f, old, "isolated", 1, rules); err == nil || !strings.Contains(err.Error(), "certainly not made") {
		t.Errorf("the isolated host answered %+v, %v", answer, err)
	}
	mustPut(t, f, next, "majority", 1, rules)
	f.Heal()
	for _, h := range controlHosts {
		awaitRevision(t, f, h, 2, "majority")
	}
	mustPut(t, f, old, "healed", 2, rules)
}

// Guards against a host without a vote that cannot reach the leader although it
// reaches another voter, which must forward for it.
func TestControlProposalThroughAnyVoter(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	rules := exampleRules(t)
	current, _ := leader(t, f, controlHosts...)
	mustPut(t, f, "gijon-2", "first", 0, rules)
	f.CutLink("gijon-2", current)
	mustPut(t, f, "gijon-2", "around", 1, rules)
}

// Guards against state that is lost or slow to return when all processes are
// killed after many changes.
func TestControlRestartAfterManyChanges(t *testing.T) {
	const changes = 520
	f := proctest.Start(t, proctest.ExampleHosts())
	rules := exampleRules(t)
	current, _ := leader(t, f, controlHosts...)
	for i := range uint64(changes) {
		mustPut(t, f, current, fmt.Sprintf("change-%d", i+1), i, rules)
	}
	for _, h := range append(controlHosts, "gijon-2") {
		f.Kill(h)
	}
	began := time.Now()
	for _, h := range append(controlHosts, "gijon-2") {
		f.Launch(h)
	}
	for _, h := range append(controlHosts, "gijon-2") {
		f.AwaitHealthy(h)
		awaitRevision(t, f, h, changes, fmt.Sprintf("change-%d", changes))
	}
	t.Logf("all hosts serve revision %d again after %v", changes, time.Since(began).Round(time.Millisecond))
	mustPut(t, f, "gijon-2", "after", changes, rules)
}

// Guards against an init that gives a fleet with a log a second history.
func TestControlInitIsRefusedOnALog(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	mustPut(t, f, "gijon-1", "first", 0, exampleRules(t))
	f.Kill("bilbao-1")
	f.RemoveData("bilbao-1")
	f.Launch("bilbao-1")
	f.AwaitHealthy("bilbao-1")
	var out strings.Builder
	if err := f.Tool(&out).Init(t.Context()); err == nil || !strings.Contains(err.Error(), control.ErrInitialised.Error()) {
		t.Errorf("init of a fleet with a log: %v", err)
	}
	awaitRevision(t, f, "bilbao-1", 1, "first")
}

// Guards against a fleet with a single voter that takes no changes or forgets them.
func TestControlSingleVoter(t *testing.T) {
	f := proctest.Start(t, []proctest.Host{
		{Name: "solo", DataCentre: "gijon-a", Region: "asturias", Control: true},
		{Name: "edge", DataCentre: "gijon-a", Region: "asturias"},
	})
	rules := exampleRules(t)
	mustPut(t, f, "edge", "first", 0, rules)
	f.Kill("solo")
	f.Launch("solo")
	mustPut(t, f, "edge", "second", 1, rules)
	awaitRevision(t, f, "solo", 2, "second")
}

// Guards against a voter that starts with a damaged log and so forgets
// acknowledged entries.
func TestControlDamagedLogStopsTheVoter(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	rules := exampleRules(t)
	for i := range uint64(3) {
		mustPut(t, f, "gijon-1", fmt.Sprintf("change-%d", i), i, rules)
	}
	f.Kill("gijon-1")
	path := filepath.Join(f.DataDir("gijon-1"), "control", "log")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 1 // in a record that others follow
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	f.Launch("gijon-1")
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		if log := f.Log("gijon-1"); !strings.Contains(log, "damaged file") || !strings.Contains(log, path) || !strings.Contains(log, "offset") {
			return errors.New("the log names no damaged file and offset")
		}
		return nil
	})
	mustPut(t, f, "gijon-2", "two of three", 3, rules)
}

// TestMeasureControlFailover prints the time from SIGKILL of the leader to the
// next lease and to the next accepted change; it runs only with -control-measure.
func TestMeasureControlFailover(t *testing.T) {
	if !*controlMeasure {
		t.Log("prints figures; run with -control-measure")
		return
	}
	f := proctest.Start(t, proctest.ExampleHosts())
	rules := exampleRules(t)
	var leases, changes []time.Duration
	for i := range uint64(11) {
		old, _ := leader(t, f, controlHosts...)
		mustPut(t, f, old, fmt.Sprintf("before-%d", i), 2*i, rules)
		f.Kill(old)
		began := time.Now()
		next, _ := leader(t, f, others(old)...)
		leases = append(leases, time.Since(began).Round(time.Millisecond))
		mustPut(t, f, next, fmt.Sprintf("after-%d", i), 2*i+1, rules)
		changes = append(changes, time.Since(began).Round(time.Millisecond))
		f.Launch(old)
		awaitRevision(t, f, old, 2*i+2, fmt.Sprintf("after-%d", i))
	}
	slices.Sort(leases)
	slices.Sort(changes)
	t.Logf("11 kills: next lease after %v to %v, median %v; next change after %v to %v, median %v",
		leases[0], leases[10], leases[5], changes[0], changes[10], changes[5])
}
