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

// failoverTimeout bounds the time until a new leader holds a lease. It allows for an
// election timeout of at most 2 s, further rounds after a split vote, and the slowdown
// of the race detector.
const failoverTimeout = 15 * time.Second

var controlMeasure = flag.Bool("control-measure", false, "print the time to a new leader over several kills")

var controlHosts = []string{"gijon-1", "santander-1", "bilbao-1"}

func controlReport(f *proctest.Fleet, host string) (control.Report, error) {
	var r control.Report
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err := f.Admin(host).CallHost(ctx, f.HTTP(host), http.MethodGet, "/admin/v1/control", nil, &r)
	return r, err
}

// awaitLeader waits until one of the hosts holds the leader lease, and returns its name and
// term.
func awaitLeader(t *testing.T, f *proctest.Fleet, hosts ...string) (name string, term uint64) {
	t.Helper()
	proctest.Eventually(t, failoverTimeout, func() error {
		for _, h := range hosts {
			if r, err := controlReport(f, h); err == nil && r.Lease {
				name, term = h, r.Term
				return nil
			}
		}
		return fmt.Errorf("none of %v has a lease", hosts)
	})
	return name, term
}

func otherControlHosts(name string) []string {
	var out []string
	for _, h := range controlHosts {
		if h != name {
			out = append(out, h)
		}
	}
	return out
}

// awaitVoters waits until a host reports exactly the control hosts as members, all of
// them voters, and itself under its own id. It returns the ids by host.
func awaitVoters(t *testing.T, f *proctest.Fleet, host string) map[string]string {
	t.Helper()
	ids := map[string]string{}
	proctest.Eventually(t, 30*time.Second, func() error {
		r, err := controlReport(f, host)
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
			return fmt.Errorf("%s reports its id as %s, but the members list it as %s", host, r.ID, ids[host])
		}
		return nil
	})
	return ids
}

// applyRules sends the rules to a host as the revision after base. The marker is the
// request id and is added to the text as a comment.
func applyRules(f *proctest.Fleet, host, marker string, base uint64, rules string) (fleet.ChangeResponse, error) {
	var answer fleet.ChangeResponse
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	err := f.Admin(host).CallHost(ctx, f.HTTP(host), http.MethodPost, "/admin/v1/rules", fleet.ApplyRequest{
		BaseRevision: base, RequestID: marker, Text: rules + "# " + marker + "\n", Operator: "test"}, &answer)
	if err == nil && !answer.Accepted {
		err = fmt.Errorf("refused: %s %s", answer.Reason, answer.Message)
	}
	return answer, err
}

// mustApplyRules repeats applyRules with the same request id until it is accepted.
func mustApplyRules(t *testing.T, f *proctest.Fleet, host, marker string, base uint64, rules string) fleet.ChangeResponse {
	t.Helper()
	var answer fleet.ChangeResponse
	proctest.Eventually(t, 40*time.Second, func() (err error) {
		answer, err = applyRules(f, host, marker, base, rules)
		return err
	})
	if answer.Revision != base+1 {
		t.Fatalf("change %s on revision %d got revision %d", marker, base, answer.Revision)
	}
	return answer
}

// awaitRevision waits until the host serves the revision, with the marker in its text.
func awaitRevision(t *testing.T, f *proctest.Fleet, host string, revision uint64, marker string) {
	t.Helper()
	proctest.Eventually(t, 30*time.Second, func() error {
		var rules fleet.RulesResponse
		if err := f.Admin(host).CallHost(context.Background(), f.HTTP(host), http.MethodGet, "/admin/v1/rules", nil, &rules); err != nil {
			return err
		}
		if rules.Revision != revision || !strings.Contains(rules.Text, "# "+marker+"\n") {
			return fmt.Errorf("%s has revision %d", host, rules.Revision)
		}
		return nil
	})
}

// Guards against the loss of accepted changes, and of the ability to accept new ones,
// when the leader is killed. The changes are sent through a host that is not a voter.
func TestControlLeaderKilled(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	rules := exampleRules(t)
	old, term := awaitLeader(t, f, controlHosts...)
	mustApplyRules(t, f, "gijon-2", "before", 0, rules)
	f.Kill(old)
	began := time.Now()
	_, newTerm := awaitLeader(t, f, otherControlHosts(old)...)
	t.Logf("new leader %v after SIGKILL", time.Since(began).Round(time.Millisecond))
	if newTerm <= term {
		t.Errorf("term %d after term %d", newTerm, term)
	}
	mustApplyRules(t, f, "gijon-2", "after", 1, rules)
	f.Launch(old)
	for _, h := range controlHosts {
		awaitRevision(t, f, h, 2, "after")
	}
}

// Guards against a leader that is paused until its lease has expired and, when it
// resumes, still reports the lease or commits a change that conflicts with the new
// leader's.
func TestControlLeaderPaused(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	rules := exampleRules(t)
	old, term := awaitLeader(t, f, controlHosts...)
	mustApplyRules(t, f, old, "before", 0, rules)
	f.Signal(old, syscall.SIGSTOP)
	// This request waits in the socket buffer of the paused process.
	var late sync.WaitGroup
	var lateAnswer fleet.ChangeResponse
	var lateErr error
	late.Go(func() { lateAnswer, lateErr = applyRules(f, old, "late", 1, rules) })
	next, newTerm := awaitLeader(t, f, otherControlHosts(old)...)
	mustApplyRules(t, f, next, "during", 1, rules)
	f.Signal(old, syscall.SIGCONT)
	if r, err := controlReport(f, old); err != nil || r.Lease && r.Term <= term {
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

// Guards against the loss of accepted changes, and against a vote under the old id,
// when a voter loses its disk and another loses its disk as soon as the first is a
// voter again.
func TestControlLostDisks(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	rules := exampleRules(t)
	_, _ = awaitLeader(t, f, controlHosts...)
	mustApplyRules(t, f, "gijon-2", "one", 0, rules)
	ids := awaitVoters(t, f, "gijon-1")
	revision := uint64(1)
	for _, lost := range []string{"santander-1", "gijon-1", "bilbao-1"} {
		f.Kill(lost)
		f.RemoveData(lost)
		f.Launch(lost)
		marker := "lost-" + lost
		mustApplyRules(t, f, "gijon-2", marker, revision, rules)
		revision++
		// The next host loses its disk as soon as this one is a voter again.
		newIDs := awaitVoters(t, f, lost)
		if newIDs[lost] == ids[lost] {
			t.Errorf("%s still has its old id %s after the loss of its disk", lost, newIDs[lost])
		}
		ids = newIDs
	}
	for _, h := range append(controlHosts, "gijon-2") {
		awaitRevision(t, f, h, revision, "lost-bilbao-1")
	}
	// All original disks are gone, so a complete history shows that every entry was
	// replicated to the new ones.
	var history []struct {
		Number uint64 `json:"number"`
	}
	if err := f.Admin("bilbao-1").Call(t.Context(), http.MethodGet, "/admin/v1/history", nil, &history); err != nil || len(history) != int(revision) {
		t.Errorf("history %+v, %v", history, err)
	}
}

// Guards against an isolated leader that accepts a change or reports a change as
// certainly not made although it was committed, and against hosts that disagree after
// the partition.
func TestControlLeaderIsolated(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	rules := exampleRules(t)
	old, _ := awaitLeader(t, f, controlHosts...)
	mustApplyRules(t, f, old, "before", 0, rules)
	f.Isolate(old)
	next, _ := awaitLeader(t, f, otherControlHosts(old)...)
	if r, err := controlReport(f, old); err != nil || r.Lease {
		t.Errorf("the isolated leader reports %+v, %v, while %s leads", r, err, next)
	}
	if answer, err := applyRules(f, old, "isolated", 1, rules); err == nil || !strings.Contains(err.Error(), "certainly not made") {
		t.Errorf("the isolated host answered %+v, %v", answer, err)
	}
	mustApplyRules(t, f, next, "majority", 1, rules)
	f.Heal()
	for _, h := range controlHosts {
		awaitRevision(t, f, h, 2, "majority")
	}
	mustApplyRules(t, f, old, "healed", 2, rules)
}

// Guards against failed changes through a non-voter that can reach a voter but not the
// leader: the voter must forward its proposals to the leader.
func TestControlProposalThroughAnyVoter(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	rules := exampleRules(t)
	current, _ := awaitLeader(t, f, controlHosts...)
	mustApplyRules(t, f, "gijon-2", "first", 0, rules)
	f.CutLink("gijon-2", current)
	mustApplyRules(t, f, "gijon-2", "around", 1, rules)
}

// Guards against the loss or slow recovery of state when all processes are killed after
// many changes.
func TestControlRestartAfterManyChanges(t *testing.T) {
	const changes = 520
	f := proctest.Start(t, proctest.ExampleHosts())
	rules := exampleRules(t)
	current, _ := awaitLeader(t, f, controlHosts...)
	for i := range uint64(changes) {
		mustApplyRules(t, f, current, fmt.Sprintf("change-%d", i+1), i, rules)
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
	mustApplyRules(t, f, "gijon-2", "after", changes, rules)
}

// Guards against an init that starts a second log in a fleet that already has one. One
// voter has lost its data, so that it alone looks uninitialised.
func TestControlInitRefusedWithExistingLog(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	mustApplyRules(t, f, "gijon-1", "first", 0, exampleRules(t))
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

// Guards against a fleet with a single voter that accepts no changes, or loses them in a
// restart.
func TestControlSingleVoter(t *testing.T) {
	f := proctest.Start(t, []proctest.Host{
		{Name: "solo", DataCentre: "gijon-a", Region: "asturias", Control: true},
		{Name: "edge", DataCentre: "gijon-a", Region: "asturias"},
	})
	rules := exampleRules(t)
	mustApplyRules(t, f, "edge", "first", 0, rules)
	f.Kill("solo")
	f.Launch("solo")
	mustApplyRules(t, f, "edge", "second", 1, rules)
	awaitRevision(t, f, "solo", 2, "second")
}

// Guards against a voter that starts with a damaged log and so loses acknowledged
// entries. Its log must name the damaged file and the offset, and the other two voters
// must go on accepting changes.
func TestControlDamagedLogStopsTheVoter(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	rules := exampleRules(t)
	for i := range uint64(3) {
		mustApplyRules(t, f, "gijon-1", fmt.Sprintf("change-%d", i), i, rules)
	}
	f.Kill("gijon-1")
	path := filepath.Join(f.DataDir("gijon-1"), "control", "log")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 1 // in a record that is not the last
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	f.Launch("gijon-1")
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		if log := f.Log("gijon-1"); !strings.Contains(log, "damaged file") || !strings.Contains(log, path) || !strings.Contains(log, "offset") {
			return errors.New("the log does not name the damaged file and the offset")
		}
		return nil
	})
	mustApplyRules(t, f, "gijon-2", "two of three", 3, rules)
}

// TestMeasureControlFailover prints the time from SIGKILL of the leader to the next
// lease and to the next accepted change. It runs only with -control-measure.
func TestMeasureControlFailover(t *testing.T) {
	if !*controlMeasure {
		t.Log("prints figures; run with -control-measure")
		return
	}
	f := proctest.Start(t, proctest.ExampleHosts())
	rules := exampleRules(t)
	var leases, changes []time.Duration
	for i := range uint64(11) {
		old, _ := awaitLeader(t, f, controlHosts...)
		mustApplyRules(t, f, old, fmt.Sprintf("before-%d", i), 2*i, rules)
		f.Kill(old)
		began := time.Now()
		next, _ := awaitLeader(t, f, otherControlHosts(old)...)
		leases = append(leases, time.Since(began).Round(time.Millisecond))
		mustApplyRules(t, f, next, fmt.Sprintf("after-%d", i), 2*i+1, rules)
		changes = append(changes, time.Since(began).Round(time.Millisecond))
		f.Launch(old)
		awaitRevision(t, f, old, 2*i+2, fmt.Sprintf("after-%d", i))
	}
	slices.Sort(leases)
	slices.Sort(changes)
	t.Logf("11 kills: next lease after %v to %v, median %v; next change after %v to %v, median %v",
		leases[0], leases[10], leases[5], changes[0], changes[10], changes[5])
}
