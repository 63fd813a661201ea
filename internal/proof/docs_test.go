package proof

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/standin"
)

// shellBlock is a shell block with the block of its output, if one follows.
var shellBlock = regexp.MustCompile("(?s)```sh\n(.*?)```(?:\n\n```text\n(.*?)```)?")

// Guards against wrong examples in the documentation: every shell block in the pages runs
// successfully, prints the output that is shown, and the gateway refuses no request in it.
func TestDocumentedExamples(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	f.StartTarget(standin.Config{Name: "e1", DataCentre: "gijon-a", Pool: "llegadas", Models: []string{"modelo-llegadas"}}, "gijon-1")
	f.StartTarget(standin.Config{Name: "s1", DataCentre: "gijon-a", Pool: "registro"}, "gijon-1")
	key, dir := f.Grant("hoteles-gijon"), t.TempDir()
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		// The token buckets of a new fleet are empty, so the first requests may be
		// refused for the rate.
		_, err := curl(t, f, dir, key, `curl -sS --fail -H "Authorization: Bearer $KEY" -d x "http://$HOST/registro/ready"`)
		return err
	})
	for _, page := range []string{"../../docs/api-callers.md", "../../docs/api-targets.md", "../../docs/operators/rules.md"} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, block := range shellBlock.FindAllStringSubmatch(string(text), -1) {
			out, err := curl(t, f, dir, key, block[1])
			if err != nil || strings.Contains(out, `"error"`) || strings.HasPrefix(out, "4") {
				t.Errorf("%s: %v\n%s\n%s", page, err, block[1], out)
			}
			if block[2] != "" && withoutRevision(out) != withoutRevision(block[2]) {
				t.Errorf("%s: %s\nprinted\n%s\nthe page shows\n%s", page, block[1], out, block[2])
			}
		}
	}
}

// withoutRevision leaves out the number of the revision in force: an apply that the fleet
// repeats during an election makes another one.
func withoutRevision(output string) string {
	return regexp.MustCompile(`version \d+ in force`).ReplaceAllString(output, "version N in force")
}

func curl(t *testing.T, f *proctest.Fleet, dir, key, script string) (string, error) {
	cmd := exec.Command("bash", "-euc", script)
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), "HOST="+f.HTTP("gijon-1"), "KEY="+key, "ANNOUNCE_TOKEN="+proctest.AnnounceToken, "TOKEN_FILE="+filepath.Join(filepath.Dir(f.DataDir("gijon-1")), "operator"),
		"PATH="+proctest.Binaries(t)+":"+os.Getenv("PATH"))
	out, err := cmd.CombinedOutput()
	return string(out), err
}
