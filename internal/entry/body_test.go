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
		{"no JSON", "hello", "not a valid JSON object"},
		{"list", "[]", "not a valid JSON object"},
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

// Guards against a cost without the prompt or the output, with which a workspace
// would exceed its rate.
func TestCostCoversPromptAndOutput(t *testing.T) {
	body, err := parseEngineBody([]byte(`{"model":"m","max_tokens":10,"prompt":"` + strings.Repeat("x", 398) + `"}`))
	if err != nil {
		t.Fatal(err)
	}
	if got := body.tokenCost(); got != 111 {
		t.Errorf("cost = %d, want 400/4+1+10", got)
	}
}

// Guards prefix affinity, which finds no match unless prompts with a common prefix
// share its digests. They must share no others.
func TestPrefixesAreShared(t *testing.T) {
	shared := strings.Repeat("bulletin ", 400)
	one := engineBody{Model: "m", Prompt: json.RawMessage(shared + "first question" + strings.Repeat("a", 2000))}
	two := engineBody{Model: "m", Prompt: json.RawMessage(shared + "second question" + strings.Repeat("b", 2000))}
	a, b := one.prefixDigests(), two.prefixDigests()
	sharedBlocks := len(shared) / prefixBlockBytes
	for i := range a {
		if same := a[i] == b[i]; same != (i < sharedBlocks) {
			t.Errorf("block %d: same = %v, shared blocks = %d", i, same, sharedBlocks)
		}
	}
}

// Guards against a caller's key that reaches a target: a request with the key in
// the path, the query or a header that is passed on is refused, another is not.
func TestKeyOutsideAuthorizationIsRefused(t *testing.T) {
	const token = "gt_ab_0123456789abcdef"
	cases := []struct {
		name, url string
		header    map[string]string
		refused   bool
	}{
		{"clean", "/registro/x?month=12&note=gt_ab", map[string]string{"Accept": "text/plain"}, false},
		{"query", "/registro/x?api_key=" + token, nil, true},
		{"secret alone", "/registro/x?k=0123456789abcdef", nil, true},
		{"upper case", "/registro/x?k=0123456789ABCDEF", nil, true},
		{"escaped query", "/registro/x?k=gt%5Fab%5F%30123456789abcdef", nil, true},
		{"escaped twice", "/registro/x?k=%2530123456789abcdef", nil, true},
		{"path", "/registro/" + token + "/x", nil, true},
		{"header", "/registro/x", map[string]string{"Accept": "x; t=" + token}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u, err := url.Parse(c.url)
			if err != nil {
				t.Fatal(err)
			}
			err = refuseLeakedKey(&http.Request{URL: u}, token, c.header)
			refused, ok := errors.AsType[*refusal.Error](err)
			if ok != c.refused || ok && (refused.Code != refusal.InvalidRequest || refused.Ran != refusal.NotRun) {
				t.Errorf("refused = %v: %v", ok, err)
			}
		})
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

// FuzzEngineBody guards the parser of untrusted bodies: none may cause a panic or
// have a cost below 1.
func FuzzEngineBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","max_tokens":5,"stream":true,"messages":[{"role":"user","content":"hi"}]}`))
	f.Add([]byte(`{"model":"m","prompt":[1,2,3]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := parseEngineBody(data)
		if err != nil {
			return
		}
		if body.tokenCost() < 1 || len(body.prefixDigests()) > maxPrefixBlocks {
			t.Errorf("cost %d, %d prefixes", body.tokenCost(), len(body.prefixDigests()))
		}
	})
}
