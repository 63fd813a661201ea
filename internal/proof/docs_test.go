package proof

import (
	"path/filepath"
	"strings"
	"testing"

	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/standin"
)

// Guards against wrong examples in the documentation: every shell block in the pages runs
// successfully, prints the output that is shown, and the gateway refuses no request in it.
func TestDocumentedExamples(t *testing.T) {
	f := proctest.Start(t, proctest.ExampleHosts())
	f.Apply(exampleRules(t))
	f.StartTarget(standin.Config{Name: "e1", DataCentre: "gijon-a", Pool: "llegadas", Models: []string{"modelo-llegadas"}}, "gijon-1")
	f.StartTarget(standin.Config{Name: "s1", DataCentre: "gijon-a", Pool: "registro"}, "gijon-1")
	examples := proctest.NewExamples(t, "HOST="+f.HTTP("gijon-1"), "KEY="+f.Grant("hoteles-gijon"), "ANNOUNCE_TOKEN="+proctest.AnnounceToken,
		"TOKEN_FILE="+filepath.Join(filepath.Dir(f.DataDir("gijon-1")), "operator"))
	proctest.Eventually(t, proctest.StartTimeout, func() error {
		// The token buckets of a new fleet are empty, so the first requests may be
		// refused for the rate.
		_, err := examples.Run(`curl -sS --fail -H "Authorization: Bearer $KEY" -d x "http://$HOST/registro/ready"`)
		return err
	})
	for _, page := range []string{"../../docs/api-callers.md", "../../docs/api-targets.md", "../../docs/operators/rules.md"} {
		examples.RunPage(page, func(out string) bool {
			return strings.Contains(out, `"error"`) || strings.HasPrefix(out, "4")
		})
	}
}
