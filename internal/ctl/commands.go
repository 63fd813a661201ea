package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"time"

	"geraniumturn.example/geraniumturn/internal/fleet"
	"geraniumturn.example/geraniumturn/internal/keys"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/timeline"
)

// ErrNotInForce means that a change did not reach every host in time.
var ErrNotInForce = errors.New("not in force on all hosts yet")

const (
	// changeLimit is how long a change is sent again while no host gives a
	// certain answer; an election takes up to about 3 s.
	changeLimit  = 10 * time.Second
	waitLimit    = 30 * time.Second
	waitInterval = 100 * time.Millisecond
	// maxWaitInterval keeps waiting cheap, since each poll asks all hosts.
	maxWaitInterval = time.Second
)

// Tool runs commands for one operator.
type Tool struct {
	Admin    *AdminClient
	Operator string
	Out      io.Writer
}

// Check parses a rules file and reports its problems.
func (t *Tool) Check(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	set, err := rules.Parse(string(text))
	if err != nil {
		return err
	}
	fmt.Fprintf(t.Out, "%s: %d workspaces, %d pools, %d models, %d routes\n",
		path, len(set.Workspaces), len(set.Pools), len(set.Models), len(set.Routes))
	return nil
}

// Apply puts a rules file in force. base 0 means the revision in force now;
// requestID may be empty. With wait it returns when all hosts have it.
func (t *Tool) Apply(ctx context.Context, path string, base uint64, requestID string, wait bool) error {
	if err := t.Check(path); err != nil {
		return err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if base == 0 {
		var current fleet.RulesResponse
		if err := t.Admin.Call(ctx, "GET", "/admin/v1/rules", nil, &current); err != nil {
			return err
		}
		base = current.Revision
	}
	if requestID == "" {
		requestID = newID()
	}
	in := fleet.ApplyRequest{BaseRevision: base, RequestID: requestID, Text: string(text), Operator: t.Operator}
	answer, err := t.change(ctx, "POST", "/admin/v1/rules", in)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.Out, "revision %d accepted (request id %s)\n", answer.Revision, requestID)
	if !wait {
		return nil
	}
	return t.awaitIndex(ctx, answer.Index)
}

func (t *Tool) change(ctx context.Context, method, path string, in any) (fleet.ChangeResponse, error) {
	var answer fleet.ChangeResponse
	if err := t.send(ctx, method, path, in, &answer); err != nil {
		return answer, err
	}
	switch {
	case answer.Accepted:
		return answer, nil
	case answer.Reason == fleet.ReasonConflict:
		return answer, fmt.Errorf("%w (%s): %s; in force: revision %d by %s, digest %s",
			ErrRefused, answer.Reason, answer.Message, answer.Revision, answer.Winner, answer.Digest)
	}
	return answer, fmt.Errorf("%w (%s): %s", ErrRefused, answer.Reason, answer.Message)
}

// send sends a change until a host gives a certain answer. That is safe, since
// every change carries a request id or has the same effect each time, and it
// outlasts the election of a new leader.
func (t *Tool) send(ctx context.Context, method, path string, in, out any) error {
	deadline := time.Now().Add(changeLimit)
	for {
		err := t.Admin.Call(ctx, method, path, in, out)
		if !errors.Is(err, ErrUnreachable) || time.Now().After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(waitInterval):
		}
	}
}

// awaitIndex waits until the index is in force on every host of the fleet, as
// one host sees it, and names hosts that were reached and that are missing.
// Hosts that are dead are named, but not waited for.
func (t *Tool) awaitIndex(ctx context.Context, index uint64) error {
	named := map[string]bool{}
	deadline := time.Now().Add(waitLimit)
	for interval := waitInterval; ; interval = min(2*interval, maxWaitInterval) {
		var answer fleet.ReachResponse
		err := t.Admin.Call(ctx, "GET", fmt.Sprintf("/admin/v1/reach?index=%d", index), nil, &answer)
		if err != nil && (errors.Is(err, ErrRefused) || time.Now().After(deadline) || ctx.Err() != nil) {
			return err
		}
		pending := err != nil
		for _, h := range answer.Hosts {
			if h.Reached && !named[h.Name] {
				named[h.Name] = true
				fmt.Fprintf(t.Out, "in force on %s (%s)\n", h.Name, h.DataCentre)
			}
			pending = pending || (!h.Reached && h.State != "dead")
		}
		if !pending || time.Now().After(deadline) || ctx.Err() != nil {
			return t.reportMissing(answer.Hosts)
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

func (t *Tool) reportMissing(hosts []fleet.HostReach) error {
	var missing []string
	for _, h := range hosts {
		if !h.Reached {
			missing = append(missing, h.Name)
			fmt.Fprintf(t.Out, "not yet reached: %s (%s), %s\n", h.Name, h.DataCentre, h.State)
		}
	}
	if len(missing) > 0 {
		return fmt.Errorf("%w: missing %s", ErrNotInForce, strings.Join(missing, ", "))
	}
	return nil
}

// Init gives all voters of a new fleet the same initial membership. It fails if
// any of them already has a log or cannot be reached.
func (t *Tool) Init(ctx context.Context) error {
	var members []struct {
		ID   string `json:"id"`
		Host string `json:"host"`
	}
	if err := t.Admin.Call(ctx, "POST", "/admin/v1/control/init", nil, &members); err != nil {
		return err
	}
	for _, m := range members {
		fmt.Fprintf(t.Out, "voter %s on %s\n", m.ID, m.Host)
	}
	return nil
}

// Diff prints what a rules file would change.
func (t *Tool) Diff(ctx context.Context, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var current fleet.RulesResponse
	if err := t.Admin.Call(ctx, "GET", "/admin/v1/rules", nil, &current); err != nil {
		return err
	}
	for _, change := range rules.Diff(current.Text, string(text)) {
		fmt.Fprintln(t.Out, change)
	}
	return nil
}

// Show prints the rules in force.
func (t *Tool) Show(ctx context.Context) error {
	var current fleet.RulesResponse
	if err := t.Admin.Call(ctx, "GET", "/admin/v1/rules", nil, &current); err != nil {
		return err
	}
	fmt.Fprintf(t.Out, "# revision %d\n%s", current.Revision, current.Text)
	return nil
}

// Grant makes a key and prints its token, which is shown only this once.
func (t *Tool) Grant(ctx context.Context, workspace string, wait bool) error {
	token, id, hash := keys.Generate()
	in := fleet.GrantRequest{RequestID: newID(), KeyID: id, Workspace: workspace,
		SecretHash: hex.EncodeToString(hash), Operator: t.Operator}
	answer, err := t.change(ctx, "POST", "/admin/v1/keys", in)
	if err != nil {
		return err
	}
	if wait {
		quiet := &Tool{Admin: t.Admin, Operator: t.Operator, Out: io.Discard}
		if err := quiet.awaitIndex(ctx, answer.Index); err != nil {
			return err
		}
	}
	fmt.Fprintln(t.Out, token)
	return nil
}

// Withdraw stops a key everywhere. It names the hosts that confirmed; the
// others get the withdrawal as soon as they can be reached.
func (t *Tool) Withdraw(ctx context.Context, id string) error {
	if token, _, err := keys.Parse(id); err == nil {
		id = token // a whole key was given instead of its id
	}
	path := "/admin/v1/keys/" + url.PathEscape(id) + "?operator=" + url.QueryEscape(t.Operator)
	var answer fleet.WithdrawResponse
	if err := t.Admin.Call(ctx, "DELETE", path, nil, &answer); err != nil {
		return err
	}
	fmt.Fprintf(t.Out, "key %s is withdrawn\n", answer.KeyID)
	for _, h := range answer.Hosts {
		if h.Reached {
			fmt.Fprintf(t.Out, "in force on %s (%s)\n", h.Name, h.DataCentre)
		}
	}
	return t.reportMissing(answer.Hosts)
}

// History prints the revisions that the hosts keep, and who asked for them.
func (t *Tool) History(ctx context.Context) error {
	var list []fleet.HistoryEntry
	if err := t.Admin.Call(ctx, "GET", "/admin/v1/history", nil, &list); err != nil {
		return err
	}
	for _, r := range list {
		fmt.Fprintf(t.Out, "revision %d by %s, digest %s, request id %s\n", r.Revision, r.Operator, r.Digest, r.RequestID)
	}
	return nil
}

// RemoveHost takes a host that will not return out of the replicated list.
func (t *Tool) RemoveHost(ctx context.Context, name string) error {
	path := "/admin/v1/hosts/" + url.PathEscape(name) + "?operator=" + url.QueryEscape(t.Operator)
	if _, err := t.change(ctx, "DELETE", path, nil); err != nil {
		return err
	}
	fmt.Fprintf(t.Out, "host %s is removed\n", name)
	return nil
}

// Print writes the JSON answer of a read-only call, one item a line.
func (t *Tool) Print(ctx context.Context, path string) error {
	var out any
	if err := t.Admin.Call(ctx, "GET", path, nil, &out); err != nil {
		return err
	}
	return printJSON(t.Out, out)
}

// Status prints the status of every host.
func (t *Tool) Status(ctx context.Context) error {
	for _, h := range t.Admin.Hosts {
		var out any
		if err := t.Admin.CallHost(ctx, h, "GET", "/admin/v1/status", nil, &out); err != nil {
			fmt.Fprintf(t.Out, "%s: %v\n", h, err)
			continue
		}
		if err := printJSON(t.Out, out); err != nil {
			return err
		}
	}
	return nil
}

// Timeline prints the merged events of all hosts that answer.
func (t *Tool) Timeline(ctx context.Context, query url.Values) error {
	var lists [][]timeline.Event
	for _, h := range t.Admin.Hosts {
		var events []timeline.Event
		if err := t.Admin.CallHost(ctx, h, "GET", "/admin/v1/timeline?"+query.Encode(), nil, &events); err != nil {
			fmt.Fprintf(t.Out, "# no events from %s: %v\n", h, err)
			continue
		}
		lists = append(lists, events)
	}
	for _, e := range timeline.Merge(lists...) {
		fmt.Fprintln(t.Out, formatEvent(e))
	}
	return nil
}

func newID() string {
	raw := make([]byte, 12)
	_, _ = rand.Read(raw) // never fails since Go 1.24
	return hex.EncodeToString(raw)
}
