package document_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumturn.example/geraniumturn/internal/document"
)

func valid() *document.Document {
	return &document.Document{Version: 3,
		Routes: []document.Route{
			{Name: "all", Host: "A.example", Prefix: "/", Kind: document.Idempotent, Timeout: time.Second, Split: []document.WeightedService{{Service: "s", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Kind: document.Streaming, Timeout: time.Second, HomeRegions: []string{"r1", "r2"},
				Split: []document.WeightedService{{Service: "s", Weight: 9}, {Service: "t", Weight: 0}}},
		},
		Services:   []document.Service{{Name: "s"}, {Name: "t"}},
		Workspaces: []document.Workspace{{Name: "w", Keys: []string{"k1", "k2"}, HomeRegions: []string{"r2", "r3"}}, {Name: "v", Keys: []string{"k3"}}},
	}
}

// Guards against an invalid document that gets in force.
func TestValidate(t *testing.T) {
	if err := valid().Validate(); err != nil {
		t.Fatalf("valid document refused: %v", err)
	}
	for name, change := range map[string]func(*document.Document){
		"unknown service":  func(d *document.Document) { d.Routes[1].Split[1].Service = "u" },
		"same place":       func(d *document.Document) { d.Routes[1].Prefix, d.Routes[1].Host = "/", "a.EXAMPLE" },
		"no weight":        func(d *document.Document) { d.Routes[0].Split[0].Weight = 0 },
		"negative weight":  func(d *document.Document) { d.Routes[1].Split[1].Weight = -1 },
		"no split":         func(d *document.Document) { d.Routes[0].Split = nil },
		"no timeout":       func(d *document.Document) { d.Routes[0].Timeout = 0 },
		"unknown kind":     func(d *document.Document) { d.Routes[0].Kind = "often" },
		"prefix":           func(d *document.Document) { d.Routes[0].Prefix = "/x" },
		"no host":          func(d *document.Document) { d.Routes[0].Host = "" },
		"shared key":       func(d *document.Document) { d.Workspaces[1].Keys[0] = "k2" },
		"unnamed tenant":   func(d *document.Document) { d.Workspaces[1].Name = "" },
		"same service":     func(d *document.Document) { d.Services[1].Name = "s" },
		"unnamed service":  func(d *document.Document) { d.Services[1].Name = "" },
		"service vanished": func(d *document.Document) { d.Services = d.Services[:1] },
	} {
		t.Run(name, func(t *testing.T) {
			d := valid()
			change(d)
			if err := d.Validate(); !errors.Is(err, document.ErrInvalid) {
				t.Errorf("got %v, want ErrInvalid", err)
			}
		})
	}
}

// Guards against a request that is served by the route of a shorter prefix or of
// another host name.
func TestRouteLongestPrefix(t *testing.T) {
	x := document.NewIndex(valid())
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"}, {"A.Example", "/x/y/", "deep"}, {"a.example", "/x/y", "all"}, {"a.example", "/x/yy/", "all"}, {"b.example", "/x/y/z", ""},
	} {
		got := ""
		if r := x.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: got route %q, want %q", c.host, c.path, got, c.want)
		}
	}
	if w := x.WorkspaceByKey("k2"); w == nil || w.Name != "w" {
		t.Errorf("key k2 is held by %v", w)
	}
	if x.WorkspaceByKey("") != nil || x.WorkspaceByKey("k9") != nil {
		t.Error("an unknown key has a holder")
	}
	if w := x.WorkspaceByName("v"); w == nil || w.Keys[0] != "k3" {
		t.Errorf("the name v belongs to %v", w)
	}
	if x.WorkspaceByName("k3") != nil || x.WorkspaceByName("") != nil {
		t.Error("an unknown name has a workspace")
	}
}

// Guards against homes of route and workspace of which only one binds; an empty
// intersection must allow no region instead of all.
func TestAllows(t *testing.T) {
	d := valid()
	route, w, free := &d.Routes[1], &d.Workspaces[0], &d.Workspaces[1]
	for _, c := range []struct {
		w      *document.Workspace
		region string
		want   bool
	}{{w, "r1", false}, {w, "r2", true}, {w, "r3", false}, {free, "r1", true}, {free, "r3", false}, {nil, "r2", true}, {nil, "r3", false}} {
		if got := document.AllowsRegion(route, c.w, c.region); got != c.want {
			t.Errorf("workspace %v, region %s: got %v", c.w, c.region, got)
		}
	}
	apart := &document.Workspace{HomeRegions: []string{"r3"}}
	for _, region := range []string{"r1", "r2", "r3"} {
		if document.AllowsRegion(route, apart, region) {
			t.Errorf("contradicting homes allow %s", region)
		}
	}
}

type order struct {
	version  uint64
	content  string
	zone     string
	evacuate bool
}

func (o order) encode() []byte {
	if o.zone != "" {
		return fmt.Appendf(nil, `{"data_centre":%q,"evacuate":%v}`, o.zone, o.evacuate)
	}
	return fmt.Appendf(nil, `{"version":%d,"content":"%s"}`, o.version, o.content)
}

// Guards against a version that falls, other content under a held version, and a
// snapshot that loses an order.
func TestMachineHighestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := document.NewMachine()
		best := uint64(0)
		evacuated := map[string]bool{}
		for i := range rapid.IntRange(1, 40).Draw(t, "orders") {
			o := order{version: rapid.Uint64Range(1, 12).Draw(t, "version"), content: strings.Repeat("YWJj", rapid.IntRange(1, 3).Draw(t, "content"))}
			if rapid.Bool().Draw(t, "evacuation") {
				o = order{zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), evacuate: rapid.Bool().Draw(t, "begin")}
			}
			before, _ := m.State()
			if result := m.Apply(uint64(i+1), o.encode()); len(result) > 0 {
				t.Fatalf("apply: %s", result)
			}
			after, _ := m.State()
			switch {
			case o.zone != "":
				evacuated[o.zone] = o.evacuate
			case o.version > best:
				best = o.version
			case string(after.Content) != string(before.Content):
				t.Fatalf("version %d replaced content of version %d", o.version, best)
			}
			if after.Version != best {
				t.Fatalf("version %d in force, want %d", after.Version, best)
			}
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				data, err := m.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				m = document.NewMachine()
				if err := m.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
		}
		state, _ := m.State()
		for zone, want := range evacuated {
			if _, got := state.Evacuated[zone]; got != want {
				t.Fatalf("evacuation of %s: got %v, want %v", zone, got, want)
			}
		}
	})
}

// Guards against a damaged entry that ends the process.
func TestMachineMalformedCommand(t *testing.T) {
	m := document.NewMachine()
	if result := m.Apply(1, []byte("{")); len(result) == 0 {
		t.Error("a malformed command was accepted")
	}
	if err := m.Restore([]byte("[")); err == nil {
		t.Error("a malformed snapshot was accepted")
	}
}
