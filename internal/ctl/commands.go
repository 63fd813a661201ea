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

// ErrNotInForce means that a change was not confirmed on every host in time.
var ErrNotInForce = errors.New("not in force on all hosts yet")

const (
	// changeRetryTimeout limits the retries of a change while no host gives a definite
	// response. It covers a leader election, which takes up to about 3 s.
	changeRetryTimeout = 10 * time.Second
	waitTimeout        = 30 * time.Second
	waitInterval       = 100 * time.Millisecond
	// maxWaitInterval caps the backoff between polls. Polls are spaced out because
	// each one makes the polled host query all hosts.
	maxWaitInterval = time.Second
)

// Tool runs the commands of one operator and writes their output to Out.
type Tool struct {
	Admin    *AdminClient
	Operator string
	Out      io.Writer
}

// parse parses a rules file and prints a summary, or returns its errors.
func (t *Tool) parse(path string) error {
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

// Apply submits a rules file as a new revision. base is the revision that the file
// is based on; 0 means the current one. An empty requestID generates one. With wait,
// Apply returns when the revision is in force on all hosts.
func (t *Tool) Apply(ctx context.Context, path string, base uint64, requestID string, wait bool) error {
	if err := t.parse(path); err != nil {
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
	answer, err := t.submitChange(ctx, "POST", "/admin/v1/rules", in)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.Out, "revision %d accepted (request id %s)\n", answer.Revision, requestID)
	if !wait {
		return nil
	}
	return t.awaitIndex(ctx, answer.Index)
}

func (t *Tool) submitChange(ctx context.Context, method, path string, in any) (fleet.ChangeResponse, error) {
	var answer fleet.ChangeResponse
	if err := t.callWithRetry(ctx, method, path, in, &answer); err != nil {
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

// callWithRetry sends a change until a host gives a definite response or
// changeRetryTimeout has passed, so that a change survives a leader election. The
// retries are safe: every change carries a request id or is idempotent.
func (t *Tool) callWithRetry(ctx context.Context, method, path string, in, out any) error {
	deadline := time.Now().Add(changeRetryTimeout)
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

// awaitIndex polls the first host that responds until the log index is in force on every
// host of the fleet. It prints the hosts as they confirm and, at the end, the hosts that
// have not. It does not wait for dead hosts, but reports them as missing.
func (t *Tool) awaitIndex(ctx context.Context, index uint64) error {
	reported := map[string]bool{}
	deadline := time.Now().Add(waitTimeout)
	for interval := waitInterval; ; interval = min(2*interval, maxWaitInterval) {
		var answer fleet.ReachResponse
		err := t.Admin.Call(ctx, "GET", fmt.Sprintf("/admin/v1/reach?index=%d", index), nil, &answer)
		if err != nil && (errors.Is(err, ErrRefused) || time.Now().After(deadline) || ctx.Err() != nil) {
			return err
		}
		pending := err != nil
		for _, h := range answer.Hosts {
			if h.Reached && !reported[h.Name] {
				reported[h.Name] = true
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

// Init initialises the control log: it writes the same initial membership to all
// voters of a new fleet. It fails if any of them already has a log or is unreachable.
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

// Grant creates a key for a workspace and prints its token. The token cannot be
// shown again, since only a hash of its secret is stored.
func (t *Tool) Grant(ctx context.Context, workspace string, wait bool) error {
	token, id, hash := keys.Generate()
	in := fleet.GrantRequest{RequestID: newID(), KeyID: id, Workspace: workspace,
		SecretHash: hex.EncodeToString(hash), Operator: t.Operator}
	answer, err := t.submitChange(ctx, "POST", "/admin/v1/keys", in)
	if err != nil {
		return err
	}
	if wait {
		silentTool := &Tool{Admin: t.Admin, Operator: t.Operator, Out: io.Discard}
		if err := silentTool.awaitIndex(ctx, answer.Index); err != nil {
			return err
		}
	}
	fmt.Fprintln(t.Out, token)
	return nil
}

// Withdraw revokes a key on all hosts. It prints the hosts that confirmed; the others
// receive the withdrawal as soon as they are reachable. id is a key id or a whole
// token.
func (t *Tool) Withdraw(ctx context.Context, id string) error {
	if token, _, err := keys.Parse(id); err == nil {
		id = token // the argument is a token; keep its key id
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

// History prints the revisions that are kept, with the operator of each.
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

// RemoveHost removes a permanently lost host from the replicated list of hosts.
func (t *Tool) RemoveHost(ctx context.Context, name string) error {
	path := "/admin/v1/hosts/" + url.PathEscape(name) + "?operator=" + url.QueryEscape(t.Operator)
	if _, err := t.submitChange(ctx, "DELETE", path, nil); err != nil {
		return err
	}
	fmt.Fprintf(t.Out, "host %s is removed\n", name)
	return nil
}

// Print prints the JSON response of a read-only call, one item per line.
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

// Timeline prints the merged events of all hosts that respond.
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
