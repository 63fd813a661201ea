package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/rules"
)

// Action tells what happens to an entry.
type Action string

// The actions on an entry.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is one difference from the version in force.
type Change struct {
	Entry  string `json:"entry"`
	Action Action `json:"action"`
	// Field, Before and After are empty for entries that are added or removed.
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	// Effect is what callers will notice.
	Effect string `json:"effect"`
}

func (c Change) String() string {
	if c.Action != Changed {
		return fmt.Sprintf("%s %s: %s", c.Action, c.Entry, c.Effect)
	}
	return fmt.Sprintf("%s %s %s from %s to %s: %s", c.Action, c.Entry, c.Field, c.Before, c.After, c.Effect)
}

// entry is the comparable form of an entry of a configuration.
type entry struct {
	name string // kind and name
	// added and removed are what callers notice then.
	added, removed string
	fields         []field
}

type field struct {
	name, value string
	// effect is what callers notice of a change to value.
	effect string
}

func compare(before, after []entry) []Change {
	old := map[string]entry{}
	for _, e := range before {
		old[e.name] = e
	}
	out := []Change{} // not nil: a report tells "none" from "not compared"
	kept := map[string]bool{}
	for _, e := range after {
		previous, existed := old[e.name]
		if kept[e.name] = true; !existed {
			out = append(out, Change{Entry: e.name, Action: Added, Effect: e.added})
			continue
		}
		for i, f := range e.fields {
			if f.value != previous.fields[i].value {
				out = append(out, Change{Entry: e.name, Action: Changed, Field: f.name, Before: previous.fields[i].value, After: f.value, Effect: f.effect})
			}
		}
	}
	for _, e := range before {
		if !kept[e.name] {
			out = append(out, Change{Entry: e.name, Action: Removed, Effect: e.removed})
		}
	}
	return out
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func list(names []string, all string) string {
	return choose(len(names) == 0, all, strings.Join(names, ","))
}

// DocumentChanges compares a document with the one in force.
func DocumentChanges(before, after *document.Document, locate Locate) []Change {
	from, to := document.NewIndex(before), document.NewIndex(after)
	return compare(documentEntries(from, to, locate), documentEntries(to, from, locate))
}

// documentEntries returns the entries of a document. other is the one that it is compared
// with: the effect of an entry depends on what serves its callers there.
func documentEntries(x, other *document.Index, locate Locate) []entry {
	named := func(section document.Section, goName, value, effect string) field {
		_, name := locate(document.Place{Section: section, Field: goName})
		return field{name, value, effect}
	}
	var out []entry
	for i := range x.Routes {
		out = append(out, routeEntry(&x.Routes[i], other, named))
	}
	for _, s := range x.Services {
		engine := "none"
		if s.Engine != nil {
			engine = fmt.Sprintf("%d slots, %d tokens", s.Engine.Slots, s.Engine.CacheTokens)
		}
		f := func(goName, value, effect string) field {
			return named(document.ServiceSection, goName, value, effect)
		}
		out = append(out, entry{"service " + s.Name, "none until a route names it", "its targets get no requests", []field{
			f("HealthPath", s.HealthPath, "none"),
			f("MaxConnections", fmt.Sprint(s.MaxConnections), "none"),
			f("Warmup", s.Warmup.String(), "targets that start or return get few requests for this time"),
			f("ColdRate", fmt.Sprint(s.ColdRate), "requests per second that a cold target gets; 0 is no limit"),
			f("Engine", engine, "requests that do not fit are refused or wait for room"),
		}})
	}
	for _, w := range x.Workspaces {
		out = append(out, workspaceEntry(w, x, other, named))
	}
	f := func(goName, value, effect string) field {
		return named(document.LimitsSection, goName, value, effect)
	}
	l := x.Limits
	return append(out, entry{string(document.LimitsSection), "", "", []field{
		f("MaxHeaderBytes", fmt.Sprint(l.MaxHeaderBytes), "none: hosts have a limit of their own"),
		f("MaxBodyBytes", fmt.Sprint(l.MaxBodyBytes), "requests with a larger body get 413"),
		f("HeaderTimeout", l.HeaderTimeout.String(), "none: hosts have a limit of their own"),
		f("IdleTimeout", l.IdleTimeout.String(), "none: hosts have a limit of their own"),
	}})
}

type namedField func(section document.Section, goName, value, effect string) field

func routeEntry(r *document.Route, other *document.Index, named namedField) entry {
	f := func(goName, value, effect string) field {
		return named(document.RouteSection, goName, value, effect)
	}
	added, removed := "until now such requests got 404", "such requests get 404"
	if next := other.Route(r.Host, r.Prefix); next != nil {
		added = fmt.Sprintf("until now route %s served such requests", next.Name)
		removed = fmt.Sprintf("route %s serves such requests", next.Name)
	}
	split := make([]string, len(r.Split))
	for i, s := range r.Split {
		split[i] = fmt.Sprintf("%s:%d", s.Service, s.Weight)
	}
	return entry{"route " + strings.ToLower(r.Host) + r.Prefix, added, removed, []field{
		f("Name", r.Name, "none"),
		f("Kind", string(r.Kind), choose(r.Repeatable(), "requests may be repeated after a failure", "a request that may have run is not repeated after a failure")),
		f("Timeout", r.Timeout.String(), "callers get a final response within this time"),
		f("FirstByteObjective", r.FirstByteObjective.String(), "responses should begin within this time"),
		f("MaxEventGap", r.MaxEventGap.String(), "pauses between events should be within this time"),
		f("Priority", fmt.Sprint(r.Priority), "with little room, requests of a lower number go first"),
		f("Split", strings.Join(split, " "), "requests go to these services, by weight"),
		f("MaxAttempts", fmt.Sprint(r.MaxAttempts), choose(r.Repeatable(), "a failed request is sent to so many targets at most", "none: a request that may have run is not repeated")),
		f("Public", fmt.Sprint(r.Public), choose(r.Public, "requests need no key", "requests without a valid key get 401")),
		f("Resumable", fmt.Sprint(r.Resumable), choose(r.Resumable, "broken streams go on at another target", "broken streams end")),
		f("HomeRegions", list(r.HomeRegions, "all"), "requests are served in these regions only"),
	}}
}

func workspaceEntry(w document.Workspace, x, other *document.Index, named namedField) entry {
	f := func(goName, value, effect string) field {
		return named(document.WorkspaceSection, goName, value, effect)
	}
	removed := "requests with its keys get 401 where one is needed, unless another workspace has them"
	if len(other.Workspaces) == 0 {
		removed = "no request needs a key any more"
	}
	// The keys are secret: only how many differ is told.
	var lost, moved, gained int
	if counterpart := other.WorkspaceByName(w.Name); counterpart != nil {
		for _, k := range difference(counterpart.Keys, w.Keys) {
			if x.WorkspaceByKey(k) == nil {
				lost++
			} else {
				moved++
			}
		}
		gained = len(difference(w.Keys, counterpart.Keys))
	}
	return entry{"workspace " + w.Name, "requests with its keys are accepted", removed, []field{
		f("Keys", keyDigest(w.Keys), fmt.Sprintf("%d withdrawn keys get 401, %d now belong to another workspace, %d are new here", lost, moved, gained)),
		f("Priority", fmt.Sprint(w.Priority), "with little room, requests of a lower number go first"),
		f("Rate", fmt.Sprint(w.Rate), "requests above the rate get 429; 0 is no limit"),
		f("Burst", fmt.Sprint(w.Burst), "requests above rate and burst get 429"),
		f("PerRequest", choose(w.PerRequest, "requests", "tokens"), "rate and burst count these"),
		f("DefaultTokens", fmt.Sprint(w.DefaultTokens), "requests that state no tokens cost so many"),
		f("HomeRegions", list(w.HomeRegions, "all"), "requests are served in these regions only"),
	}}
}

// RuleChanges compares a rules file with the one in force.
func RuleChanges(before, after *rules.Set) []Change {
	return compare(ruleEntries(before, after), ruleEntries(after, before))
}

func ruleEntries(set, other *rules.Set) []entry {
	var out []entry
	for _, w := range set.Workspaces {
		out = append(out, entry{"workspace " + w.Name, "keys can be granted to it", "requests with its keys get 403", []field{
			{"rate", fmt.Sprint(w.Rate), "requests above the rate get 429"},
			{"burst", fmt.Sprint(w.Burst), "requests above rate and burst get 429"},
			{"weight", fmt.Sprint(w.Weight), "its share of targets that are full"},
			{"home", w.Home, "data centre that is preferred"},
			{"residency", list(w.Residency, "any"), "hosts elsewhere refuse its requests with 421"},
		}})
	}
	for _, p := range set.Pools {
		out = append(out, entry{"pool " + p.Name, "none until a route or model names it", "its targets get no requests", []field{
			{"kind", string(p.Kind), "requests go to targets of this kind"}}})
	}
	for _, m := range set.Models {
		out = append(out, entry{"model " + m.Name, "requests for the model are accepted", "requests for the model get 422", []field{
			{"pool", m.Pool, "requests go to the targets of this pool"}}})
	}
	for _, r := range set.Routes {
		out = append(out, ruleRouteEntry(r, other))
	}
	slices.SortFunc(out, func(a, b entry) int { return strings.Compare(a.name, b.name) })
	return out
}

func ruleRouteEntry(r *rules.Route, other *rules.Set) entry {
	added, removed := "until now such requests got 403, without a key 401", "such requests get 403, without a key 401"
	if next := other.Route(strings.TrimSuffix(r.Path, "*")); next != nil {
		added = fmt.Sprintf("until now route %s served such requests", next.Path)
		removed = fmt.Sprintf("route %s serves such requests", next.Path)
	}
	return entry{"route " + r.Path, added, removed, []field{
		{"pool", choose(r.Pool == "", "by model", r.Pool), "requests go to the targets of this pool"},
		{"idempotent", fmt.Sprint(r.Idempotent), choose(r.Idempotent, "requests may be repeated after a failure", "a request that may have run is not repeated after a failure")},
		{"open", fmt.Sprint(r.Open), choose(r.Open, "requests need no key", "requests without a valid key get 401")},
		{"class", string(r.Class), choose(r.Class == rules.Batch, "requests wait behind interactive ones", "requests go before batch ones")},
		{"reach", string(r.Reach), "how far from its entry host a request may be served"},
		{"methods", list(r.Methods, "all"), "other methods get 403"},
		{"cost", fmt.Sprint(r.Cost), "a request takes so many tokens of its workspace's rate"},
		{"timeout", r.Timeout.Round(time.Millisecond).String(), "callers get a final response within this time"},
	}}
}

func difference(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(s string) bool { return slices.Contains(b, s) })
}
