package proof

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/standin"
)

// Guards against a poison request, which crashes every target that runs it, when its
// caller resends it through every host. At most two targets crash, then all hosts refuse
// the request. Other requests that ran on the crashed targets are served.
func TestRequestThatCrashesTargets(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	var engines []*standin.Target
	for i, place := range [][2]string{{"gijon-a", "gijon-1"}, {"gijon-a", "gijon-1"}, {"gijon-a", "gijon-2"}, {"bilbao-a", "bilbao-1"}, {"santander-a", "santander-1"}} {
		engines = append(engines, f.StartTarget(standin.Config{Name: fmt.Sprint("e", i), DataCentre: place[0], Pool: "llegadas",
			Models: []string{"modelo-llegadas"}, CrashOn: "poison", RestartDelay: time.Second, TokenInterval: 20 * time.Millisecond}, place[1]))
	}
	key := f.Grant("hoteles-gijon")
	hosts := []string{"gijon-1", "gijon-2", "bilbao-1", "santander-1"}
	for _, host := range hosts {
		proctest.Eventually(t, proctest.StartTimeout, func() error {
			if status, answer := post(t, f, host, key, "/v1/chat/completions", chatBody); status != http.StatusOK {
				return fmt.Errorf("%s: %d %s", host, status, answer)
			}
			return nil
		})
	}
	var otherRequests sync.WaitGroup
	for i := range 12 {
		otherRequests.Go(func() {
			body := strings.Replace(chatBody, "hello", fmt.Sprint("bystander ", i), 1)
			body = strings.Replace(body, `"max_tokens":8`, `"max_tokens":60`, 1)
			if status, answer := post(t, f, hosts[i%len(hosts)], key, "/v1/chat/completions", body); status != http.StatusOK {
				t.Errorf("other request %d: %d %s", i, status, answer)
			}
		})
	}
	poison := strings.Replace(chatBody, "hello", "poison", 1)
	for round := range 2 {
		for _, host := range hosts {
			status, answer := post(t, f, host, key, "/v1/chat/completions", poison)
			if status == http.StatusOK {
				t.Errorf("round %d through %s: the poison request was served", round, host)
			}
			t.Logf("round %d through %s: %d %s", round, host, status, answer)
		}
	}
	otherRequests.Wait()
	var crashes int64
	for _, e := range engines {
		crashes += e.Totals().Crashes
	}
	if crashes == 0 || crashes > 2 {
		t.Errorf("%d targets crashed", crashes)
	}
	for _, host := range hosts {
		status, answer := post(t, f, host, key, "/v1/chat/completions", poison)
		if status != http.StatusUnprocessableEntity || !strings.Contains(answer, "crashes_targets") || !strings.Contains(answer, "not_run") {
			t.Errorf("after the crashes through %s: %d %s", host, status, answer)
		}
	}
}
