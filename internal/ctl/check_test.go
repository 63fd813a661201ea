package ctl

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"geraniumturn.example/geraniumturn/internal/fleet"
)

// Guards against an exit code that calls a faulty file clean, or a file clean that was not
// compared as asked, and against names in the JSON report that are not those of the page.
func TestCheckExitCodesAndReport(t *testing.T) {
	const text = "pool a kind=service # x\nroute /a pool=a idempotent=yes # x\n"
	inForce := map[string]any{
		"GET /admin/v1/rules": fleet.RulesResponse{Revision: 4, Text: text},
		"GET /admin/v1/reach": fleet.ReachResponse{Hosts: []fleet.HostReach{{DataCentre: "gijon-a"}}},
	}
	file := filepath.Join(t.TempDir(), "rules")
	for name, c := range map[string]struct {
		text     string
		answers  map[string]any
		noToken  bool
		code     int
		findings int
		changes  int
	}{
		"clean":              {text: text, answers: inForce},
		"changed":            {text: strings.Replace(text, "yes", "no", 1), answers: inForce, changes: 1},
		"warning":            {text: text + "pool b kind=engine # x\n", answers: inForce, code: 1, findings: 1, changes: 1},
		"unknown home":       {text: text + "workspace w rate=9/s burst=9 home=x # x\n", answers: inForce, code: 1, findings: 1, changes: 1},
		"error":              {text: "pool a # x\n", answers: inForce, code: 2, findings: 1},
		"no response":        {text: text, answers: map[string]any{}, code: 2},
		"in force not valid": {text: text, answers: map[string]any{"GET /admin/v1/rules": fleet.RulesResponse{Text: "pool"}, "GET /admin/v1/reach": nil}, code: 2},
		"no token":           {text: text, answers: inForce, noToken: true, code: 2},
	} {
		admin := newTestTool(t, c.answers).Admin
		out := &strings.Builder{}
		checker := &Checker{Against: admin.Hosts, Admin: admin, Out: out, JSON: true}
		if c.noToken {
			checker.Admin = nil
		}
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		err := checker.Check(t.Context(), file)
		report := map[string]any{}
		if jsonErr := json.Unmarshal([]byte(out.String()), &report); jsonErr != nil {
			t.Fatalf("%s: %v in %s", name, jsonErr, out)
		}
		findings, _ := report["findings"].([]any)
		changes, compared := report["changes"].([]any)
		if ExitCode(err) != c.code || len(findings) != c.findings || len(changes) != c.changes || compared != (c.code < 2) || report["kind"] != "rules" {
			t.Errorf("%s: exit code %d (%v), report %s", name, ExitCode(err), err, out)
		}
	}
}

// Guards against a document that is called usable although hosts refuse its size.
func TestCheckDocumentTooLarge(t *testing.T) {
	file := filepath.Join(t.TempDir(), "document")
	if err := os.WriteFile(file, []byte(`{"version":1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	out := &strings.Builder{}
	err := (&Checker{Documents: Documents{MaxBytes: 12}, Out: out}).Check(t.Context(), file)
	if ExitCode(err) != exitNotUsable || !strings.Contains(out.String(), "error: the document has 13 bytes") {
		t.Errorf("%v, printed %s", err, out)
	}
}
