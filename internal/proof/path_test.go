package proof

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/client"
	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/standin"
)

const chatBody = `{"model":"modelo-llegadas","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`

func exampleRules(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../examples/cantabrico.rules")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func post(t *testing.T, f *proctest.Fleet, host, key, path, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.HTTP(host)+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(answer)
}

// Guards against faults on the path of a request: it is served by a target of the same
// data centre or through a forward, the target never sees the caller's key, and a
// request at a host outside the residency of its workspace is refused with the address
// of a host inside it.
func TestRequestPath(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	engine := f.StartTarget(standin.Config{Name: "e1", DataCentre: "gijon-a", Pool: "llegadas", Models: []string{"modelo-llegadas"}}, "gijon-1")
	key := f.Grant("hoteles-gijon")
	residentKey := f.Grant("turismo-euskadi")

	for _, host := range []string{"gijon-1", "gijon-2", "santander-1"} {
		c := client.New(key, f.HTTP(host))
		response, err := c.Do(context.Background(), client.Request{Method: http.MethodPost, Path: "/v1/chat/completions",
			Body: []byte(chatBody), Idempotent: true, Timeout: 10 * time.Second})
		if err != nil {
			t.Fatalf("through %s: %v", host, err)
		}
		response.Body.Close()
	}
	status, answer := post(t, f, "santander-1", key, "/v1/chat/completions", chatBody)
	if status != http.StatusOK || !strings.Contains(answer, `"completion_tokens":8`) {
		t.Errorf("forwarded answer: %d %s", status, answer)
	}
	for name, values := range engine.LastHeaders() {
		if strings.Contains(strings.Join(values, " "), "gt_") {
			t.Errorf("target saw the caller's key in header %s", name)
		}
	}
	status, answer = post(t, f, "gijon-1", residentKey, "/v1/chat/completions", chatBody)
	if status != http.StatusMisdirectedRequest || !strings.Contains(answer, f.HTTP("bilbao-1")) {
		t.Errorf("request at a host outside the residency: %d %s", status, answer)
	}
}
