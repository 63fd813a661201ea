package rules

import (
	"errors"
	"strings"
	"testing"
)

const validRules = `
# rules of the example site
workspace hoteles rate=2000/s burst=8000 weight=2 home=gijon-a residency=gijon-a,santander-a # Lucía, ticket 41
pool llegadas kind=engine # platform
pool registro kind=service # platform
model modelo-llegadas pool=llegadas # platform
route /v1/chat/completions idempotent=yes # platform
route /registro/* pool=registro idempotent=no reach=region cost=5 timeout=30s # Iker
route /registro/lista pool=registro idempotent=yes methods=GET # Iker
`

func TestParseValid(t *testing.T) {
	set, err := Parse(validRules)
	if err != nil {
		t.Fatal(err)
	}
	w := set.Workspaces["hoteles"]
	if w.Rate != 2000 || w.Burst != 8000 || w.Weight != 2 || w.Requester != "Lucía, ticket 41" {
		t.Errorf("workspace = %+v", w)
	}
	if !w.Allows("santander-a") || w.Allows("bilbao-a") {
		t.Error("residency is not applied")
	}
	if r := set.Route("/registro/lista"); r == nil || !r.Idempotent {
		t.Errorf("exact route must win over the prefix, got %+v", r)
	}
	if r := set.Route("/registro/alta"); r == nil || r.Idempotent || r.Cost != 5 {
		t.Errorf("prefix route = %+v", r)
	}
	if set.Route("/other") != nil {
		t.Error("unexpected route for /other")
	}
}

// Guards against a file with an error that is accepted in part, or rejected without
// the line and the reason.
func TestParseRefusesWithLine(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"no comment", "pool a kind=engine", "line 1: the rule has no comment"},
		{"empty comment", "pool a kind=engine #  ", "line 1: the rule has no comment"},
		{"unknown kind", "cluster a x=1 # me", `unknown rule kind "cluster"`},
		{"unknown option", "\npool a kind=engine colour=red # me", `line 2: pool has no option "colour"`},
		{"rate without unit", "workspace a rate=5 burst=5 # me", "needs the unit tokens per second"},
		{"negative rate", "workspace a rate=-5/s burst=5 # me", "must be a whole number"},
		{"missing burst", "workspace a rate=5/s # me", "needs rate=N/s and burst=N"},
		{"overflow", "workspace a rate=99999999999999999999/s burst=5 # me", "must be a whole number"},
		{"home outside residency", "workspace a rate=5/s burst=5 home=x residency=y # me", "outside its residency"},
		{"duplicate", "pool a kind=engine # me\npool a kind=engine # me", "line 2: pool a is already defined in line 1"},
		{"option twice", "pool a kind=engine kind=engine # me", "given twice"},
		{"missing pool", "model m pool=none # me", "line 1: model m names pool \"none\""},
		{"model on service", "pool s kind=service # me\nmodel m pool=s # me", "not of kind engine"},
		{"idempotent missing", "pool s kind=service # me\nroute /a pool=s # me", "idempotent must be yes or no"},
		{"reserved path", "pool s kind=service # me\nroute /admin/v1 pool=s idempotent=yes # me", "reserved"},
		{"star inside", "pool s kind=service # me\nroute /a*/b pool=s idempotent=yes # me", "may only end in /*"},
		{"open without pool", "route /a open=yes idempotent=yes # me", "needs a pool"},
		{"bad timeout", "pool s kind=service # me\nroute /a pool=s idempotent=yes timeout=5 # me", "duration with unit"},
		{"bad name", "workspace a$b rate=5/s burst=5 # me", "may only have letters"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set, err := Parse(c.text)
			if !errors.Is(err, ErrInvalid) || set != nil {
				t.Fatalf("set %v, error %v", set, err)
			}
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %q does not contain %q", err, c.want)
			}
		})
	}
}

func TestDiffIgnoresOrderAndSpacing(t *testing.T) {
	got := Diff("a  b # x\nc # y\n", "c # y\n\n# note\na b # x\nd # z")
	if len(got) != 1 || got[0].String() != "+ d # z" {
		t.Errorf("diff = %v", got)
	}
}

// Guards against input that panics the parser, and against an accepted workspace
// without a requester, a rate or a burst.
func FuzzParse(f *testing.F) {
	f.Add(validRules)
	f.Add("workspace a rate=1/s burst=1 # me")
	f.Add("route /* pool==x # ")
	f.Fuzz(func(t *testing.T, text string) {
		set, err := Parse(text)
		if err != nil {
			return
		}
		for _, w := range set.Workspaces {
			if w.Requester == "" || w.Rate <= 0 || w.Burst <= 0 {
				t.Errorf("accepted %+v", w)
			}
		}
	})
}
