package proctest

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
)

var (
	// shellBlock is a shell block of a page with the block of its output, if one follows.
	shellBlock = regexp.MustCompile("(?s)```sh\n(.*?)```(?:\n\n```text\n(.*?)```)?")
	// revisionInForce varies: an apply that is repeated during an election makes another
	// revision.
	revisionInForce = regexp.MustCompile(`version \d+ in force`)
)

// Examples runs the shell blocks of documentation pages.
type Examples struct {
	t   testing.TB
	dir string
	env []string
}

// NewExamples returns a runner with a folder of its own, both programs on the path and
// further environment variables.
func NewExamples(t testing.TB, env ...string) *Examples {
	return &Examples{t: t, dir: t.TempDir(), env: append(env, "PATH="+Binaries(t)+":"+os.Getenv("PATH"))}
}

// Run runs a script and returns its output.
func (e *Examples) Run(script string) (string, error) {
	cmd := exec.Command("bash", "-euc", script)
	cmd.Dir = e.dir
	cmd.Env = append(os.Environ(), e.env...)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// RunPage runs all shell blocks of a page. Each must end successfully and print the output
// that the page shows, if it shows one, and nothing that isFault reports.
func (e *Examples) RunPage(path string, isFault func(output string) bool) {
	e.t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		e.t.Fatal(err)
	}
	for _, block := range shellBlock.FindAllStringSubmatch(string(text), -1) {
		out, err := e.Run(block[1])
		if err != nil || isFault(out) {
			e.t.Errorf("%s: %v\n%s\n%s", path, err, block[1], out)
		}
		if shown := strings.TrimSpace(block[2]); shown != "" && withoutRevision(out) != withoutRevision(shown) {
			e.t.Errorf("%s: %s\nprinted\n%s\nthe page shows\n%s", path, block[1], out, shown)
		}
	}
}

func withoutRevision(output string) string {
	return revisionInForce.ReplaceAllString(strings.TrimSpace(output), "version N in force")
}
