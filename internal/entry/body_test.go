package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"geraniumturn.example/geraniumturn/internal/refusal"
)

func TestParseEngineBodyRefuses(t *testing.T) {
	cases := []struct{ name, body, want string }{
		{"no JSON", "hello", "no valid JSON"},
		{"list", "[]", "no valid JSON"},
		{"no model", "{}", "model is missing"},
		{"zero max_tokens", `{"model":"m","max_tokens":0}`, "max_tokens must be"},
		{"huge max_tokens", `{"model":"m","max_tokens":99999999999}`, "max_tokens must be"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := parseEngineBody([]byte(c.body))
			refused, ok := errors.AsType[*refusal.Error](err)
			if !ok || refused.Ran != refusal.NotRun || !strings.Contains(refused.Message, c.want) {
				t.Errorf("error %v does not contain %q", err, c.want)
			}
		})
	}
}

// The cost must cover prompt and output, or a workspace gets more than its rate.
func TestCostCoversPromptAndOutput(t *testing.T) {
	body, err := parseEngineBody([]byte(`{"model":"m","max_tokens":10,"prompt":"` + strings.Repeat("x", 398) + `"}`))
	if err != nil {
		t.Fatal(err)
	}
	if got := body.cost(); got != 111 {
		t.Errorf("cost = %d, want 400/4+1+10", got)
	}
}

// Requests with a common beginning must share the digests of it, or prefix
// affinity finds nothing.
func TestPrefixesAreShared(t *testing.T) {
	shared := strings.Repeat("bulletin ", 400)
	one := engineBody{Model: "m", Prompt: json.RawMessage(shared + "first question" + strings.Repeat("a", 2000))}
	two := engineBody{Model: "m", Prompt: json.RawMessage(shared + "second question" + strings.Repeat("b", 2000))}
	a, b := one.prefixes(), two.prefixes()
	whole := len(shared) / prefixBlockBytes
	for i := range a {
		if same := a[i] == b[i]; same != (i < whole) {
			t.Errorf("block %d: same = %v, shared blocks = %d", i, same, whole)
		}
	}
}

// A caller's key in the query must not reach a target.
func TestSafeQueryDropsKeys(t *testing.T) {
	got := safeQuery(url.Values{"month": {"12"}, "api_key": {"gt_ab_cd"}, "x": {"1", "gt_ab_cd"}})
	if got != "month=12" {
		t.Errorf("query = %q", got)
	}
}

func TestBearer(t *testing.T) {
	for header, want := range map[string]string{"Bearer gt_a_b": "gt_a_b", "bearer  gt_a_b ": "gt_a_b", "Basic x": "", "": ""} {
		r := &http.Request{Header: http.Header{"Authorization": {header}}}
		if got := bearer(r); got != want {
			t.Errorf("bearer(%q) = %q, want %q", header, got, want)
		}
	}
}

// Caller bodies are untrusted: none may panic the parser or cost nothing.
func FuzzEngineBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","max_tokens":5,"stream":true,"messages":[{"role":"user","content":"hi"}]}`))
	f.Add([]byte(`{"model":"m","prompt":[1,2,3]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := parseEngineBody(data)
		if err != nil {
			return
		}
		if body.cost() < 1 || len(body.prefixes()) > maxPrefixBlocks {
			t.Errorf("cost %d, %d prefixes", body.cost(), len(body.prefixes()))
		}
	})
}
