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

func validDocument() *document.Document {
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

// Guards against accepting an invalid document.
func TestValidate(t *testing.T) {
	if err := validDocument().Validate(); err != nil {
		t.Fatalf("valid document refused: %v", err)
	}
	for name, change := range map[string]func(*document.Document){
		"unknown service":      func(d *document.Document) { d.Routes[1].Split[1].Service = "u" },
		"same route":           func(d *document.Document) { d.Routes[1].Prefix, d.Routes[1].Host = "/", "a.EXAMPLE" },
		"no weight":            func(d *document.Document) { d.Routes[0].Split[0].Weight = 0 },
		"negative weight":      func(d *document.Document) { d.Routes[1].Split[1].Weight = -1 },
		"no split":             func(d *document.Document) { d.Routes[0].Split = nil },
		"no timeout":           func(d *document.Document) { d.Routes[0].Timeout = 0 },
		"unknown kind":         func(d *document.Document) { d.Routes[0].Kind = "often" },
		"prefix without slash": func(d *document.Document) { d.Routes[0].Prefix = "/x" },
		"no host":              func(d *document.Document) { d.Routes[0].Host = "" },
		"shared key":           func(d *document.Document) { d.Workspaces[1].Keys[0] = "k2" },
		"unnamed workspace":    func(d *document.Document) { d.Workspaces[1].Name = "" },
		"same service":         func(d *document.Document) { d.Services[1].Name = "s" },
		"unnamed service":      func(d *document.Document) { d.Services[1].Name = "" },
		"service removed":      func(d *document.Document) { d.Services = d.Services[:1] },
	} {
		t.Run(name, func(t *testing.T) {
			d := validDocument()
			change(d)
			if err := d.Validate(); !errors.Is(err, document.ErrInvalid) {
				t.Errorf("got %v, want ErrInvalid", err)
			}
		})
	}
}

// Guards against a request that matches the route of a shorter prefix or of another host
// name.
func TestRouteLongestPrefix(t *testing.T) {
	x := document.NewIndex(validDocument())
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
		t.Errorf("key k2 belongs to %v", w)
	}
	if x.WorkspaceByKey("") != nil || x.WorkspaceByKey("k9") != nil {
		t.Error("an unknown key has a workspace")
	}
	if w := x.WorkspaceByName("v"); w == nil || w.Keys[0] != "k3" {
		t.Errorf("the name v belongs to %v", w)
	}
	if x.WorkspaceByName("k3") != nil || x.WorkspaceByName("") != nil {
		t.Error("an unknown name has a workspace")
	}
}

// Guards against applying the home regions of only the route or only the workspace. An
// empty intersection must allow no region instead of all.
func TestAllowsRegion(t *testing.T) {
	d := validDocument()
	route, w, unrestricted := &d.Routes[1], &d.Workspaces[0], &d.Workspaces[1]
	for _, c := range []struct {
		w      *document.Workspace
		region string
		want   bool
	}{{w, "r1", false}, {w, "r2", true}, {w, "r3", false}, {unrestricted, "r1", true}, {unrestricted, "r3", false}, {nil, "r2", true}, {nil, "r3", false}} {
		if got := document.AllowsRegion(route, c.w, c.region); got != c.want {
			t.Errorf("workspace %v, region %s: got %v", c.w, c.region, got)
		}
	}
	disjoint := &document.Workspace{HomeRegions: []string{"r3"}}
	for _, region := range []string{"r1", "r2", "r3"} {
		if document.AllowsRegion(route, disjoint, region) {
			t.Errorf("disjoint home regions allow %s", region)
		}
	}
}

type machineCommand struct {
	version    uint64
	content    string
	dataCentre string
	evacuate   bool
}

func (c machineCommand) encode() []byte {
	if c.dataCentre != "" {
		return fmt.Appendf(nil, `{"data_centre":%q,"evacuate":%v}`, c.dataCentre, c.evacuate)
	}
	return fmt.Appendf(nil, `{"version":%d,"content":"%s"}`, c.version, c.content)
}

// Guards against a version that decreases, against content that changes without a higher
// version, and against a snapshot that loses a command.
func TestMachineHighestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := document.NewMachine()
		highest := uint64(0)
		evacuated := map[string]bool{}
		for i := range rapid.IntRange(1, 40).Draw(t, "commands") {
			op := machineCommand{version: rapid.Uint64Range(1, 12).Draw(t, "version"), content: strings.Repeat("YWJj", rapid.IntRange(1, 3).Draw(t, "content"))}
			if rapid.Bool().Draw(t, "evacuation") {
				op = machineCommand{dataCentre: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), evacuate: rapid.Bool().Draw(t, "begin")}
			}
			before, _ := m.State()
			if result := m.Apply(uint64(i+1), op.encode()); len(result) > 0 {
				t.Fatalf("apply: %s", result)
			}
			after, _ := m.State()
			switch {
			case op.dataCentre != "":
				evacuated[op.dataCentre] = op.evacuate
			case op.version > highest:
				highest = op.version
			case string(after.Content) != string(before.Content):
				t.Fatalf("version %d replaced content of version %d", op.version, highest)
			}
			if after.Version != highest {
				t.Fatalf("version %d in the state, want %d", after.Version, highest)
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
		for dataCentre, want := range evacuated {
			if _, got := state.Evacuated[dataCentre]; got != want {
				t.Fatalf("evacuation of %s: got %v, want %v", dataCentre, got, want)
			}
		}
	})
}

// Guards against an order that is carried out behind a newer one, also one that changed
// nothing or is not applied yet, and against the refusal of an order that is repeated because
// its acknowledgement was lost.
func TestAdmit(t *testing.T) {
	order := func(evacuate bool, after uint64) []byte {
		data, err := document.EncodeEvacuation("a", evacuate, after)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	m := document.NewMachine()
	apply := func(index uint64, data []byte) {
		t.Helper()
		if result := m.Apply(index, data); len(result) > 0 {
			t.Fatalf("entry %d: %s", index, result)
		}
	}
	check := func(what string, want bool, command []byte, pending ...[]byte) {
		t.Helper()
		err := m.Admit(pending, command)
		if (err == nil) != want || err != nil && !errors.Is(err, document.ErrOutdated) {
			t.Errorf("%s: %v", what, err)
		}
	}
	check("first order", true, order(true, 0))
	apply(3, order(true, 0))
	check("repeated order", true, order(true, 0))
	check("order that has not seen the last one", false, order(false, 0))
	check("next order", true, order(false, 3))
	check("next order behind one that is not applied", false, order(false, 3), order(true, 3))
	check("order that the one before it repeats", true, order(false, 3), order(false, 3))
	check("reversed order that is not applied", false, order(true, 3), order(false, 3))
	check("orders for another data centre", true, order(false, 3), machineCommand{dataCentre: "b", evacuate: false}.encode(), machineCommand{version: 1}.encode())
	check("order of an earlier build", true, machineCommand{dataCentre: "a"}.encode(), order(true, 3))
	apply(5, order(true, 3)) // changes nothing
	check("order from before one that changed nothing", false, order(false, 3))
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	m = document.NewMachine()
	if err := m.Restore(data); err != nil {
		t.Fatal(err)
	}
	check("order from before a snapshot", false, order(false, 3))
	check("order after a snapshot", true, order(false, 5))
	apply(8, order(true, 0))
	if state, _ := m.State(); state.Index != 3 || len(state.Restored) > 0 {
		t.Errorf("an entry that changed nothing changed the state: %+v", state)
	}
	apply(9, order(false, 0)) // entries of the log are applied whatever they follow
	if state, _ := m.State(); len(state.Evacuated) > 0 || state.Restored["a"] != 9 {
		t.Errorf("an entry of the log was not applied: %+v", state)
	}
}

// Guards against a snapshot of an earlier build after which each first order is refused.
func TestRestoreWithoutOrders(t *testing.T) {
	m := document.NewMachine()
	if err := m.Restore([]byte(`{"index":9,"version":0,"evacuated":{"a":9},"restored":{"a":4,"b":6}}`)); err != nil {
		t.Fatal(err)
	}
	if state, _ := m.State(); state.Orders["a"] != 9 || state.Orders["b"] != 6 {
		t.Errorf("orders %v", state.Orders)
	}
}

// Guards against a malformed log entry or snapshot that crashes the process or is
// accepted.
func TestMachineMalformedCommand(t *testing.T) {
	m := document.NewMachine()
	if err := m.Admit(nil, []byte("{")); err == nil {
		t.Error("a malformed command was admitted")
	}
	if result := m.Apply(1, []byte("{")); len(result) == 0 {
		t.Error("a malformed command was accepted")
	}
	if err := m.Restore([]byte("[")); err == nil {
		t.Error("a malformed snapshot was accepted")
	}
}
