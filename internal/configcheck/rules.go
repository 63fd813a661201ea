package configcheck

import (
	"fmt"
	"maps"
	"net/http"
	"slices"

	"geraniumturn.example/geraniumturn/internal/rules"
)

var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodConnect, http.MethodOptions, http.MethodTrace}

// Rules examines a rules file that hosts accept.
func Rules(set *rules.Set, site Site) []Finding {
	c := &ruleCheck{set: set}
	for _, r := range set.Routes {
		c.route(r)
	}
	for _, name := range slices.Sorted(maps.Keys(set.Models)) {
		c.model(set.Models[name])
	}
	for _, name := range slices.Sorted(maps.Keys(set.Pools)) {
		c.pool(name)
	}
	costliest := c.costliest()
	for _, name := range slices.Sorted(maps.Keys(set.Workspaces)) {
		c.workspace(set.Workspaces[name], costliest, site)
	}
	return sorted(c.findings)
}

type ruleCheck struct {
	set      *rules.Set
	findings []Finding
}

func (c *ruleCheck) add(kind, name, field, mend, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: Warning, Line: c.set.Line(kind, name), Entry: kind + " " + name,
		Field: field, Message: fmt.Sprintf(format, args...), Mend: mend})
}

func (c *ruleCheck) isEngineRoute(r *rules.Route) bool {
	return r.Pool == "" || c.set.Pools[r.Pool].Kind == rules.Engine
}

func (c *ruleCheck) route(r *rules.Route) {
	if len(r.Methods) > 0 && len(missing(r.Methods, methods)) > 0 {
		c.add("route", r.Path, "methods", "correct the method", "no request has the method %s", nameList(missing(r.Methods, methods)))
	}
	if r.Pool == "" && len(c.set.Models) == 0 {
		c.add("route", r.Path, "pool", "add a model, or pool=NAME", "the body's model selects the pool, but no model is defined: every request is refused")
	}
	if c.isEngineRoute(r) && r.Cost > 1 {
		c.add("route", r.Path, "cost", "remove the cost", "a request to an engine costs its tokens; the cost has no effect")
	}
}

func (c *ruleCheck) model(m *rules.Model) {
	for _, r := range c.set.Routes {
		if r.Pool == "" {
			return
		}
	}
	c.add("model", m.Name, "", "add a route without a pool, or remove the model", "it is never selected: no route leaves the pool to the body's model")
}

func (c *ruleCheck) pool(name string) {
	for _, r := range c.set.Routes {
		if r.Pool == name {
			return
		}
	}
	for _, m := range c.set.Models {
		if m.Pool == name {
			return
		}
	}
	c.add("pool", name, "", "add a route or model for it, or remove it", "it gets no requests: no route or model names it")
}

// costliest returns the route with the highest fixed cost that workspaces pay, or nil.
func (c *ruleCheck) costliest() *rules.Route {
	var out *rules.Route
	for _, r := range c.set.Routes {
		if !r.Open && !c.isEngineRoute(r) && (out == nil || r.Cost > out.Cost) {
			out = r
		}
	}
	return out
}

func (c *ruleCheck) workspace(w *rules.Workspace, costliest *rules.Route, site Site) {
	if costliest != nil && w.Burst < costliest.Cost {
		c.add("workspace", w.Name, "burst", fmt.Sprintf("use at least burst=%d", costliest.Cost), "burst %d is below the cost of one request to %s, %d: all of them are refused", w.Burst, costliest.Path, costliest.Cost)
	} else if costliest != nil && w.Rate < costliest.Cost {
		c.add("workspace", w.Name, "rate", "raise the rate, or lower the cost", "rate %d/s is below the cost of one request to %s, %d: less than one a second", w.Rate, costliest.Path, costliest.Cost)
	}
	if names := missing(w.Residency, site.DataCentres); len(names) > 0 {
		c.add("workspace", w.Name, "residency", "correct the name, or remove it", "no host is in data centre %s", nameList(names))
	}
	if w.Home != "" && len(w.Residency) == 0 && len(missing([]string{w.Home}, site.DataCentres)) > 0 {
		c.add("workspace", w.Name, "home", "name a data centre of the hosts", "no host is in data centre %s", w.Home)
	}
}
