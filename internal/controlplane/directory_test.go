package controlplane

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"testing"

	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
)

// Guards against a directory that returns hosts outside the home regions of the routes:
// request bodies would enter regions that are not allowed.
func TestChooseEntries(t *testing.T) {
	host := func(name, region string, serving bool) *syncpb.EntryHost {
		return &syncpb.EntryHost{Name: name, Region: region, Front: name, Serving: serving}
	}
	all := []*syncpb.EntryHost{host("a1", "a", true), host("a2", "a", true), host("b1", "b", true), host("c1", "c", true)}
	aDown := []*syncpb.EntryHost{host("a1", "a", false), host("b1", "b", true), host("c1", "c", true)}
	withKey := &document.Route{HomeRegions: []string{"a", "b"}}
	onlyA, onlyC := &document.Route{HomeRegions: []string{"a"}, Public: true}, &document.Route{HomeRegions: []string{"c"}, Public: true}
	for name, c := range map[string]struct {
		hosts  []*syncpb.EntryHost
		region string
		routes []*document.Route
		want   []string
	}{
		"own region preferred":                        {all, "c", []*document.Route{withKey}, []string{"c1"}},
		"all hosts of the own region":                 {all, "a", nil, []string{"a1", "a2"}},
		"own region down, home regions of the routes": {aDown, "a", []*document.Route{withKey}, []string{"b1"}},
		"disjoint home regions of public routes":      {aDown, "a", []*document.Route{onlyA, onlyC, withKey}, []string{"b1"}},
		"own region down, no home regions":            {aDown, "a", nil, []string{"b1", "c1"}},
		"only a region outside the home regions":      {[]*syncpb.EntryHost{host("c1", "c", true)}, "a", []*document.Route{withKey}, nil},
		"draining in a home region, serving outside":  {[]*syncpb.EntryHost{host("a1", "a", false), host("c1", "c", true)}, "a", []*document.Route{withKey}, []string{"a1"}},
		"no host is serving":                          {[]*syncpb.EntryHost{host("a1", "a", false)}, "a", nil, []string{"a1"}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := chooseEntries(c.hosts, c.region, c.routes); !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// countingDecoder counts its calls. It decodes any content to a document with one route,
// whose only home region is the content.
type countingDecoder struct{ calls int }

func (d *countingDecoder) Decode(content []byte) (*document.Document, error) {
	d.calls++
	return &document.Document{Routes: []document.Route{{Host: "app", Prefix: "/", HomeRegions: []string{string(content)}}}}, nil
}

// Load: callers that query the directory repeatedly. Guards against a control host that
// decodes the whole document for each response, and against responses from a document
// that was replaced.
func TestDirectoryDecodesOncePerVersion(t *testing.T) {
	machine, decoder, presence := document.NewMachine(), &countingDecoder{}, fleetsync.NewPresence()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &Service{Document: machine, Decoder: decoder, Presence: presence, Logger: log}
	now := clock.SinceBoot()
	for _, region := range []string{"a", "b"} {
		presence.RecordEntry(now, &syncpb.EntryHost{Name: region, Region: region, Front: region, Serving: true}, true)
	}
	for i, region := range []string{"a", "b"} {
		version := i + 1
		command, err := json.Marshal(map[string]any{"version": version, "content": []byte(region)})
		if err != nil {
			t.Fatal(err)
		}
		machine.Apply(uint64(version), command)
		for range 50 {
			if got := s.EntryAddresses("app", "c"); !slices.Equal(got, []string{region}) {
				t.Fatalf("version %d: got %v, want %s", version, got, region)
			}
		}
		if decoder.calls != version {
			t.Errorf("%d decodes after %d versions", decoder.calls, version)
		}
	}
}

// Guards against callers that are sent to hosts without a path to targets although other
// hosts of their region have one and can take them over, and against callers that are sent
// to another region while hosts of their own can serve them through others.
func TestChooseEntriesPrefersHostsWithPath(t *testing.T) {
	host := func(name, region string, detached bool) *syncpb.EntryHost {
		return &syncpb.EntryHost{Name: name, Region: region, Front: name, Serving: true, Detached: detached}
	}
	for name, c := range map[string]struct {
		hosts []*syncpb.EntryHost
		want  []string
	}{
		"one of three":         {[]*syncpb.EntryHost{host("a1", "a", true), host("a2", "a", false), host("a3", "a", false), host("b1", "b", false)}, []string{"a2", "a3"}},
		"most of the region":   {[]*syncpb.EntryHost{host("a1", "a", true), host("a2", "a", false), host("a3", "a", true), host("b1", "b", false)}, []string{"a2", "a1", "a3"}},
		"all of the region":    {[]*syncpb.EntryHost{host("a1", "a", true), host("a2", "a", true), host("b1", "b", false)}, []string{"a1", "a2"}},
		"none in this region":  {[]*syncpb.EntryHost{host("b1", "b", false)}, []string{"b1"}},
		"only in other region": {[]*syncpb.EntryHost{host("a1", "a", false), host("b1", "b", true)}, []string{"a1"}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := chooseEntries(c.hosts, "a", nil); !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Answers a region of 100 hosts, of which a response has room for 64: callers do not change
// hosts with each response, and the control hosts together name nearly all.
func TestLargeRegionIsSpreadOverControlHosts(t *testing.T) {
	named := map[string]bool{}
	for _, control := range []string{"10.0.0.1:80", "10.0.0.2:80"} {
		var all []string
		for i := range 100 {
			all = append(all, fmt.Sprintf("10.1.0.%d:80", i))
		}
		got := limitAddresses(slices.Clone(all), control)
		slices.Reverse(all)
		again := limitAddresses(all[1:], control) // without the last one
		stays := slices.DeleteFunc(slices.Clone(got), func(a string) bool { return a == "10.1.0.99:80" })
		if len(got) != maxAddresses || len(again) != maxAddresses || !slices.Equal(again[:len(stays)], stays) {
			t.Errorf("the addresses change: %v, %v", got, again)
		}
		for _, a := range got {
			named[a] = true
		}
	}
	if len(named) < 80 {
		t.Errorf("two control hosts name %d of 100 hosts", len(named))
	}
}
