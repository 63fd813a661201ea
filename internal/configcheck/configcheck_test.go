package configcheck

import (
	"strings"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/rules"
)

const cleanRules = `workspace hoteles rate=2000/s burst=8000 residency=gijon-a # Lucía
pool llegadas kind=engine # platform
pool registro kind=service # platform
model m pool=llegadas # platform
route /v1/chat idempotent=yes # platform
route /registro/* pool=registro idempotent=no cost=5 timeout=30s # Iker
`

func parseRules(t *testing.T, text string) *rules.Set {
	t.Helper()
	set, err := rules.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// Guards against a fault of a rules file that is not found, named at another line, or seen
// in a file without it.
func TestRules(t *testing.T) {
	site := Site{DataCentres: []string{"gijon-a"}}
	if found := Rules(parseRules(t, cleanRules), site); len(found) > 0 {
		t.Errorf("clean file: %v", found)
	}
	for old, c := range map[string]struct{ new, want string }{
		"pool=registro idempotent=no": {"pool=registro idempotent=no methods=GET,PSOT", "line 6: warning: route /registro/* methods: no request has the method PSOT"},
		"model m pool=llegadas":       {"route /m/* pool=llegadas idempotent=no", "line 5: warning: route /v1/chat pool: the body's model selects"},
		"route /v1/chat idempotent":   {"route /v1/chat pool=llegadas idempotent", "line 4: warning: model m: it is never selected"},
		"/v1/chat idempotent=yes":     {"/v1/chat idempotent=yes cost=9", "route /v1/chat cost: a request to an engine"},
		"pool registro kind=service":  {"pool r kind=service # x\npool registro kind=service", "line 3: warning: pool r: it gets no requests"},
		"burst=8000":                  {"burst=4", "workspace hoteles burst: burst 4 is below the cost of one request to /registro/*, 5"},
		"rate=2000/s":                 {"rate=4/s", "workspace hoteles rate: rate 4/s is below the cost"},
		"residency=gijon-a":           {"residency=gijon-a,gijon-b", "residency: no host is in data centre gijon-b"},
		"burst=8000 residency":        {"burst=8000 home=x # y\n# residency", "home: no host is in data centre x"},
	} {
		found := Rules(parseRules(t, strings.Replace(cleanRules, old, c.new, 1)), site)
		if len(found) != 1 || !strings.Contains(found[0].String(), c.want) {
			t.Errorf("%s gives %v, want %q", c.new, found, c.want)
		}
	}
}

func cleanDocument() *document.Document {
	one := func(s string) []document.WeightedService { return []document.WeightedService{{Service: s, Weight: 1}} }
	return &document.Document{Version: 7,
		Routes: []document.Route{
			{Name: "r0", Host: "a.example", Prefix: "/p/", Kind: document.Streaming, Resumable: true, Timeout: 12 * time.Second, FirstByteObjective: time.Second,
				MaxEventGap: time.Second, Split: one("llm"), MaxAttempts: 2, HomeRegions: []string{"north"}},
			{Name: "r1", Host: "a.example", Prefix: "/q/", Kind: document.NonIdempotent, Timeout: 5 * time.Second, FirstByteObjective: time.Second, Split: one("app"), MaxAttempts: 1},
		},
		Services: []document.Service{{Name: "llm", Warmup: time.Second, ColdRate: 2, Engine: &document.Engine{Slots: 4, CacheTokens: 100}}, {Name: "app"}},
		Workspaces: []document.Workspace{{Name: "w", Keys: []string{"k"}, Rate: 100, Burst: 100, DefaultTokens: 50, HomeRegions: []string{"north", "south"}},
			{Name: "v", Keys: []string{"l"}, Rate: 1, Burst: 2, PerRequest: true}},
		Limits: document.Limits{MaxBodyBytes: 1 << 20}}
}

// locateByName places route N at line N, services at 10 and workspaces at 20 and above.
func locateByName(p document.Place) (int, string) {
	first := map[document.Section]int{document.RouteSection: 1, document.ServiceSection: 10, document.WorkspaceSection: 20}
	return first[p.Section] + p.Position, strings.ToLower(p.Field)
}

// Guards against a fault of a document that is not found, named at another place, or seen
// in a document without it.
func TestDocument(t *testing.T) {
	site := Site{MemoryBytes: 64 << 20, Regions: []string{"north", "south"}}
	if found := Document(cleanDocument(), site, locateByName); len(found) > 0 {
		t.Errorf("clean document: %v", found)
	}
	for want, change := range map[string]func(*document.Document){
		"line 1: warning: route r0 host: it never matches": func(d *document.Document) { d.Routes[0].Host = "a.example:80" },
		"route r0 split: service app has the weight 0": func(d *document.Document) {
			d.Routes[0].Split = append(d.Routes[0].Split, document.WeightedService{Service: "app"})
		},
		"homeregions: no region is a home of the route and of workspace":              func(d *document.Document) { d.Workspaces[0].HomeRegions = []string{"south"} },
		"line 20: warning: workspace w homeregions: no data centre is in region east": func(d *document.Document) { d.Workspaces[0].HomeRegions = []string{"north", "east"} },
		"route r0 timeout: the timeout of 900ms is below the objective":               func(d *document.Document) { d.Routes[0].Timeout, d.Routes[0].MaxEventGap = 900*time.Millisecond, 0 },
		"route r1 firstbyteobjective: there is no objective":                          func(d *document.Document) { d.Routes[1].FirstByteObjective = 0 },
		"route r0 maxeventgap: the gap of 13s between events is above":                func(d *document.Document) { d.Routes[0].MaxEventGap = 13 * time.Second },
		"route r1 maxeventgap: it has no effect":                                      func(d *document.Document) { d.Routes[1].MaxEventGap = time.Second },
		"route r1 maxattempts: 2 attempts have no effect":                             func(d *document.Document) { d.Routes[1].MaxAttempts = 2 },
		"route r1 resumable: it has no effect":                                        func(d *document.Document) { d.Routes[1].Resumable = true },
		"line 12: warning: service s name: it gets no requests":                       func(d *document.Document) { d.Services = append(d.Services, document.Service{Name: "s"}) },
		"service llm coldrate: cold targets have a warm-up of 1s but no limit":        func(d *document.Document) { d.Services[0].ColdRate = 0 },
		"service llm engine: an engine needs slots":                                   func(d *document.Document) { d.Services[0].Engine.Slots = 0 },
		"line 21: warning: workspace w name: the workspace is listed twice":           func(d *document.Document) { d.Workspaces[1].Name = "w" },
		"workspace v keys: no request belongs":                                        func(d *document.Document) { d.Workspaces[1].Keys = nil },
		"workspace v keys: the empty key admits":                                      func(d *document.Document) { d.Workspaces[1].Keys[0] = "" },
		"workspace w burst: a burst of 40 tokens is below":                            func(d *document.Document) { d.Workspaces[0].Burst = 40 },
		"workspace v rate: a rate of 0.5 requests a second is below":                  func(d *document.Document) { d.Workspaces[1].Rate = 0.5 },
		"workspace w rate: there is no limit without a rate":                          func(d *document.Document) { d.Workspaces[0].Rate = 0 },
		"limits maxbodybytes: the limit of 134217728 bytes is above":                  func(d *document.Document) { d.Limits.MaxBodyBytes = 128 << 20 },
	} {
		d := cleanDocument()
		change(d)
		found := Document(d, site, locateByName)
		if d.Validate() != nil || len(found) != 1 || !strings.Contains(found[0].String(), want) {
			t.Errorf("got %v, want %q", found, want)
		}
	}
}

// Guards against a difference that is not told, told without what callers notice, or shows
// a key.
func TestChanges(t *testing.T) {
	before, after := cleanDocument(), cleanDocument()
	if got := DocumentChanges(before, after, locateByName); len(got) > 0 {
		t.Errorf("equal documents differ by %v", got)
	}
	after.Routes[1].Prefix, after.Routes[0].Timeout = "/p/sub/", 3*time.Second
	after.Workspaces = []document.Workspace{after.Workspaces[0], {Name: "u", Keys: []string{"secret"}}}
	after.Workspaces[0].Keys = []string{"secret2", "l"}
	set := parseRules(t, cleanRules)
	changed := parseRules(t, strings.NewReplacer("cost=5", "cost=7", "/v1/chat", "/registro/chat", "hoteles", "ferris").Replace(cleanRules))
	var lines []string
	for _, c := range append(DocumentChanges(before, after, locateByName), RuleChanges(set, changed)...) {
		lines = append(lines, c.String())
	}
	got := strings.Join(lines, "\n")
	for _, want := range []string{
		"changed route a.example/p/ timeout from 12s to 3s: callers get",
		"added route a.example/p/sub/: until now route r0 served such requests",
		"removed route a.example/q/: such requests get 404",
		"removed workspace v: requests with its keys get 401",
		"added workspace u: ", "1 withdrawn keys get 401, 0 now belong to another workspace, 2 are new here",
		"changed route /registro/* cost from 5 to 7: a request takes",
		"added route /registro/chat: until now route /registro/* served", "removed route /v1/chat: such requests get 403",
		"removed workspace hoteles: requests with its keys get 403",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in\n%s", want, got)
		}
	}
	if len(lines) != 11 || strings.Contains(got, "secret") {
		t.Errorf("%d changes, want 11:\n%s", len(lines), got)
	}
}
