package proof

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/standin"
)

var shellBlock = regexp.MustCompile("(?s)```sh\n(.*?)```")

// Guards against wrong examples in the API documentation: every shell block in the pages
// runs successfully, and the gateway refuses no request in it.
func TestDocumentedExamples(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	f.StartTarget(standin.Config{Name: "e1", DataCentre: "gijon-a", Pool: "llegadas", Models: []string{"modelo-llegadas"}}, "gijon-1")
	f.StartTarget(standin.Config{Name: "s1", DataCentre: "gijon-a", Pool: "registro"}, "gijon-1")
	key := f.Grant("hoteles-gijon")
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		// The token buckets of a new fleet are empty, so the first requests may be
		// refused for the rate.
		_, err := curl(f, key, `curl -sS --fail -H "Authorization: Bearer $KEY" -d x "http://$HOST/registro/ready"`)
		return err
	})
	for _, page := range []string{"../../docs/api-callers.md", "../../docs/api-targets.md"} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, block := range shellBlock.FindAllStringSubmatch(string(text), -1) {
			out, err := curl(f, key, block[1])
			if err != nil || strings.Contains(out, `"error"`) || strings.HasPrefix(out, "4") {
				t.Errorf("%s: %v\n%s\n%s", page, err, block[1], out)
			}
		}
	}
}

func curl(f *proctest.Fleet, key, script string) (string, error) {
	cmd := exec.Command("bash", "-euc", script)
	cmd.Env = append(os.Environ(), "HOST="+f.HTTP("gijon-1"), "KEY="+key, "ANNOUNCE_TOKEN="+proctest.AnnounceToken)
	out, err := cmd.CombinedOutput()
	return string(out), err
}
