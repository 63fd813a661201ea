package ctl

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"geraniumturn.example/geraniumturn/internal/fleet"
)

// newTestTool returns a tool whose only host gives the responses in answers, keyed by
// method and path, and rejects other calls with status 400.
func newTestTool(t *testing.T, answers map[string]any) *Tool {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer, ok := answers[r.Method+" "+r.URL.Path]
		if !ok {
			w.WriteHeader(http.StatusBadRequest)
			answer = map[string]string{"message": "first line\nsecond line"}
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	t.Cleanup(server.Close)
	return &Tool{Admin: &AdminClient{Hosts: []string{strings.TrimPrefix(server.URL, "http://")}, Token: "t"}, Operator: "Marta", Out: &strings.Builder{}}
}

// Guards against a conflict error that does not name the operator of the revision in
// force, and against other refusals that name one.
func TestApplyRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rules")
	if err := os.WriteFile(path, []byte("pool a kind=service # x\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for reason, want := range map[string]string{
		fleet.ReasonConflict:        "by Iker, digest abc",
		fleet.ReasonRequestIDReused: "refused (request_id_reused): detail",
	} {
		tool := newTestTool(t, map[string]any{"POST /admin/v1/rules": fleet.ChangeResponse{Reason: reason, Message: "detail", Winner: "Iker", Digest: "abc"}})
		err := tool.Apply(t.Context(), path, 1, "", false)
		if !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s gives %v", reason, err)
		}
	}
}

// Guards against a withdrawal that is reported as complete although hosts have not
// confirmed it.
func TestWithdrawNamesHosts(t *testing.T) {
	answer := fleet.WithdrawResponse{Accepted: true, KeyID: "k1", Hosts: []fleet.HostReach{
		{Name: "gijon-1", DataCentre: "gijon-a", Reached: true}, {Name: "bilbao-1", DataCentre: "bilbao-a", State: "dead"}}}
	tool := newTestTool(t, map[string]any{"DELETE /admin/v1/keys/k1": answer})
	for _, id := range []string{"k1", "gt_k1_secret"} {
		out := &strings.Builder{}
		tool.Out = out
		err := tool.Withdraw(t.Context(), id)
		if !errors.Is(err, ErrNotInForce) || !strings.Contains(err.Error(), "bilbao-1") {
			t.Errorf("got %v", err)
		}
		if !strings.Contains(out.String(), "in force on gijon-1") || !strings.Contains(out.String(), "not yet reached: bilbao-1 (bilbao-a), dead") {
			t.Errorf("printed %s", out.String())
		}
	}
}

// Guards against history output without the operator of a revision.
func TestHistoryNamesOperators(t *testing.T) {
	tool := newTestTool(t, map[string]any{"GET /admin/v1/history": []fleet.HistoryEntry{{Revision: 3, Operator: "Lucía", Digest: "d", RequestID: "r"}}})
	if err := tool.History(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := tool.Out.(*strings.Builder).String(); got != "revision 3 by Lucía, digest d, request id r\n" {
		t.Errorf("printed %q", got)
	}
}
